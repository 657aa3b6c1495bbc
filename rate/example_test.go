package rate_test

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/units"
)

// One process plays a gateway, which owns all slots, and an agent.
func Example() {
	now := clock.Time(5000)
	table := (&rate.SlotTable{}).Assign([]rate.Gateway{{ID: "g1", Zone: "a"}})
	limit := rate.Limit{Rate: 1000, Burst: 4000}

	owner := rate.NewOwner("g1")
	owner.SetLimit(now, "court", limit)
	owner.UpdateTable(now, table)
	client := rate.NewClient(1)
	client.SetLimit(now, "court", limit)
	client.UpdateTable(now, table)
	fence := rate.NewFence()
	fence.UpdateTable(table, true)

	// The owner waits for grants of an earlier process; its buckets start empty.
	now = now.Add(2 * clock.Second)
	owner.Tick(now)
	now = now.Add(4 * clock.Second)

	client.Request(now, rate.Request{ID: 1, Customer: "court", Cost: 1500, Deadline: now.Add(clock.Second)})
	for _, s := range client.TakeMessages() {
		if a, ok := s.Message.(rate.Acquire); ok {
			client.HandleGrant(now, owner.Acquire(now, "g1", a))
		}
	}
	stamp := rate.NewClockSample(now, 70000)
	for _, v := range client.TakeDecisions() {
		permit := v.Reservation.Permit(stamp)
		fmt.Println(permit.Expires, fence.Admit(70001, "attempt", permit, 1500) == "")
		client.Started(now, v.ID)
		client.Finish(now, v.ID, 500)
	}
	client.Flush()
	for _, s := range client.TakeMessages() {
		if m, ok := s.Message.(rate.Settle); ok {
			owner.Settle(now, "g1", m)
		}
	}
	client.Request(now, rate.Request{ID: 2, Customer: "court", Cost: 5000, Deadline: now.Add(clock.Second)})
	fmt.Println(client.TakeDecisions()[0].Code == units.RateExceeded)
	// Output:
	// 70979 true
	// true
}
