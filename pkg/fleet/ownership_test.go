package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// exchangeEntries sends each VM's entry to the other VMs of its partition.
func exchangeEntries(now clock.Instant, partitions ...[]*Directory) {
	for _, partition := range partitions {
		inPartition := map[string]bool{}
		for _, d := range partition {
			inPartition[d.Self().Name] = true
		}
		for _, d := range partition {
			unreachable := map[string]bool{}
			for _, m := range d.Members() {
				unreachable[m.Name] = !inPartition[m.Name]
			}
			setReachability(d, now, unreachable)
			for _, other := range partition {
				d.Merge(now, []Entry{other.Self()})
			}
		}
	}
}

// converge runs three rounds in which the VMs exchange entries and update their claims.
func converge(now clock.Instant, partitions ...[]*Directory) {
	for range 3 {
		exchangeEntries(now, partitions...)
		for _, partition := range partitions {
			for _, d := range partition {
				d.UpdateClaims(now, []Resource{{Name: "pool"}})
			}
		}
	}
	exchangeEntries(now, partitions...)
}

// agreedOwner returns the owner on which the VMs agree, and fails the test if they do not.
func agreedOwner(t *testing.T, now clock.Instant, partition []*Directory) string {
	t.Helper()
	first, _ := partition[0].Owner(now, Resource{Name: "pool"})
	claims := 0
	for _, d := range partition {
		if owner, _ := d.Owner(now, Resource{Name: "pool"}); owner.Name != first.Name {
			t.Errorf("%s regards %s as the owner, and %s regards %s", d.Self().Name, owner.Name, partition[0].Self().Name, first.Name)
		}
		self := d.Self()
		if self.Claimed(KeyOf("pool")) {
			claims++
		}
	}
	if claims != 1 {
		t.Errorf("%d VMs claim the pool", claims)
	}
	return first.Name
}

// TestOwnerIsStableWhenVMsJoin guards against a pool that moves whenever a VM comes or
// goes. Each move loses the state of the owner.
func TestOwnerIsStableWhenVMsJoin(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(7)
	converge(now, all[:3])
	owner := agreedOwner(t, now, all[:3])
	now = now.Add(10 * time.Second)
	converge(now, all)
	if got := agreedOwner(t, now, all); got != owner {
		t.Errorf("the pool moved from %s to %s when VMs were added", owner, got)
	}
}

// TestOwnersConvergeAfterPartition guards against two owners of a pool after a
// partition has ended, and against a side without an owner during it.
func TestOwnersConvergeAfterPartition(t *testing.T) {
	for splitAt := 1; splitAt < 6; splitAt++ {
		t.Run(fmt.Sprint(splitAt), func(t *testing.T) {
			now := clock.Instant(10 * time.Second)
			all := newDirectories(7)
			converge(now, all)
			before := agreedOwner(t, now, all)
			now = now.Add(2 * time.Second)
			converge(now, all[:splitAt], all[splitAt:])
			left, right := agreedOwner(t, now, all[:splitAt]), agreedOwner(t, now, all[splitAt:])
			if left != before && right != before {
				t.Errorf("%s lost the pool in both partitions, to %s and %s", before, left, right)
			}
			now = now.Add(2 * time.Second)
			converge(now, all)
			if after := agreedOwner(t, now, all); after != left && after != right {
				t.Errorf("the pool owned by %s and %s moved to %s", left, right, after)
			}
		})
	}
}

// TestLeavingOwnerReleasesClaim guards against stages that are sent to a VM that is
// shutting down.
func TestLeavingOwnerReleasesClaim(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(4)
	converge(now, all)
	owner := agreedOwner(t, now, all)
	var rest []*Directory
	for _, d := range all {
		if d.Self().Name != owner {
			rest = append(rest, d)
			continue
		}
		d.Leave()
		_, released := d.UpdateClaims(now, []Resource{{Name: "pool"}})
		if len(released) != 1 || released[0].NewOwner.Name == owner || released[0].NewOwner.Name == "" {
			t.Errorf("unexpected released claims: %v", released)
		}
		for _, other := range all {
			other.Merge(now, []Entry{d.Self()})
		}
	}
	converge(now, rest)
	if got := agreedOwner(t, now, rest); got == owner {
		t.Errorf("%s still owns the pool", got)
	}
}

// TestRestartedVMIsNotOwner guards against stages that wait for a VM which restarted so
// fast that no other VM detected its loss.
func TestRestartedVMIsNotOwner(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(4)
	converge(now, all)
	owner := agreedOwner(t, now, all)
	other := all[0]
	if other.Self().Name == owner {
		other = all[1]
	}
	restarted, _ := other.Entry(owner)
	restarted.Started, restarted.Version, restarted.Claims = 60_000, 0, nil
	other.Merge(now, []Entry{restarted})
	if got, _ := other.Owner(now, Resource{Name: "pool"}); got.Name == owner {
		t.Errorf("%s is still the owner after its restart", owner)
	}
}

// TestLargeVMsArePreferredOwners guards against a small VM that handles the calls of
// the whole fleet while there are larger ones.
func TestLargeVMsArePreferredOwners(t *testing.T) {
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
	d := New(0, all[1])
	d.Merge(0, all)
	setReachability(d, now, nil)
	for i := range 50 {
		if owner, _ := d.Owner(now, Resource{Name: fmt.Sprint("pool-", i)}); owner.Capacity != 800 {
			t.Errorf("pool-%d is owned by %s, a small VM", i, owner.Name)
		}
	}
}

// TestCallsCorrectTheDirectory guards against calls that are redirected in a loop while
// messages about a new owner are in transit, and against a reported ownership that is
// kept after the VM itself denied it.
func TestCallsCorrectTheDirectory(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(5)
	exchangeEntries(now, all)
	d := all[0]
	first, _ := d.Owner(now, Resource{Name: "pool"})
	reported := "vm-1"
	if first.Name == reported {
		reported = "vm-2"
	}
	d.RecordOwner("pool", reported)
	if owner, _ := d.Owner(now, Resource{Name: "pool"}); owner.Name != reported {
		t.Errorf("owner is %s although %s was reported", owner.Name, reported)
	}
	d.RecordNotOwner("pool", reported)
	if owner, _ := d.Owner(now, Resource{Name: "pool"}); owner.Name != first.Name {
		t.Errorf("owner is %s after %s denied ownership", owner.Name, reported)
	}
	later := entry(3, 1000)
	later.Version, later.Claims = 4, []Key{KeyOf("pool")}
	d.Merge(now, []Entry{later})
	if owner, _ := d.Owner(now, Resource{Name: "pool"}); owner.Name != later.Name {
		t.Errorf("owner is %s although %s claims the pool", owner.Name, later.Name)
	}
}

// TestOwnerInItsZone follows the owner of a resource that belongs to one of three zones while the
// zone is cut off, returns, and loses and regains its VMs. It guards against stages of a zone that
// wait for a VM of another one, and against an owner outside the zone that stays after it has
// VMs again.
func TestOwnerInItsZone(t *testing.T) {
	const zone = "zone-1"
	resource := Resource{Name: "pool", Zone: zone}
	now := clock.Instant(10 * time.Second)
	var entries []Entry
	for i := range 9 {
		e := entry(i, 1000)
		e.Zone = fmt.Sprint("zone-", i%3)
		entries = append(entries, e)
	}
	var all, inside, outside []*Directory
	for i := range entries {
		d := New(0, entries[i])
		d.Merge(0, entries)
		all = append(all, d)
		if entries[i].Zone == zone {
			inside = append(inside, d)
		} else {
			outside = append(outside, d)
		}
	}
	settle := func(partitions ...[]*Directory) {
		for range 3 {
			exchangeEntries(now, partitions...)
			for _, partition := range partitions {
				for _, d := range partition {
					d.UpdateClaims(now, []Resource{resource})
				}
			}
		}
		exchangeEntries(now, partitions...)
	}
	owner := func(partition []*Directory) Entry {
		t.Helper()
		first, ok := partition[0].Owner(now, resource)
		for _, d := range partition {
			if got, _ := d.Owner(now, resource); !ok || got.Name != first.Name {
				t.Fatalf("%s regards %s as the owner, and %s regards %s", d.Self().Name, got.Name, partition[0].Self().Name, first.Name)
			}
		}
		return first
	}
	settle(all)
	first := owner(all)
	if first.Zone != zone {
		t.Fatalf("the owner %s is in %s", first.Name, first.Zone)
	}
	now = now.Add(time.Second)
	settle(inside, outside)
	if got := owner(inside); got.Name != first.Name {
		t.Errorf("the owner in the zone that was cut off moved from %s to %s", first.Name, got.Name)
	}
	if got := owner(outside); got.Zone == zone {
		t.Errorf("the other zones regard %s as the owner, which they do not reach", got.Name)
	}
	now = now.Add(time.Second)
	settle(all)
	if got := owner(all); got.Name != first.Name {
		t.Errorf("the owner after the cut is %s, expected %s", got.Name, first.Name)
	}

	now = now.Add(time.Second)
	settle(outside)
	substitute := owner(outside)
	restarted := inside[0]
	*restarted = *New(now, Entry{Name: restarted.Self().Name, Zone: zone, Address: restarted.Self().Address, Started: 60_000})
	restarted.Merge(now, entries)
	// The VMs that did not return are not reachable any more.
	now = now.Add(2 * reachableMaxAge)
	back := append([]*Directory{restarted}, outside...)
	settle(back)
	if got := owner(back); got.Name != substitute.Name {
		t.Errorf("a VM that has just started replaced the owner %s", substitute.Name)
	}
	now = now.Add(claimDelay)
	settle(back)
	if got := owner(back); got.Name != restarted.Self().Name {
		t.Errorf("the owner is %s although a VM of the zone has been running for %v", got.Name, claimDelay)
	}
}
