package burn

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 11, 30, 8, 0, 0, 0, time.UTC)

const route = "ask"

// sampleGenerator feeds a Tracker with samples of one source.
type sampleGenerator struct {
	t       *testing.T
	tracker *Tracker
	source  string
	at      time.Time
	counts  Counts
}

func newSampleGenerator(t *testing.T, tracker *Tracker, source string) *sampleGenerator {
	g := &sampleGenerator{t: t, tracker: tracker, source: source, at: start}
	g.observe()
	return g
}

func (g *sampleGenerator) observe() {
	g.t.Helper()
	if err := g.tracker.Observe(Sample{Source: g.source, At: g.at, Routes: map[string]Counts{route: g.counts}}); err != nil {
		g.t.Fatal(err)
	}
}

// run adds a sample every step for the duration d, with constant numbers of good and bad
// requests per second.
func (g *sampleGenerator) run(d, step time.Duration, good, bad float64) {
	g.t.Helper()
	for end := g.at.Add(d); g.at.Before(end); g.observe() {
		g.at = g.at.Add(step)
		g.counts.InTime += good * step.Seconds()
		g.counts.Failed += bad * step.Seconds()
	}
}

func report(tracker *Tracker, now time.Time) RouteReport {
	return tracker.Report(now, map[string]float64{route: 0.99})[0]
}

func checkRate(t *testing.T, r RouteReport, window time.Duration, want float64) {
	t.Helper()
	if got := r.Rate(window); math.Abs(got-want) > 1e-6 {
		t.Errorf("burn rate over %s: got %v, want %v", window, got, want)
	}
}

// TestVerdicts guards against a page for failures that have ended or that are too few, and
// against a missed page or ticket. The objective is 0.99, so one bad request in 100 is a burn
// rate of 1.
func TestVerdicts(t *testing.T) {
	type phase struct {
		d         time.Duration
		good, bad float64
	}
	for _, test := range []struct {
		name   string
		phases []phase
		want   Verdict
		rates  map[time.Duration]float64
	}{
		{"within the objective", []phase{{6 * time.Hour, 99, 1}}, VerdictOK, map[time.Duration]float64{WindowPageShort: 1, WindowTicketLong: 1}},
		{"all requests fail for an hour", []phase{{5 * time.Hour, 100, 0}, {time.Hour, 0, 100}}, VerdictPage, map[time.Duration]float64{WindowPageLong: 100, WindowTicketLong: 100. / 6}},
		{"a failure burst that has ended", []phase{{5 * time.Hour, 100, 0}, {50 * time.Minute, 0, 100}, {10 * time.Minute, 100, 0}}, VerdictTicket, map[time.Duration]float64{WindowPageShort: 0, WindowTicketShort: 200. / 3}},
		{"a failure burst too short for the long window", []phase{{5*time.Hour + 55*time.Minute, 100, 0}, {5 * time.Minute, 90, 10}}, VerdictOK, map[time.Duration]float64{WindowPageShort: 10, WindowPageLong: 10. / 12}},
		{"a low failure rate for six hours", []phase{{6 * time.Hour, 93, 7}}, VerdictTicket, map[time.Duration]float64{WindowPageShort: 7, WindowTicketLong: 7}},
		{"just below the ticket threshold", []phase{{6 * time.Hour, 94.5, 5.5}}, VerdictOK, nil},
		{"failures older than the longest window", []phase{{time.Hour, 0, 100}, {6*time.Hour + time.Minute, 100, 0}}, VerdictOK, map[time.Duration]float64{WindowTicketLong: 0}},
		{"no requests", []phase{{6 * time.Hour, 0, 0}}, VerdictNoData, nil},
		{"a short history with a high burn rate", []phase{{2 * time.Minute, 50, 50}}, VerdictPage, map[time.Duration]float64{WindowTicketLong: 50}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker(DefaultRules())
			g := newSampleGenerator(t, tracker, "gateway-1")
			for _, p := range test.phases {
				g.run(p.d, 30*time.Second, p.good, p.bad)
			}
			got := report(tracker, g.at)
			if got.Verdict != test.want {
				t.Errorf("verdict: got %s, want %s (%+v)", got.Verdict, test.want, got.Windows)
			}
			for window, want := range test.rates {
				checkRate(t, got, window, want)
			}
		})
	}
}

// TestFewRequests guards against a page for one bad request to an idle route, and against
// minimums that hide an outage of a route with little traffic.
func TestFewRequests(t *testing.T) {
	for _, test := range []struct {
		name      string
		objective float64
		earlier   Counts
		recent    Counts
		want      Verdict
	}{
		{"one refused request", 0.99, Counts{}, Counts{Refused: 1}, VerdictTooFew},
		{"one request in time", 0.99, Counts{}, Counts{InTime: 1}, VerdictTooFew},
		{"one request below the minimum", 0.99, Counts{}, Counts{Failed: MinRequests - 1}, VerdictTooFew},
		{"the minimum number of requests", 0.99, Counts{}, Counts{Failed: MinRequests}, VerdictPage},
		{"enough requests and none bad", 0.99, Counts{}, Counts{InTime: MinRequests}, VerdictOK},
		{"one bad request, strict objective", 0.9999, Counts{}, Counts{InTime: MinRequests, Refused: 1}, VerdictTooFew},
		{"one bad request below the minimum", 0.9999, Counts{}, Counts{InTime: MinRequests, Refused: MinBadRequests - 1}, VerdictTooFew},
		{"the minimum number of bad requests", 0.9999, Counts{}, Counts{InTime: MinRequests, Refused: MinBadRequests}, VerdictPage},
		// The one-hour window has too few requests for a page, even if the six-hour window has
		// enough.
		{"too few requests in one hour", 0.99, Counts{InTime: 1000}, Counts{Failed: MinRequests - 1}, VerdictTooFew},
		{"too few requests for a page, enough for a ticket", 0.99, Counts{Failed: 1000}, Counts{Failed: MinRequests - 1}, VerdictTicket},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker(DefaultRules())
			g := newSampleGenerator(t, tracker, "gateway-1")
			g.at, g.counts = g.at.Add(time.Minute), test.earlier
			g.observe()
			g.at = g.at.Add(3 * time.Hour)
			g.observe()
			g.at, g.counts = g.at.Add(time.Minute), g.counts.add(test.recent)
			g.observe()
			got := tracker.Report(g.at, map[string]float64{route: test.objective})[0]
			if got.Verdict != test.want {
				t.Errorf("verdict: got %s, want %s (%+v)", got.Verdict, test.want, got.Windows)
			}
		})
	}
}

// TestBadResults guards against a result that is not counted against the error budget.
func TestBadResults(t *testing.T) {
	for _, bad := range []Counts{{Late: 1}, {Refused: 1}, {Failed: 1}} {
		if got := Rate(bad.add(Counts{InTime: 99}), 0.99); math.Abs(got-1) > 1e-9 {
			t.Errorf("%+v: got a burn rate of %v, want 1", bad, got)
		}
	}
	if got := Rate(Counts{}, 0.99); got != 0 {
		t.Errorf("no requests: got a burn rate of %v, want 0", got)
	}
}

// TestCounterReset guards against a negative increase after a counter reset, and against
// counting requests from before the first sample.
func TestCounterReset(t *testing.T) {
	tracker := NewTracker(DefaultRules())
	g := &sampleGenerator{t: t, tracker: tracker, source: "gateway-1", at: start, counts: Counts{InTime: 5000, Failed: 5000}}
	g.observe()
	g.run(time.Minute, 10*time.Second, 10, 0)
	g.counts = Counts{InTime: 40, Late: 10}
	g.at = g.at.Add(10 * time.Second)
	g.observe()
	got := report(tracker, g.at).Windows[0].Counts
	if diff := cmp.Diff(Counts{InTime: 640, Late: 10}, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

// TestMultipleSources guards against sources that overwrite each other and against samples
// that are counted twice or out of order.
func TestMultipleSources(t *testing.T) {
	tracker := NewTracker(DefaultRules())
	a, b := newSampleGenerator(t, tracker, "gateway-1"), newSampleGenerator(t, tracker, "gateway-2")
	a.run(time.Minute, 10*time.Second, 10, 0)
	b.run(time.Minute, 20*time.Second, 0, 10)
	got := report(tracker, a.at).Windows[0]
	if diff := cmp.Diff(Counts{InTime: 600, Failed: 600}, got.Counts); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if got.Covered != time.Minute {
		t.Errorf("covered: got %s, want 1m", got.Covered)
	}
	err := tracker.Observe(Sample{Source: "gateway-1", At: a.at, Routes: map[string]Counts{route: {Failed: 1e6}}})
	var stale *StaleSampleError
	if !errors.As(err, &stale) {
		t.Errorf("a repeated sample: got %v, want a StaleSampleError", err)
	}
	if after := report(tracker, a.at).Windows[0]; after != got {
		t.Errorf("a rejected sample changed the report to %+v", after)
	}
}

// TestSparseSamples guards against an increase that is attributed to one window as a whole
// although it occurred over a longer time: 600 requests in 10 min are 300 in the last 5 min.
func TestSparseSamples(t *testing.T) {
	tracker := NewTracker(DefaultRules())
	g := newSampleGenerator(t, tracker, "gateway-1")
	g.run(10*time.Minute, 10*time.Minute, 1, 0)
	r := report(tracker, g.at)
	if got := r.Windows[0].Counts.InTime; math.Abs(got-300) > 1e-6 {
		t.Errorf("requests in 5 min: got %v, want 300", got)
	}
	g.run(24*time.Hour, 24*time.Hour, 1, 0)
	r = report(tracker, g.at)
	if got := r.Windows[len(r.Windows)-1].Counts.InTime; math.Abs(got-6*3600) > 1e-3 {
		t.Errorf("requests in 6 h after a gap: got %v, want %v", got, 6*3600)
	}
}

// TestSourceLimit guards against memory use that grows with each new source.
func TestSourceLimit(t *testing.T) {
	tracker := NewTracker(DefaultRules())
	for i := range MaxSources + 3 {
		source := time.Duration(i).String()
		if err := tracker.Observe(Sample{Source: source, At: start.Add(time.Duration(i) * time.Second)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(tracker.lastSamples) != MaxSources {
		t.Errorf("got %d sources, want %d", len(tracker.lastSamples), MaxSources)
	}
	if _, kept := tracker.lastSamples["0s"]; kept {
		t.Error("the least recently sampled source was kept")
	}
}

// TestCost guards against wasted cost that is added to used cost, and against sums that depend
// on the order in which the sources are added.
func TestCost(t *testing.T) {
	aggregator := NewCostAggregator()
	aggregator.AddStage(StageKey{"ask", "encode", "encoders"}, Cost{Used: 1})
	aggregator.AddStage(StageKey{"ask", "encode", "encoders"}, Cost{Wasted: 0.5})
	aggregator.AddStage(StageKey{"ask", "generate", "engines"}, Cost{Used: 6, Wasted: 2})
	aggregator.AddStage(StageKey{"book", "book", "bookings"}, Cost{Used: 2})
	aggregator.AddWorkspace(WorkspaceKey{"north", "ask"}, Cost{Unsplit: 3})
	aggregator.AddWorkspace(WorkspaceKey{"south", "ask"}, Cost{Unsplit: 4})
	aggregator.AddWorkspace(WorkspaceKey{"north", "ask"}, Cost{Unsplit: 2})
	want := CostReport{
		Total: Cost{Used: 9, Wasted: 2.5},
		Stages: []StageCost{
			{StageKey{"ask", "generate", "engines"}, Cost{Used: 6, Wasted: 2}},
			{StageKey{"book", "book", "bookings"}, Cost{Used: 2}},
			{StageKey{"ask", "encode", "encoders"}, Cost{Used: 1, Wasted: 0.5}},
		},
		Routes: []RouteCost{{"ask", Cost{Used: 7, Wasted: 2.5}}, {"book", Cost{Used: 2}}},
		Workspaces: []WorkspaceCost{
			{WorkspaceKey{"north", "ask"}, Cost{Unsplit: 5}},
			{WorkspaceKey{"south", "ask"}, Cost{Unsplit: 4}},
		},
	}
	got := aggregator.Report()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	if share := got.Stages[0].WastedShare(); share != 0.25 {
		t.Errorf("wasted share: got %v, want 0.25", share)
	}
}
