package wire

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// appendFrame appends the frame with its length as a varint, so that one write
// carries both.
func appendFrame(b []byte, f *Frame) ([]byte, error) {
	b = binary.AppendUvarint(b, uint64(proto.Size(f)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
}

// Size returns the number of bytes that the frame takes on a stream.
func Size(f *Frame) int {
	b, err := appendFrame(nil, f)
	if err != nil {
		return 0
	}
	return len(b)
}
