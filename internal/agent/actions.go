package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

const (
	// peerCallTimeout is the timeout of a probe or an exchange.
	peerCallTimeout = membership.DefaultProbeTimeout
	// fetchTimeout is the timeout of fetching a value from a peer. It is shorter than the time
	// after which the core abandons a fetch.
	fetchTimeout = configuration.FetchTimeout - 500*time.Millisecond
)

func (a *Agent) execute(action control.Action) {
	switch action := action.(type) {
	case control.Send:
		go a.sendRequest(action)
	case control.Reply:
		a.deliverAck(action.Message)
	case control.Read:
		go a.readValue(action.Read)
	case control.Fetch:
		go a.fetchValue(action.Fetch)
	case control.Changed:
		if action.Change&control.ChangedList != 0 {
			a.notifyListChange()
		}
		if action.Change&(control.ChangedList|control.ChangedTables) != 0 {
			a.logRevisions()
		}
	}
}

func (a *Agent) sendRequest(action control.Send) {
	if action.To.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, peerCallTimeout)
	defer cancel()
	started := bootclock.Now()
	var response control.Message
	var err error
	switch message := action.Message.(type) {
	case control.Probe:
		response, err = a.client.Probe(ctx, action.To.Address, message)
	case control.Exchange:
		response, err = a.client.Exchange(ctx, action.To.Address, message)
	}
	if err != nil {
		a.logger.Debug("peer call failed", zap.String("peer", action.To.Name), zap.Error(err))
		return
	}
	a.handleEvent(func(now clock.Instant) []control.Action { return a.core.Receive(now, response, now.Sub(started)) })
}

func (a *Agent) readValue(read configuration.Read) {
	result := configuration.ReadResult{ID: read.ID, Status: configuration.ReadNoNewerValue}
	value, err := a.options.Platform.Read(a.ctx, string(read.Name), read.After, read.Wait)
	switch {
	case a.ctx.Err() != nil:
		return
	case err != nil:
		a.logger.Warn("failed to read from the configuration service", zap.String("value", string(read.Name)), zap.Error(err))
		result.Status = configuration.ReadFailed
	case value != nil:
		result.Status = configuration.ReadValue
		result.Value = configuration.NewValue(value.Revision, value.Data)
	}
	a.metrics.countRead(read.Name, result.Status, len(result.Value.Data))
	a.handleEvent(func(now clock.Instant) []control.Action { return a.core.HandleReadResult(now, result) })
}

func (a *Agent) fetchValue(fetch configuration.Fetch) {
	ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
	defer cancel()
	value, err := a.client.Fetch(ctx, fetch)
	if err != nil {
		a.logger.Warn("failed to fetch from peer", zap.String("peer", fetch.Peer.Name),
			zap.String("value", string(fetch.Name)), zap.Uint64("revision", fetch.Revision), zap.Error(err))
	}
	result := configuration.FetchResult{ID: fetch.ID, Failed: err != nil, Value: value}
	a.handleEvent(func(now clock.Instant) []control.Action { return a.core.HandleFetchResult(now, result) })
}

// notifyListChange passes the VM list in force to the callbacks. Concurrent changes result in
// one call with the newest revision.
func (a *Agent) notifyListChange() {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	a.mu.Lock()
	snapshot := a.core.Snapshot(bootclock.Now())
	a.mu.Unlock()
	if snapshot.ListRevision <= a.listRevision {
		return
	}
	a.listRevision = snapshot.ListRevision
	for _, callback := range a.listCallbacks {
		callback(snapshot.ListRevision, snapshot.VMs)
	}
}

func (a *Agent) logRevisions() {
	a.mu.Lock()
	status := a.core.Status(bootclock.Now())
	a.mu.Unlock()
	a.logger.Info("revisions in force",
		zap.Uint64("routes", status.InForce[configuration.Routes]),
		zap.Uint64("pools", status.InForce[configuration.Pools]),
		zap.Uint64("vms", status.InForce[configuration.VMs]))
}
