package placement

import "math"

const (
	// distinctWindow is the number of most recent values that the estimate is based on.
	distinctWindow = 64
	// minDistinctSamples is the number of values below which no estimate is made.
	minDistinctSamples = 8
)

// DistinctEstimator estimates how many distinct values a sequence draws from, such as the
// prompt prefixes of a route. The zero value is empty.
type DistinctEstimator struct {
	values [distinctWindow]string
	next   int
	count  int
}

// Add records a value.
func (d *DistinctEstimator) Add(value string) {
	d.values[d.next] = value
	d.next = (d.next + 1) % distinctWindow
	d.count = min(d.count+1, distinctWindow)
}

// Estimate returns the estimated number of distinct values, or 0 if there are too few samples.
// It assumes uniform draws and inverts expectedDistinct by bisection.
func (d *DistinctEstimator) Estimate() float64 {
	if d.count < minDistinctSamples {
		return 0
	}
	seen := map[string]bool{}
	for _, value := range d.values[:d.count] {
		seen[value] = true
	}
	distinct, draws := float64(len(seen)), float64(d.count)
	// Without any repetition among the draws, the number of values is likely at least the
	// number of pairs of draws, which caps the estimate.
	low, high := distinct, draws*(draws-1)
	for range bisectionSteps {
		mid := (low + high) / 2
		if expectedDistinct(mid, draws) < distinct {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// bisectionSteps is enough, since only the order of magnitude of the result is used.
const bisectionSteps = 20

// expectedDistinct returns the expected number of distinct values in a number of uniform draws.
func expectedDistinct(values, draws float64) float64 {
	return values * (1 - math.Pow(1-1/values, draws))
}
