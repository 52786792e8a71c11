package edge

import (
	"context"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// peerChanges is the response to a pull of a peer whose items are complete up to a revision.
type peerChanges struct {
	complete bool
	// storeLost is set if the last read of the store by the responding VM failed.
	storeLost bool
	unchanged bool
	revision  uint64
	age       time.Duration
	changes   replica.Changes
	// version identifies the state of the items at the responding VM.
	version uint64
}

// changesAfter returns the changes for a peer whose items are complete up to the revision. If there
// are none, it waits until the items are next known to be current, at most for the given time: a
// peer then learns of changes at once, and that there are none as soon as this VM does.
func (f *follower) changesAfter(ctx context.Context, revision uint64, wait time.Duration, asDelta bool) peerChanges {
	f.mu.Lock()
	refreshed, isNews := f.refreshed, f.replica.LastChangeRevision() > revision || !f.replica.Complete() || f.failures > 0
	f.mu.Unlock()
	if wait > 0 && !isNews {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-refreshed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := peerChanges{
		complete: f.replica.Complete(), revision: f.replica.Revision(), age: f.now().Sub(f.replica.FreshAt()),
		unchanged: f.replica.LastChangeRevision() <= revision, storeLost: f.failures > 0, version: f.version,
	}
	if !changes.unchanged {
		changes.changes = f.replica.ChangesSince(revision, asDelta)
	}
	return changes
}

// mergeChanges applies the response to a pull that requested the changes after the given
// revision and was current at freshAt.
func (f *follower) mergeChanges(requested uint64, changes peerChanges, freshAt clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordOutage()
	before := f.replica.FreshAt()
	if changes.unchanged {
		f.replica.Confirm(requested, changes.revision, freshAt)
	} else {
		f.applyItems(f.replica.Merge(changes.changes, changes.revision, freshAt))
	}
	if f.replica.FreshAt() > before {
		f.wakeWaiters()
	}
}

// revision returns the revision up to which the items are complete, or 0.
func (f *follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Revision()
}
