package claim

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// cluster runs a group of VMs, each with a keeper and a client, on loopback.
type cluster struct {
	clients  []*Client
	registry *prometheus.Registry
	// clockOffset is added to the clients' clocks, in nanoseconds.
	clockOffset atomic.Int64
}

func newCluster(t testing.TB) *cluster {
	cl := &cluster{registry: prometheus.NewRegistry()}
	transport := peer.Transport{Metrics: peer.NewMetrics(cl.registry)}
	serve := func(register func(grpc.ServiceRegistrar)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := grpc.NewServer(transport.ServerOptions()...)
		register(server)
		go func() { _ = server.Serve(transport.WrapListener(listener)) }()
		t.Cleanup(server.Stop)
		return listener.Addr().String()
	}
	var vms []table.VM
	var services []*keeperwire.Service
	for i := range keeper.GroupSize {
		name := fmt.Sprintf("vm-%d", i)
		service := keeperwire.New(keeperwire.Options{
			Member: keeper.Options{
				VM: name, Incarnation: 1, StartedAt: bootclock.Now(), ClaimRetention: time.Minute, MaxLeaseDuration: keeper.DefaultLeaseDuration,
				LeaseGrace: time.Second, BootstrapWait: time.Millisecond, MaxRecords: 1 << 20,
			},
			Now: bootclock.Now, Transport: peer.Transport{}, Registry: prometheus.NewRegistry(), Logger: zap.NewNop(),
		})
		client := New(Options{
			VM: name, Incarnation: 1, Seed: uint64(i), Transport: transport, Registry: prometheus.NewRegistry(),
			Now:    func() clock.Instant { return bootclock.Now().Add(time.Duration(cl.clockOffset.Load())) },
			Logger: zap.NewNop(), ClaimRetention: time.Minute, LeaseDuration: keeper.DefaultLeaseDuration, ResultTTL: time.Minute, MaxResultBytes: 100,
		})
		t.Cleanup(client.Close)
		vms = append(vms, table.VM{Name: name, Zone: "z", AgentAddress: serve(service.Register), GatewayAddress: serve(client.Register)})
		services, cl.clients = append(services, service), append(cl.clients, client)
	}
	for i, service := range services {
		service.ApplyList(1, vms)
		cl.clients[i].ApplyList(1, vms)
		go service.Run(t.Context())
	}
	return cl
}

func (cl *cluster) claim(vm int, key string) Decision {
	c := cl.clients[vm]
	return c.Claim(context.Background(), Key{"w", "r", key}, c.options.Now().Add(20*time.Second))
}

// TestDuplicateSendsRunOnce guards against two runs of one key, at one gateway or at
// several, and against a resend that gets no result or a different one.
func TestDuplicateSendsRunOnce(t *testing.T) {
	cl := newCluster(t)
	var runs atomic.Int64
	var sends sync.WaitGroup
	for i := range 20 {
		sends.Go(func() {
			d := cl.claim(i%len(cl.clients), "k")
			switch {
			case d.Run != nil:
				runs.Add(1)
				d.Run.Finish(Result{Status: 200, Body: []byte("only")})
			case d.Result == nil || string(d.Result.Body) != "only":
				t.Errorf("send %d got neither a run nor the result: %+v", i, d)
			}
		})
	}
	sends.Wait()
	if runs.Load() != 1 {
		t.Errorf("request ran %d times, want 1", runs.Load())
	}
}

// TestResendAfterRunEnds guards against a resend whose decision does not match the way in
// which the first send ended.
func TestResendAfterRunEnds(t *testing.T) {
	cl := newCluster(t)
	startRun := func(key string) Run {
		d := cl.claim(0, key)
		if d.Run == nil {
			t.Fatalf("claim of %q was not granted: %+v", key, d)
		}
		return d.Run
	}
	expectRefusal := func(key string, kind errkind.Kind) {
		t.Helper()
		for _, vm := range []int{0, 1} {
			if d := cl.claim(vm, key); d.Refusal == nil || d.Refusal.Kind != kind {
				t.Errorf("claim of %q at gateway %d returned %+v, want refusal %v", key, vm, d, kind)
			}
		}
	}
	startRun("failed").Fail()
	expectRefusal("failed", errkind.ClaimHeld)
	startRun("large").Finish(Result{Body: make([]byte, 101)})
	expectRefusal("large", errkind.ResultExpired)
	startRun("released").Release()
	d := cl.claim(1, "released")
	if d.Run == nil {
		t.Fatalf("claim of a released key was not granted: %+v", d)
	}
	if refusal := d.Run.Check(); refusal != nil {
		t.Errorf("Check of a new claim returned a refusal: %v", refusal)
	}
	cl.clockOffset.Store(int64(time.Hour))
	if refusal := d.Run.Check(); refusal == nil || refusal.RunState != errkind.NotRun {
		t.Errorf("Check of a claim that may have expired returned %v, want a NotRun refusal", refusal)
	}
}

// TestSlotHasOneHolder guards against two gateways that hold the same slot and against a
// slot that no other gateway gets after its release.
func TestSlotHasOneHolder(t *testing.T) {
	cl := newCluster(t)
	want := []dispatch.LeaseRequest{{Upstream: "u", Zone: "z", Slots: 1, Capacity: 1}}
	wants := [][]dispatch.LeaseRequest{want, want}
	acquisitions := 0
	lastHolder := -1
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 1500 {
		<-ticker.C
		holder := -1
		for vm := range wants {
			if len(cl.clients[vm].Renew(t.Context(), wants[vm])) == 0 {
				continue
			}
			if holder >= 0 {
				t.Fatal("two gateways hold the same slot")
			}
			holder = vm
		}
		if holder < 0 || holder == lastHolder {
			continue
		}
		if lastHolder, acquisitions = holder, acquisitions+1; acquisitions == 3 {
			return
		}
		wants[holder], wants[1-holder] = nil, want
	}
	t.Errorf("slot was acquired %d times, want 3", acquisitions)
}

// BenchmarkClaim measures a claim and its release over loopback, with all keepers in this
// process.
func BenchmarkClaim(b *testing.B) {
	cl := newCluster(b)
	cl.claim(0, "first").Run.Release()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		d := cl.claim(i%len(cl.clients), fmt.Sprint(i))
		if d.Run == nil {
			b.Fatalf("%+v", d)
		}
		d.Run.Release()
	}
	b.StopTimer()
	b.ReportMetric(cl.sentBytes(b)/float64(b.N), "wire-bytes/op")
}

// sentBytes returns the number of bytes written to all connections.
func (cl *cluster) sentBytes(b *testing.B) (sum float64) {
	families, err := cl.registry.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "hoist_transport_bytes_total" && metric.GetLabel()[0].GetValue() == "out" {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}
