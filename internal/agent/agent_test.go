package agent

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/platform"
	"github.com/hornbeamhoist/hornbeamhoist/internal/settings"
	"github.com/hornbeamhoist/hornbeamhoist/internal/standin"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	testRoutes = `workspaces: [{name: w, weight: 1}]
routes:
  - {name: r, deadline: 1s, objective: 0.9, answer: whole, stages: [{name: s, pools: [p], idempotent: true}]}
`
	testPools = `pools:
  - name: p
    kind: service
    path: /
    capacity: {cold: 1, warm: 2, warm_after: 1}
    cost: {unit: request, per_unit: 1}
    upstreams: [{name: u, address: "127.0.0.1:1", zone: a}]
`
)

// cluster is a platform with agents that listen on the loopback interface.
type cluster struct {
	platform    *standin.Platform
	platformURL string
	addresses   []string
	transport   peer.Transport
}

func newCluster(t *testing.T, agents int) *cluster {
	t.Helper()
	key, err := peer.NewKey([]byte("0123456789abcdef0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{platform: standin.NewPlatform(), transport: peer.Transport{Key: key}}
	listener := listen(t)
	server := &fasthttp.Server{Handler: c.platform.Handle}
	go func() { _ = server.Serve(listener) }()
	// Close only the listener: Shutdown would wait for the platform's watches, which block until
	// there are new revisions.
	t.Cleanup(func() { _ = listener.Close() })
	c.platformURL = "http://" + listener.Addr().String()
	var vmList strings.Builder
	vmList.WriteString("vms:\n")
	for i := range agents {
		c.addresses = append(c.addresses, freeAddress(t))
		fmt.Fprintf(&vmList, "  - {name: vm-%d, zone: a, agent_address: %q, gateway_address: %q, state: live}\n",
			i, c.addresses[i], freeAddress(t))
	}
	c.platform.Set("routes", []byte(testRoutes))
	c.platform.Set("pools", []byte(testPools))
	c.platform.Set("vms", []byte(vmList.String()))
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	defer listener.Close()
	return listener.Addr().String()
}

// start starts agent i, which runs until the test ends.
func (c *cluster) start(t *testing.T, i int, extra ...Option) {
	t.Helper()
	config := settings.DefaultAgent()
	config.VM = fmt.Sprintf("vm-%d", i)
	config.Zone = "a"
	config.Listen = c.addresses[i]
	config.AdminListen = freeAddress(t)
	config.Platform = c.platformURL
	a := New(Options{
		Settings: config, Incarnation: membership.NewIncarnation(1), Seed: uint64(i), Platform: platform.NewClient(c.platformURL),
		Transport: c.transport, Registry: prometheus.NewRegistry(), Logger: zap.NewNop(),
	}, extra...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("vm-%d: %v", i, err)
		}
	})
}

func (c *cluster) client(t *testing.T, i int) hoistv1.AgentClient {
	t.Helper()
	conn, err := c.transport.Dial(c.addresses[i])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return hoistv1.NewAgentClient(conn)
}

// waitForSnapshot receives snapshots and returns the first one that matches. It checks that the
// pools table is included only if its revision has changed.
func waitForSnapshot(t *testing.T, client hoistv1.AgentClient, matches func(*hoistv1.Snapshot) bool) *hoistv1.Snapshot {
	t.Helper()
	request := &hoistv1.WatchRequest{Gateway: "g", OmitUnchanged: true}
	stream, err := client.Watch(t.Context(), request, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	previousRevision := uint64(0)
	for {
		snapshot, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if pools := snapshot.GetPools(); pools.GetRevision() > 0 && (pools.GetRevision() == previousRevision) != (len(pools.GetData()) == 0) {
			t.Fatalf("pools revision %d follows revision %d and has %d bytes of data", pools.GetRevision(), previousRevision, len(pools.GetData()))
		}
		previousRevision = snapshot.GetPools().GetRevision()
		if matches(snapshot) {
			return snapshot
		}
	}
}

// TestReportsReachOtherGateways guards against reports of a gateway that do not reach the other
// gateways, and against snapshots that repeat unchanged tables.
func TestReportsReachOtherGateways(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 3 {
		c.start(t, i)
	}
	first, last := c.client(t, 0), c.client(t, 2)
	waitForSnapshot(t, first, func(s *hoistv1.Snapshot) bool { return s.GetPools().GetRevision() == 1 && !s.GetCatchingUp() })
	report := &hoistv1.ReportRequest{
		Warmth:   []*hoistv1.Warmth{{Upstream: "u", Reporter: "somebody", Sequence: 1, Successes: 5}},
		Suspects: []*hoistv1.Suspect{{Fingerprint: make([]byte, 16), Upstreams: []string{"u"}, TtlMs: 60_000}},
	}
	if _, err := first.Report(t.Context(), report); err != nil {
		t.Fatal(err)
	}
	got := waitForSnapshot(t, last, func(s *hoistv1.Snapshot) bool { return len(s.GetWarmth()) == 1 && len(s.GetSuspects()) == 1 })
	if w := got.GetWarmth()[0]; w.GetReporter() != "vm-0" || w.GetSuccesses() != 5 {
		t.Errorf("got warmth %v, want 5 successes reported by vm-0", w)
	}
	if len(got.GetVms()) != 3 || len(got.GetMembers()) != 3 {
		t.Errorf("got %d VMs and %d members in the snapshot, want 3 each", len(got.GetVms()), len(got.GetMembers()))
	}
}

// TestServicesAndListChanges guards against an additional service that is unreachable, and
// against changes of the VM list that are lost or out of order.
func TestServicesAndListChanges(t *testing.T) {
	c := newCluster(t, 1)
	revisions := make(chan uint64, 10)
	c.start(t, 0,
		WithService(func(r grpc.ServiceRegistrar) {
			hoistv1.RegisterKeeperServer(r, hoistv1.UnimplementedKeeperServer{})
		}),
		WithListCallback(func(revision uint64, vms []table.VM) {
			if len(vms) != 1 {
				t.Errorf("got %d VMs in list revision %d, want 1", len(vms), revision)
			}
			revisions <- revision
		}))
	if got := <-revisions; got != 1 {
		t.Fatalf("the first list has revision %d, want 1", got)
	}
	c.platform.Set("vms", fmt.Appendf(nil,
		"vms: [{name: vm-0, zone: a, agent_address: %q, gateway_address: \"127.0.0.1:1\", state: leaving}]", c.addresses[0]))
	if got := <-revisions; got != 2 {
		t.Fatalf("the second list has revision %d, want 2", got)
	}
	conn, err := c.transport.Dial(c.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = hoistv1.NewKeeperClient(conn).Finish(t.Context(), &hoistv1.FinishRequest{Key: []byte("a")})
	if err == nil || !strings.Contains(err.Error(), "Finish not implemented") {
		t.Errorf("call to the additional service returned %v, want an error that Finish is not implemented", err)
	}
}
