package published

import (
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// carrier returns a state that keeps version 7 in era 2, whose copy holds version 5.
func carrier() *State {
	s := newState(configItem(7, 90))
	s.List(at(500), []replica.Item{configItem(5, 30)}, pos(2, 40), at(500))
	return s
}

// pull merges what a state knows into another one, as a pull between VMs does.
func pull(now clock.Instant, from, to *State) {
	requested, position := to.PullPosition(), from.Position()
	if from.HasChangesSince(requested) {
		if !from.HasValuesAfter(requested) {
			return
		}
		to.Merge(now, requested, from.ChangesSince(requested, true), position, from.FreshAt())
	} else {
		to.Confirm(now, requested, position, from.FreshAt())
	}
	to.OfferKept(now, position, from.Kept(versionOf(to)))
}

// versionOf returns the version of the configuration in force, or 0.
func versionOf(s *State) int64 {
	if c := s.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// handedOn returns the version that a VM that starts gets from a state.
func handedOn(s *State) int64 {
	started := New(decodeTest)
	pull(at(900), s, started)
	return versionOf(started)
}

// TestEraTakenFromPeerStaysCarried guards against a configuration that a peer keeps counting as the store's.
func TestEraTakenFromPeerStaysCarried(t *testing.T) {
	for name, isNew := range map[string]bool{"VM of the era before": false, "VM that starts": true} {
		t.Run(name, func(t *testing.T) {
			s := New(decodeTest)
			if !isNew {
				s = newState(configItem(7, 90))
			}
			pull(at(700), carrier(), s)
			s.Watch(at(800), []replica.Item{configItem(6, 41)}, pos(2, 41), at(800))
			if got := handedOn(s); got != 7 {
				t.Errorf("VMs that pull get version %d, in force is version %d", got, s.Configuration().Version)
			}
		})
		t.Run(name+", copy without configuration", func(t *testing.T) {
			from := newState(configItem(7, 90))
			from.List(at(500), nil, pos(2, 40), at(500))
			s := New(decodeTest)
			if !isNew {
				s = newState(configItem(7, 90))
			}
			pull(at(700), from, s)
			s.List(at(800), nil, pos(2, 45), at(800))
			if got := handedOn(s); got != 7 {
				t.Errorf("VMs that pull get version %d", got)
			}
		})
	}
}

// TestStartedVMGetsCarried guards against a VM that has read the copy and never gets what the others keep.
func TestStartedVMGetsCarried(t *testing.T) {
	for name, revision := range map[string]uint64{"same revision": 40, "one write later": 41} {
		t.Run(name, func(t *testing.T) {
			from, s := carrier(), New(decodeTest)
			s.List(at(600), []replica.Item{configItem(5, 30)}, pos(2, revision), at(600))
			from.Watch(at(650), []replica.Item{upstreamItem("a", 1, 1, false, 42)}, pos(2, 42), at(650))
			pull(at(700), from, s)
			if v := s.Configuration().Version; v != 7 {
				t.Errorf("version %d in force after a pull from a VM with 7", v)
			}
		})
	}
}

// TestSameVersionAfterPull guards against VMs that differ for good on a version that the operator writes
// again with another content.
func TestSameVersionAfterPull(t *testing.T) {
	reader, s := carrier(), newState(configItem(7, 90))
	pull(at(700), reader, s)
	again := replica.Item{Key: configKey, Value: append(configValue(7), " other"...), Revision: 41}
	reader.Watch(at(800), []replica.Item{again}, pos(2, 41), at(800))
	s.Watch(at(800), []replica.Item{again}, pos(2, 41), at(800))
	if a, b := string(reader.configuration.item.Value), string(s.configuration.item.Value); a != b {
		t.Errorf("in force: %q at the reader, %q at the VM that pulled", a, b)
	}
}

// TestStartedVMGetsKeptZone guards against requests to a zone that is out of service from a VM that starts, and
// against repeated answers, or later ones, that keep the zone out for longer.
func TestStartedVMGetsKeptZone(t *testing.T) {
	from := newState(replica.Item{Key: zonePrefix + "a", Value: []byte("x"), Revision: 90})
	from.List(at(500), nil, pos(2, 40), at(500))
	s := New(decodeTest)
	pull(at(700), from, s)
	if !from.ZonesOut()["a"] || !s.ZonesOut()["a"] {
		t.Errorf("zones out: %v at the source, %v at the VM that starts", from.ZonesOut(), s.ZonesOut())
	}
	pull(at(5000), from, s)
	s.Tick(at(10_700))
	pull(at(10_700), from, s)
	if s.ZonesOut()["a"] {
		t.Error("repeated answers keep the zone out of service")
	}
}

// TestStoreDecidesOnKeptZone guards against a zone that the store has returned to service and a peer takes out again.
func TestStoreDecidesOnKeptZone(t *testing.T) {
	zone := replica.Item{Key: zonePrefix + "a", Value: []byte("x"), Revision: 90}
	from, s := newState(zone), newState(zone)
	for _, state := range []*State{from, s} {
		state.List(at(500), nil, pos(2, 40), at(500))
	}
	zone.Revision = 41
	s.Watch(at(600), []replica.Item{zone}, pos(2, 41), at(600))
	expectKept(t, s)
	s.Watch(at(650), []replica.Item{removed(zone.Key, 42)}, pos(2, 42), at(650))
	pull(at(700), from, s)
	if s.ZonesOut()["a"] {
		t.Error("the zone is out of service although the store has returned it")
	}
}

// TestKeptItemsOfOtherEra guards against items of a peer that has not met the era yet, or is ahead of it.
func TestKeptItemsOfOtherEra(t *testing.T) {
	s := newState(configItem(7, 90))
	for _, era := range []uint64{0, 2} {
		if s.OfferKept(at(500), pos(era, 40), []replica.Item{configItem(8, 0)}).HasChanges || s.Configuration().Version != 7 {
			t.Errorf("items of a peer in era %d took effect in era 1", era)
		}
	}
}
