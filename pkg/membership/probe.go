package membership

import (
	"maps"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// probe is a pending probe of this process.
type probe struct {
	target    string
	startedAt clock.Instant
	indirect  bool
}

// relay is a pending probe on behalf of another member.
type relay struct {
	requester         string
	requesterSequence uint64
	target            string
	deadline          clock.Instant
}

func (m *Machine) startProbe(now clock.Instant, out []Message) []Message {
	target := m.nextTarget()
	if target == "" {
		return out
	}
	m.sequence++
	m.probes[m.sequence] = &probe{target: target, startedAt: now}
	return append(out, m.newProbe(target, "", m.sequence))
}

// spreadUpdates sends the queued updates to a member that is alive, since most targets of probes
// are not if a zone has failed. The response brings the updates of that member.
func (m *Machine) spreadUpdates(out []Message) []Message {
	for _, member := range m.Pick(1, func(s MemberState) bool { return s.Status == Alive }) {
		m.sequence++
		out = append(out, m.newProbe(member.Name, "", m.sequence))
	}
	return out
}

// nextTarget returns a priority target or the next member of the round. Unreachable members
// stay in the round, so that a healed partition is detected without additional traffic.
func (m *Machine) nextTarget() string {
	if len(m.probeOrder) == 0 {
		return ""
	}
	for len(m.priorityTargets) > 0 && !m.lastProbePriority {
		name := m.priorityTargets[0]
		m.priorityTargets = m.priorityTargets[1:]
		if known := m.members[name]; known != nil && known.Status == Alive {
			m.lastProbePriority = true
			return name
		}
	}
	m.lastProbePriority = false
	if m.probeIndex >= len(m.probeOrder) {
		m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		m.probeIndex = 0
	}
	m.probeIndex++
	return m.probeOrder[m.probeIndex-1]
}

func (m *Machine) advanceProbes(now clock.Instant, out []Message) []Message {
	for _, sequence := range slices.Sorted(maps.Keys(m.probes)) {
		p := m.probes[sequence]
		target := m.members[p.target]
		age := now.Sub(p.startedAt)
		switch {
		case target == nil:
			delete(m.probes, sequence)
		case age >= m.options.ProbeTimeout:
			delete(m.probes, sequence)
			m.suspect(now, target)
		case age >= m.options.DirectTimeout && !p.indirect:
			p.indirect = true
			out = m.probeIndirectly(target, sequence, out)
		}
	}
	return out
}

// probeIndirectly asks other members to probe the target. An unreachable member is only
// probed directly, so that a partition causes no additional messages.
func (m *Machine) probeIndirectly(target *member, sequence uint64, out []Message) []Message {
	if target.Status == Unreachable {
		return out
	}
	helpers := m.Pick(indirectProbes, func(s MemberState) bool { return s.Name != target.Name && s.Status == Alive })
	for _, helper := range helpers {
		out = append(out, m.newProbe(helper.Name, target.Name, sequence))
	}
	return out
}

func (m *Machine) receiveProbe(now clock.Instant, p Probe) []Message {
	m.recordAlive(now, p.From, p.Incarnation)
	corrections := m.merge(now, p.Updates)
	if p.Target == "" || p.Target == m.options.Self {
		return []Message{m.newAck(p.From, p.Sequence, p.Target != "", corrections)}
	}
	if m.members[p.Target] == nil || len(m.relays) >= maxRelays {
		return []Message{m.newAck(p.From, p.Sequence, false, corrections)}
	}
	m.sequence++
	m.relays[m.sequence] = &relay{
		requester: p.From, requesterSequence: p.Sequence, target: p.Target,
		deadline: now.Add(m.options.DirectTimeout),
	}
	return []Message{m.newProbe(p.Target, "", m.sequence)}
}

func (m *Machine) receiveAck(now clock.Instant, a Ack) []Message {
	m.recordAlive(now, a.From, a.Incarnation)
	m.merge(now, a.Updates)
	if r := m.relays[a.Sequence]; r != nil && r.target == a.From {
		delete(m.relays, a.Sequence)
		return []Message{m.newAck(r.requester, r.requesterSequence, true, nil)}
	}
	p := m.probes[a.Sequence]
	if p == nil {
		return nil
	}
	if m.catchingUp {
		// DetectPause clears pending probes, so this round trip started after the last pause.
		m.catchingUp = false
		m.version++
	}
	if a.From == p.target || a.TargetAlive {
		delete(m.probes, a.Sequence)
	}
	return nil
}

func (m *Machine) expireRelays(now clock.Instant, out []Message) []Message {
	for _, sequence := range slices.Sorted(maps.Keys(m.relays)) {
		r := m.relays[sequence]
		if now.Before(r.deadline) {
			continue
		}
		delete(m.relays, sequence)
		out = append(out, m.newAck(r.requester, r.requesterSequence, false, nil))
	}
	return out
}

func (m *Machine) newProbe(to, target string, sequence uint64) Probe {
	return Probe{
		From: m.options.Self, To: to, Incarnation: m.incarnation,
		Sequence: sequence, Target: target, Updates: m.updatesFor(to, nil),
	}
}

func (m *Machine) newAck(to string, sequence uint64, targetAlive bool, corrections []Update) Ack {
	return Ack{
		From: m.options.Self, To: to, Incarnation: m.incarnation,
		Sequence: sequence, TargetAlive: targetAlive, Updates: m.updatesFor(to, corrections),
	}
}
