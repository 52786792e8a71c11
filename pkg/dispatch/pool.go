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
	// queueBoundPerCapacity is the bound of a queue per unit of capacity. Longer waits
	// exceed any deadline that leaves time for the work itself.
	queueBoundPerCapacity = 8
	// minQueueBound bounds the queue while there is no capacity yet, as at a cold start.
	minQueueBound = 64
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.05
)

// pool is the state of one pool.
type pool struct {
	entry     *table.Pool
	upstreams []*upstream
	// assigned and inService count the upstreams that this VM serves, and those of them in service.
	assigned  []*routing.Upstream
	inService int

	// leased lists the upstreams with leases in hand.
	leased []*upstream
	// attemptsSinceWarmUp counts the attempts since one was sent to a cold upstream to warm it.
	attemptsSinceWarmUp int
	spillover           routing.ZoneSpill
	queue               *admission.Queue
	budget              retry.Budget
	// prefixSalt separates the prefixes of pools.
	prefixSalt uint64

	// capacity is the concurrency that this VM may reach, running ramps included.
	capacity int
	// admitted counts requests whose route uses the pool.
	admitted        int
	meanServiceTime time.Duration
	meanLoad        float64
	lastUsed        clock.Instant
	// waitingSince is since when attempts have been waiting, 0 if none do.
	waitingSince clock.Instant
}

// recordServiceTime records the service time of a success.
func (p *pool) recordServiceTime(elapsed time.Duration) {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = elapsed
		return
	}
	p.meanServiceTime += time.Duration(serviceTimeWeight * float64(elapsed-p.meanServiceTime))
}

// estimateWait estimates how long a request waits behind that many others, given the
// number that run at the same time.
func (p *pool) estimateWait(ahead int) time.Duration {
	if p.capacity == 0 || ahead <= 0 {
		return 0
	}
	return p.meanServiceTime * time.Duration(ahead) / time.Duration(p.capacity)
}

// updateStats computes the mean load, which affinity is compared with, the queue bound
// and since when attempts wait.
func (p *pool) updateStats(now clock.Instant) {
	p.queue.Bound = max(minQueueBound, queueBoundPerCapacity*p.capacity)
	total, count := 0.0, 0
	for _, u := range p.assigned {
		if u.InService && u.Warm {
			total += u.Load.Estimate(now, u.InFlight)
			count++
		}
	}
	switch {
	case p.queue.Len() == 0:
		p.waitingSince = 0
	case p.waitingSince == 0:
		p.waitingSince = now
	}
	p.meanLoad = total / float64(max(count, 1))
}
