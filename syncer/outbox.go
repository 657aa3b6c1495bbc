package syncer

import (
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// outboxCapacity is the number of frames waiting for one peer.
const outboxCapacity = 32

// outbox sends frames to one peer without blocking the event loop. When its channel is full, a
// frame is dropped; the next comparison of versions repairs the loss.
type outbox struct {
	link   Link
	frames chan *wire.Frame
	done   chan struct{}
	closed bool
}

func newOutbox(link Link) *outbox {
	o := &outbox{link: link, frames: make(chan *wire.Frame, outboxCapacity), done: make(chan struct{})}
	go o.run()
	return o
}

// run sends frames until the outbox is closed. Errors are logged and the frame is dropped.
func (o *outbox) run() {
	defer close(o.done)
	for f := range o.frames {
		if err := o.link.Push(f); err != nil {
			klog.V(2).Infof("syncer: send message to peer: %v", err)
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

// close makes run return once the waiting frames are sent.
func (o *outbox) close() {
	if !o.closed {
		o.closed = true
		close(o.frames)
	}
}
