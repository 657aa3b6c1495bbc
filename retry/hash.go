package retry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// FingerprintOf hashes what makes a request the same request when it is sent again.
func FingerprintOf(customer units.CustomerID, target string, body []byte) Fingerprint {
	d := xxhash.New()
	// The separators keep customer and target apart; neither contains a zero byte.
	_, _ = d.WriteString(string(customer) + "\x00" + target + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

func rendezvous(f Fingerprint, u units.UpstreamID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(f))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(u))
	return d.Sum64()
}
