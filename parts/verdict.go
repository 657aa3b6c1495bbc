package parts

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/magnolialever/magnolialever/rawjson"
)

// Prefixes of the keys of verdicts in the store: on parts, and on whole requests.
const (
	VerdictPrefix        = "parts/"
	RequestVerdictPrefix = "requests/"
)

// Verdict says that a part, or a whole request, is refused. Verdicts are kept in the store, so that they outlive the
// gateways.
type Verdict struct {
	// Part identifies the part. For a request it is its fingerprint.
	Part ID `json:"-"`
	// Request is set if the verdict is on a whole request.
	Request bool `json:"-"`
	// Crashes is the number of crashes that no answer refutes; 0 ends the verdict.
	Crashes int `json:"crashes"`
}

// Key returns the store key of the verdict.
func (v Verdict) Key() string {
	prefix := VerdictPrefix
	if v.Request {
		prefix = RequestVerdictPrefix
	}
	return prefix + strconv.FormatUint(uint64(v.Part), 16)
}

// Encode returns the verdict as JSON, the value of its key.
func (v Verdict) Encode() ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode verdict: %w", err)
	}
	return data, nil
}

// ParseVerdictKey returns the part that a store key belongs to, and false for other keys.
func ParseVerdictKey(key string) (ID, bool) { return parseVerdictKey(key, VerdictPrefix) }

// ParseRequestVerdictKey returns the request that a store key belongs to, and false for other keys.
func ParseRequestVerdictKey(key string) (ID, bool) { return parseVerdictKey(key, RequestVerdictPrefix) }

func parseVerdictKey(key, prefix string) (ID, bool) {
	hex, ok := strings.CutPrefix(key, prefix)
	part, err := strconv.ParseUint(hex, 16, 64)
	return ID(part), ok && err == nil
}

// DecodeVerdict parses the value of a verdict's key. It fails for other values.
func DecodeVerdict(part ID, value []byte) (Verdict, error) {
	v := Verdict{Part: part}
	if err := rawjson.Unmarshal(value, &v); err != nil {
		return Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	if v.Crashes < crashLimit {
		return Verdict{}, fmt.Errorf("decode verdict: %d crashes are too few", v.Crashes)
	}
	return v, nil
}
