package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestRequestsWaitForFirstConfiguration guards against refusing all callers that return while the
// VMs start again and are about to receive their tables.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.startupWait = 20 * time.Second })
	u := newTestUpstream(t, "u", nil)
	await(t, "the VM listening", func() bool {
		conn, err := net.Dial("tcp", f.servers[0].settings.Listen)
		return err == nil && conn.Close() == nil
	})
	statuses := make(chan int, 1)
	go func() {
		response, _, err := f.send(0, "early", "/x/", nil)
		if err != nil {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}()
	await(t, "a request in flight", func() bool { return f.servers[0].inFlight.Load() == 1 })
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)},
	}, catalogUpstreams("p", u)...)
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("status %d, expected 200", status)
	}
}

// TestRequestsWithoutConfigurationAreRefused guards against holding callers of a VM that has run
// for some time and cannot reach the store.
func TestRequestsWithoutConfigurationAreRefused(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.startupWait = 0 })
	await(t, "a response", func() bool {
		response, _, err := f.send(0, "early", "/x/", nil)
		return err == nil && response.StatusCode == http.StatusServiceUnavailable
	})
}
