package parts_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
)

// Guards against a sound part that stays refused because a deadly one fails its trials: a request with two
// refused parts is no trial.
func TestTrialHasOneRefusedPart(t *testing.T) {
	c := clock.NewManual(1000)
	g := parts.NewGuard(c)
	for _, part := range []parts.ID{session, deadly} {
		g.Merge(parts.Suspect{Part: part, Crashes: []parts.Crash{{ID: 1, SentAt: 900}, {ID: 2, SentAt: 910}}})
	}
	c.Advance(2 * clock.Second)
	ticket, wait := g.Acquire(context.Background(), parts.Prompt{Parts: []parts.ID{session, deadly}})
	assert.Assert(t, ticket == nil && wait >= clock.Second)
	ticket, _ = g.Acquire(context.Background(), parts.Prompt{Parts: []parts.ID{session}})
	assert.Assert(t, ticket != nil)
	ticket.Began()
	ticket.End(nil)
	// Parts that never come alone get a trial all the same, later.
	g.Merge(parts.Suspect{Part: session, Crashes: []parts.Crash{{ID: 3, SentAt: c.Now() + 1}, {ID: 4, SentAt: c.Now() + 2}, {ID: 5, SentAt: c.Now() + 3}}})
	c.Advance(5 * clock.Minute)
	ticket, _ = g.Acquire(context.Background(), parts.Prompt{Parts: []parts.ID{session, deadly}})
	assert.Assert(t, ticket != nil)
}

// countingOwners grants each request and counts how often it is asked.
type countingOwners struct{ asks int }

func (o *countingOwners) Ask(context.Context, parts.ID, parts.Permit, parts.Stage) (parts.Reply, clock.Span) {
	o.asks++
	return parts.Granted, 0
}

func (*countingOwners) Extend(parts.ID, parts.Permit) {}

func (*countingOwners) Return(parts.ID, parts.Permit, parts.Result) {}

func (*countingOwners) Announce([]parts.Suspect) {}

// Guards against a caller that lets each of its requests cost thousands of messages between gateways.
func TestPromptOfManyPartsCostsFewMessages(t *testing.T) {
	g, o := parts.NewGuard(clock.NewManual(1000)), &countingOwners{}
	g.SetOwners(o)
	prompt := parts.Prompt{}
	for i := range parts.ID(10_000) {
		prompt.Parts = append(prompt.Parts, 1+i)
	}
	ticket, _ := g.Acquire(context.Background(), prompt)
	assert.Assert(t, ticket != nil)
	assert.Assert(t, o.asks <= 32, "%d asks", o.asks)
}

// Guards against sound requests that stay refused because two of their parts are: they are tried before requests that have
// the deadly part as well.
func TestRequestWithFewerRefusedPartsIsTriedFirst(t *testing.T) {
	c := clock.NewManual(1000)
	g := parts.NewGuard(c)
	for _, part := range []parts.ID{shared, session, deadly} {
		g.Merge(parts.Suspect{Part: part, Crashes: []parts.Crash{{ID: 1, SentAt: 900}, {ID: 2, SentAt: 910}}})
	}
	sound, bad := parts.Prompt{Parts: []parts.ID{shared, session}}, parts.Prompt{Parts: []parts.ID{shared, session, deadly}}
	c.Advance(3100)
	ticket, _ := g.Acquire(context.Background(), bad)
	assert.Assert(t, ticket == nil)
	ticket, _ = g.Acquire(context.Background(), sound)
	assert.Assert(t, ticket != nil)
	ticket.Began()
	ticket.End(nil)
	assert.Equal(t, g.Verdict(shared).Crashes+g.Verdict(session).Crashes, 0)
	assert.Equal(t, g.Verdict(deadly).Crashes, 2)
}
