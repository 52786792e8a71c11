package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

func (g *Gateway) apply(message *hoistv1.Snapshot) {
	now := g.options.Now()
	next := &config{received: now, confirmed: message.GetConfirmed(), confirmedAge: int64(message.GetConfirmedAgeMs())}
	current := g.config.Load()
	if !g.applyTables(next, current, message) {
		return
	}
	next.revisions.VMs = message.GetListRevision()
	next.vms = vms(message.GetVms())
	if current != nil && current.revisions.VMs > next.revisions.VMs {
		next.revisions.VMs, next.vms = current.revisions.VMs, current.vms
	}
	if known := len(message.GetSuspects()); known != g.suspectsKnown {
		g.options.Logger.Info("suspects learnt", zap.Int("suspects", known), zap.Int("before", g.suspectsKnown))
		g.suspectsKnown = known
	}
	g.change(func(core *dispatch.Core) dispatch.Effects {
		return core.Apply(now, dispatch.Snapshot{
			Tables: next.tables, PoolsRevision: next.revisions.Pools, ListRevision: next.revisions.VMs, VMs: next.vms,
			Warmth: warmth(now, message.GetWarmth()), Suspects: suspects(now, message.GetSuspects()),
		})
	})
	if g.options.OnVMList != nil {
		g.options.OnVMList(next.revisions.VMs, next.vms)
	}
	g.config.Store(next)
}

// applyTables fills in the tables of the snapshot, or those in use if the snapshot's are
// not newer: an agent that has restarted may know less for a while (G9).
func (g *Gateway) applyTables(next, current *config, message *hoistv1.Snapshot) bool {
	revisions := adminapi.Revisions{Routes: message.GetRoutes().GetRevision(), Pools: message.GetPools().GetRevision()}
	if current != nil && revisions.Routes <= current.revisions.Routes && revisions.Pools <= current.revisions.Pools {
		next.tables, next.revisions, next.routes = current.tables, current.revisions, current.routes
		return true
	}
	if revisions.Routes == 0 || revisions.Pools == 0 {
		return false
	}
	if current != nil && (revisions.Routes < current.revisions.Routes || revisions.Pools < current.revisions.Pools) {
		g.options.Logger.Warn("snapshot with an older table ignored",
			zap.Uint64("routes", revisions.Routes), zap.Uint64("pools", revisions.Pools))
		return false
	}
	tables, err := table.Load("routes", message.GetRoutes().GetData(), "pools", message.GetPools().GetData())
	if err != nil {
		g.options.Logger.Error("snapshot rejected", zap.Error(err))
		return false
	}
	next.tables, next.revisions, next.routes = tables, revisions, g.plan(tables)
	g.options.Logger.Info("tables in use", zap.Uint64("routes", revisions.Routes), zap.Uint64("pools", revisions.Pools))
	return true
}

func vms(messages []*hoistv1.Vm) []table.VM {
	list := make([]table.VM, len(messages))
	for i, vm := range messages {
		list[i] = table.VM{
			Name: vm.GetName(), Zone: vm.GetZone(), State: table.VMLive,
			AgentAddress: vm.GetAgentAddress(), GatewayAddress: vm.GetGatewayAddress(),
		}
		if vm.GetState() == hoistv1.VmState_VM_STATE_LEAVING {
			list[i].State = table.VMLeaving
		}
	}
	return list
}

func warmth(now clock.Instant, messages []*hoistv1.Warmth) []dispatch.WarmthReport {
	reports := make([]dispatch.WarmthReport, len(messages))
	for i, m := range messages {
		reports[i] = dispatch.WarmthReport{
			Upstream: m.GetUpstream(), Reporter: m.GetReporter(), Sequence: m.GetSequence(),
			Successes: int(m.GetSuccesses()), Cold: m.GetCold(), Observed: now.Add(-milliseconds(m.GetAgeMs())),
		}
	}
	return reports
}

func suspects(now clock.Instant, messages []*hoistv1.Suspect) []dispatch.Suspect {
	var list []dispatch.Suspect
	for _, m := range messages {
		var fingerprint dispatch.Fingerprint
		if copy(fingerprint[:], m.GetFingerprint()) != len(fingerprint) {
			continue
		}
		list = append(list, dispatch.Suspect{
			Fingerprint: fingerprint, Upstreams: m.GetUpstreams(), Expires: now.Add(milliseconds(m.GetTtlMs())),
		})
	}
	return list
}

// milliseconds converts a field of a message; absurd values are cut off, since they
// would overflow.
func milliseconds(ms uint64) time.Duration {
	const limit = 24 * time.Hour
	return min(time.Duration(min(ms, uint64(limit/time.Millisecond)))*time.Millisecond, limit)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
