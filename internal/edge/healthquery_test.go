package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

const testHealthPath = "/health"

// returningUpstream is an upstream that can go and come back cold at the same address. It records the
// paths that reach it while it is cold.
type returningUpstream struct {
	*testUpstream
	t       *testing.T
	address string
	server  *httptest.Server

	mu    sync.Mutex
	cold  bool
	paths []string
}

func newReturningUpstream(t *testing.T) *returningUpstream {
	u := &returningUpstream{testUpstream: newTestUpstream(t, "u", nil), t: t, address: "127.0.0.1:0"}
	u.start(false)
	t.Cleanup(func() { u.server.Close() })
	return u
}

func (u *returningUpstream) start(cold bool) {
	u.t.Helper()
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		u.t.Fatal(err)
	}
	u.address = listener.Addr().String()
	u.mu.Lock()
	u.cold = cold
	u.mu.Unlock()
	u.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: u}}
	u.server.Start()
}

// ServeHTTP implements http.Handler.
func (u *returningUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	cold := u.cold
	if cold {
		u.paths = append(u.paths, r.URL.Path)
	}
	u.mu.Unlock()
	if r.URL.Path == testHealthPath {
		if cold {
			w.Header().Set("Cold", "1h")
		}
		return
	}
	u.testUpstream.ServeHTTP(w, r)
}

func (u *returningUpstream) coldPaths() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.paths)
}

// publishReturning publishes a pool with the upstream and a limit for cold starts.
func publishReturning(f *testFleet, u *returningUpstream) {
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p", HealthPath: testHealthPath, ColdRequestsPerSecond: 100}},
		Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)},
	}, catalog.Upstream{ID: "u", Pool: "p", Address: u.address, Zone: "zone-a", StartID: 1})
}

// awaitServed sends requests to a VM until one is served.
func awaitServed(t *testing.T, f *testFleet, vm int) {
	t.Helper()
	n := 0
	await(t, "a served request", func() bool {
		n++
		response, _, err := f.send(vm, fmt.Sprint("r", vm, "-", n), "/x/", nil)
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestReturnedUpstreamIsAskedOnce guards against an upstream that comes back cold while the store is
// down and gets requests at the full rate, and against periodic queries of its state.
func TestReturnedUpstreamIsAskedOnce(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newReturningUpstream(t)
	publishReturning(f, u)
	awaitServed(t, f, 0)
	u.server.Close()
	await(t, "a failed request", func() bool {
		response, _, err := f.send(0, "lost", "/x/", nil)
		return err == nil && response.StatusCode != http.StatusOK
	})
	u.start(true)
	for range 3 {
		awaitServed(t, f, 0)
	}
	paths := u.coldPaths()
	if paths[0] != testHealthPath || slices.Contains(paths[1:], testHealthPath) {
		t.Errorf("the upstream got %s, want one health query and then requests", strings.Join(paths, " "))
	}
	s := f.servers[0]
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if left := s.upstreams.states["u"].ColdUntil.Sub(s.now()); left < time.Minute {
		t.Errorf("the upstream is cold for %v, expected about an hour", left)
	}
}

// TestCrashReportLeadsToAQuestion guards against a VM that saw nothing of a crash and sends requests to
// the cold upstream at the full rate.
func TestCrashReportLeadsToAQuestion(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newReturningUpstream(t)
	publishReturning(f, u)
	u.server.Close()
	u.start(true)
	if _, err := (fleetServer{s: f.servers[0]}).Strike(context.Background(), &hoistv1.StrikeRequest{Upstream: "u", Zone: "zone-a", UpstreamStart: 1}); err != nil {
		t.Fatal(err)
	}
	awaitServed(t, f, 0)
	if paths := u.coldPaths(); paths[0] != testHealthPath || len(paths) != 2 {
		t.Errorf("the upstream got %s, want a health query and a request", strings.Join(paths, " "))
	}
}

// TestRestartedUpstreamIsAsked guards against requests to an upstream that started again under the same
// ID before it has told whether it is cold.
func TestRestartedUpstreamIsAsked(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newReturningUpstream(t)
	publishReturning(f, u)
	awaitServed(t, f, 0)
	u.server.Close()
	u.start(true)
	f.store.put("u/u", &catalog.Upstream{ID: "u", Pool: "p", Address: u.address, Zone: "zone-a", StartID: 2})
	await(t, "the new entry", func() bool { return f.servers[0].view.Load().ByID["u"].StartID == 2 })
	awaitServed(t, f, 0)
	if paths := u.coldPaths(); paths[0] != testHealthPath {
		t.Errorf("the upstream got %s, want a health query first", strings.Join(paths, " "))
	}
}

// TestPoolWithoutColdLimitIsNotAsked guards against queries in deployments that do not call for them.
func TestPoolWithoutColdLimitIsNotAsked(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newReturningUpstream(t)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p", HealthPath: testHealthPath}}, Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, nil)},
	}, catalog.Upstream{ID: "u", Pool: "p", Address: u.address, Zone: "zone-a", StartID: 1})
	u.server.Close()
	u.start(true)
	f.servers[0].upstreams.recordLost("u", 1)
	awaitServed(t, f, 0)
	if paths := u.coldPaths(); slices.Contains(paths, testHealthPath) {
		t.Errorf("the upstream got %s, want no health query", strings.Join(paths, " "))
	}
}

// askedUpstream returns a health query of a returned upstream that is about to be sent.
func askedUpstream(s *Server) healthQuestion {
	s.upstreams.recordLost("u", 1)
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	state, now := s.upstreams.states["u"], s.now()
	state.TryAsk(now, false)
	return healthQuestion{state: state, entry: state.entry, path: testHealthPath, asked: now}
}

// TestUpstreamIsAskedAfterAPause guards against an upstream that is lost while it asks for no traffic and
// gets requests after the pause without having told whether it is cold.
func TestUpstreamIsAskedAfterAPause(t *testing.T) {
	f := startFleet(t, 1, nil)
	publishReturning(f, newReturningUpstream(t))
	s := f.servers[0]
	q := askedUpstream(s)
	s.signals.recordPause(q.entry, time.Hour)
	s.askHealth(q)
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if !q.state.Return.Blocks(s.now()) {
		t.Error("a query that was not sent counts as answered")
	}
}

// panickingDialect panics when it encodes a health query.
type panickingDialect struct{ testDialect }

// EncodeHealthQuery implements Dialect.
func (panickingDialect) EncodeHealthQuery(_, _, _ string) *outbound.Request { panic("test") }

// TestPanicInHealthQuery guards against a panic in a health query that ends the process.
func TestPanicInHealthQuery(t *testing.T) {
	f := startFleetWith(t, 1, nil, func(s *Server) { s.dialect = panickingDialect{} })
	publishReturning(f, newReturningUpstream(t))
	s := f.servers[0]
	s.upstreams.askHealth(askedUpstream(s))
	await(t, "the contained panic", func() bool {
		return testutil.ToFloat64(s.metrics.panics.WithLabelValues("health query")) == 1
	})
}
