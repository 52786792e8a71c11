package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

const (
	// watchTimeout is how long the store holds a watch without changes. Each response proves
	// that the tables are current, which is required to accept API keys.
	watchTimeout = 700 * time.Millisecond
	// substituteWatchTimeout is that for a VM that stands in for the readers: it asks for what is there.
	substituteWatchTimeout = time.Millisecond
	// readRetryDelay is the minimum delay after a failed read.
	readRetryDelay = 250 * time.Millisecond
	// staleTablesAge is the age at which the tables count as stale and are pulled from random
	// peers. It is longer than a watch and a held pull without changes take together.
	staleTablesAge = 1600 * time.Millisecond
	// lostReadersAge is the age from which on other VMs read the store if all its readers say that they
	// have lost it. It is longer than a watch.
	lostReadersAge = 800 * time.Millisecond
	// storeOutageAge is the age of the tables above which the store counts as unavailable to
	// all VMs, since no peer had newer tables.
	storeOutageAge = 2 * time.Second
	// changeBatchDelay is the delay after a watch that returned changes, so that a series of
	// changes takes few calls. It is far below the time within which changes must apply.
	changeBatchDelay = 200 * time.Millisecond
	// peerPullInterval is the time between two rounds of pulling stale tables from peers.
	peerPullInterval = 400 * time.Millisecond
	// peersPerPull is the number of peers in a round.
	peersPerPull = 2
)

// follower keeps a copy of the published items up to date, and builds views from it.
type follower struct {
	source Source
	decode Decoder
	now    func() clock.Instant
	logger *zap.Logger
	// onViewChange is called with each new view, and never concurrently.
	onViewChange func(*View)
	// onGap is called when the items are current again after a time in which changes may have been
	// missed, before the changes are applied.
	onGap func(now clock.Instant)
	// isClaimed reports whether a VM claims a shard. A VM that has just started learns from it how
	// the others have divided the pools.
	isClaimed func(name string) bool

	// mustList is set if the next read must be a listing. Only the reading goroutine uses it.
	mustList bool
	// hasChanges is set if the last watch returned changes. Only the reading goroutine uses it.
	hasChanges bool

	mu       sync.Mutex
	replica  *replica.Replica
	registry *registry.Registry
	catalog  *catalog.Catalog
	zonesOut map[string]bool
	// version counts the changes of the items.
	version uint64
	// view is the last one that was published.
	view     *View
	failures int
	// lossLogged is set after the loss of the store was logged, until its return.
	lossLogged bool
	// refreshed is closed when the items are next known to be current, and when a read fails.
	refreshed chan struct{}
}

func newFollower(source Source, decode Decoder, now func() clock.Instant, logger *zap.Logger, onViewChange func(*View), isClaimed func(name string) bool) *follower {
	return &follower{
		source: source, decode: decode, now: now, logger: logger, onViewChange: onViewChange, onGap: func(clock.Instant) {}, isClaimed: isClaimed,
		replica: replica.New(), registry: registry.New(), zonesOut: map[string]bool{}, refreshed: make(chan struct{}),
	}
}

// readStore lists or watches the store once, and then waits before the next read if needed. It reports
// whether the store answered. It has also answered if it dropped the changes: the next read lists all items.
// The store holds a watch for the wait time at most.
func (f *follower) readStore(ctx context.Context, wait time.Duration) bool {
	var err error
	if f.mustList || !f.isComplete() {
		err = f.list(ctx)
		f.mustList = err != nil
	} else {
		err = f.watch(ctx, wait)
		f.mustList = errors.Is(err, ErrHistoryGone)
	}
	if err != nil && ctx.Err() != nil {
		// The read was given up, which says nothing of the store.
		return false
	}
	f.recordRead(err)
	answered := err == nil || errors.Is(err, ErrHistoryGone)
	if err == nil && f.hasChanges {
		f.hasChanges = false
		sleep(ctx, changeBatchDelay)
	}
	if !answered {
		sleep(ctx, readRetryDelay+rand.N(readRetryDelay))
	}
	return answered
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *follower) isComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Complete()
}

func (f *follower) list(ctx context.Context) error {
	sentAt := f.now()
	items, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordOutage()
	f.applyItems(f.replica.Replace(items, revision, sentAt))
	f.wakeWaiters()
	return nil
}

func (f *follower) watch(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	after := f.replica.Revision()
	f.mu.Unlock()
	sentAt := f.now()
	items, revision, err := f.source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordOutage()
	f.applyItems(f.replica.Apply(items, revision, sentAt))
	f.wakeWaiters()
	f.hasChanges = len(items) > 0
	return nil
}

// recordOutage tells the registry of a store outage that has ended, before the removals of
// entries that expired during the outage are applied. If the store rejects only this VM, the
// tables from its peers are current and there is no outage. The caller holds the lock.
func (f *follower) recordOutage() {
	now := f.now()
	if f.replica.Complete() && now.Sub(f.replica.FreshAt()) > storeOutageAge {
		f.registry.SetStoreDown(now, true)
		f.registry.SetStoreDown(now, false)
		f.onGap(now)
	}
}

// recordRead counts failed reads, and logs when the store becomes unavailable and available.
func (f *follower) recordRead(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		if err != nil {
			f.logger.Info("store no longer has the changes after the revision; listing all items", zap.Uint64("revision", f.replica.Revision()))
		}
		if f.lossLogged {
			f.logger.Info("store regained", zap.Uint64("revision", f.replica.Revision()))
		}
		f.failures, f.lossLogged = 0, false
		return
	}
	f.failures++
	if f.failures == 1 {
		// Peers that wait here for changes must switch to another reader.
		f.wakeWaiters()
	}
	if !f.lossLogged {
		f.lossLogged = true
		f.logger.Warn("store lost", obs.ErrorField(err), zap.Duration("age", f.now().Sub(f.replica.FreshAt())))
	}
}

// applyItems applies changed items and publishes a new view. The caller holds the lock.
func (f *follower) applyItems(changed []replica.Item) {
	if len(changed) == 0 {
		return
	}
	now := f.now()
	f.version++
	for _, item := range changed {
		f.applyItem(now, item)
	}
	f.publishView()
}

func (f *follower) applyItem(now clock.Instant, item replica.Item) {
	if item.Deleted {
		f.removeItem(now, item)
		return
	}
	value, err := f.decode(item.Key, item.Value)
	if err != nil {
		// A malformed item names no upstream to use. The other items still apply.
		f.logger.Warn("published item ignored", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), obs.ErrorField(err))
		return
	}
	switch value := value.(type) {
	case *catalog.Catalog:
		if f.catalog != nil && value.Version <= f.catalog.Version {
			f.logger.Warn("configuration ignored: its version is not newer",
				zap.Int64("version", value.Version), zap.Int64("in_force", f.catalog.Version), zap.Uint64("revision", item.Revision))
			return
		}
		f.catalog = value
		f.logger.Info("configuration in force", zap.Int64("version", value.Version), zap.Uint64("revision", item.Revision),
			zap.Int("routes", len(value.Routes)))
	case *catalog.Upstream:
		f.registry.Put(now, *value)
		f.logger.Info("upstream registered", zap.String("upstream", value.ID), zap.String("pool", value.Pool),
			zap.String("address", value.Address), zap.Bool("draining", value.Draining), zap.Duration("cold_left", value.ColdRemaining),
			zap.Uint64("revision", item.Revision))
	case ZoneOut:
		f.zonesOut[string(value)] = true
		f.logger.Info("zone out of service", zap.String("zone", string(value)), zap.Uint64("revision", item.Revision))
	}
}

func (f *follower) removeItem(now clock.Instant, item replica.Item) {
	value, err := f.decode(item.Key, nil)
	if err != nil {
		f.logger.Warn("removed item ignored", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), obs.ErrorField(err))
		return
	}
	switch value := value.(type) {
	case ZoneOut:
		delete(f.zonesOut, string(value))
		f.logger.Info("zone back in service", zap.String("zone", string(value)), zap.Uint64("revision", item.Revision))
	case *catalog.Upstream:
		f.registry.Remove(now, value.ID)
		f.logger.Info("upstream entry removed", zap.String("upstream", value.ID), zap.Uint64("revision", item.Revision))
	}
}

// wakeWaiters wakes the pulls of peers. They wait for newer tables, or to learn that this VM cannot
// read the store. The caller holds the lock.
func (f *follower) wakeWaiters() {
	close(f.refreshed)
	f.refreshed = make(chan struct{})
}

// publishView makes the items that are known now the current view. The caller holds the lock.
func (f *follower) publishView() {
	f.view = f.buildView()
	f.onViewChange(f.view)
}

func (f *follower) buildView() *View {
	zones := make(map[string]bool, len(f.zonesOut))
	for zone := range f.zonesOut {
		zones[zone] = true
	}
	previous := f.view
	return newView(f.replica.Revision(), f.catalog, f.registry.Entries(), zones, func(name string) bool {
		return (previous != nil && previous.Shards[name] != nil) || f.isClaimed(name)
	})
}

// adoptShards divides the pools as the other VMs do. A VM that has just started may have
// divided them differently before it learned of the claims of the others.
func (f *follower) adoptShards() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil || !f.view.hasOpenShards {
		return
	}
	view := f.buildView()
	for name := range view.Shards {
		if f.view.Shards[name] == nil {
			f.view = view
			f.onViewChange(view)
			return
		}
	}
}

// expireUpstreams removes upstreams whose entries were not published again in time.
func (f *follower) expireUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry.Tick(f.now()) {
		f.publishView()
	}
}

// freshAt returns the latest time at which the tables are known to have been current.
func (f *follower) freshAt() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.FreshAt()
}

// age returns the time since the tables were last known to be current, and whether this VM has
// complete tables.
func (f *follower) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.replica.FreshAt()), f.replica.Complete()
}
