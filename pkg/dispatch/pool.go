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
	// queueLimitPerCapacity is the soft limit of the queue per unit of capacity. In a longer
	// queue, attempts would miss any deadline that leaves time for the work itself.
	queueLimitPerCapacity = 8
	// minQueueLimit is the lowest soft limit of the queue. It applies while there is little or no
	// capacity yet, as during a cold start.
	minQueueLimit = 64
	// serviceTimeWeight is the weight of a new sample in the moving mean of service times.
	serviceTimeWeight = 0.05
)

// pool is the state of one pool of upstreams.
type pool struct {
	entry     *table.Pool
	upstreams []*upstream
	// assigned holds the upstreams to whose subset this VM belongs; inService counts those of
	// them that are in service.
	assigned  []*routing.Upstream
	inService int

	// leased holds the upstreams on which this VM holds leases.
	leased []*upstream
	// attemptsSinceWarmUp counts the attempts since one was sent to a cold upstream to warm it.
	attemptsSinceWarmUp int
	spillover           routing.ZoneSpillover
	queue               *admission.Queue
	budget              retry.Budget
	// prefixSalt keeps equal prefixes of different pools apart.
	prefixSalt uint64

	// capacity is the concurrency that this VM reaches once all ramps are complete.
	capacity int
	// admitted counts the admitted requests whose route uses the pool.
	admitted        int
	meanServiceTime time.Duration
	meanLoad        float64
	lastUsed        clock.Instant
	// waitingSince is when attempts began to wait, 0 while the queue is empty.
	waitingSince clock.Instant
}

// recordServiceTime adds the service time of a success to the moving mean.
func (p *pool) recordServiceTime(elapsed time.Duration) {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = elapsed
		return
	}
	p.meanServiceTime += time.Duration(serviceTimeWeight * float64(elapsed-p.meanServiceTime))
}

// estimateWait estimates how long a request waits while the given number of requests are
// ahead of it, at the capacity of the pool.
func (p *pool) estimateWait(ahead int) time.Duration {
	if p.capacity == 0 || ahead <= 0 {
		return 0
	}
	return p.meanServiceTime * time.Duration(ahead) / time.Duration(p.capacity)
}

// updateStats updates the queue limit, the mean load that prefix affinity is compared with,
// and since when attempts have been waiting.
func (p *pool) updateStats(now clock.Instant) {
	p.queue.SoftLimit = max(minQueueLimit, queueLimitPerCapacity*p.capacity)
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
