package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// requestKeyOf returns the key of the request that testFleet.send sends under an ID.
func requestKeyOf(id string) poison.Part {
	r := httptest.NewRequest(http.MethodPost, "/x/", nil)
	r.Host = "a.example"
	target, _ := catalog.ParseTarget("/x/") // It is a path.
	return requestFingerprint(&transaction{r: r, target: target, body: []byte("body of " + id)}).RequestKey()
}

// crash ends an upstream as a crash does while it runs a request.
func (u *testUpstream) crash() {
	_ = u.server.Listener.Close() // Later connections are refused.
	panic(http.ErrAbortHandler)
}

// TestAnswersOutweighCrashes guards against refusing all requests with the same path, key and body on all
// VMs after some upstreams crashed while they ran one of them, although the others are answered.
func TestAnswersOutweighCrashes(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 2, nil, guardClock.install)
	var crashNext atomic.Bool
	upstreams := make([]*testUpstream, 8)
	for i := range upstreams {
		upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(w http.ResponseWriter, _ *http.Request) {
			if crashNext.CompareAndSwap(true, false) {
				upstreams[i].crash()
			}
			writeSealed(w, "balance")
		})
	}
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)},
	}, catalogUpstreams("p", upstreams...)...)
	isServed := func(vm int) bool {
		response, body, err := f.send(vm, "same", "/x/", nil)
		return err == nil && response.StatusCode == http.StatusOK && body == "balance"
	}
	for n := range 5 {
		crashNext.Store(true)
		if isServed(0) {
			t.Fatalf("crash %d: the request that crashed an upstream is answered", n)
		}
		guardClock.advance(crashSpacing)
		if !isServed(0) {
			t.Errorf("the same request is refused after %d crashes", n+1)
		}
	}
	await(t, "the same request served by the other VM", func() bool { return isServed(1) })
}

// TestRequestThatCrashesUpstreams guards against a request that crashes one upstream after the other while
// it is answered, or before, and is stopped by no VM.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	for name, begin := range map[string]func(w http.ResponseWriter){
		"before the answer": func(http.ResponseWriter) {},
		"inside a whole answer": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "1000")
			writeSealed(w, "balance")
			_ = http.NewResponseController(w).Flush()
		},
		"after the first event": func(w http.ResponseWriter) {
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, sseEvent(1))
			_ = http.NewResponseController(w).Flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var guardClock partClock
			f := startFleetWith(t, 3, nil, guardClock.install)
			var reached atomic.Int64
			upstreams := make([]*testUpstream, 16)
			for i := range upstreams {
				upstreams[i] = newTestUpstream(t, fmt.Sprint("u", i), func(w http.ResponseWriter, _ *http.Request) {
					reached.Add(1)
					begin(w)
					upstreams[i].crash()
				})
			}
			kind := catalog.NonIdempotent
			if name == "after the first event" {
				kind = catalog.Stream
			}
			f.publish(&catalog.Catalog{
				Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", kind, nil)},
			}, catalogUpstreams("p", upstreams...)...)
			sent := 0
			await(t, "the request blocked on all VMs", func() bool {
				if sent < 6 {
					_, _, _ = f.send(sent%3, "deadly", "/x/", nil) // Its answer is broken.
					sent++
					guardClock.advance(crashSpacing)
				}
				for _, s := range f.servers {
					if !s.parts.checkRequest(requestKeyOf("deadly")) {
						return false
					}
				}
				return true
			})
			before := reached.Load()
			for vm := range f.servers {
				response, _, err := f.send(vm, "deadly", "/x/", nil)
				if err != nil || response.StatusCode != http.StatusBadGateway {
					t.Errorf("response %v, error %v; expected status 502", response, err)
				}
			}
			if n := reached.Load() - before; n != 0 {
				t.Errorf("%d requests reached upstreams after the request was blocked", n)
			}
		})
	}
}

// TestCrashesAreReportedTogether guards against one call to each VM for each request that a crash broke,
// and against reports without bound.
func TestCrashesAreReportedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports crashReports
		sent := make(chan []*hoistv1.StrikeRequest, 10)
		send := func(r []*hoistv1.StrikeRequest) { sent <- r }
		for start := range int64(2) {
			entry := &registry.Entry{Upstream: catalog.Upstream{ID: "u", StartID: start}}
			for i := range 2 * maxReportedRequests {
				reports.add(entry, suspect{fingerprint: poison.Fingerprint{byte(i), byte(i >> 8)}, parts: partsOf("shared", fmt.Sprint(i))}, send)
				reports.add(entry, suspect{fingerprint: poison.Fingerprint{byte(i), byte(i >> 8)}}, send)
			}
		}
		together := <-sent
		if len(together) != 2 {
			t.Fatalf("%d reports, expected one for each start", len(together))
		}
		for _, report := range together {
			requests, prompts, err := brokenRequests(report)
			if err != nil || len(requests) != maxReportedRequests || len(prompts) != maxReportedRequests {
				t.Fatalf("%d requests, %d prompts, error %v", len(requests), len(prompts), err)
			}
			if requests[1] != (poison.Fingerprint{1}).RequestKey() || !slices.Equal(prompts[1], partsOf("shared", "1")) {
				t.Errorf("the second request is %x with the parts %v", requests[1], prompts[1])
			}
			if len(report.GetFingerprint())+len(report.GetParts()) > 0 {
				t.Error("the fields of older versions are set")
			}
		}
		synctest.Wait()
		if len(sent) > 0 {
			t.Error("the reports were sent twice")
		}
	})
}

// TestPartsOfReportAreBounded guards against a report with more parts than its receivers accept, whose
// last requests they would read without their parts.
func TestPartsOfReportAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports crashReports
		sent := make(chan []*hoistv1.StrikeRequest, 1)
		entry := &registry.Entry{Upstream: catalog.Upstream{ID: "u"}}
		for i := range 3 {
			reports.add(entry, suspect{fingerprint: poison.Fingerprint{byte(i)}, parts: make([]poison.Part, maxReportedParts/2)}, func(r []*hoistv1.StrikeRequest) { sent <- r })
		}
		reports.add(entry, suspect{fingerprint: poison.Fingerprint{3}}, nil)
		report := (<-sent)[0]
		for i, expected := range []int{maxReportedParts / 2, maxReportedParts / 2, 0, 0} {
			if n := len(report.GetRequests()[i].GetParts()); n != expected {
				t.Errorf("request %d: %d parts, expected %d", i, n, expected)
			}
		}
	})
	_, prompts, err := brokenRequests(&hoistv1.StrikeRequest{Requests: []*hoistv1.BrokenRequest{
		{Fingerprint: make([]byte, fingerprintBytes), Parts: make([]uint64, maxReportedParts-1)},
		{Fingerprint: make([]byte, fingerprintBytes), Parts: make([]uint64, maxReportedParts)},
	}})
	if err != nil || len(prompts) != 2 || len(prompts[0]) != maxReportedParts-1 || len(prompts[1]) != 1 {
		t.Errorf("%d prompts, error %v", len(prompts), err)
	}
}

// TestCrashMessagesOfReleasedVersion guards against crashes that VMs of the released version report, and
// that are not counted, and against clears and blocks of theirs that are not understood. They know no
// requests as a whole, but send one fingerprint with its parts.
func TestCrashMessagesOfReleasedVersion(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 1, nil, guardClock.install)
	s := f.servers[0]
	fingerprint := poison.Fingerprint{1, 2, 3}
	for i := range 3 {
		report := &hoistv1.StrikeRequest{Fingerprint: fingerprint[:], Upstream: fmt.Sprint("u", i), Parts: partsToProto(partsOf("deadly")), UpstreamStart: 1}
		if _, err := (fleetServer{s: s}).Strike(t.Context(), report); err != nil {
			t.Fatal(err)
		}
		guardClock.advance(crashSpacing)
	}
	guardClock.advance(time.Second)
	if !s.parts.checkRequest(fingerprint.RequestKey()) {
		t.Error("the request is not blocked")
	}
	if s.parts.check(partsOf("deadly")) == nil {
		t.Error("the part is not blocked")
	}
	// The released version takes a block of a request for one without parts, which it ignores.
	for _, block := range s.parts.blocksForMessage() {
		if (block.GetRequest() == 0) != (len(block.GetParts()) > 0) {
			t.Errorf("the block %v is not one of either parts or a request", block)
		}
	}
	guardClock.advance(time.Second)
	if _, err := (fleetServer{s: s}).ClearParts(t.Context(), &hoistv1.ClearPartsRequest{Parts: partsToProto(partsOf("deadly"))}); err != nil {
		t.Fatal(err)
	}
	if s.parts.check(partsOf("deadly")) != nil {
		t.Error("the part is blocked after it was answered")
	}
	if !s.parts.checkRequest(fingerprint.RequestKey()) {
		t.Error("the answer to the part cleared the request")
	}
}

// TestMalformedStrikeIsRejected guards against a message that makes a VM blame requests at random.
func TestMalformedStrikeIsRejected(t *testing.T) {
	f := startFleet(t, 1, nil)
	valid := &hoistv1.BrokenRequest{Fingerprint: make([]byte, fingerprintBytes)}
	reports := map[string]*hoistv1.StrikeRequest{
		"too many requests": {Requests: slices.Repeat([]*hoistv1.BrokenRequest{valid}, maxReportedRequests+1)},
		"no fingerprint":    {Requests: []*hoistv1.BrokenRequest{valid, {}}},
		"missing request":   {Requests: []*hoistv1.BrokenRequest{valid, nil}},
	}
	for _, n := range []int{1, fingerprintBytes + 1, 2 * fingerprintBytes, (maxReportedRequests + 1) * fingerprintBytes} {
		reports[fmt.Sprint("fingerprint of ", n, " bytes")] = &hoistv1.StrikeRequest{Requests: []*hoistv1.BrokenRequest{valid, {Fingerprint: make([]byte, n)}}}
		reports[fmt.Sprint("fingerprint of ", n, " bytes, older version")] = &hoistv1.StrikeRequest{Fingerprint: make([]byte, n)}
	}
	for name, report := range reports {
		if _, err := (fleetServer{s: f.servers[0]}).Strike(t.Context(), report); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// FuzzCrashMessages guards against messages about crashes that end the process, or that are kept without
// bound.
func FuzzCrashMessages(f *testing.F) {
	f.Add(make([]byte, 2*fingerprintBytes), []byte{1, 0, 2, 3, 0, 0}, uint64(1), int64(1), int64(1000))
	f.Add(make([]byte, fingerprintBytes), []byte{1, 0, 2, 3, 0, 0}, uint64(0), int64(1), int64(1000))
	f.Fuzz(func(_ *testing.T, fingerprints, parts []byte, request uint64, age, left int64) {
		guard := newPartGuard(bootclock.Now, zap.NewNop(), func([]poison.Part, []poison.Part) {})
		server := fleetServer{s: &Server{metrics: newMetrics(prometheus.NewRegistry()), parts: guard, upstreams: newUpstreams(bootclock.Now, func(string) bool { return false })}}
		var list []uint64
		for _, part := range parts {
			list = append(list, uint64(part))
		}
		var broken []*hoistv1.BrokenRequest
		for fingerprint := range slices.Chunk(fingerprints, fingerprintBytes) {
			broken = append(broken, &hoistv1.BrokenRequest{Fingerprint: fingerprint, Parts: list})
		}
		_, _ = server.Strike(context.Background(), &hoistv1.StrikeRequest{Fingerprint: fingerprints, Upstream: "u", Parts: list}) // It may be rejected.
		_, _ = server.Strike(context.Background(), &hoistv1.StrikeRequest{Requests: append(broken, nil), Upstream: "v"})          // It is rejected.
		_, _ = server.Strike(context.Background(), &hoistv1.StrikeRequest{Requests: broken, Upstream: "v"})                       // It may be rejected.
		guard.mergeBlocks([]*hoistv1.PromptBlock{{Parts: list, FirstCrashAgeMs: age, LeftMs: left}, {Parts: list, Request: request, FirstCrashAgeMs: age, LeftMs: left}, {Request: 1, LeftMs: left}, nil})
		guard.blocksForMessage()
		_, _ = server.ClearParts(context.Background(), &hoistv1.ClearPartsRequest{Parts: list, Requests: append(list, request)}) // It always succeeds.
		guard.checkRequest(1)
		guard.check([]poison.Part{1, 2, 3})
		guard.blocksForMessage()
		withSuspectOf(context.Background(), &hoistv1.RunStageRequest{Fingerprint: fingerprints, PromptParts: list})
	})
}
