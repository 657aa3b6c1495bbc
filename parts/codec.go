package parts

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/wire"
)

// decodeReply returns false for unknown replies.
func decodeReply(r wire.PartReply_Reply) (Reply, bool) {
	switch r {
	case wire.PartReply_BUSY:
		return Busy, true
	case wire.PartReply_GRANTED:
		return Granted, true
	case wire.PartReply_HARMLESS:
		return Harmless, true
	case wire.PartReply_DENIED:
		return Denied, true
	}
	return 0, false
}

func encodeReply(r Reply) wire.PartReply_Reply {
	switch r {
	case Granted:
		return wire.PartReply_GRANTED
	case Harmless:
		return wire.PartReply_HARMLESS
	case Denied:
		return wire.PartReply_DENIED
	case Busy:
	}
	return wire.PartReply_BUSY
}

func encodeStage(s Stage) wire.PartRequest_Stage {
	if s == Sending {
		return wire.PartRequest_SENDING
	}
	return wire.PartRequest_QUEUED
}

func decodeStage(s wire.PartRequest_Stage) Stage {
	if s == wire.PartRequest_SENDING {
		return Sending
	}
	return Queued
}

// EncodeSuspects encodes suspects with ages that count back from now.
func EncodeSuspects(now clock.Time, list []Suspect) []*wire.PartSuspect {
	out := make([]*wire.PartSuspect, 0, len(list))
	for _, s := range list {
		m := &wire.PartSuspect{Part: uint64(s.Part), Began: s.BeganAt != 0, BeganAgeMs: int64(now.Sub(s.BeganAt))}
		for _, c := range s.Crashes {
			m.Crashes = append(m.Crashes, &wire.PartCrash{Id: uint64(c.ID), AgeMs: int64(now.Sub(c.SentAt))})
		}
		out = append(out, m)
	}
	return out
}

// ageOf converts an age from wire format; one that is negative becomes 0.
func ageOf(ms int64) clock.Span { return clock.Span(max(ms, 0)) }

// decodeSuspect decodes a suspect whose ages count back from sentAt.
func decodeSuspect(m *wire.PartSuspect, sentAt clock.Time, dated bool) Suspect {
	s := Suspect{Part: ID(m.GetPart())}
	switch {
	case m.GetBegan() && dated:
		s.BeganAt = max(sentAt.Add(-ageOf(m.GetBeganAgeMs())), EverBegan)
	case m.GetBegan():
		s.BeganAt = EverBegan
	}
	for _, c := range m.GetCrashes() {
		s.Crashes = append(s.Crashes, Crash{
			ID: retry.CrashID(c.GetId()), SentAt: max(sentAt.Add(-ageOf(c.GetAgeMs())), EverBegan+1),
		})
	}
	return s
}
