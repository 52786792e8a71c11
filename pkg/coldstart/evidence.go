// Package coldstart decides how much work an upstream may receive: none without
// a lease while it is cold, then a ramp up to the VM's share of its capacity.
package coldstart

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// EvidenceLifetime is how long warmth lasts without a success.
	EvidenceLifetime = 30 * time.Second
	// maxReporters bounds the memory per upstream; an upstream is served by about 16 VMs.
	maxReporters = 32
	// announcements is the number of reports about a warm upstream that are made at once.
	// VMs that count from a later cold sign lack some successes of the first one.
	announcements = 5
	// restartGap is how much newer a report with a lower sequence must be to count as
	// coming from a restarted reporter and not as a reordered message.
	restartGap = time.Second
)

// Evidence is the warmth of one upstream as one gateway knows it.
//
// Only successes that began after the last cold sign count, and of other VMs'
// counts only the increase seen since then: a success from before the sign says
// nothing about the process that runs now.
type Evidence struct {
	// WarmAfter is the number of successes after which the upstream is warm.
	WarmAfter int

	warm   bool
	coldAt clock.Instant
	own    int
	last   clock.Instant
	peers  []peerCount
	times  serviceTimes
	// sign and changed are set while a cold sign or a change has not been reported.
	// announced counts the reports since the upstream became warm.
	sign      bool
	changed   bool
	announced int
	reported  clock.Instant
}

// peerCount is what one reporter contributed.
type peerCount struct {
	reporter string
	sequence uint64
	observed clock.Instant
	total    int
	// gained is the increase of total since the last cold sign.
	gained int
}

// IsSlow reports whether an attempt took far longer than this upstream usually does.
func (e *Evidence) IsSlow(elapsed time.Duration) bool { return e.times.isSlow(elapsed) }

// Recent reports whether an attempt ended since the instant, and whether one that ended
// since was slow.
func (e *Evidence) Recent(since clock.Instant) (seen, slow bool) {
	return e.times.seenAt > since, e.times.slowAt > since
}

// Success records a success of an attempt that was dispatched at started. Common is set if
// the attempt was slow for a cause that this upstream shares with most others.
func (e *Evidence) Success(now, started clock.Instant, elapsed time.Duration, common bool) {
	e.expire(now)
	if started <= e.coldAt && e.coldAt != 0 {
		return
	}
	if e.times.jump(now, elapsed, e.warm, common) {
		e.Cold(now)
		return
	}
	e.own++
	e.last = max(e.last, now)
	e.changed = true
	e.settle()
}

// Slow records an attempt that ended unanswered after elapsed, such as a timeout. Common is
// as in Success.
func (e *Evidence) Slow(now clock.Instant, elapsed time.Duration, common bool) {
	e.expire(now)
	if e.times.jump(now, elapsed, e.warm, common) {
		e.Cold(now)
	}
}

// Declared records the upstream's own report that it is warm.
func (e *Evidence) Declared(now, started clock.Instant) {
	e.expire(now)
	if started <= e.coldAt && e.coldAt != 0 {
		return
	}
	// Other VMs count successes only, so the declaration is passed on as enough of them.
	e.own = max(e.own, e.WarmAfter)
	e.last = max(e.last, now)
	e.changed = true
	e.settle()
}

// Cold records a sign observed at the instant that the upstream is cold. Evidence
// observed before it is dropped.
func (e *Evidence) Cold(at clock.Instant) {
	if at <= e.coldAt {
		return
	}
	e.drop(at)
	e.sign = true
	e.changed = true
}

// Merge takes over a report of another VM.
func (e *Evidence) Merge(now clock.Instant, report *Report) {
	e.expire(now)
	observed := min(report.Observed, now)
	if observed.Add(EvidenceLifetime) <= now {
		return
	}
	peer, known := e.peer(report.Reporter)
	if known && !isNewer(peer, report) {
		return
	}
	if report.Cold && observed > e.coldAt {
		e.drop(observed)
		peer.total = 0
	} else if !known && e.coldAt != 0 || observed <= e.coldAt {
		// Nothing says which part of the count is newer than the last cold sign.
		peer.total = report.Successes
	}
	peer.gained += max(0, report.Successes-peer.total)
	peer.total = report.Successes
	peer.sequence = report.Sequence
	peer.observed = observed
	if report.Successes > 0 && !report.Cold && observed > e.coldAt {
		e.last = max(e.last, observed)
	}
	e.settle()
}

// Warm reports whether the upstream is warm now and until when that holds without
// further evidence.
func (e *Evidence) Warm(now clock.Instant) (bool, clock.Instant) {
	e.expire(now)
	return e.warm, e.last.Add(EvidenceLifetime)
}

// Own returns the number of own successes since the last cold sign.
func (e *Evidence) Own() int { return e.own }

// Take fills report with evidence that other VMs lack and reports whether there is
// any. Warm upstreams are repeated at most every refresh, to bound the messages.
func (e *Evidence) Take(now clock.Instant, refresh time.Duration, report *Report) bool {
	e.expire(now)
	if !e.changed {
		return false
	}
	if e.announced >= announcements && now.Sub(e.reported) < refresh {
		return false
	}
	report.Successes = e.own
	report.Cold = e.sign
	report.Observed = e.last
	if e.sign {
		report.Observed = e.coldAt
	}
	e.sign = false
	e.changed = false
	if e.warm {
		e.announced++
	}
	e.reported = now
	return true
}

func (e *Evidence) expire(now clock.Instant) {
	if e.last == 0 || now < e.last.Add(EvidenceLifetime) {
		return
	}
	e.drop(now)
}

// drop forgets all evidence observed before the instant.
func (e *Evidence) drop(at clock.Instant) {
	e.warm = false
	e.coldAt = at
	e.own = 0
	e.last = 0
	e.announced = 0
	e.times.reset()
	for i := range e.peers {
		e.peers[i].gained = 0
	}
}

func (e *Evidence) settle() {
	count := e.own
	for i := range e.peers {
		count += e.peers[i].gained
	}
	// An upstream that failed again after the counted successes has last == 0.
	if count >= e.WarmAfter && e.last != 0 {
		e.warm = true
	}
}

// peer returns the reporter's entry; a new one takes the place of the oldest when full.
func (e *Evidence) peer(reporter string) (*peerCount, bool) {
	oldest := 0
	for i := range e.peers {
		if e.peers[i].reporter == reporter {
			return &e.peers[i], true
		}
		if e.peers[i].observed < e.peers[oldest].observed {
			oldest = i
		}
	}
	if len(e.peers) < maxReporters {
		e.peers = append(e.peers, peerCount{reporter: reporter})
		return &e.peers[len(e.peers)-1], false
	}
	e.peers[oldest] = peerCount{reporter: reporter}
	return &e.peers[oldest], false
}

func isNewer(peer *peerCount, report *Report) bool {
	if report.Sequence > peer.sequence {
		return true
	}
	return report.Sequence < peer.sequence && report.Observed.Sub(peer.observed) > restartGap
}

// Forget drops all evidence without a sign to other VMs, for causes that every VM
// learns by itself, such as a change of the pools table.
func (e *Evidence) Forget(at clock.Instant) {
	if at > e.coldAt {
		e.drop(at)
	}
}
