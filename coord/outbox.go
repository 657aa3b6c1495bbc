package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// outboxLength is the maximum number of frames queued for a slow peer. Further ones are dropped;
// the protocols of the control loop tolerate the loss of any message.
const outboxLength = 256

// outboxes sends the frames of the control loop to each peer from a goroutine of its own, so that a
// slow peer can't block the loop. Only the control loop calls the methods.
type outboxes struct {
	// boxes holds the outbox of each connected process by its id.
	boxes   map[string]*outbox
	senders sync.WaitGroup
}

// outbox is the queue of frames for one link.
type outbox struct {
	link   gate.Link
	frames chan *wire.Frame
}

func newOutboxes() *outboxes { return &outboxes{boxes: map[string]*outbox{}} }

// open starts an outbox for a new link of a process and ends that of an earlier link.
func (o *outboxes) open(id string, l gate.Link) {
	if old, ok := o.boxes[id]; ok {
		close(old.frames)
	}
	b := &outbox{link: l, frames: make(chan *wire.Frame, outboxLength)}
	o.boxes[id] = b
	o.senders.Go(b.run)
}

// run sends the queued frames until the outbox is closed. Once the session has ended, each push
// fails at once, so that run does not block.
func (b *outbox) run() {
	for f := range b.frames {
		if b.link.Push(f) != nil {
			stats.Event("control_frame_undelivered")
		}
	}
}

// close ends the outbox of a link. It reports false if another link has replaced it.
func (o *outboxes) close(id string, l gate.Link) bool {
	b, ok := o.boxes[id]
	if !ok || b.link != l {
		return false
	}
	close(b.frames)
	delete(o.boxes, id)
	return true
}

// push queues a frame for a process, or drops it if the process is not connected or the queue is
// full.
func (o *outboxes) push(id string, f *wire.Frame) {
	b, ok := o.boxes[id]
	if !ok {
		stats.Event("control_frame_undelivered")
		return
	}
	select {
	case b.frames <- f:
	default:
		stats.Event("control_frame_dropped")
	}
}

// connected reports whether the process is connected.
func (o *outboxes) connected(id string) bool {
	_, ok := o.boxes[id]
	return ok
}

func (o *outboxes) broadcast(f *wire.Frame) {
	for id := range o.boxes {
		o.push(id, f)
	}
}

// stop ends all outboxes. Goroutines blocked in a push only end with their sessions.
func (o *outboxes) stop() {
	for id, b := range o.boxes {
		close(b.frames)
		delete(o.boxes, id)
	}
}
