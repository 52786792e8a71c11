package registry

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

func at(ms int64) clock.Instant { return clock.Instant(ms) * clock.Instant(time.Millisecond) }

// TestRemovedUpstreamIsGoneAtOnce guards against new work to an upstream whose entry was
// removed while the store was up: it has left or is about to.
func TestRemovedUpstreamIsGoneAtOnce(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u"})
	r.Remove(at(10), "u")
	if len(r.Entries()) != 0 {
		t.Error("the upstream is still there")
	}
}

// TestLapsedEntriesMayReturn guards against a pool that is empty after an outage of the
// store, since all entries lapsed in it, and against entries that are kept for ever.
func TestLapsedEntriesMayReturn(t *testing.T) {
	r := New()
	for _, id := range []string{"back", "gone"} {
		r.Put(at(0), catalog.Upstream{ID: id, StartID: 1})
	}
	r.Outage(at(1000), true)
	r.Outage(at(5000), false)
	r.Remove(at(5010), "back")
	r.Remove(at(5010), "gone")
	if len(r.Entries()) != 2 {
		t.Fatal("the entries that lapsed were dropped")
	}
	r.Put(at(5500), catalog.Upstream{ID: "back", StartID: 1})
	if r.Tick(at(6000)) {
		t.Error("an entry was dropped too soon")
	}
	if !r.Tick(at(7000)) || len(r.Entries()) != 1 || r.Entries()[0].ID != "back" {
		t.Errorf("entries after the return: %v", r.Entries())
	}
	if r.Entries()[0].Since != at(0) {
		t.Error("the same start counts as a new one")
	}
}

// TestDrainingUpstreamDoesNotLapse guards against new work to an upstream that said it
// leaves before the store went down.
func TestDrainingUpstreamDoesNotLapse(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u", Draining: true})
	r.Outage(at(0), true)
	r.Remove(at(10), "u")
	if len(r.Entries()) != 0 {
		t.Error("the upstream is still there")
	}
}

// TestNewStartUnderTheSameID guards against state of a process that has ended being used
// for its successor.
func TestNewStartUnderTheSameID(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "u", StartID: 1})
	r.Put(at(100), catalog.Upstream{ID: "u", StartID: 2, ColdRemaining: time.Second})
	entry := r.Entries()[0]
	if entry.Since != at(100) || entry.ColdUntil != at(1100) {
		t.Errorf("entry %+v", entry)
	}
}
