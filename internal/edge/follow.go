package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
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
	// changeBatchDelay is the delay after a watch that returned changes, so that a series of
	// changes takes few calls. It is far below the time within which changes must apply.
	changeBatchDelay = 200 * time.Millisecond
	// peerPullInterval is the time between two rounds of pulling stale tables from peers.
	peerPullInterval = 400 * time.Millisecond
	// peersPerPull is the number of peers in a round.
	peersPerPull = 2
	// keptPullRounds is the number of rounds of pulls from peers after the first tables and each change of the
	// era. A first peer may itself have just started.
	keptPullRounds = 5
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
	// onNewEra is called when the items are of a higher era.
	onNewEra func(change *published.EraChange)
	// isClaimed reports whether a VM claims a shard. A VM that has just started learns from it how
	// the others have divided the pools.
	isClaimed func(name string) bool

	// mustList is set if the next read must be a listing. Only the reading goroutine uses it.
	mustList bool
	// hasChanges is set if the last watch returned changes. Only the reading goroutine uses it.
	hasChanges bool

	mu    sync.Mutex
	state *published.State
	// view is the last one that was published.
	view *View
	// isLost is set if the last read failed or is overdue.
	isLost bool
	// keptPulls is the number of rounds of pulls that are left in which peers are asked for what outlives the
	// era in which the store wrote it: a VM that reads the store asks no peer otherwise.
	keptPulls int
	// lossLogged is set after the loss of the store was logged, until its return.
	lossLogged bool
	// refreshed is closed when the items are next known to be current or a value arrives, and when a read fails.
	refreshed chan struct{}
	// values keeps the large values for other VMs. It has its own lock, since to encode one takes milliseconds.
	values largeValues
	// valueWanted has an entry while values may be outstanding.
	valueWanted chan struct{}
}

func newFollower(source Source, decode Decoder, now func() clock.Instant, logger *zap.Logger, onViewChange func(*View), isClaimed func(name string) bool) *follower {
	return &follower{
		source: source, now: now, logger: logger, onViewChange: onViewChange, onGap: func(clock.Instant) {}, onNewEra: func(*published.EraChange) {}, isClaimed: isClaimed,
		state: published.New(decode), decode: decode, refreshed: make(chan struct{}), valueWanted: make(chan struct{}, 1), keptPulls: keptPullRounds,
	}
}

// storeRead is the end of a read of the store.
type storeRead struct {
	// answered is also set if the store dropped the changes: the next read lists all items.
	answered bool
	// delay is how long to wait before the next read.
	delay time.Duration
}

// readStore lists or watches the store once. The store holds a watch for the wait time at most.
func (f *follower) readStore(ctx context.Context, wait time.Duration) storeRead {
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
		return storeRead{}
	}
	if errors.Is(err, errOvertaken) {
		return storeRead{answered: true}
	}
	f.recordRead(err)
	switch {
	case err != nil && !errors.Is(err, ErrHistoryGone):
		return storeRead{delay: readRetryDelay + rand.N(readRetryDelay)}
	case err == nil && f.hasChanges:
		f.hasChanges = false
		return storeRead{answered: true, delay: changeBatchDelay}
	}
	return storeRead{answered: true}
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
	return f.state.Complete()
}

func (f *follower) list(ctx context.Context) error {
	before := f.position()
	sentAt := f.now()
	items, at, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.decodeLarge(items)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkEra(before, at); err != nil {
		return err
	}
	f.applyUpdate(f.state.List(f.now(), items, at, sentAt), fromStore)
	f.wakeWaiters()
	return nil
}

func (f *follower) watch(ctx context.Context, wait time.Duration) error {
	after := f.position()
	sentAt := f.now()
	items, at, err := f.source.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	f.decodeLarge(items)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkEra(after, at); err != nil {
		return err
	}
	if at.Era > after.Era {
		// The changes after the revision are others in another era.
		return ErrHistoryGone
	}
	f.applyUpdate(f.state.Watch(f.now(), items, at, sentAt), fromStore)
	f.wakeWaiters()
	f.hasChanges = len(items) > 0
	return nil
}

// errOvertaken reports an answer of the store that is of an earlier era than the items, since a peer sent those
// of a higher one during the read. It is no failure of the store.
var errOvertaken = errors.New("a peer sent items of a higher era during the read")

// checkEra returns an error for an answer of the store that is of an earlier era than the items, or states
// none: it is late, or malformed. The read began at the given position. The caller holds the lock.
func (f *follower) checkEra(before, at replica.Position) error {
	known := f.state.Position()
	switch {
	case at.Era >= known.Era:
		return nil
	case at.Era >= before.Era && before.Era < known.Era:
		return errOvertaken
	}
	return errors.Newf("the store answered with era %d after era %d", at.Era, known.Era)
}

// startKeptPull reports whether a round of pulls for kept items is due, and counts it if there are peers.
func (f *follower) startKeptPull(peers int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.Complete() || f.keptPulls == 0 || peers == 0 {
		return false
	}
	f.keptPulls--
	return true
}

// applyUpdate logs an update of the state and publishes a new view if there are changes. The caller holds
// the lock.
func (f *follower) applyUpdate(update published.Update, from updateSource) {
	if update.HasGap {
		f.onGap(f.now())
	}
	f.logUpdate(update, from)
	for _, d := range update.Decisions {
		f.values.add(d.Item.Value)
	}
	if update.NewEra != nil {
		f.keptPulls = keptPullRounds
		f.onNewEra(update.NewEra)
	}
	if update.HasChanges {
		f.publishView()
	}
}

// recordRead counts failed reads, and logs when the store becomes unavailable and available.
func (f *follower) recordRead(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		if err != nil {
			f.logger.Info("store no longer has the changes after the revision; listing all items", positionField(f.state.Position()))
		}
		if f.lossLogged {
			f.logger.Info("store regained", positionField(f.state.Position()))
		}
		f.lossLogged = false
		f.recordLoss(false)
		return
	}
	f.recordLoss(true)
	if !f.lossLogged {
		f.lossLogged = true
		f.logger.Warn("store lost", obs.ErrorField(err), zap.Duration("age", f.now().Sub(f.state.FreshAt())))
	}
}

// hasLostStore reports whether the store does not answer.
func (f *follower) hasLostStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLost
}

// setLost records whether the store does not answer: the last read failed, or is overdue.
func (f *follower) setLost(isLost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLoss(isLost)
}

// recordLoss is setLost for callers that hold the lock. Peers that wait here for changes must switch to another
// reader once it is lost.
func (f *follower) recordLoss(isLost bool) {
	if isLost && !f.isLost {
		f.wakeWaiters()
	}
	f.isLost = isLost
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
	previous := f.view
	return newView(f.state.Position(), f.state.Configuration(), f.state.Upstreams(), f.state.ZonesOut(), func(name string) bool {
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

// expire ends what was kept or withheld for a time, such as upstreams whose entries were not published again.
func (f *follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyUpdate(f.state.Tick(f.now()), fromClock)
}

// position returns the position up to which the items are complete.
func (f *follower) position() replica.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Position()
}

// freshAt returns the latest time at which the tables are known to have been current.
func (f *follower) freshAt() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.FreshAt()
}

// configurationAge returns the time since the configuration in force was last known to be the latest one.
func (f *follower) configurationAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.state.ConfigurationFreshAt())
}

// age returns the time since the tables were last known to be current, and whether this VM has
// complete tables. The value of a later configuration may not have arrived (see configurationAge).
func (f *follower) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.state.FreshAt()), f.state.Complete()
}
