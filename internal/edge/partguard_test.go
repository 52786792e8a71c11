package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// deadlyPart is the part of a prompt that crashes crashingUpstreams.
const deadlyPart = "deadly"

// crashingUpstreams returns upstreams that crash when they begin the answer to a request with
// deadlyPart in its prompt, and the number of these requests.
func crashingUpstreams(t *testing.T, n int) ([]*testUpstream, *atomic.Int64) {
	var reached atomic.Int64
	upstreams := make([]*testUpstream, n)
	for i := range upstreams {
		upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			if !strings.Contains(r.Header.Get("Prompt"), deadlyPart) {
				_, _ = io.WriteString(w, sseEvent(1)+sseEvent(2))
				return
			}
			reached.Add(1)
			_ = upstreams[i].server.Listener.Close()
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	return upstreams, &reached
}

// crashSpacing is the time between two crashes that makes them separate occasions.
const crashSpacing = 120 * time.Millisecond

// partClock is the clock of the guards of a fleet, which the test advances.
type partClock struct{ ahead atomic.Int64 }

func (c *partClock) advance(d time.Duration) { c.ahead.Add(int64(d)) }

// install makes a server use the clock.
func (c *partClock) install(s *Server) {
	s.parts.now = func() clock.Instant { return bootclock.Now().Add(time.Duration(c.ahead.Load())) }
}

func partsOf(ids ...string) []poison.Part {
	var parts []poison.Part
	for _, id := range ids {
		parts = append(parts, poison.PartOf(id))
	}
	return parts
}

func promptRoute(r *catalog.Route) { r.Resumable, r.HasPromptPrefixes = true, true }

// TestPromptPartThatCrashesUpstreams guards against requests that crash one upstream after the other by
// a part of the prompt that they have in common, and are stopped by no VM since no two are alike; and
// against refusing sound requests with the same other parts.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 3, nil, guardClock.install)
	upstreams, reached := crashingUpstreams(t, 16)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, promptRoute)},
	}, catalogUpstreams("p", upstreams...)...)
	isServed := func(vm int, id string) bool {
		_, body, err := f.send(vm, id, "/x/", map[string]string{"Prompt": "shared last-" + id})
		return err == nil && body == sseEvent(1)+sseEvent(2)
	}
	for vm := range f.servers {
		if !isServed(vm, fmt.Sprint("before-", vm)) {
			t.Fatalf("VM %d does not serve", vm)
		}
	}
	sent := 0
	sendDeadly := func() (status int, body string) {
		sent++
		id := fmt.Sprint("deadly-", sent)
		response, body, err := f.send(sent%3, id, "/x/", map[string]string{"Prompt": "shared " + deadlyPart + " last-" + id})
		if err != nil {
			return 0, ""
		}
		return response.StatusCode, body
	}
	await(t, "the part blocked on all VMs", func() bool {
		if sent < 6 {
			sendDeadly()
			guardClock.advance(crashSpacing)
		}
		for _, s := range f.servers {
			if s.parts.check(partsOf("shared", deadlyPart)) == nil {
				return false
			}
		}
		return true
	})
	before := reached.Load()
	for range 9 {
		if status, body := sendDeadly(); status != http.StatusBadGateway || !strings.Contains(body, `"run":"not_run"`) {
			t.Errorf("status %d, body %q; expected 502 and not_run", status, body)
		}
	}
	if n := reached.Load() - before; n != 0 {
		t.Errorf("%d requests reached upstreams after the part was blocked", n)
	}
	for vm := range f.servers {
		if !isServed(vm, fmt.Sprint("sound-", vm)) {
			t.Errorf("VM %d refuses sound requests with the same first part", vm)
		}
	}
}

// TestPromptPartThatCrashesAfterFirstEvent guards against requests of which no two are alike, and which crash
// upstreams by a part of their prompt just after the first event: each first event cleared the part.
func TestPromptPartThatCrashesAfterFirstEvent(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 1, nil, guardClock.install)
	upstreams := make([]*testUpstream, 16)
	for i := range upstreams {
		upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, sseEvent(1))
			_ = http.NewResponseController(w).Flush()
			upstreams[i].crash()
		})
	}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, promptRoute)},
	}, catalogUpstreams("p", upstreams...)...)
	for i := range 5 {
		_, _, _ = f.send(0, fmt.Sprint("r", i), "/x/", map[string]string{"Prompt": deadlyPart + " last"}) // Its answer is broken.
		guardClock.advance(crashSpacing)
	}
	guardClock.advance(time.Second)
	if f.servers[0].parts.check(partsOf(deadlyPart)) == nil {
		t.Error("the part is not blocked")
	}
}

// TestStreamThatGoesOnClearsParts guards against sound parts that stay under suspicion until long streams
// end.
func TestStreamThatGoesOnClearsParts(t *testing.T) {
	var guardClock partClock
	var cleared atomic.Bool
	f := startFleetWith(t, 1, nil, func(s *Server) {
		guardClock.install(s)
		s.now = s.parts.now
		s.parts.sendClears = func([]poison.Part, []poison.Part) { cleared.Store(true) }
	})
	release := make(chan struct{})
	upstream := newTestUpstream(t, "u", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, sseEvent(1))
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, sseEvent(2))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, promptRoute)},
	}, catalogUpstreams("p", upstream)...)
	f.servers[0].parts.recordCrash("gone", 1, partsOf("shared"))
	request, err := http.NewRequest(http.MethodPost, "http://"+f.servers[0].settings.Listen+"/x/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host, request.Header = "a.example", http.Header{"Request": {"r"}, "Prompt": {"shared last"}}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadFull(response.Body, make([]byte, len(sseEvent(1)))); err != nil {
		t.Fatal(err)
	}
	if cleared.Load() {
		t.Error("the first event clears the part")
	}
	guardClock.advance(soundStreamTime)
	release <- struct{}{}
	await(t, "the part cleared while the stream goes on", cleared.Load)
	release <- struct{}{}
}

// TestBlocksSpread guards against a VM that has started, or was cut off, and lets requests through that the
// other VMs know to crash upstreams.
func TestBlocksSpread(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 2, nil, guardClock.install)
	upstreams, _ := crashingUpstreams(t, 1)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, promptRoute)},
	}, catalogUpstreams("p", upstreams...)...)
	parts := partsOf(deadlyPart)
	for i := range 3 {
		f.servers[0].parts.recordCrash(fmt.Sprint("gone", i), 1, parts)
		guardClock.advance(crashSpacing)
	}
	await(t, "the part blocked on both VMs", func() bool {
		return f.servers[0].parts.check(parts) != nil && f.servers[1].parts.check(parts) != nil
	})
	f.servers[1].parts.recordAnswer(parts)
	await(t, "the part cleared on both VMs", func() bool {
		return f.servers[0].parts.check(parts) == nil && f.servers[1].parts.check(parts) == nil
	})
}

// TestErrorAnswerDoesNotClearPart guards against a part that crashes upstreams and is never blocked, since
// upstreams also reject requests with it before they begin to run them.
func TestErrorAnswerDoesNotClearPart(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 1, nil, guardClock.install)
	upstream := newTestUpstream(t, "u", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusUnprocessableEntity)
	})
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Idempotent, promptRoute)},
	}, catalogUpstreams("p", upstream)...)
	guard := f.servers[0].parts
	parts := partsOf(deadlyPart)
	for i := range 3 {
		response, _, err := f.send(0, fmt.Sprint("rejected-", i), "/x/", map[string]string{"Prompt": deadlyPart + " last"})
		if err != nil || response.StatusCode != http.StatusUnprocessableEntity {
			t.Fatalf("response %v, error %v", response, err)
		}
		guard.recordCrash(fmt.Sprint("gone", i), 1, parts)
		guardClock.advance(time.Second)
	}
	if guard.check(parts) == nil {
		t.Error("the part is not blocked")
	}
}

// TestBlockOfCutOffVMEnds guards against a VM that was cut off from upstreams and other VMs, blocked the
// part that all requests of a route share, and makes the others refuse them when it is back.
func TestBlockOfCutOffVMEnds(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 2, nil, guardClock.install)
	upstreams, _ := crashingUpstreams(t, 1)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, promptRoute)},
	}, catalogUpstreams("p", upstreams...)...)
	parts := partsOf("shared")
	for i := range 3 {
		f.servers[0].parts.recordCrash(fmt.Sprint("unreachable", i), 1, parts)
		guardClock.advance(time.Second)
		f.servers[1].parts.recordAnswer(parts)
	}
	guardClock.advance(time.Second)
	if f.servers[0].parts.check(parts) == nil {
		t.Fatal("the part is not blocked on the VM that knows of no answer")
	}
	await(t, "the part cleared on the VM that blocked it", func() bool {
		if f.servers[1].parts.check(parts) != nil {
			t.Fatal("the part is blocked on the VM where it is answered")
		}
		return f.servers[0].parts.check(parts) == nil
	})
}

// TestRefusalOfPromptStatesRun guards against a request that may run only once and is sent again after a
// crash, or that is said not to have run although an upstream began it.
func TestRefusalOfPromptStatesRun(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 1, nil, guardClock.install)
	upstreams, reached := crashingUpstreams(t, 8)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(),
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.HasPromptPrefixes = true })},
	}, catalogUpstreams("p", upstreams...)...)
	for i := range 6 {
		before := reached.Load()
		_, body, err := f.send(0, fmt.Sprint("r", i), "/x/", map[string]string{"Prompt": deadlyPart + " last"})
		if err != nil {
			t.Fatal(err)
		}
		runs, want := reached.Load()-before, `"run":"unknown"`
		if runs == 0 {
			want = `"run":"not_run"`
		}
		if runs > 1 || !strings.Contains(body, want) {
			t.Errorf("request %d: %d runs, body %q, expected %s", i, runs, body, want)
		}
		guardClock.advance(time.Second)
	}
	if n := reached.Load(); n != 3 {
		t.Errorf("%d requests reached upstreams, expected 3", n)
	}
}

// recordCrash records that an upstream crashed before it had answered a request with the parts.
func (g *partGuard) recordCrash(upstream string, start int64, parts []poison.Part) {
	g.recordCrashes(upstream, start, nil, [][]poison.Part{parts})
}
