package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

const (
	// leavingReportDelay is how long leaving upstreams are collected into one report, to which a
	// random time of up to leavingReportJitter is added. In a rollout many leave at a time.
	leavingReportDelay  = 20 * time.Millisecond
	leavingReportJitter = 30 * time.Millisecond
	// maxReportedInstances is the size of the table up to which reports are recorded. It leaves room for
	// signals that this VM receives itself.
	maxReportedInstances = 4096
)

// Labels of the metrics of signals.
const (
	signalLeaving         = "leaving"
	signalLeavingReported = "leaving_reported"
	signalPause           = "pause"
	signalInvalid         = "pause_invalid"
	signalReportInvalid   = "report_invalid"
)

// upstreamSignals holds the signals of upstreams that this VM has received, for all that it sends to
// them. It is safe for concurrent use.
type upstreamSignals struct {
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics
	// report tells the other VMs of upstreams that leave.
	report func(leaving []upstreamsignal.Instance)

	// count is the number of instances in table, so that nothing is locked without signals.
	count atomic.Int64
	mu    sync.Mutex
	table *upstreamsignal.Table
	// reports are the leaving instances that are not reported to the other VMs yet.
	reports []upstreamsignal.Instance
}

func newUpstreamSignals(now func() clock.Instant, logger *zap.Logger, m *metrics, drain time.Duration, report func([]upstreamsignal.Instance)) *upstreamSignals {
	return &upstreamSignals{now: now, logger: logger, metrics: m, report: report, table: upstreamsignal.New(drain)}
}

// setDrain sets the time for which a leaving upstream may still get requests.
func (s *upstreamSignals) setDrain(drain time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetDrain(drain)
}

func instanceOf(entry *registry.Entry) upstreamsignal.Instance {
	return upstreamsignal.Instance{ID: entry.ID, Start: entry.StartID}
}

// record records the signals of a response to a request that was sent to an upstream. A response of
// another upstream at its address says nothing about it, but may say something about the other one,
// if that is in the view.
func (s *upstreamSignals) record(view *View, entry *registry.Entry, info ResponseInfo) {
	if info.LoadInvalid {
		s.metrics.loadsInvalid.Inc()
	}
	if info.PauseInvalid {
		s.metrics.upstreamSignals.WithLabelValues(signalInvalid).Inc()
		s.logger.Debug("Retry-After of an upstream ignored", zap.String("upstream", entry.ID))
	}
	if !info.Leaving && info.Pause == 0 {
		return
	}
	if responder := view.ByID[info.UpstreamID]; responder != nil && responder.ID != entry.ID {
		entry = responder
	} else if info.Misdirected {
		return
	}
	if info.Leaving {
		s.recordLeaving(entry)
	}
	if info.Pause > 0 {
		s.recordPause(entry, info.Pause)
	}
}

func (s *upstreamSignals) recordLeaving(entry *registry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := s.table.RecordLeaving(s.now(), instanceOf(entry))
	s.count.Store(int64(s.table.Len()))
	if !isNew {
		return
	}
	s.metrics.upstreamSignals.WithLabelValues(signalLeaving).Inc()
	s.logger.Info("upstream leaves", zap.String("upstream", entry.ID), zap.String("pool", entry.Pool), zap.Int64("start", entry.StartID))
	if len(s.reports) == 0 {
		time.AfterFunc(leavingReportDelay+rand.N(leavingReportJitter), s.flushReports)
	}
	s.reports = append(s.reports, instanceOf(entry))
}

func (s *upstreamSignals) recordPause(entry *registry.Entry, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isLonger := s.table.RecordPause(s.now(), instanceOf(entry), pause)
	s.count.Store(int64(s.table.Len()))
	if isLonger {
		s.metrics.upstreamSignals.WithLabelValues(signalPause).Inc()
		s.logger.Info("upstream asks for no traffic", zap.String("upstream", entry.ID), zap.String("pool", entry.Pool), zap.Duration("for", pause))
	}
}

// flushReports tells the other VMs of the upstreams whose signals this VM received itself.
func (s *upstreamSignals) flushReports() {
	s.mu.Lock()
	reports := s.reports
	s.reports = nil
	s.mu.Unlock()
	for len(reports) > 0 {
		n := min(len(reports), maxReportedUpstreams)
		s.report(reports[:n])
		reports = reports[n:]
	}
}

// recordReport records an upstream that another VM reports as leaving. It is not reported further.
func (s *upstreamSignals) recordReport(i upstreamsignal.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() >= maxReportedInstances {
		s.metrics.upstreamSignals.WithLabelValues(signalReportInvalid).Inc()
		return
	}
	if s.table.RecordLeaving(s.now(), i) {
		s.metrics.upstreamSignals.WithLabelValues(signalLeavingReported).Inc()
		s.logger.Info("upstream leaves, as another VM reports", zap.String("upstream", i.ID), zap.Int64("start", i.Start))
	}
	s.count.Store(int64(s.table.Len()))
}

// retain drops the signals that have no effect any more.
func (s *upstreamSignals) retain(view *View) {
	if s.count.Load() == 0 || view == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Retain(s.now(), func(i upstreamsignal.Instance) bool {
		entry := view.ByID[i.ID]
		return entry != nil && entry.StartID == i.Start
	})
	s.count.Store(int64(s.table.Len()))
}

// upstreamVerdict says whether work may be sent to an upstream.
type upstreamVerdict struct {
	upstreamsignal.Verdict
	id string
	// pausedUntil is the end of the pause of the upstream; 0 if it is not paused.
	pausedUntil clock.Instant
}

// verdicts returns the verdicts on the upstreams of a pool for work that was taken from its client at
// taken.
func (s *upstreamSignals) verdicts(taken clock.Instant, entries []*registry.Entry) []upstreamVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	hasStaying := slices.ContainsFunc(entries, func(entry *registry.Entry) bool { return !s.table.IsLeaving(instanceOf(entry)) })
	out := make([]upstreamVerdict, 0, len(entries))
	for _, entry := range entries {
		i := instanceOf(entry)
		until, _ := s.table.PausedUntil(now, i)
		out = append(out, upstreamVerdict{Verdict: s.table.WorkVerdict(now, taken, i, hasStaying), id: entry.ID, pausedUntil: until})
	}
	return out
}

// restrictions returns the upstreams of a pool that may not be used freely for a request that
// arrived at taken.
func (s *upstreamSignals) restrictions(taken clock.Instant, entries []*registry.Entry) map[string]placement.Restriction {
	if s.count.Load() == 0 {
		return nil
	}
	out := map[string]placement.Restriction{}
	for _, v := range s.verdicts(taken, entries) {
		switch v.Verdict {
		case upstreamsignal.LastResort:
			out[v.id] = placement.LastResort
		case upstreamsignal.Leaving, upstreamsignal.Paused:
			out[v.id] = placement.Excluded
		}
	}
	return out
}

// blocks returns the upstreams of a pool that must get no stage calls, and until when.
func (s *upstreamSignals) blocks(entries []*registry.Entry) map[string]clock.Instant {
	if s.count.Load() == 0 {
		return nil
	}
	out := map[string]clock.Instant{}
	for _, v := range s.verdicts(s.now(), entries) {
		switch v.Verdict {
		case upstreamsignal.Leaving:
			out[v.id] = stagepool.NoEnd
		case upstreamsignal.Paused:
			out[v.id] = v.pausedUntil
		}
	}
	return out
}

// poolBlock reports whether no upstream of a pool may take a request that arrived at taken, and the
// earliest end of a pause; that is zero if none is paused.
func (s *upstreamSignals) poolBlock(taken clock.Instant, entries []*registry.Entry) (until clock.Instant, blocked bool) {
	if s.count.Load() == 0 || len(entries) == 0 {
		return 0, false
	}
	blocked = true
	for _, v := range s.verdicts(taken, entries) {
		switch {
		case v.Verdict == upstreamsignal.Open || v.Verdict == upstreamsignal.LastResort:
			blocked = false
		case v.Verdict == upstreamsignal.Paused && (until == 0 || v.pausedUntil < until):
			until = v.pausedUntil
		}
	}
	return until, blocked
}

// errWithheld reports that nothing was sent to an upstream, since it takes no work any more.
var errWithheld = errors.New("the upstream asks for no traffic or has left")

// beforeSend returns a check for work that is about to be sent to an upstream. It returns errWithheld
// if a pause began or the time of the last work passed since the upstream was chosen, such as while
// a connection was opened or the process stood still.
func (s *upstreamSignals) beforeSend(entry *registry.Entry, call string) func() error {
	return func() error {
		if !s.mayCall(instanceOf(entry), call) {
			return errWithheld
		}
		return nil
	}
}

// mayCall reports whether anything may be sent to an upstream now. A call that may not is counted
// under its name.
func (s *upstreamSignals) mayCall(i upstreamsignal.Instance, call string) bool {
	if s.count.Load() == 0 {
		return true
	}
	s.mu.Lock()
	verdict := s.table.UpkeepVerdict(s.now(), i)
	s.mu.Unlock()
	if verdict == upstreamsignal.Open || verdict == upstreamsignal.LastResort {
		return true
	}
	s.metrics.callsWithheld.WithLabelValues(call).Inc()
	return false
}
