package serve

import (
	"context"
	"fmt"
	"net/http"
)

// defaultAddress is the listen address of fakes that are given none: a free port.
const defaultAddress = "127.0.0.1:0"

// Base is the common part of the fakes: an HTTP server and injectable faults of type T.
type Base[T any] struct {
	server *Server
	faults Faults[T]
}

// Listen opens the listener and adds the endpoint /fault to m, see Faults. An empty address
// means a free port of 127.0.0.1. The name of the fake appears in the error.
func (b *Base[T]) Listen(name, address string, m *http.ServeMux) error {
	if address == "" {
		address = defaultAddress
	}
	m.Handle("/fault", &b.faults)
	server, err := Listen(address, m)
	if err != nil {
		return fmt.Errorf("%s fake: %w", name, err)
	}
	b.server = server
	return nil
}

// Addr returns the listen address as host:port.
func (b *Base[T]) Addr() string { return b.server.Addr() }

// Run serves requests until ctx is done. It returns nil then, and an error if serving fails.
func (b *Base[T]) Run(ctx context.Context) error { return b.server.Run(ctx) }

// HTTPServer returns the HTTP server, on which tests simulate crashes and restarts.
func (b *Base[T]) HTTPServer() *Server { return b.server }

// Faults returns a copy of the injected faults.
func (b *Base[T]) Faults() T { return b.faults.Get() }

// Update changes the injected faults under a lock.
func (b *Base[T]) Update(change func(*T)) { b.faults.Update(change) }

// Consume decrements the counter of a fault and reports whether it was above 0.
func (b *Base[T]) Consume(counter func(*T) *int) bool { return b.faults.Consume(counter) }
