package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// TestPieceThatCrashesUpstreams guards against a request that crashes one upstream after the other with the
// pieces of a stage, and is stopped by no VM, whether or not its VM owns the pool.
func TestPieceThatCrashesUpstreams(t *testing.T) {
	var guardClock partClock
	f := startFleetWith(t, 2, nil, guardClock.install)
	model := newTestUpstream(t, "m", nil)
	stages := make([]*testUpstream, 16)
	var reached atomic.Int64
	for i := range stages {
		stages[i] = newTestUpstream(t, fmt.Sprint("s", i), nil)
		stages[i].beforeStage = func() {
			reached.Add(1)
			stages[i].crash()
		}
	}
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}
	pools := map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}}
	f.publish(&catalog.Catalog{Version: 1, Pools: pools, Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) {
			r.Stages, r.Objective, r.Timeout = []catalog.Stage{{Pool: "a"}}, time.Minute, time.Minute
		}),
	}}, append(catalogUpstreams("p", model), catalogUpstreams("a", stages...)...)...)
	owner := f.awaitOwner(t, "a")
	other := slices.IndexFunc(f.servers, func(s *Server) bool { return s.settings.VM != owner })
	sent := 0
	await(t, "the request blocked on all VMs", func() bool {
		if sent < 5 {
			_, _, _ = f.send(other, "deadly", "/x/", map[string]string{"Prompt": "shared last"}) // It is refused.
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
	response, body, err := f.send(other, "deadly", "/x/", nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || !strings.Contains(body, "upstream_failed") {
		t.Errorf("response %v, body %q, error %v; expected status 502", response, body, err)
	}
	if n := reached.Load() - before; n != 0 {
		t.Errorf("%d calls reached upstreams after the request was blocked", n)
	}
}

// TestSuspectOfStageCall guards against a stage call that blames other requests, or exhausts memory.
func TestSuspectOfStageCall(t *testing.T) {
	sent := suspect{fingerprint: poison.Fingerprint{1, 2, 3}, parts: partsOf("a", "b")}
	var request hoistv1.RunStageRequest
	setSuspect(withSuspect(t.Context(), sent), &request)
	received, ok := suspectOf(withSuspectOf(t.Context(), &request))
	if !ok || received.fingerprint != sent.fingerprint || !slices.Equal(received.parts, sent.parts) {
		t.Errorf("received %v, expected %v", received, sent)
	}
	for _, n := range []int{0, 1, fingerprintBytes - 1, fingerprintBytes + 1, 2 * fingerprintBytes} {
		request := hoistv1.RunStageRequest{Fingerprint: make([]byte, n), PromptParts: []uint64{1}}
		if _, ok := suspectOf(withSuspectOf(t.Context(), &request)); ok {
			t.Errorf("a fingerprint of %d bytes is accepted", n)
		}
	}
	for n, expected := range map[int]int{maxStageParts: maxStageParts, maxStageParts + 1: 0} {
		request := hoistv1.RunStageRequest{Fingerprint: make([]byte, fingerprintBytes), PromptParts: make([]uint64, n)}
		if received, ok := suspectOf(withSuspectOf(t.Context(), &request)); !ok || len(received.parts) != expected {
			t.Errorf("%d parts: received %v, expected %d parts", n, received, expected)
		}
	}
	sent.parts = make([]poison.Part, 2*maxStageParts)
	setSuspect(withSuspect(t.Context(), sent), &request)
	if n := len(request.GetPromptParts()); n != maxStageParts {
		t.Errorf("%d parts sent, expected %d", n, maxStageParts)
	}
}
