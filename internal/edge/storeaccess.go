package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// readAsSubstitute reads the store once in place of its readers, and reports whether the tables are newer then.
// It gives the read up as soon as a peer has sent newer ones, since the store may not answer this VM.
func (s *Server) readAsSubstitute(ctx context.Context) bool {
	before := s.follower.freshAt()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		s.awaitPeerTables(ctx, substituteReadTimeout)
	}()
	return s.readStore(ctx, substituteWatchTimeout, fleet.NoStoreAccess) || s.follower.freshAt() > before
}

// readStore reads the store once, and reports whether it answered. It tells the other VMs that this VM reads
// the store, or else the given access.
func (s *Server) readStore(ctx context.Context, wait time.Duration, otherwise fleet.StoreAccess) bool {
	answered := s.follower.readStore(ctx, wait)
	if answered {
		s.gossip.setStoreAccess(fleet.ReadsStore)
	} else {
		s.gossip.setStoreAccess(otherwise)
	}
	return answered
}

// setStoreAccess tells the other VMs whether this VM reads the store, if that has changed.
func (g *gossip) setStoreAccess(access fleet.StoreAccess) {
	g.mu.Lock()
	before := g.directory.SetStoreAccess(access)
	g.mu.Unlock()
	if before != access {
		g.logger.Info("access to the store", zap.Bool("reads", access == fleet.ReadsStore), zap.Bool("lost", access == fleet.LostStore))
		g.announce()
	}
}

// awaitPeerTables waits for a time, or until a peer has sent newer tables that are not stale.
func (s *Server) awaitPeerTables(ctx context.Context, wait time.Duration) {
	before := s.follower.freshAt()
	until := s.now().Add(wait)
	for ctx.Err() == nil && s.now() < until {
		if age, complete := s.follower.age(); complete && age < staleTablesAge && s.follower.freshAt() > before {
			return
		}
		sleep(ctx, overdueCheckInterval)
		s.pullFromReader(ctx)
	}
}

// pullFromReader pulls the tables for a VM that cannot read the store, if it knows of another one that can.
func (s *Server) pullFromReader(ctx context.Context) {
	ranking := s.gossip.ranking(readerRankingKey)
	readers := slices.DeleteFunc(fleet.KnownReaders(ranking, storeReaderCount), func(e fleet.Entry) bool {
		return e.Name == s.settings.VM
	})
	if len(readers) == 0 {
		return
	}
	_, complete := s.follower.age()
	// There are no sources while this VM leaves and reaches no other one.
	if sources := s.pullSources(ranking, readers, complete); len(sources) > 0 {
		s.pullFrom(ctx, sources[rand.IntN(len(sources))], 0)
	}
}
