package partition

import (
	"maps"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Reason is why the state changed.
type Reason uint8

// Reasons.
const (
	NoReason Reason = iota
	// ConnectionsFailed means that new connections to several upstreams failed, or to one while none succeeded.
	ConnectionsFailed
	// Silence means that no byte came although several upstreams were to send some.
	Silence
	// CrashProbeFailed means that an upstream that seems to have crashed accepts no connection.
	CrashProbeFailed
	// ProbesFailed means that all probes of a round failed.
	ProbesFailed
	// BytesReceived means that bytes came from upstreams although no probe was answered: they are full.
	BytesReceived
	// Connected means that new connections succeeded.
	Connected
	// Paused means that the VM was paused during a round.
	Paused
	// TooFewUpstreams means that too few upstreams are known.
	TooFewUpstreams
)

var reasonNames = [...]string{
	NoReason: "", ConnectionsFailed: "connections failed", Silence: "silence", CrashProbeFailed: "crash probe failed", ProbesFailed: "probes failed",
	BytesReceived: "bytes received", Connected: "connected", Paused: "the VM was paused", TooFewUpstreams: "too few upstreams",
}

// String returns the reason for logs.
func (r Reason) String() string { return reasonNames[r] }

// RecordConnected records a new connection on which a byte of a response came within MaxConnectTime. While
// partitioned only probes count: the connection may be from before.
func (d *Detector) RecordConnected(now clock.Instant, address string) {
	d.checkPause(now)
	if d.state != Partitioned {
		d.recordSuccess(now, address, now.Add(-MaxConnectTime))
	}
}

// RecordFailed records a new connection that failed before a byte of a response came.
func (d *Detector) RecordFailed(now clock.Instant, address string) {
	d.checkPause(now)
	if d.state == Partitioned || now.Before(d.ignoreFailuresUntil) || d.hasFailedAlone(address) || !d.isKnown(address) {
		return
	}
	if len(d.failures) == 0 {
		d.failingSince = now
	}
	d.failures[address] = now
}

// RecordCrashProbe records that an upstream which broke a connection accepts no new one. The next tick starts
// a round, which tells whether it crashed.
func (d *Detector) RecordCrashProbe(now clock.Instant, address string) {
	d.RecordFailed(now, address)
	if d.state != Partitioned && d.canTell() {
		d.crashAt = now
	}
}

// recordSuccess records that an upstream was reached by a connection that was opened at a time, which ends
// a suspicion.
func (d *Detector) recordSuccess(now clock.Instant, address string, opened clock.Instant) {
	d.lastSuccess, d.reachedAt = now, max(d.reachedAt, opened)
	if d.reachedAt >= d.crashAt {
		d.crashAt = 0
	}
	delete(d.failedAlone, address)
	if d.state != Suspect {
		clear(d.failures)
		return
	}
	for failed := range d.failures {
		d.failedAlone[failed] = now
	}
	for _, failed := range d.probes.failed {
		d.failedAlone[failed] = now
	}
	delete(d.failedAlone, address)
	d.enter(now, Reachable, Connected)
}

// RecordUnanswered records the end of a probe whose connection opened, and which was not answered in time by an
// upstream where it may wait for a slot.
func (d *Detector) RecordUnanswered(now clock.Instant, id uint64) {
	if d.probes.isRunning(id) {
		d.isUnanswered = true
	}
	d.RecordProbe(now, id, false)
}

// RecordProbe records the end of a probe. An answer of any kind is a success.
func (d *Detector) RecordProbe(now clock.Instant, id uint64, answered bool) {
	d.checkPause(now)
	probe, ok := d.probes.end(id, answered)
	if !ok {
		return
	}
	if d.state == Suspect && !answered && now.Sub(probe.started) < minHangTime {
		d.isRefused = true
	}
	switch {
	case d.state != Partitioned && answered:
		d.recordSuccess(now, probe.address, probe.started)
	case d.state == Suspect && len(d.probes.running) == 0 && len(d.probes.failed) >= minUpstreams:
		d.endRound(now)
	case d.state == Partitioned && answered:
		d.lastSuccess, d.reachedAt = now, probe.started
		d.recordReturn(now, probe.address)
	}
}

// endRound decides after a round of which all probes failed. Without a decision another one follows, at other
// upstreams if there are any.
func (d *Detector) endRound(now clock.Instant) {
	d.rounds++
	for _, failed := range d.probes.failed {
		d.failures[failed] = now
	}
	d.decide(now)
}

// decide ends a suspicion if its rounds suffice.
func (d *Detector) decide(now clock.Instant) {
	switch {
	case d.isUnanswered && d.receivedAt.After(d.suspectSince):
		d.enter(now, Reachable, BytesReceived)
	case d.rounds >= d.roundsNeeded():
		d.enter(now, Partitioned, ProbesFailed)
	}
}

// roundsNeeded returns the number of failed rounds that lead to a partition.
func (d *Detector) roundsNeeded() int {
	switch {
	case d.isUnanswered:
		return unansweredRounds
	case len(d.failures) >= len(d.upstreams):
		return 1 // There is no other upstream to ask.
	}
	return failedRounds
}

// recordReturn records that an upstream answered a probe while partitioned.
func (d *Detector) recordReturn(now clock.Instant, address string) {
	maps.DeleteFunc(d.returned, func(_ string, at clock.Instant) bool { return now.Sub(at) > returnWindow })
	d.returned[address] = now
	if len(d.returned) >= returnSuccesses {
		d.enter(now, Reachable, Connected)
	}
}

// suspicion returns why a round is to start, or NoReason.
func (d *Detector) suspicion(now clock.Instant, isSilent bool) Reason {
	maps.DeleteFunc(d.failures, func(_ string, at clock.Instant) bool { return now.Sub(at) > failureWindow })
	maps.DeleteFunc(d.failedAlone, func(_ string, at clock.Instant) bool { return now.Sub(at) >= failedAloneWindow })
	sinceSuspicion := now.Sub(d.lastSuspicionEnd)
	if sinceSuspicion > 2*maxSilenceInterval {
		d.silenceInterval = minSuspicionInterval
	}
	switch {
	case d.crashAt != 0 && now.Sub(d.crashAt) <= failureWindow && sinceSuspicion >= minCrashInterval:
		return CrashProbeFailed
	case d.areConnectionsFailing(now) && sinceSuspicion >= minSuspicionInterval:
		return ConnectionsFailed
	case isSilent && sinceSuspicion >= d.silenceInterval:
		d.silenceInterval = min(2*d.silenceInterval, maxSilenceInterval)
		return Silence
	}
	return NoReason
}

// areConnectionsFailing reports whether new connections to several upstreams failed, or to one without a success
// for successTimeout.
func (d *Detector) areConnectionsFailing(now clock.Instant) bool {
	if len(d.failures) >= d.failuresNeeded() {
		return true
	}
	return len(d.failures) > 0 && now.Sub(d.failingSince) >= successTimeout
}

// failuresNeeded returns the number of upstreams that must fail to start a round: fewer if the failures of
// most upstreams do not count.
func (d *Detector) failuresNeeded() int {
	return max(1, min(suspectFailures, len(d.upstreams)-len(d.failedAlone)))
}

// recordTraffic records the bytes received, and since when none came although several upstreams were to send some.
func (d *Detector) recordTraffic(now clock.Instant, traffic Traffic) {
	isNew := traffic.Received > d.received
	d.received = traffic.Received
	if isNew {
		d.receivedAt = now
	}
	if isNew || traffic.Waiting < suspectFailures || now.Before(d.ignoreFailuresUntil) {
		d.quietSince = now
	}
}
