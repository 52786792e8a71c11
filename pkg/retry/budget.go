// Package retry decides whether an attempt may be retried or hedged, and when to hedge it.
//
// A Budget limits the load of a pool to 1.1 times the offered load: each first attempt pays
// for a tenth of a retry or hedge. HedgeDelay returns when a hedge may be sent.
package retry

const (
	// tokensPerAttempt is the deposit of a first attempt. It limits a pool's load to 1.1 times
	// the offered load.
	tokensPerAttempt = 0.1
	// maxTokens limits a burst of retries after a period without any.
	maxTokens = 20
)

// Budget is a token bucket for the retries and hedges of a pool. It starts empty, so that
// the limit on the pool's load holds from the first request.
type Budget struct{ tokens float64 }

// Deposit adds the tokens of a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+tokensPerAttempt, maxTokens) }

// Available reports whether a retry or hedge may be sent.
func (b *Budget) Available() bool {
	// The tolerance lets ten deposits of 0.1 pay for one retry despite rounding.
	return b.tokens >= 1-1e-9
}

// TryWithdraw takes the token for a retry or hedge and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// AddTokens adds tokens that do not depend on attempts, such as a share of the retries per
// second that operators allow for a pool.
func (b *Budget) AddTokens(tokens float64) { b.tokens = min(b.tokens+tokens, maxTokens) }
