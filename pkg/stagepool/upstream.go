package stagepool

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// slownessWeight is the weight of the latest call in the moving average of the slowness.
	slownessWeight = 0.5
	// slownessHalfLife is the half-life of the slowness of an unused upstream, so that a
	// recovered one is tried again.
	slownessHalfLife = 3 * time.Second
	// initialBackoff and maxBackoff bound the backoff after failed calls, which doubles with
	// each consecutive failure.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// rejectionBackoff is the backoff after a rejected call. Another caller occupies the
	// upstream for about the duration of a call.
	rejectionBackoff = 100 * time.Millisecond
	// callTimeoutFactor and callTimeoutSlack derive the timeout of a call from its expected
	// time. The results of an abandoned call cannot be released, so the timeout is generous.
	callTimeoutFactor = 6
	callTimeoutSlack  = time.Second
	// contentionDuration is how long further calls of other callers are expected after one was
	// detected. It spans a few calls.
	contentionDuration = 2 * time.Second
	// overdueFactor and overdueSlack determine when the pieces of a call are sent again
	// elsewhere.
	overdueFactor = 1.5
	overdueSlack  = 150 * time.Millisecond
)

// Upstream identifies an upstream of a pool.
type Upstream struct {
	ID   string
	Zone string
}

// upstream is the state of one upstream at the pool's owner.
type upstream struct {
	Upstream
	inService bool
	calls     map[CallID]*runningCall
	// freeAt is when the running calls are expected to end.
	freeAt clock.Instant
	// backoffUntil is the end of the backoff.
	backoffUntil clock.Instant
	failures     int
	// slowness is the ratio of measured to expected call times; 1 is normal.
	slowness           float64
	slownessMeasuredAt clock.Instant
	// statedPace is the pace that the upstream stated with its latest response, at paceStatedAt; 0 if it
	// stated none or if a call has begun since.
	statedPace   float64
	paceStatedAt clock.Instant
	// externalBytes is the memory used by results of others, such as a previous owner, until
	// externalUntil.
	externalBytes int64
	externalUntil clock.Instant
	// externalExpiresFrom is the time from which the external results expire at a steady rate; if
	// it is zero, all of them count until externalUntil.
	externalExpiresFrom clock.Instant
	// memoryKnown is set while the estimate of the free memory is reliable. If it is not set,
	// the upstream is queried; memoryQueriedAt is the time of the last query.
	memoryKnown     bool
	memoryQueriedAt clock.Instant
	// outOfMemoryUntil is when results are expected to find memory again. Until then the
	// upstream may be out of memory although the accounting of this owner shows free memory.
	outOfMemoryUntil clock.Instant
	// contendedUntil is the time until which calls of other callers are expected, which may
	// delay calls of this owner.
	contendedUntil clock.Instant
	// usedBytes is the memory used by results, including those of running calls.
	usedBytes int64
}

// runningCall is a call in progress.
type runningCall struct {
	call      Call
	startedAt clock.Instant
	// expectedTime is the duration of the call at an upstream of normal speed.
	expectedTime  time.Duration
	reservedBytes int64
	// overdue is set once the pieces were requeued to be sent elsewhere.
	overdue bool
}

// currentSlowness returns the slowness, which decays to normal with slownessHalfLife.
func (u *upstream) currentSlowness(now clock.Instant) float64 {
	age := float64(now.Sub(u.slownessMeasuredAt)) / float64(slownessHalfLife)
	return 1 + (u.slowness-1)*math.Exp2(-age)
}

// recordSlowness adds a ratio of measured to expected call time to the moving average.
func (u *upstream) recordSlowness(now clock.Instant, ratio float64) {
	u.slowness = u.currentSlowness(now)*(1-slownessWeight) + ratio*slownessWeight
	u.slownessMeasuredAt = now
}

const (
	// paceWeight is the weight of a pace that was just stated in the expected time of the next call, and
	// paceHalfLife its half-life: the pace changes several times per second, so that only a call that
	// begins at once runs at it, and only for its first part.
	paceWeight   = 0.5
	paceHalfLife = 100 * time.Millisecond
	// minStatedPace and maxStatedPace bound a stated pace: one figure must not rule out an upstream.
	minStatedPace = 0.25
	maxStatedPace = 4
)

// recordPace records the pace that the upstream stated with a response. A response without a pace voids
// an earlier one.
func (u *upstream) recordPace(now clock.Instant, load *CallLoad) {
	u.statedPace, u.paceStatedAt = 0, now
	if load != nil && load.Pace > 0 {
		u.statedPace = min(max(load.Pace, minStatedPace), maxStatedPace)
	}
}

// nextSlowness returns the expected slowness of a call that begins now: the slowness of the latest calls and,
// for a short time, the pace that the upstream stated.
func (u *upstream) nextSlowness(now clock.Instant) float64 {
	slowness := u.currentSlowness(now)
	if u.statedPace == 0 {
		return slowness
	}
	age := float64(max(now.Sub(u.paceStatedAt), 0)) / float64(paceHalfLife)
	return slowness + paceWeight*math.Exp2(-age)*(u.statedPace-slowness)
}

func (u *upstream) recordFailure(now clock.Instant) {
	u.failures++
	backoff := min(initialBackoff<<min(u.failures-1, 8), maxBackoff)
	u.backoffUntil = max(u.backoffUntil, now.Add(backoff))
}

// availableAt returns when the upstream can start another call.
func (u *upstream) availableAt(now clock.Instant, concurrency int) clock.Instant {
	at := max(now, u.backoffUntil)
	if len(u.calls) >= concurrency {
		at = max(at, u.freeAt)
		if at == now {
			// The call is overdue, so its end is unknown.
			at = now.Add(rejectionBackoff)
		}
	}
	return at
}
