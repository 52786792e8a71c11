package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

const (
	// maxReportedUpstreams bounds the upstreams in one report, and maxUpstreamIDBytes their IDs.
	maxReportedUpstreams = 256
	maxUpstreamIDBytes   = 256
)

// reportLeaving tells the other VMs of upstreams that leave. Versions without the call answer
// Unimplemented, and learn of the upstreams from their own responses.
func (s *Server) reportLeaving(leaving []upstreamsignal.Instance) {
	report := leavingToProto(leaving)
	s.callPeers("failed to report leaving upstreams", func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.ReportLeaving(ctx, report)
		return err
	})
}

// ReportLeaving records the upstreams that another VM reports as leaving.
func (f fleetServer) ReportLeaving(_ context.Context, r *hoistv1.ReportLeavingRequest) (*hoistv1.ReportLeavingResponse, error) {
	leaving, invalid := leavingFromProto(r)
	if invalid > 0 {
		f.s.metrics.upstreamSignals.WithLabelValues(signalReportInvalid).Add(float64(invalid))
		f.s.logger.Debug("part of a report of leaving upstreams ignored", zap.Int("upstreams", len(r.GetUpstreams())), zap.Int("ignored", invalid))
	}
	for _, i := range leaving {
		f.s.signals.recordReport(i)
	}
	return &hoistv1.ReportLeavingResponse{}, nil
}

func leavingToProto(leaving []upstreamsignal.Instance) *hoistv1.ReportLeavingRequest {
	report := &hoistv1.ReportLeavingRequest{Upstreams: make([]*hoistv1.LeavingUpstream, 0, len(leaving))}
	for _, i := range leaving {
		report.Upstreams = append(report.Upstreams, &hoistv1.LeavingUpstream{Id: i.ID, Start: uint64(i.Start)})
	}
	return report
}

// leavingFromProto returns the valid upstreams of a report and the number of invalid ones. In a report
// that is too long all are invalid.
func leavingFromProto(report *hoistv1.ReportLeavingRequest) (leaving []upstreamsignal.Instance, invalid int) {
	if len(report.GetUpstreams()) > maxReportedUpstreams {
		return nil, len(report.GetUpstreams())
	}
	for _, upstream := range report.GetUpstreams() {
		if upstream.GetId() == "" || len(upstream.GetId()) > maxUpstreamIDBytes {
			invalid++
			continue
		}
		leaving = append(leaving, upstreamsignal.Instance{ID: upstream.GetId(), Start: int64(upstream.GetStart())})
	}
	return leaving, invalid
}

// pauseToProto returns the milliseconds from now to the end of a pause, and 0 if there is none.
func pauseToProto(now, until clock.Instant) int64 {
	if until == 0 {
		return 0
	}
	return pauseLeft(now, until).Milliseconds()
}

// pauseFromProto returns the end of a pause that another VM states, or 0 if it states none that is
// acceptable. The sender rounds up, so that a pause of the maximum length may exceed it by 1 ms.
func pauseFromProto(now clock.Instant, ms int64) clock.Instant {
	if ms <= 0 || ms > upstreamsignal.MaxPause.Milliseconds()+1 {
		return 0
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// pauseLeft returns the time until the end of a pause, rounded up to the milliseconds of messages
// between VMs: rounded down, callers would return too early.
func pauseLeft(now, until clock.Instant) time.Duration {
	return max(until.Sub(now), 0).Truncate(time.Millisecond) + time.Millisecond
}
