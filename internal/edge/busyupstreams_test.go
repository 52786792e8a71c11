package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestBusyUpstreamsAreNoPartition guards against a VM that takes itself for partitioned since upstreams whose
// slots are taken answer health queries late, as the protocol says they do.
func TestBusyUpstreamsAreNoPartition(t *testing.T) {
	f := startFleet(t, 2, nil)
	var models []*testUpstream
	for i := range 4 {
		slot := make(chan struct{}, 1)
		id := fmt.Sprint("m", i)
		models = append(models, newTestUpstream(t, id, func(w http.ResponseWriter, r *http.Request) {
			slot <- struct{}{} // A health query waits for a slot like any other request.
			defer func() { <-slot }()
			if r.URL.Path != "/health" {
				<-time.After(600 * time.Millisecond)
			}
			writeSealed(w, "from "+id)
		}))
	}
	pools := map[string]*catalog.Pool{"p": {Name: "p", HealthPath: "/health"}}
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Objective, r.Timeout = 20*time.Second, 20*time.Second }),
	}}, catalogUpstreams("p", models...)...)
	var requests sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 12 {
		requests.Go(func() {
			response, _, _ := f.send(0, fmt.Sprint("r", i), "/x/", nil)
			mu.Lock()
			defer mu.Unlock()
			if response != nil && response.StatusCode == http.StatusOK {
				served++
			}
		})
	}
	wasPartitioned := false
	for range 30 {
		wasPartitioned = wasPartitioned || f.servers[0].partition.isPartitioned()
		<-time.After(100 * time.Millisecond)
	}
	requests.Wait()
	t.Logf("%d of 12 served", served)
	if wasPartitioned {
		t.Error("the VM takes itself for partitioned although all upstreams serve its requests")
	}
}
