package agent

import "context"

// eventLoop runs functions sequentially in one goroutine, the only one that accesses
// the agent's state.
type eventLoop struct {
	calls chan func()
	// done is closed when run has returned.
	done chan struct{}
}

func newEventLoop() *eventLoop {
	return &eventLoop{calls: make(chan func()), done: make(chan struct{})}
}

// run executes submitted functions until ctx is done.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.calls:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// do runs f in the event loop's goroutine and waits for it. It returns false, without
// running f, when the loop has ended. f must not call do.
func (l *eventLoop) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-l.done:
		return false
	}
}
