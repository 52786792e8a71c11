// Package partition detects that a VM is partitioned from all upstreams, while others may still reach it.
//
// Only new connections are evidence, since old ones may live on while new ones are refused, and may hang in
// silence. A success is a new connection on which a byte of a response came; a failure is one that was
// refused, or broke or stayed silent before that. Evidence that all upstreams may be out of reach leads to a
// round of probes, which decides.
//
// A Detector is deterministic and not safe for concurrent use. Invariants:
//   - it becomes Partitioned only after failedRounds rounds of which all probes failed, at upstreams of different
//     pools and zones as far as there are any, and during which no new connection succeeded. Rounds are at least
//     roundInterval apart, since refused probes end at once, and many upstreams may be down. One round
//     suffices if new connections to all upstreams failed since the last success;
//   - a probe that may wait for a slot and was not answered proves nothing by itself, since its upstream may be
//     full. It counts as failed only after unansweredRounds rounds during which no byte came from any upstream:
//     in a cut in which connections open and stay silent none comes, while full upstreams end requests;
//   - it leaves Partitioned only after two upstreams answered probes within returnWindow, or if there are too
//     few upstreams to tell;
//   - a pause of the VM is no evidence: what failed before or shortly after it is forgotten;
//   - the number of probes is bounded: up to unansweredRounds rounds of roundProbes per minCrashInterval if
//     crashes of upstreams must be told from a partition, per minSuspicionInterval otherwise, and one probe per
//     returnInterval while Partitioned.
package partition

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 300 * time.Millisecond
	// MaxConnectTime bounds the time from the opening of a connection to the first byte of a response that counts
	// as a success.
	MaxConnectTime = 300 * time.Millisecond
	// minUpstreams is the number of upstreams from which on a failure of all of them is taken for a partition.
	minUpstreams = 3
	// roundProbes bounds the probes of a round.
	roundProbes = 4
	// failedRounds is the number of rounds that lead to a partition, and roundInterval the time between their
	// starts.
	failedRounds  = 2
	roundInterval = 200 * time.Millisecond
	// unansweredRounds is the number of rounds that lead to a partition if some of their probes were not answered
	// by upstreams that may be full. Together they last longer than most requests need to send a byte.
	unansweredRounds = 3
	// minHangTime is the time from which on a probe that failed was not refused or reset.
	minHangTime = 200 * time.Millisecond
	// silenceConfirmTime is how long no byte may come after a partition was detected until it counts as certain that
	// upstreams which did not answer are not full.
	silenceConfirmTime = 2 * time.Second
	// suspectFailures is the number of upstreams to which new connections failed, without a success since the
	// first of them, that starts a round.
	suspectFailures = 2
	// successTimeout is how long no new connection may succeed after a failure to one upstream alone. With few new
	// connections, or with one to the same upstream again and again, no second one fails.
	successTimeout = 500 * time.Millisecond
	// failureWindow is how long a failure counts.
	failureWindow = 5 * time.Second
	// failedAloneWindow is how long failures of an upstream do not count after others were reached while it failed.
	failedAloneWindow = 10 * time.Second
	// silenceTime is how long no byte may come while responses of suspectFailures upstreams are awaited.
	silenceTime = 400 * time.Millisecond
	// minSuspicionInterval is the time from a suspicion that was wrong to the next round because of failures. For
	// rounds because of silence it doubles with each wrong one up to maxSilenceInterval, since long requests
	// are silent too.
	minSuspicionInterval = time.Second
	maxSilenceInterval   = 1500 * time.Millisecond
	// minCrashInterval is the time from a suspicion that was wrong to the next round because of a failed crash probe.
	minCrashInterval = 250 * time.Millisecond
	// returnInterval is the time between two probes while the VM is partitioned.
	returnInterval = 500 * time.Millisecond
	// returnSuccesses is the number of upstreams that must answer within returnWindow for the partition to be
	// over. Probes in between may fail, since single upstreams or whole pools may be down.
	returnSuccesses = 2
	returnWindow    = 3 * time.Second
	// pauseThreshold is the time between two ticks from which on the VM counts as having been paused, and
	// pauseGracePeriod how long failures after it are ignored, since timeouts that ran out during it end then.
	pauseThreshold   = 400 * time.Millisecond
	pauseGracePeriod = 400 * time.Millisecond
)

// State is what a Detector has decided.
type State uint8

// States of a Detector.
const (
	// Reachable means that some upstream is in reach as far as is known.
	Reachable State = iota
	// Suspect means that a round of probes runs.
	Suspect
	// Partitioned means that no upstream is in reach.
	Partitioned
)

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"reachable", "suspect", "partitioned"}[s] }

// Verdict is what is known about a failure at one upstream.
type Verdict uint8

// Verdicts.
const (
	// Unknown means that the VM may be partitioned.
	Unknown Verdict = iota
	// AtUpstream means that others were reached since, so that the upstream itself has failed.
	AtUpstream
	// AtNetwork means that the VM is partitioned.
	AtNetwork
)

// Traffic describes the connections to upstreams, old and new ones.
type Traffic struct {
	// Received grows with the bytes received. It may fall when upstreams are forgotten.
	Received uint64
	// Waiting is the number of upstreams whose responses are awaited.
	Waiting int
}

// Change is a change of the state with what led to it.
type Change struct {
	From, To State
	Reason   Reason
	// Failures is the number of upstreams to which new connections failed, and Failed and Answered are the
	// numbers of probes of the round.
	Failures, Failed, Answered int
	// SinceSuccess is the time since the last success; 0 if there was none.
	SinceSuccess time.Duration
}

// Detector decides whether this VM is partitioned from all upstreams.
type Detector struct {
	seed      uint64
	upstreams []Upstream
	state     State
	changes   []Change

	// failures holds the upstreams to which new connections failed since the last success, with the time.
	failures map[string]clock.Instant
	// failingSince is the time of the first of these failures.
	failingSince clock.Instant
	// failedAlone holds the upstreams that failed while others were reached, with the time.
	failedAlone map[string]clock.Instant
	// crashAt is when a crash probe failed last; 0 if none did, or if it was decided since what it means.
	crashAt clock.Instant

	// lastSuccess is when a new connection succeeded last, and reachedAt the earliest time at which that
	// connection or a later one may have been opened; 0 if none did.
	lastSuccess clock.Instant
	reachedAt   clock.Instant
	// lastSuspicionEnd is when the last suspicion ended without a partition, and silenceInterval the time from
	// then to the next round because of silence.
	lastSuspicionEnd clock.Instant
	silenceInterval  time.Duration
	received         uint64
	// receivedAt is the tick that saw the latest byte from an upstream.
	receivedAt clock.Instant
	quietSince clock.Instant

	lastTick clock.Instant
	// ignoreFailuresUntil is when failures count again after a pause.
	ignoreFailuresUntil clock.Instant

	// suspectSince is when the running suspicion began, rounds the number of its rounds that ended, and nextRoundAt
	// when the next one may begin.
	suspectSince clock.Instant
	rounds       int
	nextRoundAt  clock.Instant
	// isUnanswered is set if a probe of these rounds was not answered by an upstream that may be full, and
	// isRefused if one was refused or reset.
	isUnanswered bool
	isRefused    bool
	// partitionedAt is when the VM became partitioned last.
	partitionedAt clock.Instant

	probes      probes
	nextProbeAt clock.Instant
	// returned holds the upstreams that answered while partitioned, with the time.
	returned map[string]clock.Instant
}

// New returns a Detector that knows of no upstream. The seed spreads the probes of the VMs.
func New(now clock.Instant, seed uint64) *Detector {
	return &Detector{
		seed: seed, failures: map[string]clock.Instant{}, failedAlone: map[string]clock.Instant{}, returned: map[string]clock.Instant{}, silenceInterval: minSuspicionInterval,
		quietSince: now, lastTick: now, lastSuspicionEnd: now.Add(-maxSilenceInterval), probes: newProbes(),
	}
}

// State returns the state.
func (d *Detector) State() State { return d.state }

// SetUpstreams sets the upstreams that may be probed. With too few of them the VM counts as reachable.
func (d *Detector) SetUpstreams(now clock.Instant, upstreams []Upstream) {
	d.upstreams = upstreams
	known := make(map[string]bool, len(upstreams))
	for i := range upstreams {
		known[upstreams[i].Address] = true
	}
	isGone := func(address string, _ clock.Instant) bool { return !known[address] }
	maps.DeleteFunc(d.failures, isGone)
	maps.DeleteFunc(d.failedAlone, isGone)
	if !d.canTell() && d.state != Reachable {
		d.enter(now, Reachable, TooFewUpstreams)
	}
}

// canTell reports whether there are enough upstreams to tell their failure from a partition.
func (d *Detector) canTell() bool { return len(d.upstreams) >= minUpstreams }

// TakeChanges returns the changes of the state since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// SilentSince returns since when no byte comes from any upstream, on old connections neither. It returns false if
// that is not so as far as is known: if new connections are refused or reset, old ones may live on.
func (d *Detector) SilentSince(now clock.Instant) (since clock.Instant, ok bool) {
	if d.state != Partitioned || d.isRefused || d.receivedAt.After(d.suspectSince) || len(d.returned) > 0 {
		return 0, false
	}
	if d.isUnanswered && now.Sub(d.partitionedAt) < silenceConfirmTime {
		return 0, false
	}
	return d.suspectSince, true
}

// Verdict returns what is known about a failure at an upstream at the given time.
func (d *Detector) Verdict(failedAt clock.Instant) Verdict {
	switch {
	case d.state == Partitioned:
		return AtNetwork
	case d.state == Suspect:
		return Unknown
	case !d.canTell() || d.reachedAt != 0 && !d.reachedAt.Before(failedAt):
		return AtUpstream
	}
	return Unknown
}

// Tick advances the time and returns the probes to send. It is to be called at least every 100 ms, and may be
// called whenever something was recorded.
func (d *Detector) Tick(now clock.Instant, traffic Traffic) []Probe {
	d.checkPause(now)
	d.lastTick = now
	d.recordTraffic(now, traffic)
	isSilent := now.Sub(d.quietSince) >= silenceTime
	for _, id := range d.probes.expired(now) {
		d.RecordProbe(now, id, false)
	}
	if d.state == Reachable && d.canTell() && !now.Before(d.ignoreFailuresUntil) {
		if reason := d.suspicion(now, isSilent); reason != NoReason {
			d.enter(now, Suspect, reason)
		}
	}
	if d.state == Suspect && d.rounds > 0 && len(d.probes.running) == 0 {
		d.decide(now) // Other connections may have failed since the round.
	}
	switch {
	case d.state == Suspect && len(d.probes.running) == 0 && !now.Before(d.nextRoundAt):
		d.nextRoundAt = now.Add(roundInterval)
		return d.probes.start(now, chooseSpread(d.upstreams, roundProbes, d.order()))
	case d.state == Partitioned && len(d.probes.running) == 0 && !now.Before(d.nextProbeAt):
		d.nextProbeAt = now.Add(returnInterval)
		return d.probes.start(now, chooseSpread(d.upstreams, 1, d.order()))
	}
	return nil
}

// enter changes the state and records why. Probes of a round go on after the first answer, since they also tell
// whether an upstream crashed.
func (d *Detector) enter(now clock.Instant, state State, reason Reason) {
	if state == Suspect {
		d.probes.cancel() // A round that ended early may have left some.
		d.suspectSince, d.rounds, d.nextRoundAt, d.isUnanswered, d.isRefused = now, 0, now, false, false
	}
	change := Change{From: d.state, To: state, Reason: reason, Failures: len(d.failures), Failed: len(d.probes.failed), Answered: d.probes.answered}
	if d.lastSuccess != 0 {
		change.SinceSuccess = now.Sub(d.lastSuccess)
	}
	d.changes = append(d.changes, change)
	d.state = state
	if reason != Connected {
		d.probes.cancel()
	}
	clear(d.returned)
	d.nextProbeAt, d.quietSince = now.Add(returnInterval), now
	if state == Suspect {
		return
	}
	clear(d.failures)
	if state == Reachable {
		d.lastSuspicionEnd = now
		return
	}
	clear(d.failedAlone)
	d.crashAt, d.partitionedAt = 0, now
}

// checkPause forgets what failed if the VM was paused, since its timers all fire at once afterwards.
func (d *Detector) checkPause(now clock.Instant) {
	if now.Sub(d.lastTick) <= pauseThreshold {
		return
	}
	d.lastTick, d.quietSince, d.ignoreFailuresUntil = now, now, now.Add(pauseGracePeriod)
	clear(d.failures)
	clear(d.returned)
	d.probes.cancel()
	if d.state == Suspect {
		d.enter(now, Reachable, Paused)
	}
}

// hasFailedAlone reports whether failures of an upstream do not count, since others were reached.
func (d *Detector) hasFailedAlone(address string) bool {
	_, ok := d.failedAlone[address]
	return ok
}

// isKnown reports whether an address is that of an upstream.
func (d *Detector) isKnown(address string) bool {
	return slices.ContainsFunc(d.upstreams, func(u Upstream) bool { return u.Address == address })
}
