package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

func testNow() clock.Instant { return clock.Instant(time.Hour) }

// fleetSizes are the numbers of VMs and of upstreams that the benchmarks cover.
var fleetSizes = []struct{ vms, upstreams int }{{30, 300}, {100, 1000}, {300, 3000}}

// newSizedServer returns a server that does not run, with a fleet and upstreams of the given
// numbers. Half of the upstreams are engines, the others run stages.
func newSizedServer(b testing.TB, vms, upstreams int) *Server {
	b.Helper()
	store := newTestStore()
	batch := testBatch
	c := &catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{
			"p": {Name: "p", MaxConnections: 230, ColdStartTime: 3 * time.Second, ColdRequestsPerSecond: 8, Engine: &catalog.Engine{Concurrency: 12}},
			"a": {Name: "a", Batch: &batch},
		},
		Routes: []catalog.Route{testRoute("/x/", catalog.Stream, func(r *catalog.Route) { r.HasPromptPrefixes = true })},
	}
	c.Index()
	store.put("tables", c)
	for i := range upstreams {
		pool := []string{"p", "a"}[i%2]
		store.put(fmt.Sprint("u/", i), &catalog.Upstream{ID: fmt.Sprint("i-", i), Pool: pool, Address: fmt.Sprint("10.0.0.1:", i), Zone: fmt.Sprint("zone-", i%5)})
	}
	s := &Server{
		settings: Settings{VM: "vm-0", Zone: "zone-0", RetryWindow: time.Second, ColdRateFactor: 1.5, ColdRateBurst: 5}, now: testNow, logger: zap.NewNop(),
		poolRunners: map[string]*poolRunner{}, upstreams: newUpstreams(testNow, func(string) bool { return false }),
		startup: newStartup(), origins: newStreamOrigins(),
	}
	s.inForce.Store(&s.settings)
	self := fleet.Entry{Name: "vm-0", Zone: "zone-0", Address: "10.1.0.0:1"}
	s.gossip = &gossip{
		now: testNow, logger: zap.NewNop(), directory: fleet.New(testNow(), self), onMembershipChange: func() {}, onClaimChange: func() {}, onSizeChange: func() {}, onOrigins: func([]*hoistv1.StreamOrigin) {},
		hellos: fleet.NewHelloTargets(self.Address, nil), sizes: fleet.NewSizeBound(testNow()),
		membership: membership.New(testNow(), membership.Options{Self: "vm-0", ProbeInterval: probeInterval, DirectTimeout: directTimeout, ProbeTimeout: probeTimeout, SuspicionTimeout: suspicionTimeout, PauseThreshold: pauseThreshold}),
	}
	s.gossip.directory.Merge(testNow(), sizedEntries(vms))
	s.gossip.membership.SetMembers(testNow(), s.gossip.directory.Members())
	s.follower = newFollower(store, store.decode, testNow, zap.NewNop(), s.applyView, s.gossip.isClaimed)
	if err := s.follower.list(context.Background()); err != nil {
		b.Fatal(err)
	}
	return s
}

func sizedEntries(vms int) []fleet.Entry {
	var entries []fleet.Entry
	for i := range vms - 1 {
		entries = append(entries, fleet.Entry{Name: fmt.Sprint("vm-", i+1), Zone: fmt.Sprint("zone-", i%5), Address: fmt.Sprintf("10.1.%d.%d:1", i/200, i%200), Started: 1})
	}
	return entries
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, s *Server)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.upstreams), func(b *testing.B) {
			s := newSizedServer(b, size.vms, size.upstreams)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

// BenchmarkFleetChange is the work after a VM was found or lost.
func BenchmarkFleetChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		for b.Loop() {
			s.onFleetChange()
		}
	})
}

// BenchmarkTableChange is the work after one published item changed.
func BenchmarkTableChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		at := s.follower.position()
		for b.Loop() {
			at.Revision++
			item := replica.Item{Key: "u/0", Value: []byte("u/0@2"), Revision: at.Revision}
			s.follower.mu.Lock()
			s.follower.applyUpdate(s.follower.state.Watch(testNow(), []replica.Item{item}, at, testNow()), fromStore)
			s.follower.mu.Unlock()
		}
	})
}

// BenchmarkPull is the response to a peer that lacks the latest change.
func BenchmarkPull(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		before := s.follower.position()
		after := replica.Position{Era: before.Era, Revision: before.Revision + 1}
		s.follower.state.Watch(testNow(), []replica.Item{{Key: "u/0", Value: []byte("u/0@2"), Revision: after.Revision}}, after, testNow())
		var size int
		for b.Loop() {
			changes := s.follower.changesAfter(context.Background(), peerRequest{after: before, asDelta: true}, 0)
			size = 0
			for _, key := range changes.changes.Keys {
				size += len(key)
			}
		}
		b.ReportMetric(float64(size), "keybytes")
	})
}

// BenchmarkMembershipTick is the periodic work of the membership protocol, and BenchmarkDatagram
// the work for a received message.
func BenchmarkMembershipTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		for b.Loop() {
			s.gossip.mu.Lock()
			s.gossip.directory.UpdateReachability(testNow(), s.gossip.membership.Members())
			s.gossip.mu.Unlock()
			s.gossip.reportChanges()
		}
	})
}

// BenchmarkDatagram is the work for one received membership message.
func BenchmarkDatagram(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		datagram := &hoistv1.Datagram{}
		for _, e := range sizedEntries(9) {
			datagram.Directory = append(datagram.Directory, entryToProto(e))
		}
		for b.Loop() {
			s.gossip.applyDatagram(datagram)
			s.gossip.reportChanges()
		}
	})
}

// BenchmarkOwner is the lookup of the owner of a pool, which each stage needs several times.
func BenchmarkOwner(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		for b.Loop() {
			s.gossip.owner(fleet.Resource{Name: "a/zone-0", Zone: "zone-0"})
		}
	})
}

// BenchmarkAcquire is the choice of the engine for a request with a prompt of two shared parts.
func BenchmarkAcquire(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *Server) {
		view := s.view.Load()
		request := &placement.Request{Prefix: []placement.PrefixLevel{{Part: rendezvous.HashOf("a"), Upstreams: 60}, {Part: rendezvous.HashOf("b")}}, FleetWeight: 12}
		for b.Loop() {
			l, _ := s.upstreams.acquire(view, "p", request)
			l.release()
		}
	})
}
