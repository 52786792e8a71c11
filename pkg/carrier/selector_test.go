package carrier

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

const testNow = clock.Instant(time.Hour)

func newVMs(n, zones int) []fleet.Entry {
	var out []fleet.Entry
	for i := range n {
		out = append(out, fleet.Entry{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%zones), Capacity: 400})
	}
	return out
}

// TestNeverThroughUnusableVM guards against connections through VMs that are partitioned themselves, leave,
// failed a moment ago or were tried already, and against giving up while another VM is left.
func TestNeverThroughUnusableVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := newVMs(rapid.IntRange(0, 40).Draw(t, "VMs"), rapid.IntRange(1, 3).Draw(t, "zones"))
		s := New("vm-0", "zone-0")
		now := testNow
		failedAt := map[string]clock.Instant{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			var tried []string
			usable := 0
			for i := range vms {
				vm := &vms[i]
				vm.Leaving, vm.Partitioned = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "partitioned")
				if rapid.IntRange(0, 5).Draw(t, "tried") == 0 {
					tried = append(tried, vm.Name)
				}
				failed, ok := failedAt[vm.Name]
				if vm.Name != "vm-0" && !vm.Leaving && !vm.Partitioned && !slices.Contains(tried, vm.Name) && (!ok || now.Sub(failed) > maxBackoff) {
					usable++
				}
			}
			chosen, ok := s.Select(now, vms, tried)
			if !ok && usable > 0 {
				t.Fatalf("no VM was chosen although %d are usable", usable)
			}
			if ok {
				if chosen.Name == "vm-0" || chosen.Leaving || chosen.Partitioned || slices.Contains(tried, chosen.Name) {
					t.Fatalf("chose %+v, tried %v", chosen, tried)
				}
				if failed, ok := failedAt[chosen.Name]; ok && now.Sub(failed) < initialBackoff {
					t.Fatalf("chose %s, which failed %s ago", chosen.Name, now.Sub(failed))
				}
				if rapid.Bool().Draw(t, "fails") {
					s.RecordFailure(now, chosen.Name)
					failedAt[chosen.Name] = now
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// TestConnectionsAreSpread guards against one VM that carries most connections of a partitioned VM, also
// after connections through the others have ended.
func TestConnectionsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := newVMs(rapid.IntRange(2, 60).Draw(t, "VMs"), 1)
		s := New("vm-0", "zone-0")
		open := map[string]int{}
		begin := func() string {
			chosen, ok := s.Select(testNow, vms, nil)
			if !ok {
				t.Fatal("no VM was chosen")
			}
			s.Begin(chosen.Name)
			open[chosen.Name]++
			return chosen.Name
		}
		for range maxCarriers {
			begin()
		}
		names := slices.Sorted(maps.Keys(open))
		if want := min(maxCarriers, len(vms)-1); len(names) != want {
			t.Fatalf("%d VMs carry %d connections, expected %d VMs", len(names), maxCarriers, want)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if ended := rapid.SampledFrom(names).Draw(t, "ended"); open[ended] > 0 && rapid.Bool().Draw(t, "ends") {
				s.End(ended)
				open[ended]--
				continue
			}
			chosen := begin()
			for _, name := range names {
				if open[chosen]-1 > open[name] {
					t.Fatalf("%s carries %d connections and got one more, %s carries %d", chosen, open[chosen]-1, name, open[name])
				}
			}
		}
	})
}

// TestPartitionedVMsUseDifferentCarriers guards against all partitioned VMs turning to the same few VMs.
// Of 330 VMs in 6 zones 60% are partitioned.
func TestPartitionedVMsUseDifferentCarriers(t *testing.T) {
	const perVM = 16
	vms := newVMs(330, 6)
	for i := range vms {
		vms[i].Partitioned = i%10 < 6
	}
	carried, connections := map[string]int{}, 0
	for _, vm := range vms {
		if !vm.Partitioned {
			continue
		}
		s := New(vm.Name, vm.Zone)
		for range perVM {
			chosen, _ := s.Select(testNow, vms, nil)
			s.Begin(chosen.Name)
			carried[chosen.Name]++
			connections++
		}
	}
	sound := 330 - connections/perVM
	if len(carried) != sound {
		t.Errorf("%d VMs carry connections, expected all %d", len(carried), sound)
	}
	for name, n := range carried {
		if mean := connections / sound; n > 3*mean {
			t.Errorf("%s carries %d connections, the mean is %d", name, n, mean)
		}
	}
}

// TestOwnZoneFirst guards against connections that cross zones while VMs of the own zone have little load,
// and against VMs of the own zone that carry all connections although other zones are idle.
func TestOwnZoneFirst(t *testing.T) {
	vms := newVMs(5, 2)
	s := New("vm-0", "zone-0")
	carried := map[string]int{}
	for range 60 {
		chosen, _ := s.Select(testNow, vms, nil)
		if len(carried) == 0 && chosen.Zone != "zone-0" {
			t.Errorf("the first connection goes through %s", chosen.Zone)
		}
		s.Begin(chosen.Name)
		carried[chosen.Zone]++
	}
	// Each zone has two other VMs, and those of the own zone carry twice as much.
	if carried["zone-0"] != 40 || carried["zone-1"] != 20 {
		t.Errorf("connections by zone: %v", carried)
	}
}

// TestCapacityCounts guards against a small VM that carries as much as a large one.
func TestCapacityCounts(t *testing.T) {
	vms := newVMs(3, 1)
	vms[1].Capacity, vms[2].Capacity = 300, 900
	s := New("vm-0", "zone-0")
	carried := map[string]int{}
	for range 40 {
		chosen, _ := s.Select(testNow, vms, nil)
		s.Begin(chosen.Name)
		carried[chosen.Name]++
	}
	if carried["vm-1"] != 10 || carried["vm-2"] != 30 {
		t.Errorf("connections by VM: %v", carried)
	}
}

// TestFailedVMReturns guards against a VM that is passed over for good, one that is asked at every attempt
// although it always fails, and one whose old failures still count.
func TestFailedVMReturns(t *testing.T) {
	vms := newVMs(2, 1)
	s := New("vm-0", "zone-0")
	now := testNow
	passedOver := func() time.Duration {
		from := now
		for {
			if _, ok := s.Select(now, vms, nil); ok {
				return now.Sub(from)
			}
			now = now.Add(100 * time.Millisecond)
		}
	}
	for _, want := range []time.Duration{1, 2, 4, 4} {
		s.RecordFailure(now, "vm-1")
		s.RecordFailure(now, "vm-1")
		if got := passedOver(); got != want*time.Second {
			t.Errorf("passed over for %s, expected %s", got, want*time.Second)
		}
	}
	s.RecordSuccess("vm-1")
	s.RecordFailure(now, "vm-1")
	if got := passedOver(); got != initialBackoff {
		t.Errorf("passed over for %s after a success", got)
	}
	now = now.Add(failureMemory + time.Second)
	if _, ok := s.Select(now, vms, nil); !ok || len(s.vms) > 0 {
		t.Errorf("%d VMs are remembered long after the last failure", len(s.vms))
	}
	s.RecordUnsupported(now, "vm-1")
	if got := passedOver(); got != unsupportedBackoff {
		t.Errorf("a VM of an older version is passed over for %s", got)
	}
}

// TestHasCarrier guards against a VM that opens connections directly, which hang, only since those that carry its
// connections are in backoff; and against one that never does so although no VM carries any.
func TestHasCarrier(t *testing.T) {
	vms := append(newVMs(2, 1), fleet.Entry{Name: "leaving", Leaving: true}, fleet.Entry{Name: "cut", Partitioned: true})
	s := New("vm-0", "zone-0")
	if s.HasCarrier(testNow, slices.Delete(slices.Clone(vms), 1, 2)) {
		t.Error("this VM, or one that is leaving or partitioned, counts as a carrier")
	}
	s.RecordFailure(testNow, "vm-1")
	if _, ok := s.Select(testNow, vms, nil); ok || !s.HasCarrier(testNow, vms) {
		t.Error("a VM in backoff is chosen, or does not count as a carrier")
	}
	s.RecordUnsupported(testNow, "vm-1")
	if s.HasCarrier(testNow, vms) {
		t.Error("a VM of an older version counts as a carrier")
	}
	if !s.HasCarrier(testNow.Add(unsupportedBackoff), vms) {
		t.Error("a VM of an older version is never asked again")
	}
}
