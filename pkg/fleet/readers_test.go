package fleet

import (
	"slices"
	"testing"
)

// TestReaders guards against VMs that get the published items from VMs which cannot read the store while
// others can, and against VMs that wait for readers which have lost the store.
func TestReaders(t *testing.T) {
	ranking := func(reading, lost []string) []Entry {
		var out []Entry
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			entry := Entry{Name: name}
			if slices.Contains(reading, name) {
				entry.Store = ReadsStore
			}
			if slices.Contains(lost, name) {
				entry.Store = LostStore
			}
			out = append(out, entry)
		}
		return out
	}
	cases := []struct {
		reading, lost []string
		expected      []string
		areLost       bool
	}{
		{nil, nil, []string{"a", "b"}, false},
		{[]string{"a", "b"}, nil, []string{"a", "b"}, false},
		{[]string{"d"}, []string{"a", "b"}, []string{"d"}, false},
		{[]string{"b", "d", "e"}, []string{"a"}, []string{"b", "d"}, false},
		{nil, []string{"a"}, []string{"a", "b"}, false},
		{nil, []string{"a", "b"}, []string{"a", "b"}, true},
		{nil, []string{"d", "e"}, []string{"a", "b"}, false},
	}
	for _, c := range cases {
		var names []string
		entries := ranking(c.reading, c.lost)
		for _, entry := range Readers(entries, 2) {
			names = append(names, entry.Name)
		}
		if !slices.Equal(names, c.expected) || AreReadersLost(entries, 2) != c.areLost {
			t.Errorf("%v read the store and %v have lost it: readers %v, lost %v; expected %v, %v", c.reading, c.lost, names, !c.areLost, c.expected, c.areLost)
		}
	}
	if len(Readers(nil, 2)) != 0 || AreReadersLost(nil, 2) {
		t.Error("an empty ranking has readers")
	}
}

// TestSetStoreAccess guards against a change of the entry that other VMs take for an old one.
func TestSetStoreAccess(t *testing.T) {
	d := New(0, Entry{Name: "a", Address: "a"})
	other := New(0, Entry{Name: "b", Address: "b"})
	before := NoStoreAccess
	for _, access := range []StoreAccess{ReadsStore, LostStore, NoStoreAccess, ReadsStore} {
		if got := d.SetStoreAccess(access); got != before || d.SetStoreAccess(access) != access {
			t.Errorf("access %d before, expected %d", got, before)
		}
		other.Merge(0, []Entry{d.Self()})
		if entry, _ := other.Entry("a"); entry.Store != access {
			t.Errorf("the other VM knows access %d, expected %d", entry.Store, access)
		}
		before = access
	}
}
