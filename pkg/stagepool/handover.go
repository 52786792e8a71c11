package stagepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// previousCallsDuration is how long calls of an unknown previous owner may still run. During
// this time a call may wait at the upstream behind one of these, so a new owner that received
// no handover releases inputs only at the end of a call.
const previousCallsDuration = time.Second

// previousResultsDuration is how long the results of calls that were running at a handover
// count as occupied memory after the calls ended. By then the requests of these calls have used
// and released them.
const previousResultsDuration = 600 * time.Millisecond

// UpstreamState is the state of one upstream that an owner hands over.
type UpstreamState struct {
	ID string
	// FreeIn is the time until the running calls are expected to end.
	FreeIn   time.Duration
	Slowness float64
	// ReservedBytes is the memory reserved for the results of running calls.
	ReservedBytes int64
	Results       []HeldResult
}

// HeldResult is a result that occupies memory at its upstream.
type HeldResult struct {
	Handle    string
	Bytes     int64
	ExpiresIn time.Duration
}

// HandOver ends the jobs of which no piece was sent, and returns the state for the next owner.
// Jobs with sent pieces continue at this owner.
func (p *Pool) HandOver(now clock.Instant) []UpstreamState {
	for _, j := range slices.Clone(p.queue) {
		if !j.started() {
			p.finishJob(j, OwnerChanged, true)
		}
	}
	var states []UpstreamState
	for _, id := range p.upstreamIDs {
		u := p.upstreams[id]
		state := UpstreamState{
			ID: id, FreeIn: max(u.availableAt(now, 1).Sub(now), 0), Slowness: u.currentSlowness(now), Results: p.resultsToHandOver(now, id),
		}
		for _, running := range u.calls {
			state.ReservedBytes += running.reservedBytes
		}
		states = append(states, state)
	}
	for handle := range p.heldResults {
		p.removeHeldResult(handle)
	}
	return states
}

// ForgetFailures forgets failed and slow calls that were not the fault of the upstreams.
func (p *Pool) ForgetFailures(now clock.Instant) {
	for _, u := range p.upstreams {
		u.backoffUntil, u.failures = 0, 0
		u.slowness, u.slownessMeasuredAt = 1, now
	}
}

func (p *Pool) resultsToHandOver(now clock.Instant, upstreamID string) []HeldResult {
	var out []HeldResult
	for handle, h := range p.heldResults {
		if h.upstream == upstreamID && !h.releasing {
			out = append(out, HeldResult{Handle: handle, Bytes: h.bytes, ExpiresIn: h.expires.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b HeldResult) int {
		if a.Handle < b.Handle {
			return -1
		}
		return 1
	})
	return out
}

// TakeOver adds the state that the previous owner handed over.
func (p *Pool) TakeOver(now clock.Instant, states []UpstreamState) {
	p.previousCallsUntil = 0
	for _, state := range states {
		u := p.upstreams[state.ID]
		if u == nil {
			continue
		}
		u.backoffUntil = max(u.backoffUntil, now.Add(min(state.FreeIn, maxBackoff)))
		u.memoryKnown = true
		u.setExternalBytes(now.Add(state.FreeIn+previousResultsDuration), state.ReservedBytes)
		u.slownessMeasuredAt, u.slowness = now, max(state.Slowness, 1)
		for _, result := range state.Results {
			if _, known := p.heldResults[result.Handle]; known {
				continue
			}
			p.heldResults[result.Handle] = heldResult{upstream: u.ID, bytes: result.Bytes, expires: now.Add(result.ExpiresIn)}
			u.usedBytes += result.Bytes
		}
	}
}
