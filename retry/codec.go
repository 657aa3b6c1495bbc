package retry

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/wire"
)

// EncodeSuspect encodes a suspect. Expiry is sent as the time left, because clocks differ between processes.
func EncodeSuspect(now clock.Time, s Suspect) *wire.Suspect {
	return &wire.Suspect{
		Fingerprint: uint64(s.Fingerprint), Crashes: uint32(len(s.Crashes)), Ttl: int64(s.Expires.Sub(now)),
		Crash: encodeCrashes(s.Crashes), Refuted: encodeCrashes(s.Refuted),
	}
}

func encodeCrashes(list []CrashID) []uint64 {
	out := make([]uint64, 0, len(list))
	for _, c := range list {
		out = append(out, uint64(c))
	}
	return out
}

// DecodeSuspect decodes a suspect of another process. Its time to live is at most SuspectTTL.
func DecodeSuspect(now clock.Time, w *wire.Suspect) Suspect {
	return Suspect{
		Fingerprint: Fingerprint(w.GetFingerprint()), Expires: now.Add(min(clock.Span(w.GetTtl()), SuspectTTL)),
		Crashes: decodeCrashes(w.GetCrash()), Refuted: decodeCrashes(w.GetRefuted()),
	}
}

func decodeCrashes(list []uint64) []CrashID {
	out := make([]CrashID, 0, len(list))
	for _, c := range list {
		out = append(out, CrashID(c))
	}
	return out
}
