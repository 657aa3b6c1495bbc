// Package admit decides when an agent may start a request: the queue in front of
// the upstream, the allowance of a cold upstream and the concurrency limit for
// adapters. It has no I/O; the caller passes the time.
//
// The types are not safe for concurrent use.
package admit

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Item is one request in the queue.
type Item struct {
	ID       units.AttemptID
	Customer units.CustomerID
	// Target is the model, adapter or service.
	Target string
	Class  units.Class
	// Weight is the share of the customer relative to others; 0 counts as 1.
	Weight uint32
	// Cost is the reserved cost; 0 counts as 1.
	Cost units.Tokens
	// Bytes is the size of the body.
	Bytes units.Bytes
	// Deadline is the last moment of a useful start; 0 means none.
	Deadline clock.Time
}

func (it *Item) cost() float64 { return float64(max(it.Cost, 1)) }

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) expired(now clock.Time) bool { return it.Deadline != 0 && now.After(it.Deadline) }

// QueueOptions bound a queue.
type QueueOptions struct {
	// MaxItems bounds the waiting items of one customer.
	MaxItems int
	// MaxBytes bounds their bodies.
	MaxBytes units.Bytes
	// MinShare is the share of service that a class with waiting items gets at least,
	// whatever waits in more urgent classes.
	MinShare [units.Classes]float64
}

// DefaultMinShare keeps a tenth of the service for night work. Normal requests have
// the same floor: without it a stream of live requests could starve them while
// night work goes on.
var DefaultMinShare = [units.Classes]float64{units.Normal: 0.1, units.Night: 0.1}
