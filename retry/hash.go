package retry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// FingerprintOf returns the fingerprint of a request. It is the same for each retry and repeat
// of the request.
func FingerprintOf(customer units.CustomerID, target string, body []byte) Fingerprint {
	d := xxhash.New()
	// Zero bytes separate the parts unambiguously: customer and target contain none.
	_, _ = d.WriteString(string(customer) + "\x00" + target + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// rendezvousHash is the score of the upstream in rendezvous hashing; the highest one wins.
func rendezvousHash(f Fingerprint, u units.UpstreamID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(f))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(u))
	return d.Sum64()
}
