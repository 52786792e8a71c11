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
	// crashProbeTimeout bounds the check whether an upstream still accepts connections.
	crashProbeTimeout = 300 * time.Millisecond
	// crashReportTimeout bounds telling a peer of a death.
	crashReportTimeout = 500 * time.Millisecond
)

// requestFingerprint identifies a request that is sent again: by workspace, path and body.
func requestFingerprint(t *transaction) poison.Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, t.call.Key+"\x00"+t.r.Host+t.r.RequestURI+"\x00") // A hash accepts all writes.
	h.Write(t.body)
	var fp poison.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// isPoisonRequest reports whether the request must not run, since upstreams died of it.
func (s *Server) isPoisonRequest(t *transaction) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	verdict := s.poison.Check(s.now(), t.fingerprint)
	return verdict == poison.Refuse || verdict == poison.Wait
}

// checkForCrash checks whether an upstream died while it ran the request, and tells the others.
func (s *Server) checkForCrash(t *transaction, entry registry.Entry) {
	dialer := net.Dialer{Timeout: crashProbeTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp4", entry.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if t.ctx.Err() != nil {
		return
	}
	s.recordCrash(t.fingerprint, entry.ID, entry.Zone)
	s.logger.Warn("upstream died while it ran a request", zap.String("request", t.call.ID), zap.String("upstream", entry.ID), obs.Reason(err))
	request := &hoistv1.StrikeRequest{Fingerprint: t.fingerprint[:], Upstream: entry.ID, Zone: entry.Zone}
	for _, other := range s.gossip.reachable() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
			defer cancel()
			err := s.peers.call(ctx, other, func(ctx context.Context, client hoistv1.FleetClient) error {
				_, err := client.Strike(ctx, request)
				return err
			})
			if err != nil {
				s.logger.Info("death of an upstream not told", zap.String("peer", other.Name), obs.Reason(err))
			}
		}()
	}
}

func (s *Server) recordCrash(fp poison.Fingerprint, upstream, zone string) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.poison.RecordCrash(s.now(), fp, upstream, zone)
}

// Strike takes over that an upstream died while it ran a request.
func (f fleetServer) Strike(_ context.Context, r *hoistv1.StrikeRequest) (*hoistv1.StrikeResponse, error) {
	var fp poison.Fingerprint
	copy(fp[:], r.GetFingerprint())
	f.s.recordCrash(fp, r.GetUpstream(), r.GetZone())
	return &hoistv1.StrikeResponse{}, nil
}
