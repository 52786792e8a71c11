package edge

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// catalogWithKeys returns a configuration whose only route needs one of the keys.
func catalogWithKeys(version int64, keys ...string) *catalog.Catalog {
	c := &catalog.Catalog{
		Version: version, Pools: singlePool(), KeysRequired: true,
		Routes:     []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: keys}},
	}
	c.Index()
	return c
}

// statusWithKey returns the status of the response to a request with a key.
func (f *testFleet) statusWithKey(vm int, id, key string) int {
	f.t.Helper()
	response, _, err := f.send(vm, id, "/x/", map[string]string{"Key": key})
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode
}

// TestStoreReturnsFromCopy lets the store come back from a copy, with a lower revision and in a new era, and
// writes a configuration again. It guards against VMs that refuse the tables of the new era: removed keys still
// run, added keys get 401, and later changes are not seen (docs/incidents/store-returns-from-copy.md).
func TestStoreReturnsFromCopy(t *testing.T) {
	for _, served := range []int{fleet.StoreReaderCount + 1, 1} {
		t.Run(fmt.Sprint("VMs that the store serves: ", served), func(t *testing.T) { testStoreReturnsFromCopy(t, served) })
	}
}

func testStoreReturnsFromCopy(t *testing.T, served int) {
	const lostWrites = 40
	f := startFleet(t, fleet.StoreReaderCount+1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(catalogWithKeys(1, "kept", "removed"), catalogUpstreams("p", u)...)
	content := f.store.copyContent()
	entry := catalogUpstreams("p", u)[0]
	for range lostWrites {
		f.store.put("u/u", &entry)
	}
	lost := f.store.currentRevision()
	await(t, "all VMs have the writes that are lost", func() bool {
		for _, s := range f.servers {
			if s.follower.position().Revision < lost {
				return false
			}
		}
		return true
	})

	for _, source := range f.sources[served:] {
		source.rejected.Store(true)
	}
	f.store.returnFrom(content)
	f.store.put("u/u", &entry)
	c := catalogWithKeys(2, "kept", "added")
	f.store.put("tables", c)
	for i, s := range f.servers {
		await(t, "the configuration of the new era applies on "+s.settings.VM, func() bool { return s.view.Load().Catalog == c })
		for key, expected := range map[string]int{"kept": http.StatusOK, "added": http.StatusOK, "removed": http.StatusUnauthorized} {
			if status := f.statusWithKey(i, fmt.Sprint(key, i), key); status != expected {
				t.Errorf("status %d with the key %q on %s, expected %d", status, key, s.settings.VM, expected)
			}
		}
	}
	later := catalogWithKeys(3, "kept")
	f.store.put("tables", later)
	for _, s := range f.servers {
		await(t, "a later change applies on "+s.settings.VM, func() bool { return s.view.Load().Catalog == later })
	}
}

// countedStore counts the listings and watches of a store, and can state another era than it has.
type countedStore struct {
	*testStore
	lists, watches int
	// stated is the era that the answers state instead, if it is set.
	stated *uint64
}

func (s *countedStore) state(at replica.Position) replica.Position {
	if s.stated != nil {
		at.Era = *s.stated
	}
	return at
}

// List implements Source.
func (s *countedStore) List(ctx context.Context) ([]replica.Item, replica.Position, error) {
	s.lists++
	items, at, err := s.testStore.List(ctx)
	return items, s.state(at), err
}

// Watch implements Source.
func (s *countedStore) Watch(ctx context.Context, after replica.Position, _ time.Duration) ([]replica.Item, replica.Position, error) {
	s.watches++
	items, at, err := s.testStore.Watch(ctx, after, time.Millisecond)
	return items, s.state(at), err
}

func newCountedFollower(store *countedStore) *follower {
	return newFollower(store, store.decode, testNow, zap.NewNop(), func(*View) {}, func(string) bool { return false })
}

// TestReaderListsOnceInNewEra guards against a reader that applies changes of another era to its items, and
// against one that lists them again and again, which the store charges and limits.
func TestReaderListsOnceInNewEra(t *testing.T) {
	store := &countedStore{testStore: newTestStore()}
	f := newCountedFollower(store)
	store.put("tables", catalogWithKeys(1))
	content := store.copyContent()
	store.put("u/a", &catalog.Upstream{ID: "a"})
	read := func() {
		t.Helper()
		if !f.readStore(t.Context(), watchTimeout).answered {
			t.Error("a read of a store that answers is reported as failed")
		}
	}
	read()
	store.returnFrom(content)
	for _, id := range []string{"b", "c", "d"} {
		// The revision passes that of the items of the era before.
		store.put("u/"+id, &catalog.Upstream{ID: id})
	}
	for range 4 {
		read()
	}
	if at := f.position(); store.lists != 2 || store.watches != 3 || at != (replica.Position{Era: 2, Revision: 4}) {
		t.Errorf("%d listings and %d watches, position %v", store.lists, store.watches, at)
	}
	if upstreams := f.state.Upstreams(); len(upstreams) != 4 {
		t.Errorf("%d upstreams, expected those of the new era and the missing one in its grace", len(upstreams))
	}
}

// TestAnswerOfEarlierEra guards against items of an earlier era, or of one that is not stated, in place of newer
// ones, and against tables that count as current because of such an answer.
func TestAnswerOfEarlierEra(t *testing.T) {
	store := &countedStore{testStore: newTestStore()}
	store.era = 3
	f := newCountedFollower(store)
	store.put("tables", catalogWithKeys(1))
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	before, freshAt := f.position(), f.freshAt()
	store.put("tables", catalogWithKeys(2))
	for _, era := range []uint64{0, 2} {
		store.stated = &era
		for name, read := range map[string]func() error{
			"listing": func() error { return f.list(t.Context()) },
			"watch":   func() error { return f.watch(t.Context(), time.Millisecond) },
		} {
			if err := read(); err == nil || errors.Is(err, ErrHistoryGone) {
				t.Errorf("error %v of a %s of era %d after era 3", err, name, era)
			}
		}
	}
	if f.position() != before || f.freshAt() != freshAt || f.state.Configuration().Version != 1 {
		t.Errorf("position %v, version %d", f.position(), f.state.Configuration().Version)
	}
}

// TestPullOfOtherEra guards against a VM that gets a part of the items after a change of the era, the packed
// items of the era before, or items of an era that it has left.
func TestPullOfOtherEra(t *testing.T) {
	s := newSizedServer(t, 30, 300)
	before := s.follower.position()
	pull := func(era, revision uint64) *hoistv1.PullResponse {
		t.Helper()
		response, err := fleetServer{s: s}.Pull(t.Context(), &hoistv1.PullRequest{Era: era, Revision: revision, AcceptsRemovals: true, AcceptsPacked: true, ConfigurationVersion: new(int64)})
		if err != nil {
			t.Fatal(err)
		}
		if err := unpackItems(response); err != nil {
			t.Fatal(err)
		}
		return response
	}
	pull(0, 0)
	var items []replica.Item
	for i := range minPackedItems {
		items = append(items, replica.Item{Key: fmt.Sprintf("x/%03d", i), Value: []byte("new"), Revision: uint64(i + 1)})
	}
	at := replica.Position{Era: before.Era + 1, Revision: minPackedItems}
	s.follower.applyUpdate(s.follower.state.List(testNow(), items, at, testNow()), fromStore)

	if response := pull(before.Era, before.Revision); response.GetEra() != at.Era || response.GetRevision() != at.Revision ||
		len(response.GetItems()) != minPackedItems || len(response.GetKeys()) != minPackedItems {
		t.Errorf("era %d, revision %d, %d items and %d keys for a VM of the era before",
			response.GetEra(), response.GetRevision(), len(response.GetItems()), len(response.GetKeys()))
	}
	for name, requested := range map[string]replica.Position{"the same state": at, "a higher era": {Era: at.Era + 1, Revision: 1}, "an older version": {Revision: at.Revision}} {
		response := pull(requested.Era, requested.Revision)
		// The configuration of the era before is kept.
		if len(response.GetKept()) != 1 {
			t.Errorf("a VM with %s, without a configuration: kept items %v", name, response.GetKept())
		}
		if !response.GetUnchanged() || response.GetEra() != at.Era || len(response.GetItems()) != 0 {
			t.Errorf("a VM with %s: unchanged %v, era %d, %d items", name, response.GetUnchanged(), response.GetEra(), len(response.GetItems()))
		}
	}
}

// TestDrainingUpstreamGetsNoRequestsAfterDrill guards against requests to an upstream that leaves, since the
// copy from which the store returns lists it as ready.
func TestDrainingUpstreamGetsNoRequestsAfterDrill(t *testing.T) {
	f := startFleet(t, 2, nil)
	u := newTestUpstream(t, "u", nil)
	entry := catalogUpstreams("p", u)[0]
	entry.Sequence = 1
	f.publish(catalogWithKeys(1, "key"), entry)
	content := f.store.copyContent()
	draining := entry
	draining.Sequence, draining.Draining = 2, true
	f.store.put("u/u", &draining)
	awaitAll := func(what string, condition func(view *View) bool) {
		t.Helper()
		for _, s := range f.servers {
			await(t, what+" on "+s.settings.VM, func() bool { return condition(s.view.Load()) })
		}
	}
	awaitAll("the upstream drains", func(view *View) bool { return view.ByID["u"].Draining })
	f.store.returnFrom(content)
	awaitAll("tables of the new era", func(view *View) bool { return view.Position.Era == 2 })
	for i := range f.servers {
		if status := f.statusWithKey(i, fmt.Sprint("r", i), "key"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d on VM %d, expected 503", status, i)
		}
	}
	again := draining
	again.Sequence, again.Draining = 3, false
	f.store.put("u/u", &again)
	awaitAll("the upstream is in service", func(view *View) bool { return len(view.InService["p"]) == 1 })
}
