// Package reside decides which models and adapters reside on which upstream, and keeps
// account of the orders that change it. It performs no I/O and is not safe for
// concurrent use.
//
// It answers models and adapters that are asked for and that nothing holds, demand that
// moves from some models to others within seconds, and upstreams that are lost, leave
// or return empty.
package reside
