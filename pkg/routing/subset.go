package routing

import (
	"cmp"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// subsetSize is the number of VMs that send work to an upstream if there are enough VMs.
	subsetSize = 16
	// subsetSameZoneSize is how many of them are in the upstream's zone if it has enough VMs.
	// It matches the zone's share of the capacity.
	subsetSameZoneSize = 11
	// minUpstreamsPerVM is the minimum number of upstreams of a pool that a VM sends work to.
	// Ranking VMs per upstream alone would leave about a third of 330 VMs without any
	// upstream of a pool of 25.
	minUpstreamsPerVM = 2
)

// Node is a VM or an upstream.
type Node struct {
	Name string
	Zone string
}

// Subsets returns for each upstream of a pool the VMs that may send work to it. The
// result depends only on the published lists, so all VMs compute the same.
func Subsets(upstreams, vms []Node) [][]Node {
	subsets := make([][]Node, len(upstreams))
	if len(vms) <= subsetSize {
		for i := range subsets {
			subsets[i] = vms
		}
		return subsets
	}
	assigned := make(map[string]int, len(vms))
	for i, u := range upstreams {
		subsets[i] = topVMs(u, vms)
		for _, vm := range subsets[i] {
			assigned[vm.Name]++
		}
	}
	for _, vm := range vms {
		if assigned[vm.Name] < minUpstreamsPerVM {
			addToSubsets(vm, upstreams, subsets, minUpstreamsPerVM-assigned[vm.Name])
		}
	}
	return subsets
}

// topVMs returns the highest ranked VMs of the upstream's zone and of the other zones.
func topVMs(u Node, vms []Node) []Node {
	ranked := rankByWeight(u.Name, vms)
	slices.SortStableFunc(ranked, func(a, b Node) int {
		return cmp.Compare(zoneDistance(a, u.Zone), zoneDistance(b, u.Zone))
	})
	inZone := 0
	for inZone < len(ranked) && ranked[inZone].Zone == u.Zone {
		inZone++
	}
	sameZoneCount := min(inZone, max(subsetSameZoneSize, subsetSize-(len(ranked)-inZone)))
	return append(slices.Clone(ranked[:sameZoneCount]), ranked[inZone:inZone+min(subsetSize-sameZoneCount, len(ranked)-inZone)]...)
}

// addToSubsets adds the VM to the subsets of as many upstreams as are missing, those of its
// zone first.
func addToSubsets(vm Node, upstreams []Node, subsets [][]Node, missing int) {
	ranked := rankByWeight(vm.Name, upstreams)
	slices.SortStableFunc(ranked, func(a, b Node) int {
		return cmp.Compare(zoneDistance(a, vm.Zone), zoneDistance(b, vm.Zone))
	})
	for _, u := range ranked {
		i := slices.Index(upstreams, u)
		if missing == 0 {
			return
		}
		if slices.Contains(subsets[i], vm) {
			continue
		}
		subsets[i] = append(subsets[i], vm)
		missing--
	}
}

// rankByWeight returns the nodes in order of descending rendezvous weight for the key.
func rankByWeight(key string, nodes []Node) []Node {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b Node) int {
		if c := cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}

func zoneDistance(n Node, zone string) int {
	if n.Zone == zone {
		return 0
	}
	return 1
}
