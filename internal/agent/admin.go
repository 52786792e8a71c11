package agent

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// adminTimeout is the timeout for reading a request and for writing a response.
	adminTimeout = 10 * time.Second
	// adminBufferBytes is the size of the read and write buffers of an admin connection.
	adminBufferBytes = 4 << 10
)

func (a *Agent) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
	case "/readyz":
		if !a.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case adminapi.PathMetrics:
		a.metrics.handler(ctx)
	case adminapi.PathStatus:
		ctx.SetContentType("application/json")
		// Encoding does not fail, since the document contains only types that encoding/json
		// supports.
		_ = json.NewEncoder(ctx).Encode(a.statusDocument())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// ready reports whether a revision of every value is in force, without which the gateway
// cannot work.
func (a *Agent) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.core.Status(bootclock.Now())
	for _, name := range configuration.Names {
		if status.InForce[name] == 0 {
			return false
		}
	}
	return true
}

func (a *Agent) statusDocument() adminapi.AgentStatus {
	a.mu.Lock()
	now := bootclock.Now()
	snapshot := a.core.Snapshot(now)
	warmth, _ := a.core.Reports(now)
	status := a.core.Status(now)
	a.mu.Unlock()
	document := adminapi.AgentStatus{
		Program:        adminapi.ProgramAgent,
		VM:             a.options.Settings.VM,
		Zone:           a.options.Settings.Zone,
		Incarnation:    uint64(status.Incarnation),
		Revisions:      toRevisions(status.InForce),
		Newest:         toRevisions(status.Newest),
		Confirmed:      snapshot.Confirmed,
		ConfirmedAgeMs: snapshot.ConfirmedAge.Milliseconds(),
		Reader:         status.Reader,
		Members:        a.memberList(snapshot, status),
		Upstreams:      summarizeWarmth(warmth),
	}
	for _, rejection := range status.Rejections {
		document.Rejected = append(document.Rejected, adminapi.RejectedRevision{
			Value: string(rejection.Name), Revision: rejection.Revision, Reason: rejection.Reason,
		})
	}
	return document
}

// memberList lists the published VMs, including this one, sorted by name.
func (a *Agent) memberList(snapshot control.Snapshot, status control.Status) []adminapi.Member {
	leaving := map[string]bool{}
	for _, vm := range snapshot.VMs {
		leaving[vm.Name] = vm.State == table.VMLeaving
	}
	self := a.options.Settings
	members := []adminapi.Member{{
		VM: self.VM, Zone: self.Zone, Status: adminapi.MemberAlive,
		Incarnation: uint64(status.Incarnation), Leaving: leaving[self.VM],
	}}
	for _, state := range snapshot.Members {
		members = append(members, adminapi.Member{
			VM: state.Name, Zone: state.Zone, Status: toMemberStatus(state.Status),
			Incarnation: uint64(state.Incarnation), Leaving: leaving[state.Name],
		})
	}
	slices.SortFunc(members, func(a, b adminapi.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

func toMemberStatus(status membership.Status) adminapi.MemberStatus {
	switch status {
	case membership.Alive:
		return adminapi.MemberAlive
	case membership.Suspect:
		return adminapi.MemberSuspect
	default:
		return adminapi.MemberUnreachable
	}
}

// summarizeWarmth combines the warmth reports of all reporters by upstream. The agent does not
// know the warm_after threshold of a pool, so an upstream with successes and no later cold
// report is shown as ramping.
func summarizeWarmth(reports []gossip.Warmth) []adminapi.UpstreamWarmth {
	var out []adminapi.UpstreamWarmth
	for _, w := range reports {
		if len(out) == 0 || out[len(out)-1].Upstream != w.Upstream {
			out = append(out, adminapi.UpstreamWarmth{
				Upstream: w.Upstream, Warmth: adminapi.WarmthCold, AgeMs: w.Age.Milliseconds(),
			})
		}
		last := &out[len(out)-1]
		last.AgeMs = min(last.AgeMs, w.Age.Milliseconds())
		if !w.Cold && w.Successes > 0 {
			last.Successes += int(w.Successes)
			last.Warmth = adminapi.WarmthRamping
		}
	}
	return out
}

func toRevisions(byName map[configuration.Name]uint64) adminapi.Revisions {
	return adminapi.Revisions{
		Routes: byName[configuration.Routes], Pools: byName[configuration.Pools], VMs: byName[configuration.VMs],
	}
}
