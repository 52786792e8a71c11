package replica

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// largeItem returns an item whose value other copies only refer to.
func largeItem(key string, revision uint64) Item {
	return Item{Key: key, Value: fmt.Appendf(nil, "large value %d of %s", revision, key), Revision: revision}
}

// referred returns the items as they are sent to a peer that takes references.
func referred(items []Item) []Item {
	out := make([]Item, 0, len(items))
	for _, item := range items {
		if len(item.Value) > 1 {
			item.Reference, item.Value = ReferenceTo(item.Value), nil
		}
		out = append(out, item)
	}
	return out
}

// TestChangeDoesNotWaitForLargeValue guards against a removal that takes effect only once a large value has arrived,
// and against a copy that counts as complete with all values before.
func TestChangeDoesNotWaitForLargeValue(t *testing.T) {
	r := New()
	r.Replace([]Item{item("a", 1), largeItem("config", 2)}, rev(2), 10)
	second := largeItem("config", 4)
	changed := r.Merge(Changes{IsDelta: true, Items: append(referred([]Item{second}), Item{Key: "a", Revision: 5, Deleted: true})}, rev(5), 20)
	if len(changed) != 1 || changed[0].Key != "a" || r.Position() != rev(5) || r.FreshAt() != 20 {
		t.Errorf("changed %v at %v", changed, r.Position())
	}
	if !r.IsOutstanding("config") || r.HasValuesAfter(rev(2)) || !r.HasValuesAfter(rev(4)) {
		t.Errorf("outstanding %v", r.Outstanding())
	}
	wanted := r.Outstanding()[0]
	wanted.Value = second.Value
	if diff := cmp.Diff([]Item{second}, r.Supply(0, wanted)); diff != "" || !r.HasValuesAfter(Position{}) {
		t.Error(diff, r.Outstanding())
	}
}

// TestOvertakenValueIsUsed guards against a transfer that is thrown away since a later value was published meanwhile.
func TestOvertakenValueIsUsed(t *testing.T) {
	r := New()
	r.Replace([]Item{largeItem("config", 2)}, rev(2), 10)
	third, fourth := largeItem("config", 3), largeItem("config", 4)
	r.Merge(Changes{IsDelta: true, Items: referred([]Item{third})}, rev(3), 20)
	wanted := r.Outstanding()[0]
	r.Merge(Changes{IsDelta: true, Items: referred([]Item{fourth})}, rev(4), 30)
	wanted.Value = third.Value
	if diff := cmp.Diff([]Item{third}, r.Supply(0, wanted)); diff != "" {
		t.Error(diff)
	}
	if out := r.Outstanding(); len(out) != 1 || out[0].Revision != 4 {
		t.Errorf("outstanding %v", out)
	}
	if late := r.Supply(0, wanted); len(late) != 0 {
		t.Errorf("the same value changed %v again", late)
	}
}

// TestValueOfEarlierEra guards against a value that arrives after the store has returned from a copy and is taken for
// one of the new era.
func TestValueOfEarlierEra(t *testing.T) {
	r := New()
	r.Replace([]Item{largeItem("config", 2)}, eraPos(1, 2), 10)
	late := largeItem("config", 9)
	r.Merge(Changes{IsDelta: true, Items: referred([]Item{late})}, eraPos(1, 9), 20)
	wanted := r.Outstanding()[0]
	r.Merge(Changes{Items: referred([]Item{largeItem("config", 5)}), Keys: []string{"config"}}, eraPos(2, 6), 30)
	wanted.Value = late.Value
	if changed := r.Supply(1, wanted); len(changed) != 0 || !r.IsOutstanding("config") {
		t.Errorf("changed %v, outstanding %v", changed, r.Outstanding())
	}
}

// chain is a store and copies that follow it: the first reads the store, the second takes references from the first,
// the third takes references from the second, and the last two take none, as VMs of older versions.
type chain struct {
	*rapid.T
	// history holds all items that were ever published by key and revision, and store the current ones.
	history  map[string]Item
	store    map[string]Item
	revision uint64
	now      clock.Instant
	copies   []*Replica
}

func (c *chain) publish(item Item) {
	c.revision++
	item.Revision = c.revision
	if item.Deleted {
		delete(c.store, item.Key)
	} else {
		if item.Value != nil {
			item.Value = largeItem(item.Key, item.Revision).Value
		} else {
			item.Value = []byte("s")
		}
		c.store[item.Key] = item
	}
	c.history[fmt.Sprint(item.Key, item.Revision)] = item
	c.copies[0].Apply([]Item{item}, rev(c.revision), c.now)
}

// pull makes a copy follow another one.
func (c *chain) pull(to, from *Replica, takesReferences, asDelta bool) {
	requested := to.Position()
	if !from.HasChangesSince(requested) && to.Complete() {
		to.Confirm(requested, from.Position(), from.FreshAt())
		return
	}
	if takesReferences {
		changes := from.ChangesSince(requested, asDelta)
		changes.Items = referred(changes.Items)
		to.Merge(changes, from.Position(), from.FreshAt())
		return
	}
	if from.HasValuesAfter(requested) {
		to.Merge(from.ChangesSince(requested, asDelta), from.Position(), from.FreshAt())
	}
}

// supply brings one outstanding value to a copy.
func (c *chain) supply(r *Replica) {
	for _, wanted := range r.Outstanding() {
		wanted.Value = c.history[fmt.Sprint(wanted.Key, wanted.Revision)].Value
		r.Supply(0, wanted)
		return
	}
}

// check compares what a copy claims with the store: all that changed up to its position is there or outstanding, and no
// value is another one than that of its revision.
func (c *chain) check(i int, r *Replica) {
	at := r.Position().Revision
	for _, item := range c.history {
		if item.Revision > at || c.isLater(item.Key, item.Revision, at) || r.IsOutstanding(item.Key) {
			continue
		}
		if _, exists := r.Item(item.Key); exists == item.Deleted {
			c.Fatalf("copy %d at %d: %s at %d exists %v, expected %v", i, at, item.Key, item.Revision, exists, !item.Deleted)
		}
	}
	for _, got := range r.Items() {
		if want := c.history[fmt.Sprint(got.Key, got.Revision)]; string(want.Value) != string(got.Value) {
			c.Fatalf("copy %d has %s for %s at %d, expected %s", i, got.Value, got.Key, got.Revision, want.Value)
		}
	}
}

// isLater reports whether an item changed again up to a revision.
func (c *chain) isLater(key string, after, upTo uint64) bool {
	for _, item := range c.history {
		if item.Key == key && item.Revision > after && item.Revision <= upTo {
			return true
		}
	}
	return false
}

// TestCopiesConvergeWithLargeValues checks that copies to which large values come late and in any order always claim
// what they have, and in the end have what the store has, also those that take no references.
func TestCopiesConvergeWithLargeValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{T: t, history: map[string]Item{}, store: map[string]Item{}}
		for range 5 {
			c.copies = append(c.copies, New())
		}
		c.copies[0].Replace(nil, rev(0), 0)
		sources := []int{0, 0, 1, 1, 3}
		key := rapid.SampledFrom([]string{"a", "b", "config"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now++
			i := rapid.IntRange(1, len(c.copies)-1).Draw(t, "copy")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				c.publish(Item{Key: "config", Value: []byte("x")})
			case 1:
				c.publish(Item{Key: key.Draw(t, "key"), Deleted: true})
			case 2:
				c.publish(Item{Key: key.Draw(t, "key")})
			case 3:
				c.supply(c.copies[i])
			default:
				c.pull(c.copies[i], c.copies[sources[i]], i <= 2, rapid.Bool().Draw(t, "delta"))
			}
			for i, r := range c.copies {
				c.check(i, r)
			}
		}
		c.now++
		c.publish(Item{Key: "a"})
		for i, r := range c.copies {
			if i > 0 {
				c.pull(r, c.copies[sources[i]], i <= 2, true)
				c.supply(r)
				c.supply(r)
			}
			if diff := cmp.Diff(c.copies[0].Items(), r.Items()); diff != "" || r.Position() != rev(c.revision) || !r.HasValuesAfter(Position{}) {
				t.Fatalf("copy %d at %v: %s", i, r.Position(), diff)
			}
		}
	})
}
