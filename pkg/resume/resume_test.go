package resume

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

func at(ms int) clock.Instant { return clock.Instant(0).Add(time.Duration(ms) * time.Millisecond) }

var versions = rapid.SampledFrom([]string{"v1", "v2", "v3"})

var answers = rapid.Custom(func(t *rapid.T) Answer {
	a := Answer{Certainty: Certainty(rapid.IntRange(0, int(certaintyCount)-1).Draw(t, "certainty"))}
	if a.Known() {
		a.Origin = Origin{Pool: "p", Version: versions.Draw(t, "version")}
	}
	return a
})

// TestMerge guards against a decision that depends on the order in which VMs answer.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := answers.Draw(t, "a"), answers.Draw(t, "b"), answers.Draw(t, "c")
		if a.Merge(b) != b.Merge(a) {
			t.Errorf("%v and %v depend on the order", a, b)
		}
		if a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Errorf("%v, %v and %v depend on the order", a, b, c)
		}
		if a.Merge(a) != a || a.Merge(Answer{}) != a {
			t.Errorf("%v changes with itself or with nothing", a)
		}
		if a.Known() && b.Known() && a.Certainty == b.Certainty && a.Origin != b.Origin && a.Merge(b).Known() {
			t.Errorf("%v and %v contradict each other, and %v is taken", a, b, a.Merge(b))
		}
	})
}

// TestProvenAnswers guards against the rank of resumed streams for callers that only claim to resume one.
func TestProvenAnswers(t *testing.T) {
	for certainty := range certaintyCount {
		answer := Answer{Certainty: certainty}
		if expected := certainty == Cached || certainty == Recorded; answer.IsProven() != expected {
			t.Errorf("%s is proven: %v, expected %v", certainty, answer.IsProven(), expected)
		}
		if answer.IsProven() && !answer.Known() {
			t.Errorf("%s is proven but not known", certainty)
		}
	}
}

// TestHistory compares a history with a list of all observations. It guards against a version that is taken
// for the only one although another one was there, or may have been there unseen.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type observation struct {
			at       int
			versions map[string]bool
			gap      bool
		}
		var h History
		var seen []observation
		now := 1
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += rapid.IntRange(1, 500).Draw(t, "step")
			if len(seen) > 0 && rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				h.Interrupt(at(now))
				seen = append(seen, observation{at: now, versions: seen[len(seen)-1].versions, gap: true})
				continue
			}
			present, origins := map[string]bool{}, map[Origin]bool{{Pool: "other", Version: "v9"}: true}
			for range rapid.IntRange(0, 2).Draw(t, "count") {
				version := versions.Draw(t, "version")
				present[version], origins[Origin{Pool: "p", Version: version}] = true, true
			}
			h.Observe(at(now), origins)
			seen = append(seen, observation{at: now, versions: present})
			h.Expire(at(now - 2000))
		}
		now += rapid.IntRange(0, 300).Draw(t, "after")
		within := rapid.IntRange(1, 2000).Draw(t, "within")
		from := now - within
		there := map[string]bool{}
		isCovered := seen[0].at <= from
		for i, o := range seen {
			if o.gap && o.at > from {
				isCovered = false
			}
			if end := i + 1; end == len(seen) || seen[end].at >= from {
				for version := range o.versions {
					there[version] = true
				}
			}
		}
		got := h.Find(at(now), "p", time.Duration(within)*time.Millisecond)
		if got.Known() && (!isCovered || len(there) != 1 || !there[got.Origin.Version]) {
			t.Errorf("%v, but versions %v, covered %v", got, there, isCovered)
		}
		if !got.Known() && isCovered && len(there) == 1 {
			t.Errorf("%v, but the only version is %v", got, there)
		}
	})
}

// TestOrigins guards against records that are lost early, kept for ever, or chosen among several.
func TestOrigins(t *testing.T) {
	o := NewOrigins(3)
	origin := Origin{Pool: "p", Version: "v1"}
	keys := make([]Key, 5)
	for i := range keys {
		keys[i] = KeyOf("w", fmt.Sprint(i))
		o.Record(at(i), keys[i], origin)
	}
	for i, key := range keys {
		if answer := o.Find(key); answer.Known() != (i >= 2) {
			t.Errorf("record %d of 5: %v, with room for 3", i, answer)
		}
	}
	o.Record(at(10), keys[4], origin)
	if answer := o.Find(keys[4]); answer != (Answer{Certainty: Recorded, Origin: origin}) {
		t.Errorf("the same record twice: %v", answer)
	}
	o.Record(at(10), keys[4], Origin{Pool: "p", Version: "v2"})
	if answer := o.Find(keys[4]); answer.Certainty != Ambiguous {
		t.Errorf("two records that contradict each other: %v", answer)
	}
	if KeyOf("other", "4") == keys[4] {
		t.Error("two workspaces share a key")
	}
	o.Expire(at(4))
	if o.Size() != 1 || o.Find(keys[3]).Known() {
		t.Errorf("%d records after the retention of all but one", o.Size())
	}
}

// TestHolders guards against records that a zone takes with it, and against questions to VMs that have none.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ranking []fleet.Entry
		for i := range rapid.IntRange(0, 12).Draw(t, "vms") {
			ranking = append(ranking, fleet.Entry{Name: fmt.Sprint(i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")})
		}
		n := rapid.IntRange(0, 6).Draw(t, "n")
		few, more := Holders(ranking, n), Holders(ranking, n+3)
		zones, all := map[string]bool{}, map[string]bool{}
		for i, vm := range few {
			zones[vm.Zone] = true
			if more[i].Name != vm.Name {
				t.Errorf("%v is not the begin of %v", few, more)
			}
		}
		for _, vm := range ranking {
			all[vm.Zone] = true
		}
		if len(few) != min(n, len(ranking)) || len(zones) != min(n, len(all)) {
			t.Errorf("%d holders in %d zones, of %d VMs in %d zones", len(few), len(zones), len(ranking), len(all))
		}
	})
}
