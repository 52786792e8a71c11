package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// queuePerCapacity is the bound of a queue per unit of capacity. Longer waits
	// exceed any deadline that leaves time for the work itself.
	queuePerCapacity = 8
	// minQueue bounds the queue while there is no capacity yet, as at a cold start.
	minQueue = 64
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.05
)

// pool is the state of one pool.
type pool struct {
	entry     *table.Pool
	upstreams []*upstream
	// served and inService count the upstreams that this VM serves, and those of them in service.
	served    []*routing.Upstream
	inService int

	// leased lists the upstreams with leases in hand.
	leased []*upstream
	// sinceWarmUp counts the attempts since one was sent to a cold upstream to warm it.
	sinceWarmUp int
	spill       routing.ZoneSpillover
	queue       *admission.Queue
	budget      retry.Budget
	// salt separates the prefixes of pools.
	salt uint64

	// capacity is the concurrency that this VM may reach, running ramps included.
	capacity int
	// admitted counts requests whose route uses the pool.
	admitted int
	service  time.Duration
	meanLoad float64
	used     clock.Instant
	// waiting is since when attempts have been waiting, 0 if none do.
	waiting clock.Instant
}

// learn records the service time of a success.
func (p *pool) learn(elapsed time.Duration) {
	if p.service == 0 {
		p.service = elapsed
		return
	}
	p.service += time.Duration(serviceWeight * float64(elapsed-p.service))
}

// wait estimates how long a request waits behind that many others, given the
// number that run at the same time.
func (p *pool) wait(ahead int) time.Duration {
	if p.capacity == 0 || ahead <= 0 {
		return 0
	}
	return p.service * time.Duration(ahead) / time.Duration(p.capacity)
}

// measure computes the mean load, which affinity is compared with, the queue bound
// and since when attempts wait.
func (p *pool) measure(now clock.Instant) {
	p.queue.SoftLimit = max(minQueue, queuePerCapacity*p.capacity)
	total, count := 0.0, 0
	for _, u := range p.served {
		if u.InService && u.Warm {
			total += u.Load.Estimate(now, u.InFlight)
			count++
		}
	}
	switch {
	case p.queue.Len() == 0:
		p.waiting = 0
	case p.waiting == 0:
		p.waiting = now
	}
	p.meanLoad = total / float64(max(count, 1))
}
