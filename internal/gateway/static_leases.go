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

// staticTerm is how long a slot of the static division is held before it is computed again.
const staticTerm = time.Second

// staticLeases divides the slots of a cold upstream over the published VMs without any
// message. It is used where no Leaser is set. VMs with the same list agree on the
// division; a VM whose slots lie idle cannot pass them on, and while VMs hold different
// lists two may use the same slot.
type staticLeases struct {
	vm  string
	now func() clock.Instant
	// list returns the published VM list in use.
	list func() []table.VM
}

// Renew implements Leaser.
func (s *staticLeases) Renew(_ context.Context, wants []dispatch.LeaseRequest) []dispatch.HeldLease {
	var held []dispatch.HeldLease
	until := s.now().Add(staticTerm)
	for i := range wants {
		own := s.owned(&wants[i])
		if own > 0 {
			held = append(held, dispatch.HeldLease{Upstream: wants[i].Upstream, Slots: min(own, wants[i].Slots), Until: until})
		}
	}
	return held
}

// owned returns the number of slots of this VM. VMs in the upstream's zone come first.
func (s *staticLeases) owned(want *dispatch.LeaseRequest) int {
	var near, far []string
	for _, vm := range s.list() {
		if vm.Zone == want.Zone {
			near = append(near, vm.Name)
		} else {
			far = append(far, vm.Name)
		}
	}
	order := append(rendezvous.Rank(want.Upstream, near), rendezvous.Rank(want.Upstream, far)...)
	place := slices.Index(order, s.vm)
	if place < 0 || place >= want.Capacity {
		return 0
	}
	return (want.Capacity - place + len(order) - 1) / len(order)
}
