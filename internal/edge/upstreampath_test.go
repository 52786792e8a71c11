package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/tunnel"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/carrier"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// testPartition is a partitionState that a test sets.
type testPartition struct{ atomic.Bool }

func (p *testPartition) isPartitioned() bool { return p.Load() }

// cutListener resets connections from some source IPs.
type cutListener struct {
	net.Listener
	cut *sync.Map
}

// Accept returns the next connection that is not cut.
func (l cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if _, ok := l.cut.Load(conn.RemoteAddr().(*net.TCPAddr).IP.String()); !ok {
			return conn, nil
		}
		_ = conn.(*net.TCPConn).SetLinger(0) // The test detects a connection that is not reset.
		_ = conn.Close()
	}
}

// partitionedFleet is a fleet whose VM 0 is partitioned from all upstreams.
type partitionedFleet struct {
	*testFleet
	partition *testPartition
	// cut holds the source IPs that the upstreams of newUpstream reset.
	cut sync.Map
}

// startPartitionedFleet starts n VMs, of which VM 0 is partitioned.
func startPartitionedFleet(t *testing.T, n int, change func(*Settings)) *partitionedFleet {
	t.Helper()
	f := &partitionedFleet{partition: &testPartition{}}
	f.partition.Store(true)
	f.testFleet = startFleetWith(t, n, change, func(s *Server) {
		if s.settings.VM == "vm-0" {
			s.path.partition = f.partition
		}
	})
	f.cut.Store(f.servers[0].settings.IP, true)
	return f
}

// newUpstream starts an upstream that VM 0 does not reach.
func (f *partitionedFleet) newUpstream(id string, handler http.HandlerFunc) *testUpstream {
	u := &testUpstream{id: id, handler: handler, runs: map[string]int{}, inputs: map[string]string{}, cached: map[string]int{}}
	u.server = httptest.NewUnstartedServer(u)
	u.server.Listener = cutListener{Listener: u.server.Listener, cut: &f.cut}
	u.server.Start()
	f.t.Cleanup(u.server.Close)
	return u
}

// publishOne publishes a route of the kind to one pool.
func (f *partitionedFleet) publishOne(kind catalog.RequestKind, change func(*catalog.Route), upstreams ...catalog.Upstream) {
	f.t.Helper()
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", kind, change)}}, upstreams...)
}

// attempts returns how many attempts of VM 0 to open a tunnel had the outcome.
func (f *partitionedFleet) attempts(outcome string) float64 {
	return testutil.ToFloat64(f.servers[0].path.metrics.opened.WithLabelValues(outcome))
}

// TestPartitionedVMServesThroughAnother guards against requests that fail at a VM that is partitioned from
// all upstreams although the other VMs reach them.
func TestPartitionedVMServesThroughAnother(t *testing.T) {
	f := startPartitionedFleet(t, 3, nil)
	var lastSource atomic.Pointer[string]
	model := f.newUpstream("m", func(w http.ResponseWriter, r *http.Request) {
		source, _, _ := net.SplitHostPort(r.RemoteAddr) // The server fills in a valid address.
		lastSource.Store(&source)
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			w.Header().Set("Content-Type", "text/event-stream")
			writeSealed(w, sseEvent(1)+sseEvent(2))
			return
		}
		writeSealed(w, "from m")
	})
	stage := f.newUpstream("s", nil)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	patient := func(r *catalog.Route) { r.Objective, r.Timeout = time.Minute, time.Minute }
	f.publish(&catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{
			testRoute("/safe/", catalog.Idempotent, patient), testRoute("/unsafe/", catalog.NonIdempotent, patient), testRoute("/stream/", catalog.Stream, patient),
			testRoute("/staged/", catalog.NonIdempotent, func(r *catalog.Route) { patient(r); r.Stages = []catalog.Stage{{Pool: "a"}} }),
		},
	}, append(catalogUpstreams("p", model), catalogUpstreams("a", stage)...)...)
	const rounds = 5
	for i := range rounds {
		for path, want := range map[string]string{"/safe/": "from m", "/unsafe/": "from m", "/staged/": "from m", "/stream/": sseEvent(1) + sseEvent(2)} {
			id := fmt.Sprint(path, i)
			response, body, err := f.send(0, id, path, map[string]string{"Pieces": "2", "Content-Key": id})
			if err != nil || response.StatusCode != http.StatusOK || body != want {
				t.Errorf("%s: %v %q %v", id, response, body, err)
			}
			if n := model.runCount(id); n != 1 {
				t.Errorf("%s ran %d times, expected once", id, n)
			}
		}
	}
	if n := f.attempts("opened"); n == 0 || n >= 3*rounds {
		t.Errorf("%v tunnels were opened for %d requests in sequence; they are not reused", n, 4*rounds)
	}

	// Once the VM reaches the upstreams again, it uses no tunnels, not even idle ones.
	f.partition.Store(false)
	f.cut.Clear()
	if response, body, err := f.send(0, "direct", "/unsafe/", nil); err != nil || body != "from m" || *lastSource.Load() != f.servers[0].settings.IP {
		t.Errorf("after the partition: %v %q %v from %s", response, body, err, *lastSource.Load())
	}
}

// TestBrokenAnswerThroughTunnel guards against an answer without a length that ends where its upstream
// broke off, and that looks whole since another VM carried the connection. An orderly end still is one.
func TestBrokenAnswerThroughTunnel(t *testing.T) {
	for name, reset := range map[string]bool{"orderly end": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPartitionedFleet(t, 2, nil)
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				u.write(conn, head(request, "")+"half an answer")
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0) // The test detects an orderly end.
				}
				return false
			})
			f.publishOne(catalog.NonIdempotent, nil, u.entry("u"))
			response, body, err := f.send(0, "r", "/x/", nil)
			isWhole := err == nil && response.StatusCode == http.StatusOK
			if isWhole == reset || isWhole && body != "half an answer" {
				t.Errorf("response %v, body %q, error %v", response, body, err)
			}
			if u.requests.Load() != 1 || f.attempts("opened") != 1 {
				t.Errorf("%d requests through %v tunnels, expected one", u.requests.Load(), f.attempts("opened"))
			}
		})
	}
}

// TestCallerLeavesThroughTunnel guards against work that goes on at an upstream after the caller has left.
func TestCallerLeavesThroughTunnel(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	arrived, ended := make(chan struct{}), make(chan struct{})
	u := f.newUpstream("u", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	})
	f.publishOne(catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = time.Minute }, catalogUpstreams("p", u)...)
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.servers[0].settings.Listen+"/x/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Request", "r")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := (&http.Transport{}).RoundTrip(request); err == nil {
			_ = response.Body.Close()
			t.Error("an answer although the caller has left")
		}
	}()
	<-arrived
	leave()
	<-ended
	<-done
	await(t, "no tunnel is open", func() bool { return f.servers[1].tunnels.open.Load() == 0 })
}

// TestCarrierStopsDuringUnsafeRequest guards against a second run of a request whose tunnel broke, and
// against the statement that it has not run.
func TestCarrierStopsDuringUnsafeRequest(t *testing.T) {
	f := startPartitionedFleet(t, 2, func(s *Settings) { s.GracePeriod = 400 * time.Millisecond })
	arrived := make(chan struct{})
	u := f.newUpstream("u", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	f.publishOne(catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = time.Minute }, catalogUpstreams("p", u)...)
	go func() {
		<-arrived
		f.stops[1]()
	}()
	response, body, err := f.send(0, "r", "/x/", nil)
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("%v %q %v; expected status 502", response, body, err)
	}
	if n := u.runCount("r"); n != 1 {
		t.Errorf("ran %d times, expected once", n)
	}
}

// askTunnel asks a VM to open a connection and returns the refusal.
func (f *partitionedFleet) askTunnel(vm int, upstream, address string) tunnel.Refusal {
	f.t.Helper()
	var refused *tunnel.RefusedError
	err := f.servers[0].path.peers.call(f.t.Context(), fleet.Entry{Name: "vm", Address: f.servers[vm].settings.PeerListen}, func(ctx context.Context, client hoistv1.FleetClient) error {
		conn, err := tunnel.Open(ctx, client, upstream, address)
		if err != nil {
			return err
		}
		return conn.Close()
	})
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return tunnel.Opened
}

// TestTunnelsAreRefused guards against a VM that is an open proxy, one that passes a connection on to
// another VM, one that takes more than it can hold, and one that takes tunnels while it stops.
func TestTunnelsAreRefused(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	u, foreign := newTestUpstream(t, "u", nil), newTestUpstream(t, "foreign", nil)
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // A connection to the port is refused then.
	f.publishOne(catalog.Idempotent, nil, append(catalogUpstreams("p", u), catalog.Upstream{
		ID: "dead", Pool: "p", Address: closed.Addr().String(), Zone: "zone-a", StartID: 1,
	})...)
	carrying := f.servers[1]
	for name, test := range map[string]struct {
		vm                int
		upstream, address string
		want              tunnel.Refusal
	}{
		"registered upstream":           {1, "u", u.address(), tunnel.Opened},
		"unregistered upstream":         {1, "foreign", foreign.address(), tunnel.UnknownUpstream},
		"address of another server":     {1, "u", foreign.address(), tunnel.UnknownUpstream},
		"address of another upstream":   {1, "dead", u.address(), tunnel.UnknownUpstream},
		"peer port of the VM":           {1, "u", carrying.settings.PeerListen, tunnel.UnknownUpstream},
		"upstream that does not listen": {1, "dead", closed.Addr().String(), tunnel.ConnRefused},
		"VM that is partitioned itself": {0, "u", u.address(), tunnel.Busy},
	} {
		if got := f.askTunnel(test.vm, test.upstream, test.address); got != test.want {
			t.Errorf("%s: %s, expected %s", name, got, test.want)
		}
	}
	longID := strings.Repeat("u", maxUpstreamIDBytes+1)
	err = f.servers[0].path.peers.call(t.Context(), fleet.Entry{Address: carrying.settings.PeerListen}, func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := tunnel.Open(ctx, client, longID, u.address())
		return err
	})
	if status.Code(err) != codes.InvalidArgument {
		t.Errorf("long ID: error %v", err)
	}
	await(t, "no tunnel is open", func() bool { return carrying.tunnels.open.Load() == 0 })
	carrying.tunnels.limit = 0
	if got := f.askTunnel(1, "u", u.address()); got != tunnel.Busy {
		t.Errorf("beyond the limit: %s", got)
	}
	carrying.tunnels.limit = 1
	carrying.stop.begin(carrying.now(), time.Minute)
	if got := f.askTunnel(1, "u", u.address()); got != tunnel.Busy {
		t.Errorf("while the VM stops: %s", got)
	}
}

// silentCarrier opens tunnels, and then neither sends anything nor answers pings, like a VM that hangs.
type silentCarrier struct {
	hoistv1.UnimplementedFleetServer
}

// Tunnel implements hoistv1.FleetServer.
func (silentCarrier) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	if err := stream.Send(&hoistv1.TunnelResponse{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// Ping implements hoistv1.FleetServer.
func (silentCarrier) Ping(ctx context.Context, _ *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// serveCarrier starts a service in place of the VM that carries the connections of VM 0.
func (f *partitionedFleet) serveCarrier(t *testing.T, service hoistv1.FleetServer) fleet.Entry {
	t.Helper()
	path := f.servers[0].path
	listener, err := path.peers.transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(path.peers.transport.ServerOptions()...)
	hoistv1.RegisterFleetServer(server, service)
	go func() { _ = server.Serve(listener) }() // Ends with Stop.
	t.Cleanup(server.Stop)
	through, ok := path.selectCarrier(nil)
	if !ok {
		t.Fatal("no VM was chosen")
	}
	path.update(func(s *carrier.Selector) { s.End(through.Name) })
	through.Address = listener.Addr().String()
	return through
}

// TestCarrierHangs guards against requests that wait until their deadlines for a VM that hangs, and against
// further connections through it.
func TestCarrierHangs(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	u := newTestUpstream(t, "u", nil)
	f.publishOne(catalog.Idempotent, nil, catalogUpstreams("p", u)...)
	path := f.servers[0].path
	through := f.serveCarrier(t, silentCarrier{})
	path.update(func(s *carrier.Selector) { s.Begin(through.Name) })
	conn, err := path.open(t.Context(), through, path.upstreamAt(u.address()))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	await(t, "the VM is passed over", func() bool {
		_, ok := path.selectCarrier(nil)
		return !ok
	})
}

// TestErrorsThroughTunnel guards against an upstream that counts as sound, or as silent, although it refused
// a connection that another VM attempted; and against blaming the VM for it.
func TestErrorsThroughTunnel(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // A connection to the port is refused then.
	f.publishOne(catalog.Idempotent, nil, catalog.Upstream{ID: "dead", Pool: "p", Address: closed.Addr().String(), Zone: "zone-a", StartID: 1})
	_, err = f.servers[0].client.Start(t.Context(), closed.Addr().String(), &outbound.Request{Method: http.MethodGet, Target: "/", Host: "a"})
	if !outbound.IsRefused(err) || outbound.IsTimeout(err) || !errors.Is(err, outbound.ErrNotSent) {
		t.Errorf("error %v; expected a refused connection and nothing sent", err)
	}
	if _, ok := f.servers[0].path.selectCarrier(nil); !ok {
		t.Error("the VM that could not reach a dead upstream is passed over")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	through, _ := f.servers[0].path.selectCarrier(nil)
	if got := (&tunnelDial{path: f.servers[0].path}).recordError(ended, through, errors.New("no answer yet")); got != "cancelled" {
		t.Errorf("outcome %s of a dial that has ended", got)
	}
	if _, ok := f.servers[0].path.selectCarrier(nil); !ok {
		t.Error("a VM that had no time to answer is passed over")
	}
	for refusal, isTimeout := range map[tunnel.Refusal]bool{tunnel.TimedOut: true, tunnel.Failed: false} {
		if err := upstreamError(refusal, fleet.Entry{}); outbound.IsTimeout(err) != isTimeout || outbound.IsRefused(err) {
			t.Errorf("%s: error %v", refusal, err)
		}
	}
}

// TestCarrierOfOlderVersion guards against asking a VM that carries no connections again and again.
func TestCarrierOfOlderVersion(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	f.publishOne(catalog.Idempotent, nil)
	path := f.servers[0].path
	through, ok := path.selectCarrier(nil)
	if !ok {
		t.Fatal("no VM was chosen")
	}
	d := &tunnelDial{path: path}
	if got := d.recordError(t.Context(), through, errors.Wrap(status.Error(codes.Unimplemented, "x"), "vm-1")); got != "unsupported" {
		t.Errorf("outcome %s", got)
	}
	if _, ok := path.selectCarrier(nil); ok {
		t.Error("the VM is asked again at once")
	}
}

// TestNoCarrier guards against a VM that sends nothing although its own connections may work, since no
// other VM can carry them.
func TestNoCarrier(t *testing.T) {
	f := startPartitionedFleet(t, 1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publishOne(catalog.NonIdempotent, nil, catalogUpstreams("p", u)...)
	if _, body, err := f.send(0, "r", "/x/", nil); err != nil || body != "from u" {
		t.Errorf("%q %v", body, err)
	}
}

// TestStoreIsDialedDirectly guards against reads of the store that go through another VM, which might not
// reach it.
func TestStoreIsDialedDirectly(t *testing.T) {
	f := startPartitionedFleet(t, 2, nil)
	u, store := newTestUpstream(t, "u", nil), newTestUpstream(t, "store", nil)
	f.publishOne(catalog.Idempotent, nil, catalogUpstreams("p", u)...)
	if path := f.servers[0].path; path.IsDirect(u.address()) || !path.IsDirect(store.address()) {
		t.Errorf("direct to the upstream: %v, to the store: %v", path.IsDirect(u.address()), path.IsDirect(store.address()))
	}
}

// TestLargeBodiesThroughTunnel guards against bytes that are lost, doubled or mixed up between the tunnels
// of one VM.
func TestLargeBodiesThroughTunnel(t *testing.T) {
	f := startPartitionedFleet(t, 3, nil)
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // The test detects an incomplete body.
		w.Header().Set("Request", r.Header.Get("Request"))
		writeSealed(w, string(body))
	}))
	t.Cleanup(echo.Close)
	f.publishOne(catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout, r.Objective = time.Minute, time.Minute },
		catalog.Upstream{ID: "echo", Pool: "p", Address: echo.Listener.Addr().String(), Zone: "zone-a", StartID: 1})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			want := strings.Repeat(fmt.Sprintf("block %d of a large body.", i), 1<<20/24)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.servers[0].settings.Listen+"/x/", strings.NewReader(want))
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "a.example"
			request.Header.Set("Request", fmt.Sprint("r", i))
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || string(got) != want {
				t.Errorf("status %d, %d of %d bytes, error %v", response.StatusCode, len(got), len(want), err)
			}
		})
	}
	wg.Wait()
	if f.attempts("opened") == 0 {
		t.Error("no tunnel was opened")
	}
}

// TestAttemptsThroughTunnel guards against requests that are sent more often because their connections
// go through another VM.
func TestAttemptsThroughTunnel(t *testing.T) {
	for kind, want := range map[catalog.RequestKind]int64{catalog.Idempotent: 2, catalog.NonIdempotent: 1} {
		for _, partitioned := range []bool{false, true} {
			t.Run(fmt.Sprintf("kind %d, partitioned %v", kind, partitioned), func(t *testing.T) {
				t.Parallel()
				f := startPartitionedFleet(t, 2, nil)
				f.partition.Store(partitioned)
				var requests atomic.Int64
				var entries []catalog.Upstream
				for i := range 3 {
					u := newRawUpstream(t, func(*rawUpstream, net.Conn, *http.Request) bool {
						requests.Add(1)
						return false
					})
					entries = append(entries, u.entry(fmt.Sprint("u", i)))
				}
				f.publishOne(kind, nil, entries...)
				response, _, err := f.send(0, "r", "/x/", nil)
				if err != nil || response.StatusCode != http.StatusBadGateway || requests.Load() != want {
					t.Errorf("%v %v, sent %d times, expected %d", response, err, requests.Load(), want)
				}
				if opened := f.attempts("opened"); (opened > 0) != partitioned {
					t.Errorf("%v tunnels were opened", opened)
				}
			})
		}
	}
}
