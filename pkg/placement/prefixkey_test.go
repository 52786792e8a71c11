package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestDiversity guards against an estimate that follows the length of the window: a few
// values for ever, or as many as were seen.
func TestDiversity(t *testing.T) {
	for _, values := range []int{1, 3, 30, 100} {
		var d Diversity
		r := rand.New(rand.NewPCG(1, uint64(values)))
		for range 4 * diversityWindow {
			d.Add(fmt.Sprint(r.IntN(values)))
		}
		if got := d.Estimate(); got < float64(values)/2 || got > 2*float64(values) {
			t.Errorf("estimated %.1f of %d values", got, values)
		}
	}
	var few Diversity
	few.Add("a")
	if got := few.Estimate(); got != 0 {
		t.Errorf("estimated %.1f from one value", got)
	}
}

// TestPrefixKey replays the prompts of two kinds of request at 90 upstreams: one with 80
// instructions, each with many subjects, and one with three. It guards against instructions
// that are read at every upstream, and against a kind of request at three upstreams.
func TestPrefixKey(t *testing.T) {
	const upstreams = 90
	for instructions, want := range map[int]string{80: "instruction", 3: "subject"} {
		var key PrefixKey
		r := rand.New(rand.NewPCG(2, uint64(instructions)))
		chosen := map[string]int{}
		for i := range 200 {
			n := r.IntN(instructions)
			parts := []string{fmt.Sprint("instruction", n), fmt.Sprint("subject", n, r.IntN(20))}
			got := key.Choose(parts, upstreams)
			switch {
			case i < 100:
			case got == parts[0]:
				chosen["instruction"]++
			default:
				chosen["subject"]++
			}
		}
		if chosen[want] < 95 {
			t.Errorf("%d instructions: placed by %v, expected by the %s", instructions, chosen, want)
		}
	}
}
