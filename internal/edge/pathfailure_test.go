package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestBrokenTunnelBlamesNoUpstream guards against a sound upstream that is avoided since the carrier was lost.
func TestBrokenTunnelBlamesNoUpstream(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	arrived := make(chan struct{}, 4)
	u := f.newUpstream("u", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-time.After(500 * time.Millisecond)
	})
	f.publishOne(catalog.NonIdempotent, func(r *catalog.Route) { r.Objective, r.Timeout = 5*time.Second, 5*time.Second }, catalogUpstreams("p", u)...)
	s := f.servers[0]
	var requests sync.WaitGroup
	for i := range 4 {
		requests.Go(func() { _, _, _ = f.send(0, fmt.Sprint("r", i), "/x/", nil) })
	}
	for range 4 {
		<-arrived
	}
	s.path.peers.mu.Lock()
	for _, c := range s.path.peers.conns {
		_ = c.conn.Close()
	}
	s.path.peers.mu.Unlock()
	requests.Wait()
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if state := s.upstreams.states["u"]; state != nil && state.InBackoff(s.now()) {
		t.Error("the upstream is in backoff since the connection to the carrier broke")
	}
}

// TestBusyCarriersBlameNoUpstream guards against sound upstreams that are avoided since no VM could carry a
// connection to them.
func TestBusyCarriersBlameNoUpstream(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	f.servers[1].tunnels.limit = -1
	u := f.newUpstream("u", nil)
	f.publishOne(catalog.Idempotent, nil, catalogUpstreams("p", u)...)
	response, body, err := f.send(0, "r", "/x/", nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v %q %v; expected status 503", response, body, err)
	}
	s := f.servers[0]
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if state := s.upstreams.states["u"]; state != nil && state.InBackoff(s.now()) {
		t.Error("the upstream is in backoff since the other VM was busy")
	}
}
