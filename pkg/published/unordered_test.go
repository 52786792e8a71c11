package published

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// TestOlderPeerKnowsMore guards against VMs of a new version that serve by an old configuration, and send to
// upstreams that leave, while only VMs of an older version reach the store.
func TestOlderPeerKnowsMore(t *testing.T) {
	s := newState(configItem(1, 1), upstreamItem("a", 1, 1, false, 2), upstreamItem("b", 1, 1, false, 3), upstreamItem("c", 1, 1, false, 4))
	later := s.FreshAt().Add(time.Second)
	s.OfferUnordered(later, replica.Changes{IsDelta: true, Items: []replica.Item{
		configItem(2, 100), upstreamItem("a", 1, 2, true, 101), {Key: upPrefix + "b", Revision: 102, Deleted: true},
	}}, later)
	if versionOf(s) != 2 {
		t.Errorf("version %d is in force", versionOf(s))
	}
	expectInService(t, s, "c")
	// The VM's own tables decide again once they have the change.
	s.Watch(later, []replica.Item{upstreamItem("a", 1, 3, false, 9), upstreamItem("b", 1, 2, false, 10)}, at10(s), later.Add(time.Second))
	expectInService(t, s, "a", "b", "c")
}

func at10(s *State) replica.Position { return replica.Position{Era: s.Position().Era, Revision: 10} }

func expectInService(t *testing.T, s *State, expected ...string) {
	t.Helper()
	found := inService(s)
	for _, id := range expected {
		if !found[id] {
			t.Errorf("%s is not in service", id)
		}
	}
	if len(found) != len(expected) {
		t.Errorf("%v are in service, expected %v", found, expected)
	}
}

// TestOlderPeerKnowsLess guards against an older VM that takes a configuration or an upstream out of force, since it
// has an earlier state of them or its items are older.
func TestOlderPeerKnowsLess(t *testing.T) {
	later := func(s *State) clock.Instant { return s.FreshAt().Add(time.Second) }
	for name, c := range map[string]struct {
		item  replica.Item
		fresh func(s *State) clock.Instant
	}{
		"lower version":              {configItem(4, 100), later},
		"earlier state":              {upstreamItem("a", 2, 4, true, 100), later},
		"earlier process":            {upstreamItem("a", 1, 9, true, 100), later},
		"items that are not fresher": {upstreamItem("a", 2, 9, true, 100), (*State).FreshAt},
	} {
		s := newState(configItem(5, 1), upstreamItem("a", 2, 5, false, 2))
		update := s.OfferUnordered(s.FreshAt().Add(time.Second), replica.Changes{IsDelta: true, Items: []replica.Item{c.item}}, c.fresh(s))
		if versionOf(s) != 5 || update.HasChanges {
			t.Errorf("%s: version %d, changes %v", name, versionOf(s), update.HasChanges)
		}
		expectInService(t, s, "a")
	}
}

// TestOlderPeerWithoutEntries guards against a pool without upstreams because the entries at an older VM have expired
// in an outage of the store, and against upstreams that stay out of service after it.
func TestOlderPeerWithoutEntries(t *testing.T) {
	s := newState(configItem(1, 1), upstreamItem("a", 1, 1, false, 2), upstreamItem("b", 1, 1, false, 3))
	later := s.FreshAt().Add(time.Second)
	s.OfferUnordered(later, replica.Changes{Items: []replica.Item{configItem(1, 1)}, Keys: []string{configKey}}, later)
	expectInService(t, s, "a", "b")
	s.OfferUnordered(later, replica.Changes{IsDelta: true, Items: []replica.Item{upstreamItem("c", 1, 1, false, 9)}}, later.Add(1))
	expectInService(t, s, "a", "b")
	s = newState(configItem(1, 1), upstreamItem("a", 1, 1, false, 2), upstreamItem("b", 1, 1, false, 3))
	s.OfferUnordered(later, replica.Changes{Items: []replica.Item{configItem(1, 1)}, Keys: []string{configKey, upPrefix + "b"}}, later)
	expectInService(t, s, "b")
	s.Tick(later.Add(registry.WithholdTime))
	expectInService(t, s, "a", "b")
}
