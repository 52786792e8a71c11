package retry

import "time"

// MinHedgeSamples is the number of samples below which attempts are not hedged, since the
// quantile is unreliable.
const MinHedgeSamples = 40

// HedgeDelay returns how long an attempt may run before it is hedged, and false if the
// budget is empty or the hedge and the stages after it would probably not finish in the time
// left.
func HedgeDelay(tailServiceTime, remainingServiceTime, timeLeft time.Duration, budget *Budget) (time.Duration, bool) {
	if tailServiceTime <= 0 || !budget.Available() {
		return 0, false
	}
	return tailServiceTime, tailServiceTime+remainingServiceTime <= timeLeft
}
