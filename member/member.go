// Package member knows the gateways of the system: each keeps a key with a lease in the
// platform's store. It performs no I/O.
package member

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// KeyPrefix begins the keys of gateways in the store.
const KeyPrefix = "gateways/"

// forgetAfter is how long a gateway whose key is gone still counts for the division of
// limits: it may be cut off from the store and go on serving.
const forgetAfter = 30 * clock.Second

// Gateway is what a gateway writes of itself.
type Gateway struct {
	VM units.VMID `json:"vm"`
	// Address is where the gateway receives digests.
	Address string     `json:"address"`
	Zone    units.Zone `json:"zone"`
}

// Key returns the key of a gateway.
func Key(vm units.VMID) string { return KeyPrefix + string(vm) }

// ParseKey returns the gateway that a key is of.
func ParseKey(key string) (units.VMID, bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return units.VMID(name), ok && name != ""
}

// Encode returns the value of a gateway's key.
func (g *Gateway) Encode() ([]byte, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode gateway: %w", err)
	}
	return data, nil
}

// Decode decodes the value of a gateway's key.
func Decode(data []byte) (Gateway, error) {
	var g Gateway
	if err := json.Unmarshal(data, &g); err != nil {
		return g, fmt.Errorf("decode gateway: %w", err)
	}
	if g.VM == "" || g.Address == "" {
		return g, fmt.Errorf("decode gateway: name or address is missing")
	}
	return g, nil
}

type known struct {
	Gateway
	// gone is when the key was removed; 0 while it is there.
	gone clock.Time
}

// List holds the gateways that are known, with those that were lost lately. It is not
// safe for concurrent use.
type List struct {
	gateways map[units.VMID]*known
}

// NewList returns an empty List.
func NewList() *List { return &List{gateways: map[units.VMID]*known{}} }

// Set notes the key of a gateway.
func (l *List) Set(g Gateway) { l.gateways[g.VM] = &known{Gateway: g} }

// Remove notes that the key of a gateway is gone.
func (l *List) Remove(now clock.Time, vm units.VMID) {
	if k, ok := l.gateways[vm]; ok && k.gone == 0 {
		k.gone = now
	}
}

// RemoveUnlisted removes all gateways that a full read did not name.
func (l *List) RemoveUnlisted(now clock.Time, named map[units.VMID]bool) {
	for vm := range l.gateways {
		if !named[vm] {
			l.Remove(now, vm)
		}
	}
}

// Count is the number of gateways among which limits are divided.
func (l *List) Count(now clock.Time) int {
	for vm, k := range l.gateways {
		if k.gone != 0 && now.Sub(k.gone) >= forgetAfter {
			delete(l.gateways, vm)
		}
	}
	return max(len(l.gateways), 1)
}

// All returns all gateways that count, in order of their names. Those whose key is gone
// may still be reached.
func (l *List) All() []Gateway {
	out := make([]Gateway, 0, len(l.gateways))
	for _, k := range l.gateways {
		out = append(out, k.Gateway)
	}
	slices.SortFunc(out, func(a, b Gateway) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
