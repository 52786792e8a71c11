package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// publishedRoutes returns n routes as the store has them, with names and prefixes by the seed.
func publishedRoutes(n int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	var out strings.Builder
	for range n {
		fmt.Fprintf(&out, `,{"name":"r-%07x","host":"a.example","prefix":"/%08x/","service":"p","kind":"safe","timeout_ms":800,"target_latency_ms":150,"gap_aim_ms":0,"priority":2,"max_attempts":2,"anonymous":false,"sticky":false}`,
			random.Uint32()>>4, random.Uint32())
	}
	return out.String()
}

const (
	// largeConfiguration is the number of routes of the largest configuration that operators announced.
	largeConfiguration = 3000
	// maxChangeTime is the time within which a change must reach the last VM while nothing fails.
	maxChangeTime = time.Second
)

// TestLargeConfigurationOnSlowLinks adds 3,000 routes in a fleet with relays whose links have 10 Mbit/s, and an
// upstream says soon after that it leaves. It guards against transfers that are cut off by a timeout because they
// are large and begin again, and against a change that waits behind one.
func TestLargeConfigurationOnSlowLinks(t *testing.T) {
	const linkBytesPerSecond = 10e6 / 8
	f := startFleetWith(t, 24, nil, func(s *Server) {
		s.maxDirectFollowers = 1
		link := &slowLink{bytesPerSecond: linkBytesPerSecond}
		s.wrapPeers = func(l net.Listener) net.Listener { return link.listener(l) }
	})
	u, leaving := newTestUpstream(t, "u", nil), newTestUpstream(t, "leaving", nil)
	upstreams := catalogUpstreams("p", u, leaving)
	routes := []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)}
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: routes}, upstreams...)

	large := &catalog.Catalog{Version: 2, Pools: singlePool(), Routes: routes}
	large.Index()
	begin := time.Now()
	f.store.putPadded("tables", large, publishedRoutes(largeConfiguration, 1))
	drain := upstreams[1]
	drain.Draining = true
	f.store.put("u/"+drain.ID, &drain)
	awaitOnAll := func(what string, holds func(*View) bool) {
		await(t, what, func() bool {
			for _, s := range f.servers {
				if !holds(s.view.Load()) {
					return false
				}
			}
			return true
		})
		if elapsed := time.Since(begin); elapsed > maxChangeTime {
			t.Errorf("%s after %v, %v allowed", what, elapsed, maxChangeTime)
		} else {
			t.Logf("%s after %v", what, elapsed)
		}
	}
	awaitOnAll("the drain on all VMs", func(v *View) bool { return v.ByID[drain.ID].Draining })
	awaitOnAll("the configuration on all VMs", func(v *View) bool { return v.Catalog == large })
}

// TestWholeTablesOnSlowLink starts a VM in a deployment of 3,000 upstreams whose VMs have links of 0.3 Mbit/s left. It guards
// against whole tables that are cut off by the timeout of a pull, so that a VM which starts never gets any.
func TestWholeTablesOnSlowLink(t *testing.T) {
	const (
		upstreams          = 3000
		linkBytesPerSecond = 0.3e6 / 8
	)
	f := startFleetWith(t, fleet.StoreReaderCount, nil, func(s *Server) {
		link := &slowLink{bytesPerSecond: linkBytesPerSecond}
		s.wrapPeers = func(l net.Listener) net.Listener { return link.listener(l) }
	})
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)}}, catalogUpstreams("p", u)...)
	random := rand.New(rand.NewPCG(1, 0))
	for i := range upstreams {
		f.store.putPadded(fmt.Sprint("u/idle-", i), &catalog.Upstream{ID: fmt.Sprint("idle-", i), Pool: "p", Address: "127.0.0.1:1", Zone: "zone-a"}, fmt.Sprintf(" %016x%016x", random.Uint64(), random.Uint64()))
	}
	awaitAll := func(s *Server) {
		await(t, "all upstreams at "+s.settings.VM, func() bool {
			view := s.view.Load()
			return view != nil && len(view.ByID) == upstreams+1
		})
	}
	for _, s := range f.servers {
		awaitAll(s)
	}
	settings := f.servers[0].settings
	settings.VM, settings.IP = "vm-late", f.lateIP
	settings.PeerListen, settings.Listen, settings.ReadyListen = joinHostPort(f.lateIP, testPeerPort), joinHostPort(f.lateIP, testCallerPort), joinHostPort(f.lateIP, testReadyPort)
	f.start(settings)
	late := f.servers[len(f.servers)-1]
	f.sources[len(f.sources)-1].rejected.Store(true)
	awaitAll(late)
}

// TestReaderOfLargeAnswer lets a change arrive at one of two VMs in parts that take longer than a watch. It guards
// against a reader that counts the store as lost since an answer is large for its link, and against a change that waits
// behind it although another reader has it.
func TestReaderOfLargeAnswer(t *testing.T) {
	const parts = 60 // 3 s
	f := startFleet(t, 2, nil)
	u, leaving := newTestUpstream(t, "u", nil), newTestUpstream(t, "leaving", nil)
	upstreams := catalogUpstreams("p", u, leaving)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)}}, upstreams...)
	slow := f.servers[0]
	await(t, "the end of the first pulls from peers", func() bool {
		slow.follower.mu.Lock()
		defer slow.follower.mu.Unlock()
		return slow.follower.keptPulls == 0
	})
	f.sources[0].answerParts.Store(parts)
	begin := time.Now()
	f.store.put("out/zone-x", "")
	drain := upstreams[1]
	drain.Draining = true
	f.store.put("u/"+drain.ID, &drain)
	await(t, "the drain at the reader", func() bool {
		if slow.follower.hasLostStore() {
			t.Fatal("the reader counts the store as lost while its answer arrives")
		}
		return slow.view.Load().ByID[drain.ID].Draining
	})
	if elapsed := time.Since(begin); elapsed > parts*answerPartTime*2/3 {
		t.Errorf("the drain took %v, as long as the large answer", elapsed)
	}
}

// TestLargeUnknownItem publishes a large item whose key has no meaning here. It guards against requests with keys that
// are refused since the value of such an item never arrives, so that the configuration counts as outdated.
func TestLargeUnknownItem(t *testing.T) {
	f := startFleet(t, fleet.StoreReaderCount+2, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)}}, catalogUpstreams("p", u)...)
	f.store.mu.Lock()
	f.store.revision++
	f.store.items["other"] = replica.Item{Key: "other", Value: []byte(publishedRoutes(100, 2)), Revision: f.store.revision}
	f.store.mu.Unlock()
	f.store.put("u/later", &catalog.Upstream{ID: "later", Pool: "p", Address: "127.0.0.1:1", Zone: "zone-a"})
	for _, s := range f.servers {
		await(t, "the value at "+s.settings.VM, func() bool {
			return s.view.Load().ByID["later"] != nil && len(s.follower.outstanding()) == 0 && s.follower.configurationAge() < fleet.StaleTablesAge
		})
	}
}
