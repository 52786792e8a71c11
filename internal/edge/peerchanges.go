package edge

import (
	"context"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// peerChanges is the response to a pull of a peer whose items are complete up to a position.
type peerChanges struct {
	complete bool
	// storeLost is set if the last read of the store by the responding VM failed or is overdue.
	storeLost bool
	unchanged bool
	at        replica.Position
	age       time.Duration
	changes   replica.Changes
	// version identifies the state of the items at the responding VM.
	version uint64
	// kept holds what outlives the era in which the store wrote it (see published.State.Kept).
	kept []replica.Item
}

// peerRequest is a pull of a peer.
type peerRequest struct {
	// after is the position up to which the items of the peer are complete.
	after replica.Position
	// asDelta is set if the peer understands removed items.
	asDelta bool
	// takesReferences is set if the peer understands items whose values are referred to.
	takesReferences bool
	// takesKept is set if the peer understands kept items. It then has the version of the configuration.
	takesKept bool
	version   int64
}

// changesAfter returns the changes for a peer. If there are none, it waits until the items are next known to
// be current, at most for the given time: a peer then learns of changes at once, and that there are none as
// soon as this VM does.
func (f *follower) changesAfter(ctx context.Context, request peerRequest, wait time.Duration) peerChanges {
	requested := request.after
	f.mu.Lock()
	refreshed, isNews := f.refreshed, f.hasNewsFor(request) || !f.state.Complete() || f.isLost
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
		complete: f.state.Complete(), at: f.state.Position(), age: f.now().Sub(f.state.FreshAt()),
		unchanged: !f.state.HasChangesSince(requested), storeLost: f.isLost, version: f.state.Version(),
	}
	if !changes.unchanged {
		changes.changes = f.state.ChangesSince(requested, request.asDelta)
		// A peer that takes no references turns to another VM if their values have not arrived.
		changes.complete = changes.complete && f.canAnswer(request)
	}
	if request.takesKept {
		changes.kept = f.state.Kept(request.version)
	}
	return changes
}

// hasNewsFor reports whether there are changes for a peer, and they can be sent. The caller holds the lock.
func (f *follower) hasNewsFor(request peerRequest) bool {
	return f.state.HasChangesSince(request.after) && f.canAnswer(request)
}

// canAnswer reports whether the changes for a peer can be sent: it takes references, or there are none among them. The
// caller holds the lock.
func (f *follower) canAnswer(request peerRequest) bool {
	return request.takesReferences || f.state.HasValuesAfter(request.after)
}

// mergeChanges applies the response to a pull that requested the changes after the given
// position and was current at freshAt. It reports whether the response is of the era of the items. One of an older
// version states none, and does not make the items current.
func (f *follower) mergeChanges(requested replica.Position, changes peerChanges, freshAt clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.FreshAt()
	if changes.at.Era == 0 && f.state.Position().Era > 0 {
		f.applyUpdate(f.state.OfferUnordered(f.now(), changes.changes, freshAt), fromPeer)
		return false
	}
	var update published.Update
	if changes.unchanged {
		update = f.state.Confirm(f.now(), requested, changes.at, freshAt)
	} else {
		update = f.state.Merge(f.now(), requested, changes.changes, changes.at, freshAt)
	}
	f.applyUpdate(update, fromPeer)
	f.applyUpdate(f.state.OfferKept(f.now(), changes.at, changes.kept), fromPeer)
	if update.NewEra != nil || f.state.FreshAt() > before {
		f.wakeWaiters()
	}
	f.requestValues()
	return changes.at.Era == f.state.Position().Era
}

// configurationVersion returns the version of the configuration in force, or 0.
func (f *follower) configurationVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.state.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// pullPosition returns the position after which a peer is asked for changes.
func (f *follower) pullPosition() replica.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.PullPosition()
}
