package freshness_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/freshness"
)

// The first request that finds the tables too old asks for newer ones, the others wait for the answer.
func ExampleGate() {
	gate, now := freshness.New(3*time.Second, 1600*time.Millisecond), clock.Instant(time.Hour)
	fmt.Println(gate.Decide(now, time.Second, true) == freshness.Place)
	fmt.Println(gate.Decide(now, 2600*time.Millisecond, true) == freshness.Ask)
	fmt.Println(gate.Decide(now, 2600*time.Millisecond, true) == freshness.Wait)
	gate.End(now, true)
	// Output:
	// true
	// true
	// true
}
