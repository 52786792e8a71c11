package edge

import (
	"sync"
	"time"
)

// durationWeight is the weight of the latest request in the moving average of the duration.
const durationWeight = 0.1

// durations estimates how long the requests of each route take, from their arrival to the end
// of their answer. The zero value is empty. Routes that were removed stay; each takes a few bytes.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// record adds the duration of an answered request.
func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil {
		d.byRoute = map[string]time.Duration{}
	}
	mean, known := d.byRoute[route]
	if !known {
		mean = took
	}
	d.byRoute[route] = mean + time.Duration(durationWeight*float64(took-mean))
}

// expected returns the expected duration of a request of the route, or otherwise if no request
// of the route was answered yet.
func (d *durations) expected(route string, otherwise time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mean, known := d.byRoute[route]; known {
		return mean
	}
	return otherwise
}
