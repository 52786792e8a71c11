package clock_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// The clock advances during a suspension, so a process that resumes after the
// deadline sees that it has passed.
func ExampleInstant() {
	arrival := clock.Instant(0)
	deadline := arrival.Add(3 * time.Second)
	now := arrival.Add(5 * time.Second)
	fmt.Println(now.After(deadline), now.Sub(deadline))
	// Output: true 2s
}
