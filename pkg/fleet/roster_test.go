package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

func entry(i int, started uint64) Entry {
	return Entry{Name: fmt.Sprint("vm-", i), Zone: "z", Address: fmt.Sprint("10.0.0.", i, ":1"), Started: started}
}

func names(entries []Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Name)
	}
	return out
}

// fleetOf returns the directories of n VMs that know each other.
func fleetOf(n int) []*Roster {
	var all []Entry
	for i := range n {
		all = append(all, entry(i, 1000))
	}
	var rosters []*Roster
	for i := range n {
		r := New(0, all[i])
		r.Learn(0, all)
		rosters = append(rosters, r)
	}
	return rosters
}

func observe(r *Roster, now clock.Instant, unreachable map[string]bool) {
	var states []membership.MemberState
	for _, m := range r.Members() {
		status := membership.Alive
		if unreachable[m.Name] {
			status = membership.Unreachable
		}
		states = append(states, membership.MemberState{Member: m, Status: status})
	}
	r.Observe(now, states)
}

// TestOwnersAgree guards against two owners of a pool while all VMs know each other.
func TestOwnersAgree(t *testing.T) {
	rosters := fleetOf(7)
	want := names(rosters[0].Ranking(0, "pool"))
	if len(want) != 7 {
		t.Fatalf("owners %v", want)
	}
	for _, r := range rosters[1:] {
		if diff := cmp.Diff(want, names(r.Ranking(0, "pool"))); diff != "" {
			t.Error(diff)
		}
	}
}

// TestOwnerMovesWhenItIsLost guards against stages that wait for an owner which is gone,
// doubted or leaving.
func TestOwnerMovesWhenItIsLost(t *testing.T) {
	now := clock.Instant(0)
	r := fleetOf(7)[0]
	ranking := names(r.Ranking(now, "pool"))
	lost := ranking[0]
	if lost == "vm-0" {
		lost = ranking[1]
	}
	r.Doubt(lost)
	if last := names(r.Ranking(now, "pool"))[6]; last != lost {
		t.Errorf("%s is doubted and %s comes last", lost, last)
	}
	now = now.Add(2 * time.Second)
	observe(r, now, nil)
	if last := names(r.Ranking(now, "pool"))[6]; last != lost {
		t.Errorf("%s owns again although nothing was heard of it", lost)
	}
	r.Heard(lost)
	if got := names(r.Ranking(now, "pool")); !cmp.Equal(got, ranking) {
		t.Errorf("ranking %v after a message of %s, expected %v", got, lost, ranking)
	}
	observe(r, now, map[string]bool{lost: true})
	now = now.Add(time.Second)
	observe(r, now, map[string]bool{lost: true})
	if got := names(r.Ranking(now, "pool")); len(got) != 6 {
		t.Errorf("owners %v still have %s", got, lost)
	}
	observe(r, now, nil)
	leaving := entry(0, 1000)
	leaving.Name, leaving.Leaving, leaving.Version = lost, true, 1
	r.Learn(now, []Entry{leaving})
	if got := names(r.Ranking(now, "pool")); len(got) != 6 {
		t.Errorf("owners %v have %s, which leaves", got, lost)
	}
}

// TestRestartedVMWaitsForOwnership guards against a VM that restarts in a loop and takes
// over its pools each time.
func TestRestartedVMWaitsForOwnership(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	r := fleetOf(7)[0]
	observe(r, now, nil)
	first := names(r.Ranking(now, "pool"))[0]
	if first == "vm-0" {
		first = names(r.Ranking(now, "pool"))[1]
	}
	again := Entry{Name: first, Zone: "z", Address: "10.0.0.9:1", Started: 60_000}
	if !r.Learn(now, []Entry{again}) {
		t.Error("a new start is not reported as a change")
	}
	if got := names(r.Ranking(now, "pool"))[0]; got == first {
		t.Errorf("%s owns the pool at once", first)
	}
	now = now.Add(settleTime + time.Millisecond)
	observe(r, now, nil)
	if got := names(r.Ranking(now, "pool")); got[0] != first && got[1] != first {
		t.Errorf("%s does not own the pool again: %v", first, got)
	}
}

// TestSilentVMsCountForShares guards against shares of limits that grow while part of the
// fleet is behind a partition and still sends.
func TestSilentVMsCountForShares(t *testing.T) {
	r := fleetOf(7)[0]
	gone := map[string]bool{"vm-1": true, "vm-2": true}
	observe(r, clock.Instant(5*time.Second), gone)
	if r.Size() != 7 {
		t.Errorf("size %d while two VMs may be alive", r.Size())
	}
	for s := 6; s < 40; s++ {
		observe(r, clock.Instant(s)*clock.Instant(time.Second), gone)
	}
	if r.Size() != 5 {
		t.Errorf("size %d long after two VMs were lost", r.Size())
	}
}

// TestAnnounceTakesTurns guards against entries that no message ever carries.
func TestAnnounceTakesTurns(t *testing.T) {
	r := fleetOf(20)[0]
	now := clock.Instant(10 * time.Second)
	seen := map[string]bool{}
	for range 10 {
		batch := r.Announce(now, 4)
		if len(batch) != 4 || batch[0].Name != "vm-0" {
			t.Fatalf("announced %v", names(batch))
		}
		for _, e := range batch {
			seen[e.Name] = true
		}
	}
	if len(seen) != 20 {
		t.Errorf("%d of 20 VMs were announced", len(seen))
	}
}
