package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// throughputBuckets and throughputBucketDuration define the sliding window of a rate.
	throughputBuckets        = 5
	throughputBucketDuration = 300 * time.Millisecond
)

// throughput measures a rate over a sliding window.
type throughput struct {
	counts     [throughputBuckets]int
	lastBucket int64
}

func (t *throughput) advance(now clock.Instant) int {
	bucket := int64(now) / int64(throughputBucketDuration)
	for ; t.lastBucket < bucket; t.lastBucket++ {
		if bucket-t.lastBucket > throughputBuckets {
			t.lastBucket = bucket - throughputBuckets
		}
		t.counts[(t.lastBucket+1)%throughputBuckets] = 0
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
	return float64(total) / (throughputBuckets * throughputBucketDuration).Seconds()
}
