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
	// deathProbeTimeout bounds the check whether an upstream still accepts connections.
	deathProbeTimeout = 300 * time.Millisecond
	// strikeTimeout bounds telling a peer of a death.
	strikeTimeout = 500 * time.Millisecond
)

// fingerprintOf identifies a request that is sent again: by workspace, path and body.
func fingerprintOf(t *transfer) poison.Fingerprint {
	h := sha256.New()
	_, _ = io.WriteString(h, t.call.APIKey+"\x00"+t.r.Host+t.r.RequestURI+"\x00") // A hash accepts all writes.
	h.Write(t.body)
	var fp poison.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// poisonous reports whether the request must not run, since upstreams died of it.
func (s *Server) poisonous(t *transfer) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	verdict := s.poison.Check(s.now(), t.fingerprint)
	return verdict == poison.Refuse || verdict == poison.Wait
}

// suspect checks whether an upstream died while it ran the request, and tells the others.
func (s *Server) suspect(t *transfer, entry registry.Entry) {
	dialer := net.Dialer{Timeout: deathProbeTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp4", entry.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if t.ctx.Err() != nil {
		return
	}
	s.strike(t.fingerprint, entry.ID, entry.Zone)
	s.logger.Warn("upstream died while it ran a request", zap.String("request", t.call.ID), zap.String("upstream", entry.ID), obs.Reason(err))
	request := &hoistv1.StrikeRequest{Fingerprint: t.fingerprint[:], Upstream: entry.ID, Zone: entry.Zone}
	for _, other := range s.gossip.reachable() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
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

func (s *Server) strike(fp poison.Fingerprint, upstream, zone string) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.poison.RecordCrash(s.now(), fp, upstream, zone)
}

// Strike takes over that an upstream died while it ran a request.
func (f fleetServer) Strike(_ context.Context, r *hoistv1.StrikeRequest) (*hoistv1.StrikeResponse, error) {
	var fp poison.Fingerprint
	copy(fp[:], r.GetFingerprint())
	f.s.strike(fp, r.GetUpstream(), r.GetZone())
	return &hoistv1.StrikeResponse{}, nil
}
