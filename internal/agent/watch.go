package agent

import (
	"context"
	"time"

	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// evidenceInterval is the shortest time between two snapshots of which the second
	// has only news about warmth and suspects. Tables, list and members are sent at once.
	evidenceInterval = time.Second
	// refreshInterval is the longest time between two snapshots, so that the gateway
	// knows the age of its information.
	refreshInterval = time.Second
)

// Watch implements the Agent service.
func (a *Agent) Watch(request *hoistv1.WatchRequest, stream grpc.ServerStreamingServer[hoistv1.Snapshot]) error {
	var sentRoutes, sentPools uint64
	for {
		snapshot, urgent, evidence := a.snapshot()
		if request.GetOmitUnchanged() {
			omitUnchanged(snapshot.GetRoutes(), &sentRoutes)
			omitUnchanged(snapshot.GetPools(), &sentPools)
		}
		if err := stream.Send(snapshot); err != nil {
			return err
		}
		if !a.awaitChange(stream.Context(), urgent, evidence) {
			return nil
		}
	}
}

// omitUnchanged removes the data of a revision that has been sent.
func omitUnchanged(t *hoistv1.Table, sent *uint64) {
	if t.GetRevision() == *sent {
		t.Data = nil
	}
	*sent = t.GetRevision()
}

// awaitChange waits until a new snapshot is due and reports false if the stream or the
// agent has ended.
func (a *Agent) awaitChange(ctx context.Context, urgent, evidence uint64) bool {
	refresh := time.NewTimer(refreshInterval)
	defer refresh.Stop()
	evidenceDue := time.NewTimer(evidenceInterval)
	defer evidenceDue.Stop()
	due := false
	for {
		a.mu.Lock()
		changed := a.changed
		isUrgent, isEvidence := a.urgent != urgent, a.evidence != evidence
		a.mu.Unlock()
		if isUrgent || (isEvidence && due) {
			return true
		}
		select {
		case <-changed:
		case <-evidenceDue.C:
			due = true
		case <-refresh.C:
			return true
		case <-ctx.Done():
			return false
		case <-a.ctx.Done():
			return false
		}
	}
}

// snapshot returns the message for the gateway and the counters of changes in it.
func (a *Agent) snapshot() (message *hoistv1.Snapshot, urgent, evidence uint64) {
	a.mu.Lock()
	now := bootclock.Now()
	s := a.core.Snapshot(now)
	warmth, suspects := a.core.Reports(now)
	incarnation := a.core.Status(now).Incarnation
	urgent, evidence = a.urgent, a.evidence
	a.mu.Unlock()
	message = &hoistv1.Snapshot{
		Routes:         &hoistv1.Table{Revision: s.Routes.Revision, Data: s.Routes.Data},
		Pools:          &hoistv1.Table{Revision: s.Pools.Revision, Data: s.Pools.Data},
		ListRevision:   s.ListRevision,
		Suspects:       peer.FromSuspects(suspects),
		Warmth:         peer.FromWarmth(warmth),
		Confirmed:      s.Confirmed,
		ConfirmedAgeMs: uint64(s.ConfirmedAge.Milliseconds()),
		CatchingUp:     s.CatchingUp,
	}
	for _, vm := range s.VMs {
		message.Vms = append(message.Vms, vmMessage(vm))
	}
	message.Members = append(message.Members, peer.FromUpdate(membership.Update{VM: a.options.Settings.VM, Incarnation: incarnation}))
	for _, state := range s.Members {
		update := membership.Update{VM: state.Name, Incarnation: state.Incarnation, Status: state.Status}
		message.Members = append(message.Members, peer.FromUpdate(update))
	}
	return message, urgent, evidence
}

// Report implements the Agent service.
func (a *Agent) Report(_ context.Context, request *hoistv1.ReportRequest) (*hoistv1.ReportResponse, error) {
	warmth := peer.ToWarmth(request.GetWarmth())
	for i := range warmth {
		// The reporter of own evidence is this VM, whatever the gateway filled in.
		warmth[i].Reporter = a.options.Settings.VM
	}
	suspects := peer.ToSuspects(request.GetSuspects())
	a.do(func(now clock.Instant) []control.Action { return a.core.Report(now, warmth, suspects) })
	return &hoistv1.ReportResponse{}, nil
}

func vmMessage(vm table.VM) *hoistv1.Vm {
	state := hoistv1.VmState_VM_STATE_LIVE
	if vm.State == table.VMLeaving {
		state = hoistv1.VmState_VM_STATE_LEAVING
	}
	return &hoistv1.Vm{
		Name: vm.Name, Zone: vm.Zone, State: state,
		AgentAddress: vm.AgentAddress, GatewayAddress: vm.GatewayAddress,
	}
}
