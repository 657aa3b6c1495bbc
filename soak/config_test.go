package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// withdrawalTime is the time from the store's answer to the withdrawal of a key to the last request that may run with it:
// the bound in the settings.
const withdrawalTime = 3 * time.Second

// talkTimeout is the time limit of resumable streams if upstreams fall silent: gateways look for another upstream after 1.2 s, and
// again and again up to the limit.
const talkTimeout = 3500 * time.Millisecond

// operator writes configurations. Version n has the routes and the keys of n and of n-1 besides the lasting ones: each
// version adds a route and a key, and drops those of two versions before.
type operator struct {
	fleet *fleet

	mu      sync.Mutex // guards the fields below
	version int
	// writtenAt is when the store had answered to the write of each version.
	writtenAt map[int]time.Time
	// inForce is the version that each gateway has shown to use.
	inForce map[*gateway]int
}

func newOperator(f *fleet) *operator {
	o := &operator{fleet: f, writtenAt: map[int]time.Time{}, inForce: map[*gateway]int{}}
	o.change()
	return o
}

// routeOf and keyOf name the route and the key that a version adds.
func routeOf(version int) string { return fmt.Sprint("v", version) }
func keyOf(version int) string   { return fmt.Sprint("key-", version) }

// change writes the next version.
func (o *operator) change() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.fleet.store.Put(fakes.ConfigKey, o.config())
	o.writtenAt[o.version] = time.Now()
}

// config returns the current version. The caller holds o.mu.
func (o *operator) config() map[string]any {
	config := fakes.Config(o.version, apiKey, keyOf(o.version), keyOf(o.version-1))
	if o.fleet.endings {
		fakes.SetTimeouts(config, int(talkTimeout.Milliseconds()), "talk")
	}
	fakes.AddRoute(config, routeOf(o.version))
	fakes.AddRoute(config, routeOf(o.version-1))
	return config
}

// current returns the last version written.
func (o *operator) current() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// isWithdrawn reports whether no request sent from now on may run with the key of a version.
func (o *operator) isWithdrawn(version int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.writtenAt[version+2]
	return ok && time.Since(at) > withdrawalTime
}

// isDropped reports whether a gateway has shown that it uses a version without the route of another one.
func (o *operator) isDropped(g *gateway, version int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inForce[g] >= version+2
}

// served records that a gateway has served the route of a version.
func (o *operator) served(g *gateway, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inForce[g] = max(o.inForce[g], version)
}

// sendOnRoute sends a request on the route of any version. A gateway that has served that of a version may not go back to
// an earlier one.
func (c *caller) sendOnRoute(g *gateway, i int) {
	o := c.fleet.operator
	version := max(1, o.current()-c.random.IntN(6))
	q := call{kind: "route", id: fmt.Sprintf("route-%d-%d", c.number, i), path: routeOf(version), key: apiKey}
	if o.isDropped(g, version) {
		c.fleet.record.bar(q.id, fmt.Sprintf("%s, which has used a later version than %d, went back to it", g.name, version))
	}
	if c.send(g, q) == http.StatusOK {
		o.served(g, version)
	}
}

// sendWithKey sends a request with the key of any version, which may be withdrawn.
func (c *caller) sendWithKey(g *gateway, i int) {
	o := c.fleet.operator
	version := max(1, o.current()-c.random.IntN(10))
	q := call{kind: "key", id: fmt.Sprintf("key-%d-%d", c.number, i), path: "read", key: keyOf(version)}
	if o.isWithdrawn(version) {
		c.fleet.record.bar(q.id, fmt.Sprintf("it was sent to %s more than %v after its key was withdrawn", g.name, withdrawalTime))
	}
	c.send(g, q)
}
