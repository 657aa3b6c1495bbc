package clock_test

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
)

func ExampleManual() {
	c := clock.NewManual(100)
	lease := c.Now().Add(2 * clock.Second)
	c.Advance(clock.Second)
	fmt.Println(lease.Sub(c.Now()), c.Now().After(lease))
	c.Advance(2 * clock.Second)
	fmt.Println(lease.Sub(c.Now()), c.Now().After(lease))
	// Output:
	// 1000 false
	// -1000 true
}
