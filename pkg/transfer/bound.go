// Package transfer decides how large values move between VMs: when a transfer counts as broken, which values a VM
// keeps for others, and how a value is encoded for a receiver that has an earlier one.
//
// A fixed timeout bounds how large a value may be on a given link: a larger one is cut off, thrown away and begun
// again, which keeps the links full so that even fewer transfers end in time (congestion collapse). A Bound
// therefore allows a transfer any time while it makes progress.
//
// Nothing here does I/O or knows a clock. A Bound and Values are not safe for concurrent use.
package transfer

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// StallTimeout is the time without a byte after which a transfer that has begun counts as broken.
	StallTimeout = time.Second
	// MinBytesPerSecond is the least rate of a transfer. A slower one would take minutes for a large value, while
	// another VM can send it; it is an eightieth of a link of 10 Mbit/s.
	MinBytesPerSecond = 16 << 10
)

// Bound decides when a transfer counts as broken. Invariants:
//   - a transfer that receives bytes at least every StallTimeout and at MinBytesPerSecond never counts as broken,
//     however large it is;
//   - one that receives nothing counts as broken after a fixed time.
type Bound struct {
	beginsBy time.Duration
	startAt  clock.Instant
	// progressAt is when bytes last arrived; 0 if none did.
	progressAt clock.Instant
	received   int64
}

// NewBound returns the bound of a transfer that starts now and whose first byte arrives within beginsBy unless it is
// broken.
func NewBound(now clock.Instant, beginsBy time.Duration) *Bound {
	return &Bound{beginsBy: beginsBy, startAt: now}
}

// Receive records that n bytes have arrived.
func (b *Bound) Receive(now clock.Instant, n int) {
	b.progressAt = now
	b.received += int64(n)
}

// Deadline returns when the transfer counts as broken if nothing arrives until then.
func (b *Bound) Deadline() clock.Instant {
	begin := b.startAt.Add(b.beginsBy)
	if b.progressAt == 0 {
		return begin
	}
	slowest := begin.Add(StallTimeout + time.Duration(b.received)*time.Second/MinBytesPerSecond)
	return min(b.progressAt.Add(StallTimeout), slowest)
}

// IsBroken reports whether the transfer counts as broken.
func (b *Bound) IsBroken(now clock.Instant) bool { return !now.Before(b.Deadline()) }
