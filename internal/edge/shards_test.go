package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const testZones = 3

// zoneName returns the zone of the i-th VM or upstream.
func zoneName(i int) string { return fmt.Sprint("zone-", i%testZones) }

// startZonedFleet starts VMs in three zones, and publishes a route with two stages in pools of five
// upstreams a zone.
func startZonedFleet(t *testing.T, vms int) (f *testFleet, model *testUpstream, stages []*testUpstream) {
	t.Helper()
	started := 0
	f = startFleet(t, vms, func(s *Settings) {
		s.Zone = zoneName(started)
		started++
	})
	model = newTestUpstream(t, "m", nil)
	upstreams := catalogUpstreams("p", model)
	for i := range 5 * testZones * 2 {
		u := newTestUpstream(t, fmt.Sprint("s", i), nil)
		entry := catalogUpstreams([]string{"a", "b"}[i/(5*testZones)], u)[0]
		entry.Zone = zoneName(i)
		stages, upstreams = append(stages, u), append(upstreams, entry)
	}
	batch := testBatch
	// A call counts as long, so that the time of this test's machine does not count as waiting.
	batch.CallTime = 2 * time.Second
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}, "b": {Name: "b", Batch: &batch}},
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages = []catalog.Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}}
			r.Objective, r.Timeout = time.Minute, time.Minute
		})},
	}, upstreams...)
	return f, model, stages
}

// TestZonesOwnTheirStages guards against stages that leave the zone of their request although it
// has free upstreams, and against an owner of a zone's stages in another zone: a zone that is cut
// off could not run its stages.
func TestZonesOwnTheirStages(t *testing.T) {
	f, model, stages := startZonedFleet(t, 2*testZones)
	for zone := range testZones {
		for _, pool := range []string{"a", "b"} {
			name := pool + "/" + zoneName(zone)
			await(t, "an owner of "+name+" in its zone", func() bool {
				owner := f.servers[zone].gossip.owner(f.servers[zone].resourceOf(name))
				return owner.Zone == zoneName(zone)
			})
		}
	}
	// Two requests a zone at a time leave upstreams free in each zone.
	for round := range 4 {
		var wg sync.WaitGroup
		for vm := range f.servers {
			wg.Go(func() {
				id := fmt.Sprint("r", round*len(f.servers)+vm)
				response, _, err := f.send(vm, id, "/x/", map[string]string{"Pieces": "2,2"})
				if err != nil || response.StatusCode != http.StatusOK || model.runCount(id) != 1 {
					t.Errorf("%s: %v, error %v, %d runs", id, response, err, model.runCount(id))
				}
			})
		}
		wg.Wait()
	}
	for i, u := range stages {
		for _, call := range u.calls {
			for _, piece := range call.Pieces {
				var request int
				if _, err := fmt.Sscanf(piece.Request, "r%d", &request); err != nil {
					t.Fatal(err)
				}
				if zoneName(request) != zoneName(i) {
					t.Errorf("a stage of %s ran in %s, its request was in %s", piece.Request, zoneName(i), zoneName(request))
				}
			}
		}
		await(t, "all results released", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.released) == u.resultCount
		})
	}
}

// TestZoneWithoutVMs stops all VMs of a zone. It guards against a VM of another zone that sends its
// stages to owners which are gone.
func TestZoneWithoutVMs(t *testing.T) {
	f, _, _ := startZonedFleet(t, testZones)
	f.stops[1]()
	<-f.done[1]
	for _, vm := range []int{0, 2} {
		response, _, err := f.send(vm, fmt.Sprint("r", vm), "/x/", map[string]string{"Pieces": "2,2"})
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("VM %d: %v, error %v", vm, response, err)
		}
	}
	await(t, "the VMs know that the zone has no VM", func() bool {
		return !f.servers[0].isZoneReachable(zoneName(1)) && !f.servers[2].isZoneReachable(zoneName(1))
	})
}

// TestSilentZoneGetsNoReservations guards against a VM of a zone that is cut off which goes on
// asking the owners of other zones to take stages, and waits for each of them.
func TestSilentZoneGetsNoReservations(t *testing.T) {
	f, _, _ := startZonedFleet(t, testZones)
	s := f.servers[0]
	view := s.view.Load()
	hasShardOf := func(zone string) bool {
		for _, shard := range s.otherShards(view, s.chooseShard(view, "a", zoneName(0), "r"), testZones) {
			if shard.Zone == zone {
				return true
			}
		}
		return false
	}
	for i := range 2 {
		if !hasShardOf(zoneName(1)) {
			t.Fatalf("no shard of the zone after %d reservations without response", i)
		}
		s.reservationResponses.record(s.now(), fleet.Entry{Name: fmt.Sprint("vm-of-zone-1-", i), Zone: zoneName(1)}, false)
	}
	if hasShardOf(zoneName(1)) || !hasShardOf(zoneName(2)) {
		t.Error("the shards of the silent zone should be left out, and those of the other one not")
	}
	if !s.isZoneReachable(zoneName(1)) {
		t.Error("reservations that time out decide who may own the shards of the zone")
	}
	s.reservationResponses.record(s.now(), fleet.Entry{Name: "vm-of-zone-1-0", Zone: zoneName(1)}, true)
	if !hasShardOf(zoneName(1)) {
		t.Error("no shard of the zone although one of its owners responded")
	}
}

// TestZoneWithoutUpstreams takes a zone out of service. It guards against requests of that zone
// which find no upstream for their stages although other zones have some.
func TestZoneWithoutUpstreams(t *testing.T) {
	f, _, stages := startZonedFleet(t, testZones)
	f.store.put("out/"+zoneName(1), catalog.ZoneOut(zoneName(1)))
	await(t, "the zone is out of service on all VMs", func() bool {
		for _, s := range f.servers {
			if !s.view.Load().ZonesOut[zoneName(1)] {
				return false
			}
		}
		return true
	})
	for vm := range f.servers {
		id := fmt.Sprint("r", vm)
		response, _, err := f.send(vm, id, "/x/", map[string]string{"Pieces": "2,2"})
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("VM %d: %v, error %v", vm, response, err)
		}
	}
	for i, u := range stages {
		if zoneName(i) == zoneName(1) && len(u.calls) > 0 {
			t.Errorf("%d stage calls in the zone that is out of service", len(u.calls))
		}
	}
}

// TestFailedPieceRunsAgain lets one piece of a stage fail once. It guards against releasing the
// inputs of a stage before it has ended: all stages of the request would have to run again.
func TestFailedPieceRunsAgain(t *testing.T) {
	f := startFleet(t, 1, nil)
	batch := testBatch
	first, second := newTestUpstream(t, "s1", nil), newTestUpstream(t, "s2", nil)
	calls := 0
	second.results = func(_ stagepool.Call, results []stagepool.PieceResult) []stagepool.PieceResult {
		first.mu.Lock()
		released := len(first.released)
		first.mu.Unlock()
		if released > 0 {
			t.Errorf("%d inputs were released before the stage had ended", released)
		}
		if calls++; calls == 1 {
			results[0] = stagepool.PieceResult{Outcome: stagepool.PieceFailed}
		}
		return results
	}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}, "b": {Name: "b", Batch: &batch}},
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages = []catalog.Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}}
		})},
	}, append(append(catalogUpstreams("p", newTestUpstream(t, "m", nil)), catalogUpstreams("a", first)...), catalogUpstreams("b", second)...)...)
	response, _, err := f.send(0, "r", "/x/", map[string]string{"Pieces": "1,2"})
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, error %v", response, err)
	}
	if n := len(first.calls); n != 1 {
		t.Errorf("the first stage ran %d times, expected once", n)
	}
	if n := len(second.calls); n != 2 {
		t.Errorf("the second stage took %d calls, expected that the failed piece alone ran again", n)
	}
}

// TestRerunIsAdmittedUntilItsDeadline guards against giving up a request whose answer was lost, as
// if its caller could send it again, because its stages would end after its objective.
func TestRerunIsAdmittedUntilItsDeadline(t *testing.T) {
	run := &transaction{due: clock.Instant(2 * time.Second), deadline: clock.Instant(10 * time.Second)}
	if limit := run.admissionLimit(); limit.After(run.due) {
		t.Errorf("a new request is admitted until %v, expected no later than its objective %v", limit, run.due)
	}
	run.mayHaveRun = true
	if limit := run.admissionLimit(); limit != run.deadline {
		t.Errorf("a request that may have run is admitted until %v, expected its deadline %v", limit, run.deadline)
	}
}

// TestShardsOutliveAnUpstream removes an upstream of pools that are just large enough to be divided,
// and starts another VM. It guards against moving the work of all shards to one owner, and against a
// VM that divides the pools in another way than those which have been running.
func TestShardsOutliveAnUpstream(t *testing.T) {
	f, _, _ := startZonedFleet(t, testZones)
	settings := f.servers[0].settings
	f.store.put("u/s0", nil)
	await(t, "the upstream removed on all VMs", func() bool {
		for _, s := range f.servers {
			if s.view.Load().ByID["s0"] != nil {
				return false
			}
		}
		return true
	})
	settings.VM, settings.IP = "vm-new", settings.IP[:strings.LastIndexByte(settings.IP, '.')]+".200"
	settings.PeerListen, settings.Listen, settings.ReadyListen = joinHostPort(settings.IP, testPeerPort), joinHostPort(settings.IP, testCallerPort), joinHostPort(settings.IP, testReadyPort)
	f.start(settings)
	for i, s := range f.servers {
		await(t, fmt.Sprintf("VM %d with a shard for each zone", i), func() bool {
			view := s.view.Load()
			return view != nil && len(view.ShardsOf["a"]) == testZones
		})
	}
}
