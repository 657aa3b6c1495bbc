package agent

import "context"

// owner runs functions one after another in a single goroutine, which alone
// touches the control state.
type owner struct {
	inbox chan func()
	done  chan struct{}
}

func newOwner() *owner {
	return &owner{inbox: make(chan func()), done: make(chan struct{})}
}

// run serves until ctx is done.
func (o *owner) run(ctx context.Context) {
	defer close(o.done)
	for {
		select {
		case f := <-o.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// do runs f in the goroutine of the owner and waits for it. It returns false when
// the owner has ended, and f did not run.
func (o *owner) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case o.inbox <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-o.done:
		return false
	}
}
