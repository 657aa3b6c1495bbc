package wire

import (
	"encoding/binary"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	initialBufferBytes = 2 << 10
	// maxKeptBufferBytes is the capacity up to which a buffer is returned to the pool.
	maxKeptBufferBytes = 256 << 10
)

// buffer is a pooled buffer for an encoded frame. Decoded messages don't share its memory.
type buffer struct {
	data []byte
}

var bufferPool = sync.Pool{New: func() any { return &buffer{data: make([]byte, 0, initialBufferBytes)} }}

// release returns the buffer to the pool.
func (b *buffer) release() {
	if cap(b.data) <= maxKeptBufferBytes {
		bufferPool.Put(b)
	}
}

// appendFrame appends the frame, preceded by its length as a varint, so that both are sent in
// one write.
func appendFrame(data []byte, f *Frame) ([]byte, error) {
	data = binary.AppendUvarint(data, uint64(proto.Size(f)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, f)
}

// FrameSize returns the number of bytes of the encoded frame with its length prefix, or 0 when
// it can't be encoded.
func FrameSize(f *Frame) int {
	data, err := appendFrame(nil, f)
	if err != nil {
		return 0
	}
	return len(data)
}
