package routing

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// initialBackoff and maxBackoff bound the backoff after a refused or broken connection.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// ConnectBackoff delays attempts on an upstream after connection failures.
type ConnectBackoff struct {
	failures int
	retryAt  clock.Instant
}

// RecordFailure records a refused or broken connection. Failures during a backoff come
// from concurrent attempts and do not extend it.
func (c *ConnectBackoff) RecordFailure(now clock.Instant) {
	if now < c.retryAt {
		return
	}
	backoff := min(initialBackoff<<min(c.failures, 10), maxBackoff)
	c.failures++
	c.retryAt = now.Add(backoff)
}

// RecordSuccess ends the backoff. Any response counts, including an error status.
func (c *ConnectBackoff) RecordSuccess() { *c = ConnectBackoff{} }

// AttemptAllowed reports whether an attempt may be made. After a failure
// none may be made during the backoff, then one at a time until one succeeds.
func (c *ConnectBackoff) AttemptAllowed(now clock.Instant, inFlight int) bool {
	if c.failures == 0 {
		return true
	}
	return now >= c.retryAt && inFlight == 0
}
