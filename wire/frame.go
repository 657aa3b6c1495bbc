package wire

import (
	"encoding/binary"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	firstBufferBytes = 2 << 10
	// keptBufferBytes is the largest buffer that is kept for later frames.
	keptBufferBytes = 256 << 10
)

// buffer holds an encoded frame. Messages share no memory with it.
type buffer struct {
	data []byte
}

var buffers = sync.Pool{New: func() any { return &buffer{data: make([]byte, 0, firstBufferBytes)} }}

func (b *buffer) free() {
	if cap(b.data) <= keptBufferBytes {
		buffers.Put(b)
	}
}

// appendFrame appends the frame with its length as a varint, so that one write
// carries both.
func appendFrame(b []byte, f *Frame) ([]byte, error) {
	b = binary.AppendUvarint(b, uint64(proto.Size(f)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
}

// FrameSize returns the number of bytes that the frame takes on a stream.
func FrameSize(f *Frame) int {
	b, err := appendFrame(nil, f)
	if err != nil {
		return 0
	}
	return len(b)
}
