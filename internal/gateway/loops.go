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
	// tickInterval is below the 50 ms that the Core requires.
	tickInterval = 10 * time.Millisecond
	// leaseCheck is how soon a cold upstream gets its first lease. All work for it waits
	// until then.
	leaseCheck = 20 * time.Millisecond
	// leaseInterval is how often unchanged wants are passed on. Slots are acquired in the
	// background, so it is also how soon an acquired one is used.
	leaseInterval = 50 * time.Millisecond
	// reportInterval is how often observations go to the agent.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds a report; the next one repeats nothing, since the Core keeps
	// the state and not the reports.
	reportTimeout = time.Second
	// sweepInterval is how often idle connections are checked for their age.
	sweepInterval = 5 * time.Second
)

// Run keeps the Core's time, leases and reports until ctx ends.
func (g *Gateway) Run(ctx context.Context, agent hoistv1.AgentClient) {
	leases := &leaseLoop{gateway: g}
	go g.every(ctx, leaseCheck, func() { leases.step(ctx) })
	go g.every(ctx, reportInterval, func() { g.report(ctx, agent) })
	go g.every(ctx, sweepInterval, g.client.Sweep)
	g.every(ctx, tickInterval, func() {
		now := g.options.Now()
		g.change(func(core *dispatch.Core) dispatch.Effects { return core.Tick(now) })
	})
}

func (g *Gateway) every(ctx context.Context, interval time.Duration, act func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			act()
		case <-ctx.Done():
			return
		}
	}
}

// leaseLoop renews leases when they are wanted, at once after a change.
type leaseLoop struct {
	gateway *Gateway
	wants   []dispatch.LeaseRequest
	renewed clock.Instant
}

func (l *leaseLoop) step(ctx context.Context) {
	g := l.gateway
	now := g.options.Now()
	g.mu.Lock()
	wants := g.core.WantedLeases(now)
	g.mu.Unlock()
	if slices.Equal(wants, l.wants) && now.Sub(l.renewed) < leaseInterval {
		return
	}
	l.wants, l.renewed = wants, now
	held := g.options.Leaser.Renew(ctx, wants)
	now = g.options.Now()
	g.change(func(core *dispatch.Core) dispatch.Effects { return core.SetLeases(now, held) })
}

func (g *Gateway) report(ctx context.Context, agent hoistv1.AgentClient) {
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
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	if _, err := agent.Report(ctx, reportMessage(now, report)); err != nil {
		g.options.Logger.Warn("report to the agent failed", zap.Error(err))
	}
}

func reportMessage(now clock.Instant, report dispatch.Report) *hoistv1.ReportRequest {
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
