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
// many subjects, and one with three. It guards against spreading each of 80 instructions over all
// upstreams, which read it again and again, and against bundling the requests of one of three
// instructions at a few upstreams, which these cannot bear while others are idle.
func TestPrefixSelector(t *testing.T) {
	const upstreams = 90
	for instructions, bounds := range map[int][2]int{80: {2, 10}, 3: {60, 120}} {
		var selector PrefixSelector
		r := rand.New(rand.NewPCG(2, uint64(instructions)))
		for i := range 200 {
			n := r.IntN(instructions)
			levels := selector.Choose([]string{fmt.Sprint("instruction", n), fmt.Sprint("subject", n, r.IntN(20))}, upstreams)
			if got := levels[0].Upstreams; i >= 100 && (got < bounds[0] || got > bounds[1]) {
				t.Fatalf("%d instructions: each spreads over %d upstreams, expected %d to %d", instructions, got, bounds[0], bounds[1])
			}
		}
	}
}

// TestSubjectsShareTheUpstreamsOfTheirInstruction replays 14 requests a second with four long
// instructions, each with 40 subjects, on 12 upstreams. It guards against sending all requests of
// an instruction to one or two upstreams, whose caches and processors they exceed, and against a
// subject that moves between upstreams, which read it again.
func TestSubjectsShareTheUpstreamsOfTheirInstruction(t *testing.T) {
	upstreams := newUpstreams(12)
	var selector PrefixSelector
	r := rand.New(rand.NewPCG(3, 1))
	requests, upstreamOf, moved := map[string]int{}, map[string]string{}, 0
	const warmUp, total = 100, 1100
	for i := range total {
		instruction := r.IntN(4)
		subject := fmt.Sprint("subject", instruction, "-", r.IntN(40))
		levels := selector.Choose([]string{fmt.Sprint("instruction", instruction), subject}, len(upstreams))
		chosen := pick(0, &Request{Prefix: levels}, upstreams)
		if i < warmUp {
			continue
		}
		requests[chosen.ID]++
		if previous, ok := upstreamOf[subject]; ok && previous != chosen.ID {
			moved++
		}
		upstreamOf[subject] = chosen.ID
	}
	mean := float64(total-warmUp) / float64(len(upstreams))
	for id, n := range requests {
		if float64(n) > 2.5*mean {
			t.Errorf("%s got %d requests, the mean is %.0f", id, n, mean)
		}
	}
	if moved > (total-warmUp)/10 {
		t.Errorf("%d of %d requests went to another upstream than the one before with the same subject", moved, total-warmUp)
	}
}

// TestCacheSource guards against reading a long prompt again at an upstream that could copy it: one
// that takes a request because the preferred one is overloaded, and one that is new and now
// preferred by a prefix that another one has cached.
func TestCacheSource(t *testing.T) {
	upstreams := newUpstreams(6)
	request := &Request{Prefix: prefix("p")}
	first, _ := Pick(0, request, upstreams)
	home := first.Upstream
	for range 20 {
		home.RecordStart(0)
	}
	if spilled, _ := Pick(0, request, upstreams); spilled.Upstream == home || spilled.CacheSource != home {
		t.Errorf("%s would copy from %v, expected %s", spilled.Upstream.ID, spilled.CacheSource, home.ID)
	}
	home.RecordUnreachable(0)
	if choice, _ := Pick(0, request, upstreams); choice.CacheSource == home {
		t.Errorf("%s would copy from %s, which is unreachable", choice.Upstream.ID, home.ID)
	}

	for i := range 100 {
		request := &Request{Prefix: prefix(fmt.Sprint("p", i))}
		before := pick(0, request, newUpstreams(6))
		after, _ := Pick(0, request, newUpstreams(7))
		if after.Upstream.ID != before.ID && after.CacheSource.ID != before.ID {
			t.Errorf("prefix %d moved from %s to %s, which would copy from %s", i, before.ID, after.Upstream.ID, after.CacheSource.ID)
		}
	}
}

// TestInputsKeepTheirZone guards against moving large inputs to another zone because the engine that
// the prompt prefers is there, and against overloading the zone of the inputs.
func TestInputsKeepTheirZone(t *testing.T) {
	upstreams := newUpstreams(9)
	for i := range 20 {
		request := &Request{Prefix: prefix(fmt.Sprint("p", i)), InputZone: "z1"}
		choice, _ := Pick(0, request, upstreams)
		home := pick(0, &Request{Prefix: request.Prefix}, upstreams)
		if choice.Upstream.Zone != "z1" {
			t.Errorf("prefix %d: %s in %s was chosen, expected one of z1", i, choice.Upstream.ID, choice.Upstream.Zone)
		}
		if choice.Upstream != home && choice.CacheSource != home {
			t.Errorf("prefix %d: %s would copy from %v, expected %s", i, choice.Upstream.ID, choice.CacheSource, home.ID)
		}
	}
	for _, u := range upstreamsIn("z1", upstreams) {
		for range 20 {
			u.RecordStart(0)
		}
	}
	if choice, _ := Pick(0, &Request{Prefix: prefix("p"), InputZone: "z1"}, upstreams); choice.Upstream.Zone == "z1" {
		t.Errorf("%s was chosen although its zone is overloaded", choice.Upstream.ID)
	}
}
