package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// sendThroughGateways sends a new key through the gateway of each selected VM every
// 50 ms. It returns the number of refused sends and of all sends.
func (sim *simulation) sendThroughGateways(d time.Duration, selected func(*simVM) bool) (refused, all int) {
	first := len(sim.allSends)
	for end := sim.now.Add(d); sim.now.Before(end); {
		for _, v := range sim.vms {
			if v.up && selected(v) {
				sim.sendRequest(v, ClaimKey("w", "r", fmt.Sprint(len(sim.allSends))))
			}
		}
		sim.runFor(50 * time.Millisecond)
	}
	sim.runFor(2 * simDeadline)
	for _, s := range sim.allSends[first:] {
		if s.proposer.Decision() != DecisionMayRun {
			refused++
		}
	}
	return refused, len(sim.allSends) - first
}

// TestRefusalsDuringOutage guards against refusals while a VM is replaced, and against
// refusals outside a zone that is cut off from the others. It uses seven VMs in three
// zones.
func TestRefusalsDuringOutage(t *testing.T) {
	others := func(except int) func(*simVM) bool {
		return func(v *simVM) bool { return v.name != fmt.Sprintf("vm-%d", except) && v.name != "vm-8" }
	}
	sim := newSimulation(1, 8, 7)
	sim.runFor(2 * time.Second)
	sim.crashVM(sim.vms[2])
	refused, all := sim.sendThroughGateways(time.Second, others(3))
	sim.publishList(append(append([]*simVM{}, sim.vms[:2]...), sim.vms[3:]...))
	refusedLater, allLater := sim.sendThroughGateways(2*simListLag, others(3))
	t.Logf("replacement of a VM: %d of %d sends refused", refused+refusedLater, all+allLater)
	if refused+refusedLater > 0 {
		t.Error("claims are refused while a VM is replaced")
	}

	sim = newSimulation(2, 8, 7)
	sim.runFor(2 * time.Second)
	inZone := func(v *simVM) bool { return v.name[3]%3 == 0 }
	for _, v := range sim.vms {
		if inZone(v) {
			sim.partition[v.name] = 1
		}
	}
	refused, all = sim.sendThroughGateways(2*time.Second, func(v *simVM) bool { return !inZone(v) && v.name != "vm-8" })
	refusedInside, allInside := sim.sendThroughGateways(2*time.Second, inZone)
	t.Logf("zone cut off: %d of %d sends refused outside, %d of %d inside", refused, all, refusedInside, allInside)
	if refused > 0 || refusedInside != allInside {
		t.Error("claims are refused outside a cut-off zone, or are granted inside it")
	}
}

// newEvenList returns a list of VMs that are evenly distributed over the zones.
func newEvenList(vms, zones int) VMList {
	var entries []table.VM
	for i := range vms {
		entries = append(entries, table.VM{Name: fmt.Sprintf("vm-%d", i+1), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return NewVMList(1, entries)
}

// TestRefusedKeysByOutage guards against groups whose majority depends on one VM or zone.
// It logs the share of keys that are refused during an outage, and for comparison the
// share that would be refused if each key had a single owner.
func TestRefusedKeysByOutage(t *testing.T) {
	for _, size := range []struct{ vms, zones int }{{7, 3}, {330, 6}} {
		list := newEvenList(size.vms, size.zones)
		refusedShare := func(down func(vm int) bool) (group, owner float64) {
			isDown := map[string]bool{}
			for i := range size.vms {
				isDown[list.vms[i].Name] = down(i)
			}
			for index := range uint16(ClaimShardCount) {
				view := list.View(Shard{Index: index})
				up := 0
				for _, name := range view.Group {
					if !isDown[name] {
						up++
					}
				}
				if up < view.Majority() {
					group++
				}
				if isDown[view.Group[int(index)%len(view.Group)]] {
					owner++
				}
			}
			return 100 * group / ClaimShardCount, 100 * owner / ClaimShardCount
		}
		report := func(name string, down func(vm int) bool, maxRefused float64) {
			group, owner := refusedShare(down)
			t.Logf("%d VMs, %s: %.1f%% of keys refused with a majority of a group, %.1f%% with a single owner", size.vms, name, group, owner)
			if group > maxRefused {
				t.Errorf("%d VMs, %s: %.1f%% of keys refused", size.vms, name, group)
			}
		}
		report("one VM lost", func(vm int) bool { return vm == 0 }, 0)
		report("two VMs lost", func(vm int) bool { return vm < 2 }, 0)
		report("three VMs lost", func(vm int) bool { return vm < 3 }, 50)
		report("one zone lost", func(vm int) bool { return vm%size.zones == 0 }, 0)
		report("two zones lost", func(vm int) bool { return vm%size.zones < 2 }, 100)
		report("seen from the cut-off zone", func(vm int) bool { return vm%size.zones != 0 }, 100)
	}
}

// BenchmarkVote measures the time and memory that a member uses per claim.
func BenchmarkVote(b *testing.B) {
	sim := newSimulation(1, 5, 5)
	sim.runFor(2 * time.Second)
	m, view := sim.vms[0].member, sim.lists[0].View(sim.claimShard)
	m.options.MaxRecords = b.N + 1
	b.ReportAllocs()
	for i := range b.N {
		key := Key{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24), 1}
		response := m.Claim(sim.now, ClaimRequest{Key: key, Holder: Holder{VM: "gateway-vm", Attempt: uint64(i)}, View: view})
		if response.Verdict != Granted {
			b.Fatal(response.Verdict)
		}
	}
}
