package soak

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	// lastPiece is the number of pieces of an answer's body; those of a stream are its events.
	lastPiece = 4
	// pieceDelay is the time between two writes of an answer.
	pieceDelay = 8 * time.Millisecond
	// spoiledShare is the share of answers with a fault, one in so many.
	spoiledShare = 5
	// maxWrongBytes is the largest number of bytes that are no part of an answer.
	maxWrongBytes = 40
)

// piece returns a piece of the body of the answer to a request, which names the request and the attempt.
func piece(events bool, i int, id string, attempt int) string {
	text := fmt.Sprintf("piece %d of %s by attempt %d", i, id, attempt)
	if events {
		return fakes.EventWith(i, text)
	}
	return text + ".\n"
}

// pieceOwner finds the request and the attempt that a piece names.
var pieceOwner = regexp.MustCompile(`of (\S+) by attempt (\d+)`)

// bodyFault returns what is wrong with the body of a success; empty if nothing is. Each piece has to be the next one of
// the request, and of one attempt; a stream that can be resumed may go on with a later attempt. No part of a piece may
// come without the rest.
func bodyFault(kind, id, body string, complete bool) string {
	events, attempt, next := kind == "talk" || kind == "stream", 1, 1
	for ; next <= lastPiece; next++ {
		for n := attempt; n <= maxAttempts && (kind == "talk" || next == 1); n++ {
			if strings.HasPrefix(body, piece(events, next, id, n)) {
				attempt = n
			}
		}
		rest, found := strings.CutPrefix(body, piece(events, next, id, attempt))
		if !found {
			break
		}
		body = rest
	}
	for _, owner := range pieceOwner.FindAllStringSubmatch(body, -1) {
		if owner[1] != id {
			return "foreign piece"
		}
		if owner[2] != strconv.Itoa(attempt) {
			return "piece of another attempt"
		}
	}
	switch {
	case body != "":
		return "bytes that are no piece"
	case complete && next <= lastPiece:
		return "body looks complete"
	}
	return ""
}

// framing is how an answer tells where its body ends.
type framing uint8

const (
	sized framing = iota
	chunked
	// closing means that the body ends with the connection.
	closing
)

// ending is what becomes of the connection after an answer.
type ending uint8

const (
	kept ending = iota
	closed
	reset
)

// answer is an answer of an upstream.
type answer struct {
	id, head string
	// parts are the parts of the body that are written one after the other, not always whole pieces.
	parts   []string
	framing framing
	// writes are the bytes on the connection.
	writes []string
	ending ending
	// late is what is written once the next request on the connection was read.
	late string
}

// newAnswer returns an attempt's answer without a fault. A stream goes on after the event that the request names.
func newAnswer(r *fakes.Request, notices string, attempt int, events bool) *answer {
	a := &answer{id: r.RequestID, head: fakes.Head(r.RequestID, "200 OK") + notices}
	first := 1
	if last, err := strconv.Atoi(r.LastEventID); err == nil {
		first = last + 1
	}
	for i := first; i <= lastPiece; i++ {
		a.parts = append(a.parts, piece(events, i, r.RequestID, attempt))
	}
	if events {
		a.head += "Content-Type: text/event-stream\r\n"
		a.framing = chunked
	}
	a.frame()
	return a
}

// frame sets the writes of the whole answer.
func (a *answer) frame() {
	body := strings.Join(a.parts, "")
	switch a.framing {
	case sized:
		a.writes = append([]string{a.head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"}, a.parts...)
	case chunked:
		a.writes = []string{a.head + "Transfer-Encoding: chunked\r\n\r\n"}
		for _, p := range a.parts {
			a.writes = append(a.writes, fmt.Sprintf("%x\r\n%s\r\n", len(p), p))
		}
		a.writes = append(a.writes, "0\r\n\r\n")
	case closing:
		a.writes = append([]string{a.head + "\r\n"}, a.parts...)
		a.ending = closed
	}
}

// split divides the body into parts that do not end where pieces do.
func (a *answer) split(random *rand.Rand) {
	body, n := strings.Join(a.parts, ""), len(a.parts)
	if n == 0 {
		return
	}
	a.parts = nil
	for ; n > 1 && len(body) > 1; n-- {
		cut := 1 + random.IntN(min(len(body)-1, 2*len(body)/n))
		a.parts, body = append(a.parts, body[:cut]), body[cut:]
	}
	a.parts = append(a.parts, body)
}

// spoil lets an answer have a fault, or none. It reports whether it has one.
func (a *answer) spoil(random *rand.Rand) bool {
	if random.IntN(2) == 0 {
		a.split(random)
		a.frame()
	}
	if random.IntN(spoiledShare) > 0 {
		return false
	}
	if random.IntN(4) == 0 {
		a.framing = closing
		a.frame()
	}
	switch random.IntN(7) {
	case 0, 1, 2:
		a.breakOff(random)
	case 3, 4:
		a.repeat(random)
	case 5:
		a.addWrongBytes(random)
	case 6:
		// An answer that does not say whose it is.
		a.writes[0] = fakes.WithoutRequestID(a.writes[0], a.id)
	}
	return true
}

// cutAt cuts what is written after n bytes.
func (a *answer) cutAt(n int) {
	for i, w := range a.writes {
		if n <= len(w) {
			a.writes = append(a.writes[:i:i], w[:n])
			return
		}
		n -= len(w)
	}
}

// breakOff ends the answer at any byte, half of the time in its head or first write of the body.
func (a *answer) breakOff(random *rand.Rand) {
	most := len(strings.Join(a.writes, ""))
	if len(a.writes) > 1 && random.IntN(2) == 0 {
		most = len(a.writes[0]) + len(a.writes[1])
	}
	a.cutAt(random.IntN(most))
	a.ending = reset
	if a.framing != closing && random.IntN(2) == 0 {
		// The end of a connection is the end of a body without a length, so that nobody could tell.
		a.ending = closed
	}
}

// repeat writes the answer again: at once, amid its body, or late.
func (a *answer) repeat(random *rand.Rand) {
	again := strings.Join(a.writes, "")
	if random.IntN(2) == 0 {
		again = fakes.WithoutRequestID(again, a.id)
	}
	switch random.IntN(4) {
	case 0:
		a.writes[len(a.writes)-1] += again
	case 1:
		if a.framing == sized || len(a.writes) == 1 {
			// Bytes amid a body with a length can't be told from the body. A resumed stream may have no piece left.
			a.writes = append(a.writes, again)
			return
		}
		i := 1 + random.IntN(len(a.writes)-1)
		n := random.IntN(len(a.writes[i]) + 1)
		a.writes[i] = a.writes[i][:n] + again + a.writes[i][n:]
	default:
		if a.framing == closing {
			a.writes = append(a.writes, again)
			return
		}
		a.late = again
	}
}

// addWrongBytes adds bytes that are part of no answer before, between or after those of the answer. Bytes inside a
// sized body, or one without a length, can't be told from the body.
func (a *answer) addWrongBytes(random *rand.Rand) {
	wrong := make([]byte, 1+random.IntN(maxWrongBytes))
	for i := range wrong {
		wrong[i] = byte(0x80 + random.IntN(0x80))
	}
	place := random.IntN(3)
	switch {
	case place == 0 || a.framing == closing:
		a.writes[0] = string(wrong) + a.writes[0]
	case place == 1 && a.framing == chunked:
		i := 1 + random.IntN(len(a.writes)-1)
		a.writes[i] = string(wrong) + a.writes[i]
	case place == 1:
		a.writes = append(a.writes, string(wrong))
	default:
		a.late = string(wrong)
	}
}

// write writes the answer after what an earlier one on the connection left.
func (a *answer) write(r *fakes.Request, late string) {
	if late != "" {
		r.WriteRaw(late)
	}
	for i, w := range a.writes {
		if i > 0 {
			time.Sleep(pieceDelay)
		}
		if r.TryWriteRaw(w) != nil {
			return
		}
	}
	switch a.ending {
	case closed:
		r.CloseConnection()
	case reset:
		r.ResetConnection()
	case kept:
	}
}
