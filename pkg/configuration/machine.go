// Package configuration decides which revisions of the published values are in force,
// that is, used by this process. The values come from the platform, which is the
// configuration service, and from peers.
//
// A Machine is deterministic: its behaviour depends only on the time, the events and the
// seed passed to it. It is not safe for concurrent use.
package configuration

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Machine is the state machine for the configuration of one process. Invariants:
//   - the revision in force of a value never decreases;
//   - routes and pools in force have passed validation as a pair;
//   - after a start or a pause, a revision comes into force only once bootstrap is done:
//     a peer has reported values in force, all peers have reported that they have none,
//     or the startup wait has elapsed.
type Machine struct {
	options  Options
	random   *rand.Rand
	values   map[Name]*valueState
	members  []Member
	isReader bool
	// provisionalList is the newest valid VM list received before one is in force.
	provisionalList Value
	// invalidPairs caches the reason why a pair of revisions failed validation.
	invalidPairs map[tablePair]string
	nextID       uint64

	// startedAt is when the process started or resumed from its last pause.
	startedAt clock.Instant
	// bootstrapDone is set once received values may come into force.
	bootstrapDone      bool
	startupWaitElapsed bool
	// emptyPeers holds the peers that reported no value in force.
	emptyPeers map[string]bool
}

type tablePair struct{ routes, pools uint64 }

// valueState is the state of one published value.
type valueState struct {
	name    Name
	inForce Value
	// candidates are received revisions above the one in force, in descending order.
	candidates []Value
	rejection  *Rejection
	// peerInForce is the highest revision that a peer reported as in force.
	peerInForce uint64

	// confirmed is set if a platform read sent at confirmedAt returned the revision in
	// force or a higher one.
	confirmed   bool
	confirmedAt clock.Instant
	// platformRevision is the revision that the last successful platform read, sent at
	// platformReadAt, returned.
	platformRevision uint64
	platformReadAt   clock.Instant

	watch readSchedule
	poll  readSchedule
	// fetches are the pending fetches from peers, at most maxFetches.
	fetches []pendingFetch
}

// readSchedule holds the pending read of one kind, if any, and when to send the next.
type readSchedule struct {
	id       uint64
	pending  bool
	sentAt   clock.Instant
	deadline clock.Instant
	nextAt   clock.Instant
	failures int
}

type pendingFetch struct {
	id        uint64
	peer      string
	startedAt clock.Instant
	revision  uint64
}

// New returns a Machine with nothing in force.
func New(now clock.Instant, options Options) *Machine {
	m := &Machine{
		options:      options.withDefaults(),
		random:       rand.New(rand.NewPCG(options.Seed, 2)),
		values:       map[Name]*valueState{},
		invalidPairs: map[tablePair]string{},
		startedAt:    now,
		emptyPeers:   map[string]bool{},
	}
	for _, name := range Names {
		firstReadAt := now.Add(m.jitter(startupJitter))
		m.values[name] = &valueState{name: name, poll: readSchedule{nextAt: firstReadAt}, watch: readSchedule{nextAt: firstReadAt}}
	}
	return m
}

// SetMembers replaces the members. They come from VMList, which is provisional while no
// VM list is in force, and from failure detection.
func (m *Machine) SetMembers(now clock.Instant, members []Member) []Action {
	m.members = members
	m.isReader = m.shouldBeReader()
	return m.tryEndBootstrap(now, nil)
}

// HandlePause must be called when the process resumes from a pause. Pending calls are
// dropped, since their results are stale, and bootstrap starts again, so that the process
// hears from its peers before it adopts values from the platform.
func (m *Machine) HandlePause(now clock.Instant) {
	for _, name := range Names {
		s := m.values[name]
		s.watch.pending = false
		s.poll.pending = false
		s.fetches = nil
		firstReadAt := now.Add(m.jitter(startupJitter))
		s.watch.nextAt = firstReadAt
		s.poll.nextAt = firstReadAt
	}
	m.startedAt = now
	m.bootstrapDone = false
	m.startupWaitElapsed = false
	clear(m.emptyPeers)
}

// Tick advances time and returns the actions that are due. Call it several times per
// second.
func (m *Machine) Tick(now clock.Instant) []Action {
	actions := m.endBootstrapAfterStartupWait(now, nil)
	for _, name := range Names {
		s := m.values[name]
		m.expireCalls(now, s)
		actions = m.startDueReads(now, s, actions)
	}
	return actions
}

// BootstrapDone reports whether received values may come into force.
func (m *Machine) BootstrapDone() bool { return m.bootstrapDone }

// InForce returns the value in force; its Revision is 0 if there is none.
func (m *Machine) InForce(name Name) Value { return m.values[name].inForce }

// Lookup returns the given revision of a value if it is in force or a candidate. It
// serves fetches of peers.
func (m *Machine) Lookup(name Name, revision uint64) (Value, bool) {
	s := m.values[name]
	if s == nil || revision == 0 {
		return Value{}, false
	}
	if s.inForce.Revision == revision {
		return s.inForce, true
	}
	for _, candidate := range s.candidates {
		if candidate.Revision == revision {
			return candidate, true
		}
	}
	return Value{}, false
}

// VMList returns the VM list in force. Before one is in force it returns the newest valid
// list received, from which a new process learns its peers.
func (m *Machine) VMList() Value {
	s := m.values[VMs]
	if s.inForce.Revision > 0 {
		return s.inForce
	}
	return m.provisionalList
}

// Advertisements returns the advertisements of all values, for sending to peers.
func (m *Machine) Advertisements(now clock.Instant) []Advertisement {
	advertisements := make([]Advertisement, 0, len(Names))
	for _, name := range Names {
		s := m.values[name]
		advertisements = append(advertisements, Advertisement{
			Name: name, InForce: s.inForce.Revision, Digest: s.inForce.Digest, Newest: s.newest(),
			Confirmed: s.confirmed, Age: s.age(now),
		})
	}
	return advertisements
}

// Confirmation returns the age of the oldest confirmation among the values, and whether
// every value was confirmed within UnconfirmedAfter. The age of a value that was never
// confirmed counts from the start or the last resume of the process.
func (m *Machine) Confirmation(now clock.Instant) (time.Duration, bool) {
	confirmed := true
	var oldest time.Duration
	for _, name := range Names {
		s := m.values[name]
		age := now.Sub(m.startedAt)
		if s.confirmed {
			age = s.age(now)
		}
		oldest = max(oldest, age)
		// A value that is older than a peer's is not current, however recently the
		// platform confirmed it.
		confirmed = confirmed && s.confirmed && age <= m.options.UnconfirmedAfter && s.peerInForce <= s.inForce.Revision
	}
	return oldest, confirmed
}

// Rejections returns, for each value, the highest revision that failed validation and is
// above the one in force.
func (m *Machine) Rejections() []Rejection {
	var rejections []Rejection
	for _, name := range Names {
		if r := m.values[name].rejection; r != nil {
			rejections = append(rejections, *r)
		}
	}
	return rejections
}

func (s *valueState) newest() uint64 {
	if len(s.candidates) > 0 {
		return s.candidates[0].Revision
	}
	return s.inForce.Revision
}

func (s *valueState) age(now clock.Instant) time.Duration {
	if !s.confirmed {
		return 0
	}
	return now.Sub(s.confirmedAt)
}

// confirm records that a platform read sent at the given time returned the revision in
// force or a higher one.
func (s *valueState) confirm(at clock.Instant) {
	if s.inForce.Revision == 0 || (s.confirmed && !at.After(s.confirmedAt)) {
		return
	}
	s.confirmed = true
	s.confirmedAt = at
}

// confirmFromLastRead confirms the revision in force by the last platform read. A
// candidate that had to wait for the end of bootstrap is thus confirmed as soon as it
// comes into force, not only by the next read.
func (s *valueState) confirmFromLastRead() {
	if s.platformRevision >= s.inForce.Revision {
		s.confirm(s.platformReadAt)
	}
}

func (m *Machine) newID() uint64 {
	m.nextID++
	return m.nextID
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}
