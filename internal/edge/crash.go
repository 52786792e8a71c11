package edge

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

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
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	verdict := s.poison.Check(s.now(), t.fingerprint)
	return verdict == poison.Refuse || verdict == poison.Wait
}

// checkForCrash checks whether an upstream crashed while it ran the request. It records a crash
// and reports it to the other VMs. If the upstream's zone is probably cut off, silence says nothing
// about the request.
func (s *Server) checkForCrash(t *transaction, entry *registry.Entry) {
	if s.isZoneSuspect(entry.Zone) {
		return
	}
	dialer := net.Dialer{Timeout: crashProbeTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp4", entry.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if t.ctx.Err() != nil {
		return
	}
	var parts []poison.Part
	if t.events == 0 {
		parts = t.promptParts()
	}
	s.upstreams.recordLost(entry.ID, entry.StartID)
	s.recordCrash(t.fingerprint, entry.ID, entry.Zone)
	s.parts.recordCrash(entry.ID, entry.StartID, parts)
	s.logger.Warn("upstream died while it ran a request", zap.String("request", t.requestInfo.ID), zap.String("upstream", entry.ID),
		zap.String("route", t.route.Name), zap.Strings("prompt_parts", t.sharedParts()), obs.ErrorField(err))
	request := &hoistv1.StrikeRequest{
		Fingerprint: t.fingerprint[:], Upstream: entry.ID, Zone: entry.Zone, Parts: partsToProto(parts), UpstreamStart: uint64(entry.StartID),
	}
	s.callPeers("failed to report the crash of an upstream", func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.Strike(ctx, request)
		return err
	})
}

// sendClears tells the other VMs of parts of prompts that were answered.
func (s *Server) sendClears(parts []poison.Part) {
	request := &hoistv1.ClearPartsRequest{Parts: partsToProto(parts)}
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

func (s *Server) recordCrash(fp poison.Fingerprint, upstream, zone string) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.poison.RecordCrash(s.now(), fp, upstream, zone)
}

// Strike records the crash of an upstream that another VM reported.
func (f fleetServer) Strike(_ context.Context, r *hoistv1.StrikeRequest) (*hoistv1.StrikeResponse, error) {
	var fp poison.Fingerprint
	copy(fp[:], r.GetFingerprint())
	f.s.upstreams.recordLost(r.GetUpstream(), int64(r.GetUpstreamStart()))
	f.s.recordCrash(fp, r.GetUpstream(), r.GetZone())
	f.s.parts.recordCrash(r.GetUpstream(), int64(r.GetUpstreamStart()), partsFromProto(r.GetParts()))
	return &hoistv1.StrikeResponse{}, nil
}
