package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// overdueMargin is the time beyond its wait time after which a watch counts as overdue. The store answers within a
// few milliseconds; a slow one that answers later costs reads by other VMs.
const overdueMargin = 200 * time.Millisecond

// readForOthers reads the store once as one of its readers. While the store does not answer, and while a large answer
// arrives, this VM pulls the tables from others that it answers.
func (s *Server) readForOthers(ctx context.Context) {
	reads, parts := make(chan storeRead, 1), make(chan struct{}, 1)
	readCtx := WithReadProgress(ctx, func() {
		select {
		case parts <- struct{}{}:
		default: // A part has arrived since the last check.
		}
	})
	go func() { reads <- s.follower.readStore(readCtx, watchTimeout) }()
	if !s.follower.hasLostStore() {
		select {
		case read := <-reads:
			s.endRead(ctx, read)
			return
		case <-time.After(watchTimeout + overdueMargin):
		}
	}
	pullCtx, stop := context.WithCancel(ctx)
	pulls := make(chan struct{})
	go func() {
		defer close(pulls)
		s.pullWhileLost(pullCtx)
	}()
	s.endRead(ctx, s.awaitOverdueRead(reads, parts))
	stop()
	<-pulls
}

// awaitOverdueRead waits for a read that has lasted longer than a watch, and says that the store is lost when no part
// of the answer arrives any more.
func (s *Server) awaitOverdueRead(reads <-chan storeRead, parts <-chan struct{}) storeRead {
	for {
		select {
		case <-parts:
		default:
			s.reportOverdue()
		}
		select {
		case read := <-reads:
			return read
		case <-time.After(overdueMargin):
		}
	}
}

// reportOverdue says that the store does not answer this reader, if it has not said so yet.
func (s *Server) reportOverdue() {
	if s.follower.hasLostStore() {
		return
	}
	s.logger.Info("answer of the store overdue", zap.Duration("after", watchTimeout+overdueMargin))
	s.follower.setLost(true)
	s.gossip.setStoreAccess(fleet.LostStore)
}

// endRead tells the other VMs whether the store has answered this reader, and waits before the next read.
func (s *Server) endRead(ctx context.Context, read storeRead) {
	access := fleet.LostStore
	if read.answered {
		access = fleet.ReadsStore
	}
	s.follower.setLost(!read.answered)
	s.gossip.setStoreAccess(access)
	sleep(ctx, read.delay)
}

// pullWhileLost pulls the tables from VMs that read the store until the context ends. While none is known to, any
// VM may have changes that another reader got last.
func (s *Server) pullWhileLost(ctx context.Context) {
	for ctx.Err() == nil {
		if s.pullFromReader(ctx, pullHoldTime) {
			continue
		}
		if reachable := s.gossip.reachable(); len(reachable) > 0 {
			s.pullFrom(ctx, reachable[rand.IntN(len(reachable))], 0)
		}
		sleep(ctx, pullRetryDelay)
	}
}

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
	read := s.follower.readStore(ctx, substituteWatchTimeout)
	access := fleet.NoStoreAccess
	if read.answered {
		access = fleet.ReadsStore
	}
	s.gossip.setStoreAccess(access)
	sleep(ctx, read.delay)
	return read.answered || s.follower.freshAt() > before
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
		if age, complete := s.follower.age(); complete && age < fleet.StaleTablesAge && s.follower.freshAt() > before {
			return
		}
		sleep(ctx, overdueCheckInterval)
		s.pullFromReader(ctx, 0)
	}
}

// pullFromReader pulls the tables for a VM that cannot read the store, if it knows of another one that can. That
// one holds the pull for the given time if it has no changes. It reports whether this VM is then up to date.
func (s *Server) pullFromReader(ctx context.Context, hold time.Duration) bool {
	readers := s.otherReaders()
	if len(readers) == 0 {
		return false
	}
	_, complete := s.follower.age()
	// There are no sources while this VM leaves and reaches no other one.
	sources := s.pullSources(fleet.Alike(s.gossip.rankingOf(storeReaders)), readers, complete)
	return len(sources) > 0 && s.pullFrom(ctx, sources[rand.IntN(len(sources))], hold)
}

// otherReaders returns the other VMs that are known to read the store.
func (s *Server) otherReaders() []fleet.Entry {
	return fleet.NewTablePeers(s.settings.VM, s.gossip.rankingOf(storeReaders)).OtherReaders()
}
