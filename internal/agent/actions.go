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
	// callTimeout bounds a probe or an exchange.
	callTimeout = membership.DefaultProbeTimeout
	// fetchTimeout bounds reading a value from a peer. It is shorter than the time after
	// which the decisions give up a fetch.
	fetchTimeout = configuration.FetchTimeout - 500*time.Millisecond
)

func (a *Agent) carryOut(action control.Action) {
	switch action := action.(type) {
	case control.Send:
		go a.send(action)
	case control.Reply:
		a.reply(action.Message)
	case control.Read:
		go a.read(action.Read)
	case control.Fetch:
		go a.fetch(action.Fetch)
	case control.Changed:
		if action.Change&control.ChangedList != 0 {
			a.announceList()
		}
		if action.Change&(control.ChangedList|control.ChangedTables) != 0 {
			a.logRevisions()
		}
	}
}

func (a *Agent) send(action control.Send) {
	if action.To.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	started := bootclock.Now()
	var answer control.Message
	var err error
	switch message := action.Message.(type) {
	case control.Probe:
		answer, err = a.client.Probe(ctx, action.To.Address, message)
	case control.Exchange:
		answer, err = a.client.Exchange(ctx, action.To.Address, message)
	}
	if err != nil {
		a.logger.Debug("call to a peer failed", zap.String("peer", action.To.Name), zap.Error(err))
		return
	}
	a.do(func(now clock.Instant) []control.Action { return a.core.Receive(now, answer, now.Sub(started)) })
}

func (a *Agent) read(read configuration.Read) {
	result := configuration.ReadResult{ID: read.ID, Status: configuration.ReadNoNewerValue}
	value, err := a.options.Platform.Read(a.ctx, string(read.Name), read.After, read.Wait)
	switch {
	case a.ctx.Err() != nil:
		return
	case err != nil:
		a.logger.Warn("read from the configuration service failed", zap.String("value", string(read.Name)), zap.Error(err))
		result.Status = configuration.ReadFailed
	case value != nil:
		result.Status = configuration.ReadValue
		result.Value = configuration.NewValue(value.Revision, value.Data)
	}
	a.metrics.read(read.Name, result.Status, len(result.Value.Data))
	a.do(func(now clock.Instant) []control.Action { return a.core.HandleReadResult(now, result) })
}

func (a *Agent) fetch(fetch configuration.Fetch) {
	ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
	defer cancel()
	value, err := a.client.Fetch(ctx, fetch)
	if err != nil {
		a.logger.Warn("fetch from a peer failed", zap.String("peer", fetch.Peer.Name),
			zap.String("value", string(fetch.Name)), zap.Uint64("revision", fetch.Revision), zap.Error(err))
	}
	result := configuration.FetchResult{ID: fetch.ID, Failed: err != nil, Value: value}
	a.do(func(now clock.Instant) []control.Action { return a.core.HandleFetchResult(now, result) })
}

// announceList passes the list in force on. Concurrent changes are passed on once,
// with the newest revision.
func (a *Agent) announceList() {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	a.mu.Lock()
	snapshot := a.core.Snapshot(bootclock.Now())
	a.mu.Unlock()
	if snapshot.ListRevision <= a.listRevision {
		return
	}
	a.listRevision = snapshot.ListRevision
	for _, changed := range a.listChanged {
		changed(snapshot.ListRevision, snapshot.VMs)
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
