package serve

import (
	"context"
	"fmt"
	"net/http"
)

// anyPort is the address of stand-ins that have none.
const anyPort = "127.0.0.1:0"

// Base is what stand-ins share: an HTTP server and switchable faults.
type Base[T any] struct {
	web    *Server
	faults Faults[T]
}

// Listen listens on the address; empty means a free port of 127.0.0.1. The mux also
// serves the faults.
func (b *Base[T]) Listen(name, address string, m *http.ServeMux) error {
	if address == "" {
		address = anyPort
	}
	m.Handle("/fault", &b.faults)
	web, err := Listen(address, m)
	if err != nil {
		return fmt.Errorf("%s stand-in: %w", name, err)
	}
	b.web = web
	return nil
}

// Addr returns the address of the listener.
func (b *Base[T]) Addr() string { return b.web.Addr() }

// Run serves until the context is done.
func (b *Base[T]) Run(ctx context.Context) error { return b.web.Run(ctx) }

// HTTPServer returns the HTTP server, to take it down and up.
func (b *Base[T]) HTTPServer() *Server { return b.web }

// Faults returns the faults in force.
func (b *Base[T]) Faults() T { return b.faults.Get() }

// Update changes the faults.
func (b *Base[T]) Update(change func(*T)) { b.faults.Update(change) }
