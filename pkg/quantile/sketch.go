// Package quantile estimates quantiles of durations in bounded memory. Old samples lose
// weight, so that the estimate adapts when the distribution changes.
package quantile

import (
	"math"
	"time"
)

const (
	bucketCount = 72
	// firstBound is the upper bound of the first bucket.
	firstBound = 50 * time.Microsecond
	// bucketGrowth is the ratio between bucket bounds; it bounds the relative error of a quantile.
	bucketGrowth = 1.25
	// halveAfterSamples is the number of samples at which all counts are halved. The estimate
	// adapts to a change within about this many samples.
	halveAfterSamples = 256
)

var (
	logBucketGrowth = math.Log(bucketGrowth)
	bounds          = bucketBounds()
)

// Sketch is a decaying histogram of durations. The zero value is empty.
type Sketch struct {
	counts [bucketCount]uint16
	total  int
}

// Add records a duration.
func (s *Sketch) Add(d time.Duration) {
	s.counts[bucketOf(d)]++
	s.total++
	if s.total >= halveAfterSamples {
		s.Halve()
	}
}

// Total returns the number of samples after decay.
func (s *Sketch) Total() int { return s.total }

// Quantile returns the upper bound of the bucket that contains quantile q, or 0 if the sketch
// is empty.
func (s *Sketch) Quantile(q float64) time.Duration {
	if s.total == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(s.total)))
	cumulative := 0
	for i, count := range s.counts {
		cumulative += int(count)
		if cumulative >= rank && count > 0 {
			return bounds[i]
		}
	}
	return bounds[bucketCount-1]
}

// Reset removes all samples.
func (s *Sketch) Reset() { *s = Sketch{} }

// Halve halves the weight of all recorded samples.
func (s *Sketch) Halve() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += int(s.counts[i])
	}
}

func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / logBucketGrowth))
	return min(i, bucketCount-1)
}

func bucketBounds() [bucketCount]time.Duration {
	var b [bucketCount]time.Duration
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Pow(bucketGrowth, float64(i)))
	}
	return b
}
