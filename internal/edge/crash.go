package edge

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

const (
	// crashProbeTimeout bounds the check of whether an upstream still accepts connections.
	crashProbeTimeout = 300 * time.Millisecond
	// crashReportTimeout bounds the report of a crash to a peer.
	crashReportTimeout = 500 * time.Millisecond
	// crashReportDelay is how long crashes are collected before they are reported. All requests that an
	// upstream ran break within some milliseconds.
	crashReportDelay = 30 * time.Millisecond
	// maxReportedRequests bounds the requests of one crash that are reported and accepted.
	maxReportedRequests = 128
	fingerprintBytes    = len(poison.Fingerprint{})
)

// requestFingerprint identifies repeated sends of one request by API key, host, target and body.
func requestFingerprint(t *transaction) poison.Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, t.requestInfo.APIKey+"\x00"+t.r.Host+t.target.String()+"\x00") // Writing to a hash never fails.
	h.Write(t.body)
	var fp poison.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// isPoisonRequest reports whether the request must not run because upstreams crashed while
// running it.
func (s *Server) isPoisonRequest(t *transaction) bool {
	return s.parts.checkRequest(t.fingerprint.RequestKey())
}

// suspect is a request that an upstream had not answered when it crashed, and the parts of its prompt of
// which no answer is known.
type suspect struct {
	fingerprint poison.Fingerprint
	parts       []poison.Part
}

// suspect returns what is under suspicion if an upstream crashes while it runs the request.
func (t *transaction) suspect() suspect {
	if t.partsAnswered {
		return suspect{fingerprint: t.fingerprint}
	}
	return suspect{fingerprint: t.fingerprint, parts: t.promptParts()}
}

// checkForCrash checks whether an upstream crashed while it ran the request, and reports whether it may have.
// A crash is recorded, and reported to the other VMs, once it is known that this VM is not partitioned.
func (s *Server) checkForCrash(t *transaction, entry *registry.Entry) bool {
	if s.partition.isPartitioned() {
		return true // A probe would say nothing about the upstream.
	}
	err := s.probeForCrash(t.ctx, entry)
	if err == nil {
		return false
	}
	broken, route, parts := t.suspect(), t.route.Name, t.sharedParts()
	s.partition.suspectCrash(entry.ID, entry.Address, func() {
		s.logger.Warn("upstream died while it ran a request", zap.String("request", t.requestInfo.ID), zap.String("upstream", entry.ID),
			zap.String("route", route), zap.Strings("prompt_parts", parts), obs.ErrorField(err))
		s.recordCrash(entry, broken)
	})
	return true
}

// probeForCrash returns the error of a new connection to an upstream; nil if the upstream has not crashed or
// that is not known. If its zone is probably cut off, silence says nothing about the request.
func (s *Server) probeForCrash(ctx context.Context, entry *registry.Entry) error {
	if s.isZoneSuspect(entry.Zone) {
		return nil
	}
	dialer := net.Dialer{Timeout: crashProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", entry.Address)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// recordCrash records that an upstream crashed while it ran the requests, here and soon at the other VMs.
func (s *Server) recordCrash(entry *registry.Entry, suspects ...suspect) {
	var requests []poison.Part
	var prompts [][]poison.Part
	for _, each := range suspects {
		requests, prompts = append(requests, each.fingerprint.RequestKey()), append(prompts, each.parts)
	}
	s.upstreams.recordLost(entry.ID, entry.StartID)
	s.parts.recordCrashes(entry.ID, entry.StartID, requests, prompts)
	for _, each := range suspects {
		s.crashReports.add(entry, each, s.sendCrashes)
	}
}

// crashReports collects the crashes that this VM notices until the other VMs learn of them. It is safe for
// concurrent use.
type crashReports struct {
	mu sync.Mutex
	// pending holds a report for each start of an upstream that crashed.
	pending []*hoistv1.StrikeRequest
}

// add adds a request that an upstream ran when it crashed. The reports are sent together soon.
func (c *crashReports) add(entry *registry.Entry, broken suspect, send func([]*hoistv1.StrikeRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		time.AfterFunc(crashReportDelay, func() { send(c.take()) })
	}
	report := c.reportOf(entry)
	if len(report.GetRequests()) >= maxReportedRequests {
		return
	}
	parts := 0
	for _, known := range report.GetRequests() {
		if bytes.Equal(known.GetFingerprint(), broken.fingerprint[:]) {
			return
		}
		parts += len(known.GetParts())
	}
	request := &hoistv1.BrokenRequest{Fingerprint: broken.fingerprint[:]}
	if parts+len(broken.parts) <= maxReportedParts {
		request.Parts = partsToProto(broken.parts)
	}
	report.Requests = append(report.Requests, request)
}

// reportOf returns the report of the crash of one start of an upstream. The caller holds the lock.
func (c *crashReports) reportOf(entry *registry.Entry) *hoistv1.StrikeRequest {
	for _, report := range c.pending {
		if report.GetUpstream() == entry.ID && report.GetUpstreamStart() == uint64(entry.StartID) {
			return report
		}
	}
	report := &hoistv1.StrikeRequest{Upstream: entry.ID, Zone: entry.Zone, UpstreamStart: uint64(entry.StartID)}
	c.pending = append(c.pending, report)
	return report
}

// take returns the collected reports and begins to collect new ones.
func (c *crashReports) take() []*hoistv1.StrikeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.pending
	c.pending = nil
	return reports
}

// sendCrashes reports crashes of upstreams to the other VMs.
func (s *Server) sendCrashes(reports []*hoistv1.StrikeRequest) {
	s.callPeers("failed to report crashes of upstreams", func(ctx context.Context, client hoistv1.FleetClient) error {
		for _, report := range reports {
			if _, err := client.Strike(ctx, report); err != nil {
				return err
			}
		}
		return nil
	})
}

// sendClears tells the other VMs of parts of prompts and of requests that were answered.
func (s *Server) sendClears(parts, requests []poison.Part) {
	request := &hoistv1.ClearPartsRequest{Parts: partsToProto(parts), Requests: partsToProto(requests)}
	s.callPeers("failed to report answered parts of prompts", func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.ClearParts(ctx, request)
		return err
	})
}

// callPeers makes a call to each reachable VM without waiting for the responses. A call that fails is
// logged with the message.
func (s *Server) callPeers(message string, call func(context.Context, hoistv1.FleetClient) error) {
	for _, peer := range s.gossip.reachable() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
			defer cancel()
			if err := s.peers.call(ctx, peer, call); err != nil {
				s.logger.Info(message, zap.String("peer", peer.Name), obs.ErrorField(err))
			}
		}()
	}
}

// errBrokenRequests reports a crash with too many requests, or with an invalid fingerprint.
var errBrokenRequests = status.Errorf(codes.InvalidArgument, "the report does not have at most %d requests with fingerprints of %d bytes", maxReportedRequests, fingerprintBytes)

// Strike records the crash of an upstream that another VM reported.
func (f fleetServer) Strike(_ context.Context, r *hoistv1.StrikeRequest) (*hoistv1.StrikeResponse, error) {
	requests, prompts, err := brokenRequests(r)
	if err != nil {
		f.s.metrics.crashReportsInvalid.Inc()
		return nil, err
	}
	f.s.upstreams.recordLost(r.GetUpstream(), int64(r.GetUpstreamStart()))
	f.s.parts.recordCrashes(r.GetUpstream(), int64(r.GetUpstreamStart()), requests, prompts)
	return &hoistv1.StrikeResponse{}, nil
}

// brokenRequests returns the keys of the requests of a report, and the parts of their prompts.
func brokenRequests(r *hoistv1.StrikeRequest) (requests []poison.Part, prompts [][]poison.Part, err error) {
	broken := r.GetRequests()
	if len(broken) == 0 && len(r.GetFingerprint()) > 0 {
		// The sender is of an older version.
		broken = []*hoistv1.BrokenRequest{{Fingerprint: r.GetFingerprint(), Parts: r.GetParts()}}
	}
	if len(broken) > maxReportedRequests {
		return nil, nil, errBrokenRequests
	}
	left := maxReportedParts
	for _, request := range broken {
		if len(request.GetFingerprint()) != fingerprintBytes {
			return nil, nil, errBrokenRequests
		}
		requests = append(requests, poison.Fingerprint(request.GetFingerprint()).RequestKey())
		parts := partsFromProto(request.GetParts(), left)
		prompts = append(prompts, parts)
		left -= len(parts)
	}
	return requests, prompts, nil
}
