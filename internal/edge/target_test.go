package edge

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestRouteOfForwardedTarget guards against a request that is handled by a route to which the forwarded
// path does not belong, such as a request that must not be repeated and counts as one that may be; and
// against a method, path, query or body that is changed on the way.
func TestRouteOfForwardedTarget(t *testing.T) {
	f := startFleet(t, 1, nil)
	newEcho := func(name string) catalog.Upstream {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // The test detects an incomplete body.
			w.Header().Set("Request", r.Header.Get("Request"))
			w.Header().Set("Route", name)
			writeSealed(w, r.Method+" "+r.RequestURI+" "+string(body))
		}))
		// The stand-in answers "OPTIONS *" itself otherwise.
		server.Config.DisableGeneralOptionsHandler = true
		t.Cleanup(server.Close)
		return catalog.Upstream{ID: name, Pool: name, Address: server.Listener.Addr().String(), Zone: "zone-a", StartID: 1}
	}
	f.publish(&catalog.Catalog{Version: 1, Pools: map[string]*catalog.Pool{"narrow": {Name: "narrow"}, "wide": {Name: "wide"}}, Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Split = []catalog.WeightedPool{{Pool: "wide", Weight: 1}} }),
		testRoute("/x/y/", catalog.Idempotent, func(r *catalog.Route) { r.Split = []catalog.WeightedPool{{Pool: "narrow", Weight: 1}} }),
	}}, newEcho("narrow"), newEcho("wide"))
	for _, test := range []struct{ target, route, forwarded string }{
		{"/x/y/z", "narrow", ""},
		{"/x/y%2Fz", "wide", ""},
		{"/x/y%2fz?a=%2F&b", "wide", ""},
		{"/x%2Fy/z", "", ""},
		{"/x/%79/z", "wide", ""},
		{"/x/y/%2e%2e/z", "narrow", ""},
		{"/x/%2e%2e/y/", "wide", ""},
		{"/x/./y/", "wide", ""},
		{"/x//y/", "wide", ""},
		{"//x/y/", "", ""},
		{"/x/y", "wide", ""},
		{"/x/y?/", "wide", ""},
		{"/x", "", ""},
		{"/?/x/y/", "", ""},
		{"/x/y/?", "narrow", ""},
		{"http://a.example/x/y%2Fz?q", "wide", "/x/y%2Fz?q"},
		{"http://a.example/x/y/z", "narrow", "/x/y/z"},
		{"http://a.example", "", ""},
		{"http://a.example?/x/", "", ""},
		{"*", "", ""},
	} {
		for _, method := range []string{http.MethodPost, http.MethodOptions, "LOOK"} {
			conn := dialCaller(t, f.servers[0])
			request := method + " " + test.target + " HTTP/1.1\r\nHost: a.example\r\nRequest: r\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
			if _, err := io.WriteString(conn, request); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("%s: %v", test.target, err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatalf("%s: %v", test.target, err)
			}
			if test.route == "" {
				if response.StatusCode != http.StatusNotFound {
					t.Errorf("%s %s: status %d, expected 404", method, test.target, response.StatusCode)
				}
				continue
			}
			want := test.target
			if test.forwarded != "" {
				want = test.forwarded
			}
			if got := response.Header.Get("Route"); got != test.route || string(body) != method+" "+want+" body" {
				t.Errorf("%s %s: route %q, %q; expected route %q and target %s", method, test.target, got, body, test.route, want)
			}
		}
	}
}

// TestLogOfUnknownRoute guards against log lines with the queries of callers, or as long as callers like.
func TestLogOfUnknownRoute(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := startFleetWith(t, 1, nil, func(s *Server) { s.failures = zap.New(core) })
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}})
	response, _, err := f.send(0, "r", "/unknown/"+strings.Repeat("y", 4000)+"?secret", nil)
	if err != nil || response.StatusCode != http.StatusNotFound {
		t.Fatalf("%v, error %v; expected 404", response, err)
	}
	await(t, "the log line", func() bool { return logs.FilterMessage("request failed").Len() > 0 })
	detail, _ := logs.FilterMessage("request failed").All()[0].ContextMap()["detail"].(string)
	if !strings.Contains(detail, "/unknown/") || strings.Contains(detail, "secret") || len(detail) > 1000 {
		t.Errorf("%d bytes: %.100s", len(detail), detail)
	}
}
