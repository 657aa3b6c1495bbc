package syncer

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

const outboxLength = 32

// outbox sends frames to one peer without blocking the loop. A frame that does not
// fit is dropped; the next comparison of versions makes up for it.
type outbox struct {
	link   Link
	frames chan *wire.Frame
	done   chan struct{}
	closed bool
}

func newOutbox(l Link) *outbox {
	o := &outbox{link: l, frames: make(chan *wire.Frame, outboxLength), done: make(chan struct{})}
	go o.run()
	return o
}

func (o *outbox) run() {
	defer close(o.done)
	for f := range o.frames {
		if err := o.link.Push(f); err != nil {
			klog.V(2).Infof("syncer: peer did not take a message: %v", err)
			stats.Event("tree_push_failed")
		}
	}
}

func (o *outbox) send(f *wire.Frame) {
	if o.closed {
		return
	}
	select {
	case o.frames <- f:
	default:
		stats.Event("tree_push_dropped")
	}
}

func (o *outbox) close() {
	if !o.closed {
		o.closed = true
		close(o.frames)
	}
}
