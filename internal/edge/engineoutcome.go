package edge

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/partition"
)

// reportOutcome reports the end of an attempt to the owner of the engine. That an engine is unreachable is
// reported once it is known that this VM is not partitioned, since the owner avoids the engine for all VMs.
func (s *Server) reportOutcome(l *lease, end attemptOutcome) {
	placed, outcome, cold := l.placed, l.outcome(placementResults[end]), l.cold
	if l.pathFailed {
		outcome.Result = enginepool.Aborted
	}
	if outcome.Result != enginepool.Unreachable {
		s.endPlacement(placed, outcome, cold)
		return
	}
	report := func(verdict partition.Verdict) {
		if !s.partition.isUpstreamAtFault(verdict) {
			outcome.Result = enginepool.Aborted
		}
		s.endPlacement(placed, outcome, cold)
	}
	failure := &suspectedFailure{failedAt: l.failedAt, end: report}
	if failure.failedAt == 0 {
		failure.failedAt = s.now()
	}
	accepted := s.partition.awaitVerdict(failure, func(d *partition.Detector, now clock.Instant) {
		if end == attemptNotSent && !l.hasResponded {
			d.RecordCrashProbe(now, l.entry.Address)
		}
	})
	if !accepted {
		report(partition.AtNetwork)
	}
}

// isUpstreamAtFault reports whether a failure is that of the upstream. Without a verdict it is, unless this VM may
// be partitioned at present.
func (m *partitionMonitor) isUpstreamAtFault(verdict partition.Verdict) bool {
	if verdict != partition.Unknown {
		return verdict == partition.AtUpstream
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State() == partition.Reachable
}
