package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// exchange lets the VMs hear of each other's entries, those of a part only among themselves.
func exchange(now clock.Instant, parts ...[]*Roster) {
	for _, part := range parts {
		inPart := map[string]bool{}
		for _, r := range part {
			inPart[r.Self().Name] = true
		}
		for _, r := range part {
			cut := map[string]bool{}
			for _, m := range r.Members() {
				cut[m.Name] = !inPart[m.Name]
			}
			observe(r, now, cut)
			for _, other := range part {
				r.Learn(now, []Entry{other.Self()})
			}
		}
	}
}

// settle lets each VM act, and exchanges the result.
func settle(now clock.Instant, parts ...[]*Roster) {
	for range 3 {
		exchange(now, parts...)
		for _, part := range parts {
			for _, r := range part {
				r.Settle(now, []string{"pool"})
			}
		}
	}
	exchange(now, parts...)
}

// ownerOf returns the owner on which the VMs agree, and fails the test if they do not.
func ownerOf(t *testing.T, now clock.Instant, part []*Roster) string {
	t.Helper()
	first, _ := part[0].Owner(now, "pool")
	claims := 0
	for _, r := range part {
		if owner, _ := r.Owner(now, "pool"); owner.Name != first.Name {
			t.Errorf("%s takes %s for the owner, and %s takes %s", r.Self().Name, owner.Name, part[0].Self().Name, first.Name)
		}
		self := r.Self()
		if self.Claimed(KeyOf("pool")) {
			claims++
		}
	}
	if claims != 1 {
		t.Errorf("%d VMs claim the pool", claims)
	}
	return first.Name
}

// TestOwnerStays guards against a pool that moves whenever a VM comes or goes, which costs
// its owner's knowledge each time.
func TestOwnerStays(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := fleetOf(7)
	settle(now, all[:3])
	owner := ownerOf(t, now, all[:3])
	now = now.Add(10 * time.Second)
	settle(now, all)
	if got := ownerOf(t, now, all); got != owner {
		t.Errorf("the pool moved from %s to %s when VMs were added", owner, got)
	}
}

// TestPartsOfASplitFleetAgreeAgain guards against two owners of a pool after a partition has
// ended, and against a part without one during it.
func TestPartsOfASplitFleetAgreeAgain(t *testing.T) {
	for cut := 1; cut < 6; cut++ {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			now := clock.Instant(10 * time.Second)
			all := fleetOf(7)
			settle(now, all)
			before := ownerOf(t, now, all)
			now = now.Add(2 * time.Second)
			settle(now, all[:cut], all[cut:])
			left, right := ownerOf(t, now, all[:cut]), ownerOf(t, now, all[cut:])
			if left != before && right != before {
				t.Errorf("%s lost the pool to %s and %s", before, left, right)
			}
			now = now.Add(2 * time.Second)
			settle(now, all)
			if after := ownerOf(t, now, all); after != left && after != right {
				t.Errorf("the pool of %s and %s moved to %s", left, right, after)
			}
		})
	}
}

// TestLeavingOwnerYields guards against stages that go to a VM which shuts down.
func TestLeavingOwnerYields(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := fleetOf(4)
	settle(now, all)
	owner := ownerOf(t, now, all)
	var rest []*Roster
	for _, r := range all {
		if r.Self().Name != owner {
			rest = append(rest, r)
			continue
		}
		r.Leave()
		_, yielded := r.Settle(now, []string{"pool"})
		if len(yielded) != 1 || yielded[0].To.Name == owner || yielded[0].To.Name == "" {
			t.Errorf("yielded %v", yielded)
		}
		for _, other := range all {
			other.Learn(now, []Entry{r.Self()})
		}
	}
	settle(now, rest)
	if got := ownerOf(t, now, rest); got == owner {
		t.Errorf("%s still owns the pool", got)
	}
}

// TestRestartedOwnerIsNoOwner guards against stages that wait at a VM which restarted so fast
// that nobody found it lost.
func TestRestartedOwnerIsNoOwner(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := fleetOf(4)
	settle(now, all)
	owner := ownerOf(t, now, all)
	other := all[0]
	if other.Self().Name == owner {
		other = all[1]
	}
	again, _ := other.Entry(owner)
	again.Started, again.Version, again.Claims = 60_000, 0, nil
	other.Learn(now, []Entry{again})
	if got, _ := other.Owner(now, "pool"); got.Name == owner {
		t.Errorf("%s still counts as the owner after its restart", owner)
	}
}

// TestStrongVMsOwn guards against a small VM that takes the calls of the whole fleet while
// there are large ones.
func TestStrongVMsOwn(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	var all []Entry
	for i := range 12 {
		e := entry(i, 1000)
		e.Capacity = 192
		if i%4 == 0 {
			e.Capacity = 800
		}
		all = append(all, e)
	}
	r := New(0, all[1])
	r.Learn(0, all)
	observe(r, now, nil)
	for i := range 50 {
		if owner, _ := r.Owner(now, fmt.Sprint("pool-", i)); owner.Capacity != 800 {
			t.Errorf("pool-%d belongs to %s", i, owner.Name)
		}
	}
}

// TestCallsCorrectTheDirectory guards against calls that go round in circles while messages
// about a new owner are under way, and against a claim that is kept after the VM's own word.
func TestCallsCorrectTheDirectory(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := fleetOf(5)
	exchange(now, all)
	r := all[0]
	first, _ := r.Owner(now, "pool")
	told := "vm-1"
	if first.Name == told {
		told = "vm-2"
	}
	r.Told("pool", told)
	if owner, _ := r.Owner(now, "pool"); owner.Name != told {
		t.Errorf("owner %s although %s was named", owner.Name, told)
	}
	r.Denied("pool", told)
	if owner, _ := r.Owner(now, "pool"); owner.Name != first.Name {
		t.Errorf("owner %s although %s denied it", owner.Name, told)
	}
	later := entry(3, 1000)
	later.Version, later.Claims = 4, []Key{KeyOf("pool")}
	r.Learn(now, []Entry{later})
	if owner, _ := r.Owner(now, "pool"); owner.Name != later.Name {
		t.Errorf("owner %s although %s claims the pool", owner.Name, later.Name)
	}
}
