package edge

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// catalogWithKeys returns a configuration whose only route needs one of the keys.
func catalogWithKeys(version int64, keys ...string) *catalog.Catalog {
	c := &catalog.Catalog{
		Version: version, Pools: singlePool(), KeysRequired: true,
		Routes:     []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: keys}},
	}
	c.Index()
	return c
}

// statusWithKey returns the status of the response to a request with a key.
func (f *testFleet) statusWithKey(vm int, id, key string) int {
	f.t.Helper()
	response, _, err := f.send(vm, id, "/x/", map[string]string{"Key": key})
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode
}

// TestStoreReturnsFromCopy lets the store come back from a copy, with a lower revision and in a new era, and
// writes a configuration again. It guards against VMs that refuse the tables of the new era: removed keys still
// run, added keys get 401, and later changes are not seen (docs/incidents/store-returns-from-copy.md).
func TestStoreReturnsFromCopy(t *testing.T) {
	const lostWrites = 40
	f := startFleet(t, storeReaderCount+1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(catalogWithKeys(1, "kept", "removed"), catalogUpstreams("p", u)...)
	content := f.store.copyContent()
	entry := catalogUpstreams("p", u)[0]
	for range lostWrites {
		f.store.put("u/u", &entry)
	}
	lost := f.store.currentRevision()
	await(t, "all VMs have the writes that are lost", func() bool {
		for _, s := range f.servers {
			if s.follower.position().Revision < lost {
				return false
			}
		}
		return true
	})

	f.store.returnFrom(content)
	f.store.put("u/u", &entry)
	c := catalogWithKeys(2, "kept", "added")
	f.store.put("tables", c)
	for i, s := range f.servers {
		await(t, "the configuration of the new era applies on "+s.settings.VM, func() bool { return s.view.Load().Catalog == c })
		for key, expected := range map[string]int{"kept": http.StatusOK, "added": http.StatusOK, "removed": http.StatusUnauthorized} {
			if status := f.statusWithKey(i, fmt.Sprint(key, i), key); status != expected {
				t.Errorf("status %d with the key %q on %s, expected %d", status, key, s.settings.VM, expected)
			}
		}
	}
	later := catalogWithKeys(3, "kept")
	f.store.put("tables", later)
	for _, s := range f.servers {
		await(t, "a later change applies on "+s.settings.VM, func() bool { return s.view.Load().Catalog == later })
	}
}
