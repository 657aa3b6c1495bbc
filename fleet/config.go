package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// RetryMode says what may be repeated of a request.
type RetryMode uint8

// Retry modes.
const (
	// AtMostOnce requests may run once for each attempt of the caller.
	AtMostOnce RetryMode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable requests are streams that another upstream can resume after the last event that
	// was delivered.
	Resumable
)

// Backend is a service of a route and its weight in the traffic split.
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
	// Stream is set if answers are series of events; otherwise they are a single body.
	Stream bool
	// Timeout bounds the time from the arrival of a request to the end of its wait.
	Timeout clock.Span
	// TargetLatency is the latency objective; for streams, that of the first event.
	TargetLatency clock.Span
	// MaxEventGap is the objective for the pause between two events of a stream.
	MaxEventGap clock.Span
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public   bool
	Backends []Backend
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name units.ModelID
	// WeightMegabytes is the size of the weights in memory.
	WeightMegabytes float64
	// StoreLoadTime is the duration of a load from the weight store.
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
	// MemoryTokens is the KV cache size in tokens, shared by running requests and cached prefixes.
	MemoryTokens units.Tokens
	Models       []Model
	// MemoryMegabytes is the memory for weights and adapters.
	MemoryMegabytes float64
	// AdapterSlots is the number of adapters that can be loaded beside the models.
	AdapterSlots int
	// LoadsPerSecond limits the rate of loads from the weight store over all replicas.
	LoadsPerSecond float64
}

// Model returns the model with the name.
func (e *Engine) Model(name units.ModelID) (Model, bool) {
	if m := e.find(name); m != nil {
		return *m, true
	}
	return Model{}, false
}

func (e *Engine) find(name units.ModelID) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Has reports whether the engines can load the model and, unless it is empty, the adapter.
func (e *Engine) Has(name units.ModelID, adapter string) bool {
	m := e.find(name)
	return m != nil && (adapter == "" || m.HasAdapter(adapter))
}

// HasAdapter reports whether the model has an adapter with the name.
func (m *Model) HasAdapter(name string) bool {
	text, ok := strings.CutPrefix(name, "a")
	if !ok {
		return false
	}
	n, err := strconv.Atoi(text)
	return err == nil && 1 <= n && n <= m.AdapterCount && strconv.Itoa(n) == text
}

// Service is a group of upstreams that serve the same routes.
type Service struct {
	Name units.ServiceID
	// ColdRate is the number of requests per second that a cold upstream can serve; 0 is no limit.
	ColdRate float64
	// FirstEventObjective is the shortest latency objective of the service's streams; 0 is none.
	FirstEventObjective clock.Span
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of replicas is not ours to decide.
	Scaling *Scaling
}

// Scaling are the limits within which the number of a service's replicas is decided.
type Scaling struct {
	// Min and Max are the least and the largest number of replicas in an availability zone.
	Min, Max int
	// Boot is how long a replica takes to start.
	Boot clock.Span
}

// Customer is a paying customer with its limits.
type Customer struct {
	ID units.CustomerID
	// Priority replaces the priority of the route if set.
	Priority *int
	// Rate, in tokens per second, and Burst, in tokens, limit the customer; a Rate of 0 is no
	// limit.
	Rate  float64
	Burst float64
	// DefaultTokens is the cost of a request that states no token counts. With PerRequest set,
	// each request costs 1 instead.
	DefaultTokens units.Tokens
	PerRequest    bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// MaxBodyBytes bounds the body of a request; 0 is unknown.
	MaxBodyBytes int64
	// MaxHeaderBytes and HeaderTimeout bound the size of a request's header and the time in which it arrives, IdleTimeout is
	// how long callers may expect an idle connection to stay open; 0 is unknown.
	MaxHeaderBytes             int
	HeaderTimeout, IdleTimeout clock.Span
	services                   map[units.ServiceID]*Service
	routes                     map[string][]*Route
	keys                       map[string]*Customer
	// If customers is empty, requests need no key.
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

// AddRoute adds a route. The routes of a host are kept in order of prefix length, longest first.
func (c *Config) AddRoute(r *Route) {
	c.routes[r.Host] = append(c.routes[r.Host], r)
	slices.SortStableFunc(c.routes[r.Host], func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// ShortestObjective returns the shortest latency objective of the streams whose routes lead to the
// service; 0 if there is none.
func (c *Config) ShortestObjective(service units.ServiceID) clock.Span {
	shortest := clock.Span(0)
	for _, routes := range c.routes {
		for _, r := range routes {
			leads := slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
			if r.Stream && leads && r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
				shortest = r.TargetLatency
			}
		}
	}
	return shortest
}

// LongestTimeout returns the longest timeout of a route; 0 if there are no routes.
func (c *Config) LongestTimeout() clock.Span {
	longest := clock.Span(0)
	for _, routes := range c.routes {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// AddService adds a service.
func (c *Config) AddService(s *Service) { c.services[s.Name] = s }

// AddCustomer adds a customer with its API keys.
func (c *Config) AddCustomer(customer *Customer, keys []string) {
	c.customers = append(c.customers, customer)
	for _, k := range keys {
		c.keys[k] = customer
	}
}

// Route returns the route of the host with the longest prefix of the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the ID.
func (c *Config) Service(id units.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Services returns all services by ID. The map must not be changed.
func (c *Config) Services() map[units.ServiceID]*Service { return c.services }

// Customer returns the customer that the API key belongs to.
func (c *Config) Customer(key string) (*Customer, bool) {
	u, ok := c.keys[key]
	return u, ok
}

// Customers returns all customers in the order in which they were added.
func (c *Config) Customers() []*Customer { return c.customers }
