// Package upstreamsignal decides which upstreams a VM may send to, from two signals in their
// responses: an upstream is leaving, or it asks for no traffic for a time.
//
// Both belong to one start of an upstream: after a restart under the same ID, neither applies. A
// Table is deterministic and not safe for concurrent use. Invariants:
//   - a leaving upstream stays leaving, and the time from which it gets no work at all only moves
//     earlier if the drain time does;
//   - the end of a pause never moves earlier.
package upstreamsignal

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// MaxMargin and marginDivisor bound the time before the end of the drain time at which an
	// upstream gets its last work. The margin covers the time from the choice of the upstream to
	// the arrival of the request there, of which opening a connection may take 250 ms.
	MaxMargin     = 500 * time.Millisecond
	marginDivisor = 4
	// MaxPause is the longest pause that is accepted; a longer one is more likely a fault.
	MaxPause = 24 * time.Hour
	// retention is how long a signal of an upstream that is not registered is kept. Reports of
	// other VMs may arrive before the registration, and an outage of the store may hide it.
	retention = 10 * time.Minute
	// maxInstances bounds the memory for signals; deployments have some hundred upstreams.
	maxInstances = 8192
)

// Instance is one start of an upstream.
type Instance struct {
	ID string
	// Start identifies the start of the upstream under its ID; 0 if unknown.
	Start int64
}

// state holds the signals of one instance.
type state struct {
	leaving bool
	// leavingSince is when this VM learnt that the instance leaves.
	leavingSince clock.Instant
	pausedUntil  clock.Instant
	// lastSeen is when the instance was last known to be registered, or when its signal arrived.
	lastSeen clock.Instant
}

// Verdict says whether work may be sent to an instance.
type Verdict uint8

const (
	// Open means that no signal stands against work.
	Open Verdict = iota
	// LastResort means that the instance leaves and may be used if no other upstream is available.
	LastResort
	// Leaving means that the instance leaves and gets no such work.
	Leaving
	// Paused means that the instance asked for no traffic.
	Paused
)

// Table holds the signals of all upstreams that one VM knows of.
type Table struct {
	drain  time.Duration
	states map[Instance]*state
}

// New returns an empty table. drain is the time after the first signal of a leaving upstream from
// which no request of a client may reach it; with 0 it gets none from the signal on.
func New(drain time.Duration) *Table {
	return &Table{drain: max(drain, 0), states: map[Instance]*state{}}
}

// SetDrain changes the drain time.
func (t *Table) SetDrain(drain time.Duration) { t.drain = max(drain, 0) }

// Len returns the number of instances with a signal.
func (t *Table) Len() int { return len(t.states) }

// RecordLeaving records that an instance leaves, and reports whether this is new. Nothing is
// recorded once the table is full.
func (t *Table) RecordLeaving(now clock.Instant, i Instance) bool {
	s := t.stateOf(now, i)
	if s == nil || s.leaving {
		return false
	}
	s.leaving, s.leavingSince = true, now
	return true
}

// RecordPause records that an instance asked for no traffic for a time, and reports whether this
// prolongs its pause. A time that is not positive or exceeds MaxPause is ignored.
func (t *Table) RecordPause(now clock.Instant, i Instance, pause time.Duration) bool {
	if pause <= 0 || pause > MaxPause {
		return false
	}
	s := t.stateOf(now, i)
	if s == nil || s.pausedUntil >= now.Add(pause) {
		return false
	}
	s.pausedUntil = now.Add(pause)
	return true
}

// stateOf returns the state of an instance and creates it if there is none. It returns nil if the
// table is full.
func (t *Table) stateOf(now clock.Instant, i Instance) *state {
	s := t.states[i]
	if s == nil {
		if len(t.states) >= maxInstances {
			return nil
		}
		s = &state{}
		t.states[i] = s
	}
	s.lastSeen = now
	return s
}

// IsLeaving reports whether an instance leaves.
func (t *Table) IsLeaving(i Instance) bool {
	s := t.states[i]
	return s != nil && s.leaving
}

// PausedUntil returns the end of the pause of an instance, or false if it is not paused.
func (t *Table) PausedUntil(now clock.Instant, i Instance) (clock.Instant, bool) {
	s := t.states[i]
	if s == nil || s.pausedUntil <= now {
		return 0, false
	}
	return s.pausedUntil, true
}

// WorkVerdict says whether work that was taken from its client at taken may be sent to an instance.
// hasOther is set if another upstream of the pool is in service and does not leave.
func (t *Table) WorkVerdict(now, taken clock.Instant, i Instance, hasOther bool) Verdict {
	s := t.states[i]
	switch {
	case s == nil:
		return Open
	case s.pausedUntil > now:
		return Paused
	case !s.leaving:
		return Open
	case now >= s.leavingSince.Add(t.lastWork()), hasOther && taken >= s.leavingSince:
		return Leaving
	}
	return LastResort
}

// UpkeepVerdict says whether a call that is not work, such as a release or a query, may be sent to
// an instance: not during a pause, nor after the last work for a leaving one.
func (t *Table) UpkeepVerdict(now clock.Instant, i Instance) Verdict {
	return t.WorkVerdict(now, now, i, false)
}

// lastWork is the time after its first signal at which a leaving upstream gets its last work.
func (t *Table) lastWork() time.Duration { return t.drain - min(t.drain/marginDivisor, MaxMargin) }

// Retain drops the signals that cannot matter any more. isRegistered reports whether an instance is
// registered.
func (t *Table) Retain(now clock.Instant, isRegistered func(Instance) bool) {
	for i, s := range t.states {
		if isRegistered(i) {
			s.lastSeen = now
		}
		isStale := now.Sub(s.lastSeen) >= retention
		if s.pausedUntil <= now && (isStale || !s.leaving) {
			delete(t.states, i)
		}
	}
}
