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
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// route returns a route of the host a.example.
func route(prefix string, kind catalog.RequestKind, change func(*catalog.Route)) catalog.Route {
	r := catalog.Route{
		Name: strings.Trim(prefix, "/"), Host: "a.example", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second,
		Objective: time.Second, Split: []catalog.WeightedPool{{Pool: "p", Weight: 1}}, MaxUpstreams: 2,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func upstreamsOf(pool string, list ...*testUpstream) []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range list {
		out = append(out, catalog.Upstream{ID: u.id, Pool: pool, Address: u.address(), Zone: "zone-a", StartID: 1})
	}
	return out
}

func plainPools() map[string]*catalog.Pool { return map[string]*catalog.Pool{"p": {Name: "p"}} }

// TestStagesRunOnAllVMs sends requests with a chain of stages to each of three VMs, of which
// one owns each pool. It guards against results of another request or stage, pieces without
// inputs, and results that are never released.
func TestStagesRunOnAllVMs(t *testing.T) {
	f := startFleet(t, 3, nil)
	model := newTestUpstream(t, "m", nil)
	first, second := newTestUpstream(t, "s1", nil), newTestUpstream(t, "s2", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	pools := map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}, "b": {Name: "b", Batch: &batch}}
	stages := []catalog.Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}}
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		route("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Stages = stages }),
	}}, append(append(upstreamsOf("p", model), upstreamsOf("a", first)...), upstreamsOf("b", second)...)...)

	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			id := fmt.Sprint("r", i)
			response, body, err := f.send(i%3, id, "/x/", map[string]string{"Pieces": "2,3", "Content-Key": "key of " + id})
			if err != nil || response.StatusCode != http.StatusOK || body != "from m" {
				t.Errorf("%s: %v %q %v", id, response, body, err)
			}
			if n := model.ran(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
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
				t.Errorf("first stage of %s has key %q and inputs %v", piece.Request, piece.Key, piece.Inputs)
			}
		}
	}
	seen := map[string]string{}
	for _, call := range second.calls {
		for _, piece := range call.Pieces {
			inputs := strings.Join(piece.Inputs, ",")
			if len(piece.Inputs) != 2 || piece.Key != "" {
				t.Errorf("second stage of %s has key %q and inputs %v", piece.Request, piece.Key, piece.Inputs)
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
			return len(u.released) == u.made
		})
	}
}

// TestRefusalsTellTheTruth guards against a refusal that promises that a request has not
// run although it may have, and against a second run of a request that may run only once.
func TestRefusalsTellTheTruth(t *testing.T) {
	for name, check := range map[string]struct {
		answer http.HandlerFunc
		kind   catalog.RequestKind
		status int
		runs   int
	}{
		"the upstream has no place": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, catalog.NonIdempotent, http.StatusServiceUnavailable, 2,
		},
		"a refusal without promise": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"the connection breaks": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"the answer breaks off": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				sealed(w, "part")
				panic(http.ErrAbortHandler)
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"an answer of another request": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request", "other")
				sealed(w, "foreign")
			}, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"an answer without proof": {
			func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, catalog.NonIdempotent, http.StatusBadGateway, 1,
		},
		"its own failure": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				w.WriteHeader(http.StatusInternalServerError)
			}, catalog.NonIdempotent, http.StatusInternalServerError, 1,
		},
		"a failure that may be repeated": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, catalog.Idempotent, http.StatusBadGateway, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, nil)
			a, b := newTestUpstream(t, "a", check.answer), newTestUpstream(t, "b", check.answer)
			f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{route("/x/", check.kind, nil)}},
				upstreamsOf("p", a, b)...)
			response, _, err := f.send(0, "r", "/x/", nil)
			if err != nil || response.StatusCode != check.status {
				t.Fatalf("status %v, error %v, expected %d", response, err, check.status)
			}
			if runs := a.ran("r") + b.ran("r"); runs != check.runs {
				t.Errorf("sent %d times, expected %d", runs, check.runs)
			}
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}

// TestCallerGone guards against an upstream that works on for a caller that has left.
func TestCallerGone(t *testing.T) {
	f := startFleet(t, 1, nil)
	began, ended := make(chan struct{}), make(chan struct{})
	u := newTestUpstream(t, "u", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{route("/x/", catalog.NonIdempotent, nil)}},
		upstreamsOf("p", u)...)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.servers[0].settings.Listen+"/x/", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	go func() {
		<-began
		cancel()
	}()
	if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
		t.Errorf("answer %v", response)
	}
	<-ended
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

// TestOtherAnswerDoesNotEndAStream guards against a stream that looks complete because the
// upstream at which it should go on answered with something else, which was appended to it.
func TestOtherAnswerDoesNotEndAStream(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			f := startFleet(t, 1, nil)
			var sends atomic.Int64
			answer := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				if sends.Add(1) > 1 {
					w.WriteHeader(status)
					_, _ = io.WriteString(w, "other")
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, event(1)+"id: 2\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{
				route("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable = true }),
			}}, upstreamsOf("p", newTestUpstream(t, "a", answer), newTestUpstream(t, "b", answer))...)
			_, body, err := f.send(0, "r", "/x/", nil)
			if err == nil || body != event(1) {
				t.Errorf("body %q, error %v; expected the first event and a cut", body, err)
			}
			if sends.Load() != 2 {
				t.Errorf("%d sends", sends.Load())
			}
		})
	}
}

// TestStreamGoesOn breaks a stream inside an event at one upstream. It guards against parts
// of events, events that are missing or come twice, and headers that change on the way.
func TestStreamGoesOn(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			f := startFleet(t, 1, nil)
			var mu sync.Mutex
			sends := 0
			answer := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				sends++
				send := sends
				mu.Unlock()
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Seal", fmt.Sprint("of send ", send))
				if send == 1 {
					_, _ = io.WriteString(w, event(1)+event(2)+"id: 3\nda")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, event(3)+event(4))
				if last := r.Header.Get("Last-Event"); last != "2" {
					t.Errorf("goes on after event %q", last)
				}
			}
			a, b := newTestUpstream(t, "a", answer), newTestUpstream(t, "b", answer)
			f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{
				route("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable = resumable }),
			}}, upstreamsOf("p", a, b)...)
			response, body, err := f.send(0, "r", "/x/", nil)
			if !resumable {
				if err == nil {
					t.Errorf("the broken stream looks complete: %q", body)
				}
				if sends != 1 || body != event(1)+event(2) {
					t.Errorf("%d sends, body %q", sends, body)
				}
				return
			}
			if err != nil || body != event(1)+event(2)+event(3)+event(4) {
				t.Errorf("body %q, error %v", body, err)
			}
			if response.Header.Get("Seal") != "of send 1" {
				t.Errorf("proof %q", response.Header.Get("Seal"))
			}
		})
	}
}

// TestKeysTakenAway guards against a request with a removed key, and against one that is
// served although the tables are too old to know, also on a VM that cannot read the store
// while others can.
func TestKeysTakenAway(t *testing.T) {
	f := startFleet(t, 2, func(s *Settings) { s.KeyBound = 2500 * time.Millisecond })
	u := newTestUpstream(t, "u", nil)
	tables := func(version int64, keys ...string) *catalog.Catalog {
		return &catalog.Catalog{
			Version: version, Pools: plainPools(), Workspaces: []catalog.Workspace{{Name: "w", Keys: keys}},
			Routes: []catalog.Route{
				route("/x/", catalog.NonIdempotent, nil),
				route("/open/", catalog.NonIdempotent, func(r *catalog.Route) { r.Anonymous = true }),
			},
		}
	}
	f.publish(tables(1, "k1", "k2"), upstreamsOf("p", u)...)
	expect := func(vm int, path, key string, status int) {
		t.Helper()
		response, _, err := f.send(vm, "r-"+key, path, map[string]string{"Key": key})
		if err != nil || response.StatusCode != status {
			t.Errorf("key %q: %v, error %v, expected %d", key, response, err, status)
		}
	}
	expect(0, "/x/", "k1", http.StatusOK)
	expect(1, "/x/", "", http.StatusUnauthorized)
	f.publish(tables(2, "k2"))
	expect(0, "/x/", "k1", http.StatusUnauthorized)
	expect(1, "/x/", "k1", http.StatusUnauthorized)
	expect(1, "/x/", "k2", http.StatusOK)

	f.store.setDown(true)
	for _, s := range f.servers {
		await(t, "tables too old", func() bool {
			age, _ := s.follower.age()
			return s.keysOutdated(age)
		})
	}
	expect(0, "/x/", "k2", http.StatusServiceUnavailable)
	expect(1, "/x/", "k2", http.StatusServiceUnavailable)
	expect(1, "/open/", "", http.StatusOK)
	if f.servers[0].notReadyReason() == "" {
		t.Error("ready while requests with keys are refused")
	}
	f.store.setDown(false)
	await(t, "served again", func() bool {
		response, _, err := f.send(0, "again", "/x/", map[string]string{"Key": "k2"})
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestZoneOutGetsNoWork guards against requests to a zone that operators have taken out, and
// against one that stays out when it is brought back.
func TestZoneOutGetsNoWork(t *testing.T) {
	f := startFleet(t, 2, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{route("/x/", catalog.NonIdempotent, nil)}},
		upstreamsOf("p", u)...)
	f.store.put("out/zone-a", ZoneOut("zone-a"))
	await(t, "the zone is out on all VMs", func() bool {
		return f.servers[0].view.Load().ZonesOut["zone-a"] && f.servers[1].view.Load().ZonesOut["zone-a"]
	})
	for vm := range 2 {
		response, _, err := f.send(vm, "r", "/x/", nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || u.ran("r") != 0 {
			t.Errorf("%v, error %v, %d runs", response, err, u.ran("r"))
		}
	}
	f.store.put("out/zone-a", nil)
	await(t, "the zone is back", func() bool {
		response, _, err := f.send(1, "back", "/x/", nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestStopCutsNoRequest guards against a planned stop that breaks off a request under way,
// and against a VM that still counts as ready while it stops.
func TestStopCutsNoRequest(t *testing.T) {
	f := startFleet(t, 1, nil)
	began, release := make(chan struct{}), make(chan struct{})
	u := newTestUpstream(t, "u", func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		sealed(w, "done")
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{route("/x/", catalog.NonIdempotent, nil)}},
		upstreamsOf("p", u)...)
	type result struct {
		body string
		err  error
	}
	answered := make(chan result)
	go func() {
		_, body, err := f.send(0, "r", "/x/", nil)
		answered <- result{body, err}
	}()
	<-began
	f.stops[0]()
	await(t, "not ready", func() bool { return f.servers[0].notReadyReason() == "stopping" })
	close(release)
	if got := <-answered; got.err != nil || got.body != "done" {
		t.Errorf("answer %q, error %v", got.body, got.err)
	}
	<-f.done[0]
}

// TestOwnerLost kills the VM that owns a pool. It guards against requests that wait for it
// beyond their objective.
func TestOwnerLost(t *testing.T) {
	f := startFleet(t, 3, nil)
	model, stage := newTestUpstream(t, "m", nil), newTestUpstream(t, "s", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{route("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages, r.Objective = []catalog.Stage{{Pool: "a"}}, 3*time.Second
		})},
	}, append(upstreamsOf("p", model), upstreamsOf("a", stage)...)...)
	owner := f.ownerOf(t, "a")
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

// TestCallsFindTheOwner guards against stages that run at a VM which is not the owner, and
// against callers that are sent back to an owner which does not answer.
func TestCallsFindTheOwner(t *testing.T) {
	f := startFleet(t, 3, nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	f.publish(&catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"a": {Name: "a", Batch: &batch}}}, upstreamsOf("a", newTestUpstream(t, "s", nil))...)
	owner := f.ownerOf(t, "a")
	var others []*Server
	for _, s := range f.servers {
		if s.settings.VM != owner {
			others = append(others, s)
		}
	}
	asked := others[0]
	if got, isOwn := asked.claimOrRedirect(context.Background(), "a", nil, nil); isOwn || got != owner {
		t.Errorf("the call was sent on to %q, expected %s", got, owner)
	}
	if got, isOwn := asked.claimOrRedirect(context.Background(), "a", []string{owner}, nil); isOwn || got != owner {
		t.Errorf("the call was sent on to %q although %s answers", got, owner)
	}
	// The owner claims nothing any more, and the directory of the VM that is asked is old.
	response, err := fleetServer{s: asked}.RunStage(context.Background(), &hoistv1.RunStageRequest{Pool: "a", Pieces: 1, NotOwners: []string{owner}})
	if err != nil || (response.GetRefusal() == refusalNames[stagepool.OwnerChanged] && response.GetOwner() == owner) {
		t.Errorf("the call was sent back to %s: %v, error %v", owner, response, err)
	}
}

// TestTurnedAwayByTheStore turns the readers of the store away, all but the last. It guards
// against VMs that follow a reader which knows nothing new, and against upstreams that are
// kept after their entry was removed, since one VM's trouble is taken for an outage.
func TestTurnedAwayByTheStore(t *testing.T) {
	f := startFleet(t, 5, nil)
	u, leaving := newTestUpstream(t, "u", nil), newTestUpstream(t, "leaving", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: plainPools(), Routes: []catalog.Route{route("/x/", catalog.NonIdempotent, nil)}},
		upstreamsOf("p", u, leaving)...)
	ranking := f.servers[0].gossip.ranking(readersKey)
	for i, s := range f.servers {
		for _, reader := range ranking[:storeReaders-1] {
			if s.settings.VM == reader.Name {
				f.sources[i].turnedAway.Store(true)
			}
		}
	}
	f.store.put("u/leaving", nil)
	removed := time.Now()
	for _, s := range f.servers {
		await(t, "the entry is removed at "+s.settings.VM, func() bool {
			_, known := s.view.Load().ByID["leaving"]
			return !known
		})
	}
	// Operators bound new work to an upstream that has left by two seconds.
	if took := time.Since(removed); took > 2*time.Second {
		t.Errorf("the last VM knew after %v", took)
	}
}
