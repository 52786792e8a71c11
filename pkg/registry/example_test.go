package registry_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// An entry that disappears in an outage of the store may come back; at any other time its
// upstream is gone.
func ExampleRegistry() {
	now := clock.Instant(0)
	r := registry.New()
	r.Put(now, catalog.Upstream{ID: "a"})
	r.Put(now, catalog.Upstream{ID: "b"})
	r.Remove(now, "a")
	fmt.Println(len(r.Entries()))
	r.Outage(now, true)
	r.Remove(now, "b")
	fmt.Println(len(r.Entries()))
	r.Tick(now.Add(2 * time.Second))
	fmt.Println(len(r.Entries()))
	// Output:
	// 1
	// 1
	// 0
}
