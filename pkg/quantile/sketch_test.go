package quantile

import (
	"testing"
	"time"
)

// TestQuantileAdaptsToChange guards against a sketch in which old samples never lose weight:
// deadline checks would use outdated service times.
func TestQuantileAdaptsToChange(t *testing.T) {
	var s Sketch
	for range 1000 {
		s.Add(10 * time.Millisecond)
	}
	for range 3 * halveAfterSamples {
		s.Add(100 * time.Millisecond)
	}
	if got := s.Quantile(0.5); got < 80*time.Millisecond || got > 125*time.Millisecond {
		t.Errorf("median after the change is %v", got)
	}
}

// TestQuantileError guards against a quantile error above the growth factor of the buckets.
func TestQuantileError(t *testing.T) {
	var s Sketch
	for i := 1; i <= 200; i++ {
		s.Add(time.Duration(i) * time.Millisecond)
	}
	for _, q := range []float64{0.05, 0.5, 0.95} {
		exact := time.Duration(q*200) * time.Millisecond
		if got := s.Quantile(q); got < exact || float64(got) > bucketGrowth*float64(exact)*1.01 {
			t.Errorf("quantile %v is %v, exact %v", q, got, exact)
		}
	}
}
