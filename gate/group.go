package gate

import "sync"

// group waits for the goroutines of a part.
type group struct {
	wg sync.WaitGroup
}

func (g *group) start(f func()) { g.wg.Go(f) }

func (g *group) wait() { g.wg.Wait() }
