package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// processProbes is the number of connections that are tried to find out whether an upstream's process
	// has ended: its port may close a moment after its connections.
	processProbes = 3
	// processProbePause is the pause between two of them.
	processProbePause = 20 * time.Millisecond
	// processProbeTimeout bounds one of them.
	processProbeTimeout = 150 * time.Millisecond
)

// promptOf returns what the request shares with others: all parts of its prompt but the last one, which belongs
// to the request, and its model or adapter.
func promptOf(service units.ServiceID, r *fleet.Request) parts.Prompt {
	p := parts.Prompt{}
	for _, part := range r.PromptParts[:max(len(r.PromptParts)-1, 0)] {
		p.Parts = append(p.Parts, parts.NewID(service, part.ID))
	}
	if r.Model != "" {
		p.Target = parts.NewTargetID(service, string(r.Model)+"/"+r.Adapter)
	}
	return p
}

// acquireTicket waits until a request with the prompt's parts may be sent. It returns nil if it ended
// the request instead.
func (x *exchange) acquireTicket(ctx context.Context) *parts.Ticket {
	wait, cancel := context.WithTimeout(ctx, x.latestStart().Sub(x.server.Clock.Now()).Duration())
	defer cancel()
	ticket, retryAfter := x.server.Parts.Acquire(wait, x.prompt)
	switch {
	case ticket != nil:
		return ticket
	case retryAfter > 0:
		x.refuseSuspect(retryAfter)
	case ctx.Err() != nil:
		x.reason = "waiting for other requests with a part of the prompt"
		x.endCanceled(ctx)
	default:
		x.reason = "other requests with a part of the prompt are on their way"
		x.fail(upstreamFailed, deadlineMissed)
	}
	return nil
}

// confirmTicket reports whether the request may be sent to the upstream that was assigned. If not, the
// request is ended, or left for another attempt because too many with its parts are on their way.
func (x *exchange) confirmTicket(ctx context.Context, ticket *parts.Ticket, scheduled *sched.Attempt) bool {
	reply, retryAfter := ticket.Confirm(ctx)
	if reply == parts.Granted {
		return true
	}
	ticket.End(nil)
	x.server.cancelAttempt(scheduled)
	if reply == parts.Denied {
		x.refuseSuspect(retryAfter)
		return false
	}
	stats.Event("part_permits_ended")
	return false
}

// refuseSuspect ends a request with a part that crashes upstreams.
func (x *exchange) refuseSuspect(retryAfter clock.Span) {
	x.reason = "a part of the prompt, or the model or adapter, crashes upstreams"
	x.fail(upstreamFailed, &refusal{status: http.StatusServiceUnavailable, code: units.CrashSuspect, retryAfter: retryAfter})
}

// endTicket ends the ticket of an attempt. If the answer broke off before it began, it finds out whether
// the upstream's process has ended, which makes the parts of the prompt suspect.
func (a *attempt) endTicket(ctx context.Context, outcome sched.Outcome) {
	if outcome != sched.Broken {
		a.ticket.End(nil)
		return
	}
	upstream := a.scheduled.Upstream
	needsCause := !a.timedOut && a.ticket.NeedsCause()
	ended := needsCause && processEnded(ctx, upstream.Address)
	klog.InfoS("relay: answer broke off", "request", a.callerRequest.RequestID, "upstream", upstream.ID, "start", upstream.ProcessStart,
		"events", a.delivered.events, "dropped", len(a.stream.pending), "ended", ended, "parts", partIDs(a.callerRequest.PromptParts),
		"sends", a.sends, "runs", a.runs, "reason", a.reason)
	crash := parts.Crash{ID: retry.NewCrashID(upstream.ID, upstream.ProcessStart), SentAt: a.ticket.SentAt()}
	if ended {
		a.server.markUpstreamEnded(upstream.ID)
		logSuspects(a.callerRequest.RequestID, upstream.ID, a.ticket.End(&crash))
		return
	}
	a.ticket.End(nil)
	if needsCause {
		// A process that is started again at once refuses no connection. The function must not keep the request's body.
		id, ticket := a.callerRequest.RequestID, a.ticket
		a.server.onProcessEnd(upstream.Upstream, func() { logSuspects(id, upstream.ID, ticket.RecordCrash(crash)) })
	}
}

// logSuspects logs the parts that an upstream's end made suspect; id is that of the request that ran there.
func logSuspects(id string, upstream units.UpstreamID, list []parts.Suspect) {
	for _, s := range list {
		stats.Event("part_suspects")
		klog.InfoS("relay: part suspect", "request", id, "upstream", upstream, "part", s.Part, "crashes", len(s.Crashes))
	}
}

// processEnded reports whether no process listens at the upstream's address.
func processEnded(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: processProbeTimeout, KeepAlive: -1}
	for i := range processProbes {
		if i > 0 && !clock.Sleep(ctx, processProbePause) {
			return false
		}
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = c.Close()
			continue
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return false
}

// isTimeout reports whether an error means that an upstream was silent for too long.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// cancelAttempt ends a scheduled attempt that is not sent.
func (s *Server) cancelAttempt(a *sched.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Scheduler.End(s.Clock.Now(), a, sched.Canceled)
}

// partIDs returns the ids of a prompt's parts, separated by spaces, for logs.
func partIDs(prompt []fleet.PromptPart) string {
	ids := make([]string, 0, len(prompt))
	for _, p := range prompt {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, " ")
}
