package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// linkEntry returns the entry of a VM with a link of the given bandwidth.
func linkEntry(name, zone string, mbps uint32) Entry {
	return Entry{Name: name, Zone: zone, Address: name + ":1", Started: 1, Version: 1, TableFormat: TableFormat, Capacity: 480, LinkMbps: mbps}
}

// TestFastLinksSendTables guards against readers and relays with slow links where others have fast ones: a large
// value takes seconds from them to the VMs of a zone.
func TestFastLinksSendTables(t *testing.T) {
	now := clock.Instant(time.Hour)
	d := New(now, linkEntry("a-0", "a", 10))
	entries := []Entry{linkEntry("a-1", "a", 25), linkEntry("b-0", "b", 200), linkEntry("b-1", "b", 200), linkEntry("old", "b", 0)}
	for i := range 10 {
		entries = append(entries, linkEntry(fmt.Sprint("a-slow-", i), "a", 10), linkEntry(fmt.Sprint("b-slow-", i), "b", 10))
	}
	d.Merge(now, entries)
	for _, c := range []struct {
		resource Resource
		first    int
		atLeast  uint32
	}{
		{Resource{Name: "readers", SendsTables: true}, 2, 200},
		{Resource{Name: "relays b", Zone: "b", SendsTables: true}, 2, 200},
		// The fastest links of another zone say nothing.
		{Resource{Name: "relays a", Zone: "a", SendsTables: true}, 1, 25},
	} {
		for _, entry := range d.Ranking(now, c.resource)[:c.first] {
			if entry.LinkMbps < c.atLeast {
				t.Errorf("%s: %s with %d Mbit/s is among the first %d", c.resource.Name, entry.Name, entry.LinkMbps, c.first)
			}
		}
	}
}

// TestLinkIsKnownThroughOldVM guards against a bandwidth that stays unknown since the entry came through a VM of an
// older version first, which does not pass it on.
func TestLinkIsKnownThroughOldVM(t *testing.T) {
	now := clock.Instant(time.Hour)
	whole := linkEntry("b", "a", 200)
	stripped := whole
	stripped.LinkMbps = 0
	later := stripped
	later.Version++
	for _, order := range [][]Entry{{stripped, whole, later}, {whole, stripped, later}, {later, whole, stripped}} {
		d := New(now, linkEntry("a", "a", 10))
		for _, entry := range order {
			d.Merge(now, []Entry{entry})
		}
		if got, _ := d.Entry("b"); got.LinkMbps != 200 || got.Version != later.Version {
			t.Errorf("after %v the entry is %+v", order, got)
		}
	}
}
