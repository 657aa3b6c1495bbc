package tree

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrDelta is returned by Patch for a delta that is corrupt or was made from another value.
var ErrDelta = errors.New("delta is corrupt or does not apply to the value")

const (
	// chunkEnd terminates each JSON object, so that a chunk is one entry of a list.
	chunkEnd      = '}'
	checksumBytes = 8
)

// Delta returns a delta that Patch applies to old to get updated. It holds the xxHash64
// checksum of updated, then copies (offset and length in old) and literals (length and
// bytes). The lowest bit of the first varint of each is 1 for a copy and 0 for a literal.
func Delta(old, updated []byte) []byte {
	offsets := make(map[uint64]int)
	for offset, c := range chunks(old) {
		offsets[xxhash.Sum64(c)] = offset
	}
	w := &deltaWriter{encoded: binary.BigEndian.AppendUint64(nil, xxhash.Sum64(updated))}
	for _, c := range chunks(updated) {
		offset, ok := offsets[xxhash.Sum64(c)]
		if ok && bytes.HasPrefix(old[offset:], c) {
			w.addCopy(offset, len(c))
		} else {
			w.pendingLiteral = append(w.pendingLiteral, c...)
		}
	}
	w.flushCopy()
	w.flushLiteral()
	return w.encoded
}

// chunks yields the chunks of data, each with its offset.
func chunks(data []byte) func(yield func(int, []byte) bool) {
	return func(yield func(int, []byte) bool) {
		for start := 0; start < len(data); {
			end := len(data)
			if i := bytes.IndexByte(data[start:], chunkEnd); i >= 0 {
				end = start + i + 1
			}
			if !yield(start, data[start:end]) {
				return
			}
			start = end
		}
	}
}

// deltaWriter encodes copies and literals, merging adjacent ones. A pending copy precedes
// the pending literal.
type deltaWriter struct {
	encoded                []byte
	copyOffset, copyLength int
	pendingLiteral         []byte
}

func (w *deltaWriter) addCopy(offset, length int) {
	if len(w.pendingLiteral) == 0 && w.copyLength > 0 && w.copyOffset+w.copyLength == offset {
		w.copyLength += length
		return
	}
	w.flushCopy()
	w.flushLiteral()
	w.copyOffset, w.copyLength = offset, length
}

func (w *deltaWriter) flushCopy() {
	if w.copyLength > 0 {
		w.encoded = binary.AppendUvarint(w.encoded, uint64(w.copyOffset)<<1|1)
		w.encoded = binary.AppendUvarint(w.encoded, uint64(w.copyLength))
		w.copyLength = 0
	}
}

func (w *deltaWriter) flushLiteral() {
	if len(w.pendingLiteral) > 0 {
		w.encoded = binary.AppendUvarint(w.encoded, uint64(len(w.pendingLiteral))<<1)
		w.encoded = append(w.encoded, w.pendingLiteral...)
		w.pendingLiteral = w.pendingLiteral[:0]
	}
}

// Patch applies a delta to the old value and returns the updated value. It returns ErrDelta
// if the delta is malformed, the result exceeds MaxValueBytes, or its checksum differs.
func Patch(old, delta []byte) ([]byte, error) {
	if len(delta) < checksumBytes {
		return nil, ErrDelta
	}
	checksum, rest := binary.BigEndian.Uint64(delta), delta[checksumBytes:]
	var out []byte
	for len(rest) > 0 {
		header, n := binary.Uvarint(rest)
		if n <= 0 {
			return nil, ErrDelta
		}
		rest = rest[n:]
		source, length := rest, header>>1
		if header&1 == 1 {
			if header>>1 > uint64(len(old)) {
				return nil, ErrDelta
			}
			source = old[header>>1:]
			if length, n = binary.Uvarint(rest); n <= 0 {
				return nil, ErrDelta
			}
			rest = rest[n:]
		}
		if length > uint64(len(source)) || uint64(len(out))+length > MaxValueBytes {
			return nil, ErrDelta
		}
		out = append(out, source[:length]...)
		if header&1 == 0 {
			rest = rest[length:]
		}
	}
	if xxhash.Sum64(out) != checksum {
		return nil, ErrDelta
	}
	return out, nil
}
