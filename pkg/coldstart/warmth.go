// Package coldstart limits the concurrency of each upstream. A cold upstream receives
// work only under a lease; a warm one ramps up to the VM's share of its capacity.
package coldstart

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// WarmthLifetime is how long an upstream stays warm without a further success.
	WarmthLifetime = 30 * time.Second
	// maxReporters bounds the memory per upstream; about 16 VMs send work to one upstream.
	maxReporters = 32
	// maxImmediateReports is the number of reports about a warm upstream that are sent
	// without waiting for the refresh interval. One report isn't enough: a VM that recorded
	// a later cold sign doesn't count the successes before it.
	maxImmediateReports = 5
	// reporterRestartGap is how much newer a report with a lower sequence number must be
	// for its reporter to count as restarted; otherwise the message was reordered.
	reporterRestartGap = time.Second
)

// WarmthTracker tracks whether one upstream is warm, as seen by one gateway.
//
// A cold sign is any observation that the upstream is cold, such as a refused connection.
// Only attempts that started after the last cold sign and succeeded count, and for other
// VMs only the increase of their counts since then: a success before the sign may come
// from an earlier process of the upstream.
type WarmthTracker struct {
	// WarmAfter is the number of successes after which the upstream is warm.
	WarmAfter int

	warm         bool
	coldAt       clock.Instant
	ownSuccesses int
	lastSuccess  clock.Instant
	reporters    []reporterCount
	serviceTimes serviceTimes
	// coldUnreported is set while a cold sign has not been reported, unreported while any
	// change has not been.
	coldUnreported bool
	unreported     bool
	// reportsSinceWarm counts the reports since the upstream became warm.
	reportsSinceWarm int
	lastReport       clock.Instant
}

// reporterCount holds the successes that one other VM reported.
type reporterCount struct {
	reporter string
	sequence uint64
	observed clock.Instant
	total    int
	// successesSinceCold is the increase of total since the last cold sign.
	successesSinceCold int
}

// IsSlow reports whether an attempt took far longer than the upstream's median service time.
func (w *WarmthTracker) IsSlow(elapsed time.Duration) bool { return w.serviceTimes.isSlow(elapsed) }

// RecentAttempts reports whether any attempt ended after since, and whether any of those
// was slow.
func (w *WarmthTracker) RecentAttempts(since clock.Instant) (seen, slow bool) {
	return w.serviceTimes.lastAttemptAt > since, w.serviceTimes.lastSlowAt > since
}

// RecordSuccess records the success of an attempt that was dispatched at started. Widespread
// is set if the attempt was slow while most other upstreams were slow too.
func (w *WarmthTracker) RecordSuccess(now, started clock.Instant, elapsed time.Duration, widespread bool) {
	w.expire(now)
	if started <= w.coldAt && w.coldAt != 0 {
		return
	}
	if w.serviceTimes.record(now, elapsed, w.warm, widespread) {
		w.MarkCold(now)
		return
	}
	w.ownSuccesses++
	w.lastSuccess = max(w.lastSuccess, now)
	w.unreported = true
	w.updateWarm()
}

// RecordUnanswered records an attempt that ended without an answer after elapsed, such as a
// timeout. Widespread is as in RecordSuccess.
func (w *WarmthTracker) RecordUnanswered(now clock.Instant, elapsed time.Duration, widespread bool) {
	w.expire(now)
	if w.serviceTimes.record(now, elapsed, w.warm, widespread) {
		w.MarkCold(now)
	}
}

// RecordDeclaredWarm records the upstream's own report that it is warm.
func (w *WarmthTracker) RecordDeclaredWarm(now, started clock.Instant) {
	w.expire(now)
	if started <= w.coldAt && w.coldAt != 0 {
		return
	}
	// Reports to other VMs carry only a count of successes, so raise it to the number needed.
	w.ownSuccesses = max(w.ownSuccesses, w.WarmAfter)
	w.lastSuccess = max(w.lastSuccess, now)
	w.unreported = true
	w.updateWarm()
}

// MarkCold records a cold sign that was observed at the given instant. Earlier successes
// no longer count.
func (w *WarmthTracker) MarkCold(at clock.Instant) {
	if at <= w.coldAt {
		return
	}
	w.discardBefore(at)
	w.coldUnreported = true
	w.unreported = true
}

// Merge adds a report of another VM.
func (w *WarmthTracker) Merge(now clock.Instant, report *Report) {
	w.expire(now)
	observed := min(report.Observed, now)
	if observed.Add(WarmthLifetime) <= now {
		return
	}
	entry, known := w.reporterEntry(report.Reporter)
	if known && !isNewer(entry, report) {
		return
	}
	if report.Cold && observed > w.coldAt {
		w.discardBefore(observed)
		entry.total = 0
	} else if !known && w.coldAt != 0 || observed <= w.coldAt {
		// It is unknown which of the reported successes came after the last cold sign,
		// so none of them counts.
		entry.total = report.Successes
	}
	entry.successesSinceCold += max(0, report.Successes-entry.total)
	entry.total = report.Successes
	entry.sequence = report.Sequence
	entry.observed = observed
	if report.Successes > 0 && !report.Cold && observed > w.coldAt {
		w.lastSuccess = max(w.lastSuccess, observed)
	}
	w.updateWarm()
}

// Warm reports whether the upstream is warm, and until when it stays so without a
// further success.
func (w *WarmthTracker) Warm(now clock.Instant) (bool, clock.Instant) {
	w.expire(now)
	return w.warm, w.lastSuccess.Add(WarmthLifetime)
}

// OwnSuccesses returns the number of this VM's successes since the last cold sign.
func (w *WarmthTracker) OwnSuccesses() int { return w.ownSuccesses }

// TakeReport fills report with changes not yet reported to other VMs, and returns false if
// there are none. After its first reports a warm upstream is reported at most once per
// refresh interval, to bound the number of messages.
func (w *WarmthTracker) TakeReport(now clock.Instant, refresh time.Duration, report *Report) bool {
	w.expire(now)
	if !w.unreported {
		return false
	}
	if w.reportsSinceWarm >= maxImmediateReports && now.Sub(w.lastReport) < refresh {
		return false
	}
	report.Successes = w.ownSuccesses
	report.Cold = w.coldUnreported
	report.Observed = w.lastSuccess
	if w.coldUnreported {
		report.Observed = w.coldAt
	}
	w.coldUnreported = false
	w.unreported = false
	if w.warm {
		w.reportsSinceWarm++
	}
	w.lastReport = now
	return true
}

func (w *WarmthTracker) expire(now clock.Instant) {
	if w.lastSuccess == 0 || now < w.lastSuccess.Add(WarmthLifetime) {
		return
	}
	w.discardBefore(now)
}

// discardBefore discards all observations before the instant and marks the upstream cold.
func (w *WarmthTracker) discardBefore(at clock.Instant) {
	w.warm = false
	w.coldAt = at
	w.ownSuccesses = 0
	w.lastSuccess = 0
	w.reportsSinceWarm = 0
	w.serviceTimes.reset()
	for i := range w.reporters {
		w.reporters[i].successesSinceCold = 0
	}
}

func (w *WarmthTracker) updateWarm() {
	count := w.ownSuccesses
	for i := range w.reporters {
		count += w.reporters[i].successesSinceCold
	}
	// lastSuccess is 0 if the upstream turned cold again after the counted successes.
	if count >= w.WarmAfter && w.lastSuccess != 0 {
		w.warm = true
	}
}

// reporterEntry returns the entry of the reporter and whether it existed. A new entry
// replaces the one with the oldest observation when all are in use.
func (w *WarmthTracker) reporterEntry(reporter string) (*reporterCount, bool) {
	oldest := 0
	for i := range w.reporters {
		if w.reporters[i].reporter == reporter {
			return &w.reporters[i], true
		}
		if w.reporters[i].observed < w.reporters[oldest].observed {
			oldest = i
		}
	}
	if len(w.reporters) < maxReporters {
		w.reporters = append(w.reporters, reporterCount{reporter: reporter})
		return &w.reporters[len(w.reporters)-1], false
	}
	w.reporters[oldest] = reporterCount{reporter: reporter}
	return &w.reporters[oldest], false
}

func isNewer(entry *reporterCount, report *Report) bool {
	if report.Sequence > entry.sequence {
		return true
	}
	return report.Sequence < entry.sequence && report.Observed.Sub(entry.observed) > reporterRestartGap
}

// Discard marks the upstream cold without reporting it to other VMs. It is meant for causes
// that every VM learns by itself, such as a change of the pools table.
func (w *WarmthTracker) Discard(at clock.Instant) {
	if at > w.coldAt {
		w.discardBefore(at)
	}
}
