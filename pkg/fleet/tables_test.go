package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawRanking draws the VMs of a fleet of both versions with what they state about the store.
func drawRanking(t *rapid.T) []Entry {
	var ranking []Entry
	for i := range rapid.IntRange(1, 12).Draw(t, "VMs") {
		e := entry(i, 1000)
		e.TableFormat = rapid.Uint32Range(0, TableFormat).Draw(t, "format")
		e.Store = StoreAccess(rapid.IntRange(0, int(LostStore)).Draw(t, "access"))
		ranking = append(ranking, e)
	}
	return ranking
}

// TestTableRolesInMixedFleet guards against VMs that wait for readers whose tables they cannot merge, and against
// VMs on which older ones rely and that do not read the store.
func TestTableRolesInMixedFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranking := drawRanking(t)
		alike := Alike(ranking)
		for place, self := range ranking {
			if self.TableFormat < TableFormat {
				continue
			}
			peers := NewTablePeers(self.Name, ranking)
			role, readers := peers.Role(0, true), peers.Readers()
			isExpected := place < StoreReaderCount || slices.Contains(names(alike[:min(StoreReaderCount, len(alike))]), self.Name)
			if isExpected && role != StoreReader {
				t.Fatalf("%s has role %d", self.Name, role)
			}
			if role == StoreReader {
				continue
			}
			if len(readers) == 0 || slices.Contains(names(readers), self.Name) {
				t.Fatalf("%s has the readers %v", self.Name, names(readers))
			}
			isOlder := func(e Entry) bool { return e.TableFormat < TableFormat }
			if slices.ContainsFunc(readers, isOlder) && len(KnownReaders(alike, 1)) > 0 {
				t.Fatalf("%s pulls from older VMs, although others read the store: %v", self.Name, names(readers))
			}
			if oldest := StaleTablesAge + maxReaderAge + time.Millisecond; peers.Role(oldest, true) != SubstituteReader {
				t.Fatalf("%s does not read the store with tables that are %v old", self.Name, oldest)
			}
		}
	})
}

// TestOlderReadersAreSources guards against VMs that ask nobody while only older VMs read the store.
func TestOlderReadersAreSources(t *testing.T) {
	var ranking []Entry
	for i := range 8 {
		e := entry(i, 1000)
		if i >= 4 {
			e.TableFormat, e.Store = TableFormat, LostStore
		} else if i < 2 {
			e.Store = ReadsStore
		}
		ranking = append(ranking, e)
	}
	peers := NewTablePeers("vm-7", ranking)
	if found := names(peers.Readers()); !slices.Equal(found, []string{"vm-0", "vm-1"}) {
		t.Errorf("readers %v", found)
	}
	if role := peers.Role(lostReadersAge+4*readerAgeStep, true); role != SubstituteReader {
		t.Errorf("role %d while the readers of the same version have lost the store", role)
	}
	ranking[5].Store = ReadsStore
	if found := names(NewTablePeers("vm-7", ranking).Readers()); !slices.Equal(found, []string{"vm-5"}) {
		t.Errorf("readers %v although a VM of the same version reads the store", found)
	}
}

// relayed returns an entry as a VM of an older version passes it on.
func relayed(e Entry) Entry {
	return Entry{Name: e.Name, Zone: e.Zone, Address: e.Address, Started: e.Started, Version: e.Version, Leaving: e.Leaving, Claims: e.Claims}
}

// TestEntriesThroughOlderVMs delivers the entries of a VM directly and through older VMs in any order. It guards
// against VMs that take a reader of the store for none, or do not learn that one has lost it, since an entry that
// lacks the fields came first or last.
func TestEntriesThroughOlderVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []Entry
		self := entry(1, 1000)
		self.TableFormat = TableFormat
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			self.Version++
			self.Store = StoreAccess(rapid.IntRange(0, int(LostStore)).Draw(t, "access"))
			self.Partitioned = rapid.Bool().Draw(t, "partitioned")
			sent = append(sent, self)
		}
		receivers := []*Directory{New(0, entry(2, 1000)), New(0, entry(3, 1000))}
		var direct [2]Entry // the latest whole entry at each receiver
		deliver := func(to int, e Entry) {
			receivers[to].Merge(0, []Entry{e})
			if e.TableFormat == TableFormat && e.Version > direct[to].Version {
				direct[to] = e
			}
			known, _ := receivers[to].Entry(self.Name)
			if direct[to].Version > 0 && (known.TableFormat != TableFormat || known.Store != direct[to].Store || known.Partitioned != direct[to].Partitioned) {
				t.Fatalf("receiver %d knows %+v after %+v", to, known, direct[to])
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "deliveries") {
			e := rapid.SampledFrom(sent).Draw(t, "entry")
			to := rapid.IntRange(0, 1).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				deliver(to, e)
			case 1:
				deliver(to, relayed(e))
			case 2: // Through the other receiver, which is not older.
				if known, ok := receivers[1-to].Entry(self.Name); ok {
					if known.WholeFormat() == 0 {
						known = relayed(known)
					}
					deliver(to, known)
				}
			}
		}
		for to := range receivers {
			deliver(to, self)
			if known, _ := receivers[to].Entry(self.Name); known.Version != self.Version || known.Store != self.Store || known.IsPartial {
				t.Fatalf("receiver %d knows %+v, expected %+v", to, known, self)
			}
		}
	})
}

// TestRestartToOlderVersion guards against a VM that counts as one of the new version after it has been replaced by an
// older one.
func TestRestartToOlderVersion(t *testing.T) {
	d := New(0, entry(2, 1000))
	newer := entry(1, 1000)
	newer.TableFormat, newer.Store = TableFormat, ReadsStore
	d.Merge(0, []Entry{newer})
	d.Merge(0, []Entry{entry(1, 2000)})
	if known, _ := d.Entry("vm-1"); known.TableFormat != 0 || known.Store != NoStoreAccess || known.IsPartial {
		t.Errorf("known as %s", fmt.Sprintf("%+v", known))
	}
}
