package configuration

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// HandleAdvertisements handles the advertisements of a peer. Transit is an upper bound on
// the transit time of the message; it is added to the ages in it.
func (m *Machine) HandleAdvertisements(now clock.Instant, peer Peer, advertisements []Advertisement, transit time.Duration) []Action {
	var actions []Action
	peerHasValue := false
	for _, advertisement := range advertisements {
		s := m.values[advertisement.Name]
		if s == nil {
			continue
		}
		peerHasValue = peerHasValue || advertisement.InForce > 0
		s.peerInForce = max(s.peerInForce, advertisement.InForce)
		if advertisement.Confirmed && advertisement.InForce == s.inForce.Revision {
			s.confirm(now.Add(-advertisement.Age - transit))
		}
		actions = m.maybeFetch(now, s, peer, advertisement, actions)
	}
	if peerHasValue {
		return m.endBootstrap(now, actions)
	}
	m.emptyPeers[peer.Name] = true
	return m.tryEndBootstrap(now, actions)
}

// maybeFetch fetches a newer revision from a peer: the one that the peer has in force, or
// if that is already known, the newest one that it holds.
func (m *Machine) maybeFetch(now clock.Instant, s *valueState, peer Peer, advertisement Advertisement, actions []Action) []Action {
	if peer.Address == "" {
		return actions
	}
	wanted := uint64(0)
	switch {
	case advertisement.InForce > s.inForce.Revision && !s.hasCandidate(advertisement.InForce):
		wanted = advertisement.InForce
	case advertisement.Newest > s.newest():
		wanted = advertisement.Newest
	default:
		return actions
	}
	if !s.shouldFetch(now, peer, wanted) {
		return actions
	}
	f := pendingFetch{id: m.newID(), peer: peer.Name, startedAt: now, revision: wanted}
	s.fetches = append(s.fetches, f)
	return append(actions, Fetch{ID: f.id, Peer: peer, Name: s.name, Revision: wanted})
}

// shouldFetch reports whether to fetch the wanted revision from the peer in addition to the
// pending fetches: if they are all for lower revisions, or if the others have been pending
// for fetchHedgeDelay at other peers.
func (s *valueState) shouldFetch(now clock.Instant, peer Peer, wanted uint64) bool {
	if len(s.fetches) >= maxFetches {
		return false
	}
	for _, f := range s.fetches {
		covered := f.revision >= wanted
		if covered && (f.peer == peer.Name || now.Sub(f.startedAt) < fetchHedgeDelay) {
			return false
		}
	}
	return true
}

// HandleFetchResult handles the result of a Fetch. The caller must have verified the
// digest.
func (m *Machine) HandleFetchResult(now clock.Instant, result FetchResult) []Action {
	for _, name := range Names {
		s := m.values[name]
		for i, f := range s.fetches {
			if f.id != result.ID {
				continue
			}
			s.fetches = slices.Delete(s.fetches, i, i+1)
			if result.Failed || result.Value.Revision != f.revision {
				return nil
			}
			return m.handleReceived(now, s, result.Value, nil)
		}
	}
	return nil
}

// endBootstrapAfterStartupWait ends bootstrap once the startup wait has elapsed.
func (m *Machine) endBootstrapAfterStartupWait(now clock.Instant, actions []Action) []Action {
	if m.startupWaitElapsed || now.Sub(m.startedAt) < m.options.StartupWait {
		return actions
	}
	m.startupWaitElapsed = true
	m.bootstrapDone = true
	clear(m.emptyPeers)
	return m.adopt(now, actions)
}

// tryEndBootstrap ends bootstrap once every other member has reported that it has no value
// in force.
func (m *Machine) tryEndBootstrap(now clock.Instant, actions []Action) []Action {
	if m.bootstrapDone || len(m.members) == 0 {
		return actions
	}
	for _, member := range m.members {
		if member.Name != m.options.Self && !m.emptyPeers[member.Name] {
			return actions
		}
	}
	return m.endBootstrap(now, actions)
}

func (m *Machine) endBootstrap(now clock.Instant, actions []Action) []Action {
	if m.bootstrapDone {
		return actions
	}
	m.bootstrapDone = true
	clear(m.emptyPeers)
	return m.adopt(now, actions)
}

func (s *valueState) hasCandidate(revision uint64) bool {
	for _, candidate := range s.candidates {
		if candidate.Revision == revision {
			return true
		}
	}
	return false
}
