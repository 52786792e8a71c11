package edge

import (
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/quantile"
)

const (
	// durationWeight is the weight of the latest request in the moving average of the duration.
	durationWeight = 0.1
	// minFinalCallSamples is the number of samples below which no quantile is used.
	minFinalCallSamples = 10
)

// durations estimates how long the requests of each route take. The zero value is empty. Routes
// that were removed stay; each takes some hundred bytes.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*routeDurations
}

type routeDurations struct {
	// mean is the moving average from the arrival of a request to the end of its response; 0 if
	// no request was answered yet.
	mean time.Duration
	// finalCalls holds the times from sending a request to an upstream to its first event or
	// whole response.
	finalCalls quantile.Sketch
}

// route returns the entry of a route. The caller holds the lock.
func (d *durations) route(name string) *routeDurations {
	if d.byRoute == nil {
		d.byRoute = map[string]*routeDurations{}
	}
	r := d.byRoute[name]
	if r == nil {
		r = &routeDurations{}
		d.byRoute[name] = r
	}
	return r
}

// record adds the duration of an answered request.
func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.route(route)
	if r.mean == 0 {
		r.mean = took
	}
	r.mean += time.Duration(durationWeight * float64(took-r.mean))
}

// expected returns the expected duration of a request of the route, or otherwise if no request
// of the route was answered yet.
func (d *durations) expected(route string, otherwise time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mean := d.route(route).mean; mean > 0 {
		return mean
	}
	return otherwise
}

// recordFinalCall adds the time from sending a request to its first event or whole response.
func (d *durations) recordFinalCall(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.route(route).finalCalls.Add(took)
}

// expectedFinalCall returns a quantile of the times from sending a request to its first event or
// whole response, or otherwise if there are too few samples.
func (d *durations) expectedFinalCall(route string, q float64, otherwise time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := &d.route(route).finalCalls
	if calls.Total() < minFinalCallSamples {
		return otherwise
	}
	return calls.Quantile(q)
}
