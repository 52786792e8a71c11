package keeper

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// GroupSize is the number of VMs that store a shard.
	GroupSize = 5
	// maxMembersPerZone ensures that a group keeps its majority when one zone fails.
	maxMembersPerZone = 2
	// minZonesForLimit is the minimum number of zones for maxMembersPerZone to apply.
	minZonesForLimit = 3
	// minVMsForLocalLeases is the minimum number of published VMs in a zone for its
	// leases to be stored within the zone.
	minVMsForLocalLeases = 3
)

// VMList is one revision of the published list of VMs. The zero value means that
// no list has been received.
type VMList struct {
	Revision   uint64
	vms        []table.VM
	vmsPerZone map[string]int
}

// NewVMList returns the list of VMs published at revision.
func NewVMList(revision uint64, vms []table.VM) VMList {
	vmsPerZone := map[string]int{}
	for i := range vms {
		vmsPerZone[vms[i].Zone]++
	}
	return VMList{Revision: revision, vms: vms, vmsPerZone: vmsPerZone}
}

// Contains reports whether the list contains the VM.
func (l VMList) Contains(name string) bool {
	return slices.ContainsFunc(l.vms, func(vm table.VM) bool { return vm.Name == name })
}

// View returns the shard's view at the list's revision.
func (l VMList) View(shard Shard) View {
	return View{Revision: l.Revision, Group: l.group(shard)}
}

func (l VMList) group(shard Shard) []string {
	type candidate struct {
		vm     *table.VM
		weight uint64
	}
	label := shard.label()
	zoneLocal := shard.Lease && l.vmsPerZone[shard.Zone] >= minVMsForLocalLeases
	candidates := make([]candidate, 0, len(l.vms))
	for i := range l.vms {
		if vm := &l.vms[i]; !zoneLocal || vm.Zone == shard.Zone {
			candidates = append(candidates, candidate{vm, rendezvous.Weight(label, vm.Name)})
		}
	}
	limited := !zoneLocal && len(l.vmsPerZone) >= minZonesForLimit
	group := make([]string, 0, GroupSize)
	membersPerZone := map[string]int{}
	for len(group) < GroupSize {
		best := -1
		for i, c := range candidates {
			if c.vm == nil || limited && membersPerZone[c.vm.Zone] >= maxMembersPerZone {
				continue
			}
			if best < 0 || c.weight > candidates[best].weight ||
				c.weight == candidates[best].weight && c.vm.Name < candidates[best].vm.Name {
				best = i
			}
		}
		if best < 0 {
			break
		}
		group = append(group, candidates[best].vm.Name)
		membersPerZone[candidates[best].vm.Zone]++
		candidates[best].vm = nil
	}
	// Sorting by name allows groups to be compared regardless of weights.
	slices.Sort(group)
	return group
}

// View is the group of a shard at a revision of the published list.
type View struct {
	Revision uint64
	// Group holds the names of the members in ascending order.
	Group []string
}

// Majority returns the smallest number of members that is more than half of the group.
func (v View) Majority() int { return len(v.Group)/2 + 1 }

// Contains reports whether the VM is a member of the group.
func (v View) Contains(vm string) bool {
	_, found := slices.BinarySearch(v.Group, vm)
	return found
}

func (v View) sameGroup(other View) bool { return slices.Equal(v.Group, other.Group) }
