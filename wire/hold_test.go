package wire

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// frame returns the header of a frame of yamux.
func frame(kind byte, flags uint16, length uint32) []byte {
	b := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	return binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 1), length)
}

// scriptedConn is a connection on which pieces arrive one after the other.
type scriptedConn struct {
	net.Conn
	pieces [][]byte
}

// Read implements net.Conn.
func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.pieces[0])
	c.pieces = c.pieces[1:]
	return n, nil
}

// readAll reads n times and returns all bytes.
func readAll(c net.Conn, n int) string {
	buf, all := make([]byte, 100), ""
	for range n {
		n, _ := c.Read(buf)
		all += string(buf[:n])
	}
	return all
}

// Guards against frames that are acted on before their peer has proved anything, however their headers are cut, and against
// ones that are lost: peers that have the secret send large frames right behind their proof.
func TestFramesBehindHandshakeWait(t *testing.T) {
	opens, hello, large := frame(1, frameFlagOpens, 0), append(frame(0, 0, 5), "hello"...), frame(0, 0, 1<<20)
	for name, pieces := range map[string][][]byte{
		"large frame":     {opens[:5], append(opens[5:], hello[:14]...), hello[14:], large, []byte("data")},
		"many streams":    {opens, opens, opens, opens, opens, []byte("data")},
		"headers are cut": {opens, hello[:8], hello[8:], large[:11], large[11:], []byte("data")},
	} {
		t.Run(name, func(t *testing.T) {
			all := ""
			for _, p := range pieces {
				all += string(p)
			}
			c := newHandshakeConn(&scriptedConn{pieces: pieces})
			before := readAll(c, len(pieces)-2)
			assert.Assert(t, len(before) <= len(all)-len("data")-1)
			held := make(chan string)
			go func() { held <- readAll(c, 2) }()
			select {
			case <-held:
				t.Fatal("the frame is read before the peer has proved anything")
			case <-time.After(50 * time.Millisecond):
			}
			close(c.known)
			assert.Equal(t, before+<-held, all)
		})
	}
}
