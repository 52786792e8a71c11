package membership

import "time"

const (
	// DefaultProbeInterval is the interval between two probes of one process.
	DefaultProbeInterval = time.Second
	// DefaultDirectTimeout is the time that a direct probe may take before indirect
	// probes start. A probe over a new connection takes three round trips, which is
	// 450 ms between regions that are 150 ms apart.
	DefaultDirectTimeout = 800 * time.Millisecond
	// DefaultProbeTimeout bounds a probe including its indirect probes.
	DefaultProbeTimeout = 2 * time.Second
	// DefaultSuspicionTimeout is the suspicion timeout in a fleet of up to ten members.
	// It grows with the decimal logarithm of the fleet size, as does the time in which
	// gossip spreads a suspicion and its refutation.
	DefaultSuspicionTimeout = 4 * time.Second
	// DefaultPauseThreshold is the gap between two calls of the machine above which the
	// process counts as paused. It is far above scheduling delays and below the
	// suspicion timeout.
	DefaultPauseThreshold = 3 * time.Second

	// indirectProbes is the number of members asked to probe a target that did not answer.
	indirectProbes = 3
	// freshSendCount is how often a suspicion is sent before it stops to raise the rate of
	// messages, and urgentRateFactor how much it raises the rate. The failure of a zone is then
	// known everywhere within about a second, at the cost of some messages each time.
	freshSendCount   = 4
	urgentRateFactor = 4
	// maxUpdates bounds the updates in one message. When a partition heals, every
	// member refutes a suspicion; at about 25 bytes each, four messages per second then
	// take 2.4 KB/s.
	maxUpdates = 24
	// maxPriorityTargets bounds the members that wait for a priority probe.
	maxPriorityTargets = 64
	// notAliveUpdateSlots is the number of updates in each message that is reserved for
	// members that are not alive.
	notAliveUpdateSlots = 8
	// maxRelays bounds the concurrent probes on behalf of other members.
	maxRelays = 64
	// retransmitFactor times the bit length of the fleet size is the number of times
	// that one process sends an update.
	retransmitFactor = 2
	// maxFlaps bounds how often the suspicion timeout of a member that keeps refuting
	// suspicions is doubled.
	maxFlaps = 3
	// flapDecay is the time without a refuted suspicion after which one doubling is dropped.
	flapDecay = time.Minute
)

// Options configures a Machine. Zero durations mean the defaults.
type Options struct {
	// Self is the name of this VM.
	Self string
	// Incarnation identifies the start of this process.
	Incarnation Incarnation
	// Seed makes random choices reproducible.
	Seed             uint64
	ProbeInterval    time.Duration
	DirectTimeout    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	PauseThreshold   time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.DirectTimeout, DefaultDirectTimeout)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.PauseThreshold, DefaultPauseThreshold)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
