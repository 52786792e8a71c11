package registry

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

func at(ms int64) clock.Instant { return clock.Instant(ms) * clock.Instant(time.Millisecond) }

// TestRemovedUpstreamIsDroppedImmediately guards against new work for an upstream whose
// entry was removed while the store was up: it has left or is about to.
func TestRemovedUpstreamIsDroppedImmediately(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u"})
	r.Remove(at(10), "u")
	if len(r.Entries()) != 0 {
		t.Error("the upstream is still registered")
	}
}

// TestExpiredEntriesMayReregister guards against a pool that is empty after an outage
// of the store in which all entries expired, and against entries that are kept forever.
func TestExpiredEntriesMayReregister(t *testing.T) {
	r := New()
	for _, id := range []string{"back", "gone"} {
		r.Put(at(0), catalog.Upstream{ID: id, StartID: 1})
	}
	r.SetStoreDown(at(1000), true)
	r.SetStoreDown(at(5000), false)
	r.Remove(at(5010), "back")
	r.Remove(at(5010), "gone")
	if len(r.Entries()) != 2 {
		t.Fatal("the entries that expired in the outage were dropped")
	}
	r.Put(at(5500), catalog.Upstream{ID: "back", StartID: 1})
	if r.Tick(at(6000)) {
		t.Error("an entry was dropped within the grace period")
	}
	if !r.Tick(at(7000)) || len(r.Entries()) != 1 || r.Entries()[0].ID != "back" {
		t.Errorf("entries after the grace period: %v", r.Entries())
	}
	if r.Entries()[0].FirstSeen != at(0) {
		t.Error("the same process start is treated as a new one")
	}
}

// TestDrainingUpstreamIsDroppedDuringOutage guards against new work for an upstream
// that announced its removal before the store went down.
func TestDrainingUpstreamIsDroppedDuringOutage(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u", Draining: true})
	r.SetStoreDown(at(0), true)
	r.Remove(at(10), "u")
	if len(r.Entries()) != 0 {
		t.Error("the upstream is still registered")
	}
}

// TestRestartUnderTheSameID guards against state of a terminated process being used for
// its successor.
func TestRestartUnderTheSameID(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u", StartID: 1})
	r.Put(at(100), catalog.Upstream{ID: "u", StartID: 2, ColdRemaining: time.Second})
	entry := r.Entries()[0]
	if entry.FirstSeen != at(100) || entry.ColdUntil != at(1100) {
		t.Errorf("entry after a restart: %+v", entry)
	}
}
