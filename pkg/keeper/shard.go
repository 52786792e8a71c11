package keeper

import (
	"maps"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// shardState is a member's state of one shard.
type shardState struct {
	id Shard
	// view is the newest view. This member has promised its revision: it neither votes
	// nor answers reads for an older one.
	view   View
	active bool
	// lastActive is the newest view in which this process was active.
	lastActive View
	// syncedRevision is the revision at which this process last completed a read. It is
	// less than lastActive.Revision if the list changed without changing the group; a
	// different group at a revision between the two must then still be read.
	syncedRevision uint64
	// knownViews holds views newer than syncedRevision that may have been active on
	// other members.
	knownViews   []KnownView
	incarnations map[string]uint64
	bootstrap    *Bootstrap
	records      map[Key]*record
	responses    map[string]*SyncShardState
	// nextReadAt is when each member may be read again.
	nextReadAt map[string]clock.Instant
}

func newShardState(id Shard) *shardState {
	return &shardState{id: id, incarnations: map[string]uint64{}, records: map[Key]*record{}}
}

// adoptView promises a newer view. A member whose group did not change stays active:
// if another group was active in between, a majority of this group had to adopt that
// view and must read it before voting again, so no majority lacks its claims.
func (s *shardState) adoptView(view View) {
	sameGroup := s.view.sameGroup(view)
	s.view = view
	s.responses, s.nextReadAt = nil, nil
	if sameGroup && s.active {
		s.lastActive = view
		return
	}
	s.active = false
}

// addKnownView adds a view that later readers must read. It returns false if there
// are too many views already.
func (s *shardState) addKnownView(view View) bool {
	if view.Revision <= s.syncedRevision || view.Revision == 0 {
		return true
	}
	for i := range s.knownViews {
		if k := &s.knownViews[i]; slices.Equal(k.Group, view.Group) {
			k.FirstRevision, k.LastRevision = min(k.FirstRevision, view.Revision), max(k.LastRevision, view.Revision)
			return true
		}
	}
	if len(s.knownViews) >= maxKnownViews {
		return false
	}
	s.knownViews = append(s.knownViews, KnownView{FirstRevision: view.Revision, LastRevision: view.Revision, Group: view.Group})
	return true
}

func (s *shardState) noteIncarnation(vm string, incarnation uint64) {
	s.incarnations[vm] = max(s.incarnations[vm], incarnation)
}

// activate makes the member active in its view after a completed read.
func (s *shardState) activate() {
	s.syncedRevision = s.view.Revision
	s.lastActive = s.view
	s.active = true
	s.knownViews, s.responses, s.nextReadAt = nil, nil, nil
}

// exportRecords returns the unexpired records in key order.
func (s *shardState) exportRecords(now clock.Instant) []Record {
	records := make([]Record, 0, len(s.records))
	for key, r := range s.records {
		if r.expiresAt.After(now) {
			records = append(records, Record{
				Key: key, Holders: append([]Holder{r.holder}, r.otherHolders...),
				State: r.state, TTL: r.expiresAt.Sub(now),
			})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return records
}

func (s *shardState) syncState(now clock.Instant, options *Options) SyncShardState {
	uptime := now.Sub(options.StartedAt)
	state := SyncShardState{
		Shard: s.id, Revision: s.view.Revision, Uptime: uptime,
		VotesComplete: s.lastActive.Revision > 0 || uptime > options.voteLifetime(s.id),
		LastActive:    s.lastActive, SyncedRevision: s.syncedRevision, KnownViews: slices.Clone(s.knownViews),
		Incarnations: maps.Clone(s.incarnations), Bootstrap: s.bootstrap,
	}
	state.Incarnations[options.VM] = options.Incarnation
	return state
}
