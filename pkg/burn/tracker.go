package burn

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// MaxSources limits the sources that a Tracker keeps. Beyond it, the least recently sampled
// source is evicted.
const MaxSources = 4096

// StaleSampleError is returned for a sample that is not newer than the last sample of its
// source.
type StaleSampleError struct {
	Source string
	At     time.Time
	Last   time.Time
}

// Error returns a message with the source and both times.
func (e *StaleSampleError) Error() string {
	return fmt.Sprintf("the sample from %s at %s is not newer than the last sample at %s",
		e.Source, e.At.Format(time.RFC3339), e.Last.Format(time.RFC3339))
}

// Tracker computes burn rates from counter samples. It is deterministic and not safe for
// concurrent use.
//
// Invariant: each increase is counted once. Only the last sample of each source is kept, and
// the increase up to the next sample is spread over the time between the two.
type Tracker struct {
	rules []Rule
	// lastSamples is keyed by source.
	lastSamples map[string]Sample
	series      map[string]*series
	// firstSampleAt is the time of the first sample.
	firstSampleAt time.Time
}

// NewTracker returns a tracker without samples. The windows of the rules must not exceed
// WindowTicketLong.
func NewTracker(rules []Rule) *Tracker {
	return &Tracker{rules: rules, lastSamples: map[string]Sample{}, series: map[string]*series{}}
}

// Observe adds a sample. The samples of one source must be in chronological order; a sample
// that is not newer than the last one is rejected with a StaleSampleError. The first sample
// of a source is its baseline: requests counted before it are ignored, since their time is
// unknown.
func (t *Tracker) Observe(sample Sample) error {
	previous, known := t.lastSamples[sample.Source]
	if known && !sample.At.After(previous.At) {
		return &StaleSampleError{Source: sample.Source, At: sample.At, Last: previous.At}
	}
	if t.firstSampleAt.IsZero() || sample.At.Before(t.firstSampleAt) {
		t.firstSampleAt = sample.At
	}
	t.lastSamples[sample.Source] = sample
	t.evictOldestSource()
	for route, counts := range sample.Routes {
		s := t.series[route]
		if s == nil {
			s = newSeries(sample.At)
			t.series[route] = s
		}
		if known {
			s.spread(previous.At, sample.At, counts.increase(previous.Routes[route]))
		}
	}
	return nil
}

// evictOldestSource removes the least recently sampled source if there are more than
// MaxSources.
func (t *Tracker) evictOldestSource() {
	if len(t.lastSamples) <= MaxSources {
		return
	}
	oldest := ""
	for _, source := range slices.Sorted(maps.Keys(t.lastSamples)) {
		if oldest == "" || t.lastSamples[source].At.Before(t.lastSamples[oldest].At) {
			oldest = source
		}
	}
	delete(t.lastSamples, oldest)
}

// Report returns the burn rates and the verdict of each route with an objective, sorted by
// route name. Objectives must be in (0, 1).
func (t *Tracker) Report(now time.Time, objectives map[string]float64) []RouteReport {
	reports := make([]RouteReport, 0, len(objectives))
	for _, route := range slices.Sorted(maps.Keys(objectives)) {
		reports = append(reports, t.routeReport(now, route, objectives[route]))
	}
	return reports
}

// Routes returns the sorted names of all routes that occur in samples.
func (t *Tracker) Routes() []string { return slices.Sorted(maps.Keys(t.series)) }

func (t *Tracker) routeReport(now time.Time, route string, objective float64) RouteReport {
	report := RouteReport{Route: route, Objective: objective, Verdict: VerdictNoData}
	for _, window := range t.windows() {
		report.Windows = append(report.Windows, t.windowReport(now, route, objective, window))
	}
	if len(report.Windows) > 0 {
		report.Verdict = t.verdict(&report, report.Windows[len(report.Windows)-1].Counts.Total())
	}
	return report
}

// verdict returns the verdict of the first rule that matches. requests is the number of
// requests in the longest window.
func (t *Tracker) verdict(report *RouteReport, requests float64) Verdict {
	if requests == 0 {
		return VerdictNoData
	}
	verdict := VerdictOK
	for _, rule := range t.rules {
		if requests < rule.MinRequests {
			verdict = VerdictTooFew
		}
		if report.Rate(rule.ShortWindow) < rule.Threshold || report.Rate(rule.LongWindow) < rule.Threshold {
			continue
		}
		if rule.hasEnoughRequests(report.counts(rule.LongWindow)) {
			return rule.Verdict
		}
		verdict = VerdictTooFew
	}
	return verdict
}

// windows returns the distinct windows of all rules, sorted by increasing length.
func (t *Tracker) windows() []time.Duration {
	var windows []time.Duration
	for _, rule := range t.rules {
		windows = append(windows, rule.ShortWindow, rule.LongWindow)
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

func (t *Tracker) windowReport(now time.Time, route string, objective float64, window time.Duration) WindowReport {
	report := WindowReport{Window: window}
	if !t.firstSampleAt.IsZero() {
		report.Covered = min(window, max(0, now.Sub(t.firstSampleAt)))
	}
	if s := t.series[route]; s != nil {
		report.Counts = s.sum(now, window).rounded()
	}
	report.Rate = Rate(report.Counts, objective)
	return report
}
