// Package admit decides when an agent may start a request on its upstream. It contains a queue
// with fair shares for customers, a concurrency limit for upstreams in cold start and an adaptive
// concurrency limit for adapters. It performs no I/O; the caller passes the time.
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
	// Target is the name of the model, adapter or service.
	Target string
	Class  units.Class
	// Weight is the customer's share of the service relative to other customers; 0 counts as 1.
	Weight uint32
	// Cost is the number of tokens reserved for the request; 0 counts as 1.
	Cost units.Tokens
	// Bytes is the size of the request body.
	Bytes units.Bytes
	// Deadline is the latest time at which the request may start; 0 means none.
	Deadline clock.Time
}

func (it *Item) cost() float64 { return float64(max(it.Cost, 1)) }

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }

func (it *Item) expired(now clock.Time) bool { return it.Deadline != 0 && now.After(it.Deadline) }

// QueueOptions configure a Queue.
type QueueOptions struct {
	// MaxItems is the maximum number of waiting items of one customer.
	MaxItems int
	// MaxBytes is the maximum total size of their request bodies.
	MaxBytes units.Bytes
	// MinShare is the minimum share of the service, in tokens, that each class gets while it has
	// runnable items, whatever waits in more urgent classes.
	MinShare [units.Classes]float64
}

// DefaultMinShare reserves a tenth of the service for night requests and another tenth for
// normal ones. Without the latter, live requests could starve normal requests while night
// requests still progress.
var DefaultMinShare = [units.Classes]float64{units.Normal: 0.1, units.Night: 0.1}
