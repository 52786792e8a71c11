package keeper

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// quorumRead evaluates whether a member has read enough of the other members to
// become active in its view.
type quorumRead struct {
	now    clock.Instant
	member *Member
	shard  *shardState
	// responses holds the received states by VM and includes the member's own.
	responses map[string]*SyncShardState
	// startsEmpty is set by isComplete if the view starts without any votes.
	startsEmpty bool
}

func (m *Member) newQuorumRead(now clock.Instant, s *shardState) *quorumRead {
	r := &quorumRead{now: now, member: m, shard: s, responses: map[string]*SyncShardState{}}
	for name, response := range s.responses {
		// Ignore a response of an older incarnation: its promise was lost in the restart.
		if incarnationOf(response, name) >= s.incarnations[name] {
			r.responses[name] = response
		}
	}
	own := s.syncState(now, &m.options)
	r.responses[m.options.VM] = &own
	return r
}

// hasCompleteVotes reports whether the VM responded and cannot lack any vote that it
// cast.
func (r *quorumRead) hasCompleteVotes(name string) bool {
	response := r.responses[name]
	return response != nil && response.VotesComplete
}

// isEmpty reports whether the VM responded, may lack votes, and has been up long
// enough that the members with complete votes would have responded.
func (r *quorumRead) isEmpty(name string) bool {
	response := r.responses[name]
	return response != nil && !response.VotesComplete && response.Uptime >= r.member.options.BootstrapWait
}

// votesExpired reports whether the VM was removed from the published list so long ago
// that all votes it cast while published have expired.
func (r *quorumRead) votesExpired(name string) bool {
	m := r.member
	if m.list.Revision < r.shard.view.Revision || m.list.Contains(name) {
		return false
	}
	since, found := m.removedAt[name]
	if !found {
		// The VM may have been in a revision of the list that this member did not receive.
		m.removedAt[name] = r.now
		return false
	}
	return r.now.Sub(since) > m.options.voteLifetime(r.shard.id)
}

// coveredRevision is the revision below which no view has to be read: a response with
// complete votes and its records covers everything up to its synced revision.
func (r *quorumRead) coveredRevision() uint64 {
	covered := r.shard.syncedRevision
	for name, response := range r.responses {
		if r.hasCompleteVotes(name) {
			covered = max(covered, response.SyncedRevision)
		}
	}
	return covered
}

// earlierViews returns the views older than the member's view that may have been active.
func (r *quorumRead) earlierViews() []View {
	covered := r.coveredRevision()
	var views []View
	add := func(first, last uint64, group []string) {
		if last == 0 || last < covered || first >= r.shard.view.Revision {
			return
		}
		view := View{Revision: last, Group: group}
		if !slices.ContainsFunc(views, view.sameGroup) {
			views = append(views, view)
		}
	}
	add(r.shard.lastActive.Revision, r.shard.lastActive.Revision, r.shard.lastActive.Group)
	for _, response := range r.responses {
		add(response.LastActive.Revision, response.LastActive.Revision, response.LastActive.Group)
		for _, known := range response.KnownViews {
			add(known.FirstRevision, known.LastRevision, known.Group)
		}
	}
	return views
}

// targets returns the VMs to read, sorted by name.
func (r *quorumRead) targets() []string {
	targets := slices.Clone(r.shard.view.Group)
	for _, view := range r.earlierViews() {
		targets = append(targets, view.Group...)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(name string) bool { return name == r.member.options.VM })
}

// isComplete reports whether the member may become active.
func (r *quorumRead) isComplete() bool {
	for _, view := range r.earlierViews() {
		if !r.hasReadMajority(view) && !r.allEmpty(view) {
			return false
		}
	}
	if r.shard.lastActive.Revision > 0 {
		// This process has complete votes and has not yet voted in its view.
		return true
	}
	return r.hasReadOwnView()
}

// hasReadOwnView reports whether a process that may have lost its votes in its view has
// read them back, or whether no member can have voted in that view.
func (r *quorumRead) hasReadOwnView() bool {
	view := r.shard.view
	if r.hasReadMajority(view) || r.intersectsOwnVotes(view) || r.isNamedInBootstrap() {
		return true
	}
	for _, name := range view.Group {
		switch {
		case r.isEmpty(name):
		case !r.hasCompleteVotes(name) || r.responses[name].LastActive.Revision >= view.Revision:
			return false
		}
	}
	r.startsEmpty = true
	return true
}

// intersectsOwnVotes reports whether the other members with complete votes intersect
// every majority to which a lost vote of this member may belong. In groups of even
// size, such as two VMs, this requires one member less than a majority.
func (r *quorumRead) intersectsOwnVotes(view View) bool {
	count := 0
	for _, name := range view.Group {
		if name != r.member.options.VM && r.hasCompleteVotes(name) {
			count++
		}
	}
	return count > len(view.Group)-view.Majority()
}

func (r *quorumRead) hasReadMajority(view View) bool {
	count := 0
	for _, name := range view.Group {
		if r.hasCompleteVotes(name) || r.votesExpired(name) {
			count++
		}
	}
	return count >= view.Majority()
}

func (r *quorumRead) allEmpty(view View) bool {
	return !slices.ContainsFunc(view.Group, func(name string) bool { return !r.isEmpty(name) })
}

// isNamedInBootstrap reports whether another member started this group empty after it
// had read this process, in its current incarnation, and found its votes incomplete.
func (r *quorumRead) isNamedInBootstrap() bool {
	group, options := r.shard.view.Group, r.member.options
	index := slices.Index(group, options.VM)
	for name, response := range r.responses {
		bootstrap := response.Bootstrap
		if r.hasCompleteVotes(name) && bootstrap != nil && slices.Equal(bootstrap.Group, group) &&
			bootstrap.Incarnations[index] == options.Incarnation {
			return true
		}
	}
	return false
}
