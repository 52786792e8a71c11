package stagepool

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// slownessWeight is the weight of the latest call in the estimate of the slowness.
	slownessWeight = 0.5
	// slownessHalfLife is the time in which the slowness of an unused upstream is forgotten
	// by half, so that one that recovered is tried again.
	slownessHalfLife = 3 * time.Second
	// firstBackoff and maxBackoff bound the pause after failed calls, which doubles with
	// each further failure.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// rejectedBackoff is the pause after a call found no place. Another caller holds the
	// place for about the time of a call.
	rejectedBackoff = 100 * time.Millisecond
	// callTimeoutFactor and callTimeoutSlack bound a call by its expected time. A call that
	// is given up leaves results that nobody can release, so the bound is wide.
	callTimeoutFactor = 6
	callTimeoutSlack  = time.Second
	// sharedTime is how long calls of others are expected after one was noticed. It spans a
	// few calls.
	sharedTime = 2 * time.Second
	// overdueFactor and overdueSlack say when the pieces of a call are sent again elsewhere.
	overdueFactor = 1.5
	overdueSlack  = 150 * time.Millisecond
)

// Upstream names an upstream of a pool.
type Upstream struct {
	ID   string
	Zone string
}

// upstream is what the owner knows of one upstream.
type upstream struct {
	Upstream
	inService bool
	calls     map[CallID]*runningCall
	// freeAt is when the running calls are expected to end.
	freeAt clock.Instant
	// pausedUntil ends a pause after failures.
	pausedUntil clock.Instant
	failures    int
	// slowness is the ratio of measured to expected call times, 1 for a normal upstream.
	slowness   float64
	measuredAt clock.Instant
	// foreign is the memory of results of others, such as an earlier owner, until
	// foreignUntil.
	foreign      int64
	foreignUntil clock.Instant
	// roomKnown is set while nothing speaks against what is known of the memory; without it
	// the upstream is asked, at askedAt.
	roomKnown bool
	askedAt   clock.Instant
	// noRoomUntil is the time until which results may find no room, although the own count
	// leaves some.
	noRoomUntil clock.Instant
	// sharedUntil is the time until which calls of others are to be expected, behind which
	// an own call may have to wait.
	sharedUntil clock.Instant
	// used is the memory of results, including those of running calls.
	used int64
}

// runningCall is a call under way.
type runningCall struct {
	call    Call
	started clock.Instant
	// expected is the time of the call at a normal upstream.
	expected time.Duration
	reserved int64
	// overdue is set once the pieces were put back to be sent elsewhere.
	overdue bool
}

// factor returns the slowness, forgotten by half in each half-life without a measurement.
func (u *upstream) factor(now clock.Instant) float64 {
	age := float64(now.Sub(u.measuredAt)) / float64(slownessHalfLife)
	return 1 + (u.slowness-1)*math.Exp2(-age)
}

// measure takes over the time of a call.
func (u *upstream) measure(now clock.Instant, ratio float64) {
	u.slowness = u.factor(now)*(1-slownessWeight) + ratio*slownessWeight
	u.measuredAt = now
}

func (u *upstream) failed(now clock.Instant) {
	u.failures++
	pause := min(firstBackoff<<min(u.failures-1, 8), maxBackoff)
	u.pausedUntil = max(u.pausedUntil, now.Add(pause))
}

// availableAt returns when the upstream can begin another call.
func (u *upstream) availableAt(now clock.Instant, concurrency int) clock.Instant {
	at := max(now, u.pausedUntil)
	if len(u.calls) >= concurrency {
		at = max(at, u.freeAt)
		if at == now {
			// The call is overdue, so its end is not known.
			at = now.Add(rejectedBackoff)
		}
	}
	return at
}
