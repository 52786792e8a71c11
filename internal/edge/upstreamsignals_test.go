package edge

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

// testDrainTime is long, so that it does not pass while a test runs on a slow machine.
const testDrainTime = time.Hour

// signalClock is the clock of the signals of a fleet, which the test advances.
type signalClock struct {
	ahead atomic.Int64
	// beforeRead, if set, is called before each reading.
	beforeRead atomic.Pointer[func()]
}

func (c *signalClock) advance(d time.Duration) { c.ahead.Add(int64(d)) }

// startSignalFleet starts VMs with a drain time whose signals follow the returned clock.
func startSignalFleet(t *testing.T, n int) (*testFleet, *signalClock) {
	c := &signalClock{}
	f := startFleetWith(t, n, func(s *Settings) { s.DrainTime, s.MemoryBytes = testDrainTime, 184<<20 }, func(s *Server) {
		s.signals.now = func() clock.Instant {
			if f := c.beforeRead.Load(); f != nil {
				(*f)()
			}
			return bootclock.Now().Add(time.Duration(c.ahead.Load()))
		}
	})
	return f, c
}

// signallingUpstreams returns upstreams that add the header to their responses once it is set. The
// response with a pause is a refusal; without notRun it does not say that the request has not run.
func signallingUpstreams(t *testing.T, n int, notRun bool) ([]*testUpstream, []*atomic.Pointer[[2]string]) {
	upstreams, signals := make([]*testUpstream, n), make([]*atomic.Pointer[[2]string], n)
	for i := range upstreams {
		signal := &atomic.Pointer[[2]string]{}
		signals[i] = signal
		upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(w http.ResponseWriter, _ *http.Request) {
			if header := signal.Load(); header != nil {
				w.Header().Set(header[0], header[1])
				if header[0] == "Pause" {
					if notRun {
						w.Header().Set("Not-Run", "1")
					}
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			}
			writeSealed(w, "body")
		})
	}
	return upstreams, signals
}

// totalRuns returns the number of requests that reached the upstream.
func (u *testUpstream) totalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, runs := range u.runs {
		n += runs
	}
	return n
}

func publishRoute(f *testFleet, kind catalog.RequestKind, upstreams []*testUpstream) {
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", kind, nil)}}, catalogUpstreams("p", upstreams...)...)
}

// sendMany sends n requests to a VM and returns the number of responses with each status.
func sendMany(t *testing.T, f *testFleet, vm, n int, prefix string) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for i := range n {
		response, _, err := f.send(vm, fmt.Sprint(prefix, i), "/x/", nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses[response.StatusCode]++
	}
	return statuses
}

// sendUntil sends requests to a VM until the upstream has received one.
func sendUntil(t *testing.T, f *testFleet, vm int, u *testUpstream, prefix string) {
	t.Helper()
	before := u.totalRuns()
	for i := 0; u.totalRuns() == before; i++ {
		if i == 1000 {
			t.Fatal("the upstream gets no requests")
		}
		if _, _, err := f.send(vm, fmt.Sprint(prefix, i), "/x/", nil); err != nil {
			t.Fatal(err)
		}
	}
}

const manyRequests = 30

// TestLeavingUpstream guards against new requests for a leaving upstream while another one is in
// service, on the VM that received the signal and on the others, and against a signal that outlives a
// restart under the same ID.
func TestLeavingUpstream(t *testing.T) {
	f, _ := startSignalFleet(t, 2)
	upstreams, signals := signallingUpstreams(t, 2, true)
	publishRoute(f, catalog.Idempotent, upstreams)
	signals[0].Store(&[2]string{"Leaving", "1"})
	sendUntil(t, f, 0, upstreams[0], "first-")
	before := upstreams[0].totalRuns()
	if statuses := sendMany(t, f, 0, manyRequests, "then-"); statuses[http.StatusOK] != manyRequests {
		t.Errorf("statuses %v", statuses)
	}
	await(t, "a report to the other VM", func() bool { return f.servers[1].signals.count.Load() == 1 })
	if statuses := sendMany(t, f, 1, manyRequests, "other-"); statuses[http.StatusOK] != manyRequests {
		t.Errorf("statuses %v at the other VM", statuses)
	}
	if got := upstreams[0].totalRuns(); got != before {
		t.Errorf("the leaving upstream received %d more requests", got-before)
	}
	for name, s := range map[string]*Server{signalLeaving: f.servers[0], signalLeavingReported: f.servers[1]} {
		if got := testutil.ToFloat64(s.metrics.upstreamSignals.WithLabelValues(name)); got != 1 {
			t.Errorf("%v signals %s", got, name)
		}
	}
	signals[0].Store(nil)
	restarted := catalogUpstreams("p", upstreams[0])[0]
	restarted.StartID++
	f.store.put("u/"+restarted.ID, &restarted)
	await(t, "the restarted upstream", func() bool { return f.servers[0].view.Load().ByID["u0"].StartID == restarted.StartID })
	sendUntil(t, f, 0, upstreams[0], "restarted-")
}

// TestLastUpstreamLeaves guards against a refusal while the only upstream may still get work, and
// against work for it later than the margin before the drain time.
func TestLastUpstreamLeaves(t *testing.T) {
	f, c := startSignalFleet(t, 1)
	upstreams, signals := signallingUpstreams(t, 1, true)
	publishRoute(f, catalog.NonIdempotent, upstreams)
	signals[0].Store(&[2]string{"Leaving", "1"})
	if statuses := sendMany(t, f, 0, 3, "early-"); statuses[http.StatusOK] != 3 {
		t.Errorf("statuses %v", statuses)
	}
	c.advance(testDrainTime - 500*time.Millisecond)
	if statuses := sendMany(t, f, 0, 3, "late-"); statuses[http.StatusServiceUnavailable] != 3 {
		t.Errorf("statuses %v after the last work", statuses)
	}
	if got := upstreams[0].totalRuns(); got != 3 {
		t.Errorf("%d requests reached the upstream", got)
	}
}

// TestStandstillBeforeSend guards against a request that is sent after the time of the last work for a
// leaving upstream, since the process stood still after it had chosen the upstream.
func TestStandstillBeforeSend(t *testing.T) {
	f, c := startSignalFleet(t, 1)
	upstreams, signals := signallingUpstreams(t, 1, true)
	publishRoute(f, catalog.NonIdempotent, upstreams)
	signals[0].Store(&[2]string{"Leaving", "1"})
	sendMany(t, f, 0, 1, "first-")
	s := f.servers[0]
	standStill := func() {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		if s.upstreams.states["u0"].InFlight > 0 {
			c.ahead.Store(int64(testDrainTime))
		}
	}
	c.beforeRead.Store(&standStill)
	if statuses := sendMany(t, f, 0, 1, "late-"); statuses[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v", statuses)
	}
	if got := upstreams[0].totalRuns(); got != 1 {
		t.Errorf("%d requests reached the upstream, expected 1", got)
	}
	if got := testutil.ToFloat64(s.metrics.callsWithheld.WithLabelValues("request_send")); got != 1 {
		t.Errorf("%v requests withheld just before they were sent", got)
	}
}

// TestPausedUpstream guards against requests for an upstream that asked for no traffic, against the
// pause counting as a failure, and against a pause that does not end or that other VMs apply.
func TestPausedUpstream(t *testing.T) {
	f, c := startSignalFleet(t, 2)
	upstreams, signals := signallingUpstreams(t, 2, true)
	publishRoute(f, catalog.NonIdempotent, upstreams)
	signals[0].Store(&[2]string{"Pause", "30m"})
	sendUntil(t, f, 0, upstreams[0], "first-")
	before := upstreams[0].totalRuns()
	if statuses := sendMany(t, f, 0, manyRequests, "then-"); statuses[http.StatusOK] != manyRequests {
		t.Errorf("statuses %v", statuses)
	}
	if got := upstreams[0].totalRuns(); got != before {
		t.Errorf("the paused upstream received %d more requests", got-before)
	}
	signals[0].Store(nil)
	sendUntil(t, f, 1, upstreams[0], "other-")
	c.advance(30 * time.Minute)
	sendUntil(t, f, 0, upstreams[0], "after-")
}

// TestPausedPool guards against requests that wait for or reach upstreams which all asked for no
// traffic, and against a Retry-After before the first of them accepts traffic.
func TestPausedPool(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	upstreams, signals := signallingUpstreams(t, 2, true)
	publishRoute(f, catalog.NonIdempotent, upstreams)
	signals[0].Store(&[2]string{"Pause", "40m"})
	signals[1].Store(&[2]string{"Pause", "30m"})
	await(t, "a pause of the pool", func() bool {
		sendMany(t, f, 0, 1, "first-")
		return f.servers[0].signals.count.Load() == 2
	})
	total := upstreams[0].totalRuns() + upstreams[1].totalRuns()
	if total != 2 {
		t.Errorf("%d requests reached the upstreams", total)
	}
	response, body, err := f.send(0, "refused", "/x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	earliest, _ := f.servers[0].signals.poolBlock(bootclock.Now(), f.servers[0].view.Load().InService["p"])
	left := earliest.Sub(bootclock.Now()).Seconds()
	if response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"overloaded"`) || err != nil || retryAfter < left || retryAfter > 30*60+1 {
		t.Errorf("status %d, Retry-After %q with %v s left, body %s", response.StatusCode, response.Header.Get("Retry-After"), left, body)
	}
	if got := upstreams[0].totalRuns() + upstreams[1].totalRuns(); got != total {
		t.Errorf("%d more requests reached the upstreams", got-total)
	}
}

// TestPoolBlock guards against a refusal while an upstream of the pool may be used, and against a
// Retry-After later than the first end of a pause.
func TestPoolBlock(t *testing.T) {
	const now = clock.Instant(time.Hour)
	s := newUpstreamSignals(func() clock.Instant { return now }, zap.NewNop(), newMetrics(prometheus.NewRegistry()), time.Second, func([]upstreamsignal.Instance) {})
	first, second := &registry.Entry{}, &registry.Entry{}
	first.ID, second.ID = "u-1", "u-2"
	pool := []*registry.Entry{first, second}
	s.recordPause(first, 5*time.Second)
	if _, blocked := s.poolBlock(now, pool); blocked {
		t.Error("a pool with a usable upstream is blocked")
	}
	if _, blocked := s.poolBlock(now, nil); blocked {
		t.Error("an empty pool is blocked")
	}
	s.recordPause(second, 2*time.Second)
	if until, blocked := s.poolBlock(now, pool); !blocked || until != now.Add(2*time.Second) {
		t.Errorf("blocked %t until %d", blocked, until)
	}
	s.now = func() clock.Instant { return now.Add(2 * time.Second) }
	if _, blocked := s.poolBlock(now, pool); blocked {
		t.Error("the pool is blocked after the first end of a pause")
	}
}

// TestPauseAfterRun guards against the statement that a request has not run, and against a second
// run, if the upstream that asks for no traffic does not say so.
func TestPauseAfterRun(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	upstreams, signals := signallingUpstreams(t, 2, false)
	publishRoute(f, catalog.NonIdempotent, upstreams)
	for _, signal := range signals {
		signal.Store(&[2]string{"Pause", "30m"})
	}
	statuses := sendMany(t, f, 0, 4, "r")
	if statuses[http.StatusBadGateway] != 2 || statuses[http.StatusServiceUnavailable] != 2 {
		t.Errorf("statuses %v", statuses)
	}
	for i, u := range upstreams {
		if got := u.totalRuns(); got != 1 {
			t.Errorf("%d requests reached upstream %d", got, i)
		}
	}
}

// TestSignalsOfAnotherUpstream guards against signals that count for the upstream that was addressed
// although another one at its address sent them.
func TestSignalsOfAnotherUpstream(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	upstreams, _ := signallingUpstreams(t, 2, true)
	publishRoute(f, catalog.Idempotent, upstreams)
	s := f.servers[0]
	view := s.view.Load()
	s.signals.record(view, view.ByID["u0"], ResponseInfo{Misdirected: true, Leaving: true, Pause: time.Minute})
	s.signals.record(view, view.ByID["u0"], ResponseInfo{Misdirected: true, Leaving: true, UpstreamID: "unknown"})
	if s.signals.count.Load() != 0 {
		t.Error("a signal of an unknown upstream was recorded")
	}
	s.signals.record(view, view.ByID["u0"], ResponseInfo{Misdirected: true, Leaving: true, UpstreamID: "u1"})
	if s.signals.table.IsLeaving(instanceOf(view.ByID["u0"])) || !s.signals.table.IsLeaving(instanceOf(view.ByID["u1"])) {
		t.Error("the signal does not count for its sender")
	}
	s.signals.record(view, view.ByID["u0"], ResponseInfo{PauseInvalid: true})
	if got := testutil.ToFloat64(s.metrics.upstreamSignals.WithLabelValues(signalInvalid)); got != 1 || s.signals.count.Load() != 1 {
		t.Errorf("%v invalid pauses counted, %d instances", got, s.signals.count.Load())
	}
}

// TestSignalsOfStageUpstreams guards against stage calls, memory queries and releases for upstreams
// that asked for no traffic or have left.
func TestSignalsOfStageUpstreams(t *testing.T) {
	f, c := startSignalFleet(t, 1)
	worker, final := newTestUpstream(t, "w", nil), newTestUpstream(t, "u", nil)
	batch := &catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, ResultTTL: time.Minute}
	route := testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Stages = []catalog.Stage{{Pool: "s", ResultBytes: 1}} })
	config := &catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "s": {Name: "s", Batch: batch}}, Routes: []catalog.Route{route}}
	f.publish(config, append(catalogUpstreams("p", final), catalogUpstreams("s", worker)...)...)
	if statuses := sendMany(t, f, 0, 1, "first-"); statuses[http.StatusOK] != 1 {
		t.Fatalf("statuses %v", statuses)
	}
	s, entry := f.servers[0], f.servers[0].view.Load().ByID["w"]
	shard := s.view.Load().ShardsOf["s"][0]
	runner := s.poolRunner(shard.Name)
	calls := func() int { worker.mu.Lock(); defer worker.mu.Unlock(); return len(worker.calls) }
	released := func() int { worker.mu.Lock(); defer worker.mu.Unlock(); return len(worker.released) }
	await(t, "the release of the result", func() bool { return released() == 1 })

	s.signals.record(s.view.Load(), entry, ResponseInfo{Pause: 20 * time.Minute})
	response, _, err := f.send(0, "paused", "/x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); response.StatusCode != http.StatusServiceUnavailable || after < 10*60 {
		t.Errorf("status %d, Retry-After %v", response.StatusCode, after)
	}
	if runner.sendRelease(entry.Address, []string{"x"}) {
		t.Error("a release was sent to a paused upstream")
	}
	runner.queryMemory("w", entry.Address)
	for _, call := range []string{"release", "memory_query"} {
		if got := testutil.ToFloat64(s.metrics.callsWithheld.WithLabelValues(call)); got != 1 {
			t.Errorf("%v calls %s withheld", got, call)
		}
	}
	if calls() != 1 || released() != 1 {
		t.Errorf("%d calls and %d releases", calls(), released())
	}

	c.advance(20 * time.Minute)
	s.signals.record(s.view.Load(), entry, ResponseInfo{Leaving: true})
	if statuses := sendMany(t, f, 0, 1, "leaving-"); statuses[http.StatusOK] != 1 {
		t.Errorf("statuses %v at the last upstream, which leaves", statuses)
	}
	c.advance(testDrainTime)
	if statuses := sendMany(t, f, 0, 1, "left-"); statuses[http.StatusServiceUnavailable] != 1 || calls() != 2 {
		t.Errorf("statuses %v, %d calls after the drain time", statuses, calls())
	}
}

// TestSignalOfUpstreamRegisteredMeanwhile guards against the loss of a signal of an upstream that
// registered after the request had arrived and responds at the address of another one.
func TestSignalOfUpstreamRegisteredMeanwhile(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	s := f.servers[0]
	newer := catalog.Upstream{ID: "newer", Pool: "other", Address: "127.0.0.1:1", Zone: "zone-a", StartID: 1}
	addressed := newTestUpstream(t, "u0", func(w http.ResponseWriter, _ *http.Request) {
		f.store.put("u/"+newer.ID, &newer)
		await(t, "the registration", func() bool { return s.view.Load().ByID[newer.ID] != nil })
		w.Header().Set("Upstream-Id", newer.ID)
		w.Header().Set("Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	publishRoute(f, catalog.NonIdempotent, []*testUpstream{addressed})
	sendMany(t, f, 0, 1, "r")
	s.signals.mu.Lock()
	defer s.signals.mu.Unlock()
	if i := (upstreamsignal.Instance{ID: newer.ID, Start: newer.StartID}); !s.signals.table.IsLeaving(i) || s.signals.table.Len() != 1 {
		t.Errorf("leaving %t, %d instances", s.signals.table.IsLeaving(i), s.signals.table.Len())
	}
}

// TestReportBeforeRegistration guards against work for an upstream that another VM reported as leaving
// before this VM knew the upstream: a stage call at its registration, or a request that arrived
// before it.
func TestReportBeforeRegistration(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	s := f.servers[0]
	upstreams, _ := signallingUpstreams(t, 2, true)
	publishRoute(f, catalog.NonIdempotent, upstreams[:1])
	old := s.view.Load()
	registered := catalogUpstreams("p", upstreams[1])[0]
	s.signals.recordReport(upstreamsignal.Instance{ID: registered.ID, Start: registered.StartID})
	f.store.put("u/"+registered.ID, &registered)
	await(t, "the registration", func() bool { return s.view.Load().ByID["u1"] != nil })
	view := s.view.Load()

	request := &transaction{s: s, view: old, pool: "p", route: &catalog.Route{}, arrived: s.signals.now()}
	if got := request.placementRequest(view).Restrictions["u1"]; got != placement.Excluded {
		t.Errorf("restriction %d of a leaving upstream that is newer than the request", got)
	}

	s.signals.record(view, view.ByID["u0"], ResponseInfo{Pause: time.Minute})
	runner, now := newPoolRunner("p", s), s.now()
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, ResultTTL: time.Minute}
	runner.configure(batch, []*registry.Entry{view.ByID["u0"]})
	runner.reserve(stagepool.Reservation{StageID: stagepool.StageID{Request: "r"}, Pieces: 1, Arrives: now, Due: now.Add(time.Hour)})
	runner.submit(stagepool.Job{Request: "r", Pieces: 1, Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, &stageWaiter{done: make(chan stageResult, 1)})
	runner.configure(batch, []*registry.Entry{view.ByID["u0"], view.ByID["u1"]})
	runner.locked(func() {
		if got := runner.scheduler.WaitingPieces(); got != 1 {
			t.Errorf("%d pieces wait for the end of the pause, expected 1", got)
		}
	})
}

// TestStageCallSignals guards against signals in the responses to stage calls that are not decoded,
// also if the rest of the response is unusable, and against a call that is sent although a pause began
// after its dispatch.
func TestStageCallSignals(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	raw := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
		return u.write(conn, "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 1\r\n\r\n!")
	})
	pausing := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
		return u.write(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nPause: 30m\r\nContent-Length: 0\r\n\r\n")
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool()}, raw.entry("u0"), pausing.entry("u1"))
	s := f.servers[0]
	runner := newPoolRunner("p", s)
	call := stagepool.Call{Upstream: "u0", Pieces: []stagepool.CallPiece{{}}, Timeout: 10 * time.Second}
	if outcome, _, _, _ := runner.sendCall(call, raw.entry("u0").Address); outcome != stagepool.CallFailed {
		t.Errorf("outcome %d of an unusable response", outcome)
	}
	call.Upstream = "u1"
	if outcome, _, _, _ := runner.sendCall(call, pausing.entry("u1").Address); outcome != stagepool.CallPaused {
		t.Errorf("outcome %d of a refusal with a pause", outcome)
	}
	if outcome, _, _, _ := runner.sendCall(call, pausing.entry("u1").Address); outcome != stagepool.CallWithheld || pausing.requests.Load() != 1 {
		t.Errorf("outcome %d of a call in the pause, %d calls sent", outcome, pausing.requests.Load())
	}
	view := s.view.Load()
	if _, paused := s.signals.table.PausedUntil(s.signals.now(), instanceOf(view.ByID["u1"])); !paused || !s.signals.table.IsLeaving(instanceOf(view.ByID["u0"])) {
		t.Error("a signal was lost")
	}
}

// TestPausedStageOfAnotherOwner guards against a request that waits for a paused pool of another VM,
// and against a Retry-After before the pause ends.
func TestPausedStageOfAnotherOwner(t *testing.T) {
	f, _ := startSignalFleet(t, 2)
	worker, final := newTestUpstream(t, "w", nil), newTestUpstream(t, "u", nil)
	batch := &catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, ResultTTL: time.Minute}
	route := testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Stages = []catalog.Stage{{Pool: "s", ResultBytes: 1}} })
	config := &catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "s": {Name: "s", Batch: batch}}, Routes: []catalog.Route{route}}
	f.publish(config, append(catalogUpstreams("p", final), catalogUpstreams("s", worker)...)...)
	owner := f.awaitOwner(t, f.servers[0].view.Load().ShardsOf["s"][0].Name)
	other := 0
	for vm, s := range f.servers {
		if s.settings.VM != owner {
			other = vm
			continue
		}
		view := s.view.Load()
		s.signals.record(view, view.ByID["w"], ResponseInfo{Pause: time.Hour})
	}
	response, body, err := f.send(other, "r", "/x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode != http.StatusServiceUnavailable || after < 30*60 || len(worker.calls) != 0 {
		t.Errorf("status %d, Retry-After %v, body %s", response.StatusCode, after, body)
	}
}
