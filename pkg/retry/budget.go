// Package retry decides whether and when an attempt is repeated.
//
// A Budget bounds the load of a pool to 1.1 times the offered one: each first attempt adds
// a tenth of a retry or hedge. HedgeDelay says when a second attempt is worth its cost.
package retry

const (
	// perAttempt is what a first attempt adds; it bounds a pool's load to 1.1 times
	// the offered load.
	perAttempt = 0.1
	// maxTokens bounds a burst of retries after a long time without any.
	maxTokens = 20
)

// Budget pays for the retries and hedges of a pool. It starts empty, so the bound
// on a pool's load holds from the first request on.
type Budget struct{ tokens float64 }

// Deposit records a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+perAttempt, maxTokens) }

// Covers reports whether a retry or hedge may be sent.
func (b *Budget) Covers() bool {
	// The tolerance makes ten deposits of 0.1 pay for one retry despite rounding.
	return b.tokens >= 1-1e-9
}

// Take pays for a retry or hedge and reports whether the budget covered it.
func (b *Budget) Take() bool {
	if !b.Covers() {
		return false
	}
	b.tokens--
	return true
}

// Grant adds tokens that do not depend on attempts, such as a share of what operators
// allow a pool per second.
func (b *Budget) Grant(tokens float64) { b.tokens = min(b.tokens+tokens, maxTokens) }
