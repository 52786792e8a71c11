package transfer

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// HedgeDelay is how long an attempt may take to its first part before another VM is asked as well. The VM that
	// was asked may be cut off, which shows only after seconds.
	HedgeDelay = 250 * time.Millisecond
	// maxAttempts bounds the attempts that are under way for one value.
	maxAttempts = 3
)

// Attempts decides when a further VM is asked for a value. Invariants:
//   - while one attempt receives parts, no other begins: a transfer is not begun again because it is large;
//   - after HedgeDelay without a part, or at once when the last attempt has failed, another VM is asked;
//   - at most maxAttempts are under way.
//
// The zero value is a value for which no VM was asked. It is not safe for concurrent use.
type Attempts struct {
	// underWay is the number of attempts, and receiving that of those which have received a part.
	underWay, receiving int
	lastStartAt         clock.Instant
}

// MayStart reports whether another VM is to be asked now.
func (a *Attempts) MayStart(now clock.Instant) bool {
	switch {
	case a.underWay == 0:
		return true
	case a.receiving > 0 || a.underWay == maxAttempts:
		return false
	}
	return now.Sub(a.lastStartAt) >= HedgeDelay
}

// Start records that a VM is asked.
func (a *Attempts) Start(now clock.Instant) {
	a.underWay++
	a.lastStartAt = now
}

// Receive records the first part of an attempt.
func (a *Attempts) Receive() { a.receiving++ }

// Fail records the end of an attempt without the value, and whether it had received a part.
func (a *Attempts) Fail(hadReceived bool) {
	a.underWay--
	if hadReceived {
		a.receiving--
	}
}

// UnderWay returns the number of attempts.
func (a *Attempts) UnderWay() int { return a.underWay }
