package placement

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestNothingIsSentBeforeTheAnswer guards against requests that reach an upstream in a cold start at
// the full rate, since it came back while the store was down.
func TestNothingIsSentBeforeTheAnswer(t *testing.T) {
	u := &Upstream{ID: "u", ColdRate: ColdRate{PerSecond: 1}}
	now := clock.Instant(time.Minute)
	u.Return.RecordLost(now)
	if chosen, status := Pick(now, &Request{}, []*Upstream{u}); chosen.Upstream != nil || status != AllBusy {
		t.Errorf("chose %v, status %d, before the question", chosen.Upstream, status)
	}
	if !u.TryAsk(now, false) || u.TryAsk(now, false) {
		t.Error("want one question")
	}
	u.Return.RecordLost(now) // Another connection that broke in the same crash.
	if pick(now.Add(time.Millisecond), &Request{}, []*Upstream{u}) != nil {
		t.Error("chosen while the question is under way")
	}
	u.Return.RecordAnswer(now)
	u.RecordColdStart(now, 3*time.Second)
	for range 2 {
		if chosen := pick(now, &Request{}, []*Upstream{u}); chosen != nil {
			chosen.RecordStart(now)
		}
	}
	if u.InFlight != 1 {
		t.Errorf("%d requests sent in the cold start, want one", u.InFlight)
	}
	for range 100 {
		now = now.Add(time.Second)
		if u.TryAsk(now, false) || u.TryAsk(now, true) {
			t.Fatal("asked again without an event")
		}
	}
}

// TestOtherUpstreamsArePreferred guards against requests that wait for an answer although another
// upstream is free, and against questions to an upstream in backoff that nobody needs.
func TestOtherUpstreamsArePreferred(t *testing.T) {
	upstreams := newUpstreams(2)
	now := clock.Instant(time.Minute)
	upstreams[0].RecordUnreachable(now)
	upstreams[0].Return.RecordLost(now)
	if upstreams[0].TryAsk(now, true) {
		t.Error("asked during the backoff although there is another upstream")
	}
	if chosen := pick(now, &Request{Zone: "z0"}, upstreams); chosen != upstreams[1] {
		t.Errorf("chose %v", chosen)
	}
	if !upstreams[0].TryAsk(now.Add(initialBackoff), true) {
		t.Error("not asked after the backoff")
	}
}

// TestQuestionWithoutAnswer guards against an upstream that gets no requests for ever because it does
// not answer questions, and against a question for each request while it is down.
func TestQuestionWithoutAnswer(t *testing.T) {
	u := &Upstream{ID: "u", ColdRate: UnlimitedColdRate}
	now := clock.Instant(time.Minute)
	u.Return.RecordLost(now)
	questions := 0
	for end := now.Add(10 * time.Second); now < end; now = now.Add(10 * time.Millisecond) {
		if u.TryAsk(now, false) {
			questions++
			u.Return.RecordRefusal(now, now)
		}
		if pick(now, &Request{}, []*Upstream{u}) != nil {
			t.Fatal("chosen although it refuses connections")
		}
	}
	if most := int(10*time.Second/refusedQuestionPause) + 1; questions < 2 || questions > most {
		t.Errorf("%d questions in ten seconds, want 2 to %d", questions, most)
	}
	now = now.Add(time.Second)
	if !u.TryAsk(now, false) {
		t.Fatal("not asked again")
	}
	if pick(now.Add(HealthTimeout-1), &Request{}, []*Upstream{u}) != nil {
		t.Error("chosen before the timeout")
	}
	now = now.Add(HealthTimeout)
	if pick(now, &Request{}, []*Upstream{u}) == nil || u.Return.IsAsking(now) {
		t.Error("not chosen after the timeout")
	}
	if u.TryAsk(now, false) {
		t.Error("asked again after the timeout")
	}
	u.Return.RecordLost(now)
	if u.Return.RecordAnswer(now.Add(-HealthTimeout)); !u.Return.Blocks(now) {
		t.Error("a late answer ended the wait after the next event")
	}
}
