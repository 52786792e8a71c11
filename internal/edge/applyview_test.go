package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// newSingleView returns a view with one upstream of the pool p.
func newSingleView(id string) *View {
	entry := &registry.Entry{Upstream: catalog.Upstream{ID: id, Pool: "p", Address: "127.0.0.1:1", Zone: "zone-a", StartID: 1}}
	c := &catalog.Catalog{Version: 1, Pools: singlePool()}
	c.Index()
	return newView(replica.Position{Revision: 1}, c, []*registry.Entry{entry}, nil, func(string) bool { return false })
}

// TestNewViewHasItsUpstreams guards against a request that is refused because no upstream is in
// service, although one is: its view was current before the upstreams of the view could be chosen.
func TestNewViewHasItsUpstreams(t *testing.T) {
	f := startFleet(t, 1, nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool()}) // The VM applies no view of its own afterwards.
	s := f.servers[0]
	for i := range 2000 {
		view := newSingleView(fmt.Sprint("u", i))
		go s.applyView(view)
		for deadline := time.Now().Add(10 * time.Second); s.view.Load() != view; {
			if time.Now().After(deadline) {
				t.Fatal("the view is not applied")
			}
		}
		l, status := s.upstreams.acquire(view, "p", &placement.Request{})
		if status != placement.Found {
			t.Fatalf("view %d: status %d, expected an upstream", i, status)
		}
		l.release()
	}
}

// TestFleetChangeKeepsUpstreams guards against upstreams that cannot be chosen for a long time because
// the set of VMs changed while their view was applied.
func TestFleetChangeKeepsUpstreams(t *testing.T) {
	f := startFleet(t, 1, nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool()}) // The VM applies no view of its own afterwards.
	s := f.servers[0]
	for i := range 2000 {
		view := newSingleView(fmt.Sprint("u", i))
		var wg sync.WaitGroup
		wg.Go(func() { s.applyView(view) })
		wg.Go(s.onFleetChange)
		wg.Wait()
		l, status := s.upstreams.acquire(view, "p", &placement.Request{})
		if status != placement.Found {
			t.Fatalf("view %d: status %d, expected an upstream", i, status)
		}
		l.release()
	}
}
