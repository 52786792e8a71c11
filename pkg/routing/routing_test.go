package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const now = clock.Instant(time.Hour)

func newUpstreams(n int) []*Upstream {
	list := make([]*Upstream, n)
	for i := range list {
		list[i] = &Upstream{
			Name: fmt.Sprint("u", i), InService: true, Warm: true, Limit: 10, LimitUntil: now + 1,
			Load: LoadEstimate{Capacity: 10, Share: 10},
		}
	}
	return list
}

func newPicker(seed uint64) *TwoChoices {
	return &TwoChoices{Filters: Filters(), Scorer: LoadScorer{}, Random: NewRandom(seed)}
}

// TestFilters guards against a filter that does not exclude an upstream or excludes it for the
// wrong reason.
func TestFilters(t *testing.T) {
	cases := map[string]func(*Upstream, *Query){
		"out_of_service": func(u *Upstream, _ *Query) { u.InService = false },
		"limit_reached":  func(u *Upstream, _ *Query) { u.InFlight = 10 },
		"connection":     func(u *Upstream, _ *Query) { u.Backoff.RecordFailure(now) },
		"already_tried":  func(_ *Upstream, q *Query) { q.Exclude = []string{"u0"} },
		"suspect":        func(u *Upstream, q *Query) { u.Suspects, q.Suspect = 1, true },
		"":               func(u *Upstream, _ *Query) { u.Suspects = 1 },
	}
	for want, change := range cases {
		u, q := newUpstreams(1)[0], &Query{Now: now}
		change(u, q)
		if got := ExcludedBy(Filters(), q, u); got != want {
			t.Errorf("excluded by %q, want %q", got, want)
		}
	}
	u := newUpstreams(1)[0]
	if got := ExcludedBy(Filters(), &Query{Now: u.LimitUntil}, u); got != "limit_reached" {
		t.Errorf("an expired limit gives %q", got)
	}
}

// TestPickFindsTheOnlyFreeUpstream guards against sampling that misses the only
// available upstream.
func TestPickFindsTheOnlyFreeUpstream(t *testing.T) {
	list := newUpstreams(600)
	for i, u := range list {
		if i != 421 {
			u.InFlight = 10
		}
	}
	if got := newPicker(1).Pick(&Query{Now: now}, list); got != list[421] {
		t.Errorf("picked %v", got)
	}
}

// TestPickSpreadsLoad guards against picks that send a burst to one upstream.
func TestPickSpreadsLoad(t *testing.T) {
	list := newUpstreams(10)
	p := newPicker(2)
	for range 50 {
		p.Pick(&Query{Now: now}, list).InFlight++
	}
	for _, u := range list {
		if u.InFlight < 3 || u.InFlight > 7 {
			t.Errorf("%s has %d of 50 attempts", u.Name, u.InFlight)
		}
	}
}

// TestZoneSpillover guards against attempts that leave the VM's own zone without need, or stay
// in it when it is full.
func TestZoneSpillover(t *testing.T) {
	list := newUpstreams(4)
	list[0].OwnZone, list[1].OwnZone = true, true
	z := ZoneSpillover{Picker: newPicker(3), Scorer: LoadScorer{}}
	z.SetCandidates(list)
	for i := range 18 {
		got := z.Pick(&Query{Now: now})
		if !got.OwnZone {
			t.Fatalf("attempt %d left the zone", i)
		}
		got.InFlight++
		z.Update(got)
	}
	if got := z.Pick(&Query{Now: now}); got.OwnZone {
		t.Error("an attempt stays in the full zone")
	}
}

// TestCandidatesFollowChanges guards against an upstream that stays excluded although it
// is below its limit again, or is picked at its limit.
func TestCandidatesFollowChanges(t *testing.T) {
	list := newUpstreams(20)
	z := ZoneSpillover{Picker: newPicker(4), Scorer: LoadScorer{}}
	z.SetCandidates(list)
	random := NewRandom(5)
	for range 2000 {
		u := list[random.IntN(len(list))]
		u.InFlight, u.InService = 10*random.IntN(2), random.IntN(4) > 0
		z.Update(u)
		available := 0
		for _, u := range list {
			if u.InService && u.InFlight < u.Limit {
				available++
			}
		}
		if got := z.Pick(&Query{Now: now}); (got != nil) != (available > 0) || got != nil && got.InFlight == 10 || z.otherZones.available != available {
			t.Fatalf("%d available, %d listed as available, picked %v", available, z.otherZones.available, got)
		}
	}
}

// TestLoadEstimateCorrectsLag guards against counting own attempts twice or not at all.
func TestLoadEstimateCorrectsLag(t *testing.T) {
	l := LoadEstimate{Capacity: 20, Share: 5}
	l.ApplyReport(now, 8, 3)
	if got := l.Estimate(now, 5); got != 10 {
		t.Errorf("estimate %v, want 5 own and 5 of other VMs", got)
	}
	if got := l.Estimate(now.Add(reportLifetime), 2); got != 8 {
		t.Errorf("estimate %v without a report, want 2 own and 6 expected", got)
	}
	l.ApplyReport(now-1, 20, 0)
	if got := l.Estimate(now, 5); got != 10 {
		t.Errorf("an older report changed the estimate to %v", got)
	}
}

// TestAffinityIsBoundedAndInvalidated guards against a table that grows without bound and
// against a preference for an upstream whose cache has lost the prefix.
func TestAffinityIsBoundedAndInvalidated(t *testing.T) {
	a := &Affinity{}
	list := newUpstreams(2)
	for prefix := uint64(1); prefix <= 10*affinityTableSize; prefix++ {
		a.Record(prefix, list[0])
	}
	const recent = 10 * affinityTableSize
	if a.Lookup(recent) != list[0] || a.Lookup(1) != nil {
		t.Error("the table does not replace old prefixes by recent ones")
	}
	a.Remove(recent, list[1])
	if a.Lookup(recent) != list[0] {
		t.Error("an event of another upstream removed the prefix")
	}
	a.Remove(recent, list[0])
	if a.Lookup(recent) != nil {
		t.Error("the prefix remains after its cache event")
	}
	a.RemoveUpstream(list[0])
	if a.Lookup(recent-1) != nil {
		t.Error("prefixes remain after the upstream was replaced")
	}
}

// TestPreferredUpstreamIsConsistentAndStable guards against VMs that spread one
// prefix over several caches, and against many prefixes that move when one upstream leaves.
func TestPreferredUpstreamIsConsistentAndStable(t *testing.T) {
	var a, b ZoneSpillover
	first, second := newUpstreams(10), newUpstreams(10)
	slices.Reverse(second)
	a.SetCandidates(first)
	b.SetCandidates(second)
	prefixes := map[string]int{}
	before := make([]string, 2000)
	for prefix := range before {
		before[prefix] = a.PreferredUpstream(uint64(prefix)).Name
		prefixes[before[prefix]]++
		if b.PreferredUpstream(uint64(prefix)).Name != before[prefix] {
			t.Fatalf("VMs prefer different upstreams for prefix %d", prefix)
		}
	}
	if len(prefixes) != len(first) {
		t.Errorf("preferred upstreams %v", prefixes)
	}
	first[0].InService = false
	a.Update(first[0])
	for prefix, preferred := range before {
		if got := a.PreferredUpstream(uint64(prefix)).Name; got != preferred && preferred != "u0" || got == "u0" {
			t.Fatalf("prefix %d moved from %s to %s", prefix, preferred, got)
		}
	}
}

// TestSubsetsCoverVMsAndAreStable guards against VMs without an upstream of a pool,
// upstreams with too few VMs, and many connections that move when one VM leaves.
func TestSubsetsCoverVMsAndAreStable(t *testing.T) {
	vms, pool := make([]Node, 330), make([]Node, 25)
	for i := range vms {
		vms[i] = Node{fmt.Sprint("vm-", i), fmt.Sprint("z", i%6)}
	}
	for i := range pool {
		pool[i] = Node{fmt.Sprint("u-", i), fmt.Sprint("z", i%6)}
	}
	before := servingPairs(pool, Subsets(pool, vms))
	assigned := map[string]int{}
	for pair := range before {
		assigned[pair[1]]++
	}
	for _, vm := range vms {
		if assigned[vm.Name] < minUpstreamsPerVM {
			t.Errorf("%s is assigned %d upstreams", vm.Name, assigned[vm.Name])
		}
	}
	moved := 0
	after := servingPairs(pool, Subsets(pool, vms[1:]))
	for pair := range before {
		if pair[1] != vms[0].Name && !after[pair] {
			moved++
		}
	}
	if moved > len(before)/100 {
		t.Errorf("%d of %d connections moved after one VM left", moved, len(before))
	}
}

func servingPairs(pool []Node, subsets [][]Node) map[[2]string]bool {
	set := map[[2]string]bool{}
	for i, subset := range subsets {
		if len(subset) < subsetSize {
			panic("subset too small")
		}
		for _, vm := range subset {
			set[[2]string{pool[i].Name, vm.Name}] = true
		}
	}
	return set
}
