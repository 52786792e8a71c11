package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// TestRelays follows the tables in a fleet that is too large for its readers, and stops the relays
// of a zone. It guards against readers that send each change to each VM of the fleet, and against
// VMs whose tables are not current after their relays are gone.
func TestRelays(t *testing.T) {
	const zones, perZone = 2, 7
	started := 0
	f := startFleetWith(t, zones*perZone, func(s *Settings) {
		s.Zone = fmt.Sprint("zone-", started%zones)
		started++
	}, func(s *Server) { s.maxDirectFollowers = 1 })
	u := newTestUpstream(t, "u", nil)
	newCatalog := func(version int64) *catalog.Catalog {
		return &catalog.Catalog{Version: version, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}
	}
	f.publish(newCatalog(1), catalogUpstreams("p", u)...)

	fromReaders, relays := 0, map[string]bool{}
	var readers []fleet.Entry
	for _, s := range f.servers {
		ranking := s.gossip.rankingOf(storeReaders)
		readers = ranking[:fleet.StoreReaderCount]
		sources, role := s.tableSources()
		switch {
		case role != fleet.TableFollower:
		case len(sources) == fleet.StoreReaderCount && sources[0].Name == readers[0].Name:
			fromReaders++
		default:
			for _, source := range sources {
				if source.Zone != s.settings.Zone {
					t.Errorf("%s in %s pulls from %s in %s", s.settings.VM, s.settings.Zone, source.Name, source.Zone)
				}
				relays[source.Name] = true
			}
		}
	}
	if limit := zones * relaysPerZone; fromReaders > limit || len(relays) > limit {
		t.Errorf("%d VMs pull from the readers, and %d are relays; expected at most %d", fromReaders, len(relays), limit)
	}
	isReader := func(name string) bool {
		for _, reader := range readers {
			if reader.Name == name {
				return true
			}
		}
		return false
	}
	var rest []*Server
	for i, s := range f.servers {
		if relays[s.settings.VM] && !isReader(s.settings.VM) && s.settings.Zone == "zone-0" {
			f.stops[i]()
			<-f.done[i]
			continue
		}
		rest = append(rest, s)
	}
	c := newCatalog(2)
	c.Index()
	f.store.put("tables", c)
	for _, s := range rest {
		await(t, "the change applies on "+s.settings.VM, func() bool { return s.view.Load().Catalog == c })
		await(t, "current tables on "+s.settings.VM, func() bool {
			age, complete := s.follower.age()
			return complete && age < fleet.StaleTablesAge
		})
	}
}

// TestUnknownStoreAccess guards against a statement of a later version that counts as access to the store.
func TestUnknownStoreAccess(t *testing.T) {
	for stated, expected := range map[uint32]fleet.StoreAccess{1: fleet.ReadsStore, 2: fleet.LostStore, 3: fleet.NoStoreAccess, 257: fleet.NoStoreAccess} {
		if entry := entryFromProto(&hoistv1.DirectoryEntry{Name: "a", StoreAccess: stated}); entry.Store != expected {
			t.Errorf("access %d from %d, expected %d", entry.Store, stated, expected)
		}
	}
}

// fewServed is a fleet in which the store serves few VMs.
type fewServed struct {
	vms, zones int
	// served has the places in the ranking of readers of the VMs that the store answers.
	served []int
	// silent is set if the store gives the others no answer; otherwise it rejects them.
	silent bool
	// maxLag is the least time that operators of fleets of this size allow for changes.
	maxLag time.Duration
}

// TestStoreServesFewVMs lets the store reject all VMs of a large fleet but two, which are not its readers, or
// give the others no answer. It guards against tables that reach the others by chance and much later than the
// VMs that have them, so that requests go to upstreams that have announced that they leave.
func TestStoreServesFewVMs(t *testing.T) {
	for _, silent := range []bool{false, true} {
		c := fewServed{vms: 40, zones: 4, served: []int{13, 26}, silent: silent, maxLag: 3 * time.Second}
		t.Run(fmt.Sprint("silent ", silent), c.run)
	}
}

// TestReadersOfSilentStore lets the store answer only the last VM of the ranking of readers. It guards against
// readers that wait for an answer of the store while others have the change.
func TestReadersOfSilentStore(t *testing.T) {
	// The drain time of small fleets is 2 s. A request may reach its upstream half a second after the choice.
	c := fewServed{vms: 8, zones: 4, served: []int{7}, silent: true, maxLag: 1500 * time.Millisecond}
	c.run(t)
}

func (c fewServed) run(t *testing.T) {
	const (
		changes        = 60
		changeInterval = 100 * time.Millisecond
	)
	started := 0
	f := startFleet(t, c.vms, func(s *Settings) {
		s.Zone = fmt.Sprint("zone-", started%c.zones)
		started++
	})
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, catalogUpstreams("p", u)...)
	ranking := f.servers[0].gossip.rankingOf(storeReaders)
	for i, s := range f.servers {
		isServed := slices.ContainsFunc(c.served, func(place int) bool { return ranking[place].Name == s.settings.VM })
		f.sources[i].rejected.Store(!isServed)
		f.sources[i].silent.Store(c.silent && !isServed)
	}

	longest := time.Duration(0)
	var publishedAt []time.Time // of the changes, from first on
	first := f.store.currentRevision() + 1
	for range changes {
		f.store.put("u/"+u.id, &catalog.Upstream{ID: u.id, Pool: "p", Address: u.address(), Zone: "zone-0", StartID: 1})
		publishedAt = append(publishedAt, time.Now())
		<-time.After(changeInterval)
		for _, s := range f.servers {
			missing := max(s.follower.position().Revision+1, first) - first
			if missing >= uint64(len(publishedAt)) {
				continue
			}
			lag := time.Since(publishedAt[missing])
			longest = max(longest, lag)
			if lag > c.maxLag {
				t.Fatalf("%s has not applied a change after %v", s.settings.VM, lag)
			}
		}
	}
	t.Logf("longest time without a change: %v", longest)
}

// TestFollowerForgetsFailedRead guards against a VM that says it has lost the store long after it stood in for the
// readers, so that those which pull from it turn away and ask again and again.
func TestFollowerForgetsFailedRead(t *testing.T) {
	f := startFleet(t, fleet.StoreReaderCount+1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool()}, catalogUpstreams("p", u)...)
	for _, s := range f.servers {
		if _, role := s.tableSources(); role == fleet.TableFollower {
			s.follower.setLost(true)
			await(t, s.settings.VM+" is no longer lost", func() bool { return !s.follower.hasLostStore() })
			return
		}
	}
	t.Fatal("no VM follows another one")
}
