package devel

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// Entries of the sample configuration. The customer's limit is sampleTokensPerSecond with bursts of
// sampleBurstTokens.
const (
	sampleTeam     = "court"
	sampleCustomer = "district-court"
	sampleModel    = "captions"
	sampleAdapter  = "captions-legal"
	sampleKey      = "hearing-room-1"

	sampleModelBytes      = 16 << 30
	sampleAdapterBytes    = 1 << 28
	sampleTokensPerSecond = 2_000
	sampleBurstTokens     = 20_000

	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 30 * time.Second
)

// Errors of CreateSample.
var (
	errRefused  = errors.New("operator interface refused the sample")
	errNotReady = errors.New("fleet is not ready within 30 s")
)

// Sample describes how to use the entries that CreateSample has created.
type Sample struct {
	// APIKey is the secret of the sample key, for the header Authorization.
	APIKey string
	// PublicAddress and OperatorAddress are the addresses of the first gateway, as IP:port.
	PublicAddress   string
	OperatorAddress string
	serviceID       units.ServiceID
}

// administratorCredential authenticates calls of the operator interface with BootstrapCredential.
type administratorCredential struct{}

// Operator implements opsapi.SecuritySource.
func (administratorCredential) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: BootstrapCredential}, nil
}

// CreateSample creates a customer, a model, an adapter, a service and a key through the operator
// interface of the first gateway. It waits until the fleet is ready and has loaded the adapter, and
// fails if this takes more than 30 s, if the interface refuses a change, or if the context ends.
func (f *Fleet) CreateSample(ctx context.Context) (*Sample, error) {
	g := f.Gateways[0]
	s := &Sample{PublicAddress: g.Gate().Addr().String(), OperatorAddress: g.OperatorAddr().String(), serviceID: f.options.ServiceID}
	c, err := opsapi.NewClient("http://"+s.OperatorAddress, administratorCredential{})
	if err != nil {
		return nil, fmt.Errorf("create operator client: %w", err)
	}
	if err := f.putSample(ctx, c); err != nil {
		return nil, err
	}
	r, err := c.IssueKey(ctx, &opsapi.IssueKey{
		Attempt: opsapi.Attempt(uuid.NewString()), ID: sampleKey, Customer: sampleCustomer,
	}, opsapi.IssueKeyParams{Team: sampleTeam})
	if err != nil {
		return nil, fmt.Errorf("issue sample key: %w", err)
	}
	k, ok := r.(*opsapi.IssuedKey)
	if !ok {
		return nil, fmt.Errorf("issue sample key: %w: %T", errRefused, r)
	}
	s.APIKey = k.Secret
	return s, f.waitUntilReady(ctx)
}

// putSample writes the sample configuration except for the key.
func (f *Fleet) putSample(ctx context.Context, c *opsapi.Client) error {
	value, err := tree.Encode(&tree.Team{
		Customers: []tree.Customer{{ID: sampleCustomer, Rate: sampleTokensPerSecond, Burst: sampleBurstTokens}},
		Models:    []tree.Model{{ID: sampleModel, Bytes: sampleModelBytes}},
		Adapters:  []tree.Adapter{{ID: sampleAdapter, Base: sampleModel, Bytes: sampleAdapterBytes}},
		Services: []tree.Service{{
			ID: f.options.ServiceID, Idempotent: []tree.Route{{Method: "GET", Path: "/*"}},
		}},
	})
	if err != nil {
		return fmt.Errorf("encode sample: %w", err)
	}
	put := &opsapi.PutTeam{Attempt: opsapi.Attempt(uuid.NewString()), Value: value}
	r, err := c.PutTeam(ctx, put, opsapi.PutTeamParams{Team: sampleTeam})
	if err != nil {
		return fmt.Errorf("write sample: %w", err)
	}
	if _, ok := r.(*opsapi.Accepted); !ok {
		return fmt.Errorf("write sample: %w: %T", errRefused, r)
	}
	return nil
}

// waitUntilReady waits until the fleet is ready and an engine has loaded the sample adapter. It fails
// after readyTimeout or when the context ends.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for !f.Ready() || !f.isResident(sampleAdapter) {
		if time.Now().After(deadline) {
			return errNotReady
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until the fleet is ready: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// isResident reports whether an engine has loaded the model or adapter.
func (f *Fleet) isResident(id units.ModelID) bool {
	for _, e := range f.Engines {
		for _, m := range e.Models() {
			if m.ID == id && m.State == engine.Resident {
				return true
			}
		}
	}
	return false
}

// ExampleCommands returns shell commands that use the sample.
func (s *Sample) ExampleCommands() string {
	return fmt.Sprintf(`The fleet is ready. Try:

# a chat completion
curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
  -d '{"model":"%[3]s","messages":[{"role":"user","content":"Good morning"}],"max_tokens":16}'

# a streamed chat completion of the adapter
curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
  -d '{"model":"%[4]s","messages":[{"role":"user","content":"Good morning"}],"max_tokens":16,"stream":true}'

# a call of a plain service with an idempotency key: a repetition returns the stored response
curl -s http://%[1]s/svc/%[5]s/book -X POST -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: booking-1' \
  -H 'Content-Type: application/json' -d '{"case":7}'

# operator commands: exclude an availability zone from new work, and restore it
export MAGNOLIALEVER_ADDRESS=http://%[6]s MAGNOLIALEVER_CREDENTIAL=%[7]s
curl -s http://%[6]s/ops/v1/teams/%[8]s -H "Authorization: Bearer $MAGNOLIALEVER_CREDENTIAL"
go run . zone out zone-b && go run . status && go run . zone back zone-b

`, s.PublicAddress, s.APIKey, sampleModel, sampleAdapter, s.serviceID, s.OperatorAddress, BootstrapCredential, sampleTeam)
}
