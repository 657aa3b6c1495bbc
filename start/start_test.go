package start_test

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/start"
)

func ExampleStart_Covers() {
	restarted := start.Start{At: 5000}
	fmt.Println(restarted.Covers(5900, clock.Second), restarted.Covers(6000, clock.Second))
	first := start.Start{At: 5000, First: true}
	fmt.Println(first.Covers(5900, clock.Second), start.Start{}.Covers(10, clock.Second))
	// Output:
	// true false
	// false false
}
