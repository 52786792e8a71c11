package edge

import (
	"math/rand/v2"
	"net"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Probes carry a few directory entries each, which takes many seconds to spread hundreds of VMs that
// all have just started. Meanwhile a VM compares the digest of its directory with that of another
// VM twice a second, and gets all entries where they differ.

const (
	// syncInterval is the time between two comparisons while the directory is not settled.
	syncInterval = 500 * time.Millisecond
	// settledAfter is how long the directory must not have grown to count as settled.
	settledAfter = 2 * time.Second
	// syncEntries is the number of entries in a datagram of a whole directory. Together they fit
	// into one packet.
	syncEntries = 20
	// maxSyncDatagrams bounds the datagrams of whole directories that a VM sends in a syncInterval,
	// since all VMs of the fleet may ask the seeds at the same time.
	maxSyncDatagrams = 200
)

// directorySync decides when to compare directories and how much of its own a VM may send.
type directorySync struct {
	comparedAt clock.Instant
	grownAt    clock.Instant
	budget     int
	budgetAt   clock.Instant
}

// isDue reports whether a comparison is due, and notes it.
func (d *directorySync) isDue(now clock.Instant) bool {
	if now.Sub(d.grownAt) > settledAfter || now.Sub(d.comparedAt) < syncInterval {
		return false
	}
	d.comparedAt = now
	return true
}

// take takes up to n datagrams from the budget and returns how many may be sent.
func (d *directorySync) take(now clock.Instant, n int) int {
	if d.budgetAt == 0 || now.Sub(d.budgetAt) >= syncInterval {
		d.budget, d.budgetAt = maxSyncDatagrams, now
	}
	n = min(n, d.budget)
	d.budget -= n
	return n
}

// compareDirectories asks a random VM for its directory if that of this VM is not settled.
func (g *gossip) compareDirectories(now clock.Instant) {
	g.mu.Lock()
	if !g.directorySync.isDue(now) {
		g.mu.Unlock()
		return
	}
	entries := g.directory.Entries()
	g.mu.Unlock()
	if len(entries) == 1 {
		return
	}
	other := entries[1+rand.IntN(len(entries)-1)]
	g.writeDatagram(g.newHello(), g.gossipAddress(other.Address))
}

// newHello returns a request for the directory of another VM.
func (g *gossip) newHello() *hoistv1.Datagram {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &hoistv1.Datagram{Hello: true, Digest: g.directory.Digest()}
}

// answerHello sends the directory to a VM whose own differs: all of it, or a part as in other messages
// if the sender does not say what it has or if the budget is spent.
func (g *gossip) answerHello(hello *hoistv1.Datagram, to *net.UDPAddr) {
	now := g.now()
	g.mu.Lock()
	entries := g.directory.Entries()
	datagrams := 0
	if hello.GetDigest() != 0 && hello.GetDigest() != g.directory.Digest() {
		datagrams = g.directorySync.take(now, (len(entries)+syncEntries-1)/syncEntries)
	}
	g.mu.Unlock()
	if datagrams == 0 {
		g.writeDatagram(&hoistv1.Datagram{}, to)
		return
	}
	// Without the budget for all, another part is sent each time.
	others := entries[1:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for range datagrams {
		n := min(syncEntries-1, len(others))
		datagram := &hoistv1.Datagram{Directory: []*hoistv1.DirectoryEntry{entryToProto(entries[0])}}
		for _, entry := range others[:n] {
			datagram.Directory = append(datagram.Directory, entryToProto(entry))
		}
		others = others[n:]
		g.sendDatagram(datagram, to)
	}
}
