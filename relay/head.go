package relay

// headLimit limits the bytes and lines of a response's head. The zero value has no limit.
type headLimit struct {
	active               bool
	bytesLeft, linesLeft int
	// lineBytes is the number of bytes of the last line so far, without its end.
	lineBytes int
}

// beginHead limits what is read until the limit is removed. What the reader has buffered is a part of the head.
func (c *conn) beginHead() {
	c.headLimit = headLimit{active: true, bytesLeft: maxHeadBytes, linesLeft: maxHeadLines}
	// Peek does not fail for what is buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.headLimit.count(buffered)
}

// limit returns the part of a buffer that may be filled, or errHeadTooLarge.
func (l *headLimit) limit(p []byte) ([]byte, error) {
	switch {
	case !l.active:
		return p, nil
	case l.bytesLeft <= 0 || l.linesLeft <= 0:
		return nil, errHeadTooLarge
	}
	return p[:min(len(p), l.bytesLeft)], nil
}

// count counts bytes that were read. Bytes behind the empty line that ends the head are not a part of it.
func (l *headLimit) count(p []byte) {
	if !l.active {
		return
	}
	l.bytesLeft -= len(p)
	for _, b := range p {
		switch b {
		case '\r':
		case '\n':
			if l.lineBytes == 0 {
				l.active = false
				return
			}
			l.lineBytes = 0
			l.linesLeft--
		default:
			l.lineBytes++
		}
	}
}
