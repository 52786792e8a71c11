package placement

import "math"

const (
	// diversityWindow is the number of values from which the diversity is estimated.
	diversityWindow = 64
	// diversityLeast is the number of values below which nothing is estimated.
	diversityLeast = 8
)

// Diversity estimates how many different values a sequence draws from, such as the first
// parts of the prompts of a route. The zero value is empty.
type Diversity struct {
	values [diversityWindow]string
	next   int
	total  int
}

// Add records a value.
func (d *Diversity) Add(value string) {
	d.values[d.next] = value
	d.next = (d.next + 1) % diversityWindow
	d.total = min(d.total+1, diversityWindow)
}

// Estimate returns the number of values, 0 if too few were seen.
func (d *Diversity) Estimate() float64 {
	if d.total < diversityLeast {
		return 0
	}
	seen := map[string]bool{}
	for _, value := range d.values[:d.total] {
		seen[value] = true
	}
	distinct, draws := float64(len(seen)), float64(d.total)
	// With as many pairs as draws allow and no repetition, the number is at least that of pairs.
	low, high := distinct, draws*(draws-1)
	for range estimateSteps {
		middle := (low + high) / 2
		if expectedDistinct(middle, draws) < distinct {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// estimateSteps is the number of halvings; the result is used as an order of magnitude.
const estimateSteps = 20

// expectedDistinct returns how many different values a number of draws brings.
func expectedDistinct(values, draws float64) float64 {
	return values * (1 - math.Pow(1-1/values, draws))
}
