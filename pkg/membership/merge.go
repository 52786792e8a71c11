package membership

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// recordAlive handles the receipt of a message, which shows that its sender is alive at
// the incarnation in the message.
func (m *Machine) recordAlive(now clock.Instant, name string, incarnation Incarnation) {
	if known := m.members[name]; known != nil {
		m.lastHeard[known.Zone] = now
		m.apply(now, known, Update{VM: name, Incarnation: incarnation, Status: Alive})
	}
}

// merge applies updates from a peer and returns corrections for those that are older
// than the local state.
func (m *Machine) merge(now clock.Instant, updates []Update) []Update {
	var corrections []Update
	for _, update := range updates[:min(len(updates), maxUpdates)] {
		if update.VM == m.options.Self {
			m.refute(update)
			continue
		}
		known := m.members[update.VM]
		if known == nil {
			continue
		}
		if update.Incarnation < known.Incarnation {
			corrections = append(corrections, known.update())
			continue
		}
		if update.Status == Unreachable {
			m.schedulePriorityProbe(known, update)
			continue
		}
		m.apply(now, known, update)
	}
	return corrections
}

// schedulePriorityProbe handles a peer's report that a member is unreachable. The status
// is not adopted, but an alive member is probed soon: when a partition heals, each side
// reports the other one as unreachable, and only a probe shows the current state.
func (m *Machine) schedulePriorityProbe(known *member, update Update) {
	if update.Incarnation > known.Incarnation {
		known.Incarnation = update.Incarnation
	}
	if known.Status == Alive && len(m.priorityTargets) < maxPriorityTargets && !slices.Contains(m.priorityTargets, known.Name) {
		m.priorityTargets = append(m.priorityTargets, known.Name)
	}
}

// refute raises this process's incarnation above that of an update which says that it
// is not alive, or which refers to a predecessor with a higher incarnation.
func (m *Machine) refute(update Update) {
	if update.Incarnation < m.incarnation || (update.Incarnation == m.incarnation && update.Status == Alive) {
		return
	}
	m.incarnation = m.incarnation.after(update.Incarnation)
	m.queue.put(Update{VM: m.options.Self, Incarnation: m.incarnation, Status: Alive})
}

// apply adopts an update if it overrides the known status, and queues it for other members.
func (m *Machine) apply(now clock.Instant, known *member, update Update) {
	if update.Incarnation < known.Incarnation {
		return
	}
	if update.Incarnation == known.Incarnation && update.Status <= known.Status {
		return
	}
	previous := known.MemberState
	m.notAliveCount -= known.notAlive()
	known.Incarnation = update.Incarnation
	known.Status = update.Status
	m.notAliveCount += known.notAlive()
	switch {
	case update.Status == Suspect:
		known.suspicionDeadline = now.Add(m.suspicionTimeout(now, known))
	case update.Status == Alive && previous.Status != Alive:
		known.flaps = min(m.flaps(now, known)+1, maxFlaps)
		known.lastFlapAt = now
	}
	m.version++
	if update.Status == Alive && previous.Status == Alive && previous.Incarnation == 0 {
		// The first contact with a member is not propagated.
		return
	}
	m.queue.put(known.update())
}

func (m *Machine) suspect(now clock.Instant, known *member) {
	if known.Status != Alive {
		return
	}
	m.apply(now, known, Update{VM: known.Name, Incarnation: known.Incarnation, Status: Suspect})
}

func (m *Machine) expireSuspicions(now clock.Instant) {
	if m.notAliveCount == 0 || m.catchingUp {
		// Without a completed round trip, this process cannot distinguish its own
		// isolation from the failure of other members.
		return
	}
	for _, name := range m.names {
		known := m.members[name]
		if known.Status == Suspect && !now.Before(known.suspicionDeadline) {
			m.apply(now, known, Update{VM: name, Incarnation: known.Incarnation, Status: Unreachable})
		}
	}
}

// suspicionTimeout returns how long a member may take to refute a suspicion. It doubles
// with each recent refutation, so that a member with a bad connection does not flap.
func (m *Machine) suspicionTimeout(now clock.Instant, known *member) time.Duration {
	scale := max(1, math.Log10(float64(len(m.members)+1)))
	return time.Duration(scale*float64(m.options.SuspicionTimeout)) << m.flaps(now, known)
}

func (m *Machine) flaps(now clock.Instant, known *member) int {
	return max(0, known.flaps-int(now.Sub(known.lastFlapAt)/flapDecay))
}

// updatesFor returns the updates for a message to a member: first the receiver's own
// status if it has to refute it, then corrections, queued updates, and the states of
// members that are not alive. Those states inform restarted processes; a receiver with
// newer state corrects them, which ends a false suspicion sooner than gossip does.
func (m *Machine) updatesFor(to string, corrections []Update) []Update {
	var updates []Update
	if known := m.members[to]; known != nil && known.Status != Alive {
		updates = append(updates, known.update())
	}
	updates = append(updates, corrections...)
	updates = updates[:min(len(updates), maxUpdates)]
	room := max(0, maxUpdates-len(updates)-min(notAliveUpdateSlots, m.notAliveCount))
	updates = append(updates, m.queue.take(room, m.retransmissions())...)
	for scanned := 0; m.notAliveCount > 0 && scanned < len(m.names) && len(updates) < maxUpdates; scanned++ {
		m.notAliveCursor = (m.notAliveCursor + 1) % len(m.names)
		if known := m.members[m.names[m.notAliveCursor]]; known.Status != Alive && known.Name != to {
			updates = append(updates, known.update())
		}
	}
	return updates
}

// retransmissions returns how often this process sends an update.
func (m *Machine) retransmissions() int {
	return retransmitFactor * bits.Len(uint(len(m.members)+1))
}

func (k *member) update() Update {
	return Update{VM: k.Name, Incarnation: k.Incarnation, Status: k.Status}
}

// notAlive returns 1 if the member is suspect or unreachable.
func (k *member) notAlive() int {
	if k.Status == Alive {
		return 0
	}
	return 1
}
