package evaluate

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const (
	leaseDuration = 5 * time.Second
	// leaseMargin is how much earlier a lease ends for its holder than for the keeper.
	leaseMargin = 200 * time.Millisecond
	// renewInterval is the time between two lease renewals of a gateway.
	renewInterval = 250 * time.Millisecond
)

// leaseKeeper grants leases on slots of cold upstreams. It grants a slot to another VM only
// after the lease has expired and requestDeadline has passed.
type leaseKeeper struct {
	sim   *simulation
	slots map[string][]lease
}

type lease struct {
	vm    string
	until clock.Instant
}

func newLeaseKeeper(sim *simulation) *leaseKeeper {
	return &leaseKeeper{sim: sim, slots: map[string][]lease{}}
}

func (k *leaseKeeper) grant(vm string, wanted dispatch.LeaseRequest) dispatch.HeldLease {
	slots := k.slots[wanted.Upstream]
	if slots == nil {
		slots = make([]lease, wanted.Capacity)
		k.slots[wanted.Upstream] = slots
	}
	granted := 0
	for i := range slots {
		free := slots[i].vm == "" || k.sim.now >= slots[i].until.Add(requestDeadline)
		if granted < wanted.Slots && (free || slots[i].vm == vm) {
			slots[i] = lease{vm: vm, until: k.sim.now.Add(leaseDuration)}
			granted++
		}
	}
	return dispatch.HeldLease{
		Upstream: wanted.Upstream, Slots: granted, Until: k.sim.now.Add(leaseDuration - leaseMargin),
	}
}
