package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// staticLeaseDuration is how long a statically assigned slot is held before it is
// computed again.
const staticLeaseDuration = time.Second

// staticLeases divides the slots of a cold upstream among the published VMs without
// communication. It is used if no Leaser is set. VMs with the same list compute the same
// division. A VM cannot pass its idle slots on, and while VMs have different lists two of
// them may use the same slot.
type staticLeases struct {
	vm  string
	now func() clock.Instant
	// listVMs returns the published VM list in use.
	listVMs func() []table.VM
}

// Renew implements Leaser.
func (s *staticLeases) Renew(_ context.Context, wanted []dispatch.LeaseRequest) []dispatch.HeldLease {
	var held []dispatch.HeldLease
	until := s.now().Add(staticLeaseDuration)
	for i := range wanted {
		slots := s.ownedSlots(&wanted[i])
		if slots > 0 {
			held = append(held, dispatch.HeldLease{Upstream: wanted[i].Upstream, Slots: min(slots, wanted[i].Slots), Until: until})
		}
	}
	return held
}

// ownedSlots returns the number of slots of this VM. VMs in the upstream's zone come first.
func (s *staticLeases) ownedSlots(request *dispatch.LeaseRequest) int {
	var sameZone, otherZones []string
	for _, vm := range s.listVMs() {
		if vm.Zone == request.Zone {
			sameZone = append(sameZone, vm.Name)
		} else {
			otherZones = append(otherZones, vm.Name)
		}
	}
	ranked := append(rendezvous.Rank(request.Upstream, sameZone), rendezvous.Rank(request.Upstream, otherZones)...)
	rank := slices.Index(ranked, s.vm)
	if rank < 0 || rank >= request.Capacity {
		return 0
	}
	return (request.Capacity - rank + len(ranked) - 1) / len(ranked)
}
