package replica

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

func item(key string, revision uint64) Item {
	return Item{Key: key, Value: []byte(key), Revision: revision}
}

// rev returns the position of a store that states no era.
func rev(revision uint64) Position { return Position{Revision: revision} }

func keysOf(r *Replica) []string {
	return r.ChangesSince(Position{}, false).Keys
}

// TestReplaceRemovesUnlistedItems guards against upstreams that stay in use although
// they left while the change history was unavailable, and against an older listing that
// reverts newer changes.
func TestReplaceRemovesUnlistedItems(t *testing.T) {
	r := New()
	r.Replace([]Item{item("a", 1), item("b", 2)}, rev(5), 10)
	r.Apply([]Item{item("c", 7)}, rev(7), 20)
	changed := r.Replace([]Item{item("b", 2)}, rev(6), 30)
	if len(changed) != 0 {
		t.Errorf("an older listing changed the items %v", changed)
	}
	changed = r.Replace([]Item{item("b", 2)}, rev(8), 40)
	if len(changed) != 2 || !changed[0].Deleted || !changed[1].Deleted {
		t.Errorf("the listing changed the items %v, expected the removal of a and c", changed)
	}
	if diff := cmp.Diff([]string{"b"}, keysOf(r)); diff != "" {
		t.Error(diff)
	}
}

// TestDelayedResponseDoesNotRestoreDeletedItem guards against a response that was read before
// a removal, arrives after it and restores the item.
func TestDelayedResponseDoesNotRestoreDeletedItem(t *testing.T) {
	r := New()
	r.Replace([]Item{item("a", 1)}, rev(5), 10)
	r.Apply([]Item{{Key: "a", Revision: 6, Deleted: true}}, rev(6), 20)
	if changed := r.Apply([]Item{item("a", 1)}, rev(6), 30); len(changed) != 0 {
		t.Errorf("the deleted item was restored: %v", changed)
	}
}

// TestConfirmRequiresMatchingRevision guards against a confirmation of one revision
// that is applied to another, which would keep a deleted key.
func TestConfirmRequiresMatchingRevision(t *testing.T) {
	r := New()
	r.Replace([]Item{item("a", 1)}, rev(5), 10)
	r.Confirm(rev(4), rev(9), 100)
	if r.FreshAt() != 10 || r.Position() != rev(5) {
		t.Error("a confirmation for another revision was applied")
	}
	r.Confirm(rev(5), rev(9), 100)
	if r.FreshAt() != 100 || r.Position() != rev(9) {
		t.Error("the confirmation was not applied")
	}
}

// TestFollowersConverge checks that a copy that follows another through ChangesSince
// and Merge always equals it, and that its revision never decreases.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := New(), New()
		revision := uint64(1)
		leader.Replace([]Item{item("a", 1)}, rev(1), 1)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := clock.Instant(step + 2)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 3:
				// The history of changes was lost, and a listing shows the state.
				revision++
				listed := leader.Items()
				if len(listed) > 0 && rapid.Bool().Draw(t, "removed") {
					listed = listed[1:]
				}
				leader.Replace(listed, rev(revision), now)
			case 0:
				revision++
				leader.Apply([]Item{item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), revision)}, rev(revision), now)
			case 1:
				revision++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				leader.Apply([]Item{{Key: key, Revision: revision, Deleted: true}}, rev(revision), now)
			case 2:
				revision++
				leader.Apply(nil, rev(revision), now)
			default:
				before := follower.Position()
				if requested := follower.Position(); !leader.HasChangesSince(requested) && follower.Complete() {
					follower.Confirm(requested, leader.Position(), leader.FreshAt())
				} else {
					follower.Merge(leader.ChangesSince(requested, rapid.Bool().Draw(t, "delta")), leader.Position(), leader.FreshAt())
				}
				if diff := cmp.Diff(leader.Items(), follower.Items()); diff != "" {
					t.Fatal(diff)
				}
				if follower.Position().Compare(before) < 0 {
					t.Fatal("the revision decreased")
				}
			}
		}
	})
}

// TestChangesAreSmall guards against sending all keys with each change: with thousands of
// upstreams and hundreds of followers, that is most of what a reader of the store sends.
func TestChangesAreSmall(t *testing.T) {
	r := New()
	var items []Item
	for i := range 3000 {
		items = append(items, item(fmt.Sprint("u", i), 1))
	}
	r.Replace(items, rev(5), 10)
	r.Apply([]Item{item("u7", 6), {Key: "u9", Revision: 7, Deleted: true}}, rev(7), 20)
	changes := r.ChangesSince(rev(5), true)
	if len(changes.Items) != 2 || len(changes.Keys) != 0 || !changes.IsDelta {
		t.Errorf("%d items and %d keys for two changes", len(changes.Items), len(changes.Keys))
	}
	if changes := r.ChangesSince(rev(4), true); len(changes.Keys) != 2999 || changes.IsDelta {
		t.Errorf("%d keys for a peer whose state is older than all known removals, expected all 2999", len(changes.Keys))
	}
	for i := range uint64(maxTombstones + 1) {
		r.Apply([]Item{{Key: fmt.Sprint("x", i), Revision: 8 + i, Deleted: true}}, rev(8+i), 30)
	}
	if changes := r.ChangesSince(rev(7), true); changes.IsDelta {
		t.Error("removals that were forgotten are missing in the changes")
	}
}

// TestRemovalsBeforeListing guards against a follower that keeps an item for ever: it was created and removed
// between two listings of the copy that the follower pulls from, which never had it.
func TestRemovalsBeforeListing(t *testing.T) {
	reader, follower := New(), New()
	reader.Replace(nil, rev(5), 10)
	follower.Replace([]Item{item("a", 6)}, rev(6), 20)
	reader.Replace(nil, rev(8), 30)
	follower.Merge(reader.ChangesSince(follower.Position(), true), reader.Position(), reader.FreshAt())
	if keys := keysOf(follower); len(keys) != 0 || follower.Position() != rev(8) {
		t.Errorf("items %v at %v, expected none", keys, follower.Position())
	}
}

// TestItemAboveListingIsHandedOn guards against a change that peers never get: it was on a later page of a listing, and
// the watch after the listing brings it again, which changes nothing here.
func TestItemAboveListingIsHandedOn(t *testing.T) {
	reader, follower := New(), New()
	follower.Replace([]Item{item("a", 1)}, rev(5), 10)
	reader.Replace([]Item{item("a", 1), item("b", 7)}, rev(5), 20)
	reader.Apply([]Item{item("b", 7)}, rev(8), 30)
	requested := follower.Position()
	if !reader.HasChangesSince(requested) {
		t.Fatal("there are no changes for a peer at the position of the listing")
	}
	follower.Merge(reader.ChangesSince(requested, true), reader.Position(), reader.FreshAt())
	if diff := cmp.Diff(reader.Items(), follower.Items()); diff != "" {
		t.Error(diff)
	}
}
