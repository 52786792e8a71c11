package enginepool

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestHugeRequestEnds guards against an engine that is avoided for hours after one malformed request: once the
// request has expired or ended, nothing of it is left to read.
func TestHugeRequestEnds(t *testing.T) {
	p := newPool(1)
	request := Request{ID: "huge", PromptTokens: math.MaxInt, OutputTokens: math.MaxInt, Parts: []Part{{ID: 1, Tokens: math.MaxInt}}}
	if placed := place(t, p, start, request); placed.Expected <= 0 || placed.Expected > 10*time.Minute {
		t.Errorf("expected time %v", placed.Expected)
	}
	after := start.Add(p.maxFlightTime())
	if placed := place(t, p, after, Request{ID: "next", PromptTokens: 1000}); placed.Wait != 0 {
		t.Errorf("a request waits %v for one that has expired", placed.Wait)
	}
	p.End(after, "next", Outcome{Engine: "a"})
	if e := p.byID["a"]; p.InFlight() != 0 || e.tokens != 0 || e.readUntil > after {
		t.Errorf("%d requests and %d tokens in flight, reading until %v", p.InFlight(), e.tokens, e.readUntil)
	}
}

// TestHostileMeasurements guards against averages that one impossible measurement decides.
func TestHostileMeasurements(t *testing.T) {
	p := newPool(2)
	for i := range 50 {
		for _, id := range []string{"a", "b"} {
			p.End(start, fmt.Sprint(i), Outcome{Engine: id, FirstEvent: 80 * time.Millisecond, EventGap: 30 * time.Millisecond, Events: 20})
		}
	}
	want := p.gap.value
	for _, o := range []Outcome{
		{Engine: "a", EventGap: math.MaxInt64, Events: 20},
		{Engine: "a", EventGap: -5, Events: 20},
		{Engine: "a", EventGap: time.Second, Events: math.MaxInt},
		{Engine: "a", EventGap: time.Second, Events: -1},
		{Engine: "a", FirstEvent: math.MaxInt64},
	} {
		p.End(start, "x", o)
		if p.gap.value != want {
			t.Fatalf("outcome %+v changed the time between events to %v", o, time.Duration(p.gap.value))
		}
	}
	for _, cold := range []time.Duration{-1, math.MaxInt64, maxColdStart + 1} {
		p.RecordColdStart(start, "a", 1, cold)
		if p.byID["a"].ColdUntil != 0 {
			t.Fatalf("a cold start of %v was accepted", cold)
		}
	}
}

// TestCacheModelIsBounded guards against a model of a cache that grows without limit: engines may state no
// memory, and parts may be tiny.
func TestCacheModelIsBounded(t *testing.T) {
	p := New()
	p.Configure(Limits{}, testEngines(1))
	for i := range 3 * maxEntries {
		id := fmt.Sprint(i)
		place(t, p, start, Request{ID: id, PromptTokens: 10, Parts: []Part{{ID: uint64(i + 1), Tokens: 1}, {ID: 1 << 40, Tokens: 0}}})
		p.End(start, id, Outcome{Engine: "a", FirstEvent: 1})
	}
	if e := p.byID["a"]; e.cache.order.Len() > maxEntries || len(e.cache.entries) > maxEntries || len(p.parts.byID) > maxEntries {
		t.Errorf("%d entries, %d parts of the engine and %d in all", e.cache.order.Len(), len(e.cache.entries), len(p.parts.byID))
	}
	if p.parts.byID[1<<40] != nil {
		t.Error("a part without tokens is known")
	}
}

// TestFlightsAreBounded guards against an owner whose memory requests without an end exhaust.
func TestFlightsAreBounded(t *testing.T) {
	p := newPool(1)
	p.limits = Limits{}
	for i := range maxFlights {
		place(t, p, start, Request{ID: fmt.Sprint(i)})
	}
	if _, ok := p.Place(start, &Request{ID: "one more"}); ok {
		t.Error("the request was placed")
	}
	if _, ok := p.Place(start.Add(time.Hour), &Request{ID: "later"}); !ok || p.InFlight() != 1 {
		t.Errorf("%d requests in flight an hour later", p.InFlight())
	}
}

// TestEarlierInstanceIsIgnored guards against measurements, cold starts and reports of an instance that has
// ended which count for the one that has started under its ID.
func TestEarlierInstanceIsIgnored(t *testing.T) {
	p := newPool(1)
	place(t, p, start, Request{ID: "old", PromptTokens: 1000})
	p.Configure(testLimits, []Engine{{ID: "a", Zone: "z", Start: 2}})
	if p.InFlight() != 0 {
		t.Fatal("the new instance has the request of the old one in flight")
	}
	p.End(start, "old", Outcome{Engine: "a", Start: 1, Result: Unreachable})
	p.RecordColdStart(start, "a", 1, time.Minute)
	if p.RecordReport(start, "a", 1, Report{Running: 50}) {
		t.Error("a report of the old instance was accepted")
	}
	if placed := place(t, p, start, Request{ID: "new", PromptTokens: 1000}); placed.Wait != 0 {
		t.Errorf("the request waits %v", placed.Wait)
	}
	p.End(start, "new", Outcome{Engine: "a", Start: 2, Result: Unreachable})
	if _, ok := p.Place(start, &Request{ID: "next"}); ok {
		t.Error("an engine in backoff was chosen")
	}
}

// TestWholeResponseKeepsParts guards against forgetting what an engine has read for a response that is no stream:
// it has no events.
func TestWholeResponseKeepsParts(t *testing.T) {
	p := newPool(4)
	request := Request{ID: "1", Parts: []Part{{ID: 7, Tokens: 5000}}, PromptTokens: 6000, Slack: time.Second}
	first := place(t, p, start, request)
	now := start.Add(time.Second)
	p.End(now, "1", Outcome{Engine: first.Engine, Result: Completed})
	request.ID = "2"
	if second := place(t, p, now, request); second.Engine != first.Engine || second.CachedTokens != 5000 {
		t.Errorf("the second request goes to %s with %d tokens cached, the first went to %s", second.Engine, second.CachedTokens, first.Engine)
	}
	if p.duration.value == 0 {
		t.Error("the time of the response was not learned")
	}
}
