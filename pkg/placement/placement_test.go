package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

func newUpstreams(n int) []*Upstream {
	out := make([]*Upstream, n)
	for i := range out {
		out[i] = &Upstream{ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%3), ColdRate: UnlimitedColdRate}
	}
	return out
}

// pick returns the chosen upstream, or nil.
func pick(now clock.Instant, r *Request, upstreams []*Upstream) *Upstream {
	choice, _ := Pick(now, r, upstreams)
	return choice.Upstream
}

// prefix returns the levels of a prompt with one shared part.
func prefix(part string) []PrefixLevel { return []PrefixLevel{{Part: rendezvous.HashOf(part)}} }

// TestPrefixKeepsItsUpstream guards against moving a prefix between upstreams, which wastes
// their prefix caches, and against overloading the upstream of a popular prefix.
func TestPrefixKeepsItsUpstream(t *testing.T) {
	upstreams := newUpstreams(9)
	first := pick(0, &Request{Prefix: prefix("p")}, upstreams)
	for range 3 {
		first.RecordStart(0)
		if again := pick(0, &Request{Prefix: prefix("p")}, upstreams); again != first {
			t.Fatalf("prefix moved from %s to %s with %d requests in flight", first.ID, again.ID, first.InFlight)
		}
	}
	for range 10 {
		first.RecordStart(0)
	}
	if again := pick(0, &Request{Prefix: prefix("p")}, upstreams); again == first {
		t.Errorf("%s was chosen with %d requests in flight while others are idle", first.ID, first.InFlight)
	}
}

// TestAllVMsPreferSameUpstreams guards against a preference that depends on the order in which
// a VM discovered the upstreams.
func TestAllVMsPreferSameUpstreams(t *testing.T) {
	a, b := newUpstreams(9), newUpstreams(9)
	b[0], b[8], b[3] = b[8], b[3], b[0]
	for i := range 50 {
		request := &Request{Prefix: prefix(fmt.Sprint("p", i))}
		first := pick(0, request, a)
		second := pick(0, request, b)
		if first.ID != second.ID {
			t.Errorf("prefix %d: the VMs chose %s and %s", i, first.ID, second.ID)
		}
	}
}

// TestColdRateLimit guards against exceeding the rate limit of a cold upstream in any
// one-second window.
func TestColdRateLimit(t *testing.T) {
	u := &Upstream{ID: "u", ColdUntil: clock.Instant(10 * time.Second), ColdRate: ColdRate{PerSecond: 2}}
	var starts []clock.Instant
	for now := clock.Instant(0); now < clock.Instant(3*time.Second); now = now.Add(10 * time.Millisecond) {
		if chosen := pick(now, &Request{}, []*Upstream{u}); chosen != nil {
			chosen.RecordStart(now)
			starts = append(starts, now)
		}
	}
	for i := 2; i < len(starts); i++ {
		if starts[i].Sub(starts[i-2]) < time.Second {
			t.Errorf("three requests between %v and %v, expected at most two", starts[i-2], starts[i])
		}
	}
	if len(starts) < 6 {
		t.Errorf("%d requests in three seconds, expected at least 6", len(starts))
	}
}

// TestFailuresMoveRequests guards against requests that keep going to an upstream that is
// unreachable, returns errors or has become slow.
func TestFailuresMoveRequests(t *testing.T) {
	for name, fail := range map[string]func(*Upstream){
		"unreachable": func(u *Upstream) { u.RecordUnreachable(0) },
		"errors": func(u *Upstream) {
			u.RecordError(0)
			u.RecordError(0)
		},
		"slow": func(u *Upstream) {
			for range 10 {
				u.RecordSuccess(0, 8)
			}
		},
	} {
		upstreams := newUpstreams(3)
		fail(upstreams[0])
		if chosen := pick(1, &Request{Zone: "z0"}, upstreams); chosen == upstreams[0] {
			t.Errorf("%s: the upstream was chosen again", name)
		}
	}
}

// TestUpstreamInBackoffIsFallback guards against rejecting requests while the only upstream is in
// backoff after one failure.
func TestUpstreamInBackoffIsFallback(t *testing.T) {
	upstreams := newUpstreams(1)
	upstreams[0].RecordUnreachable(0)
	if chosen := pick(1, &Request{}, upstreams); chosen == nil {
		t.Error("no upstream was chosen")
	}
	if _, status := Pick(1, &Request{Tried: map[string]bool{"u0": true}}, upstreams); status != AllBusy {
		t.Errorf("unexpected status %v", status)
	}
	if _, status := Pick(1, &Request{}, nil); status != NoneInService {
		t.Errorf("unexpected status %v", status)
	}
}

// TestPopularPrefixSpreadsInALargeFleet guards against overloading the upstream of a popular
// prefix in a fleet of 80 VMs, where each VM has only a few requests there but the fleet has
// hundreds.
func TestPopularPrefixSpreadsInALargeFleet(t *testing.T) {
	upstreams := newUpstreams(30)
	request := &Request{Prefix: prefix("p"), FleetWeight: 10}
	first := pick(0, request, upstreams)
	first.RecordStart(0)
	if again := pick(0, request, upstreams); again != first {
		t.Errorf("prefix moved away from %s after one request, which may be the only one of the fleet", first.ID)
	}
	first.RecordStart(0)
	if again := pick(0, request, upstreams); again == first {
		t.Errorf("%s was chosen again although the fleet has about twenty requests there", first.ID)
	}
}

// TestRestrictions guards against use of an excluded upstream, also as a preferred one or if no other
// is left, and against one of last resort that is used while another is available.
func TestRestrictions(t *testing.T) {
	now := clock.Instant(time.Hour)
	upstreams := []*Upstream{{ID: "a"}, {ID: "b"}}
	for _, prefix := range [][]PrefixLevel{nil, {{Part: rendezvous.HashOf("p")}}} {
		for excluded, other := range map[string]string{"a": "b", "b": "a"} {
			request := &Request{Prefix: prefix, Restrictions: map[string]Restriction{excluded: Excluded}}
			if choice, status := Pick(now, request, upstreams); status != Found || choice.Upstream.ID != other {
				t.Errorf("%s excluded: status %d, choice %+v", excluded, status, choice)
			}
			request.Restrictions[excluded] = LastResort
			if choice, status := Pick(now, request, upstreams); status != Found || choice.Upstream.ID != other {
				t.Errorf("%s as a last resort: status %d, choice %+v", excluded, status, choice)
			}
			request.Tried = map[string]bool{other: true}
			if choice, status := Pick(now, request, upstreams); status != Found || choice.Upstream.ID != excluded {
				t.Errorf("%s as the last resort that is left: status %d, choice %+v", excluded, status, choice)
			}
		}
		request := &Request{Prefix: prefix, Restrictions: map[string]Restriction{"a": Excluded, "b": Excluded}}
		if _, status := Pick(now, request, upstreams); status != AllBusy {
			t.Errorf("all excluded: status %d", status)
		}
	}
}
