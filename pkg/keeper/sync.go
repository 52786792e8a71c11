package keeper

import (
	"cmp"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Index, b.Index))
}

// Sync answers a read and adopts the reader's views.
func (m *Member) Sync(now clock.Instant, request SyncRequest) SyncResponse {
	response := SyncResponse{From: m.options.VM, Incarnation: m.options.Incarnation, ReaderIncarnation: request.Incarnation}
	records := 0
	for _, requested := range request.Shards {
		if records > maxSyncResponseRecords {
			break
		}
		state := m.syncShard(now, request.From, request.Incarnation, requested)
		records += len(state.Records)
		response.Shards = append(response.Shards, state)
	}
	return response
}

func (m *Member) syncShard(now clock.Instant, from string, incarnation uint64, requested SyncShard) SyncShardState {
	s := m.ensureShard(requested.Shard)
	refusal := SyncShardState{Shard: requested.Shard, Revision: requested.View.Revision, NewerRevision: s.view.Revision}
	if incarnation < s.incarnations[from] {
		// The reader's clock went backwards across a restart. It chooses a larger
		// incarnation when it receives this response.
		refusal.Incarnations = map[string]uint64{from: s.incarnations[from]}
		return refusal
	}
	switch {
	case requested.View.Revision < s.view.Revision:
		return refusal
	case requested.View.Revision == s.view.Revision && !requested.View.sameGroup(s.view):
		return refusal
	}
	sameActive := s.active && requested.View.sameGroup(s.view)
	if !sameActive && !s.addKnownView(requested.View) {
		return refusal
	}
	s.noteIncarnation(from, incarnation)
	if requested.View.Revision > s.view.Revision {
		s.adoptView(requested.View)
	}
	state := s.syncState(now, &m.options)
	state.Records = s.exportRecords(now)
	return state
}

// OnSyncResponse processes the response to a read.
func (m *Member) OnSyncResponse(now clock.Instant, response SyncResponse) {
	if response.ReaderIncarnation != m.options.Incarnation {
		return
	}
	for i := range response.Shards {
		state := &response.Shards[i]
		s := m.shards[state.Shard]
		if s == nil {
			continue
		}
		if known := state.Incarnations[m.options.VM]; known > m.options.Incarnation {
			m.options.Incarnation = known + 1
			m.restartReads()
			return
		}
		if state.NewerRevision > 0 || s.active || state.Revision != s.view.Revision {
			continue
		}
		for vm, incarnation := range state.Incarnations {
			s.noteIncarnation(vm, incarnation)
		}
		s.noteIncarnation(response.From, response.Incarnation)
		if s.responses == nil {
			s.responses = map[string]*SyncShardState{}
		}
		if previous := s.responses[response.From]; previous == nil || incarnationOf(previous, response.From) <= response.Incarnation {
			s.responses[response.From] = state
		}
		if state.VotesComplete {
			delete(s.nextReadAt, response.From)
		} else {
			// A responder with incomplete votes counts once its uptime reaches
			// BootstrapWait, so read it again then.
			wait := m.options.BootstrapWait - min(state.Uptime, now.Sub(m.options.StartedAt))
			s.nextReadAt[response.From] = now.Add(min(max(wait, readRetryInterval), maxReadRefreshInterval))
		}
		m.tryActivate(now, s)
	}
}

func incarnationOf(state *SyncShardState, vm string) uint64 { return state.Incarnations[vm] }

// restartReads discards all responses so that the reads are repeated with the new
// incarnation.
func (m *Member) restartReads() {
	for _, s := range m.shards {
		s.responses, s.nextReadAt = nil, nil
	}
}

// addDueReads adds the due reads of a shard to shardsByTarget.
func (m *Member) addDueReads(now clock.Instant, s *shardState, shardsByTarget map[string][]SyncShard) {
	read := m.newQuorumRead(now, s)
	if s.nextReadAt == nil {
		s.nextReadAt = map[string]clock.Instant{}
	}
	for _, target := range read.targets() {
		if read.hasCompleteVotes(target) || now.Before(s.nextReadAt[target]) {
			continue
		}
		s.nextReadAt[target] = now.Add(readRetryInterval)
		shardsByTarget[target] = append(shardsByTarget[target], SyncShard{Shard: s.id, View: s.view})
	}
}

func (m *Member) tryActivate(now clock.Instant, s *shardState) {
	read := m.newQuorumRead(now, s)
	if !read.isComplete() {
		return
	}
	if read.startsEmpty {
		s.bootstrap = &Bootstrap{Group: s.view.Group, Incarnations: m.groupIncarnations(s)}
	}
	for _, name := range read.targets() {
		if read.hasCompleteVotes(name) {
			m.mergeRecords(now, s, read.responses[name].Records)
		}
	}
	s.activate()
}

func (m *Member) mergeRecords(now clock.Instant, s *shardState, records []Record) {
	for i := range records {
		incoming := &records[i]
		if len(incoming.Holders) == 0 {
			continue
		}
		merged := &record{holder: m.internHolder(incoming.Holders[0]), state: incoming.State, expiresAt: now.Add(incoming.TTL)}
		if len(incoming.Holders) > 1 {
			merged.otherHolders = slices.Clone(incoming.Holders[1:])
		}
		if r := s.records[incoming.Key]; r != nil && r.expiresAt.After(now) {
			r.merge(merged)
			continue
		} else if r == nil {
			m.recordCount++
		}
		s.records[incoming.Key] = merged
	}
}
