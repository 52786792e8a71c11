package evaluate

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const (
	leaseLength = 5 * time.Second
	leaseMargin = 200 * time.Millisecond
	// renewEvery is how often a gateway renews its leases.
	renewEvery = 250 * time.Millisecond
)

// keeper grants cold-start leases: a slot goes to another VM only after its end plus
// the longest deadline.
type keeper struct {
	sim   *simulation
	slots map[string][]lease
}

type lease struct {
	vm    string
	until clock.Instant
}

func newKeeper(sim *simulation) *keeper { return &keeper{sim: sim, slots: map[string][]lease{}} }

func (k *keeper) grant(vm string, want dispatch.LeaseRequest) dispatch.HeldLease {
	slots := k.slots[want.Upstream]
	if slots == nil {
		slots = make([]lease, want.Capacity)
		k.slots[want.Upstream] = slots
	}
	granted := 0
	for i := range slots {
		free := slots[i].vm == "" || k.sim.now >= slots[i].until.Add(deadline)
		if granted < want.Slots && (free || slots[i].vm == vm) {
			slots[i] = lease{vm: vm, until: k.sim.now.Add(leaseLength)}
			granted++
		}
	}
	return dispatch.HeldLease{
		Upstream: want.Upstream, Slots: granted, Until: k.sim.now.Add(leaseLength - leaseMargin),
	}
}
