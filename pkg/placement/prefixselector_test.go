package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestDistinctEstimator guards against an estimate that depends on the window size instead of
// the number of distinct values.
func TestDistinctEstimator(t *testing.T) {
	for _, values := range []int{1, 3, 30, 100} {
		var d DistinctEstimator
		r := rand.New(rand.NewPCG(1, uint64(values)))
		for range 4 * distinctWindow {
			d.Add(fmt.Sprint(r.IntN(values)))
		}
		if got := d.Estimate(); got < float64(values)/2 || got > 2*float64(values) {
			t.Errorf("estimated %.1f distinct values, expected about %d", got, values)
		}
	}
	var few DistinctEstimator
	few.Add("a")
	if got := few.Estimate(); got != 0 {
		t.Errorf("estimated %.1f distinct values from one sample, expected 0", got)
	}
}

// TestPrefixSelector replays two routes on 90 upstreams: one with 80 instructions, each with
// many subjects, and one with three. It guards against placing the first by subject, which
// spreads each instruction over all upstreams, and against placing the second by instruction,
// which uses only a few upstreams.
func TestPrefixSelector(t *testing.T) {
	const upstreams = 90
	for instructions, want := range map[int]string{80: "instruction", 3: "subject"} {
		var selector PrefixSelector
		r := rand.New(rand.NewPCG(2, uint64(instructions)))
		chosen := map[string]int{}
		for i := range 200 {
			n := r.IntN(instructions)
			parts := []string{fmt.Sprint("instruction", n), fmt.Sprint("subject", n, r.IntN(20))}
			got := selector.Choose(parts, upstreams)
			switch {
			case i < 100:
			case got == parts[0]:
				chosen["instruction"]++
			default:
				chosen["subject"]++
			}
		}
		if chosen[want] < 95 {
			t.Errorf("%d instructions: placed by %v, expected mostly by %s", instructions, chosen, want)
		}
	}
}
