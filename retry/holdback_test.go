package retry_test

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
)

func ExampleHoldback() {
	h := retry.NewHoldback[string]()
	h.RecordFailure(1000, "load m1", 500)
	h.RecordFailure(1200, "load m1", 600)
	fmt.Println(h.Suspect("load m1"), h.Blocked(1200, "load m1"))
	h.RecordFailure(10_000, "load m1", 2000)
	fmt.Println(h.Blocked(14_999, "load m1"), h.Blocked(15_000, "load m1"))
	h.RecordFailure(20_000, "load m1", 15_000)
	fmt.Println(h.Blocked(clock.Time(20_000).Add(59*clock.Second), "load m1"))
	h.RecordSuccess("load m1")
	fmt.Println(h.Suspect("load m1"))
	// Output:
	// true false
	// true false
	// true
	// false
}
