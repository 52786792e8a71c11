package admission_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Workspaces share the queue by weight; within a workspace the attempt that must start
// first is served first.
func ExampleQueue() {
	queue := admission.NewQueue()
	start := clock.Instant(0)
	for key := range uint64(4) {
		// Later keys are more urgent.
		latest := start.Add(time.Duration(10-key) * time.Second)
		queue.Push("large", 2, &admission.Item{Key: key, LatestStart: latest})
	}
	queue.Push("small", 1, &admission.Item{Key: 100, LatestStart: start.Add(time.Minute)})
	for queue.Len() > 0 {
		fmt.Println(queue.Pop().Key)
	}
	// Output:
	// 3
	// 100
	// 2
	// 1
	// 0
}

// Admission compares the expected time of the remaining stages with the time left.
func ExampleRouteEstimate() {
	estimate := admission.NewRouteEstimate([][]string{{"encoders"}, {"engines"}})
	for range 50 {
		estimate.Record(0, "encoders", 20*time.Millisecond)
		estimate.Record(1, "engines", 400*time.Millisecond)
	}
	fmt.Println(estimate.RemainingServiceTime(0) > 300*time.Millisecond, estimate.RemainingServiceTime(1) < estimate.RemainingServiceTime(0))
	// Output: true true
}
