// Package clock defines the timestamp type that the state machines under pkg/
// take as input. No package under pkg/ reads a clock itself.
package clock

import "time"

// Instant is a point on the boot-time clock in nanoseconds. The boot-time clock
// advances while a VM is suspended, unlike Go's monotonic clock, so that
// leases and deadlines also expire during a suspension.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// After reports whether t is later than u.
func (t Instant) After(u Instant) bool { return t > u }
