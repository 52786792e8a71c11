package edge

import (
	"fmt"
	"testing"

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
		ranking := s.gossip.ranking(readerRankingKey)
		readers = ranking[:storeReaderCount]
		sources, role := s.tableSources()
		switch {
		case role != tableFollower:
		case len(sources) == storeReaderCount && sources[0].Name == readers[0].Name:
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
			return complete && age < staleTablesAge
		})
	}
}
