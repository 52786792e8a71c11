package placement

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// latencySmoothing is the weight of the latest response in the moving average of the
	// latency, and the fraction by which a success reduces the error score.
	latencySmoothing = 0.3
	// errorHalfLife is the half-life of the error score.
	errorHalfLife = 2 * time.Second
	// initialBackoff and maxBackoff bound the backoff after a failed connection, which doubles with
	// each consecutive failure.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// rejectionBackoff is the backoff after an upstream rejected a request for lack of capacity.
	rejectionBackoff = 50 * time.Millisecond
	// coldRateWindow is the sliding window of the rate limit during a cold start.
	coldRateWindow = time.Second
)

// Upstream is the state of an upstream as seen from the requests of one VM.
type Upstream struct {
	ID   string
	Zone string
	// InFlight is the number of requests of this VM in progress.
	InFlight  int
	ColdUntil clock.Instant
	// ColdRate is what this VM may send during the cold start of the upstream.
	ColdRate ColdRate
	// Return decides when to ask the upstream for its state.
	Return ReturnCheck

	idHash              rendezvous.Hash
	backoffUntil        clock.Instant
	consecutiveFailures int
	latencyRatio        float64
	errorScore          float64
	errorScoreAt        clock.Instant
	recentStarts        []clock.Instant
}

// hash returns the hash of the ID.
func (u *Upstream) hash() rendezvous.Hash {
	if u.idHash == 0 {
		u.idHash = rendezvous.HashOf(u.ID)
	}
	return u.idHash
}

// RecordStart records that a request is sent.
func (u *Upstream) RecordStart(now clock.Instant) {
	u.InFlight++
	u.recentStarts = append(u.startsInWindow(now), now)
}

// RecordEnd records that a request has ended.
func (u *Upstream) RecordEnd() { u.InFlight-- }

// RecordSuccess records a response and the ratio of its latency to the expected latency.
func (u *Upstream) RecordSuccess(now clock.Instant, ratio float64) {
	u.consecutiveFailures = 0
	u.errorScore, u.errorScoreAt = u.currentErrorScore(now)*(1-latencySmoothing), now
	if u.latencyRatio == 0 {
		u.latencyRatio = 1
	}
	u.latencyRatio += latencySmoothing * (ratio - u.latencyRatio)
}

// RecordError records an error response of the upstream.
func (u *Upstream) RecordError(now clock.Instant) {
	u.errorScore, u.errorScoreAt = u.currentErrorScore(now)+1, now
}

// RecordUnreachable records a failed connection.
func (u *Upstream) RecordUnreachable(now clock.Instant) {
	u.consecutiveFailures++
	u.backoffUntil = max(u.backoffUntil, now.Add(min(initialBackoff<<min(u.consecutiveFailures-1, 8), maxBackoff)))
}

// ForgetFailures forgets failed connections and error responses that were not the fault of the upstream.
func (u *Upstream) ForgetFailures() {
	u.backoffUntil, u.consecutiveFailures, u.errorScore = 0, 0, 0
}

// RecordRejection records that the upstream rejected a request for lack of capacity.
func (u *Upstream) RecordRejection(now clock.Instant) {
	u.backoffUntil = max(u.backoffUntil, now.Add(rejectionBackoff))
}

// RecordColdStart records the remaining cold start that the upstream reported.
func (u *Upstream) RecordColdStart(now clock.Instant, remaining time.Duration) {
	u.ColdUntil = max(u.ColdUntil, now.Add(remaining))
}

func (u *Upstream) currentErrorScore(now clock.Instant) float64 {
	if u.errorScore == 0 {
		return 0
	}
	age := float64(now.Sub(u.errorScoreAt)) / float64(errorHalfLife)
	return u.errorScore * math.Exp2(-age)
}

// cost ranks upstreams: the load estimated from the requests of this VM, multiplied by the
// latency ratio and a penalty for recent errors.
func (u *Upstream) cost(now clock.Instant, fleetWeight float64) float64 {
	return (float64(u.InFlight)*max(1, fleetWeight) + 1) * max(1, u.latencyRatio) * u.ErrorFactor(now)
}

// errorCost is the relative cost increase for one recent error.
const errorCost = 2

// ErrorFactor returns the factor by which recent errors increase the cost of the upstream.
func (u *Upstream) ErrorFactor(now clock.Instant) float64 {
	return 1 + errorCost*u.currentErrorScore(now)
}

// InBackoff reports whether the upstream failed a short time ago and should get no request.
func (u *Upstream) InBackoff(now clock.Instant) bool { return u.backoffUntil > now }

// atColdRateLimit reports whether another request would exceed the rate limit of a cold start.
func (u *Upstream) atColdRateLimit(now clock.Instant) bool {
	return u.ColdUntil > now && !u.ColdRate.allows(now, len(u.startsInWindow(now)))
}

func (u *Upstream) startsInWindow(now clock.Instant) []clock.Instant {
	first := 0
	for first < len(u.recentStarts) && now.Sub(u.recentStarts[first]) >= coldRateWindow {
		first++
	}
	return u.recentStarts[first:]
}
