package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestHungRequestsHoldNoLimits guards against a partitioned VM that refuses requests until its hung ones time out.
func TestHungRequestsHoldNoLimits(t *testing.T) {
	f, network := startFleet(t, 2, nil), newTestNetwork(t)
	var models []*testUpstream
	for i := range 4 {
		models = append(models, network.newUpstream(t, fmt.Sprint("m", i)))
	}
	pools := map[string]*catalog.Pool{"p": {Name: "p", HealthPath: "/memory", MaxConnections: 4}}
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Objective, r.Timeout = 20*time.Second, 20*time.Second }),
	}}, catalogUpstreams("p", models...)...)
	f.mustServe(t, 0, "before")
	network.cut(f.servers[0].settings.IP, hangingCut)
	for i := range 16 {
		go func() { _, _, _ = f.send(0, fmt.Sprint("hung", i), "/x/", nil) }()
	}
	await(t, "the VM is partitioned", f.servers[0].partition.isPartitioned)
	<-time.After(2500 * time.Millisecond)
	served := 0
	for i := range 10 {
		response, body, _ := f.send(0, fmt.Sprint("after", i), "/x/", nil)
		if response != nil && response.StatusCode == http.StatusOK {
			served++
		} else if i == 0 {
			t.Log(response, body)
		}
	}
	if served < 7 {
		t.Errorf("%d of 10 requests served after the partition was detected", served)
	}
}

// TestHungRequestsThroughOtherVMs guards against requests that hang until they time out although they may run again
// through another VM, and against hung requests that are stated as not run although they may have run.
func TestHungRequestsThroughOtherVMs(t *testing.T) {
	f, network := startFleet(t, 2, nil), newTestNetwork(t)
	var models []*testUpstream
	for i := range 4 {
		models = append(models, network.newUpstream(t, fmt.Sprint("m", i)))
	}
	pools := map[string]*catalog.Pool{"p": {Name: "p", HealthPath: "/memory"}}
	slow := func(r *catalog.Route) { r.Objective, r.Timeout = 20*time.Second, 20*time.Second }
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		testRoute("/idempotent/", catalog.Idempotent, slow), testRoute("/other/", catalog.NonIdempotent, slow),
	}}, catalogUpstreams("p", models...)...)
	network.cut(f.servers[0].settings.IP, hangingCut)
	cutAt := time.Now()
	var requests sync.WaitGroup
	for i := range 4 {
		requests.Go(func() {
			response, body, err := f.send(0, fmt.Sprint("i", i), "/idempotent/", nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("idempotent request: %v, body %q, error %v", response, body, err)
			}
		})
		requests.Go(func() {
			response, body, err := f.send(0, fmt.Sprint("o", i), "/other/", nil)
			if err != nil || response.StatusCode < http.StatusInternalServerError || strings.Contains(body, "not_run") {
				t.Errorf("request that may run once: %v, body %q, error %v", response, body, err)
			}
		})
	}
	requests.Wait()
	if took := time.Since(cutAt); took > 6*time.Second {
		t.Errorf("the requests took %v", took)
	}
}
