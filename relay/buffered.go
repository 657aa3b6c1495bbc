package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
)

// maxBufferedBytes is the maximum size of the response body of a request without streaming. Such a body is buffered as
// a whole.
const maxBufferedBytes = 8 << 20

// bufferedResponse is the whole response of an attempt.
type bufferedResponse struct {
	attempt *attempt
	status  int
	header  http.Header
	// length is the announced length of the body, which the answer to a HEAD request lacks; negative if unknown.
	length int64
	// ending is what ended the upstream's answer.
	ending string
	body   []byte
	// claim is what the body holds of the server's budget.
	claim bodyClaim
}

// answerWriter ends the writing of an answer.
type answerWriter struct{ *exchange }

func (x answerWriter) yieldBudget() {
	stats.Event("answers_given_way")
	_ = http.NewResponseController(x.writer).SetWriteDeadline(longPast)
}

// relayBuffered reads the whole response and sends it to the caller. While the request may run again,
// it keeps a 5xx response instead, for the case that no other upstream succeeds.
func (a *attempt) relayBuffered(ctx context.Context, res *response) sched.Outcome {
	a.buffering = true
	a.recordPlainBegin(res)
	now, deadline := a.server.Clock.Now(), a.arrivedAt.Add(a.timeout)
	if a.next != nil {
		// From then on handleSilence looks whether the successor answers.
		deadline = min(deadline, now.Add(silenceRecheck))
	}
	if err := res.setReadDeadline(wallTime(now, deadline)); err != nil {
		res.abort()
		return a.handleCallError(ctx, err)
	}
	p := &bufferedResponse{attempt: a, status: res.status, header: res.header, length: res.length}
	p.claim.pool, p.claim.clock, p.claim.owner = a.server.answers, a.server.Clock, answerWriter{a.exchange}
	defer p.claim.release()
	// Only a caller that does not read its answer gives way.
	p.claim.protect()
	body, err := p.claim.readAll(io.LimitReader(res.body, maxBufferedBytes+1), res.length)
	if err == nil && len(body) > maxBufferedBytes {
		err = errors.New("response is too large")
	}
	if err != nil {
		res.abort()
		a.failedBy(err)
		if ctx.Err() != nil {
			return a.endRun(ctx)
		}
		return a.retryOrGiveUp(ctx)
	}
	res.release()
	if res.status < http.StatusInternalServerError {
		a.ticket.Began()
	}
	p.body, p.ending = body, res.ending()
	if res.status >= 500 && a.route.RetryMode != fleet.AtMostOnce && a.runs < a.route.MaxAttempts && res.status != http.StatusGatewayTimeout {
		a.failureResponse = p
		a.failed("status " + strconv.Itoa(res.status))
		return sched.Failed
	}
	a.writeBuffered(p)
	if res.status >= 500 {
		return sched.Failed
	}
	return sched.Served
}

// recordPlainBegin records that the upstream began to run a plain call, which it does as soon as it gets it.
func (a *attempt) recordPlainBegin(res *response) {
	if !a.route.Stream && !res.NotRun && (res.HasReceipt || res.Instance != "") {
		a.recordBegin(a.assignedAt)
	}
}

// writeBuffered sends a buffered response to the caller and finishes the request.
func (x *exchange) writeBuffered(p *bufferedResponse) {
	x.finished = true
	p.attempt.recordServed(p.status, p.ending, x.server.Clock.Now())
	h := x.writer.Header()
	platform.CopyResponseHeader(h, p.header)
	if x.httpRequest.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	} else if p.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(p.length, 10))
	}
	if x.server.stopping() {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(p.status)
	p.claim.offer()
	for rest := p.body; ; {
		n := min(len(rest), answerPieceBytes)
		if _, err := x.writer.Write(rest[:n]); err != nil {
			stats.Event("answers_not_sent")
			break
		}
		if rest = rest[n:]; len(rest) == 0 {
			break
		}
		p.claim.progress()
	}
	// The deadline that ended the write may come late and hit the next answer on the connection.
	x.aborted = !p.claim.keep()
}

// answerPieceBytes is the size of the pieces of an answer by which its progress is seen.
const answerPieceBytes = 8 << 10
