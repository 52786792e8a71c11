package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestNoRequestIsTakenLateInStop guards against a request that is taken after the time for new
// requests is over, on a connection that was open before, and is then cut off with the process.
func TestNoRequestIsTakenLateInStop(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.stop.refusalPeriod = 2 * time.Second })
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	address := f.servers[0].settings.Listen
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f.stops[0]()
	await(t, "the VM takes no new connections", func() bool {
		other, err := net.Dial("tcp", address)
		return err != nil || other.Close() != nil
	})
	if _, err := io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: late\r\nContent-Length: 1\r\n\r\nb"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" || u.runCount("late") != 0 {
		t.Errorf("status %d, close %v, header %v, %d runs; expected 503 without a run", response.StatusCode, response.Close, response.Header, u.runCount("late"))
	}
}

// TestLateRequestsOfEachKindAreRefused guards against a request of any kind that is taken late in a planned
// stop on a connection which has served requests before, and is then cut off with the process.
func TestLateRequestsOfEachKindAreRefused(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.stop.refusalPeriod = 5 * time.Second })
	u, stage := newTestUpstream(t, "u", func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "stream") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		writeSealed(w, sseEvent(1))
	}), newTestUpstream(t, "s", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	kinds := map[string]struct {
		kind   catalog.RequestKind
		change func(*catalog.Route)
		header string
	}{
		"/unsafe/":         {kind: catalog.NonIdempotent},
		"/safe/":           {kind: catalog.Idempotent},
		"/stream/":         {kind: catalog.Stream},
		"/resumed-stream/": {kind: catalog.Stream, change: func(r *catalog.Route) { r.Resumable = true }, header: "Last-Event: 0\r\nResumed: begun\r\n"},
		"/staged/":         {kind: catalog.NonIdempotent, change: func(r *catalog.Route) { r.Stages = []catalog.Stage{{Pool: "a"}} }, header: "Pieces: 1\r\n"},
	}
	var routes []catalog.Route
	for path, kind := range kinds {
		routes = append(routes, testRoute(path, kind.kind, kind.change))
	}
	f.publish(&catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}}, Routes: routes},
		append(catalogUpstreams("p", u), catalogUpstreams("a", stage)...)...)
	s := f.servers[0]
	callers := map[string]*rawCaller{}
	send := func(path, id string) *http.Response {
		t.Helper()
		caller := callers[path]
		if _, err := fmt.Fprintf(caller.conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest: %s\r\n%sContent-Length: 1\r\n\r\nb", path, id, kinds[path].header); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		response, _, err := caller.read(http.MethodPost)
		if err != nil {
			t.Fatalf("%s: no answer: %v", path, err)
		}
		return response
	}
	if _, _, err := f.send(0, "begun", "/resumed-stream/", nil); err != nil {
		t.Fatal(err)
	}
	for path := range kinds {
		callers[path] = newRawCaller(t, f)
		if response := send(path, "early "+path); response.StatusCode != http.StatusOK {
			t.Fatalf("%s: status %d before the stop", path, response.StatusCode)
		}
	}
	f.stops[0]()
	await(t, "the time for new requests is over", func() bool {
		schedule := s.stop.schedule.Load()
		return schedule != nil && s.now() > schedule.acceptUntil
	})
	for path := range kinds {
		response := send(path, "late "+path)
		if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" || u.runCount("late "+path) != 0 {
			t.Errorf("%s: status %d, close %v, header %v, %d runs; expected 503 without a run", path, response.StatusCode, response.Close, response.Header, u.runCount("late "+path))
		}
	}
	stage.mu.Lock()
	defer stage.mu.Unlock()
	if len(stage.calls) != 1 {
		t.Errorf("%d stage calls, expected that of the early request", len(stage.calls))
	}
}

// TestRequestsOutlivingStopAreAnswered guards against requests that end with a closed connection
// when a VM stops, although their callers could be told whether they may have run.
func TestRequestsOutlivingStopAreAnswered(t *testing.T) {
	f := startFleet(t, 1, func(s *Settings) { s.GracePeriod = time.Second })
	model := newTestUpstream(t, "m", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	stage := newTestUpstream(t, "s", nil)
	release := make(chan struct{})
	stage.beforeStage = func() { <-release }
	defer close(release)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	long := func(r *catalog.Route) { r.Timeout, r.Objective = time.Minute, time.Minute }
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{
			testRoute("/plain/", catalog.NonIdempotent, long),
			testRoute("/staged/", catalog.NonIdempotent, func(r *catalog.Route) {
				long(r)
				r.Stages = []catalog.Stage{{Pool: "a"}}
			}),
		},
	}, append(catalogUpstreams("p", model), catalogUpstreams("a", stage)...)...)
	statuses := map[string]chan int{"/plain/": make(chan int, 1), "/staged/": make(chan int, 1)}
	for path, status := range statuses {
		go func() {
			response, _, err := f.send(0, path, path, map[string]string{"Pieces": "1"})
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
	}
	await(t, "both requests under way", func() bool { return model.runCount("/plain/") == 1 && f.servers[0].inFlight.Load() == 2 })
	f.stops[0]()
	<-f.done[0]
	for path, want := range map[string]int{"/plain/": http.StatusBadGateway, "/staged/": http.StatusServiceUnavailable} {
		select {
		case got := <-statuses[path]:
			if got != want {
				t.Errorf("%s: status %d, expected %d", path, got, want)
			}
		case <-time.After(time.Second):
			t.Errorf("%s: no answer when the process ended, expected %d", path, want)
		}
	}
}

// TestUnfinishedRequestsAreAnsweredAtCut guards against requests that get no answer when a VM stops,
// since their body or the first configuration has not arrived yet.
func TestUnfinishedRequestsAreAnsweredAtCut(t *testing.T) {
	for name, test := range map[string]struct {
		body         string
		isConfigured bool
	}{
		"part of the body": {body: "b", isConfigured: true},
		"no body":          {isConfigured: true},
		"no configuration": {body: "body"},
		"neither":          {},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleetWith(t, 1, func(s *Settings) { s.GracePeriod = time.Second }, func(s *Server) { s.startupWait = time.Minute })
			if test.isConfigured {
				u := newTestUpstream(t, "u", nil)
				f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
					catalogUpstreams("p", u)...)
			}
			s := f.servers[0]
			var conn net.Conn
			await(t, "a connection", func() (ok bool) {
				var err error
				conn, err = net.Dial("tcp", s.settings.Listen)
				return err == nil
			})
			defer conn.Close()
			head := "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: r\r\nContent-Length: 4\r\n\r\n"
			if _, err := io.WriteString(conn, head+test.body); err != nil {
				t.Fatal(err)
			}
			await(t, "the request under way", func() bool { return s.inFlight.Load() == 1 })
			f.stops[0]()
			<-f.done[0]
			if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer when the process ended: %v", err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, header %v; expected 503 with Retry-After", response.StatusCode, response.Header)
			}
		})
	}
}

// TestShortGracePeriodIsUsed guards against requests that are cut off well before a short grace
// period ends, and against a VM that leaves no time for their responses.
func TestShortGracePeriodIsUsed(t *testing.T) {
	for _, gracePeriod := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		schedule := newPlannedStop().begin(0, gracePeriod)
		if runTime := schedule.cutAt.Sub(0); runTime < gracePeriod*5/6 {
			t.Errorf("grace period %v: requests are cut off after %v, expected the last sixth", gracePeriod, runTime)
		}
		if !(schedule.acceptUntil < schedule.cutAt && schedule.cutAt < schedule.exitAt && schedule.exitAt < clock.Instant(gracePeriod)) {
			t.Errorf("grace period %v: %+v is not in order", gracePeriod, schedule)
		}
	}
}

// TestNoBodyIsTakenLateInStop guards against a request that begins to run after the time for new
// requests is over, since its header arrived before and its body later, and is then cut off.
func TestNoBodyIsTakenLateInStop(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	s := f.servers[0]
	conn, err := net.Dial("tcp", s.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: slow\r\nContent-Length: 2\r\n\r\nb"); err != nil {
		t.Fatal(err)
	}
	await(t, "the request under way", func() bool { return s.inFlight.Load() == 1 })
	f.stops[0]()
	await(t, "the time for new requests is over", func() bool {
		schedule := s.stop.schedule.Load()
		return schedule != nil && s.now() > schedule.acceptUntil
	})
	if _, err := io.WriteString(conn, "b"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || u.runCount("slow") != 0 {
		t.Errorf("status %d, header %v, %d runs; expected 503 without a run", response.StatusCode, response.Header, u.runCount("slow"))
	}
}

// TestAnswersInStopCloseConnection guards against callers that go on using a connection to a VM that
// stops, since their request had arrived before the stop signal. Their next request is refused.
func TestAnswersInStopCloseConnection(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.stop.balancerDelay = 2 * time.Second })
	release := make(chan struct{})
	u := newTestUpstream(t, "u", func(w http.ResponseWriter, r *http.Request) {
		<-release
		switch r.URL.Path {
		case "/failed/":
			return
		case "/stream/":
			w.Header().Set("Content-Type", "text/event-stream")
		}
		writeSealed(w, "id: 1\ndata: x\n\n")
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
		testRoute("/whole/", catalog.NonIdempotent, nil), testRoute("/stream/", catalog.Stream, nil),
		testRoute("/failed/", catalog.NonIdempotent, nil),
	}}, catalogUpstreams("p", u)...)
	s := f.servers[0]
	answers := map[string]chan *http.Response{}
	for _, path := range []string{"/whole/", "/stream/", "/failed/"} {
		conn, err := net.Dial("tcp", s.settings.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nRequest: "+path+"\r\nContent-Length: 1\r\n\r\nb"); err != nil {
			t.Fatal(err)
		}
		answers[path] = make(chan *http.Response, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
			}
			answers[path] <- response
		}()
	}
	await(t, "all requests under way", func() bool { return s.inFlight.Load() == 3 })
	f.stops[0]()
	await(t, "the VM stops", s.stop.isStopping)
	close(release)
	for path, answer := range answers {
		if response := <-answer; response != nil && !response.Close {
			t.Errorf("%s: status %d without Connection: close", path, response.StatusCode)
		}
	}
}

// TestRequestsWhileOthersEndAreRefused guards against a request that is read and dropped without an
// answer, since it arrives on an open connection while a VM that stops waits for other requests.
func TestRequestsWhileOthersEndAreRefused(t *testing.T) {
	f := startFleet(t, 1, nil)
	release := make(chan struct{})
	defer close(release)
	u := newTestUpstream(t, "u", func(_ http.ResponseWriter, _ *http.Request) { <-release })
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	s := f.servers[0]
	const request = "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: %s\r\nContent-Length: 1\r\n\r\nb"
	running, idle := dialCaller(t, s), dialCaller(t, s)
	if _, err := fmt.Fprintf(running, request, "running"); err != nil {
		t.Fatal(err)
	}
	await(t, "a request runs", func() bool { return u.runCount("running") == 1 })
	f.stops[0]()
	await(t, "the VM stops", s.stop.isStopping)
	// Long after the refusal period, which is 0 in tests.
	<-time.After(500 * time.Millisecond)
	if _, err := fmt.Fprintf(idle, request, "late"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || u.runCount("late") != 0 {
		t.Errorf("status %d, %d runs; expected 503 without a run", response.StatusCode, u.runCount("late"))
	}
}

// TestStopWaitsForStagesOfOtherVMs guards against stage work that is thrown away and done again,
// since the VM that owns the pool exits while it runs a stage for another VM.
func TestStopWaitsForStagesOfOtherVMs(t *testing.T) {
	f := startFleet(t, 2, nil)
	model, stage := newTestUpstream(t, "m", nil), newTestUpstream(t, "s", nil)
	begun, release := make(chan struct{}, 10), make(chan struct{})
	stage.beforeStage = func() {
		begun <- struct{}{}
		<-release
	}
	batch := catalog.Batch{Concurrency: 2, MaxPieces: 4, CallTime: 2 * time.Second, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages, r.Objective, r.Timeout = []catalog.Stage{{Pool: "a"}}, 20*time.Second, 20*time.Second
		})},
	}, append(catalogUpstreams("p", model), catalogUpstreams("a", stage)...)...)
	owner, other := 0, 1
	if f.awaitOwner(t, "a") == f.servers[1].settings.VM {
		owner, other = 1, 0
	}
	status := make(chan int, 1)
	go func() {
		response, _, err := f.send(other, "r", "/x/", map[string]string{"Pieces": "1"})
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	<-begun
	f.stops[owner]()
	select {
	case <-f.done[owner]:
		t.Error("the VM has exited, and the stage still runs")
	case <-time.After(500 * time.Millisecond):
	}
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d, expected 200", got)
	}
	<-f.done[owner]
	stage.mu.Lock()
	defer stage.mu.Unlock()
	if len(stage.calls) != 1 {
		t.Errorf("%d calls for one stage", len(stage.calls))
	}
}

// dialCaller opens a connection to a VM as a caller does.
func dialCaller(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
