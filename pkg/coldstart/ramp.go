package coldstart

// Ramp limits the concurrency of a VM on an upstream that has become warm (slow start).
// Each time the limit has been reached and as many attempts have succeeded, it doubles,
// from 1 up to the VM's share. An upstream that is not fully warm is thus found at low load.
type Ramp struct {
	limit        int
	successes    int
	limitReached bool
}

// Restart sets the limit back to 1.
func (r *Ramp) Restart() { *r = Ramp{limit: 1} }

// Limit returns the current limit, at most share.
func (r *Ramp) Limit(share int) int { return min(max(r.limit, 1), share) }

// RecordDispatch records the concurrency after a dispatch.
func (r *Ramp) RecordDispatch(inFlight int) {
	if inFlight >= r.limit {
		r.limitReached = true
	}
}

// RecordSuccess counts a success and doubles the limit when due.
func (r *Ramp) RecordSuccess(share int) {
	r.successes++
	if !r.limitReached || r.successes < r.limit {
		return
	}
	r.limit = min(max(r.limit, 1)*2, max(share, 1))
	r.successes = 0
	r.limitReached = false
}

// RecordOverload halves the limit after the upstream refused work.
func (r *Ramp) RecordOverload() {
	r.limit = max(1, r.limit/2)
	r.successes = 0
	r.limitReached = false
}
