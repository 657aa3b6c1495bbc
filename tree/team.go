// Package tree holds the operators' configuration: the value of each team, its
// checks, and the immutable snapshot of all teams that traffic reads.
package tree

import (
	"time"

	"github.com/magnolialever/magnolialever/units"
)

// FleetTeam is the team whose value also holds what concerns all teams: limits, marks of
// availability zones and upstreams, and credentials of fleet administrators.
const FleetTeam units.TeamID = "fleet"

// Team is the value of one team.
type Team struct {
	// Attempt names the write that produced the value, so that a writer recognises
	// its own write after its answer was lost.
	Attempt   units.AttemptID `json:"attempt,omitempty"`
	Customers []Customer      `json:"customers,omitempty"`
	Keys      []Key           `json:"keys,omitempty"`
	Models    []Model         `json:"models,omitempty"`
	Adapters  []Adapter       `json:"adapters,omitempty"`
	Services  []Service       `json:"services,omitempty"`
	// Credentials let operators change this team's value; those of the team Fleet
	// reach all teams.
	Credentials []Credential `json:"credentials,omitempty"`
	// ExcludedZones and UpstreamsOut receive no new work. Only in the value of Fleet.
	ExcludedZones     []units.Zone       `json:"zones_out,omitempty"`
	ExcludedUpstreams []units.UpstreamID `json:"upstreams_out,omitempty"`
	// Limits apply to all teams. Only in the value of Fleet.
	Limits *Limits `json:"limits,omitempty"`
	// History holds the last changes, oldest first.
	History []Change `json:"history,omitempty"`
}

// Customer is a paying party.
type Customer struct {
	ID units.CustomerID `json:"id"`
	// Rate is in tokens a second.
	Rate  units.Tokens `json:"rate"`
	Burst units.Tokens `json:"burst"`
	// Weight is the share of the customer among those that wait; 0 means 1.
	Weight uint32 `json:"weight,omitempty"`
	// Class is the default class of requests; empty means normal.
	Class ClassName `json:"class,omitempty"`
}

// Key lets requests run for a customer of the same team.
type Key struct {
	ID       units.KeyID      `json:"id"`
	Hash     Hash             `json:"hash"`
	Customer units.CustomerID `json:"customer"`
	// Class replaces the default class of the customer unless it is empty.
	Class     ClassName `json:"class,omitempty"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
}

// Model is a base model.
type Model struct {
	ID units.ModelID `json:"id"`
	// Bytes is the accelerator memory that a replica needs for the model.
	Bytes   units.Bytes `json:"bytes"`
	Version string      `json:"version,omitempty"`
}

// Adapter is a fine-tuned addition to a base model.
type Adapter struct {
	ID      units.ModelID `json:"id"`
	Base    units.ModelID `json:"base"`
	Bytes   units.Bytes   `json:"bytes"`
	Version string        `json:"version,omitempty"`
}

// Service is a plain service.
type Service struct {
	ID units.ServiceID `json:"id"`
	// Idempotent lists the calls that may be repeated; all others may not.
	Idempotent []Route `json:"idempotent,omitempty"`
	// Open lists the calls that need no key.
	Open []Route `json:"open,omitempty"`
}

// Route selects calls of a service.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string `json:"method"`
	// Path is the whole path inside the service, or a prefix when it ends with "/*".
	Path string `json:"path"`
}

// Credential lets an operator use the operator interface.
type Credential struct {
	ID   string `json:"id"`
	Hash Hash   `json:"hash"`
}

// Limits bound the whole fleet. A value of 0 sets no bound.
type Limits struct {
	// ReplicaBytes is the accelerator memory of one replica; a model with one of its
	// adapters must fit.
	ReplicaBytes units.Bytes `json:"replica_bytes,omitempty"`
	// ModelBytes bounds the memory of all models together, one copy each.
	ModelBytes units.Bytes `json:"model_bytes,omitempty"`
	// Rate bounds the sum of the customers' rates, in tokens a second.
	Rate units.Tokens `json:"rate,omitempty"`
	// WeightLoadRate bounds loads from the weight store, in loads a second.
	WeightLoadRate float64 `json:"weight_loads,omitempty"`
	// WeightLoadConcurrency bounds simultaneous loads from the weight store.
	WeightLoadConcurrency int `json:"weight_concurrent,omitempty"`
	// Customers, Keys, Models and Adapters bound the number of entries of one team.
	Customers int `json:"customers,omitempty"`
	Keys      int `json:"keys,omitempty"`
	Models    int `json:"models,omitempty"`
	Adapters  int `json:"adapters,omitempty"`
}

// Change is an entry of the history.
type Change struct {
	Attempt units.AttemptID `json:"attempt"`
	Who     string          `json:"who"`
	When    time.Time       `json:"when"`
	Summary string          `json:"summary"`
}
