package published

import (
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// referTo returns an item with a reference in place of its value.
func referTo(item replica.Item) replica.Item {
	item.Reference, item.Value = replica.ReferenceTo(item.Value), nil
	return item
}

// TestKeptValueThatNoVMSends guards against a VM that asks forever for a value that its peer has kept from an earlier
// era and does not keep any more, and against one that it does not take when another peer refers to it.
func TestKeptValueThatNoVMSends(t *testing.T) {
	s := New(decodeTest)
	s.List(at(500), []replica.Item{configItem(5, 30)}, pos(2, 40), at(500))
	kept := configItem(7, 0)
	s.OfferKept(at(600), pos(2, 40), []replica.Item{referTo(kept)})
	wanted := s.Outstanding()
	if len(wanted) != 1 || s.Configuration().Version != 5 {
		t.Fatalf("outstanding %v, version %d in force", wanted, s.Configuration().Version)
	}
	s.Forget(wanted[0])
	if out := s.Outstanding(); len(out) != 0 {
		t.Fatalf("still outstanding: %v", out)
	}
	s.OfferKept(at(700), pos(2, 40), []replica.Item{referTo(kept)})
	wanted = s.Outstanding()
	wanted[0].Item.Value = kept.Value
	s.Supply(at(800), wanted[0].Era, wanted[0].Item)
	if s.Configuration().Version != 7 || len(s.Outstanding()) != 0 {
		t.Errorf("version %d in force, outstanding %v", s.Configuration().Version, s.Outstanding())
	}
}

// TestConfigurationIsOutdatedWhileOutstanding guards against requests with keys that are accepted by a configuration
// although a later one is known to exist, which may have taken a key away.
func TestConfigurationIsOutdatedWhileOutstanding(t *testing.T) {
	s := New(decodeTest)
	s.List(at(500), []replica.Item{configItem(5, 30)}, pos(2, 40), at(500))
	next := configItem(6, 41)
	s.Merge(at(900), pos(2, 40), replica.Changes{IsDelta: true, Items: []replica.Item{referTo(next)}}, pos(2, 41), at(900))
	if s.FreshAt() != at(900) || s.ConfigurationFreshAt() != at(500) {
		t.Errorf("items fresh at %v, configuration at %v", s.FreshAt(), s.ConfigurationFreshAt())
	}
	// The value of an item that has nothing to do with the configuration may never arrive.
	s.Merge(at(920), pos(2, 41), replica.Changes{IsDelta: true, Items: []replica.Item{referTo(replica.Item{Key: "other", Value: []byte("x"), Revision: 42})}}, pos(2, 42), at(900))
	wanted := s.Outstanding()[0]
	wanted.Item.Value = next.Value
	if s.Supply(at(950), wanted.Era, wanted.Item); s.ConfigurationFreshAt() != at(900) {
		t.Errorf("configuration fresh at %v once its value has arrived", s.ConfigurationFreshAt())
	}
}
