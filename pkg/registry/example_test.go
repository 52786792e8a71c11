package registry_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// An entry that disappears during an outage of the store is kept for a short time; at
// any other time it is removed immediately.
func ExampleRegistry() {
	now := clock.Instant(0)
	r := registry.New()
	r.Put(now, catalog.Upstream{ID: "a"})
	r.Put(now, catalog.Upstream{ID: "b"})
	r.Remove(now, "a")
	fmt.Println(len(r.Entries()))
	r.SetStoreDown(now, true)
	r.Remove(now, "b")
	fmt.Println(len(r.Entries()))
	r.Tick(now.Add(2 * time.Second))
	fmt.Println(len(r.Entries()))
	// Output:
	// 1
	// 1
	// 0
}
