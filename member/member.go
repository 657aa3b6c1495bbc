// Package member tracks the gateways of the system. Each gateway owns a key with a lease in the
// platform's store. The package performs no I/O.
package member

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/units"
)

// KeyPrefix is the prefix of the gateways' keys in the store.
const KeyPrefix = "gateways/"

// removeAfter is how long a gateway whose key is gone still counts when limits are divided: it may
// have lost only the store and still serve requests.
const removeAfter = 30 * clock.Second

// Gateway is the value of a gateway's key.
type Gateway struct {
	VM units.VMID `json:"vm"`
	// Address is the host and port where the gateway receives digests.
	Address string     `json:"address"`
	Zone    units.Zone `json:"zone"`
	// Cores is the processor share of the gateway's VM; 0 is unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Key returns the store key of a gateway.
func Key(vm units.VMID) string { return KeyPrefix + string(vm) }

// ParseKey returns the gateway that a store key belongs to, and false for other keys.
func ParseKey(key string) (units.VMID, bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return units.VMID(name), ok && name != ""
}

// Encode returns the gateway as JSON, the value of its key.
func (g *Gateway) Encode() ([]byte, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode gateway: %w", err)
	}
	return data, nil
}

// MaxCores is above the processor share of any VM. A gateway with more would get the work of all others.
const MaxCores = 4096

// Decode parses the value of a gateway's key. It fails if the VM is missing, the address is not IP:port, or the
// processor share is out of range.
func Decode(data []byte) (Gateway, error) {
	var g Gateway
	if err := rawjson.Unmarshal(data, &g); err != nil {
		return g, fmt.Errorf("decode gateway: %w", err)
	}
	a, err := netip.ParseAddrPort(g.Address)
	switch {
	case g.VM == "":
		return g, fmt.Errorf("decode gateway: name is missing")
	case err != nil || a.Port() == 0:
		return g, fmt.Errorf("decode gateway: address %s is not IP:port", rawjson.Shorten(g.Address))
	case g.Cores < 0 || g.Cores > MaxCores:
		return g, fmt.Errorf("decode gateway: %v cores are out of range", g.Cores)
	}
	return g, nil
}

// member is a gateway with the time of its removal.
type member struct {
	Gateway
	// removedAt is when the key was removed; 0 while it exists.
	removedAt clock.Time
}

// List holds the current gateways and, for removeAfter, the removed ones. It is not safe for
// concurrent use.
type List struct {
	gateways map[units.VMID]*member
	// version increases with each change of the list.
	version uint64
}

// NewList returns an empty List.
func NewList() *List { return &List{gateways: map[units.VMID]*member{}} }

// Version returns a number that increases with each change of the list.
func (l *List) Version() uint64 { return l.version }

// Set adds or replaces a gateway.
func (l *List) Set(g Gateway) {
	if m, ok := l.gateways[g.VM]; ok && m.removedAt == 0 && m.Gateway == g {
		return
	}
	l.gateways[g.VM] = &member{Gateway: g}
	l.version++
}

// Remove records that the key of a gateway was removed.
func (l *List) Remove(now clock.Time, vm units.VMID) {
	if k, ok := l.gateways[vm]; ok && k.removedAt == 0 {
		k.removedAt = now
		l.version++
	}
}

// RemoveUnlisted removes all gateways that a full read did not return.
func (l *List) RemoveUnlisted(now clock.Time, listed map[units.VMID]bool) {
	for vm := range l.gateways {
		if !listed[vm] {
			l.Remove(now, vm)
		}
	}
}

// Count returns the number of gateways that share limits, at least 1. It drops those removed at
// least removeAfter ago.
func (l *List) Count(now clock.Time) int {
	for vm, k := range l.gateways {
		if k.removedAt != 0 && now.Sub(k.removedAt) >= removeAfter {
			delete(l.gateways, vm)
			l.version++
		}
	}
	return max(len(l.gateways), 1)
}

// Get returns the gateway on a VM, and false if it is not known or its key was removed.
func (l *List) Get(vm units.VMID) (Gateway, bool) {
	m, ok := l.gateways[vm]
	if !ok || m.removedAt != 0 {
		return Gateway{}, false
	}
	return m.Gateway, true
}

// Registered returns the gateways whose keys exist, in order of VM.
func (l *List) Registered() []Gateway {
	return l.collect(func(m *member) bool { return m.removedAt == 0 })
}

// All returns the current gateways and the removed ones not yet dropped by Count, in order of VM.
// Removed ones may still be reachable.
func (l *List) All() []Gateway { return l.collect(func(*member) bool { return true }) }

// VMs returns the VMs of the gateways that All returns, in the same order.
func (l *List) VMs() []units.VMID {
	all := l.All()
	out := make([]units.VMID, 0, len(all))
	for _, g := range all {
		out = append(out, g.VM)
	}
	return out
}

func (l *List) collect(include func(m *member) bool) []Gateway {
	out := make([]Gateway, 0, len(l.gateways))
	for _, m := range l.gateways {
		if include(m) {
			out = append(out, m.Gateway)
		}
	}
	slices.SortFunc(out, func(a, b Gateway) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
