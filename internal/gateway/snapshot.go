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

func (g *Gateway) applySnapshot(message *hoistv1.Snapshot) {
	now := g.options.Now()
	next := &config{receivedAt: now, confirmed: message.GetConfirmed(), confirmedAgeMs: int64(message.GetConfirmedAgeMs())}
	current := g.config.Load()
	if !g.applyTables(next, current, message) {
		return
	}
	next.revisions.VMs = message.GetListRevision()
	next.vms = toVMs(message.GetVms())
	if current != nil && current.revisions.VMs > next.revisions.VMs {
		next.revisions.VMs, next.vms = current.revisions.VMs, current.vms
	}
	if count := len(message.GetSuspects()); count != g.suspectCount {
		g.options.Logger.Info("number of suspect requests changed", zap.Int("suspects", count), zap.Int("before", g.suspectCount))
		g.suspectCount = count
	}
	g.updateCore(func(core *dispatch.Core) dispatch.Effects {
		return core.Apply(now, dispatch.Snapshot{
			Tables: next.tables, PoolsRevision: next.revisions.Pools, ListRevision: next.revisions.VMs, VMs: next.vms,
			Warmth: toWarmthReports(now, message.GetWarmth()), Suspects: toSuspects(now, message.GetSuspects()),
		})
	})
	if g.options.OnVMList != nil {
		g.options.OnVMList(next.revisions.VMs, next.vms)
	}
	g.config.Store(next)
}

// applyTables fills in the tables of the snapshot, or the current ones if the snapshot's
// are not newer: an agent may send older tables for a while after its restart. It returns
// false if the snapshot cannot be used.
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
	next.tables, next.revisions, next.routes = tables, revisions, g.buildRoutes(tables)
	g.options.Logger.Info("tables in use", zap.Uint64("routes", revisions.Routes), zap.Uint64("pools", revisions.Pools))
	return true
}

func toVMs(messages []*hoistv1.Vm) []table.VM {
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

func toWarmthReports(now clock.Instant, messages []*hoistv1.Warmth) []dispatch.WarmthReport {
	reports := make([]dispatch.WarmthReport, len(messages))
	for i, m := range messages {
		reports[i] = dispatch.WarmthReport{
			Upstream: m.GetUpstream(), Reporter: m.GetReporter(), Sequence: m.GetSequence(),
			Successes: int(m.GetSuccesses()), Cold: m.GetCold(), Observed: now.Add(-millisecondsToDuration(m.GetAgeMs())),
		}
	}
	return reports
}

func toSuspects(now clock.Instant, messages []*hoistv1.Suspect) []dispatch.Suspect {
	var list []dispatch.Suspect
	for _, m := range messages {
		var fingerprint dispatch.Fingerprint
		if copy(fingerprint[:], m.GetFingerprint()) != len(fingerprint) {
			continue
		}
		list = append(list, dispatch.Suspect{
			Fingerprint: fingerprint, Upstreams: m.GetUpstreams(), Expires: now.Add(millisecondsToDuration(m.GetTtlMs())),
		})
	}
	return list
}

// millisecondsToDuration converts a field of a message. It limits the value to 24 h, since
// a larger one could overflow.
func millisecondsToDuration(ms uint64) time.Duration {
	const limit = 24 * time.Hour
	return min(time.Duration(min(ms, uint64(limit/time.Millisecond)))*time.Millisecond, limit)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
