package fleet

import (
	"fmt"
	"slices"
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

// newDirectories returns the directories of n VMs that know each other.
func newDirectories(n int) []*Directory {
	var all []Entry
	for i := range n {
		all = append(all, entry(i, 1000))
	}
	var directories []*Directory
	for i := range n {
		d := New(0, all[i])
		d.Merge(0, all)
		directories = append(directories, d)
	}
	return directories
}

func setReachability(d *Directory, now clock.Instant, unreachable map[string]bool) {
	var states []membership.MemberState
	for _, m := range d.Members() {
		status := membership.Alive
		if unreachable[m.Name] {
			status = membership.Unreachable
		}
		states = append(states, membership.MemberState{Member: m, Status: status})
	}
	d.UpdateReachability(now, states)
}

// TestRankingIsTheSameOnAllVMs guards against two owners of a pool while all VMs know
// each other.
func TestRankingIsTheSameOnAllVMs(t *testing.T) {
	directories := newDirectories(7)
	want := names(directories[0].Ranking(0, Resource{Name: "pool"}))
	if len(want) != 7 {
		t.Fatalf("ranking %v does not have 7 VMs", want)
	}
	for _, d := range directories[1:] {
		if diff := cmp.Diff(want, names(d.Ranking(0, Resource{Name: "pool"}))); diff != "" {
			t.Error(diff)
		}
	}
}

// TestRankingDemotesLostOwner guards against stages that wait for an owner that is
// lost, unresponsive or leaving.
func TestRankingDemotesLostOwner(t *testing.T) {
	now := clock.Instant(0)
	d := newDirectories(7)[0]
	ranking := names(d.Ranking(now, Resource{Name: "pool"}))
	lost := ranking[0]
	if lost == "vm-0" {
		lost = ranking[1]
	}
	d.MarkUnresponsive(lost)
	if last := names(d.Ranking(now, Resource{Name: "pool"}))[6]; last != lost {
		t.Errorf("%s is unresponsive, but %s comes last", lost, last)
	}
	now = now.Add(2 * time.Second)
	setReachability(d, now, nil)
	if last := names(d.Ranking(now, Resource{Name: "pool"}))[6]; last != lost {
		t.Errorf("%s is not last although no message from it arrived", lost)
	}
	d.MarkResponsive(lost)
	if got := names(d.Ranking(now, Resource{Name: "pool"})); !cmp.Equal(got, ranking) {
		t.Errorf("ranking %v after a message from %s, expected %v", got, lost, ranking)
	}
	setReachability(d, now, map[string]bool{lost: true})
	now = now.Add(time.Second)
	setReachability(d, now, map[string]bool{lost: true})
	if got := names(d.Ranking(now, Resource{Name: "pool"})); len(got) != 6 {
		t.Errorf("ranking %v still includes %s", got, lost)
	}
	setReachability(d, now, nil)
	leaving := entry(0, 1000)
	leaving.Name, leaving.Leaving, leaving.Version = lost, true, 1
	d.Merge(now, []Entry{leaving})
	if got := names(d.Ranking(now, Resource{Name: "pool"})); len(got) != 6 {
		t.Errorf("ranking %v includes %s, which is leaving", got, lost)
	}
}

// TestRestartedVMWaitsBeforeOwning guards against a VM that restarts in a loop and
// takes over its pools each time.
func TestRestartedVMWaitsBeforeOwning(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	d := newDirectories(7)[0]
	setReachability(d, now, nil)
	first := names(d.Ranking(now, Resource{Name: "pool"}))[0]
	if first == "vm-0" {
		first = names(d.Ranking(now, Resource{Name: "pool"}))[1]
	}
	restarted := Entry{Name: first, Zone: "z", Address: "10.0.0.9:1", Started: 60_000}
	if !d.Merge(now, []Entry{restarted}) {
		t.Error("a new process start is not reported as a change")
	}
	if got := names(d.Ranking(now, Resource{Name: "pool"}))[0]; got == first {
		t.Errorf("%s owns the pool immediately after its restart", first)
	}
	now = now.Add(claimDelay + time.Millisecond)
	setReachability(d, now, nil)
	if got := names(d.Ranking(now, Resource{Name: "pool"})); got[0] != first && got[1] != first {
		t.Errorf("%s does not own the pool again: %v", first, got)
	}
}

// TestUnreachableVMsCountTowardSize guards against per-VM limits that grow while part
// of the fleet is behind a partition and still sends.
func TestUnreachableVMsCountTowardSize(t *testing.T) {
	d := newDirectories(7)[0]
	unreachable := map[string]bool{"vm-1": true, "vm-2": true}
	setReachability(d, clock.Instant(5*time.Second), unreachable)
	if d.Size() != 7 {
		t.Errorf("size %d while two unreachable VMs may still be running", d.Size())
	}
	for s := 6; s < 40; s++ {
		setReachability(d, clock.Instant(s)*clock.Instant(time.Second), unreachable)
	}
	if d.Size() != 5 {
		t.Errorf("size %d long after two VMs were lost", d.Size())
	}
}

// TestEntriesForMessageCoversAllVMs guards against entries that are never sent in any
// message.
func TestEntriesForMessageCoversAllVMs(t *testing.T) {
	d := newDirectories(20)[0]
	now := clock.Instant(10 * time.Second)
	seen := map[string]bool{}
	for range 10 {
		batch := d.EntriesForMessage(now, 4)
		if len(batch) != 4 || batch[0].Name != "vm-0" {
			t.Fatalf("unexpected entries for a message: %v", names(batch))
		}
		for _, e := range batch {
			seen[e.Name] = true
		}
	}
	if len(seen) != 20 {
		t.Errorf("the messages covered %d of 20 VMs", len(seen))
	}
}

// TestDroppedAddresses guards against forgetting where VMs were that a long partition removed from the
// directory: they may be the only ones that are running when it ends.
func TestDroppedAddresses(t *testing.T) {
	d := New(0, Entry{Name: "self", Address: "self:1"})
	d.Merge(0, []Entry{{Name: "b", Address: "b:1"}, {Name: "a", Address: "a:1"}})
	if d.UpdateReachability(clock.Instant(unreachableRetention), nil) || len(d.TakeDropped()) > 0 {
		t.Error("dropped before the retention time was over")
	}
	d.UpdateReachability(clock.Instant(unreachableRetention)+1, nil)
	if got := d.TakeDropped(); !slices.Equal(got, []string{"a:1", "b:1"}) {
		t.Errorf("dropped %v", got)
	}
	if got := d.TakeDropped(); len(got) > 0 {
		t.Errorf("%v were returned twice", got)
	}
}

// TestDirectoryIsBounded guards against messages with VMs that do not exist and take the memory of this
// one, and against a full directory that ignores changes of the VMs in it.
func TestDirectoryIsBounded(t *testing.T) {
	d := New(0, Entry{Name: "self", Address: "10.0.0.1:1"})
	for i := range 2 * maxEntries {
		d.Merge(1, []Entry{{Name: fmt.Sprint("forged-", i), Address: "10.0.0.2:1", Started: 1}})
	}
	if n := len(d.Members()); n != maxEntries {
		t.Errorf("%d VMs are known, expected %d", n, maxEntries)
	}
	if !d.Merge(2, []Entry{{Name: "forged-0", Address: "10.0.0.3:1", Started: 2}}) {
		t.Error("a new start of a known VM is ignored")
	}
}
