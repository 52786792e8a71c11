package enginepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// reportTTL is how long a report of an engine is used.
	reportTTL = 2 * time.Second
	// maxReported bounds the requests and tokens of a report, which no engine exceeds.
	maxReported = 1 << 30
)

// Report is the load that an engine states.
type Report struct {
	Running int
	Queued  int
	// UsedTokens is the memory in use by requests, and NextTokens the prompt of the first one that
	// waits.
	UsedTokens int64
	NextTokens int64
}

// isValid reports whether an engine can have the load.
func (r *Report) isValid() bool {
	inRange := func(n int64) bool { return n >= 0 && n <= maxReported }
	return inRange(int64(r.Running)) && inRange(int64(r.Queued)) && inRange(r.UsedTokens) && inRange(r.NextTokens)
}

// load is the part of a reported load that this owner did not place.
type load struct {
	askedAt clock.Instant
	until   clock.Instant
	others  int
	tokens  int64
	delay   time.Duration
}

// running returns the number of requests of unknown origin.
func (l *load) running(now clock.Instant) int {
	if now >= l.until {
		return 0
	}
	return l.others
}

// wait returns the time for the prompts of unknown origin that wait.
func (l *load) wait(now clock.Instant) time.Duration {
	if now >= l.until {
		return 0
	}
	return l.delay
}

// usedTokens returns the memory in use by requests, in tokens.
func (e *engine) usedTokens(now clock.Instant) int64 {
	if now >= e.report.until {
		return e.tokens
	}
	return e.tokens + e.report.tokens
}

// RecordReport combines a report with the requests in flight: what the engine has beyond them comes
// from elsewhere, such as from VMs that could not reach this owner. It reports whether the report
// is valid. A report of an instance other than the one that started at start is not.
func (p *Pool) RecordReport(now clock.Instant, id string, start int64, r Report) bool {
	e := p.byID[id]
	if e == nil || e.Start != start || !r.isValid() {
		return false
	}
	e.report.until = now.Add(reportTTL)
	e.report.others = max(r.Running+r.Queued-e.running, 0)
	e.report.tokens = max(r.UsedTokens-e.tokens, 0)
	e.report.delay = 0
	if others := min(e.report.others, r.Queued); others > 0 {
		e.report.delay = time.Duration(others) * p.time.reading(int(r.NextTokens), e.pace.factor(now, p.gap))
	}
	return true
}

// ReportsWanted appends the engines whose load should be asked for to ids: those of which this
// owner knows nothing yet. Each is returned once, since a report costs as much as a liveness check.
func (p *Pool) ReportsWanted(now clock.Instant, ids []string) []string {
	for _, e := range p.engines {
		if e.inService && e.report.askedAt == 0 {
			e.report.askedAt = now
			ids = append(ids, e.ID)
		}
	}
	return ids
}
