package registry

import (
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestNextRemoval guards against a missing entry that is removed late because the time of its removal is unknown.
func TestNextRemoval(t *testing.T) {
	r := New()
	r.Put(at(0), catalog.Upstream{ID: "a", StartID: 1})
	r.Put(at(0), catalog.Upstream{ID: "b", StartID: 1})
	r.Put(at(0), catalog.Upstream{ID: "present", StartID: 1})
	if next, ok := r.NextRemoval(); ok {
		t.Errorf("a removal at %v without a missing entry", next)
	}
	r.BeginEra(at(1000))
	r.Remove(at(1200), "b")
	r.Remove(at(1010), "a")
	for _, id := range []string{"a", "b"} {
		next, ok := r.NextRemoval()
		if !ok || r.Tick(next-1) || !r.Tick(next) || r.records[id] != nil {
			t.Errorf("%s is not removed at %v", id, next)
		}
	}
	if next, ok := r.NextRemoval(); ok || len(r.Entries()) != 1 {
		t.Errorf("a removal at %v after the last one", next)
	}
}
