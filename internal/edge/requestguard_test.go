package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"google.golang.org/grpc/metadata"

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
			if n := len(report.GetFingerprint()); n != maxReportedRequests*fingerprintBytes || len(report.GetParts()) > maxReportedParts {
				t.Errorf("%d bytes of fingerprints and %d parts", n, len(report.GetParts()))
			}
			prompts := splitPrompts(partsFromProto(report.GetParts()))
			if len(prompts) != maxReportedRequests || len(prompts[1]) != 2 || prompts[1][1] != poison.PartOf("1") {
				t.Errorf("%d prompts, the second is %v", len(prompts), prompts[1])
			}
		}
		synctest.Wait()
		if len(sent) > 0 {
			t.Error("the reports were sent twice")
		}
	})
}

// TestMalformedStrikeIsRejected guards against a message that makes a VM blame requests at random.
func TestMalformedStrikeIsRejected(t *testing.T) {
	f := startFleet(t, 1, nil)
	for _, n := range []int{1, fingerprintBytes + 1, (maxReportedRequests + 1) * fingerprintBytes} {
		if _, err := (fleetServer{s: f.servers[0]}).Strike(t.Context(), &hoistv1.StrikeRequest{Fingerprint: make([]byte, n)}); err == nil {
			t.Errorf("a report with %d bytes of fingerprints is accepted", n)
		}
	}
}

// FuzzCrashMessages guards against messages about crashes that end the process, or that are kept without
// bound.
func FuzzCrashMessages(f *testing.F) {
	f.Add(make([]byte, 2*fingerprintBytes), []byte{1, 0, 2, 3, 0, 0}, int64(1), int64(1000))
	f.Fuzz(func(_ *testing.T, fingerprints, parts []byte, age, left int64) {
		guard := newPartGuard(bootclock.Now, zap.NewNop(), func([]poison.Part, []poison.Part) {})
		server := fleetServer{s: &Server{parts: guard, upstreams: newUpstreams(bootclock.Now, func(string) bool { return false })}}
		var list []uint64
		for _, part := range parts {
			list = append(list, uint64(part))
		}
		_, _ = server.Strike(context.Background(), &hoistv1.StrikeRequest{Fingerprint: fingerprints, Upstream: "u", Parts: list}) // It may be rejected.
		guard.mergeBlocks([]*hoistv1.PromptBlock{{Parts: list, FirstCrashAgeMs: age, LeftMs: left}, {Parts: []uint64{0, 1}, LeftMs: left}, nil})
		_, _ = server.ClearParts(context.Background(), &hoistv1.ClearPartsRequest{Parts: list}) // It always succeeds.
		guard.checkRequest(1)
		guard.check([]poison.Part{1, 2, 3})
		guard.blocksForMessage()
		_, _ = suspectOf(metadata.NewIncomingContext(context.Background(), metadata.Pairs(fingerprintMetadata, string(fingerprints), partsMetadata, string(parts)))) // It may be malformed.
	})
}
