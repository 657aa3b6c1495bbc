package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// RetryMode tells what may be repeated of a request.
type RetryMode uint8

// Kinds of requests by what may be repeated.
const (
	// AtMostOnce requests may run once for each attempt of the caller.
	AtMostOnce RetryMode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable requests are streams that may go on at another upstream after the
	// last event that was delivered.
	Resumable
)

// Backend is one service of a route and its share of the traffic.
type Backend struct {
	Service units.ServiceID
	Weight  int
}

// Route says which service handles a request and how.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	RetryMode RetryMode
	// Stream answers are series of events; others are a single body.
	Stream bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout clock.Span
	// TargetLatency is the latency objective, for a stream that of the first event.
	TargetLatency clock.Span
	// MaxEventGap is the longest pause between two events of a stream that is on time.
	MaxEventGap clock.Span
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public   bool
	Backends []Backend
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name units.ModelID
	// WeightMegabytes is the size of the weights.
	WeightMegabytes float64
	// StoreLoadTime is the time of a load from the weight store.
	StoreLoadTime clock.Span
	// AdapterCount is the number of adapters, named a1, a2 and so on.
	AdapterCount int
	// AdapterMegabytes is the size of one adapter.
	AdapterMegabytes float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the number of tokens that running requests and cached prefixes share.
	MemoryTokens units.Tokens
	Models       []Model
	// MemoryMegabytes is the memory for weights and adapters.
	MemoryMegabytes float64
	// AdapterSlots is the number of adapters that fit beside the models.
	AdapterSlots int
	// LoadsPerSecond limits loads from the weight store over all replicas.
	LoadsPerSecond float64
}

// Model returns the model with the name.
func (e *Engine) Model(name units.ModelID) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// Service is a group of upstreams that serve the same routes.
type Service struct {
	Name units.ServiceID
	// ColdRate is the number of requests a second that a cold upstream bears; 0 is no
	// limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is one paying customer.
type Customer struct {
	ID units.CustomerID
	// Priority replaces the priority of the route where it is set.
	Priority *int
	// Rate and Burst bound the tokens that the customer may use; 0 is no limit.
	Rate  float64
	Burst float64
	// DefaultTokens is the number of tokens of a request that states none. With PerRequest, each
	// request counts as one instead.
	DefaultTokens units.Tokens
	PerRequest    bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// MaxBodyBytes bounds the body of a request; 0 is unknown.
	MaxBodyBytes int64
	services     map[units.ServiceID]*Service
	routes       map[string][]*Route
	keys         map[string]*Customer
	// customers is the number of customers; without any, requests need no key.
	customers []*Customer
}

// NewConfig returns a configuration without routes, services or customers.
func NewConfig(version int64) *Config {
	return &Config{
		Version:  version,
		services: map[units.ServiceID]*Service{},
		routes:   map[string][]*Route{},
		keys:     map[string]*Customer{},
	}
}

// AddRoute adds a route. Routes of a host are kept with the longest prefix first.
func (c *Config) AddRoute(r *Route) {
	c.routes[r.Host] = append(c.routes[r.Host], r)
	slices.SortStableFunc(c.routes[r.Host], func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// AddService adds a service.
func (c *Config) AddService(s *Service) { c.services[s.Name] = s }

// AddCustomer adds a customer and its keys.
func (c *Config) AddCustomer(u *Customer, keys []string) {
	c.customers = append(c.customers, u)
	for _, k := range keys {
		c.keys[k] = u
	}
}

// Route returns the route of the host whose prefix is the longest that the path
// begins with.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the named service.
func (c *Config) Service(id units.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Services returns all services.
func (c *Config) Services() map[units.ServiceID]*Service { return c.services }

// Customer returns the customer that holds the key.
func (c *Config) Customer(key string) (*Customer, bool) {
	u, ok := c.keys[key]
	return u, ok
}

// Customers returns all customers.
func (c *Config) Customers() []*Customer { return c.customers }
