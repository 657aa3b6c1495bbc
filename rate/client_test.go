package rate

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a first number beyond the range of int, which made the choice among
// slots panic in a gateway.
func TestLargeGrantNumbers(t *testing.T) {
	c := NewClient(math.MaxUint64 - 1)
	c.UpdateTable(0, (&SlotTable{}).Assign([]Gateway{{ID: "g1", Zone: "a"}, {ID: "g2", Zone: "b"}}))
	c.SetLimit(0, "court", Limit{Rate: 1000, Burst: 1000})
	for i := range RequestID(4) {
		c.Request(1, Request{ID: i, Customer: "court", Cost: 300, Deadline: 1000})
	}
	assert.Assert(t, len(c.TakeMessages()) > 0)
}
