package configuration

import "time"

const (
	// DefaultStartupWait is how long a process that has started waits for its peers before
	// it adopts values from the platform without having heard from them.
	DefaultStartupWait = 5 * time.Second
	// DefaultWatchTimeout is how long a watch may block at the platform. Together with
	// readGracePeriod and backoffBase it bounds the time until a reader replaces a watch
	// on a connection that has failed silently. That time must stay below 15 s, within
	// which a revision has to be in force everywhere.
	DefaultWatchTimeout = 5 * time.Second
	// DefaultPollInterval is the mean interval between the polls of each process, which it
	// makes whether or not it is a reader.
	DefaultPollInterval = time.Minute
	// DefaultUnconfirmedAfter is the age of the last confirmation above which a process is
	// unconfirmed. It spans three poll intervals, so that one lost poll has no effect.
	DefaultUnconfirmedAfter = 3 * time.Minute

	// readersPerZone is the number of processes per zone that watch values at the platform.
	// There is a second one so that the failure of a reader does not delay a revision.
	readersPerZone = 2
	// startupJitter spreads the first reads of processes that start together. With 330
	// processes and three values it results in about 1,000 reads per second.
	startupJitter = time.Second
	// minWatchInterval is the minimum time between the starts of two watches of a value,
	// which bounds the rate of watches that return immediately.
	minWatchInterval = time.Second
	// backoffBase is the delay after a failed read; it doubles with each further failure,
	// up to backoffMax.
	backoffBase = time.Second
	// backoffMax is the maximum delay after failed reads. It bounds the time until a reader
	// notices the end of an outage.
	backoffMax = 15 * time.Second
	// readGracePeriod is the time beyond Read.Wait after which a read without a response
	// counts as failed.
	readGracePeriod = 3 * time.Second
	// FetchTimeout is how long a fetch without a response counts as pending.
	FetchTimeout = 8 * time.Second
	// fetchHedgeDelay is how long a fetch may take before the same revision is requested
	// from a second peer. A fetch of 1 MB between regions takes less.
	fetchHedgeDelay = time.Second
	// maxFetches is the maximum number of pending fetches per value.
	maxFetches = 3
	// pollBytesPerSecond limits the mean traffic of the polls of one value by one process;
	// a large value is polled less often. A poll returns the whole value, since only that
	// proves what the platform has.
	pollBytesPerSecond = 1000
	// minFleetPollsPerInterval is the number of polls per PollInterval by all processes
	// together below which a large value is not polled less often. It matters in small
	// fleets, where few other processes confirm a value.
	minFleetPollsPerInterval = 4
	// pushFanout is the number of members to which a process pushes its advertisements
	// when a revision comes into force.
	pushFanout = 3
	// maxCandidates is the maximum number of candidates per value: the newest revision,
	// and a lower one that is in force at a peer.
	maxCandidates = 2
	// maxInvalidPairs is the maximum size of the cache of invalid pairs.
	maxInvalidPairs = 64
	// maxReasonBytes is the maximum length of a rejection's reason.
	maxReasonBytes = 2048
)

// Options configures a Machine. A zero duration selects the default.
type Options struct {
	// Self is the name of this VM.
	Self string
	// Zone is the availability zone of this VM.
	Zone string
	// Seed makes random choices reproducible.
	Seed             uint64
	Validation       Validation
	StartupWait      time.Duration
	WatchTimeout     time.Duration
	PollInterval     time.Duration
	UnconfirmedAfter time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.StartupWait, DefaultStartupWait)
	setDefault(&o.WatchTimeout, DefaultWatchTimeout)
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.UnconfirmedAfter, DefaultUnconfirmedAfter)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
