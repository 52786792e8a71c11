package edge

import (
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// TestCacheOfAnotherVersionIsNotCopied guards against a request that goes on from what an engine of another
// software version has cached of its prompt.
func TestCacheOfAnotherVersionIsNotCopied(t *testing.T) {
	versions := map[string]string{"a": "old", "b": "new", "c": "old", "d": "new"}
	var entries []*registry.Entry
	for id, version := range versions {
		entries = append(entries, &registry.Entry{Upstream: catalog.Upstream{ID: id, Pool: "p", Address: "at-" + id, SoftwareVersion: version}})
	}
	view := newView(replica.Position{Revision: 1}, &catalog.Catalog{Pools: singlePool()}, entries, nil, func(string) bool { return false })
	u := newUpstreams(testNow, func(string) bool { return false })
	u.update(view, &Settings{}, nil, 1)
	copied := 0
	check := func(l *lease) {
		t.Helper()
		if l.cacheSource == "" {
			return
		}
		copied++
		if source := l.cacheSource[len("at-"):]; versions[source] != l.entry.SoftwareVersion {
			t.Errorf("%s of version %s copies from %s of version %s", l.entry.ID, l.entry.SoftwareVersion, source, versions[source])
		}
	}
	for i := range 40 {
		request := &placement.Request{Prefix: []placement.PrefixLevel{{Part: rendezvous.Hash(i)}}}
		l, _ := u.acquire(view, "p", request)
		check(l)
		l.release()
	}
	for engine := range versions {
		for source := range versions {
			placed := &enginePlacement{Placement: enginepool.Placement{Engine: engine, CacheSource: source}}
			l := u.acquireNamed(view, "p", placed, &placement.Request{})
			check(l)
			l.release()
		}
	}
	if copied == 0 {
		t.Error("nothing was copied within a version")
	}
}
