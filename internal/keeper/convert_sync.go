package keeper

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

func fromSyncRequest(r keeper.SyncRequest) *hoistv1.SyncRequest {
	m := &hoistv1.SyncRequest{From: r.From, Incarnation: r.Incarnation}
	for _, s := range r.Shards {
		m.Shards = append(m.Shards, &hoistv1.SyncShard{Shard: fromShard(s.Shard), View: fromView(s.View)})
	}
	return m
}

func toSyncRequest(m *hoistv1.SyncRequest) keeper.SyncRequest {
	r := keeper.SyncRequest{From: m.GetFrom(), Incarnation: m.GetIncarnation()}
	for _, s := range m.GetShards() {
		if shard := toShard(s.GetShard()); isValidShard(shard) {
			r.Shards = append(r.Shards, keeper.SyncShard{Shard: shard, View: toView(s.GetView())})
		}
	}
	return r
}

func fromSyncResponse(r keeper.SyncResponse) *hoistv1.SyncResponse {
	m := &hoistv1.SyncResponse{From: r.From, Incarnation: r.Incarnation, Reader: r.ReaderIncarnation}
	for i := range r.Shards {
		m.Shards = append(m.Shards, fromShardState(&r.Shards[i]))
	}
	return m
}

func fromShardState(state *keeper.SyncShardState) *hoistv1.SyncShardState {
	m := &hoistv1.SyncShardState{
		Shard: fromShard(state.Shard), Revision: state.Revision, Newer: state.NewerRevision, Memory: state.VotesComplete,
		UptimeMs: toMillis(state.Uptime), Active: fromView(state.LastActive), Synced: state.SyncedRevision, Incarnations: state.Incarnations,
	}
	for _, k := range state.KnownViews {
		m.Known = append(m.Known, &hoistv1.KnownView{First: k.FirstRevision, Last: k.LastRevision, Group: k.Group})
	}
	if state.Bootstrap != nil {
		m.Bootstrap = &hoistv1.Bootstrap{Group: state.Bootstrap.Group, Incarnations: state.Bootstrap.Incarnations}
	}
	for i := range state.Records {
		r := &state.Records[i]
		record := &hoistv1.Record{Key: r.Key[:], State: fromState(r.State), TtlMs: toMillisRoundedUp(r.TTL)}
		for _, h := range r.Holders {
			record.Holders = append(record.Holders, FromHolder(h))
		}
		m.Records = append(m.Records, record)
	}
	return m
}

// toSyncResponse returns false for a response with a malformed record. The record is not
// skipped, since its key could then be granted again.
func toSyncResponse(m *hoistv1.SyncResponse) (keeper.SyncResponse, bool) {
	r := keeper.SyncResponse{From: m.GetFrom(), Incarnation: m.GetIncarnation(), ReaderIncarnation: m.GetReader()}
	for _, s := range m.GetShards() {
		state, ok := toShardState(s)
		if !ok {
			return r, false
		}
		r.Shards = append(r.Shards, state)
	}
	return r, true
}

func toShardState(m *hoistv1.SyncShardState) (keeper.SyncShardState, bool) {
	state := keeper.SyncShardState{
		Shard: toShard(m.GetShard()), Revision: m.GetRevision(), NewerRevision: m.GetNewer(), VotesComplete: m.GetMemory(),
		Uptime: fromMillis(m.GetUptimeMs()), LastActive: toView(m.GetActive()), SyncedRevision: m.GetSynced(),
		Incarnations: m.GetIncarnations(),
	}
	for _, k := range m.GetKnown() {
		state.KnownViews = append(state.KnownViews, keeper.KnownView{FirstRevision: k.GetFirst(), LastRevision: k.GetLast(), Group: k.GetGroup()})
	}
	if b := m.GetBootstrap(); b != nil {
		state.Bootstrap = &keeper.Bootstrap{Group: b.GetGroup(), Incarnations: b.GetIncarnations()}
		if len(b.GetGroup()) != len(b.GetIncarnations()) {
			return state, false
		}
	}
	for _, record := range m.GetRecords() {
		key, ok := toKey(record.GetKey())
		if !ok || len(record.GetHolders()) == 0 {
			return state, false
		}
		r := keeper.Record{Key: key, State: toState(record.GetState()), TTL: fromMillis(record.GetTtlMs())}
		for _, h := range record.GetHolders() {
			r.Holders = append(r.Holders, ToHolder(h))
		}
		state.Records = append(state.Records, r)
	}
	return state, true
}
