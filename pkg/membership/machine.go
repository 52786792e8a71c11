// Package membership detects which VMs of a member list are reachable, by a variant of
// the SWIM protocol. Each process probes one member per probe interval in shuffled
// round-robin order, asks other members to probe a member that does not answer, and
// piggybacks membership updates on the probe messages. The traffic of one process does
// not depend on the fleet size.
//
// A Machine is deterministic: its behaviour depends only on the time, the messages and
// the seed passed to it. It is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Machine is the state machine that holds one process's view of the members. Invariants:
//   - only members of the current list have a state;
//   - the incarnation of a member never decreases;
//   - at one incarnation the status of a member only worsens, so that only the member
//     itself can end a suspicion, by a higher incarnation.
type Machine struct {
	options     Options
	random      *rand.Rand
	incarnation Incarnation
	members     map[string]*member
	// names is the sorted list of members, so that iteration is deterministic.
	names []string
	// notAliveCount counts the members that are suspect or unreachable.
	notAliveCount int
	// probeOrder is the shuffled order of the current probe round, and probeIndex the
	// position of the next target in it.
	probeOrder []string
	probeIndex int
	// priorityTargets are probed ahead of the round. lastProbePriority is set after
	// such a probe, so that at most every second probe is one.
	priorityTargets   []string
	lastProbePriority bool
	sequence          uint64
	probes            map[uint64]*probe
	relays            map[uint64]*relay
	queue             queue
	// notAliveCursor is the position in names of the last member that was scanned to
	// fill a message with updates about members that are not alive.
	notAliveCursor int

	// lastHeard is when a message of a member of each zone last arrived.
	lastHeard map[string]clock.Instant

	nextProbeAt clock.Instant
	lastProbeAt clock.Instant
	lastCallAt  clock.Instant
	catchingUp  bool
	version     uint64
	pauses      uint64
}

// member is the state of another VM.
type member struct {
	MemberState
	// suspicionDeadline is when a suspect becomes unreachable.
	suspicionDeadline clock.Instant
	// flaps counts recent suspicions that the member refuted.
	flaps      int
	lastFlapAt clock.Instant
}

// New returns a Machine without members that is catching up.
func New(now clock.Instant, options Options) *Machine {
	options = options.withDefaults()
	return &Machine{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, uint64(options.Incarnation))),
		incarnation: options.Incarnation,
		members:     map[string]*member{},
		probes:      map[uint64]*probe{},
		relays:      map[uint64]*relay{},
		lastHeard:   map[string]clock.Instant{},
		nextProbeAt: now,
		lastCallAt:  now,
		catchingUp:  true,
	}
}

// SetMembers replaces the member list. New members start as alive; the state of members
// that are no longer listed is deleted.
func (m *Machine) SetMembers(_ clock.Instant, list []Member) {
	listed := make(map[string]Member, len(list))
	for _, entry := range list {
		if entry.Name != m.options.Self {
			listed[entry.Name] = entry
		}
	}
	for name, known := range m.members {
		if _, ok := listed[name]; !ok {
			delete(m.members, name)
			m.queue.remove(name)
			m.notAliveCount -= known.notAlive()
		}
	}
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(name string) bool { return m.members[name] == nil })
	m.probeIndex = min(m.probeIndex, len(m.probeOrder))
	for _, entry := range list {
		if entry.Name == m.options.Self {
			continue
		}
		if known := m.members[entry.Name]; known != nil {
			known.Member = entry
			continue
		}
		m.members[entry.Name] = &member{MemberState: MemberState{Member: entry}}
		// A random position in the rest of the round keeps the probe order shuffled.
		position := m.probeIndex + m.random.IntN(len(m.probeOrder)-m.probeIndex+1)
		m.probeOrder = slices.Insert(m.probeOrder, position, entry.Name)
	}
	m.names = m.names[:0]
	for name := range m.members {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
	if len(m.names) == 0 {
		m.catchingUp = false
	}
	m.version++
}

// Tick advances time. Call it at least ten times per probe interval.
func (m *Machine) Tick(now clock.Instant) []Message {
	m.DetectPause(now)
	var out []Message
	out = m.expireRelays(now, out)
	m.expireSuspicions(now)
	out = m.advanceProbes(now, out)
	urgent := m.queue.hasFreshSuspicion(freshSendCount)
	interval := m.options.ProbeInterval
	if urgent {
		interval /= urgentRateFactor
		m.nextProbeAt = min(m.nextProbeAt, m.lastProbeAt.Add(interval))
	}
	if now.Before(m.nextProbeAt) {
		return out
	}
	if urgent {
		out = m.spreadUpdates(out)
	}
	out = m.startProbe(now, out)
	m.lastProbeAt = now
	m.nextProbeAt = m.nextProbeAt.Add(interval)
	if m.nextProbeAt.Before(now) {
		m.nextProbeAt = now.Add(interval)
	}
	return out
}

// Receive handles a message from a peer.
func (m *Machine) Receive(now clock.Instant, message Message) []Message {
	m.DetectPause(now)
	switch message := message.(type) {
	case Probe:
		return m.receiveProbe(now, message)
	case Ack:
		return m.receiveAck(now, message)
	default:
		return nil
	}
}

// DetectPause checks whether the process was paused, for example by a VM suspend; Tick
// and Receive call it. State from before a pause is stale: pending probes are dropped,
// suspicion timeouts restart, since refutations could not arrive meanwhile, and the
// machine is catching up again.
func (m *Machine) DetectPause(now clock.Instant) {
	gap := now.Sub(m.lastCallAt)
	if now.After(m.lastCallAt) {
		m.lastCallAt = now
	}
	if gap <= m.options.PauseThreshold {
		return
	}
	m.pauses++
	m.catchingUp = len(m.members) > 0
	clear(m.probes)
	clear(m.relays)
	for _, name := range m.names {
		if known := m.members[name]; known.Status == Suspect {
			known.suspicionDeadline = now.Add(m.suspicionTimeout(now, known))
		}
	}
	m.nextProbeAt = now
	m.version++
}

// CatchingUp reports whether the process has not completed a probe round trip since it
// started or resumed from a pause. Until then, the caller must not take decisions that depend
// on peers. The caller must have called DetectPause, Tick or Receive with the current time.
func (m *Machine) CatchingUp() bool { return m.catchingUp }

// Pauses returns the number of pauses so far.
func (m *Machine) Pauses() uint64 { return m.pauses }

// Incarnation returns the current incarnation of this process.
func (m *Machine) Incarnation() Incarnation { return m.incarnation }

// Version changes whenever Members, CatchingUp or a status changes.
func (m *Machine) Version() uint64 { return m.version }

// Members returns the other members, sorted by name.
func (m *Machine) Members() []MemberState {
	states := make([]MemberState, 0, len(m.names))
	for _, name := range m.names {
		states = append(states, m.members[name].MemberState)
	}
	return states
}

// Member returns the state of another member and whether it is in the list.
func (m *Machine) Member(name string) (MemberState, bool) {
	known := m.members[name]
	if known == nil {
		return MemberState{}, false
	}
	return known.MemberState, true
}

// Pick returns up to n random members that are not unreachable and for which accept
// returns true. A nil accept admits all.
func (m *Machine) Pick(n int, accept func(MemberState) bool) []MemberState {
	var eligible []MemberState
	for _, name := range m.names {
		state := m.members[name].MemberState
		if state.Status != Unreachable && (accept == nil || accept(state)) {
			eligible = append(eligible, state)
		}
	}
	n = min(n, len(eligible))
	for i := range n {
		j := i + m.random.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:n]
}
