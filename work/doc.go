// Package work implements a queue of deferred requests in the platform's key-value store, and the
// workers in the gateways that run them. A worker claims each entry by compare-and-swap and writes
// one heartbeat for all its entries. When a heartbeat stays unchanged for too long, other workers
// claim the entries.
package work
