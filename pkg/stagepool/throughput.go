package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// throughputBuckets and throughputBucket are the span over which a rate is measured.
	throughputBuckets = 5
	throughputBucket  = 300 * time.Millisecond
)

// throughput measures a rate over the last one and a half seconds.
type throughput struct {
	counts [throughputBuckets]int
	last   int64
}

func (t *throughput) advance(now clock.Instant) int {
	bucket := int64(now) / int64(throughputBucket)
	for ; t.last < bucket; t.last++ {
		if bucket-t.last > throughputBuckets {
			t.last = bucket - throughputBuckets
		}
		t.counts[(t.last+1)%throughputBuckets] = 0
	}
	return int(bucket % throughputBuckets)
}

func (t *throughput) add(now clock.Instant, n int) { t.counts[t.advance(now)] += n }

func (t *throughput) perSecond(now clock.Instant) float64 {
	t.advance(now)
	total := 0
	for _, n := range t.counts {
		total += n
	}
	return float64(total) / (throughputBuckets * throughputBucket).Seconds()
}
