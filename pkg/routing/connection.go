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
func (b *ConnectBackoff) RecordFailure(now clock.Instant) {
	if now < b.retryAt {
		return
	}
	backoff := min(initialBackoff<<min(b.failures, 10), maxBackoff)
	b.failures++
	b.retryAt = now.Add(backoff)
}

// RecordSuccess ends the backoff. Any response counts, including an error status.
func (b *ConnectBackoff) RecordSuccess() { *b = ConnectBackoff{} }

// AttemptAllowed reports whether an attempt may be made. After a failure
// none may be made during the backoff, then one at a time until one succeeds.
func (b *ConnectBackoff) AttemptAllowed(now clock.Instant, inFlight int) bool {
	if b.failures == 0 {
		return true
	}
	return now >= b.retryAt && inFlight == 0
}
