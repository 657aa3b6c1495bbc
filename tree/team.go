// Package tree holds the configuration that operators set per team: its types, its
// validation, and the immutable snapshot of all teams that requests are served from.
package tree

import (
	"time"

	"github.com/magnolialever/magnolialever/units"
)

// FleetTeam is the team whose configuration also applies to all teams: limits, excluded
// availability zones and upstreams, and credentials of fleet administrators.
const FleetTeam units.TeamID = "fleet"

// Team is the configuration of one team. It is stored as one JSON value.
type Team struct {
	// Attempt identifies the write that produced the value. A writer that lost the
	// store's response detects by it that the write succeeded.
	Attempt   units.AttemptID `json:"attempt,omitempty"`
	Customers []Customer      `json:"customers,omitempty"`
	Keys      []Key           `json:"keys,omitempty"`
	Models    []Model         `json:"models,omitempty"`
	Adapters  []Adapter       `json:"adapters,omitempty"`
	Services  []Service       `json:"services,omitempty"`
	// Credentials authorize operators to change this team's configuration; those of
	// FleetTeam authorize changes to all teams.
	Credentials []Credential `json:"credentials,omitempty"`
	// ExcludedZones and UpstreamsOut receive no new requests or loads.
	// Only FleetTeam may set them.
	ExcludedZones     []units.Zone       `json:"zones_out,omitempty"`
	ExcludedUpstreams []units.UpstreamID `json:"upstreams_out,omitempty"`
	// Limits apply to all teams. Only FleetTeam may set them.
	Limits *Limits `json:"limits,omitempty"`
	// History lists the last MaxHistory changes, oldest first.
	History []Change `json:"history,omitempty"`
}

// Customer is a party that requests are rate-limited and scheduled for.
type Customer struct {
	ID units.CustomerID `json:"id"`
	// Rate is the refill rate of the customer's token bucket, in tokens/s.
	Rate units.Tokens `json:"rate"`
	// Burst is the capacity of the token bucket, in tokens.
	Burst units.Tokens `json:"burst"`
	// Weight is the customer's relative share of capacity in the queue; 0 means 1.
	Weight uint32 `json:"weight,omitempty"`
	// Class is the default deadline class of requests; empty means normal.
	Class ClassName `json:"class,omitempty"`
}

// Key is an API key that authorizes requests for a customer of the same team.
type Key struct {
	ID       units.KeyID      `json:"id"`
	Hash     Hash             `json:"hash"`
	Customer units.CustomerID `json:"customer"`
	// Class overrides the default class of the customer unless it is empty.
	Class ClassName `json:"class,omitempty"`
	// Withdrawn keys are refused and can't be made valid again.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Model is a base model that upstreams can load.
type Model struct {
	ID units.ModelID `json:"id"`
	// Bytes is the accelerator memory that the model occupies on a replica.
	Bytes   units.Bytes `json:"bytes"`
	Version string      `json:"version,omitempty"`
}

// Adapter is a fine-tuned adapter of a base model.
type Adapter struct {
	ID   units.ModelID `json:"id"`
	Base units.ModelID `json:"base"`
	// Bytes is the accelerator memory that the adapter occupies besides its base model.
	Bytes   units.Bytes `json:"bytes"`
	Version string      `json:"version,omitempty"`
}

// Service is an HTTP service without models.
type Service struct {
	ID units.ServiceID `json:"id"`
	// Idempotent lists the routes that may be executed more than once.
	Idempotent []Route `json:"idempotent,omitempty"`
	// Open lists the routes that require no API key.
	Open []Route `json:"open,omitempty"`
}

// Route matches requests to a service.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string `json:"method"`
	// Path is the full path within the service, or a prefix if it ends in "/*".
	Path string `json:"path"`
}

// Credential authenticates an operator at the operator API.
type Credential struct {
	ID string `json:"id"`
	// Hash is the hash of the secret.
	Hash Hash `json:"hash"`
}

// Limits are fleet-wide limits. 0 means unlimited.
type Limits struct {
	// ReplicaBytes is the accelerator memory of one replica. Each model must fit in it,
	// together with any one of its adapters.
	ReplicaBytes units.Bytes `json:"replica_bytes,omitempty"`
	// ModelBytes limits the total memory of all base models, counting one copy of each.
	ModelBytes units.Bytes `json:"model_bytes,omitempty"`
	// Rate limits the sum of the customers' rates, in tokens/s.
	Rate units.Tokens `json:"rate,omitempty"`
	// WeightLoadRate limits loads from the weight store, in loads/s.
	WeightLoadRate float64 `json:"weight_loads,omitempty"`
	// WeightLoadConcurrency limits concurrent loads from the weight store.
	WeightLoadConcurrency int `json:"weight_concurrent,omitempty"`
	// Customers, Keys, Models and Adapters limit the number of entries of each team.
	Customers int `json:"customers,omitempty"`
	Keys      int `json:"keys,omitempty"`
	Models    int `json:"models,omitempty"`
	Adapters  int `json:"adapters,omitempty"`
}

// Change is an entry of a team's change history.
type Change struct {
	// Attempt identifies the write.
	Attempt units.AttemptID `json:"attempt"`
	// Who is the operator, as the credential's team and id joined by a slash.
	Who     string    `json:"who"`
	When    time.Time `json:"when"`
	Summary string    `json:"summary"`
}
