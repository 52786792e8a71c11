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

// fleet is five VMs with keepers and clients over loopback.
type fleet struct {
	clients  []*Client
	registry *prometheus.Registry
	// ahead moves the clients' clocks forward.
	ahead atomic.Int64
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{registry: prometheus.NewRegistry()}
	transport := peer.Transport{Metrics: peer.NewMetrics(f.registry)}
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
			Now:    func() clock.Instant { return bootclock.Now().Add(time.Duration(f.ahead.Load())) },
			Logger: zap.NewNop(), Retention: time.Minute, Lease: keeper.DefaultLeaseDuration, ResultTTL: time.Minute, ResultBytes: 100,
		})
		t.Cleanup(client.Close)
		vms = append(vms, table.VM{Name: name, Zone: "z", AgentAddress: serve(service.Register), GatewayAddress: serve(client.Register)})
		services, f.clients = append(services, service), append(f.clients, client)
	}
	for i, service := range services {
		service.ApplyList(1, vms)
		f.clients[i].ApplyList(1, vms)
		go service.Run(t.Context())
	}
	return f
}

func (f *fleet) claim(vm int, key string) Decision {
	c := f.clients[vm]
	return c.Claim(context.Background(), Key{"w", "r", key}, c.options.Now().Add(20*time.Second))
}

// TestOneRunForManySends guards against two runs of one key, at one gateway or at
// several, and against a resend that gets no result or another one.
func TestOneRunForManySends(t *testing.T) {
	f := newFleet(t)
	var runs atomic.Int64
	var sends sync.WaitGroup
	for i := range 20 {
		sends.Go(func() {
			d := f.claim(i%len(f.clients), "k")
			switch {
			case d.Run != nil:
				runs.Add(1)
				d.Run.Finish(Result{Status: 200, Body: []byte("only")})
			case d.Result == nil || string(d.Result.Body) != "only":
				t.Errorf("send %d: %+v", i, d)
			}
		})
	}
	sends.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// TestEndsOfARun guards against a resend that is told not_run or a result although
// the first send ended otherwise.
func TestEndsOfARun(t *testing.T) {
	f := newFleet(t)
	begin := func(key string) Run {
		d := f.claim(0, key)
		if d.Run == nil {
			t.Fatalf("%s: %+v", key, d)
		}
		return d.Run
	}
	expect := func(key string, kind errkind.Kind) {
		t.Helper()
		for _, vm := range []int{0, 1} {
			if d := f.claim(vm, key); d.Refusal == nil || d.Refusal.Kind != kind {
				t.Errorf("%s at gateway %d: %+v, want %v", key, vm, d, kind)
			}
		}
	}
	begin("failed").Fail()
	expect("failed", errkind.ClaimHeld)
	begin("large").Finish(Result{Body: make([]byte, 101)})
	expect("large", errkind.ResultExpired)
	begin("released").Release()
	d := f.claim(1, "released")
	if d.Run == nil {
		t.Fatalf("a released key cannot be claimed: %+v", d)
	}
	if refusal := d.Run.Check(); refusal != nil {
		t.Errorf("fresh claim: %v", refusal)
	}
	f.ahead.Store(int64(time.Hour))
	if refusal := d.Run.Check(); refusal == nil || refusal.RunState != errkind.NotRun {
		t.Errorf("a claim that may have lapsed permits a dispatch: %v", refusal)
	}
}

// TestSlotHasOneHolder guards against a slot in hand at two gateways and a slot that
// is never passed on after it was given back.
func TestSlotHasOneHolder(t *testing.T) {
	f := newFleet(t)
	want := []dispatch.LeaseRequest{{Upstream: "u", Zone: "z", Slots: 1, Capacity: 1}}
	wants := [][]dispatch.LeaseRequest{want, want}
	passed := 0
	last := -1
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for range 1500 {
		<-ticker.C
		holder := -1
		for vm := range wants {
			if len(f.clients[vm].Renew(t.Context(), wants[vm])) == 0 {
				continue
			}
			if holder >= 0 {
				t.Fatal("two holders of one slot")
			}
			holder = vm
		}
		if holder < 0 || holder == last {
			continue
		}
		if last, passed = holder, passed+1; passed == 3 {
			return
		}
		wants[holder], wants[1-holder] = nil, want
	}
	t.Errorf("the slot was held %d times", passed)
}

// BenchmarkClaim measures a claim with its end over loopback, all five keepers in this process.
func BenchmarkClaim(b *testing.B) {
	f := newFleet(b)
	f.claim(0, "first").Run.Release()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		d := f.claim(i%len(f.clients), fmt.Sprint(i))
		if d.Run == nil {
			b.Fatalf("%+v", d)
		}
		d.Run.Release()
	}
	b.StopTimer()
	b.ReportMetric(f.sent(b)/float64(b.N), "wire-bytes/op")
}

// sent returns the bytes that all processes wrote to connections.
func (f *fleet) sent(b *testing.B) (sum float64) {
	families, err := f.registry.Gather()
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
