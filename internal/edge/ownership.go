package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

const (
	// unresponsiveHelloInterval is the time between two messages that ask a doubted VM for a sign of life.
	unresponsiveHelloInterval = 500 * time.Millisecond
	// ownerCheckTimeout bounds the check of an owner that another VM could not reach. The
	// stage that waits for it has about a second.
	ownerCheckTimeout = 200 * time.Millisecond
	// maxOwnerChecks bounds the owners that are checked for one call.
	maxOwnerChecks = 3
)

// owner returns the VM that owns a pool as far as this one knows. A VM that shuts down and
// knows no other is the owner to the end.
func (g *gossip) owner(pool string) fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	if entry, ok := g.roster.Owner(g.now(), pool); ok {
		return entry
	}
	return g.roster.Self()
}

// ranking returns the VMs in the order of preference for a name.
func (g *gossip) ranking(name string) []fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Ranking(g.now(), name)
}

// claim makes this VM the owner of a pool and tells the others.
func (g *gossip) claim(pool string) {
	g.mu.Lock()
	isNew := g.roster.Claim(pool)
	g.mu.Unlock()
	if isNew {
		g.logger.Info("pool claimed", zap.String("pool", pool))
		g.announce()
	}
}

// updateClaims claims the pools that nobody owns and this VM should own, and returns those that it
// gave up.
func (g *gossip) updateClaims(pools []string) []fleet.ReleasedClaim {
	g.mu.Lock()
	claimed, yielded := g.roster.UpdateClaims(g.now(), pools)
	g.mu.Unlock()
	if len(claimed) > 0 {
		g.logger.Info("pools claimed", zap.Strings("pools", claimed))
	}
	if len(claimed)+len(yielded) > 0 {
		g.announce()
	}
	return yielded
}

// markUnresponsive excludes a VM that did not answer from ownership until it is heard of again.
func (g *gossip) markUnresponsive(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.MarkUnresponsive(name)
	g.lastDoubt = g.now()
}

// sendHelloToUnresponsive asks the VMs that did not answer a call for a message.
func (g *gossip) sendHelloToUnresponsive(now clock.Instant) {
	g.mu.Lock()
	doubted := g.roster.Unresponsive(now)
	due := len(doubted) > 0 && now.Sub(g.lastDoubt) >= unresponsiveHelloInterval
	if due {
		g.lastDoubt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	for _, entry := range doubted {
		g.write(&hoistv1.Datagram{Hello: true}, g.gossipAddress(entry.Address))
	}
}

// recordOwnership takes over from a call which VM owns a pool, and which VMs said that they do not.
func (g *gossip) recordOwnership(pool, owner string, others ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range others {
		g.roster.RecordNotOwner(pool, other)
	}
	if owner != "" {
		g.roster.RecordOwner(pool, owner)
	}
}

// claimOrRedirect makes this VM the owner of a pool for a call of another VM that takes it for the
// owner, unless a third one owns it: then it returns that one. Owners that the caller could
// not reach are checked first, since waiting for membership to find them lost takes longer
// than the call has. If it would be a VM that told the caller that it does not own the pool,
// this one does.
func (s *Server) claimOrRedirect(ctx context.Context, pool string, lost, denied []string) (owner string, isOwn bool) {
	s.gossip.recordOwnership(pool, "", denied...)
	for range maxOwnerChecks {
		entry := s.gossip.owner(pool)
		if entry.Name == s.settings.VM || slices.Contains(denied, entry.Name) {
			s.gossip.claim(pool)
			return "", true
		}
		if !slices.Contains(lost, entry.Name) || s.isResponsive(ctx, entry) {
			return entry.Name, false
		}
		s.logger.Warn("owner of a pool lost", zap.String("pool", pool), zap.String("owner", entry.Name), zap.String("found_by", "a check"))
		s.gossip.markUnresponsive(entry.Name)
	}
	return "", false
}

// isResponsive reports whether a VM answers at once.
func (s *Server) isResponsive(ctx context.Context, entry fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
	defer cancel()
	conn, err := s.peers.get(entry)
	if err != nil {
		return false
	}
	_, err = conn.client.Ping(ctx, &hoistv1.PingRequest{})
	return err == nil
}

// updatePoolClaims claims and hands over pools as the directory says.
func (s *Server) updatePoolClaims() {
	view := s.view.Load()
	if view == nil || view.Catalog == nil || s.now().Sub(s.startedAt) < startWait {
		return
	}
	pools := view.stagePoolNames()
	for _, y := range s.gossip.updateClaims(pools) {
		s.handOver(y.Name, y.NewOwner)
	}
}
