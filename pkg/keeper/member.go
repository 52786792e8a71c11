package keeper

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Member stores the records of one VM and votes on claims and leases. It is not safe
// for concurrent use.
type Member struct {
	options Options
	list    VMList
	// removedAt holds the time at which a VM was first seen to be missing from the list.
	removedAt   map[string]clock.Instant
	shards      map[Shard]*shardState
	recordCount int
	lastSweep   clock.Instant
	// internedNames lets all records share one copy of each VM name.
	internedNames map[string]string
}

// NewMember returns a member without records that is active in no shard.
func NewMember(options Options) *Member {
	if options.claimShardCount == 0 {
		options.claimShardCount, options.leaseShardsPerZone = ClaimShardCount, LeaseShardsPerZone
	}
	return &Member{
		options: options, shards: map[Shard]*shardState{},
		removedAt: map[string]clock.Instant{}, internedNames: map[string]string{},
	}
}

// Stats holds the values of the member's metrics.
type Stats struct {
	// Records is the number of records.
	Records int
	// Active is the number of shards in which the member votes.
	Active int
	// Syncing is the number of shards that it reads from others before it may vote.
	Syncing int
}

// Stats returns the current values of the member's metrics.
func (m *Member) Stats() Stats {
	stats := Stats{Records: m.recordCount}
	for _, s := range m.shards {
		switch {
		case s.active:
			stats.Active++
		case s.view.Contains(m.options.VM):
			stats.Syncing++
		}
	}
	return stats
}

// SetLeaseGrace changes Options.LeaseGrace for leases that are granted later.
func (m *Member) SetLeaseGrace(grace time.Duration) { m.options.LeaseGrace = grace }

// ApplyList applies a published list. A list that is not newer is ignored.
func (m *Member) ApplyList(now clock.Instant, list VMList) {
	if list.Revision <= m.list.Revision {
		return
	}
	previous := m.list
	m.list = list
	m.updateRemovals(now, previous)
	for index := range m.options.claimShardCount {
		m.applyListToShard(Shard{Index: index}, previous)
	}
	for zone := range list.vmsPerZone {
		for index := range m.options.leaseShardsPerZone {
			m.applyListToShard(Shard{Lease: true, Zone: zone, Index: index}, previous)
		}
	}
	for id, s := range m.shards {
		if s.view.Revision < list.Revision {
			m.applyListToShard(id, previous)
		}
	}
}

func (m *Member) updateRemovals(now clock.Instant, previous VMList) {
	for i := range previous.vms {
		if name := previous.vms[i].Name; !m.list.Contains(name) {
			m.removedAt[name] = now
		}
	}
	for name, at := range m.removedAt {
		if m.list.Contains(name) || now.Sub(at) > removalRetention {
			delete(m.removedAt, name)
		}
	}
}

// applyListToShard adopts the list's view of a shard. A member that joins a group
// stores the group before it as a known view, because that group may have been active.
func (m *Member) applyListToShard(id Shard, previous VMList) {
	view := m.list.View(id)
	s := m.shards[id]
	if s == nil {
		if !view.Contains(m.options.VM) {
			return
		}
		s = newShardState(id)
		if previous.Revision > 0 {
			s.view = previous.View(id)
		}
		m.shards[id] = s
	}
	if view.Revision <= s.view.Revision {
		return
	}
	before := s.view
	s.adoptView(view)
	if view.Contains(m.options.VM) && !before.sameGroup(view) {
		// Failing at the limit is harmless here, because other members report the view.
		s.addKnownView(before)
	}
}

// ensureShard returns the state of a shard and creates it if necessary.
func (m *Member) ensureShard(id Shard) *shardState {
	s := m.shards[id]
	if s == nil {
		s = newShardState(id)
		if m.list.Revision > 0 {
			s.view = m.list.View(id)
		}
		m.shards[id] = s
	}
	return s
}

// Claim votes for an attempt or returns the reason for not voting.
func (m *Member) Claim(now clock.Instant, request ClaimRequest) ClaimResponse {
	response := ClaimResponse{From: m.options.VM, Incarnation: m.options.Incarnation}
	s := m.ensureShard(request.Shard)
	response.View = s.view
	switch {
	case !s.view.Contains(m.options.VM) || !s.view.sameGroup(request.View):
		response.Verdict = WrongView
	case !s.active:
		response.Verdict = Inactive
	default:
		m.vote(now, s, &request, &response)
	}
	return response
}

func (m *Member) vote(now clock.Instant, s *shardState, request *ClaimRequest, response *ClaimResponse) {
	r := s.records[request.Key]
	if r != nil && !r.expiresAt.After(now) {
		m.deleteRecord(s, request.Key)
		r = nil
	}
	expires := now.Add(m.options.ClaimRetention)
	if request.Shard.Lease {
		expires = now.Add(min(request.LeaseDuration, m.options.MaxLeaseDuration) + m.options.LeaseGrace)
	}
	switch {
	case r == nil && !m.hasRoom(now):
		response.Verdict = Full
		return
	case r == nil:
		r = &record{holder: m.internHolder(request.Holder), expiresAt: expires}
		s.records[request.Key] = r
		m.recordCount++
	case r.state == Released && r.holder != request.Holder:
		// Only the released attempt itself is refused, because its late messages must
		// not acquire the key again.
		*r = record{holder: m.internHolder(request.Holder), expiresAt: expires}
	case r.state != Pending || r.holder != request.Holder || r.otherHolders != nil:
		response.Verdict = Held
		response.Holder = r.otherHolder(request.Holder)
		response.State = r.state
		return
	case request.Shard.Lease:
		r.expiresAt = max(r.expiresAt, expires)
	}
	response.Verdict = Granted
	response.Incarnations = m.groupIncarnations(s)
}

func (m *Member) groupIncarnations(s *shardState) []uint64 {
	incarnations := make([]uint64, len(s.view.Group))
	for i, name := range s.view.Group {
		incarnations[i] = s.incarnations[name]
		if name == m.options.VM {
			incarnations[i] = m.options.Incarnation
		}
	}
	return incarnations
}

// Finish records the end of an attempt.
func (m *Member) Finish(now clock.Instant, request FinishRequest) {
	s := m.shards[request.Shard]
	if s == nil {
		return
	}
	r := s.records[request.Key]
	if r == nil {
		if !s.active || !m.hasRoom(now) {
			return
		}
		// If this message overtakes the claim, the record refuses the late claim.
		r = &record{holder: m.internHolder(request.Holder), expiresAt: now.Add(m.options.voteLifetime(s.id))}
		s.records[request.Key] = r
		m.recordCount++
	}
	if request.State == Released {
		r.release(request.Holder)
		return
	}
	r.finish(m.internHolder(request.Holder))
	r.expiresAt = now.Add(m.options.voteLifetime(s.id))
}

func (m *Member) internHolder(h Holder) Holder {
	name, found := m.internedNames[h.VM]
	if !found {
		name = h.VM
		m.internedNames[name] = name
	}
	h.VM = name
	return h
}

// hasRoom reports whether a new record fits. Unexpired records are never evicted: an
// evicted claim could be granted again.
func (m *Member) hasRoom(now clock.Instant) bool {
	if m.recordCount >= m.options.MaxRecords {
		m.sweep(now, time.Second)
	}
	return m.recordCount < m.options.MaxRecords
}

func (m *Member) deleteRecord(s *shardState, key Key) {
	delete(s.records, key)
	m.recordCount--
}

// sweep removes expired records unless the last sweep is less than interval ago.
func (m *Member) sweep(now clock.Instant, interval time.Duration) {
	if now.Sub(m.lastSweep) < interval {
		return
	}
	m.lastSweep = now
	for _, s := range m.shards {
		for key, r := range s.records {
			if !r.expiresAt.After(now) {
				m.deleteRecord(s, key)
			}
		}
	}
}

// Tick removes expired records, activates shards and returns the reads that are due,
// by target VM. Call it every 100 ms.
func (m *Member) Tick(now clock.Instant) map[string][]SyncRequest {
	m.sweep(now, sweepInterval)
	shardsByTarget := map[string][]SyncShard{}
	for _, s := range m.syncingShards() {
		m.tryActivate(now, s)
		if !s.active {
			m.addDueReads(now, s, shardsByTarget)
		}
	}
	requests := map[string][]SyncRequest{}
	for target, shards := range shardsByTarget {
		for batch := range slices.Chunk(shards, maxSyncRequestShards) {
			requests[target] = append(requests[target], SyncRequest{
				From: m.options.VM, Incarnation: m.options.Incarnation, Shards: batch,
			})
		}
	}
	return requests
}

// syncingShards returns the shards that the member has to read. The order is fixed so
// that simulations are reproducible.
func (m *Member) syncingShards() []*shardState {
	var syncing []*shardState
	for _, s := range m.shards {
		if !s.active && s.view.Contains(m.options.VM) {
			syncing = append(syncing, s)
		}
	}
	slices.SortFunc(syncing, func(a, b *shardState) int { return compareShards(a.id, b.id) })
	return syncing
}
