package coord

import (
	"sync"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// outboxLength bounds the frames that wait for a slow peer. Later ones are dropped:
// all messages of the control loop may be lost.
const outboxLength = 256

// outboxes send the frames of the control loop, so that a slow peer can't block it.
// The control loop is the only caller.
type outboxes struct {
	boxes map[string]*outbox
	group sync.WaitGroup
}

// outbox is the queue of one link.
type outbox struct {
	link   gate.Link
	frames chan *wire.Frame
}

func newOutboxes() *outboxes { return &outboxes{boxes: map[string]*outbox{}} }

// open replaces the link of the process.
func (o *outboxes) open(id string, l gate.Link) {
	if old, ok := o.boxes[id]; ok {
		close(old.frames)
	}
	b := &outbox{link: l, frames: make(chan *wire.Frame, outboxLength)}
	o.boxes[id] = b
	o.group.Go(b.run)
}

// run ends when the outbox is closed; after the end of the session each push fails
// at once.
func (b *outbox) run() {
	for f := range b.frames {
		if b.link.Push(f) != nil {
			stats.Event("control_frame_undelivered")
		}
	}
}

// close ends the outbox and reports true, unless another link has replaced it.
func (o *outboxes) close(id string, l gate.Link) bool {
	b, ok := o.boxes[id]
	if !ok || b.link != l {
		return false
	}
	close(b.frames)
	delete(o.boxes, id)
	return true
}

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

// has reports whether the process is connected.
func (o *outboxes) has(id string) bool {
	_, ok := o.boxes[id]
	return ok
}

func (o *outboxes) broadcast(f *wire.Frame) {
	for id := range o.boxes {
		o.push(id, f)
	}
}

// stop ends all outboxes. Their sessions must end too, or a push could block.
func (o *outboxes) stop() {
	for id, b := range o.boxes {
		close(b.frames)
		delete(o.boxes, id)
	}
}
