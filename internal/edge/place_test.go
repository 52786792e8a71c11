package edge

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

func enginePools() map[string]*catalog.Pool {
	return map[string]*catalog.Pool{"p": {Name: "p", Engine: &catalog.Engine{Concurrency: 8, CacheTokens: 100_000}}}
}

// startPlacingFleet starts VMs whose engines are chosen by owners although the fleet is small.
func startPlacingFleet(t *testing.T, n int, engines ...*testUpstream) *testFleet {
	t.Helper()
	return startPlacingFleetWith(t, n, func(*Server) {}, engines...)
}

// startPlacingFleetWith is startPlacingFleet with a function that changes each server before it runs.
func startPlacingFleetWith(t *testing.T, n int, prepare func(*Server), engines ...*testUpstream) *testFleet {
	t.Helper()
	f := startFleetWith(t, n, nil, func(s *Server) {
		s.maxDecidingAlone = 1
		prepare(s)
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: enginePools(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, catalogUpstreams("p", engines...)...)
	for _, s := range f.servers {
		await(t, "placement by owners", func() bool { return s.placesByOwner(s.view.Load(), "p") })
	}
	return f
}

func newEngines(t *testing.T, n int) []*testUpstream {
	var engines []*testUpstream
	for i := range n {
		engines = append(engines, newTestUpstream(t, fmt.Sprint("e", i), nil))
	}
	return engines
}

// ownerAndOther returns the indexes of the VM that owns the engines and of another VM.
func (f *testFleet) ownerAndOther(t *testing.T) (owner, other int) {
	name := f.awaitOwner(t, "p")
	for i, s := range f.servers {
		if s.settings.VM == name {
			return i, (i + 1) % len(f.servers)
		}
	}
	t.Fatalf("the owner %s is none of the VMs", name)
	return 0, 0
}

// selfEntry returns the directory entry of a VM.
func selfEntry(s *Server) fleet.Entry {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	return s.gossip.directory.Self()
}

// redirectPeer makes a VM reach another address in place of a peer.
func redirectPeer(t *testing.T, from, to *Server, address string) {
	t.Helper()
	entry := selfEntry(to)
	from.peers.mu.Lock()
	old := from.peers.conns[entry.Address]
	delete(from.peers.conns, entry.Address)
	from.peers.mu.Unlock()
	if old != nil {
		_ = old.conn.Close() // Only the calls in progress notice.
	}
	conn, err := from.peers.conn(fleet.Entry{Name: entry.Name, Address: address})
	if err != nil {
		t.Fatal(err)
	}
	from.peers.mu.Lock()
	defer from.peers.mu.Unlock()
	from.peers.conns[entry.Address] = conn
}

func (f *testFleet) placements(vm int, decidedBy string) float64 {
	return testutil.ToFloat64(f.servers[vm].metrics.placements.WithLabelValues("p", decidedBy))
}

// mustServe sends a request and checks that it was served.
func (f *testFleet) mustServe(t *testing.T, vm int, id string) {
	t.Helper()
	response, body, err := f.send(vm, id, "/x/", nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("request %s: %v, %v, %q", id, response, err, body)
	}
}

// TestPlacedByOwner guards against requests that no owner places in a large fleet, and against requests that an
// owner counts after their end.
func TestPlacedByOwner(t *testing.T) {
	f := startPlacingFleet(t, 3, newEngines(t, 3)...)
	owner, _ := f.ownerAndOther(t)
	for vm := range f.servers {
		for i := range 5 {
			f.mustServe(t, vm, fmt.Sprint(vm, "/", i))
			// A caller may use the ID of a request again.
			f.mustServe(t, vm, "same")
		}
	}
	for vm := range f.servers {
		if got := f.placements(vm, "owner"); got == 0 {
			t.Errorf("vm-%d has %v placements by the owner and %v by itself", vm, got, f.placements(vm, "vm"))
		}
		if vm != owner && f.servers[vm].findEngineRunner("p") != nil {
			t.Errorf("vm-%d keeps the state of engines that it does not own", vm)
		}
	}
	runner := f.servers[owner].findEngineRunner("p")
	await(t, "the end of all requests at the owner", func() bool { return runner.inFlight() == 0 })
}

func (r *engineRunner) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.InFlight()
}

// TestSmallFleetDecidesAlone guards against a change of behaviour in small fleets: no owner is asked, no engine
// is asked for a report, and no VM claims engines.
func TestSmallFleetDecidesAlone(t *testing.T) {
	engines := newEngines(t, 2)
	f := startFleet(t, 2, nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: enginePools(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, catalogUpstreams("p", engines...)...)
	for vm, s := range f.servers {
		f.mustServe(t, vm, fmt.Sprint("r", vm))
		if len(s.ownableResources(s.view.Load())) > 0 || s.findEngineRunner("p") != nil || f.placements(vm, "owner")+f.placements(vm, "vm") > 0 {
			t.Errorf("vm-%d takes part in the placement by owners", vm)
		}
	}
	for _, engine := range engines {
		if n := engine.memoryQueries.Load(); n > 0 {
			t.Errorf("engine %s got %d queries", engine.id, n)
		}
	}
}

// fakeOwner is a peer that answers requests to place in its own way.
type fakeOwner struct {
	hoistv1.UnimplementedFleetServer
	place func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error)
	asked atomic.Int64
}

// Place implements FleetServer.
func (o *fakeOwner) Place(ctx context.Context, r *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
	o.asked.Add(1)
	return o.place(ctx, r)
}

// startFakeOwner makes a VM ask a fake owner in place of the real one.
func startFakeOwner(t *testing.T, from, owner *Server, place func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error)) *fakeOwner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeOwner{place: place}
	server := grpc.NewServer(from.peers.transport.ServerOptions()...)
	hoistv1.RegisterFleetServer(server, fake)
	go func() { _ = server.Serve(listener) }() // The caller notices a server that does not run.
	t.Cleanup(server.Stop)
	redirectPeer(t, from, owner, listener.Addr().String())
	return fake
}

// TestOwnerWithoutAnswer guards against requests that fail or wait when the owner of the engines is dead, accepts
// connections and never answers, answers late, or answers with an error: the VM chooses by itself.
func TestOwnerWithoutAnswer(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // The address must refuse connections.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for name, cut := range map[string]func(t *testing.T, from, owner *Server){
		"dead":   func(t *testing.T, from, owner *Server) { redirectPeer(t, from, owner, closed.Addr().String()) },
		"silent": func(t *testing.T, from, owner *Server) { redirectPeer(t, from, owner, silent.Addr().String()) },
		"frozen": func(t *testing.T, from, owner *Server) {
			startFakeOwner(t, from, owner, func(ctx context.Context, _ *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
		},
		"failing": func(t *testing.T, from, owner *Server) {
			startFakeOwner(t, from, owner, func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
				return nil, errUnknownShard
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPlacingFleet(t, 2, newEngines(t, 3)...)
			owner, other := f.ownerAndOther(t)
			cut(t, f.servers[other], f.servers[owner])
			f.mustServe(t, other, "1")
			f.mustServe(t, other, "2")
			if f.placements(other, "vm") != 2 || f.placements(other, "owner") != 0 {
				t.Errorf("%v placements by the VM and %v by the owner, expected 2 and 0", f.placements(other, "vm"), f.placements(other, "owner"))
			}
		})
	}
}

// TestSlowOwnerKeepsConnection guards against a slow answer of an owner that ends all other calls to that VM: they
// share a connection.
func TestSlowOwnerKeepsConnection(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 2)...)
	owner, other := f.ownerAndOther(t)
	from, to := f.servers[other], f.servers[owner]
	fake := startFakeOwner(t, from, to, func(ctx context.Context, _ *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	conn, err := from.peers.conn(selfEntry(to))
	if err != nil {
		t.Fatal(err)
	}
	f.mustServe(t, other, "1")
	if fake.asked.Load() == 0 {
		t.Fatal("the owner was not asked")
	}
	if after, err := from.peers.conn(selfEntry(to)); err != nil || after != conn {
		t.Errorf("the connection was replaced, error %v", err)
	}
}

// TestOwnerDeniesOwnership guards against a request that fails when the VM that it asks does not own the engines.
func TestOwnerDeniesOwnership(t *testing.T) {
	f := startPlacingFleet(t, 3, newEngines(t, 3)...)
	owner, other := f.ownerAndOther(t)
	third := 3 - owner - other
	startFakeOwner(t, f.servers[other], f.servers[owner], func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
		entry := selfEntry(f.servers[third])
		return &hoistv1.PlaceResponse{Owner: entry.Name, OwnerEntry: entryToProto(entry), Upstream: "e0"}, nil
	})
	f.mustServe(t, other, "1")
	if got := f.placements(other, "vm"); got != 1 {
		t.Errorf("%v placements by the VM, expected 1", got)
	}
}

// TestOwnerNamesForbiddenEngine guards against an owner that overrules what a VM knows: the named engine is
// unknown, of another pool, draining, leaving or paused. The figures of the answer are hostile as well.
func TestOwnerNamesForbiddenEngine(t *testing.T) {
	engines := newEngines(t, 6)
	f := startFleetWith(t, 2, func(s *Settings) { s.DrainTime = testDrainTime }, func(s *Server) { s.maxDecidingAlone = 1 })
	pools := enginePools()
	pools["q"] = &catalog.Pool{Name: "q"}
	list := catalogUpstreams("p", engines...)
	list[1].Pool, list[2].Draining = "q", true
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, list...)
	await(t, "placement by owners", func() bool {
		return f.servers[0].placesByOwner(f.servers[0].view.Load(), "p") && f.servers[1].placesByOwner(f.servers[1].view.Load(), "p")
	})
	owner, other := f.ownerAndOther(t)
	s := f.servers[other]
	s.signals.recordLeaving(s.view.Load().ByID["e3"])
	s.signals.recordPause(s.view.Load().ByID["e4"], time.Hour)
	var named atomic.Pointer[string]
	startFakeOwner(t, s, f.servers[owner], func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
		return &hoistv1.PlaceResponse{
			Upstream: *named.Load(), CacheSource: *named.Load(), ExpectedUs: math.MinInt64, WaitUs: math.MinInt64,
			CachedTokens: math.MaxUint32, CopiedTokens: math.MaxUint32,
		}, nil
	})
	for _, id := range []string{"none", "e1", "e2", "e3", "e4"} {
		named.Store(&id)
		f.mustServe(t, other, "for "+id)
	}
	for i := range 5 {
		if i > 0 && engines[i].totalRuns() > 0 {
			t.Errorf("engine %s got %d requests", engines[i].id, engines[i].totalRuns())
		}
	}
	if got := f.placements(other, "owner"); got != 0 {
		t.Errorf("%v placements by the owner, expected 0", got)
	}
	id := "e5"
	named.Store(&id)
	f.mustServe(t, other, "allowed")
	if f.placements(other, "owner") != 1 || engines[5].runCount("allowed") != 1 {
		t.Errorf("%v placements by the owner and %d requests at the named engine, expected 1 and 1", f.placements(other, "owner"), engines[5].runCount("allowed"))
	}
}

// TestNewOwnerAsksForReports guards against a new owner that knows nothing of its engines or asks them again and
// again, and against signals in the reports that are lost.
func TestNewOwnerAsksForReports(t *testing.T) {
	engines := newEngines(t, 3)
	f := startPlacingFleet(t, 3, engines...)
	owner, other := f.ownerAndOther(t)
	queries := func(n int64) bool {
		for _, engine := range engines {
			if engine.memoryQueries.Load() != n {
				return false
			}
		}
		return true
	}
	for i := range 5 {
		f.mustServe(t, other, fmt.Sprint("before", i))
	}
	await(t, "one report of each engine", func() bool { return queries(1) })
	f.stops[owner]()
	<-f.done[owner]
	rest := f.servers[other]
	await(t, "another owner", func() bool {
		name := rest.gossip.owner(fleet.Resource{Name: "p"}).Name
		return name != "" && name != f.servers[owner].settings.VM
	})
	pause := "1h"
	engines[0].memoryPause.Store(&pause)
	await(t, "another report of each engine", func() bool {
		f.mustServe(t, other, fmt.Sprint("after", time.Now().UnixNano()))
		return queries(2)
	})
	for i := range 5 {
		f.mustServe(t, other, fmt.Sprint("later", i))
	}
	if !queries(2) {
		t.Error("engines are asked again")
	}
	for vm, s := range f.servers {
		if vm != owner && s.findEngineRunner("p") != nil {
			await(t, "the pause that the report stated", func() bool { return !s.signals.mayCall(instanceOf(s.view.Load().ByID["e0"]), "test") })
			return
		}
	}
	t.Error("no VM runs the placement")
}

// TestEndAfterLossOfOwnership guards against the state of a shard that comes to life again, and stays, when a
// request of this VM ends after another VM took the shard over.
func TestEndAfterLossOfOwnership(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 1)...)
	s := f.servers[0]
	placed := &enginePlacement{id: "x", shard: s.view.Load().Shards["p"], owner: selfEntry(s)}
	s.endPlacement(placed, enginepool.Outcome{Engine: "e0"}, 0)
	if s.findEngineRunner("p") != nil {
		t.Error("the end of a request created the state of a shard")
	}
}

// TestPlaceForLeftRequester guards against a request that an owner counts although the VM that sent it has gone
// on without an answer.
func TestPlaceForLeftRequester(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 1)...)
	owner, _ := f.ownerAndOther(t)
	s := f.servers[owner]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := (fleetServer{s: s}).Place(ctx, &hoistv1.PlaceRequest{Pool: "p", Request: "x"}); err == nil {
		t.Error("the request was placed")
	}
	if runner := s.findEngineRunner("p"); runner != nil && runner.inFlight() > 0 {
		t.Errorf("%d requests in flight", runner.inFlight())
	}
}

// TestMalformedPlace guards against messages that no VM sends.
func TestMalformedPlace(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 1)...)
	owner, _ := f.ownerAndOther(t)
	s := f.servers[owner]
	for _, r := range []*hoistv1.PlaceRequest{
		{Pool: "p"},
		{Pool: "p", Request: string(make([]byte, 1000))},
		{Pool: "p", Request: "x", PromptTokens: math.MaxUint32},
		{Pool: "p", Request: "x", SlackUs: -1},
		{Pool: "p", Request: "x", Excluded: make([]string, 5000)},
		{Pool: "p", Request: "x", Parts: []*hoistv1.PromptPart{{Id: 1, Tokens: math.MaxUint32}}},
	} {
		before := testutil.ToFloat64(s.metrics.placeInvalid)
		if _, err := (fleetServer{s: s}).Place(context.Background(), r); err == nil || testutil.ToFloat64(s.metrics.placeInvalid) != before+1 {
			t.Errorf("a malformed request was accepted or not counted, error %v", err)
		}
	}
}

// FuzzPlace guards against messages of a peer about placements that make the owner panic, overflow a time or
// count a request for ever.
func FuzzPlace(f *testing.F) {
	seed := func(r *hoistv1.PlaceRequest, end *hoistv1.EndPlacementRequest) {
		place, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		ended, err := proto.Marshal(end)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(place, ended)
	}
	seed(&hoistv1.PlaceRequest{Pool: "p", Request: "1", PromptTokens: 5000, Parts: []*hoistv1.PromptPart{{Id: 7, Tokens: 4000}}, SlackUs: 1e6},
		&hoistv1.EndPlacementRequest{Request: "1", Upstream: "a", FirstEventUs: 80_000, Events: 20, EventGapUs: 30_000})
	seed(&hoistv1.PlaceRequest{Request: "2", PromptTokens: math.MaxUint32, SlackUs: math.MaxInt64},
		&hoistv1.EndPlacementRequest{Request: "2", Upstream: "b", Result: math.MaxUint32, FirstEventUs: math.MaxInt64, EventGapUs: math.MinInt64, ColdMs: math.MaxInt64})
	f.Fuzz(func(t *testing.T, place, ended []byte) {
		var r hoistv1.PlaceRequest
		var end hoistv1.EndPlacementRequest
		if proto.Unmarshal(place, &r) != nil || proto.Unmarshal(ended, &end) != nil {
			return
		}
		request, ok := placeRequestFromProto(&r)
		if !ok {
			return
		}
		pool := enginepool.New()
		pool.Configure(enginepool.Limits{Concurrency: 8, CacheTokens: 100_000, CopyTimePerToken: maxCopyTimePerToken},
			[]enginepool.Engine{{ID: "a", Start: 1}, {ID: "b", Start: 1}})
		now := clock.Instant(time.Hour)
		for range 3 {
			now = now.Add(time.Second)
			if placed, ok := pool.Place(now, request); ok && (placed.Wait < 0 || placed.Expected < placed.Wait || placed.Expected > 24*time.Hour || placed.CachedTokens < 0 || placed.CopiedTokens < 0) {
				t.Errorf("placement %+v", placed)
			}
			o := outcomeFromProto(&end)
			pool.End(now, end.GetRequest(), o)
			pool.RecordColdStart(now, o.Engine, o.Start, durationFromProto(end.GetColdMs(), time.Millisecond))
		}
		if pool.InFlight() > 1 {
			t.Errorf("%d requests in flight under one ID", pool.InFlight())
		}
		other := enginepool.Request{ID: "other of the test"}
		if placed, ok := pool.Place(now.Add(24*time.Hour), &other); !ok || placed.Wait != 0 || pool.InFlight() != 1 {
			t.Errorf("a day later: placement %+v, %v, with %d requests in flight", placed, ok, pool.InFlight())
		}
	})
}

// FuzzPlaceResponse guards against an answer of a peer that makes a VM panic: metrics do not take negative
// numbers.
func FuzzPlaceResponse(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a, b hoistv1.PlaceResponse
		if proto.Unmarshal(first, &a) != nil || proto.Unmarshal(second, &b) != nil {
			return
		}
		p, q := &enginePlacement{Placement: placementFromProto(&a)}, &enginePlacement{Placement: placementFromProto(&b)}
		p.copyFrom(q)
		if p.CachedTokens < 0 || p.CopiedTokens < 0 || p.Wait < 0 || p.Expected < 0 {
			t.Errorf("placement %+v", p.Placement)
		}
	})
}

// TestSameRequestIDAtTwoVMs guards against two requests that count as one at the owner, since their callers chose
// the same ID: the load of the engines would be underestimated.
func TestSameRequestIDAtTwoVMs(t *testing.T) {
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	engine := newTestUpstream(t, "e0", func(w http.ResponseWriter, _ *http.Request) {
		<-release
		writeSealed(w, "body")
	})
	f := startPlacingFleet(t, 2, engine)
	t.Cleanup(end) // A failed test must not wait for the requests.
	owner, _ := f.ownerAndOther(t)
	var sends sync.WaitGroup
	for vm := range f.servers {
		sends.Go(func() {
			if _, _, err := f.send(vm, "same", "/x/", nil); err != nil {
				t.Error(err)
			}
		})
	}
	await(t, "two requests in flight at the owner", func() bool {
		runner := f.servers[owner].findEngineRunner("p")
		return runner != nil && runner.inFlight() == 2
	})
	end()
	sends.Wait()
}

// TestSignalWhileOwnerIsAsked guards against a request to an upstream that asked for no traffic after its owner
// was asked, and before it answered.
func TestSignalWhileOwnerIsAsked(t *testing.T) {
	engines := newEngines(t, 2)
	f := startPlacingFleet(t, 2, engines...)
	owner, other := f.ownerAndOther(t)
	s := f.servers[other]
	startFakeOwner(t, s, f.servers[owner], func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
		s.signals.recordPause(s.view.Load().ByID["e0"], time.Hour)
		return &hoistv1.PlaceResponse{Upstream: "e0"}, nil
	})
	f.mustServe(t, other, "1")
	if n := engines[0].totalRuns(); n > 0 {
		t.Errorf("the paused engine got %d requests", n)
	}
}

// TestLostShardIsForgotten guards against the state of a shard that stays at a VM which owned the shard without a
// claim: it would be out of date when the VM owns the shard again.
func TestLostShardIsForgotten(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 1)...)
	_, other := f.ownerAndOther(t)
	s := f.servers[other]
	if s.engineRunner("p") == nil {
		t.Fatal("the shard does not exist")
	}
	await(t, "the state to be dropped", func() bool {
		s.updatePoolClaims()
		return s.findEngineRunner("p") == nil
	})
}

// TestPanicInReport guards against a report of an engine that ends the process.
func TestPanicInReport(t *testing.T) {
	f := startPlacingFleetWith(t, 2, func(s *Server) { s.dialect = panickingReports{s.dialect} }, newEngines(t, 1)...)
	owner, _ := f.ownerAndOther(t)
	s := f.servers[owner]
	f.mustServe(t, owner, "1")
	await(t, "a contained panic", func() bool { return testutil.ToFloat64(s.metrics.panics.WithLabelValues("engine report")) == 1 })
	f.mustServe(t, owner, "2")
}

// panickingReports is a dialect whose decoder of reports panics.
type panickingReports struct{ Dialect }

// DecodeEngineReport implements Dialect.
func (panickingReports) DecodeEngineReport([]byte) (enginepool.Report, error) {
	panic("report of the test")
}

// TestStartedVMDecidesAlone guards against VMs that take themselves for the owner of all shards when all start at
// once: each would ask all engines for reports.
func TestStartedVMDecidesAlone(t *testing.T) {
	uptime := discoveryTimeout - 1
	s := &Server{startedAt: clock.Instant(time.Hour), maxDecidingAlone: smallFleetSize}
	s.now = func() clock.Instant { return s.startedAt.Add(uptime) }
	s.fleetSize.Store(80)
	view := &View{ShardsOf: map[string][]*poolShard{"p": {{engine: &catalog.Engine{}}}}}
	if s.placesByOwner(view, "p") {
		t.Error("a VM that has just started asks owners")
	}
	uptime++
	if !s.placesByOwner(view, "p") {
		t.Error("a VM that has had time to discover others does not ask owners")
	}
	s.fleetSize.Store(smallFleetSize)
	if s.placesByOwner(view, "p") {
		t.Error("a VM of a small fleet asks owners")
	}
}

// TestNoTimeLeftForOwner guards against a request that waits once for each owner and each try, and against an
// owner that counts as not answering although it had no time to answer.
func TestNoTimeLeftForOwner(t *testing.T) {
	f := startPlacingFleet(t, 2, newEngines(t, 2)...)
	owner, other := f.ownerAndOther(t)
	s, entry := f.servers[other], selfEntry(f.servers[owner])
	fake := startFakeOwner(t, s, f.servers[owner], func(context.Context, *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
		return &hoistv1.PlaceResponse{Upstream: "e0"}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	transaction := &transaction{s: s, ctx: context.Background()}
	if response := transaction.callPlace(ctx, entry, s.view.Load().Shards["p"], &enginepool.Request{ID: "x"}); response != nil || fake.asked.Load() != 0 {
		t.Errorf("the owner was asked %d times", fake.asked.Load())
	}
	s.skipEngineOwner(entry, true)
	if s.engineOwners.isSkipped(entry.Name, s.now()) {
		t.Error("an owner without time to answer counts as not answering")
	}
	s.skipEngineOwner(entry, false)
	if !s.engineOwners.isSkipped(entry.Name, s.now()) {
		t.Error("an owner that did not answer is asked again")
	}
}
