package wire

import "encoding/binary"

const (
	// maxHandshakeFrameBytes is the longest frame of data of a peer that has not proved that it has the secret. Yamux makes room
	// for a whole frame when its header arrives.
	maxHandshakeFrameBytes = 4 << 10
	// maxHandshakeStreams is the number of streams that such a peer may open; the handshake needs one.
	maxHandshakeStreams = 4

	// The layout of a header of yamux: version, type, flags of two bytes, stream and length of four bytes each.
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameFlagsAt     = 2
	frameLengthAt    = 8
	frameTypeData    = 0
	frameFlagOpens   = 1
)

// frameScanner finds the first frame in the bytes of a peer that takes more than the handshake needs.
type frameScanner struct {
	header [frameHeaderBytes]byte
	// have is the number of bytes of the header that have arrived, left that of the bytes of data which follow it.
	have, left int
	// streams is the number of streams that were opened.
	streams int
}

// scan returns the number of the next bytes that come before such a frame: of its header at least the last byte comes after
// them, so that nobody can act on it.
func (s *frameScanner) scan(p []byte) int {
	for i := 0; i < len(p); {
		if s.left > 0 {
			n := min(s.left, len(p)-i)
			s.left -= n
			i += n
			continue
		}
		began := i
		n := copy(s.header[s.have:], p[i:])
		s.have += n
		i += n
		if s.have < frameHeaderBytes {
			break
		}
		s.have = 0
		if !s.accept() {
			return began
		}
	}
	return len(p)
}

// accept reports whether the handshake may need the frame of the header.
func (s *frameScanner) accept() bool {
	if binary.BigEndian.Uint16(s.header[frameFlagsAt:])&frameFlagOpens != 0 {
		s.streams++
	}
	if s.header[frameTypeAt] == frameTypeData {
		length := binary.BigEndian.Uint32(s.header[frameLengthAt:])
		if length > maxHandshakeFrameBytes {
			return false
		}
		s.left = int(length)
	}
	return s.streams <= maxHandshakeStreams
}
