package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestMissingUpstreamIsRemovedWithinDrainTime lets the store return from a copy that lacks an upstream. It guards
// against an upstream that stays in service for longer than it drains, since expiries are looked at too rarely.
func TestMissingUpstreamIsRemovedWithinDrainTime(t *testing.T) {
	// The loop starts so late that its rounds end shortly before and long after the end of the grace.
	const drainTime, loopDelay = 2 * time.Second, 90 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		startedAt := time.Now()
		now := func() clock.Instant { return clock.Instant(time.Second + time.Since(startedAt)) }
		var changedAt clock.Instant
		f := newFollower(store, store.decode, now, zap.NewNop(), func(*View) { changedAt = now() }, func(string) bool { return false })
		store.put("tables", catalogWithKeys(1))
		content := store.copyContent()
		store.put("u/a", &catalog.Upstream{ID: "a", Pool: "p", StartID: 1})
		f.readStore(context.Background(), watchTimeout)
		store.returnFrom(content)
		for f.position().Era == 1 {
			f.readStore(context.Background(), watchTimeout)
		}
		missingAt := now()
		if len(f.state.Upstreams()) != 1 {
			t.Fatal("the upstream has no grace")
		}
		time.Sleep(loopDelay)
		for len(f.state.Upstreams()) > 0 && now().Sub(missingAt) < 2*drainTime {
			f.expireFor(context.Background(), peerPullInterval)
		}
		if kept := changedAt.Sub(missingAt); len(f.state.Upstreams()) > 0 || kept > drainTime {
			t.Errorf("the upstream stayed in service for %v or more", kept)
		}
	})
}
