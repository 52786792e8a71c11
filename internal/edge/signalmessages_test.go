package edge

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

// leavingUpstreams returns a report of n upstreams.
func leavingUpstreams(n int) *hoistv1.ReportLeavingRequest {
	report := &hoistv1.ReportLeavingRequest{}
	for i := range n {
		report.Upstreams = append(report.Upstreams, &hoistv1.LeavingUpstream{Id: fmt.Sprint("u", i), Start: uint64(i)})
	}
	return report
}

// TestMalformedLeavingReport guards against a panic or unbounded memory from a report, and against
// valid upstreams that are dropped with the invalid ones beside them.
func TestMalformedLeavingReport(t *testing.T) {
	long := strings.Repeat("x", maxUpstreamIDBytes)
	for _, c := range []struct {
		name           string
		report         *hoistv1.ReportLeavingRequest
		valid, invalid int
	}{
		{"none", nil, 0, 0},
		{"empty", leavingUpstreams(0), 0, 0},
		{"longest report", leavingUpstreams(maxReportedUpstreams), maxReportedUpstreams, 0},
		{"oversized report", leavingUpstreams(maxReportedUpstreams + 1), 0, maxReportedUpstreams + 1},
		{"odd upstreams", &hoistv1.ReportLeavingRequest{Upstreams: []*hoistv1.LeavingUpstream{nil, {}, {Start: 1}, {Id: long + "x"}, {Id: long}, {Id: "a", Start: math.MaxUint64}}}, 2, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := startSignalFleet(t, 1)
			s := f.servers[0]
			for range 2 {
				if _, err := (fleetServer{s: s}).ReportLeaving(context.Background(), c.report); err != nil {
					t.Fatal(err)
				}
			}
			if got := testutil.ToFloat64(s.metrics.upstreamSignals.WithLabelValues(signalReportInvalid)); got != float64(2*c.invalid) {
				t.Errorf("%v invalid upstreams counted, expected %d", got, 2*c.invalid)
			}
			if got := s.signals.table.Len(); got != c.valid {
				t.Errorf("%d instances, expected %d", got, c.valid)
			}
		})
	}
}

// TestLeavingReportsFillTable guards against reports that take the room of signals which the VM
// receives itself.
func TestLeavingReportsFillTable(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	s := f.servers[0]
	for i := range maxReportedInstances + 10 {
		s.signals.recordReport(upstreamsignal.Instance{ID: fmt.Sprint("u", i)})
	}
	if got := s.signals.table.Len(); got != maxReportedInstances {
		t.Errorf("%d instances, expected %d", got, maxReportedInstances)
	}
	if got := testutil.ToFloat64(s.metrics.upstreamSignals.WithLabelValues(signalReportInvalid)); got != 10 {
		t.Errorf("%v reports counted as ignored, expected 10", got)
	}
}

// TestLeavingReportIsBatched guards against one call for each upstream, and against a call that its
// receivers ignore since it is too long.
func TestLeavingReportIsBatched(t *testing.T) {
	f, _ := startSignalFleet(t, 1)
	signals := f.servers[0].signals
	var sizes []int
	signals.report = func(leaving []upstreamsignal.Instance) { sizes = append(sizes, len(leaving)) }
	signals.reports = make([]upstreamsignal.Instance, maxReportedUpstreams+3)
	signals.flushReports()
	signals.flushReports()
	if len(sizes) != 2 || sizes[0] != maxReportedUpstreams || sizes[1] != 3 {
		t.Errorf("calls with %v upstreams", sizes)
	}
}

// releasedFleetServer answers like a VM of the released version: it has neither the call for leaving
// upstreams nor the fields for pauses.
type releasedFleetServer struct {
	hoistv1.UnimplementedFleetServer
}

// Ping shows that the VM is responsive.
func (releasedFleetServer) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// Reserve reserves capacity for a stage.
func (releasedFleetServer) Reserve(context.Context, *hoistv1.ReserveRequest) (*hoistv1.ReserveResponse, error) {
	return &hoistv1.ReserveResponse{EndMs: 10}, nil
}

// RunStage refuses the stage.
func (releasedFleetServer) RunStage(context.Context, *hoistv1.RunStageRequest) (*hoistv1.RunStageResponse, error) {
	return &hoistv1.RunStageResponse{Refusal: "overloaded", RetryAfterMs: 700}, nil
}

// TestPeerOfReleasedVersion guards against a peer without the call and the fields of signals that
// loses its connection, and against a pause that it did not state.
func TestPeerOfReleasedVersion(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	hoistv1.RegisterFleetServer(server, releasedFleetServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	f, _ := startSignalFleet(t, 1)
	s, peer := f.servers[0], fleet.Entry{Name: "released", Address: listener.Addr().String()}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func(run func(context.Context, hoistv1.FleetClient) error) error { return s.peers.call(ctx, peer, run) }

	err = call(func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.ReportLeaving(ctx, leavingUpstreams(3))
		return err
	})
	if status.Code(err) != codes.Unimplemented {
		t.Errorf("error %v, expected Unimplemented", err)
	}
	conn := s.peers.conns[peer.Address]
	if conn == nil || conn.responsive.Err() != nil {
		t.Error("the connection to the peer was given up")
	}
	err = call(func(ctx context.Context, client hoistv1.FleetClient) error {
		response, err := client.Reserve(ctx, &hoistv1.ReserveRequest{})
		if got := pauseFromProto(s.now(), response.GetPausedMs()); got != 0 {
			t.Errorf("a reservation is paused until %d", got)
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
	result, err := s.runStageAt(ctx, peer, stagepool.Job{}, stageInputs{}, &ownerSearch{})
	if err != nil || result.refusal != stagepool.Overloaded || result.retryAfter != 700*time.Millisecond || result.pausedUntil != 0 {
		t.Errorf("refusal %d, retry after %s, paused until %d, error %v", result.refusal, result.retryAfter, result.pausedUntil, err)
	}
}

// TestRefusedStageOfPausedPool guards against a refusal by the owner of a paused pool without the end
// of the pause, and against one that is an error for VMs which do not know of pauses.
func TestRefusedStageOfPausedPool(t *testing.T) {
	f, _ := startSignalFleet(t, 2)
	f.publish(stagedCatalog(), append(catalogUpstreams("p", newTestUpstream(t, "u", nil)), catalogUpstreams("a", newTestUpstream(t, "w", nil))...)...)
	shard := f.servers[0].view.Load().ShardsOf["a"][0]
	ownerName := f.awaitOwner(t, shard.Name)
	var owner, other *Server
	for _, s := range f.servers {
		if s.settings.VM == ownerName {
			owner = s
		} else {
			other = s
		}
	}
	view := owner.view.Load()
	owner.signals.record(view, view.ByID["w"], ResponseInfo{Pause: time.Hour})
	job := stagepool.Job{Request: "r", Pieces: 1, Due: other.now().Add(time.Second), Deadline: other.now().Add(time.Second)}
	result, err := other.runStageAt(context.Background(), owner.gossip.directory.Self(), job, stageInputs{}, &ownerSearch{resource: shard.resource()})
	if err != nil || result.refusal != stagepool.Paused || result.retryAfter < 30*time.Minute {
		t.Errorf("refusal %d, retry after %s, error %v", result.refusal, result.retryAfter, err)
	}
	if left := result.pausedUntil.Sub(other.now()); left < 30*time.Minute || left > time.Hour+time.Second {
		t.Errorf("paused for another %s", left)
	}
}

// TestPauseFromPeer guards against an absurd Retry-After from the message of a peer, and against a
// pause that ends earlier at its receiver.
func TestPauseFromPeer(t *testing.T) {
	const now = clock.Instant(time.Hour)
	for ms, want := range map[int64]clock.Instant{
		1500: now.Add(1500 * time.Millisecond), 0: 0, -1: 0, math.MinInt64: 0, math.MaxInt64: 0,
		upstreamsignal.MaxPause.Milliseconds() + 1: now.Add(upstreamsignal.MaxPause + time.Millisecond), upstreamsignal.MaxPause.Milliseconds() + 2: 0,
	} {
		if got := pauseFromProto(now, ms); got != want {
			t.Errorf("%d ms: %d, expected %d", ms, got, want)
		}
	}
	if got := pauseToProto(now, 0); got != 0 {
		t.Errorf("%d ms sent without a pause", got)
	}
	for _, left := range []time.Duration{-time.Second, 0, 1, time.Millisecond, 1500 * time.Microsecond, upstreamsignal.MaxPause} {
		until := now.Add(left)
		if got := pauseFromProto(now, pauseToProto(now, until)); got < until || got > max(now, until).Add(time.Millisecond) {
			t.Errorf("a pause of %s more ends after %s at its receiver", left, got.Sub(now))
		}
	}
}

// FuzzLeavingReport guards against a report of a peer that ends the process, fills its memory, or is
// taken for other upstreams when it is sent on.
func FuzzLeavingReport(f *testing.F) {
	for _, report := range []*hoistv1.ReportLeavingRequest{
		leavingUpstreams(3), leavingUpstreams(maxReportedUpstreams + 1),
		{Upstreams: []*hoistv1.LeavingUpstream{{}, {Id: strings.Repeat("x", maxUpstreamIDBytes+1)}, {Id: "a", Start: math.MaxUint64}}},
	} {
		data, err := proto.Marshal(report)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte("\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report hoistv1.ReportLeavingRequest
		if proto.Unmarshal(data, &report) != nil {
			return // gRPC refuses the call.
		}
		leaving, invalid := leavingFromProto(&report)
		if len(leaving) > maxReportedUpstreams || len(leaving)+invalid != len(report.GetUpstreams()) {
			t.Fatalf("%d valid and %d invalid upstreams of %d", len(leaving), invalid, len(report.GetUpstreams()))
		}
		for _, i := range leaving {
			if i.ID == "" || len(i.ID) > maxUpstreamIDBytes {
				t.Errorf("an ID of %d bytes was accepted", len(i.ID))
			}
		}
		again, invalid := leavingFromProto(leavingToProto(leaving))
		if invalid != 0 || !slices.Equal(again, leaving) {
			t.Errorf("%v became %v with %d invalid", leaving, again, invalid)
		}
	})
}
