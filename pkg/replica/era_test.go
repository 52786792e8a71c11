package replica

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func eraPos(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// newEraReplica returns a copy at revision 10 of era 2 with a removal after revision 8.
func newEraReplica() *Replica {
	r := New()
	r.Replace([]Item{item("a", 6), item("b", 7)}, eraPos(2, 8), 10)
	r.Apply([]Item{{Key: "b", Revision: 9, Deleted: true}}, eraPos(2, 10), 20)
	return r
}

// TestChangesOfOtherEra guards against changes of another era that are applied as if they followed the copy,
// also if they are newer: a part of a state does not replace the whole.
func TestChangesOfOtherEra(t *testing.T) {
	for name, change := range map[string]func(r *Replica) []Item{
		"watch of a higher era":       func(r *Replica) []Item { return r.Apply([]Item{item("c", 11)}, eraPos(3, 11), 30) },
		"watch of a lower era":        func(r *Replica) []Item { return r.Apply([]Item{item("c", 11)}, eraPos(1, 11), 30) },
		"listing of a lower era":      func(r *Replica) []Item { return r.Replace([]Item{item("c", 11)}, eraPos(1, 11), 30) },
		"listing without an era":      func(r *Replica) []Item { return r.Replace([]Item{item("c", 11)}, eraPos(0, 11), 30) },
		"confirmation of another era": func(r *Replica) []Item { r.Confirm(eraPos(2, 10), eraPos(3, 11), 30); return nil },
		"peer of a lower era": func(r *Replica) []Item {
			return r.Merge(Changes{Items: []Item{item("c", 11)}, Keys: []string{"c"}}, eraPos(1, 11), 30)
		},
		"removals of a higher era": func(r *Replica) []Item {
			return r.Merge(Changes{IsDelta: true, Items: []Item{item("c", 11)}}, eraPos(3, 11), 30)
		},
		"part of a state of higher era": func(r *Replica) []Item {
			return r.Merge(Changes{Items: []Item{item("c", 11)}, Keys: []string{"a", "c"}}, eraPos(3, 11), 30)
		},
	} {
		r := newEraReplica()
		if changed := change(r); len(changed) != 0 || r.Position() != eraPos(2, 10) || r.FreshAt() != 20 {
			t.Errorf("%s: changed %v, position %v", name, changed, r.Position())
		}
	}
}

// TestWholeStateOfHigherEra guards against items and removals of the era before in the copy, and against a
// change that is missed since the value is the same.
func TestWholeStateOfHigherEra(t *testing.T) {
	r := newEraReplica()
	c := item("c", 3)
	changed := r.Merge(Changes{Items: []Item{item("b", 2), c}, Keys: []string{"b", "c"}}, eraPos(3, 4), 5)
	if diff := cmp.Diff([]Item{{Key: "a", Revision: 4, Deleted: true}, item("b", 2), c}, changed); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"b", "c"}, keysOf(r)); diff != "" || r.Position() != eraPos(3, 4) || r.FreshAt() != 5 {
		t.Error(diff, r.Position(), r.FreshAt())
	}
	r.Apply([]Item{{Key: "c", Revision: 5, Deleted: true}}, eraPos(3, 5), 30)
	changes := r.ChangesSince(eraPos(3, 4), true)
	if diff := cmp.Diff(Changes{IsDelta: true, Items: []Item{{Key: "c", Revision: 5, Deleted: true}}}, changes); diff != "" {
		t.Error(diff)
	}
}

// TestChangesForPeerOfOtherEra guards against a peer of an era before that gets a part of the items, against
// one that pulls all items in a loop, and against old items for one that is ahead.
func TestChangesForPeerOfOtherEra(t *testing.T) {
	r := newEraReplica()
	if changes := r.ChangesSince(eraPos(1, 100), true); !r.HasChangesSince(eraPos(1, 100)) || !changes.IsWhole() || len(changes.Items) != 1 {
		t.Errorf("changes for a peer of the era before: %+v", changes)
	}
	if r.HasChangesSince(eraPos(3, 1)) {
		t.Error("changes for a peer of a higher era")
	}
	if r.HasChangesSince(eraPos(0, 10)) || !r.HasChangesSince(eraPos(0, 9)) {
		t.Error("a peer of an older version is not compared by its revision")
	}
	if changes := r.ChangesSince(eraPos(0, 8), true); !changes.IsDelta || len(changes.Items) != 1 {
		t.Errorf("changes for a peer of an older version: %+v", changes)
	}
}
