package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// testRoute returns a route of the host a.example to the pool p.
func testRoute(prefix string, kind catalog.RequestKind, change func(*catalog.Route)) catalog.Route {
	r := catalog.Route{
		Name: strings.Trim(prefix, "/"), Host: "a.example", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second,
		Objective: time.Second, Split: []catalog.WeightedPool{{Pool: "p", Weight: 1}}, MaxUpstreams: 2,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func catalogUpstreams(pool string, list ...*testUpstream) []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range list {
		out = append(out, catalog.Upstream{ID: u.id, Pool: pool, Address: u.address(), Zone: "zone-a", StartID: 1})
	}
	return out
}

func singlePool() map[string]*catalog.Pool { return map[string]*catalog.Pool{"p": {Name: "p"}} }

// TestStagesOnSeveralVMs sends requests with two dependent stages to each of three VMs; each
// pool has one owner. It guards against results of another request or stage, pieces without
// their inputs, and results that are never released.
func TestStagesOnSeveralVMs(t *testing.T) {
	f := startFleet(t, 3, nil)
	model := newTestUpstream(t, "m", nil)
	first, second := newTestUpstream(t, "s1", nil), newTestUpstream(t, "s2", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	pools := map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}, "b": {Name: "b", Batch: &batch}}
	stages := []catalog.Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}}
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		// The objective is so long that no request is refused because the machine is slow.
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Stages, r.Objective, r.Timeout = stages, time.Minute, time.Minute }),
	}}, append(append(catalogUpstreams("p", model), catalogUpstreams("a", first)...), catalogUpstreams("b", second)...)...)

	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			id := fmt.Sprint("r", i)
			response, body, err := f.send(i%3, id, "/x/", map[string]string{"Pieces": "2,3", "Content-Key": "key of " + id})
			if err != nil || response.StatusCode != http.StatusOK || body != "from m" {
				t.Errorf("%s: %v %q %v", id, response, body, err)
			}
			if n := model.runCount(id); n != 1 {
				t.Errorf("%s ran %d times, expected once", id, n)
			}
			if inputs := model.inputsOf(id); len(inputs) != 3 || !strings.HasPrefix(inputs[0], second.address()) {
				t.Errorf("%s got the inputs %v, expected three of the last stage", id, inputs)
			}
		})
	}
	wg.Wait()
	for _, call := range first.calls {
		for _, piece := range call.Pieces {
			if piece.Key != "key of "+piece.Request || len(piece.Inputs) != 0 {
				t.Errorf("first stage of %s has key %q and inputs %v, expected its content key and no inputs", piece.Request, piece.Key, piece.Inputs)
			}
		}
	}
	seen := map[string]string{}
	for _, call := range second.calls {
		for _, piece := range call.Pieces {
			inputs := strings.Join(piece.Inputs, ",")
			if len(piece.Inputs) != 2 || piece.Key != "" {
				t.Errorf("second stage of %s has key %q and inputs %v, expected no key and two inputs", piece.Request, piece.Key, piece.Inputs)
			}
			if other, ok := seen[inputs]; ok && other != piece.Request {
				t.Errorf("%s and %s have the same inputs", other, piece.Request)
			}
			seen[inputs] = piece.Request
		}
	}
	if len(first.calls) >= 30 {
		t.Errorf("%d calls for 30 requests; the pool has no single owner", len(first.calls))
	}
	for name, u := range map[string]*testUpstream{"first": first, "second": second} {
		await(t, name+" stage: all results released", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.released) == u.resultCount
		})
	}
}

// TestFailedRequestRetries guards against a response which says that a request did not run
// although it may have run, and against a second run of a non-idempotent request.
func TestFailedRequestRetries(t *testing.T) {
	for name, check := range map[string]struct {
		handler http.HandlerFunc
		kind    catalog.RequestKind
		status  int
		runs    int
	}{
		"status 503 with Not-Run": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, catalog.NonIdempotent, http.StatusServiceUnavailable, 2,
		},
		"status 503 without Not-Run": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"connection closed": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"incomplete response": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				writeSealed(w, "part")
				panic(http.ErrAbortHandler)
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"response to another request": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request", "other")
				writeSealed(w, "foreign")
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"response without a seal": {
			func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"error of the upstream itself": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				w.WriteHeader(http.StatusInternalServerError)
			}, catalog.NonIdempotent, http.StatusInternalServerError, 1,
		},
		"connection closed on an idempotent request": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, catalog.Idempotent, http.StatusBadGateway, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, nil)
			a, b := newTestUpstream(t, "a", check.handler), newTestUpstream(t, "b", check.handler)
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", check.kind, nil)}},
				catalogUpstreams("p", a, b)...)
			response, _, err := f.send(0, "r", "/x/", nil)
			if err != nil || response.StatusCode != check.status {
				t.Fatalf("status %v, error %v, expected %d", response, err, check.status)
			}
			if runs := a.runCount("r") + b.runCount("r"); runs != check.runs {
				t.Errorf("sent %d times, expected %d", runs, check.runs)
			}
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				t.Error("the response has no Retry-After header")
			}
		})
	}
}

// TestCallerDisconnectCancelsRequest guards against an upstream that continues to run a
// request after its caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := startFleet(t, 1, nil)
	started, ended := make(chan struct{}), make(chan struct{})
	u := newTestUpstream(t, "u", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.servers[0].settings.Listen+"/x/", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	go func() {
		<-started
		cancel()
	}()
	if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
		t.Errorf("got the response %v, expected an error", response)
	}
	<-ended
}

func sseEvent(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

// TestResumeRejectsOtherResponse guards against a stream that looks complete although it broke:
// the upstream that should resume it sent a response that is not a stream, and that response
// was appended.
func TestResumeRejectsOtherResponse(t *testing.T) {
	for _, status := range []int{
		http.StatusOK, http.StatusNoContent, http.StatusBadRequest, http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			f := startFleet(t, 1, nil)
			var sends atomic.Int64
			handler := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				if sends.Add(1) > 1 {
					if status == http.StatusServiceUnavailable {
						w.Header().Set("Not-Run", "1")
					}
					w.WriteHeader(status)
					_, _ = io.WriteString(w, "other")
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, sseEvent(1)+"id: 2\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
				testRoute("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable = true }),
			}}, catalogUpstreams("p", newTestUpstream(t, "a", handler), newTestUpstream(t, "b", handler))...)
			_, body, err := f.send(0, "r", "/x/", nil)
			if err == nil || body != sseEvent(1) {
				t.Errorf("body %q, error %v; expected only the first event and an error", body, err)
			}
			if sends.Load() != 2 {
				t.Errorf("%d sends, expected 2", sends.Load())
			}
		})
	}
}

// TestStreamResume breaks a stream in the middle of an event. It guards against incomplete,
// missing or repeated events, and against headers that differ from those of the first upstream.
func TestStreamResume(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			f := startFleet(t, 1, nil)
			var mu sync.Mutex
			sends := 0
			handler := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				sends++
				send := sends
				mu.Unlock()
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", fmt.Sprint("of send ", send))
				if send == 1 {
					_, _ = io.WriteString(w, sseEvent(1)+sseEvent(2)+"id: 3\nda")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, sseEvent(3)+sseEvent(4))
				if last := r.Header.Get("Last-Event"); last != "2" {
					t.Errorf("resumes after event %q, expected 2", last)
				}
			}
			a, b := newTestUpstream(t, "a", handler), newTestUpstream(t, "b", handler)
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
				testRoute("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable = resumable }),
			}}, catalogUpstreams("p", a, b)...)
			response, body, err := f.send(0, "r", "/x/", nil)
			if !resumable {
				if err == nil {
					t.Errorf("the broken stream looks complete: %q", body)
				}
				if sends != 1 || body != sseEvent(1)+sseEvent(2) {
					t.Errorf("%d sends, body %q; expected 1 send and two events", sends, body)
				}
				return
			}
			if err != nil || body != sseEvent(1)+sseEvent(2)+sseEvent(3)+sseEvent(4) {
				t.Errorf("body %q, error %v; expected four events", body, err)
			}
			if response.Header.Get("Seal") != "of send 1" {
				t.Errorf("seal %q, expected that of the first response", response.Header.Get("Seal"))
			}
		})
	}
}

// TestRevokedKeys guards against a request that is served with a removed key, or while the
// tables are too old to tell whether its key was removed, also on a VM that cannot read the
// store while others can.
func TestRevokedKeys(t *testing.T) {
	f := startFleet(t, 2, func(s *Settings) { s.KeyRevocationTimeout = 2500 * time.Millisecond })
	u := newTestUpstream(t, "u", nil)
	newCatalog := func(version int64, keys ...string) *catalog.Catalog {
		return &catalog.Catalog{
			Version: version, Pools: singlePool(), Workspaces: []catalog.Workspace{{Name: "w", Keys: keys}},
			Routes: []catalog.Route{
				testRoute("/x/", catalog.NonIdempotent, nil),
				testRoute("/open/", catalog.NonIdempotent, func(r *catalog.Route) { r.Anonymous = true }),
			},
		}
	}
	f.publish(newCatalog(1, "k1", "k2"), catalogUpstreams("p", u)...)
	expect := func(vm int, path, key string, status int) {
		t.Helper()
		response, _, err := f.send(vm, "r-"+key, path, map[string]string{"Key": key})
		if err != nil || response.StatusCode != status {
			t.Errorf("key %q: %v, error %v, expected %d", key, response, err, status)
		}
	}
	expect(0, "/x/", "k1", http.StatusOK)
	expect(1, "/x/", "", http.StatusUnauthorized)
	f.publish(newCatalog(2, "k2"))
	expect(0, "/x/", "k1", http.StatusUnauthorized)
	expect(1, "/x/", "k1", http.StatusUnauthorized)
	expect(1, "/x/", "k2", http.StatusOK)

	f.store.setDown(true)
	for _, s := range f.servers {
		await(t, "tables too old to accept keys", func() bool {
			age, _ := s.follower.age()
			return s.keysOutdated(age)
		})
	}
	expect(0, "/x/", "k2", http.StatusServiceUnavailable)
	expect(1, "/x/", "k2", http.StatusServiceUnavailable)
	expect(1, "/open/", "", http.StatusOK)
	if f.servers[0].notReadyReason() == "" {
		t.Error("the VM is ready while it refuses requests with keys")
	}
	f.store.setDown(false)
	await(t, "requests with keys served again", func() bool {
		response, _, err := f.send(0, "again", "/x/", map[string]string{"Key": "k2"})
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestZoneOutOfService guards against requests to a zone that operators took out of service,
// and against a zone that stays out of service after they returned it.
func TestZoneOutOfService(t *testing.T) {
	f := startFleet(t, 2, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	f.store.put("out/zone-a", catalog.ZoneOut("zone-a"))
	await(t, "the zone is out of service on all VMs", func() bool {
		return f.servers[0].view.Load().ZonesOut["zone-a"] && f.servers[1].view.Load().ZonesOut["zone-a"]
	})
	for vm := range 2 {
		response, _, err := f.send(vm, "r", "/x/", nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || u.runCount("r") != 0 {
			t.Errorf("%v, error %v, %d runs; expected status 503 and no run", response, err, u.runCount("r"))
		}
	}
	f.store.put("out/zone-a", nil)
	await(t, "the zone is back in service", func() bool {
		response, _, err := f.send(1, "back", "/x/", nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestGracefulShutdown guards against a shutdown that aborts a running request, and against a
// VM that still counts as ready while it shuts down.
func TestGracefulShutdown(t *testing.T) {
	f := startFleet(t, 1, nil)
	started, release := make(chan struct{}), make(chan struct{})
	u := newTestUpstream(t, "u", func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		writeSealed(w, "done")
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u)...)
	type result struct {
		body string
		err  error
	}
	results := make(chan result)
	go func() {
		_, body, err := f.send(0, "r", "/x/", nil)
		results <- result{body, err}
	}()
	<-started
	f.stops[0]()
	await(t, "the VM is not ready", func() bool { return f.servers[0].notReadyReason() == "stopping" })
	close(release)
	if got := <-results; got.err != nil || got.body != "done" {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	<-f.done[0]
}

// TestOwnerFailure stops the VM that owns a pool. It guards against requests that wait for
// that VM beyond their objective.
func TestOwnerFailure(t *testing.T) {
	f := startFleet(t, 3, nil)
	model, stage := newTestUpstream(t, "m", nil), newTestUpstream(t, "s", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages, r.Objective = []catalog.Stage{{Pool: "a"}}, 3*time.Second
		})},
	}, append(catalogUpstreams("p", model), catalogUpstreams("a", stage)...)...)
	owner := f.awaitOwner(t, "a")
	survivor := 0
	for i, s := range f.servers {
		if s.settings.VM == owner {
			f.stops[i]()
			<-f.done[i]
			continue
		}
		survivor = i
	}
	response, body, err := f.send(survivor, "r", "/x/", map[string]string{"Pieces": "1"})
	if err != nil || response.StatusCode != http.StatusOK || body != "from m" {
		t.Errorf("%v %q, error %v", response, body, err)
	}
}

// TestStageCallReachesOwner guards against stages that run at a VM that is not the owner, and
// against callers that are redirected to an owner that does not answer or denied ownership.
func TestStageCallReachesOwner(t *testing.T) {
	f := startFleet(t, 3, nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	f.publish(&catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"a": {Name: "a", Batch: &batch}}}, catalogUpstreams("a", newTestUpstream(t, "s", nil))...)
	owner := f.awaitOwner(t, "a")
	var others []*Server
	for _, s := range f.servers {
		if s.settings.VM != owner {
			others = append(others, s)
		}
	}
	called := others[0]
	if got, isOwner := called.claimOrRedirect(context.Background(), fleet.Resource{Name: "a"}, nil, nil); isOwner || got.Name != owner {
		t.Errorf("the call was redirected to %q, expected %s", got.Name, owner)
	}
	if got, isOwner := called.claimOrRedirect(context.Background(), fleet.Resource{Name: "a"}, []string{owner}, nil); isOwner || got.Name != owner {
		t.Errorf("the call was redirected to %q although the owner %s is responsive", got.Name, owner)
	}
	// The former owner said that it does not own the pool, and the directory of the called VM is
	// out of date.
	response, err := fleetServer{s: called}.RunStage(context.Background(), &hoistv1.RunStageRequest{Pool: "a", Pieces: 1, NotOwners: []string{owner}})
	if err != nil || (response.GetRefusal() == refusalNames[stagepool.OwnerChanged] && response.GetOwner() == owner) {
		t.Errorf("the call was redirected to %s: %v, error %v", owner, response, err)
	}
}

// TestStoreRejectsMostReaders lets the store reject all of its readers but one. It guards
// against VMs that keep pulling from a reader without new tables, and against upstreams that
// are kept after the removal of their entry because the failed reads of some VMs count as an
// outage of the store.
func TestStoreRejectsMostReaders(t *testing.T) {
	f := startFleet(t, 5, nil)
	u, leaving := newTestUpstream(t, "u", nil), newTestUpstream(t, "leaving", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}},
		catalogUpstreams("p", u, leaving)...)
	ranking := f.servers[0].gossip.rankingOf(storeReaders)
	for i, s := range f.servers {
		for _, reader := range ranking[:fleet.StoreReaderCount-1] {
			if s.settings.VM == reader.Name {
				f.sources[i].rejected.Store(true)
			}
		}
	}
	f.store.put("u/leaving", nil)
	removed := time.Now()
	for _, s := range f.servers {
		await(t, "the removal applied on "+s.settings.VM, func() bool {
			_, known := s.view.Load().ByID["leaving"]
			return !known
		})
	}
	// Operators require that a removed upstream gets no new requests after two seconds.
	if took := time.Since(removed); took > 2*time.Second {
		t.Errorf("the last VM applied the removal after %v, expected at most 2s", took)
	}
}
