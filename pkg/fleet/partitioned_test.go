package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestPartitionedVMOwnsNothing guards against a pool whose owner cannot reach any upstream while others can,
// and against a pool without an owner when all VMs are partitioned.
func TestPartitionedVMOwnsNothing(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(5)
	converge(now, all)
	first := agreedOwner(t, now, all)
	partitionOwner := func() {
		owner := agreedOwner(t, now, all)
		for _, d := range all {
			if d.Self().Name == owner && !d.SetPartitioned(true) {
				t.Fatalf("%s owns the pool although it is partitioned", owner)
			}
		}
		converge(now, all)
	}
	for range len(all) - 1 {
		before := agreedOwner(t, now, all)
		partitionOwner()
		if after := agreedOwner(t, now, all); after == before {
			t.Errorf("%s still owns the pool", before)
		}
	}
	last := agreedOwner(t, now, all)
	partitionOwner()
	if after := agreedOwner(t, now, all); after != last {
		t.Errorf("the pool moved from %s to %s although all VMs are partitioned", last, after)
	}
	for _, d := range all {
		if d.Self().Name == first {
			d.SetPartitioned(false)
		}
	}
	converge(now, all)
	if after := agreedOwner(t, now, all); after != first {
		t.Errorf("%s owns the pool although only %s is not partitioned", after, first)
	}
}

// TestPartitionedVMReadsTheStore guards against a partition from the upstreams that moves the readers of
// the store and the relays of its tables.
func TestPartitionedVMReadsTheStore(t *testing.T) {
	now := clock.Instant(10 * time.Second)
	all := newDirectories(5)
	converge(now, all)
	before := names(all[0].Ranking(now, Resource{Name: "readers"}))
	for _, d := range all {
		if d.Self().Name == before[0] {
			d.SetPartitioned(true)
		}
	}
	converge(now, all)
	for _, d := range all {
		if after := names(d.Ranking(now, Resource{Name: "readers"})); !slices.Equal(after, before) {
			t.Errorf("the ranking at %s changed from %v to %v", d.Self().Name, before, after)
		}
	}
}

// TestPartitionedVMsAgree guards against VMs that know each other's state and regard different ones as the
// owner, over random changes of which VMs are partitioned and of what each has heard.
func TestPartitionedVMsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(10 * time.Second)
		var entries []Entry
		var all []*Directory
		for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
			e := entry(i, 1000)
			e.Zone = fmt.Sprint("zone-", rapid.IntRange(0, 2).Draw(t, "zone"))
			entries = append(entries, e)
		}
		for i := range entries {
			d := New(0, entries[i])
			d.Merge(0, entries)
			all = append(all, d)
		}
		resource := Resource{Name: "pool", Zone: rapid.SampledFrom([]string{"", "zone-0", "zone-1"}).Draw(t, "zone of the pool")}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			d := all[rapid.IntRange(0, len(all)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				d.SetPartitioned(rapid.Bool().Draw(t, "partitioned"))
			case 1:
				d.Merge(now, []Entry{all[rapid.IntRange(0, len(all)-1).Draw(t, "heard")].Self()})
			case 2:
				setReachability(d, now, nil)
				d.UpdateClaims(now, []Resource{resource})
			}
		}
		for range 3 {
			exchangeEntries(now, all)
			for _, d := range all {
				d.UpdateClaims(now, []Resource{resource})
			}
		}
		exchangeEntries(now, all)
		checkAgreedOwner(t, now, all, resource)
	})
}

// checkAgreedOwner checks that the VMs agree on an owner that claims the resource, and that it is not
// partitioned unless all are.
func checkAgreedOwner(t *rapid.T, now clock.Instant, all []*Directory, resource Resource) {
	allPartitioned := !slices.ContainsFunc(all, func(d *Directory) bool { return !d.Self().Partitioned })
	first, _ := all[0].Owner(now, resource)
	if first.Partitioned && !allPartitioned {
		t.Fatalf("the owner %s is partitioned", first.Name)
	}
	for _, d := range all {
		if owner, _ := d.Owner(now, resource); owner.Name != first.Name {
			t.Fatalf("%s regards %s as the owner, and %s regards %s", d.Self().Name, owner.Name, all[0].Self().Name, first.Name)
		}
		self := d.Self()
		if claims := self.Claimed(KeyOf(resource.Name)); claims != (self.Name == first.Name) {
			t.Fatalf("%s claims: %v; the owner is %s", self.Name, claims, first.Name)
		}
	}
}
