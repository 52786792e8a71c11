package gossip

import "time"

const (
	// MaxSuspects bounds the suspects of a store.
	MaxSuspects = 1024
	// MaxUpstreamsPerSuspect bounds the upstreams stored for a suspect. Two are enough
	// to refuse it.
	MaxUpstreamsPerSuspect = 8
	// MaxSuspectTTL bounds the remaining lifetime of a suspect.
	MaxSuspectTTL = 10 * time.Minute
	// MaxUpstreams bounds the upstreams for which a store holds warmth reports.
	MaxUpstreams = 1024
	// MaxReporters bounds the reporters stored for one upstream. The sum of a few
	// counts shows that an upstream is warm; with all 16 VMs that use an upstream, the
	// reports on 600 upstreams would exceed the traffic limit of a VM.
	MaxReporters = 3
	// WarmthLifetime is the age at which a warmth report is dropped.
	WarmthLifetime = 30 * time.Second
	// MaxNameBytes bounds the names of upstreams and reporters.
	MaxNameBytes = 128

	// MaxSuspectsPerMessage and MaxWarmthPerMessage bound one message. With 6 warmth
	// messages per second and 45 bytes per report, warmth takes at most 9 KB/s.
	MaxSuspectsPerMessage = 8
	MaxWarmthPerMessage   = 32

	// refreshAfter is the age at which the local gateway's report is sent again if only
	// its count has changed, so that it reaches others before their copy expires.
	refreshAfter = 15 * time.Second
	// restartGap is how much newer a report with a lower sequence must be to count as
	// that of a restarted reporter.
	restartGap = 5 * time.Second
	// retransmitFactor times the bit length of the fleet size is the number of times
	// that one process sends an item.
	retransmitFactor = 2
	// repeatedSuspectsPerMessage is the number of known suspects that a message without
	// new ones repeats, so that restarted processes learn about them.
	repeatedSuspectsPerMessage = 1
)
