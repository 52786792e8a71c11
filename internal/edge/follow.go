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
	// watchWait is how long the store holds a watch without changes. Each return proves
	// that the tables are current, which requests with keys depend on.
	watchWait = 700 * time.Millisecond
	// readPause is the pause after a failed read.
	readPause = 250 * time.Millisecond
	// staleAge is the age of the tables from which peers are asked for theirs. It is above
	// what a watch and a held call without changes take together.
	staleAge = 1600 * time.Millisecond
	// outageAge is the age of the tables that counts as an outage of the store for all VMs,
	// since nobody had newer ones.
	outageAge = 2 * time.Second
	// watchGap is the pause after a watch that brought changes, so that a series of them
	// takes few calls. It is far below the times in which changes must be in force.
	watchGap = 80 * time.Millisecond
	// rescueInterval is the time between two rounds of asking peers.
	rescueInterval = 400 * time.Millisecond
	// rescuePeers is the number of peers asked in a round.
	rescuePeers = 2
)

// follower keeps the published items and the view made from them.
type follower struct {
	source Source
	decode Decoder
	now    func() clock.Instant
	logger *zap.Logger
	// changed is called with each new view, not concurrently.
	changed func(*View)

	// relist is set if the next read is a listing; it belongs to the reading goroutine.
	relist bool
	// hasNews is set if the last watch brought changes; it belongs to the same goroutine.
	hasNews bool

	mu       sync.Mutex
	replica  *replica.Replica
	registry *registry.Registry
	catalog  *catalog.Catalog
	zonesOut map[string]bool
	failures int
	// reported is set while the log says that the store is lost.
	reported bool
	// news is closed at the next change.
	news chan struct{}
}

func newFollower(source Source, decode Decoder, now func() clock.Instant, logger *zap.Logger, changed func(*View)) *follower {
	return &follower{
		source: source, decode: decode, now: now, logger: logger, changed: changed,
		replica: replica.New(), registry: registry.New(), zonesOut: map[string]bool{}, news: make(chan struct{}),
	}
}

// read lists or watches the store once.
func (f *follower) read(ctx context.Context) {
	var err error
	if f.relist || !f.complete() {
		err = f.list(ctx)
		f.relist = err != nil
	} else {
		err = f.watch(ctx)
		f.relist = errors.Is(err, ErrHistoryGone)
	}
	f.note(err)
	if err == nil && f.hasNews {
		f.hasNews = false
		pause(ctx, watchGap)
	}
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		pause(ctx, readPause+rand.N(readPause))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *follower) complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Complete()
}

func (f *follower) list(ctx context.Context) error {
	sent := f.now()
	items, revision, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteGap()
	f.take(f.replica.Replace(items, revision, sent))
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	f.mu.Lock()
	after := f.replica.Revision()
	f.mu.Unlock()
	sent := f.now()
	items, revision, err := f.source.Watch(ctx, after, watchWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteGap()
	f.take(f.replica.Apply(items, revision, sent))
	f.hasNews = len(items) > 0
	return nil
}

// noteGap tells the registry of an outage that has ended, before the entries that lapsed in
// it are taken over. A VM that is turned away alone has current tables from its peers, and
// sees no outage. The caller holds the lock.
func (f *follower) noteGap() {
	now := f.now()
	if f.replica.Complete() && now.Sub(f.replica.FreshAt()) > outageAge {
		f.registry.SetStoreDown(now, true)
		f.registry.SetStoreDown(now, false)
	}
}

// note counts failed reads, and logs the loss and the return of the store.
func (f *follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		if err != nil {
			f.logger.Info("store history gone; listing again", zap.Uint64("revision", f.replica.Revision()))
		}
		if f.reported {
			f.logger.Info("store regained", zap.Uint64("revision", f.replica.Revision()))
		}
		f.failures, f.reported = 0, false
		return
	}
	f.failures++
	if f.failures == 1 {
		// Peers that wait here for changes turn to another reader.
		f.signal()
	}
	if !f.reported {
		f.reported = true
		f.logger.Warn("store lost", obs.Reason(err), zap.Duration("age", f.now().Sub(f.replica.FreshAt())))
	}
}

// take decodes changed items and publishes a new view. The caller holds the lock.
func (f *follower) take(changed []replica.Item) {
	if len(changed) == 0 {
		return
	}
	now := f.now()
	for _, item := range changed {
		f.takeItem(now, item)
	}
	f.publish()
}

func (f *follower) takeItem(now clock.Instant, item replica.Item) {
	if item.Deleted {
		f.remove(now, item)
		return
	}
	value, err := f.decode(item.Key, item.Value)
	if err != nil {
		// A malformed item names no upstream to use; the others hold.
		f.logger.Warn("published item ignored", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), obs.Reason(err))
		return
	}
	switch value := value.(type) {
	case *catalog.Catalog:
		if f.catalog != nil && value.Version <= f.catalog.Version {
			f.logger.Warn("configuration ignored; its version is not newer",
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

func (f *follower) remove(now clock.Instant, item replica.Item) {
	value, err := f.decode(item.Key, nil)
	if err != nil {
		f.logger.Warn("removed item ignored", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), obs.Reason(err))
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

// signal wakes peers that wait for news. The caller holds the lock.
func (f *follower) signal() {
	close(f.news)
	f.news = make(chan struct{})
}

func (f *follower) publish() {
	f.signal()
	zones := make(map[string]bool, len(f.zonesOut))
	for zone := range f.zonesOut {
		zones[zone] = true
	}
	f.changed(newView(f.replica.Revision(), f.catalog, f.registry.Entries(), zones))
}

// tick removes upstreams whose entries did not come back.
func (f *follower) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry.Tick(f.now()) {
		f.publish()
	}
}

// age returns the time since the tables were known to be current, and whether there are any.
func (f *follower) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.replica.FreshAt()), f.replica.Complete()
}

// offer is what a peer gets that is complete up to a revision.
type offer struct {
	complete bool
	// lost is set if this VM cannot read the store at present.
	lost      bool
	unchanged bool
	revision  uint64
	age       time.Duration
	items     []replica.Item
	keys      []string
}

// share waits for a change after the revision, or for the given time, and returns what a
// peer needs that is complete up to it.
func (f *follower) share(ctx context.Context, revision uint64, wait time.Duration) offer {
	f.mu.Lock()
	news, changed := f.news, f.replica.LastChangeRevision() > revision || !f.replica.Complete() || f.failures > 0
	f.mu.Unlock()
	if wait > 0 && !changed {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o := offer{
		complete: f.replica.Complete(), revision: f.replica.Revision(), age: f.now().Sub(f.replica.FreshAt()),
		unchanged: f.replica.LastChangeRevision() <= revision, lost: f.failures > 0,
	}
	if !o.unchanged {
		o.items, o.keys = f.replica.ChangesSince(revision)
	}
	return o
}

// merge takes over what a peer offered to this VM when it was complete up to the asked
// revision.
func (f *follower) merge(asked uint64, o offer, fresh clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteGap()
	if o.unchanged {
		f.replica.Confirm(asked, o.revision, fresh)
		return
	}
	f.take(f.replica.Merge(o.items, o.keys, o.revision, fresh))
}

// revision returns the revision up to which the copy is complete, 0 for none.
func (f *follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Revision()
}
