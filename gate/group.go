package gate

import "sync"

// group starts goroutines and waits for them.
type group struct {
	wg sync.WaitGroup
}

func (g *group) start(f func()) { g.wg.Go(f) }

func (g *group) wait() { g.wg.Wait() }
