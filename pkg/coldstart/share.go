package coldstart

import "github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"

// sameZonePercent is the part of the warm capacity that is reserved for VMs in the
// upstream's zone. VMs of other zones share the rest, which bounds the work that the zone
// accepts from them.
const sameZonePercent = 70

// Member is a VM that may send work to an upstream.
type Member struct {
	VM   string
	Zone string
}

// Share returns how much of an upstream's warm capacity the VM may use. Every VM
// that knows the same members computes the same shares, and their sum is at most
// the capacity. Members must be distinct.
func Share(upstream, zone string, capacity int, members []Member, vm string) int {
	self := -1
	sameZoneCount := 0
	for i := range members {
		if members[i].VM == vm {
			self = i
		}
		if members[i].Zone == zone {
			sameZoneCount++
		}
	}
	if self < 0 {
		return 0
	}
	inSameZone := members[self].Zone == zone
	groupSize := len(members) - sameZoneCount
	groupCapacity := otherZonesCapacity(capacity, sameZoneCount, groupSize)
	if inSameZone {
		groupCapacity = capacity - groupCapacity
		groupSize = sameZoneCount
	}
	share := groupCapacity / groupSize
	if rankInGroup(upstream, zone, members, self) < groupCapacity%groupSize {
		share++
	}
	return share
}

// otherZonesCapacity returns the part of the capacity that VMs of other zones share.
func otherZonesCapacity(capacity, sameZoneCount, otherZonesCount int) int {
	switch {
	case sameZoneCount == 0:
		return capacity
	case otherZonesCount == 0:
		return 0
	default:
		return capacity * (100 - sameZonePercent) / 100
	}
}

// rankInGroup returns the rank of a member by rendezvous weight within its group: the members
// in the upstream's zone, or those in other zones.
func rankInGroup(upstream, zone string, members []Member, self int) int {
	inSameZone := members[self].Zone == zone
	weight := rendezvous.Weight(upstream, members[self].VM)
	rank := 0
	for i := range members {
		if i == self || (members[i].Zone == zone) != inSameZone {
			continue
		}
		other := rendezvous.Weight(upstream, members[i].VM)
		if other > weight || (other == weight && members[i].VM < members[self].VM) {
			rank++
		}
	}
	return rank
}
