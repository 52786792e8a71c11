package placement

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// latencyWeight is the weight of the latest answer in the latency of an upstream.
	latencyWeight = 0.3
	// errorHalfLife is the time in which observed errors lose half of their weight.
	errorHalfLife = 2 * time.Second
	// firstPause and maxPause bound the pause after a connection failed; it doubles with
	// each further failure in a row.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// rejectPause is the pause after an upstream had no place.
	rejectPause = 50 * time.Millisecond
	// coldWindow is the span over which the rate to an upstream in cold start is bounded.
	coldWindow = time.Second
)

// Upstream is what one VM knows of an upstream from its own requests.
type Upstream struct {
	ID   string
	Zone string
	// InFlight is the number of requests of this VM.
	InFlight  int
	ColdUntil clock.Instant
	// ColdShare is the number of requests that this VM may send per second while the
	// upstream is in cold start.
	ColdShare int

	pausedUntil clock.Instant
	failures    int
	latency     float64
	errors      float64
	errorsAt    clock.Instant
	coldSends   []clock.Instant
}

// Began records that a request is sent.
func (u *Upstream) Began(now clock.Instant) {
	u.InFlight++
	u.coldSends = append(u.recentSends(now), now)
}

// Ended records the end of a request.
func (u *Upstream) Ended() { u.InFlight-- }

// Succeeded records an answer and the ratio of its latency to the expected one.
func (u *Upstream) Succeeded(now clock.Instant, ratio float64) {
	u.failures = 0
	u.errors, u.errorsAt = u.errorWeight(now)*(1-latencyWeight), now
	if u.latency == 0 {
		u.latency = 1
	}
	u.latency += latencyWeight * (ratio - u.latency)
}

// Failed records an answer that is an error of the upstream.
func (u *Upstream) Failed(now clock.Instant) {
	u.errors, u.errorsAt = u.errorWeight(now)+1, now
}

// Unreachable records that a connection failed.
func (u *Upstream) Unreachable(now clock.Instant) {
	u.failures++
	u.pausedUntil = max(u.pausedUntil, now.Add(min(firstPause<<min(u.failures-1, 8), maxPause)))
}

// Rejected records that the upstream had no place.
func (u *Upstream) Rejected(now clock.Instant) {
	u.pausedUntil = max(u.pausedUntil, now.Add(rejectPause))
}

// Cold records that the upstream told how long it remains in cold start.
func (u *Upstream) Cold(now clock.Instant, left time.Duration) {
	u.ColdUntil = max(u.ColdUntil, now.Add(left))
}

func (u *Upstream) errorWeight(now clock.Instant) float64 {
	age := float64(now.Sub(u.errorsAt)) / float64(errorHalfLife)
	return u.errors * math.Exp2(-age)
}

// cost ranks upstreams: the load, as this VM can tell it from its own requests, times how
// slow and faulty the upstream is.
func (u *Upstream) cost(now clock.Instant, weight float64) float64 {
	return (float64(u.InFlight)*max(1, weight) + 1) * max(1, u.latency) * (1 + errorCost*u.errorWeight(now))
}

// errorCost is the cost of a recent error in units of the load.
const errorCost = 2

func (u *Upstream) paused(now clock.Instant) bool { return u.pausedUntil > now }

// coldFull reports whether another request would exceed the share of a cold upstream.
func (u *Upstream) coldFull(now clock.Instant) bool {
	return u.ColdUntil > now && len(u.recentSends(now)) >= u.ColdShare
}

func (u *Upstream) recentSends(now clock.Instant) []clock.Instant {
	first := 0
	for first < len(u.coldSends) && now.Sub(u.coldSends[first]) >= coldWindow {
		first++
	}
	return u.coldSends[first:]
}
