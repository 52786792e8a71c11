package published

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// newState returns a state with a listing of era 1 at revision 100.
func newState(items ...replica.Item) *State {
	s := New(decodeTest)
	s.List(at(0), items, pos(1, 100), at(0))
	return s
}

func expectUpstreams(t *testing.T, s *State, expected map[string]string) {
	t.Helper()
	if diff := cmp.Diff(expected, stateOf(s)); diff != "" {
		t.Error(diff)
	}
}

// TestHigherEraReplacesTables guards against tables of a store that returned from a copy being refused since
// their revision is lower, and against late answers of the old era that take effect.
func TestHigherEraReplacesTables(t *testing.T) {
	s := newState(configItem(7, 90), upstreamItem("a", 1, 1, false, 80))
	update := s.List(at(500), []replica.Item{configItem(7, 30), upstreamItem("b", 1, 1, false, 31)}, pos(2, 40), at(500))
	if update.NewEra == nil || !update.HasGap || !update.HasChanges || update.NewEra.From != pos(1, 100) || update.NewEra.To != pos(2, 40) {
		t.Fatalf("update %+v", update)
	}
	s.Watch(at(510), []replica.Item{configItem(8, 41)}, pos(2, 41), at(510))
	for name, late := range map[string]func() Update{
		"listing": func() Update {
			return s.List(at(520), []replica.Item{configItem(9, 200)}, pos(1, 200), at(400))
		},
		"watch": func() Update {
			return s.Watch(at(520), []replica.Item{configItem(9, 200)}, pos(1, 200), at(400))
		},
		"listing without an era": func() Update {
			return s.List(at(520), []replica.Item{configItem(9, 200)}, pos(0, 200), at(520))
		},
		"tables of a peer": func() Update {
			return s.Merge(at(520), pos(1, 100), replica.Changes{IsDelta: true, Items: []replica.Item{configItem(9, 200)}}, pos(1, 200), at(520))
		},
		"confirmation of a peer": func() Update { return s.Confirm(at(520), pos(2, 41), pos(1, 200), at(520)) },
	} {
		if update := late(); update.HasChanges || s.Position() != pos(2, 41) || s.Configuration().Version != 8 || s.FreshAt() != at(510) {
			t.Errorf("a late %s changed the state: position %v, version %d", name, s.Position(), s.Configuration().Version)
		}
	}
	s.Tick(at(3000))
	expectUpstreams(t, s, map[string]string{"b": "ready"})
}

// expectKept compares the items that are handed on beside those of the store.
func expectKept(t *testing.T, s *State, expected ...replica.Item) {
	t.Helper()
	if diff := cmp.Diff(expected, s.Kept(0)); diff != "" {
		t.Error(diff)
	}
}

// TestConfigurationStaysInForce guards against a removed key or route that is in force again since the copy
// has an older configuration or none, and against VMs that pull and get that one.
func TestConfigurationStaysInForce(t *testing.T) {
	for name, listed := range map[string][]replica.Item{
		"none": nil, "older": {configItem(5, 30)}, "malformed": {{Key: configKey, Value: []byte("?"), Revision: 30}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState(configItem(7, 90))
			update := s.List(at(500), listed, pos(2, 40), at(500))
			if s.Configuration().Version != 7 || update.NewEra.KeptConfiguration != 7 {
				t.Errorf("version %d in force, change %+v", s.Configuration().Version, update.NewEra)
			}
			started := New(decodeTest)
			pull(at(510), s, started)
			if started.Configuration() == nil || started.Configuration().Version != 7 {
				t.Error("a VM that has just started did not get the configuration in force")
			}
			s.List(at(600), listed, pos(2, 42), at(600)) // The store has dropped its history.
			expectKept(t, s, configItem(7, 0))
			s.Watch(at(650), []replica.Item{configItem(6, 43)}, pos(2, 43), at(650))
			expectKept(t, s, configItem(7, 0))
			for _, version := range []int64{7, 8} {
				revision := 50 + uint64(version)
				s.Watch(at(700), []replica.Item{configItem(version, revision)}, pos(2, revision), at(700))
				if stored, _ := s.replica.Item(configKey); s.Configuration().Version != version || stored.Revision != revision {
					t.Errorf("version %d in force with the item at revision %d after version %d was written", s.Configuration().Version, stored.Revision, version)
				}
				expectKept(t, s)
			}
		})
	}
}

// TestDrainingUpstreamStaysDrainingAfterDrill guards against new work for an upstream that leaves, since the
// copy lists it as ready.
func TestDrainingUpstreamStaysDrainingAfterDrill(t *testing.T) {
	s := newState(upstreamItem("a", 1, 9, true, 90), upstreamItem("restarted", 2, 1, true, 91))
	update := s.List(at(500), []replica.Item{upstreamItem("a", 1, 7, false, 20), upstreamItem("restarted", 1, 50, false, 21)}, pos(2, 40), at(500))
	if update.NewEra.Stale != 2 {
		t.Errorf("change %+v", update.NewEra)
	}
	s.Tick(at(60_000))
	expectUpstreams(t, s, map[string]string{"a": "draining", "restarted": "draining"})
	s.Watch(at(60_000), []replica.Item{removed(upPrefix+"a", 41), upstreamItem("restarted", 2, 2, false, 42)}, pos(2, 42), at(60_000))
	s.Tick(at(70_000))
	expectUpstreams(t, s, map[string]string{"restarted": "ready"})
}

// TestRemovedUpstreamIsWithheldAfterDrill guards against new work for an upstream that has left, since the copy
// lists it, and against one that lives and stays out of service.
func TestRemovedUpstreamIsWithheldAfterDrill(t *testing.T) {
	var items, copied []replica.Item
	for i, id := range []string{"gone", "written", "silent", "new process"} {
		items = append(items, upstreamItem(id, 1, 9, false, uint64(50+i)))
		copied = append(copied, upstreamItem(id, 1, 9, false, uint64(20+i)))
	}
	copied[3] = upstreamItem("new process", 2, 1, false, 23)
	s := newState(items...)
	s.List(at(400), nil, pos(1, 110), at(400)) // All are removed.
	if update := s.List(at(500), copied, pos(2, 40), at(500)); update.NewEra.Withheld != 3 {
		t.Errorf("change %+v", update.NewEra)
	}
	expectUpstreams(t, s, map[string]string{"new process": "ready"})
	s.Watch(at(600), []replica.Item{upstreamItem("written", 1, 10, false, 41)}, pos(2, 41), at(600))
	expectUpstreams(t, s, map[string]string{"new process": "ready", "written": "ready"})
	s.Watch(at(4400), []replica.Item{removed(upPrefix+"gone", 42)}, pos(2, 42), at(4400))
	s.Tick(at(5400))
	expectUpstreams(t, s, map[string]string{"new process": "ready", "written": "ready"})
	released := s.Tick(at(5600))
	if !released.HasChanges || len(released.Decisions) != 1 || released.Decisions[0].Verdict != ReleasedEntry {
		t.Errorf("update %+v when the entry had stayed long enough", released)
	}
	expectUpstreams(t, s, map[string]string{"new process": "ready", "written": "ready", "silent": "ready"})
}

// TestMissingUpstreamsMayRegisterAgain guards against a pool that is empty since the copy is older than the
// start of its upstreams.
func TestMissingUpstreamsMayRegisterAgain(t *testing.T) {
	s := newState(upstreamItem("a", 1, 1, false, 50), upstreamItem("b", 1, 1, false, 51))
	if update := s.List(at(500), nil, pos(2, 40), at(500)); update.NewEra.Missing != 2 {
		t.Errorf("change %+v", update.NewEra)
	}
	s.Watch(at(1500), []replica.Item{upstreamItem("a", 1, 2, false, 41)}, pos(2, 41), at(1500))
	expectUpstreams(t, s, map[string]string{"a": "ready", "b": "ready"})
	s.Tick(at(2500))
	expectUpstreams(t, s, map[string]string{"a": "ready"})
}

// TestZoneStaysOutAfterDrill guards against requests to a zone that is out of service, since the copy does not
// list it, and against one that stays out for ever.
func TestZoneStaysOutAfterDrill(t *testing.T) {
	listed := func(zone string, revision uint64) replica.Item {
		return replica.Item{Key: zonePrefix + zone, Value: []byte("{}"), Revision: revision}
	}
	s := newState(listed("a", 60), listed("b", 61), listed("c", 62))
	if update := s.List(at(500), []replica.Item{listed("back", 20)}, pos(2, 40), at(500)); update.NewEra.KeptZones != 3 {
		t.Errorf("change %+v", update.NewEra)
	}
	s.Watch(at(600), []replica.Item{listed("a", 41), listed("b", 42), removed(zonePrefix+"b", 43)}, pos(2, 43), at(600))
	if diff := cmp.Diff(map[string]bool{"a": true, "c": true, "back": true}, s.ZonesOut()); diff != "" {
		t.Error(diff)
	}
	s.Tick(at(10_600))
	if diff := cmp.Diff(map[string]bool{"a": true, "back": true}, s.ZonesOut()); diff != "" {
		t.Error(diff)
	}
}

// TestPeerThatKnowsNoEra guards against a VM that takes the changes after its revision for the tables of a
// higher era: it would lack all others. Its items come from a VM of an older version.
func TestPeerThatKnowsNoEra(t *testing.T) {
	reader := newState(configItem(7, 90), upstreamItem("a", 1, 1, false, 50))
	s := New(decodeTest)
	s.List(at(0), []replica.Item{upstreamItem("a", 1, 1, false, 50)}, pos(0, 60), at(0))
	for range 2 {
		requested := s.PullPosition()
		s.Merge(at(100), requested, reader.ChangesSince(requested, true), reader.Position(), at(100))
	}
	if s.Position() != pos(1, 100) || len(s.Upstreams()) != 1 || s.Configuration() == nil || s.PullPosition() != pos(1, 100) {
		t.Errorf("position %v with %d upstreams", s.Position(), len(s.Upstreams()))
	}
}

// TestChangesOfAnEraAfterAnother guards against changes after a revision of one era that are applied to the
// items of another: the items that changed in between would be missing.
func TestChangesOfAnEraAfterAnother(t *testing.T) {
	s := New(decodeTest)
	s.List(at(0), nil, pos(0, 60), at(0))
	s.List(at(100), nil, pos(2, 40), at(100))
	s.Merge(at(200), pos(0, 60), replica.Changes{IsDelta: true, Items: []replica.Item{configItem(7, 70)}}, pos(2, 70), at(200))
	if s.Position() != pos(2, 40) {
		t.Errorf("position %v after changes that follow another one", s.Position())
	}
}
