package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/carrier"
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

// chattyCarrier opens tunnels and sends data at once, without a connection to an upstream.
type chattyCarrier struct {
	hoistv1.UnimplementedFleetServer
}

// Ping implements hoistv1.FleetServer. A VM that does not answer pings counts as lost.
func (chattyCarrier) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// Tunnel implements hoistv1.FleetServer.
func (chattyCarrier) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	for _, response := range []*hoistv1.TunnelResponse{{}, {Data: []byte("data")}} {
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	<-stream.Context().Done()
	return nil
}

// TestLateTunnelIsClosed guards against tunnels that open when their requests have just ended, and that nobody
// closes; and against blaming the carrier for them.
func TestLateTunnelIsClosed(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	u := newTestUpstream(t, "u", nil)
	f.publishOne(catalog.Idempotent, nil, catalogUpstreams("p", u)...)
	path := f.servers[0].path
	through := f.serveCarrier(t, chattyCarrier{})
	var opening sync.WaitGroup
	for i := range 64 {
		opening.Go(func() {
			for j := range 40 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(64*j+i)*10*time.Microsecond)
				path.update(func(s *carrier.Selector) { s.Begin(through.Name) })
				if conn, err := path.open(ctx, through, path.upstreamAt(u.address())); err == nil {
					_ = conn.Close()
				}
				cancel()
			}
		})
	}
	opening.Wait()
	await(t, "all tunnels have ended", func() bool {
		ended := false
		path.update(func(s *carrier.Selector) { ended = s.Open(through.Name) == 0 })
		return ended
	})
	if _, ok := path.selectCarrier(nil); !ok {
		t.Error("the carrier is blamed for tunnels that this VM gave up")
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
