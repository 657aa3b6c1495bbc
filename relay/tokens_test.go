package relay_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
)

// tokenLedger is a Limiter that grants everything and adds up what becomes of it.
type tokenLedger struct {
	mu                       sync.Mutex
	unspent, spent, refunded float64
}

func (l *tokenLedger) Take(_ context.Context, _ *fleet.Customer, tokens float64) (bool, clock.Span) {
	l.move(tokens, 0, 0)
	return true, 0
}

func (l *tokenLedger) Spend(_ *fleet.Customer, tokens float64) { l.move(-tokens, tokens, 0) }

func (l *tokenLedger) Unspend(_ *fleet.Customer, tokens float64) { l.move(tokens, -tokens, 0) }

func (l *tokenLedger) Refund(_ *fleet.Customer, tokens float64) { l.move(-tokens, 0, tokens) }

func (l *tokenLedger) move(unspent, spent, refunded float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unspent, l.spent, l.refunded = l.unspent+unspent, l.spent+spent, l.refunded+refunded
}

// Guards against tokens that are spent by a request that never ran, given back by one that did, or left unspent for ever,
// which would keep the customer's bucket from being refilled.
func TestTokensAreSpentOnceOrGivenBack(t *testing.T) {
	const cost = 200.0
	full := func(r *fakes.Request) { r.RejectFull() }
	broken := func(r *fakes.Request) { r.CloseConnection() }
	firstFull := func(r *fakes.Request) {
		if r.Number == 1 {
			r.RejectFull()
			return
		}
		r.Respond("200 OK", "done")
	}
	for name, c := range map[string]struct {
		path            string
		script          func(r *fakes.Request)
		spent, refunded float64
	}{
		"served at the second send": {"/read/a", firstFull, cost, 0},
		"refused by replicas":       {"/read/b", full, 0, cost},
		"broken":                    {"/once/c", broken, cost, 0},
		"broken and repeated":       {"/read/d", broken, cost, 0},
		"no replica":                {"/read/e", nil, 0, cost},
	} {
		t.Run(name, func(t *testing.T) {
			var replicas []*fakes.Replica
			if c.script != nil {
				replicas = append(replicas, startReplica(t, "one", c.script))
			}
			ledger := &tokenLedger{}
			g := newTestGatewayWith(t, func(o *relay.Options) { o.Limiter = ledger }, replicas...)
			got := g.post(c.path, "x")
			assert.NilError(t, got.err)
			ledger.mu.Lock()
			defer ledger.mu.Unlock()
			assert.Equal(t, ledger.unspent, 0.0)
			assert.Equal(t, ledger.spent, c.spent)
			assert.Equal(t, ledger.refunded, c.refunded)
		})
	}
}
