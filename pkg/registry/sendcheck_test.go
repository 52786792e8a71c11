package registry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestCheckSend guards against requests that are sent to an upstream although the VM knows that it takes no work.
func TestCheckSend(t *testing.T) {
	chosen := &Entry{Upstream: catalog.Upstream{ID: "a", Pool: "p", Address: "x:1", StartID: 1}}
	change := func(f func(e *Entry)) *Entry {
		e := *chosen
		f(&e)
		return &e
	}
	for _, c := range []struct {
		current   *Entry
		isZoneOut bool
		expected  SendVerdict
	}{
		{chosen, false, SendAllowed},
		{change(func(e *Entry) { e.StartID, e.Sequence = 2, 7 }), false, SendAllowed},
		{nil, false, SendRemoved},
		{change(func(e *Entry) { e.Draining = true }), false, SendDraining},
		{change(func(e *Entry) { e.Address = "x:2" }), false, SendMoved},
		{change(func(e *Entry) { e.Pool = "q" }), false, SendMoved},
		{chosen, true, SendZoneOut},
	} {
		if verdict := CheckSend(chosen, c.current, c.isZoneOut); verdict != c.expected {
			t.Errorf("%+v, zone out %v: %v, expected %v", c.current, c.isZoneOut, verdict, c.expected)
		}
	}
}

// TestSendFollowsRegistry changes a registry at random between the choice of an upstream and the send. It guards
// against a send that the registry does not allow at that time, and against one that is withheld without a reason.
func TestSendFollowsRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(), clock.Instant(1000)
		draw := func() catalog.Upstream {
			return catalog.Upstream{
				ID: "a", Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), Address: rapid.SampledFrom([]string{"x:1", "x:2"}).Draw(t, "address"),
				StartID: rapid.Int64Range(1, 2).Draw(t, "start"), Draining: rapid.Bool().Draw(t, "draining"),
			}
		}
		first := draw()
		first.Draining = false
		r.Put(now, first)
		chosen := r.Get("a")
		latest, registered := first, true
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			if registered = rapid.Bool().Draw(t, "registered"); registered {
				latest = draw()
				r.Put(now, latest)
			} else {
				r.Remove(now, "a")
			}
		}
		allowed := registered && !latest.Draining && latest.Pool == first.Pool && latest.Address == first.Address
		if verdict := CheckSend(chosen, r.Get("a"), false); (verdict == SendAllowed) != allowed {
			t.Fatalf("%v for %+v after %+v", verdict, latest, first)
		}
	})
}
