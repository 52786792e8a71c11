package stagepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// blindTime is how long a new owner that got no word of the one before releases inputs
// only at the end of a call: its call may wait at the upstream behind another one.
const blindTime = time.Second

// foreignTime is how long the results of calls that were running at a handover are counted
// after the calls ended; their requests use and release them.
const foreignTime = 600 * time.Millisecond

// UpstreamState is what an owner knows of one upstream.
type UpstreamState struct {
	ID string
	// FreeIn is the time until its running calls are expected to end.
	FreeIn   time.Duration
	Slowness float64
	// ReservedBytes is the memory of the results that its running calls are making.
	ReservedBytes int64
	Results       []HeldResult
}

// HeldResult is a result that occupies memory.
type HeldResult struct {
	Handle    string
	Bytes     int64
	ExpiresIn time.Duration
}

// HandOver ends the jobs of which nothing was sent, and returns what the next owner should
// know. Jobs that have begun go on here.
func (p *Pool) HandOver(now clock.Instant) []UpstreamState {
	for _, j := range slices.Clone(p.queue) {
		if !j.begun() {
			p.end(j, OwnerChanged, true)
		}
	}
	var states []UpstreamState
	for _, name := range p.names {
		u := p.upstreams[name]
		state := UpstreamState{
			ID: name, FreeIn: max(u.availableAt(now, 1).Sub(now), 0), Slowness: u.factor(now), Results: p.results(now, name),
		}
		for _, running := range u.calls {
			state.ReservedBytes += running.reserved
		}
		states = append(states, state)
	}
	for handle := range p.held {
		p.forget(handle)
	}
	return states
}

func (p *Pool) results(now clock.Instant, upstream string) []HeldResult {
	var out []HeldResult
	for handle, h := range p.held {
		if h.upstream == upstream && !h.releasing {
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

// TakeOver adds what the owner before knew.
func (p *Pool) TakeOver(now clock.Instant, states []UpstreamState) {
	p.blindUntil = 0
	for _, state := range states {
		u := p.upstreams[state.ID]
		if u == nil {
			continue
		}
		u.pausedUntil = max(u.pausedUntil, now.Add(min(state.FreeIn, maxBackoff)))
		u.roomKnown = true
		u.setForeign(now.Add(state.FreeIn+foreignTime), state.ReservedBytes)
		u.measuredAt, u.slowness = now, max(state.Slowness, 1)
		for _, result := range state.Results {
			if _, known := p.held[result.Handle]; known {
				continue
			}
			p.held[result.Handle] = held{upstream: u.ID, bytes: result.Bytes, expires: now.Add(result.ExpiresIn)}
			u.used += result.Bytes
		}
	}
}
