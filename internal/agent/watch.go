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
	// minReportsInterval is the minimum time before a snapshot in which only warmth or suspects
	// have changed. Changes of the tables, the VM list and the members are sent immediately.
	minReportsInterval = time.Second
	// maxSnapshotInterval is the maximum time between two snapshots, so that the gateway
	// knows how old its state is.
	maxSnapshotInterval = time.Second
)

// Watch implements the Agent service.
func (a *Agent) Watch(request *hoistv1.WatchRequest, stream grpc.ServerStreamingServer[hoistv1.Snapshot]) error {
	var sentRoutes, sentPools uint64
	for {
		snapshot, stateVersion, reportsVersion := a.newSnapshotMessage()
		if request.GetOmitUnchanged() {
			omitUnchangedData(snapshot.GetRoutes(), &sentRoutes)
			omitUnchangedData(snapshot.GetPools(), &sentPools)
		}
		if err := stream.Send(snapshot); err != nil {
			return err
		}
		if !a.waitForSnapshotDue(stream.Context(), stateVersion, reportsVersion) {
			return nil
		}
	}
}

// omitUnchangedData removes the data of t if its revision has already been sent.
func omitUnchangedData(t *hoistv1.Table, sent *uint64) {
	if t.GetRevision() == *sent {
		t.Data = nil
	}
	*sent = t.GetRevision()
}

// waitForSnapshotDue waits until a new snapshot is due. It returns false if the stream or the
// agent has stopped.
func (a *Agent) waitForSnapshotDue(ctx context.Context, stateVersion, reportsVersion uint64) bool {
	snapshotTimer := time.NewTimer(maxSnapshotInterval)
	defer snapshotTimer.Stop()
	reportsTimer := time.NewTimer(minReportsInterval)
	defer reportsTimer.Stop()
	reportsDue := false
	for {
		a.mu.Lock()
		changed := a.changed
		stateChanged, reportsChanged := a.stateVersion != stateVersion, a.reportsVersion != reportsVersion
		a.mu.Unlock()
		if stateChanged || (reportsChanged && reportsDue) {
			return true
		}
		select {
		case <-changed:
		case <-reportsTimer.C:
			reportsDue = true
		case <-snapshotTimer.C:
			return true
		case <-ctx.Done():
			return false
		case <-a.ctx.Done():
			return false
		}
	}
}

// newSnapshotMessage returns the message for the gateway and the versions of its content.
func (a *Agent) newSnapshotMessage() (message *hoistv1.Snapshot, stateVersion, reportsVersion uint64) {
	a.mu.Lock()
	now := bootclock.Now()
	s := a.core.Snapshot(now)
	warmth, suspects := a.core.Reports(now)
	incarnation := a.core.Status(now).Incarnation
	stateVersion, reportsVersion = a.stateVersion, a.reportsVersion
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
		message.Vms = append(message.Vms, toVMMessage(vm))
	}
	message.Members = append(message.Members, peer.FromUpdate(membership.Update{VM: a.options.Settings.VM, Incarnation: incarnation}))
	for _, state := range s.Members {
		update := membership.Update{VM: state.Name, Incarnation: state.Incarnation, Status: state.Status}
		message.Members = append(message.Members, peer.FromUpdate(update))
	}
	return message, stateVersion, reportsVersion
}

// Report implements the Agent service.
func (a *Agent) Report(_ context.Context, request *hoistv1.ReportRequest) (*hoistv1.ReportResponse, error) {
	warmth := peer.ToWarmth(request.GetWarmth())
	for i := range warmth {
		// Reports of the local gateway have this VM as the reporter; the value in the request is
		// ignored.
		warmth[i].Reporter = a.options.Settings.VM
	}
	suspects := peer.ToSuspects(request.GetSuspects())
	a.handleEvent(func(now clock.Instant) []control.Action { return a.core.Report(now, warmth, suspects) })
	return &hoistv1.ReportResponse{}, nil
}

func toVMMessage(vm table.VM) *hoistv1.Vm {
	state := hoistv1.VmState_VM_STATE_LIVE
	if vm.State == table.VMLeaving {
		state = hoistv1.VmState_VM_STATE_LEAVING
	}
	return &hoistv1.Vm{
		Name: vm.Name, Zone: vm.Zone, State: state,
		AgentAddress: vm.AgentAddress, GatewayAddress: vm.GatewayAddress,
	}
}
