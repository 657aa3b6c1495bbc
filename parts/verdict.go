package parts

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/magnolialever/magnolialever/rawjson"
)

// VerdictPrefix is the prefix of the keys of verdicts in the store.
const VerdictPrefix = "parts/"

// Verdict says that a part is refused. Verdicts are kept in the store, so that they outlive the gateways.
type Verdict struct {
	Part ID `json:"-"`
	// Crashes is the number of crashes that no answer refutes; 0 ends the verdict.
	Crashes int `json:"crashes"`
}

// Key returns the store key of the verdict.
func (v Verdict) Key() string { return VerdictPrefix + strconv.FormatUint(uint64(v.Part), 16) }

// Encode returns the verdict as JSON, the value of its key.
func (v Verdict) Encode() ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode verdict: %w", err)
	}
	return data, nil
}

// ParseVerdictKey returns the part that a store key belongs to, and false for other keys.
func ParseVerdictKey(key string) (ID, bool) {
	hex, ok := strings.CutPrefix(key, VerdictPrefix)
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
