package tree

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrDelta is returned for a difference that does not fit the old value.
var ErrDelta = errors.New("difference does not fit the value")

const (
	// chunkEnd ends each entry of a list in JSON, so that chunks are entries.
	chunkEnd      = '}'
	checksumBytes = 8
)

// Delta returns the difference from old to now. It is a sequence of copies (offset
// and length in old) and literals, each with the kind in the lowest bit of its
// first number, after the checksum of now.
func Delta(old, now []byte) []byte {
	at := make(map[uint64]int)
	for offset, c := range chunks(old) {
		at[xxhash.Sum64(c)] = offset
	}
	w := &deltaWriter{out: binary.BigEndian.AppendUint64(nil, xxhash.Sum64(now))}
	for _, c := range chunks(now) {
		offset, ok := at[xxhash.Sum64(c)]
		if ok && bytes.HasPrefix(old[offset:], c) {
			w.copy(offset, len(c))
		} else {
			w.literal = append(w.literal, c...)
		}
	}
	w.flushCopy()
	w.flushLiteral()
	return w.out
}

// chunks yields the parts of data with their offsets.
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

// deltaWriter joins neighbouring copies and literals. A pending copy comes before
// the pending literal.
type deltaWriter struct {
	out            []byte
	offset, length int
	literal        []byte
}

func (w *deltaWriter) copy(offset, length int) {
	if len(w.literal) == 0 && w.length > 0 && w.offset+w.length == offset {
		w.length += length
		return
	}
	w.flushCopy()
	w.flushLiteral()
	w.offset, w.length = offset, length
}

func (w *deltaWriter) flushCopy() {
	if w.length > 0 {
		w.out = binary.AppendUvarint(w.out, uint64(w.offset)<<1|1)
		w.out = binary.AppendUvarint(w.out, uint64(w.length))
		w.length = 0
	}
}

func (w *deltaWriter) flushLiteral() {
	if len(w.literal) > 0 {
		w.out = binary.AppendUvarint(w.out, uint64(len(w.literal))<<1)
		w.out = append(w.out, w.literal...)
		w.literal = w.literal[:0]
	}
}

// Patch applies a difference to the old value.
func Patch(old, delta []byte) ([]byte, error) {
	if len(delta) < checksumBytes {
		return nil, ErrDelta
	}
	sum, rest := binary.BigEndian.Uint64(delta), delta[checksumBytes:]
	var now []byte
	for len(rest) > 0 {
		head, n := binary.Uvarint(rest)
		if n <= 0 {
			return nil, ErrDelta
		}
		rest = rest[n:]
		from, length := rest, head>>1
		if head&1 == 1 {
			if head>>1 > uint64(len(old)) {
				return nil, ErrDelta
			}
			from = old[head>>1:]
			if length, n = binary.Uvarint(rest); n <= 0 {
				return nil, ErrDelta
			}
			rest = rest[n:]
		}
		if length > uint64(len(from)) || uint64(len(now))+length > MaxValueBytes {
			return nil, ErrDelta
		}
		now = append(now, from[:length]...)
		if head&1 == 0 {
			rest = rest[length:]
		}
	}
	if xxhash.Sum64(now) != sum {
		return nil, ErrDelta
	}
	return now, nil
}
