package partition

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// cutKind is how connections behave during a partition.
type cutKind int

const (
	noCut cutKind = iota
	// hangs means that nothing comes, on old connections neither.
	hangs
	// staysSilent means that connections open and nothing comes on them. Upstreams that are full look the same.
	staysSilent
	// breaks means that all connections are reset or refused.
	breaks
	// refusesNew means that old connections live on.
	refusesNew
)

const (
	modelDialTimeout = 250 * time.Millisecond
	// detectionTime bounds the time from a total cut with traffic until it is detected, and returnTime that
	// from its end until it is over. A suspicion may have ended just before the cut.
	detectionTime = minSuspicionInterval + modelDialTimeout + failedRounds*(ProbeTimeout+testTick) + 3*testTick
	returnTime    = 2*returnInterval + 3*testTick
	// silentDetectionTime is as detectionTime if upstreams that are full would look the same.
	silentDetectionTime = detectionTime + (unansweredRounds-failedRounds)*(ProbeTimeout+testTick)
)

// pendingEnd is the end of a connection or a probe.
type pendingEnd struct {
	at      clock.Instant
	address string
	probe   uint64
	answers bool
	// isUnanswered is set if a connection was opened on which nothing came.
	isUnanswered bool
}

// model is a VM with traffic, and the network between it and its upstreams.
type model struct {
	t     *rapid.T
	d     *Detector
	now   clock.Instant
	cut   cutKind
	cutAt clock.Instant
	// cutKinds are those since the cut began.
	cutKinds map[cutKind]bool
	healedAt clock.Instant
	down     map[string]bool
	pending  []pendingEnd
	received uint64
	// roundStart is when the running round began, and lastSuccess when a new connection succeeded last.
	roundStart  clock.Instant
	lastSuccess clock.Instant
	probeTimes  []clock.Instant
	crashed     bool
}

// connect opens a new connection, or sends a probe if id is not 0.
func (m *model) connect(address string, id uint64) {
	end := pendingEnd{at: m.now, address: address, probe: id, answers: m.cut == noCut && !m.down[address]}
	switch m.cut {
	case hangs:
		end.at = m.now.Add(modelDialTimeout)
	case staysSilent:
		end.at, end.isUnanswered = m.now.Add(ProbeTimeout), true
	}
	m.pending = append(m.pending, end)
}

// endConnections reports the connections and probes that end by now.
func (m *model) endConnections() {
	pending := m.pending
	m.pending = nil
	for _, end := range pending {
		if end.at > m.now {
			m.pending = append(m.pending, end)
			continue
		}
		before := m.d.State()
		if end.answers {
			m.lastSuccess = m.now
		}
		switch {
		case end.probe != 0 && end.isUnanswered:
			m.d.RecordUnanswered(m.now, end.probe)
		case end.probe != 0:
			m.d.RecordProbe(m.now, end.probe, end.answers)
		case end.answers:
			m.d.RecordConnected(m.now, end.address)
		default:
			m.d.RecordFailed(m.now, end.address)
		}
		if before != Partitioned && m.d.State() == Partitioned && m.lastSuccess > m.roundStart {
			m.t.Fatalf("partitioned although a connection succeeded during the round")
		}
	}
}

// tick advances the time, with new connections to two upstreams.
func (m *model) tick() {
	for range 2 {
		m.connect(rapid.SampledFrom(m.d.upstreams).Draw(m.t, "upstream").Address, 0)
	}
	m.endConnections()
	if m.cut == noCut || m.cut == refusesNew {
		m.received++
	}
	for _, probe := range m.d.Tick(m.now, Traffic{Received: m.received, Waiting: len(m.d.upstreams)}) {
		m.probeTimes = append(m.probeTimes, m.now)
		m.connect(probe.Address, probe.ID)
		if m.d.State() == Suspect {
			m.roundStart = m.now
		}
	}
	m.check()
	m.now = m.now.Add(testTick)
}

// check checks the times and the number of probes.
func (m *model) check() {
	detected := detectionTime
	if m.cutKinds[staysSilent] {
		detected = silentDetectionTime
	}
	if m.cut != noCut && m.now.Sub(m.cutAt) > detected && m.d.State() != Partitioned {
		m.t.Fatalf("%v after the cut the state is %v", m.now.Sub(m.cutAt), m.d.State())
	}
	if m.cut == noCut && len(m.down) == 0 && m.now.Sub(m.healedAt) > returnTime && m.d.State() == Partitioned {
		m.t.Fatalf("partitioned %v after the end of the cut", m.now.Sub(m.healedAt))
	}
	interval := minSuspicionInterval
	if m.crashed {
		interval = minCrashInterval
	}
	recent := 0
	for _, at := range m.probeTimes {
		if m.now.Sub(at) < time.Second {
			recent++
		}
	}
	// The last suspicion of them may have several rounds, and probes while partitioned may follow.
	limit := (int(time.Second/interval)-1+unansweredRounds)*roundProbes + int(time.Second/returnInterval)
	if recent > limit {
		m.t.Fatalf("%d probes within a second, expected at most %d", recent, limit)
	}
}

// setCut changes the network. Connections on their way are lost if it is cut, but for those that were
// answered already.
func (m *model) setCut(kind cutKind) {
	if kind != noCut {
		m.cutKinds[kind] = true
	}
	// A change between connections on which bytes come and silent ones looks like upstreams that are full.
	if kind != noCut && kind != m.cut && (m.cut == noCut || m.cutKinds[staysSilent] && m.cutKinds[refusesNew]) {
		m.cutAt = m.now
	}
	if m.cut != noCut && kind == noCut {
		m.healedAt = m.now
		clear(m.cutKinds)
	}
	m.cut = kind
}

// TestModel runs the detector through random cuts, failures of single upstreams and whole pools and zones,
// crashes and pauses. It guards against a partition that is stated although connections succeed, or that is
// detected or over late, and against too many probes.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, cutKinds: map[cutKind]bool{}, now: clock.Instant(time.Hour), down: map[string]bool{}}
		m.d = New(m.now, rapid.Uint64().Draw(t, "seed"))
		upstreams := testUpstreams(rapid.IntRange(minUpstreams, 12).Draw(t, "upstreams"), rapid.IntRange(1, 3).Draw(t, "pools"), rapid.IntRange(1, 3).Draw(t, "zones"))
		m.d.SetUpstreams(m.now, upstreams)
		m.healedAt = m.now
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			m.step()
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				m.tick()
			}
		}
	})
}

// step changes something at random.
func (m *model) step() {
	upstream := rapid.SampledFrom(m.d.upstreams).Draw(m.t, "changed upstream")
	switch rapid.IntRange(0, 7).Draw(m.t, "step") {
	case 0, 1:
		m.setCut(rapid.SampledFrom([]cutKind{hangs, staysSilent, breaks, refusesNew}).Draw(m.t, "cut"))
	case 2:
		m.setCut(noCut)
	case 3:
		m.down[upstream.Address] = true
	case 4:
		for _, other := range m.d.upstreams {
			if other.Pool == upstream.Pool {
				m.down[other.Address] = true
			}
		}
	case 5:
		clear(m.down)
		m.healedAt = m.now
	case 6:
		m.crashed = true
		m.d.RecordCrashProbe(m.now, upstream.Address)
	case 7:
		m.now = m.now.Add(2 * time.Second)
		// What was to be detected or over by now may take as long again.
		m.cutAt, m.healedAt = m.now.Add(pauseGracePeriod), m.now.Add(pauseGracePeriod)
	}
	if len(m.down) == len(m.d.upstreams) {
		clear(m.down) // This could not be told from a partition.
		m.healedAt = m.now
	}
}
