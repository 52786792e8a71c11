package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// headFramings are headers by which a receiver knows the end of a response, and none.
var headFramings = []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""}

// startWithCutHeads starts a VM whose upstreams answer requests that resume nothing with respond, or else cut
// the head of their response after a number of bytes, by an end or a reset of the connection.
func startWithCutHeads(t *testing.T, kind catalog.RequestKind, resumable bool, respond func(u *rawUpstream, conn net.Conn, request *http.Request) bool) *testFleet {
	f := startFleet(t, 1, func(s *Settings) { s.RetryBurst = 10_000 })
	var entries []catalog.Upstream
	for i := range 2 {
		entries = append(entries, newRawUpstream(t, respond).entry(fmt.Sprint("u", i)))
	}
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
		testRoute("/x/", kind, func(r *catalog.Route) { r.Resumable = resumable }),
	}}, entries...)
	return f
}

// TestHeadIsCut guards against an answer that reaches the caller as a success, or a request that may have run
// and runs again, although the connection ended or was reset inside the head of the answer.
func TestHeadIsCut(t *testing.T) {
	for name, test := range map[string]struct {
		kind       catalog.RequestKind
		headers    string
		repeatable bool
	}{
		"whole answer":             {kind: catalog.NonIdempotent},
		"whole answer, repeatable": {kind: catalog.Idempotent, repeatable: true},
		"stream":                   {kind: catalog.Stream, headers: streamHeaders},
		"resumable stream":         {kind: catalog.Stream, headers: streamHeaders, repeatable: true},
	} {
		for _, framing := range headFramings {
			for _, isReset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %q reset %v", name, framing, isReset), func(t *testing.T) {
					t.Parallel()
					var cut, sends, length atomic.Int64
					f := startWithCutHeads(t, test.kind, test.repeatable, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
						text := "HTTP/1.1 103 Early Hints\r\n\r\n" + head(request, test.headers+framing)
						length.Store(int64(len(text)))
						sends.Add(1)
						u.write(conn, text[:cut.Load()])
						return isReset && resetConn(conn)
					})
					sent := int64(0)
					for ; cut.Load() == 0 || cut.Load() < length.Load(); cut.Add(1) {
						sends.Store(0)
						response, body, err := newRawCaller(t, f).call(http.MethodPost, "HTTP/1.1", "r")
						if err == nil && response.StatusCode < http.StatusInternalServerError {
							t.Errorf("cut after %d bytes: status %d, body %q", cut.Load(), response.StatusCode, body)
						}
						if n := sends.Load(); n > 1 && !test.repeatable {
							t.Errorf("cut after %d bytes: sent %d times", cut.Load(), n)
						}
						sent += min(sends.Load(), 1)
					}
					if sent == 0 || sent < length.Load()*9/10 {
						t.Errorf("%d of %d requests reached an upstream", sent, length.Load())
					}
				})
			}
		}
	}
}

// TestHeadOfRestIsCut guards against a stream that looks complete, or joins other bytes, although the upstream
// that should go on with it ended or reset the connection inside the head of its answer.
func TestHeadOfRestIsCut(t *testing.T) {
	for _, framing := range headFramings {
		for _, isReset := range []bool{false, true} {
			for _, protocol := range callerProtocols {
				t.Run(fmt.Sprintf("%q reset %v %s", framing, isReset, protocol), func(t *testing.T) {
					t.Parallel()
					var cut, length atomic.Int64
					f := startWithCutHeads(t, catalog.Stream, true, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
						if request.Header.Get("Last-Event") == "" {
							u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\n")
							return false
						}
						text := head(request, streamHeaders+framing)
						length.Store(int64(len(text)))
						u.write(conn, text[:cut.Load()])
						return isReset && resetConn(conn)
					})
					for ; cut.Load() == 0 || cut.Load() < length.Load(); cut.Add(1) {
						_, body, err := newRawCaller(t, f).call(http.MethodPost, protocol, fmt.Sprint("r", cut.Load()))
						if body = strings.ReplaceAll(body, ":\n\n", ""); err == nil || body != sseEvent(1) {
							t.Errorf("cut after %d bytes: body %q, error %v; expected a stream that breaks off after one event", cut.Load(), body, err)
						}
					}
					if length.Load() == 0 {
						t.Error("no stream was resumed")
					}
				})
			}
		}
	}
}

// TestHeadOfInternalCallIsCut guards against using a response whose connection ended inside its head: results
// of stages, reports, the load, caches, the remaining cold start, and the confirmation of a release.
func TestHeadOfInternalCallIsCut(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nCold: 1m\r\nContent-Length: 4\r\n\r\n"
	for _, isReset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", isReset), func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int64
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
				u.write(conn, whole[:cut.Load()])
				return isReset && resetConn(conn)
			})
			s := startFleet(t, 1, nil).servers[0]
			upstream := u.entry("u")
			entry, stages := &registry.Entry{Upstream: upstream}, newPoolRunner("a", s)
			for ; cut.Load() < int64(len(whole)); cut.Add(1) {
				sent := whole[:cut.Load()]
				if outcome, _, _, err := stages.sendCall(twoPieceCall(), entry.Address); outcome != stagepool.CallFailed {
					t.Errorf("%q: stage call: outcome %s, error %v", sent, callOutcomeNames[outcome], err)
				}
				if n, err := stages.fetchFreeMemory(t.Context(), entry.Address); err == nil {
					t.Errorf("%q: free memory: %d bytes", sent, n)
				}
				if stages.sendRelease(entry.Address, []string{"h"}) {
					t.Errorf("%q: release: confirmed", whole[:cut.Load()])
				}
				if report, err := newEngineRunner("p", s).fetchReport(t.Context(), entry); err == nil {
					t.Errorf("%q: engine report: %+v", sent, report)
				}
				if tokens, err := s.queryEngine(t.Context(), entry, s.dialect.EncodeCacheQuery(entry.Address, entry.ID), maxCacheListBytes); err == nil {
					t.Errorf("%q: caches: %q", sent, tokens)
				}
				if info, end, err := s.fetchHealth(healthQuestion{entry: entry, path: "/health"}); err == nil || end != "failed" {
					t.Errorf("%q: health query: %+v, end %q", sent, info, end)
				}
			}
			if n, most := u.requests.Load(), int64(6*len(whole)); n < most/2 {
				t.Errorf("%d calls reached the upstream, expected about %d", n, most)
			}
		})
	}
}
