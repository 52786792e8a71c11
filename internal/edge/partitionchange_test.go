package edge

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// startPartitionableFleet starts VMs with a route that has one stage in pool a, whose upstreams are in a network
// that can be cut.
func startPartitionableFleet(t *testing.T, vms int) (*testFleet, *testNetwork) {
	t.Helper()
	f, network := startFleet(t, vms, nil), newTestNetwork(t)
	var models, stages []*testUpstream
	for i := range 4 {
		models, stages = append(models, network.newUpstream(t, fmt.Sprint("m", i))), append(stages, network.newUpstream(t, fmt.Sprint("s", i)))
	}
	c := stagedCatalog()
	c.Routes[0].Objective, c.Routes[0].Timeout = time.Minute, time.Minute
	f.publish(c, append(catalogUpstreams("p", models...), catalogUpstreams("a", stages...)...)...)
	return f, network
}

// TestPartitionedVMOwnsNoPool cuts the owner of a pool off from all upstreams. It guards against stages of all
// VMs that wait for it, and against a VM that is not an owner again, or does not open connections, after it is back.
func TestPartitionedVMOwnsNoPool(t *testing.T) {
	for name, kind := range map[string]cutKind{"hanging": hangingCut, "breaking": breakingCut, "new connections": newConnsCut} {
		t.Run(name, func(t *testing.T) {
			f, network := startPartitionableFleet(t, 3)
			owner := f.awaitOwner(t, "a")
			cut := slices.IndexFunc(f.servers, func(s *Server) bool { return s.settings.VM == owner })
			inTouch := (cut + 1) % len(f.servers)
			f.sendStaged(t, inTouch, "before")
			network.cut(f.servers[cut].settings.IP, kind)
			var moved atomic.Bool
			var senders sync.WaitGroup
			for sender := range 4 {
				senders.Go(func() {
					for n := 0; !moved.Load(); n++ {
						_, _, _ = f.send(inTouch, fmt.Sprint("r", sender, "-", n), "/x/", map[string]string{"Pieces": "2"}) // It may fail as yet.
						<-time.After(20 * time.Millisecond)
					}
				})
			}
			await(t, "the VM is partitioned", f.servers[cut].partition.isPartitioned)
			await(t, "another owner", func() bool { return f.awaitOwner(t, "a") != owner })
			moved.Store(true)
			senders.Wait()
			for i := range 3 {
				f.sendStaged(t, inTouch, fmt.Sprint("served ", i))
			}
			for i, s := range f.servers {
				if got := s.partition.isPartitioned(); got != (i == cut) {
					t.Errorf("VM %d partitioned: %v", i, got)
				}
			}
			network.heal()
			await(t, "the partition is over", func() bool {
				return !f.servers[cut].partition.isPartitioned() && !f.servers[inTouch].isKnownPartitioned(owner)
			})
			f.sendStaged(t, cut, "after")
		})
	}
}

// sendStaged sends a request with a stage, which must be served.
func (f *testFleet) sendStaged(t *testing.T, vm int, id string) {
	response, body, err := f.send(vm, id, "/x/", map[string]string{"Pieces": "2"})
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("request %s: %v, body %q, error %v", id, response, body, err)
	}
}

// isKnownPartitioned reports whether a VM is partitioned as far as this VM knows.
func (s *Server) isKnownPartitioned(name string) bool {
	s.gossip.mu.Lock()
	defer s.gossip.mu.Unlock()
	entry, _ := s.gossip.directory.Entry(name)
	return entry.Partitioned
}

// TestPartitionBlamesNoUpstream ends the connections of all upstreams while they run requests. It guards against
// VMs that take this for crashes of the upstreams, block the requests, and tell the others so.
func TestPartitionBlamesNoUpstream(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	f := startFleetWith(t, 2, nil, func(s *Server) {
		s.logger = zap.New(core)
		s.partition.logger = s.logger
	})
	upstreams := make([]*testUpstream, 6)
	arrived, cut := make(chan struct{}, len(upstreams)), make(chan struct{})
	for i := range upstreams {
		upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(http.ResponseWriter, *http.Request) {
			arrived <- struct{}{}
			<-cut
			panic(http.ErrAbortHandler)
		})
	}
	pools := map[string]*catalog.Pool{"p": {Name: "p", HealthPath: "/memory"}}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: pools, Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = time.Minute })},
	}, catalogUpstreams("p", upstreams...)...)
	var requests sync.WaitGroup
	for i := range upstreams {
		requests.Go(func() { _, _, _ = f.send(0, fmt.Sprint("r", i), "/x/", nil) }) // It fails.
	}
	for range upstreams {
		<-arrived
	}
	for _, u := range upstreams {
		_ = u.server.Listener.Close() // Later connections are refused.
	}
	close(cut)
	requests.Wait()
	await(t, "the VM is partitioned", f.servers[0].partition.isPartitioned)
	await(t, "a verdict on each broken connection", func() bool {
		return logs.FilterMessage("broken connection not taken for a crash").Len() >= 1
	})
	if n := logs.FilterMessageSnippet("upstream died").Len(); n != 0 {
		t.Errorf("%d crashes reported", n)
	}
	for _, s := range f.servers {
		for i := range upstreams {
			if s.parts.checkRequest(requestKeyOf(fmt.Sprint("r", i))) {
				t.Errorf("%s blocks a request", s.settings.VM)
			}
		}
	}
}

// TestPartitionedFieldOfEntry guards against a state that the other VMs do not learn.
func TestPartitionedFieldOfEntry(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		entry := fleet.Entry{Name: "a", Partitioned: partitioned}
		if got := entryFromProto(entryToProto(entry)); got.Partitioned != partitioned {
			t.Errorf("partitioned: %v, expected %v", got.Partitioned, partitioned)
		}
	}
	if entryFromProto(&hoistv1.DirectoryEntry{Name: "a"}).Partitioned {
		t.Error("a VM of an older version counts as partitioned")
	}
}

// partitionVM cuts a VM off from all upstreams, and waits until all VMs know that it is partitioned.
func (f *testFleet) partitionVM(t *testing.T, network *testNetwork, vm int) {
	t.Helper()
	cut := f.servers[vm]
	network.cut(cut.settings.IP, newConnsCut)
	for address := range cut.view.Load().ByAddress {
		cut.partition.recordConnFailed(address, io.ErrUnexpectedEOF)
	}
	await(t, "all VMs know that it is partitioned", func() bool {
		return !slices.ContainsFunc(f.servers, func(s *Server) bool { return !s.isKnownPartitioned(cut.settings.VM) })
	})
}

// TestPartitionedVMRefusesOwnership guards against a partitioned VM that claims a pool since the owner that it
// knows has denied it.
func TestPartitionedVMRefusesOwnership(t *testing.T) {
	f, network := startPartitionableFleet(t, 2)
	f.partitionVM(t, network, 0)
	s, other := f.servers[0], f.servers[1]
	owner, isOwner := s.claimOrRedirect(t.Context(), s.resourceOf("a"), nil, []string{other.settings.VM})
	if isOwner || owner.Name != other.settings.VM {
		t.Errorf("owner %v, claims the pool: %v", owner.Name, isOwner)
	}
}

// TestStagesLeaveAPartitionedOwner guards against a stage that waits for a call of an owner which is partitioned
// meanwhile.
func TestStagesLeaveAPartitionedOwner(t *testing.T) {
	f, network := startPartitionableFleet(t, 2)
	started, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	var isFirst atomic.Bool
	isFirst.Store(true)
	for _, u := range network.upstreams {
		u.beforeStage = func() {
			if isFirst.CompareAndSwap(true, false) {
				started <- struct{}{}
				<-release
			}
		}
	}
	owner := f.awaitOwner(t, "a")
	cut := slices.IndexFunc(f.servers, func(s *Server) bool { return s.settings.VM == owner })
	var request sync.WaitGroup
	request.Go(func() { f.sendStaged(t, 1-cut, "r") })
	<-started
	// The call goes on, as connections from before a partition may.
	f.partitionVM(t, network, cut)
	request.Wait()
}

// TestForgetFailuresOfPartition guards against upstreams that are avoided after a partition because of it.
func TestForgetFailuresOfPartition(t *testing.T) {
	now := clock.Instant(time.Hour)
	u := newUpstreams(func() clock.Instant { return now }, func(string) bool { return false })
	state := &upstreamState{Upstream: placement.Upstream{ID: "a", Zone: "z"}}
	u.states["a"] = state
	for range 3 {
		state.RecordUnreachable(now)
		state.RecordError(now)
	}
	for _, id := range []string{"a", "b"} {
		u.zones.RecordTimeout(now, "z", id)
	}
	if !state.InBackoff(now) || state.ErrorFactor(now) <= 1 || !u.zones.IsSuspect(now, "z") {
		t.Fatal("no failure is known")
	}
	u.forgetFailures()
	if state.InBackoff(now) || state.ErrorFactor(now) != 1 || u.zones.IsSuspect(now, "z") {
		t.Error("failures are not forgotten")
	}
}

// TestFailuresAreForgottenBeforePoolsMove guards against a new owner that takes over failures which were due to the
// partition.
func TestFailuresAreForgottenBeforePoolsMove(t *testing.T) {
	f, _ := startPartitionableFleet(t, 2)
	s := f.servers[0]
	failedAt := s.now()
	s.upstreams.mu.Lock()
	state := s.upstreams.states["m0"]
	state.RecordUnreachable(failedAt)
	s.upstreams.mu.Unlock()
	// The lock of the directory stops the change where the other VMs would learn of it.
	s.gossip.mu.Lock()
	changed := make(chan struct{})
	defer func() {
		s.gossip.mu.Unlock()
		<-changed
	}()
	go func() {
		defer close(changed)
		s.onPartitionChange(true)
	}()
	await(t, "the failure is forgotten", func() bool {
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return !state.InBackoff(failedAt)
	})
}

// TestProbeTargets guards against probes of upstreams that ask for no traffic, and against a query that would run
// as a request at an upstream without a health path.
func TestProbeTargets(t *testing.T) {
	f := startFleet(t, 1, nil)
	batch := testBatch
	f.publish(&catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{
		"p": {Name: "p"}, "h": {Name: "h", HealthPath: "/health"}, "a": {Name: "a", Batch: &batch}, "e": {Name: "e", Engine: &catalog.Engine{Concurrency: 1}},
	}}, slices.Concat(
		catalogUpstreams("p", newTestUpstream(t, "p", nil)), catalogUpstreams("h", newTestUpstream(t, "h", nil)),
		catalogUpstreams("a", newTestUpstream(t, "a", nil), newTestUpstream(t, "paused", nil)), catalogUpstreams("e", newTestUpstream(t, "e", nil)),
	)...)
	s := f.servers[0]
	view := s.view.Load()
	s.signals.record(view, view.ByID["paused"], ResponseInfo{Pause: time.Minute})
	var targets []string
	for _, target := range s.partition.probeTargets(view) {
		id := view.ByAddress[target.Address].ID
		targets = append(targets, id)
		if target.HasReport != (id != "h") {
			t.Errorf("%s has a report: %v", id, target.HasReport)
		}
	}
	slices.Sort(targets)
	if expected := []string{"a", "e", "h"}; !slices.Equal(targets, expected) {
		t.Errorf("targets %v, expected %v", targets, expected)
	}
}
