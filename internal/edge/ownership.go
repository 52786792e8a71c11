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
	// unresponsiveHelloInterval is the time between two hello messages to an unresponsive VM.
	unresponsiveHelloInterval = 500 * time.Millisecond
	// ownerCheckTimeout bounds the check of an owner that another VM could not reach. The stage
	// that waits for it has about a second.
	ownerCheckTimeout = 200 * time.Millisecond
	// maxOwnerChecks bounds the owners that are checked for one call.
	maxOwnerChecks = 3
)

// owner returns the VM that owns a resource according to the directory of this VM, or this VM if
// the directory names no owner: a VM that shuts down and knows no other VM remains the owner.
func (g *gossip) owner(resource fleet.Resource) fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	if entry, ok := g.directory.Owner(g.now(), resource); ok {
		return entry
	}
	return g.directory.Self()
}

// ranking returns the VMs that may own a resource in order of preference.
func (g *gossip) ranking(resource string) []fleet.Entry {
	return g.rankingOf(fleet.Resource{Name: resource})
}

func (g *gossip) rankingOf(resource fleet.Resource) []fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Ranking(g.now(), resource)
}

// hasClaimed reports whether this VM claims a resource.
func (g *gossip) hasClaimed(resource string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.directory.Self()
	return self.Claimed(fleet.KeyOf(resource))
}

// isClaimed reports whether this VM or a reachable one claims a resource.
func (g *gossip) isClaimed(resource string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsClaimed(g.now(), fleet.Resource{Name: resource})
}

// unreachableZones returns the zones that have known VMs but no reachable one.
func (g *gossip) unreachableZones() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.UnreachableZones(g.now())
}

// suspectZones returns the zones that are probably cut off from this VM.
func (g *gossip) suspectZones() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.SuspectZones(g.now(), g.directory.Self().Zone)
}

// claim makes this VM the owner of a pool and announces it to the other VMs.
func (g *gossip) claim(pool string) {
	g.mu.Lock()
	isNew := g.directory.Claim(pool)
	g.mu.Unlock()
	if isNew {
		g.logger.Info("pool claimed", zap.String("pool", pool))
		g.announce()
	}
}

// updateClaims claims the pools that have no owner and that this VM should own, and returns the
// claims that it released.
func (g *gossip) updateClaims(resources []fleet.Resource) []fleet.ReleasedClaim {
	g.mu.Lock()
	claimed, released := g.directory.UpdateClaims(g.now(), resources)
	g.mu.Unlock()
	if len(claimed) > 0 {
		names := make([]string, 0, len(claimed))
		for _, resource := range claimed {
			names = append(names, resource.Name)
		}
		g.logger.Info("pools claimed", zap.Strings("pools", names))
	}
	if len(claimed)+len(released) > 0 {
		g.announce()
	}
	return released
}

// markUnresponsive excludes a VM that did not respond from ownership until a message from it
// arrives.
func (g *gossip) markUnresponsive(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.MarkUnresponsive(name)
	g.lastUnresponsiveCheck = g.now()
}

// sendHelloToUnresponsive sends a hello to the unresponsive VMs, which they answer if they are
// running.
func (g *gossip) sendHelloToUnresponsive(now clock.Instant) {
	g.mu.Lock()
	unresponsive := g.directory.Unresponsive(now)
	due := len(unresponsive) > 0 && now.Sub(g.lastUnresponsiveCheck) >= unresponsiveHelloInterval
	if due {
		g.lastUnresponsiveCheck = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	for _, entry := range unresponsive {
		g.writeDatagram(&hoistv1.Datagram{Hello: true}, g.gossipAddress(entry.Address))
	}
}

// recordNotOwners records VMs that said that they do not own a pool.
func (g *gossip) recordNotOwners(pool string, names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		g.directory.RecordNotOwner(pool, name)
	}
}

// recordRedirect records that a VM does not own a pool, and the owner that it named, if any. The
// owner may be new to this VM.
func (g *gossip) recordRedirect(pool, from string, owner fleet.Entry) {
	now := g.now()
	g.mu.Lock()
	g.directory.RecordNotOwner(pool, from)
	if owner.Name != "" {
		if g.directory.Merge(now, []fleet.Entry{owner}) {
			g.membership.SetMembers(now, g.directory.Members())
		}
		g.directory.RecordOwner(pool, owner.Name)
	}
	g.mu.Unlock()
	g.reportChanges()
}

// claimOrRedirect decides which VM handles a call that another VM sent to this one as the owner of
// a pool: this VM, which then claims the pool, or the owner that it returns. An owner that the
// caller could not reach is checked first, since the membership protocol takes longer to detect
// its loss than the call may take. If the directory names a VM that told the caller that it does
// not own the pool, this VM claims the pool, unless it is partitioned from all upstreams.
func (s *Server) claimOrRedirect(ctx context.Context, resource fleet.Resource, unresponsive, notOwners []string) (owner fleet.Entry, isOwner bool) {
	s.gossip.recordNotOwners(resource.Name, notOwners...)
	for range maxOwnerChecks {
		entry := s.gossip.owner(resource)
		if entry.Name == s.settings.VM || slices.Contains(notOwners, entry.Name) && !s.partition.isPartitioned() {
			s.gossip.claim(resource.Name)
			return fleet.Entry{}, true
		}
		if !slices.Contains(unresponsive, entry.Name) || s.isResponsive(ctx, entry) {
			return entry, false
		}
		s.logger.Warn("owner of a pool lost", zap.String("pool", resource.Name), zap.String("owner", entry.Name), zap.String("found_by", "a check"))
		s.gossip.markUnresponsive(entry.Name)
	}
	return fleet.Entry{}, false
}

// isResponsive reports whether a VM answers a ping within ownerCheckTimeout.
func (s *Server) isResponsive(ctx context.Context, entry fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
	defer cancel()
	conn, err := s.peers.conn(entry)
	if err != nil {
		return false
	}
	_, err = conn.client.Ping(ctx, &hoistv1.PingRequest{})
	return err == nil
}

// updatePoolClaims claims pools and hands over released ones according to the directory. A VM
// that has just started waits until it has had time to discover others.
func (s *Server) updatePoolClaims() {
	view := s.view.Load()
	if view == nil || view.Catalog == nil || s.now().Sub(s.startedAt) < discoveryTimeout {
		return
	}
	s.updateZones()
	for _, released := range s.gossip.updateClaims(s.ownableResources(view)) {
		s.handOver(released.Resource.Name, released.NewOwner)
		s.dropEngineRunner(released.Resource.Name)
	}
	s.dropForeignEngineRunners()
}
