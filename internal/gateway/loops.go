package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const (
	// tickInterval is below the maximum of 50 ms that the Core allows between ticks.
	tickInterval = 10 * time.Millisecond
	// leaseCheckInterval bounds the delay before the first lease on a cold upstream is
	// requested. All calls to that upstream wait for it.
	leaseCheckInterval = 20 * time.Millisecond
	// leaseInterval is how often an unchanged set of wanted leases is renewed. Slots are
	// acquired in the background, so it also bounds the delay before an acquired one is used.
	leaseInterval = 50 * time.Millisecond
	// reportInterval is how often observations are reported to the agent.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds the call that sends a report. A failed report is not resent: the
	// next one is built from the Core's state at that time.
	reportTimeout = time.Second
	// sweepInterval is how often connections that were idle for too long are closed.
	sweepInterval = 5 * time.Second
)

// Run ticks the Core, renews leases and sends reports to the agent until ctx ends.
func (g *Gateway) Run(ctx context.Context, agent hoistv1.AgentClient) {
	renewer := &leaseRenewer{gateway: g}
	go g.runEvery(ctx, leaseCheckInterval, func() { renewer.renewIfDue(ctx) })
	go g.runEvery(ctx, reportInterval, func() { g.sendReport(ctx, agent) })
	go g.runEvery(ctx, sweepInterval, g.client.CloseExpired)
	g.runEvery(ctx, tickInterval, func() {
		now := g.options.Now()
		g.updateCore(func(core *dispatch.Core) dispatch.Effects { return core.Tick(now) })
	})
}

func (g *Gateway) runEvery(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			task()
		case <-ctx.Done():
			return
		}
	}
}

// leaseRenewer renews the wanted leases, without delay when the wanted set changes.
type leaseRenewer struct {
	gateway    *Gateway
	lastWanted []dispatch.LeaseRequest
	renewedAt  clock.Instant
}

func (r *leaseRenewer) renewIfDue(ctx context.Context) {
	g := r.gateway
	now := g.options.Now()
	g.mu.Lock()
	wanted := g.core.WantedLeases(now)
	g.mu.Unlock()
	if slices.Equal(wanted, r.lastWanted) && now.Sub(r.renewedAt) < leaseInterval {
		return
	}
	r.lastWanted, r.renewedAt = wanted, now
	held := g.options.Leaser.Renew(ctx, wanted)
	now = g.options.Now()
	g.updateCore(func(core *dispatch.Core) dispatch.Effects { return core.SetLeases(now, held) })
}

func (g *Gateway) sendReport(ctx context.Context, agent hoistv1.AgentClient) {
	now := g.options.Now()
	g.mu.Lock()
	report := g.core.Report(now)
	g.mu.Unlock()
	if len(report.Warmth) == 0 && len(report.Suspects) == 0 {
		return
	}
	if len(report.Suspects) > 0 {
		g.options.Logger.Info("suspects reported", zap.Int("suspects", len(report.Suspects)))
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := agent.Report(ctx, toReportRequest(now, report)); err != nil {
		g.options.Logger.Warn("report to the agent failed", zap.Error(err))
	}
}

func toReportRequest(now clock.Instant, report dispatch.Report) *hoistv1.ReportRequest {
	message := &hoistv1.ReportRequest{}
	for _, w := range report.Warmth {
		message.Warmth = append(message.Warmth, &hoistv1.Warmth{
			Upstream: w.Upstream, Reporter: w.Reporter, Sequence: w.Sequence, Successes: uint32(w.Successes),
			Cold: w.Cold, AgeMs: uint64(max(0, now.Sub(w.Observed).Milliseconds())),
		})
	}
	for _, s := range report.Suspects {
		message.Suspects = append(message.Suspects, &hoistv1.Suspect{
			Fingerprint: s.Fingerprint[:], Upstreams: s.Upstreams, TtlMs: uint64(max(0, s.Expires.Sub(now).Milliseconds())),
		})
	}
	return message
}
