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
	// cutShare is the share of answers without another fault that are cut by a reset, one in so many; of these, one in
	// silentShare is silent before.
	cutShare, silentShare = 8, 6
	// cutUploadShare is like cutShare for answers to long requests.
	cutUploadShare = 2
	// leastSilence and mostSilence are the bounds of that silence. Gateways look for another upstream after 1.2 s.
	leastSilence, mostSilence = 1200 * time.Millisecond, 2700 * time.Millisecond
	// silenceBegin is the time in which answers still begin when all upstreams fall silent.
	silenceBegin = 300 * time.Millisecond
	// lateReset is the time from the end of an answer to the reset of its half-closed connection.
	lateReset = 30 * time.Millisecond
	// uploadBytes is the length of the body of a long request. Gateways with agents keep answers of up to 1 MiB, and the
	// plain service's holds the body of the request.
	uploadBytes = 1_000_000
	// wholeUpload is more than the length of any request.
	wholeUpload = 2 * uploadBytes
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
	// halfClosed means that the upstream ends its bytes in order, and resets the connection after lateReset.
	halfClosed
)

// silence is a time in which all upstreams are silent: answers stop amid their bodies, requests that arrive later than silenceBegin
// get none, and at the end their connections are reset.
type silence struct {
	since time.Time
	end   chan struct{}
}

// isComplete reports whether requests get no answer any more.
func (s *silence) isComplete() bool { return s != nil && time.Since(s.since) > silenceBegin }

// answer is an answer of an upstream.
type answer struct {
	id, head string
	// pieces are those of the whole body.
	pieces []string
	// parts are the parts of the body that are written one after the other, not always whole pieces.
	parts   []string
	framing framing
	// writes are the bytes on the connection.
	writes []string
	// silence is the time from the last write to the end of the connection; if common is set, all upstreams are silent up to its
	// end instead.
	silence time.Duration
	common  *silence
	// early is set if the answer to a long request begins before the request is read, uploadRead is how much of it is read
	// before the rest of the answer, or the reset.
	early      bool
	uploadRead int64
	// upload is set for a long request.
	upload bool
	ending ending
	// late is what is written once the next request on the connection was read.
	late string
}

// newAnswer returns an attempt's answer without a fault. A stream goes on after the event that the request names.
func newAnswer(r *fakes.Request, notices string, attempt int, events bool) *answer {
	a := &answer{id: r.RequestID, upload: r.Unread, head: fakes.Head(r.RequestID, "200 OK") + notices}
	first := 1
	if last, err := strconv.Atoi(r.LastEventID); err == nil {
		first = last + 1
	}
	for i := first; i <= lastPiece; i++ {
		a.pieces = append(a.pieces, piece(events, i, r.RequestID, attempt))
	}
	a.parts = a.pieces
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

// vary lets an answer without a fault end as those of real upstreams do: by its length, its last chunk, or its connection, which
// is closed in order, or half-closed and reset later. Some are cut by a reset; once all upstreams fall silent, all are. It reports
// whether its caller may not get it whole.
func (a *answer) vary(random *rand.Rand, common *silence) bool {
	a.framing, a.ending, a.early, a.uploadRead, a.common = framing(random.IntN(3)), kept, a.upload, wholeUpload, common
	share := cutShare
	if a.upload {
		share = cutUploadShare
	}
	if common != nil || random.IntN(share) == 0 {
		a.cut(random)
		return true
	}
	if a.framing != closing && random.IntN(4) == 0 {
		a.head += "Connection: close\r\n"
		a.ending = closed
	}
	a.frame()
	if a.framing == closing && random.IntN(2) == 0 {
		a.ending = halfClosed
		// A link may pass on the end later than lateReset.
		return true
	}
	return false
}

// cut lets an answer be cut by a reset between two pieces or inside one, at once or after a silence. Most have no length, so
// that nothing else tells that they are not whole.
func (a *answer) cut(random *rand.Rand) {
	if a.common != nil || random.IntN(2) == 0 {
		a.framing = closing
	}
	a.parts = a.pieces
	a.frame()
	if n := len(a.pieces); n > 0 {
		whole := random.IntN(n)
		next := a.writes[1+whole]
		a.writes = a.writes[:1+whole]
		if random.IntN(2) == 0 {
			a.writes = append(a.writes, next[:1+random.IntN(len(next)-1)])
		}
	}
	a.ending, a.uploadRead = reset, random.Int64N(uploadBytes>>(3*random.IntN(2)))
	if random.IntN(silentShare) == 0 {
		a.silence = leastSilence + time.Duration(random.Int64N(int64(mostSilence-leastSilence)))
	}
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
func (a *answer) write(r *fakes.Request, l *link, late string) {
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
	if a.common != nil {
		<-a.common.end
	} else {
		time.Sleep(a.silence)
	}
	a.end(r, l)
}

// writeEarly writes the answer to a long request during its upload.
func (a *answer) writeEarly(r *fakes.Request, l *link) {
	early := len(a.writes)
	if a.ending != reset {
		early /= 2
	}
	if r.TryWriteRaw(strings.Join(a.writes[:early], "")) != nil || r.ReadUpload(a.uploadRead) != nil {
		return
	}
	if r.TryWriteRaw(strings.Join(a.writes[early:], "")) == nil {
		a.end(r, l)
	}
}

// end ends the connection after the answer, or keeps it.
func (a *answer) end(r *fakes.Request, l *link) {
	switch a.ending {
	case closed:
		r.CloseConnection()
	case reset:
		r.ResetConnection()
	case halfClosed:
		r.CloseWrite()
		time.Sleep(lateReset)
		// The link has passed on the end, and can't see the reset any more.
		l.resetGateway(r.RemoteAddr)
		r.ResetConnection()
	case kept:
	}
}
