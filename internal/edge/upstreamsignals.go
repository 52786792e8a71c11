package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
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
	// leavingMetadataKey is the metadata key of Ping under which a VM reports leaving upstreams.
	leavingMetadataKey = "hoist-leaving-bin"
	// maxReportedUpstreams bounds the upstreams in one report, and maxUpstreamIDBytes their IDs.
	maxReportedUpstreams = 256
	maxUpstreamIDBytes   = 256
	// maxReportedInstances is the size of the table up to which reports are recorded, so that signals
	// which this VM receives itself always have room.
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
	// reports are the leaving instances that the other VMs have yet to be told of.
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
// another upstream at its address says nothing about it, but may say something about the other one.
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

// verdicts calls f with the verdict on each upstream of a pool for work that was taken from its
// client at taken.
func (s *upstreamSignals) verdicts(taken clock.Instant, entries []*registry.Entry, f func(entry *registry.Entry, verdict upstreamsignal.Verdict, pausedUntil clock.Instant)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, staying := s.now(), 0
	for _, entry := range entries {
		if !s.table.IsLeaving(instanceOf(entry)) {
			staying++
		}
	}
	for _, entry := range entries {
		until, _ := s.table.PausedUntil(now, instanceOf(entry))
		f(entry, s.table.WorkVerdict(now, taken, instanceOf(entry), staying > 0), until)
	}
}

// restrictions returns the upstreams of a pool that may not be used freely for a request that
// arrived at taken.
func (s *upstreamSignals) restrictions(taken clock.Instant, entries []*registry.Entry) map[string]placement.Restriction {
	if s.count.Load() == 0 {
		return nil
	}
	out := map[string]placement.Restriction{}
	s.verdicts(taken, entries, func(entry *registry.Entry, verdict upstreamsignal.Verdict, _ clock.Instant) {
		switch verdict {
		case upstreamsignal.LastResort:
			out[entry.ID] = placement.LastResort
		case upstreamsignal.Leaving, upstreamsignal.Paused:
			out[entry.ID] = placement.Excluded
		}
	})
	return out
}

// blocks returns the upstreams of a pool that must get no stage calls, and until when.
func (s *upstreamSignals) blocks(entries []*registry.Entry) map[string]clock.Instant {
	if s.count.Load() == 0 {
		return nil
	}
	out := map[string]clock.Instant{}
	s.verdicts(s.now(), entries, func(entry *registry.Entry, verdict upstreamsignal.Verdict, until clock.Instant) {
		switch verdict {
		case upstreamsignal.Leaving:
			out[entry.ID] = stagepool.NoEnd
		case upstreamsignal.Paused:
			out[entry.ID] = until
		}
	})
	return out
}

// poolBlock reports whether no upstream of a pool may take a request that arrived at taken, and the
// earliest end of a pause; that is zero if none is paused.
func (s *upstreamSignals) poolBlock(taken clock.Instant, entries []*registry.Entry) (until clock.Instant, blocked bool) {
	if s.count.Load() == 0 || len(entries) == 0 {
		return 0, false
	}
	blocked = true
	s.verdicts(taken, entries, func(_ *registry.Entry, verdict upstreamsignal.Verdict, pausedUntil clock.Instant) {
		switch {
		case verdict == upstreamsignal.Open || verdict == upstreamsignal.LastResort:
			blocked = false
		case verdict == upstreamsignal.Paused && (until == 0 || pausedUntil < until):
			until = pausedUntil
		}
	})
	return until, blocked
}

// mayCall reports whether a call that is not work may be sent to an upstream. A call that may not is
// counted under its name.
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

// reportLeaving tells the other VMs of upstreams that leave. The report travels as metadata of Ping,
// which older versions ignore.
func (s *Server) reportLeaving(leaving []upstreamsignal.Instance) {
	var pairs []string
	for _, i := range leaving {
		value, err := proto.Marshal(&hoistv1.StrikeRequest{Upstream: i.ID, UpstreamStart: uint64(i.Start)})
		if err != nil {
			s.logger.Error("failed to encode a leaving upstream", zap.String("upstream", i.ID), obs.ErrorField(err))
			continue
		}
		pairs = append(pairs, leavingMetadataKey, string(value))
	}
	s.callPeers("failed to report leaving upstreams", func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.Ping(metadata.AppendToOutgoingContext(ctx, pairs...), &hoistv1.PingRequest{})
		return err
	})
}

// recordLeavingReport records the leaving upstreams that come with a call of another VM.
func (s *Server) recordLeavingReport(ctx context.Context) {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(leavingMetadataKey)
	for _, value := range values[:min(len(values), maxReportedUpstreams)] {
		var report hoistv1.StrikeRequest
		if err := proto.Unmarshal([]byte(value), &report); err != nil || report.GetUpstream() == "" || len(report.GetUpstream()) > maxUpstreamIDBytes {
			s.metrics.upstreamSignals.WithLabelValues(signalReportInvalid).Inc()
			continue
		}
		s.signals.recordReport(upstreamsignal.Instance{ID: report.GetUpstream(), Start: int64(report.GetUpstreamStart())})
	}
}
