package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
)

// gateway emulates the gateway of a VM: it watches snapshots of its agent and reports the
// warmth of its upstreams every second.
type gateway struct {
	index         int
	conn          *grpc.ClientConn
	poolsRevision atomic.Uint64
	aliveMembers  atomic.Int64
	warmthEntries atomic.Int64
}

func newGateway(index int, transport peer.Transport, address string) (*gateway, error) {
	conn, err := transport.Dial(address)
	if err != nil {
		return nil, err
	}
	return &gateway{index: index, conn: conn}, nil
}

func (g *gateway) run(ctx context.Context, reportsPerGateway, upstreams int) {
	defer g.conn.Close()
	client := hoistv1.NewAgentClient(g.conn)
	go g.sendReports(ctx, client, reportsPerGateway, upstreams)
	for ctx.Err() == nil {
		stream, err := client.Watch(ctx, &hoistv1.WatchRequest{OmitUnchanged: true}, grpc.WaitForReady(true))
		for err == nil {
			var snapshot *hoistv1.Snapshot
			if snapshot, err = stream.Recv(); err == nil {
				g.applySnapshot(snapshot)
			}
		}
		sleep(ctx, time.Second)
	}
}

func (g *gateway) applySnapshot(snapshot *hoistv1.Snapshot) {
	alive := int64(0)
	for _, member := range snapshot.GetMembers() {
		if member.GetStatus() == hoistv1.MemberStatus_MEMBER_STATUS_ALIVE {
			alive++
		}
	}
	g.aliveMembers.Store(alive)
	g.warmthEntries.Store(int64(len(snapshot.GetWarmth())))
	g.poolsRevision.Store(snapshot.GetPools().GetRevision())
}

func (g *gateway) sendReports(ctx context.Context, client hoistv1.AgentClient, reportsPerGateway, upstreams int) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		request := &hoistv1.ReportRequest{}
		for i := range reportsPerGateway {
			request.Warmth = append(request.Warmth, &hoistv1.Warmth{
				Upstream: upstreamName((g.index*reportsPerGateway + i) % upstreams), Sequence: sequence, Successes: uint32(sequence),
			})
		}
		_, _ = client.Report(ctx, request)
		sleep(ctx, time.Second)
	}
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
