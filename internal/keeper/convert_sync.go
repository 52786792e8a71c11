package keeper

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

func fromSync(r keeper.SyncRequest) *hoistv1.SyncRequest {
	m := &hoistv1.SyncRequest{From: r.From, Incarnation: r.Incarnation}
	for _, s := range r.Shards {
		m.Shards = append(m.Shards, &hoistv1.SyncShard{Shard: fromShard(s.Shard), View: fromView(s.View)})
	}
	return m
}

func toSync(m *hoistv1.SyncRequest) keeper.SyncRequest {
	r := keeper.SyncRequest{From: m.GetFrom(), Incarnation: m.GetIncarnation()}
	for _, s := range m.GetShards() {
		if shard := toShard(s.GetShard()); isShard(shard) {
			r.Shards = append(r.Shards, keeper.SyncShard{Shard: shard, View: toView(s.GetView())})
		}
	}
	return r
}

func fromSyncResponse(r keeper.SyncResponse) *hoistv1.SyncResponse {
	m := &hoistv1.SyncResponse{From: r.From, Incarnation: r.Incarnation, Reader: r.ReaderIncarnation}
	for i := range r.Shards {
		m.Shards = append(m.Shards, fromAnswer(&r.Shards[i]))
	}
	return m
}

func fromAnswer(a *keeper.SyncShardState) *hoistv1.SyncShardState {
	m := &hoistv1.SyncShardState{
		Shard: fromShard(a.Shard), Revision: a.Revision, Newer: a.NewerRevision, Memory: a.VotesComplete,
		UptimeMs: toMillis(a.Uptime), Active: fromView(a.LastActive), Synced: a.SyncedRevision, Incarnations: a.Incarnations,
	}
	for _, k := range a.KnownViews {
		m.Known = append(m.Known, &hoistv1.KnownView{First: k.FirstRevision, Last: k.LastRevision, Group: k.Group})
	}
	if a.Bootstrap != nil {
		m.Bootstrap = &hoistv1.Bootstrap{Group: a.Bootstrap.Group, Incarnations: a.Bootstrap.Incarnations}
	}
	for i := range a.Records {
		r := &a.Records[i]
		record := &hoistv1.Record{Key: r.Key[:], State: fromState(r.State), TtlMs: roundUp(r.TTL)}
		for _, h := range r.Holders {
			record.Holders = append(record.Holders, FromHolder(h))
		}
		m.Records = append(m.Records, record)
	}
	return m
}

// toSyncResponse reports false for a response with a malformed record: a record
// that was left out could be granted again.
func toSyncResponse(m *hoistv1.SyncResponse) (keeper.SyncResponse, bool) {
	r := keeper.SyncResponse{From: m.GetFrom(), Incarnation: m.GetIncarnation(), ReaderIncarnation: m.GetReader()}
	for _, s := range m.GetShards() {
		answer, ok := toAnswer(s)
		if !ok {
			return r, false
		}
		r.Shards = append(r.Shards, answer)
	}
	return r, true
}

func toAnswer(m *hoistv1.SyncShardState) (keeper.SyncShardState, bool) {
	a := keeper.SyncShardState{
		Shard: toShard(m.GetShard()), Revision: m.GetRevision(), NewerRevision: m.GetNewer(), VotesComplete: m.GetMemory(),
		Uptime: fromMillis(m.GetUptimeMs()), LastActive: toView(m.GetActive()), SyncedRevision: m.GetSynced(),
		Incarnations: m.GetIncarnations(),
	}
	for _, k := range m.GetKnown() {
		a.KnownViews = append(a.KnownViews, keeper.KnownView{FirstRevision: k.GetFirst(), LastRevision: k.GetLast(), Group: k.GetGroup()})
	}
	if b := m.GetBootstrap(); b != nil {
		a.Bootstrap = &keeper.Bootstrap{Group: b.GetGroup(), Incarnations: b.GetIncarnations()}
		if len(b.GetGroup()) != len(b.GetIncarnations()) {
			return a, false
		}
	}
	for _, record := range m.GetRecords() {
		key, ok := toKey(record.GetKey())
		if !ok || len(record.GetHolders()) == 0 {
			return a, false
		}
		r := keeper.Record{Key: key, State: toState(record.GetState()), TTL: fromMillis(record.GetTtlMs())}
		for _, h := range record.GetHolders() {
			r.Holders = append(r.Holders, ToHolder(h))
		}
		a.Records = append(a.Records, r)
	}
	return a, true
}
