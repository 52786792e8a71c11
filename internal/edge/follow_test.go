package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// compactedStore is a store that has dropped its history.
type compactedStore struct{ *testStore }

// Watch implements Source.
func (s compactedStore) Watch(context.Context, replica.Position, time.Duration) ([]replica.Item, replica.Position, error) {
	return nil, replica.Position{}, ErrHistoryGone
}

// TestCompactedStore reads a store that has dropped the changes after the known revision. It guards
// against substitute readers that take this for an outage and wait seconds before they list the items:
// then all VMs keep the old configuration (docs/incidents/compacted-store.md).
func TestCompactedStore(t *testing.T) {
	store := newTestStore()
	f := newFollower(compactedStore{store}, store.decode, bootclock.Now, zap.NewNop(), func(*View) {}, func(string) bool { return false })
	versionAfterRead := func() int64 {
		t.Helper()
		if !f.readStore(context.Background(), watchTimeout).answered {
			t.Error("a read of a store that answers is reported as failed")
		}
		return f.state.Configuration().Version
	}
	newCatalog := func(version int64) *catalog.Catalog {
		c := &catalog.Catalog{Version: version, Pools: singlePool()}
		c.Index()
		return c
	}
	store.put("tables", newCatalog(1))
	if v := versionAfterRead(); v != 1 {
		t.Fatalf("version %d after the first listing, expected 1", v)
	}
	store.put("tables", newCatalog(2))
	versionAfterRead() // This watch fails.
	if v := versionAfterRead(); v != 2 {
		t.Errorf("version %d after the history was dropped, expected 2", v)
	}
}
