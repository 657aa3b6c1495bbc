package gate

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// maxParts bounds the parts of a prompt that are looked at, those at the beginning first.
const maxParts = 16

// messageHashes returns a hash of each message of a chat but the last one, which belongs to the request. It
// fails if the prompt is no JSON array.
func messageHashes(messages jx.Raw) ([]uint64, error) {
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(messages)
	var hashes []uint64
	err := d.Arr(func(d *jx.Decoder) error {
		m, err := d.Raw()
		hashes = append(hashes, xxhash.Sum64(m))
		return err
	})
	return hashes[:min(max(len(hashes)-1, 0), maxParts)], err
}

// leadingHashes returns the hashes of the leading blocks of a prompt without messages, of 1, 2, 4 and so on
// blocks. Beginnings that requests share and that are shorter are not distinguished.
func leadingHashes(prefixHashes []uint64) []uint64 {
	var hashes []uint64
	for n := 1; n <= len(prefixHashes); n *= 2 {
		hashes = append(hashes, prefixHashes[n-1])
	}
	return hashes
}

// promptOf returns what a request for a model or adapter shares with others; hashes are those of the parts of its
// prompt.
func promptOf(target units.ModelID, hashes []uint64) parts.Prompt {
	p := parts.Prompt{Target: parts.NewTargetID(units.ServiceID(target), "")}
	for _, h := range hashes {
		p.Parts = append(p.Parts, parts.NewID(units.ServiceID(target), strconv.FormatUint(h, 16)))
	}
	return p
}

// acquireTicket waits until a request with the prompt's parts may be sent.
func (r *relay) acquireTicket(ctx context.Context) *Problem {
	wait, cancel := context.WithTimeout(ctx, r.capacityDeadline().Sub(r.server.clock.Now()).Duration())
	defer cancel()
	ticket, retryAfter := r.server.options.Parts.Acquire(wait, r.request.info.Prompt)
	switch {
	case ticket != nil:
		r.ticket = ticket
		return nil
	case retryAfter > 0:
		return &Problem{Code: units.CrashSuspect, Message: "a part of the prompt, or the model or adapter, crashes upstreams", RetryAfter: retryAfter}
	case context.Cause(ctx) != nil:
		return asProblem(context.Cause(ctx))
	}
	return newProblem(units.DeadlineMissed, "other requests with a part of the prompt are on their way")
}

// confirmTicket reports whether the request may be sent now. If it is neither sent nor refused, it needs a
// new ticket.
func (r *relay) confirmTicket(ctx context.Context) (bool, *Problem) {
	reply, retryAfter := r.ticket.Confirm(ctx)
	switch reply {
	case parts.Granted:
		return true, nil
	case parts.Denied:
		return false, &Problem{Code: units.CrashSuspect, Message: "a part of the prompt, or the model or adapter, crashes upstreams", RetryAfter: retryAfter}
	}
	stats.Event("part_permits_ended")
	return false, nil
}

// endTicket ends the ticket of an attempt, which is nil if it was not sent. If the upstream crashed before the
// answer began, the parts of the prompt become suspect.
func (r *relay) endTicket(a *attempt) {
	if r.ticket == nil {
		return
	}
	ticket := r.ticket
	r.ticket = nil
	if a == nil || !a.result.Crashed {
		ticket.End(nil)
		return
	}
	stats.Event("answers_broken_off")
	crash := parts.Crash{ID: retry.CrashID(a.result.CrashID), SentAt: ticket.SentAt()}
	for _, s := range ticket.End(&crash) {
		stats.Event("part_suspects")
		klog.InfoS("gate: part suspect", "attempt", a.id, "upstream", a.upstream.id, "part", s.Part, "crashes", len(s.Crashes))
	}
}
