package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
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
