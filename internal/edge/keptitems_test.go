package edge

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// maxRemovedKeyTime is how long a removed key may run.
const maxRemovedKeyTime = 5 * time.Second

// TestVMStartedAfterReturnHonoursRemovedKey guards against a key that a lost configuration removed, and that
// runs again on a VM that starts after the return of the store, although all other VMs still know better.
func TestVMStartedAfterReturnHonoursRemovedKey(t *testing.T) {
	for restarted := range fleet.StoreReaderCount + 1 {
		t.Run(fmt.Sprint("vm-", restarted), func(t *testing.T) {
			f := startFleet(t, fleet.StoreReaderCount+1, nil)
			u := newTestUpstream(t, "u", nil)
			f.publish(catalogWithKeys(1, "kept", "removed"), catalogUpstreams("p", u)...)
			content := f.store.copyContent()
			f.store.put("tables", catalogWithKeys(2, "kept"))
			awaitVersion := func(vm int, version int64) {
				await(t, fmt.Sprint("version on ", vm), func() bool {
					view := f.servers[vm].view.Load()
					return view != nil && view.Catalog != nil && view.Catalog.Version >= version
				})
			}
			for vm := range f.servers {
				awaitVersion(vm, 2)
			}
			f.store.returnFrom(content)
			for _, s := range f.servers {
				await(t, "the new era", func() bool { return s.follower.position().Era == 2 })
			}
			settings := f.servers[restarted].settings
			f.stops[restarted]()
			<-f.done[restarted]
			f.start(settings)
			last := len(f.servers) - 1
			awaitVersion(last, 1)
			startedAt := time.Now()
			entry := catalogUpstreams("p", u)[0]
			await(t, "the version that the others keep", func() bool {
				f.store.put("u/u", &entry)
				return f.servers[last].follower.configurationVersion() == 2
			})
			if elapsed := time.Since(startedAt); elapsed > maxRemovedKeyTime {
				t.Errorf("the removed key ran for %v after the first tables", elapsed)
			}
			if status := f.statusWithKey(last, "r", "removed"); status != http.StatusUnauthorized {
				t.Errorf("status %d with a removed key", status)
			}
		})
	}
}

// TestFirstReturnFromEraZero guards against VMs that never get the tables of the first era that the store states,
// since they pull with era 0, which is compared by the revision.
func TestFirstReturnFromEraZero(t *testing.T) {
	f := startFleetWith(t, fleet.StoreReaderCount+1, nil, func(*Server) {})
	f.store.era = 0
	u := newTestUpstream(t, "u", nil)
	f.publish(catalogWithKeys(1, "kept", "removed"), catalogUpstreams("p", u)...)
	content := f.store.copyContent()
	entry := catalogUpstreams("p", u)[0]
	for range 40 {
		f.store.put("u/u", &entry)
	}
	lost := f.store.currentRevision()
	for _, s := range f.servers {
		await(t, "lost writes", func() bool { return s.follower.position().Revision >= lost })
		t.Logf("%s at %v", s.settings.VM, s.follower.position())
	}
	for _, source := range f.sources[1:] {
		source.rejected.Store(true)
	}
	f.store.returnFrom(content)
	start := time.Now()
	c := catalogWithKeys(2, "kept", "added")
	f.store.put("tables", c)
	for _, s := range f.servers {
		await(t, "the configuration", func() bool { return s.view.Load().Catalog == c })
		t.Logf("%s after %v at %v", s.settings.VM, time.Since(start), s.follower.position())
	}
}

// overtakenStore is a store whose answers arrive after another event.
type overtakenStore struct {
	*countedStore
	beforeAnswer func()
}

// List implements Source.
func (s *overtakenStore) List(ctx context.Context) ([]replica.Item, replica.Position, error) {
	items, at, err := s.countedStore.List(ctx)
	s.beforeAnswer()
	return items, at, err
}

// Watch implements Source.
func (s *overtakenStore) Watch(ctx context.Context, after replica.Position, wait time.Duration) ([]replica.Item, replica.Position, error) {
	items, at, err := s.countedStore.Watch(ctx, after, wait)
	s.beforeAnswer()
	return items, at, err
}

// TestReadOvertakenByPeer guards against a VM that counts the store as lost, and so hands its work as a reader to
// others, since a peer sent items of a higher era during a read.
func TestReadOvertakenByPeer(t *testing.T) {
	for name, mustList := range map[string]bool{"watch": false, "listing": true} {
		t.Run(name, func(t *testing.T) {
			store := &overtakenStore{countedStore: &countedStore{testStore: newTestStore()}, beforeAnswer: func() {}}
			store.put("tables", catalogWithKeys(1))
			f := newCountedFollower(store.countedStore)
			f.source = store
			f.readStore(t.Context(), watchTimeout)
			f.mustList = mustList
			higher := replica.Position{Era: 2, Revision: 1}
			store.beforeAnswer = func() {
				f.mergeChanges(replica.Position{}, peerChanges{complete: true, at: higher}, testNow())
			}
			if !f.readStore(t.Context(), watchTimeout).answered || f.isLost || f.lossLogged {
				t.Error("an overtaken read counts as failed")
			}
			if f.position() != higher {
				t.Errorf("position %v", f.position())
			}
			// The store still answers with the earlier era.
			if f.readStore(t.Context(), watchTimeout).answered || !f.isLost {
				t.Error("a second answer of the earlier era does not count as a failed read")
			}
		})
	}
}
