package configuration

import (
	"cmp"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// handleReceived adds a received revision to the candidates and adopts those that are
// valid.
func (m *Machine) handleReceived(now clock.Instant, s *valueState, value Value, actions []Action) []Action {
	if !s.addCandidate(value) {
		return actions
	}
	if s.name == VMs && s.inForce.Revision == 0 && value.Revision > m.provisionalList.Revision &&
		m.options.Validation.VMList(value.Data) == nil {
		m.provisionalList = value
	}
	return m.adopt(now, actions)
}

// addCandidate stores a candidate and reports whether it is new. If there are already
// maxCandidates, it replaces the lowest one: the highest revision is kept, and next to
// it the one received last, since that may be the one in force at the peers.
func (s *valueState) addCandidate(value Value) bool {
	if value.Revision <= s.inForce.Revision {
		return false
	}
	for _, candidate := range s.candidates {
		if candidate.Revision == value.Revision {
			return false
		}
	}
	if len(s.candidates) == maxCandidates {
		s.candidates = s.candidates[:maxCandidates-1]
	}
	s.candidates = append(s.candidates, value)
	slices.SortFunc(s.candidates, func(a, b Value) int { return cmp.Compare(b.Revision, a.Revision) })
	return true
}

// adopt puts the highest valid candidates in force.
func (m *Machine) adopt(now clock.Instant, actions []Action) []Action {
	actions = m.adoptVMList(now, actions)
	return m.adoptTables(now, actions)
}

func (m *Machine) adoptVMList(now clock.Instant, actions []Action) []Action {
	s := m.values[VMs]
	for _, candidate := range s.candidates {
		if !m.mayAdopt(s, candidate) {
			continue
		}
		if err := m.options.Validation.VMList(candidate.Data); err != nil {
			s.reject(candidate.Revision, err.Error())
			continue
		}
		return m.putInForce(now, s, candidate, actions)
	}
	return actions
}

// adoptTables puts the highest valid pair of routes and pools in force. A newer table
// that is invalid together with the other table in force stays a candidate, since a
// newer revision of the other table may be valid with it.
func (m *Machine) adoptTables(now clock.Instant, actions []Action) []Action {
	routes, pools := m.values[Routes], m.values[Pools]
	for _, r := range m.eligibleRevisions(routes) {
		for _, p := range m.eligibleRevisions(pools) {
			if r.Revision == routes.inForce.Revision && p.Revision == pools.inForce.Revision {
				return actions
			}
			if reason, ok := m.validatePair(r, p); !ok {
				if r.Revision > routes.inForce.Revision {
					routes.reject(r.Revision, reason)
				}
				if p.Revision > pools.inForce.Revision {
					pools.reject(p.Revision, reason)
				}
				continue
			}
			actions = m.putInForce(now, routes, r, actions)
			return m.putInForce(now, pools, p, actions)
		}
	}
	return actions
}

// eligibleRevisions returns the revisions of a table that may be in force, in descending
// order.
func (m *Machine) eligibleRevisions(s *valueState) []Value {
	eligible := make([]Value, 0, maxCandidates+1)
	for _, candidate := range s.candidates {
		if m.mayAdopt(s, candidate) {
			eligible = append(eligible, candidate)
		}
	}
	if s.inForce.Revision > 0 {
		eligible = append(eligible, s.inForce)
	}
	return eligible
}

// mayAdopt applies the bootstrap rule: nothing is adopted before bootstrap is done, and
// during the startup wait no revision below one that a peer has in force. After the wait
// that revision may be unavailable, because the peer that had it may be gone.
func (m *Machine) mayAdopt(s *valueState, candidate Value) bool {
	return m.bootstrapDone && (m.startupWaitElapsed || candidate.Revision >= s.peerInForce)
}

func (m *Machine) validatePair(routes, pools Value) (string, bool) {
	key := tablePair{routes.Revision, pools.Revision}
	if reason, known := m.invalidPairs[key]; known {
		return reason, false
	}
	err := m.options.Validation.Tables(routes.Data, pools.Data)
	if err == nil {
		return "", true
	}
	if len(m.invalidPairs) >= maxInvalidPairs {
		clear(m.invalidPairs)
	}
	reason := truncateReason(err.Error())
	m.invalidPairs[key] = reason
	return reason, false
}

// putInForce puts a value in force and pushes advertisements to peers.
func (m *Machine) putInForce(now clock.Instant, s *valueState, value Value, actions []Action) []Action {
	if value.Revision <= s.inForce.Revision {
		return actions
	}
	s.inForce = value
	s.confirmFromLastRead()
	s.candidates = slices.DeleteFunc(s.candidates, func(c Value) bool { return c.Revision <= value.Revision })
	if s.rejection != nil && s.rejection.Revision <= value.Revision {
		s.rejection = nil
	}
	actions = append(actions, Adopted{Name: s.name, Revision: value.Revision})
	return m.push(actions)
}

// push requests that advertisements are sent to pushFanout random members.
func (m *Machine) push(actions []Action) []Action {
	var targets []string
	for _, member := range m.members {
		if member.Reachable && member.Name != m.options.Self {
			targets = append(targets, member.Name)
		}
	}
	for i := range min(pushFanout, len(targets)) {
		j := i + m.random.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		actions = append(actions, Push{To: targets[i]})
	}
	return actions
}

// reject records the rejection of a revision, unless a higher one is already rejected.
func (s *valueState) reject(revision uint64, reason string) {
	if s.rejection == nil || s.rejection.Revision <= revision {
		s.rejection = &Rejection{Name: s.name, Revision: revision, Reason: truncateReason(reason)}
	}
}

func truncateReason(reason string) string { return reason[:min(len(reason), maxReasonBytes)] }
