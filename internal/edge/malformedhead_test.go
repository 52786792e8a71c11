package edge

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// malformedHeads returns the heads, each made from a sound one, that are malformed.
func malformedHeads() map[string]func(head string) string {
	heads := map[string]func(string) string{}
	for _, status := range []string{"000", "099", "600", "999", "+20"} {
		heads["status "+status] = func(head string) string { return strings.Replace(head, "200 OK", status+" OK", 1) }
	}
	for _, line := range []string{"X y: z", "X : z", "X: y\r\n z: z", "X\x01: z", "X\r: z", "Content-Length : 5", "Transfer-Encoding : chunked", "Content-Length: 5\r\n Y: z"} {
		heads[fmt.Sprintf("field %q", line)] = func(head string) string { return strings.Replace(head, "\r\n", "\r\n"+line+"\r\n", 1) }
	}
	heads["length not announced"] = func(head string) string { return strings.Replace(head, "Content-Length:", "Content-Length :", 1) }
	heads["chunks not announced"] = func(head string) string {
		return regexp.MustCompile("Content-Length: [0-9]+").ReplaceAllString(head, "Transfer-Encoding : chunked")
	}
	return heads
}

// TestMalformedHead guards against a response that reaches the caller although its head is malformed, against a
// caller whose connection is closed in place of an answer, and against a second run of a request that may
// have run.
func TestMalformedHead(t *testing.T) {
	const whole = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n"
	for name, malform := range malformedHeads() {
		for kindName, test := range map[string]struct {
			kind       catalog.RequestKind
			headers    string
			repeatable bool
		}{
			"whole answer":             {kind: catalog.NonIdempotent},
			"whole answer, repeatable": {kind: catalog.Idempotent, repeatable: true},
			"stream":                   {kind: catalog.Stream, headers: streamHeaders},
			"resumable stream":         {kind: catalog.Stream, headers: streamHeaders, repeatable: true},
		} {
			t.Run(name+" "+kindName, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
					if requests.Add(1) == 1 {
						u.write(conn, malform(head(request, test.headers+fmt.Sprintf("Content-Length: %d\r\n", len(whole))))+whole)
						return false
					}
					return u.write(conn, head(request, test.headers+fmt.Sprintf("Content-Length: %d\r\n", len(whole)))+whole)
				}
				f := startWithRawUpstreams(t, test.kind, func(r *catalog.Route) { r.Resumable = test.repeatable },
					newRawUpstream(t, respond), newRawUpstream(t, respond))
				response, body, err := newRawCaller(t, f).call(http.MethodPost, "HTTP/1.1", "r")
				switch {
				case err != nil:
					t.Errorf("no answer: %v", err)
				case test.repeatable && (response.StatusCode != http.StatusOK || body != whole || requests.Load() != 2):
					t.Errorf("status %d, body %q, %d sends; expected the answer of the second upstream", response.StatusCode, body, requests.Load())
				case !test.repeatable && (response.StatusCode != http.StatusBadGateway || requests.Load() != 1):
					t.Errorf("status %d, body %q, %d sends; expected 502 after one", response.StatusCode, body, requests.Load())
				}
			})
		}
	}
}

// TestMalformedHeadInResumedStream guards against the rest of a stream from a response whose head is malformed.
func TestMalformedHeadInResumedStream(t *testing.T) {
	rest := sseEvent(2) + sseEvent(3)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(rest))
	for name, malform := range malformedHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if requests.Add(1) == 1 {
					u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\n")
				} else {
					u.write(conn, malform(head(request, streamHeaders+length))+rest)
				}
				return false
			}
			f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Resumable = true },
				newRawUpstream(t, respond), newRawUpstream(t, respond))
			_, body, err := newRawCaller(t, f).call(http.MethodPost, "HTTP/1.1", "r")
			if body = strings.ReplaceAll(body, ":\n\n", ""); err == nil || body != sseEvent(1) || requests.Load() != 2 {
				t.Errorf("body %q, error %v, %d sends; expected a stream that breaks off after one event", body, err, requests.Load())
			}
		})
	}
}

// TestMalformedHeadOfInternalCalls guards against using what an upstream says in a response whose head is
// malformed: results of stages, reports, the remaining cold start, and the confirmation of a release.
func TestMalformedHeadOfInternalCalls(t *testing.T) {
	for name, malform := range malformedHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				body := "1000"
				if request.URL.Path == "/stage" {
					body = `[{"Handle":"127.0.0.1:1/1-0"},{"Handle":"127.0.0.1:1/1-1"}]`
				}
				u.write(conn, malform("HTTP/1.1 200 OK\r\nCold: 1m\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))+body)
				return false
			})
			s := startFleet(t, 1, nil).servers[0]
			upstream := u.entry("u")
			entry, stages := &registry.Entry{Upstream: upstream}, newPoolRunner("a", s)
			if outcome, _, _, err := stages.sendCall(twoPieceCall(), entry.Address); outcome != stagepool.CallFailed {
				t.Errorf("stage call: outcome %s, error %v", callOutcomeNames[outcome], err)
			}
			if n, err := stages.fetchFreeMemory(t.Context(), entry.Address); err == nil {
				t.Errorf("free memory: %d bytes", n)
			}
			if stages.sendRelease(entry.Address, []string{"h"}) {
				t.Error("release: confirmed")
			}
			if report, err := newEngineRunner("p", s).fetchReport(t.Context(), entry); err == nil {
				t.Errorf("engine report: %+v", report)
			}
			if info, end, err := s.fetchHealth(healthQuestion{entry: entry, path: "/health"}); err == nil || end != "failed" {
				t.Errorf("health query: %+v, end %q", info, end)
			}
			if n := u.requests.Load(); n != 5 {
				t.Errorf("%d calls reached the upstream, expected 5", n)
			}
		})
	}
}
