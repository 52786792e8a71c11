package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

var testBatch = catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultTTL: time.Minute}

// stagedCatalog returns a configuration with a route that has one stage in pool a.
func stagedCatalog() *catalog.Catalog {
	batch := testBatch
	return &catalog.Catalog{
		Version: 1, Pools: map[string]*catalog.Pool{"p": {Name: "p"}, "a": {Name: "a", Batch: &batch}},
		Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Stages = []catalog.Stage{{Pool: "a"}} })},
	}
}

// TestMalformedMessages guards against a message of a caller, a peer or another writer to the
// store that ends the process or keeps it busy for long: the VM goes on serving after each.
func TestMalformedMessages(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.publish(stagedCatalog(), append(catalogUpstreams("p", newTestUpstream(t, "m", nil)), catalogUpstreams("a", newTestUpstream(t, "s", nil))...)...)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	self := f.servers[0].gossip.directory.Self()
	call := func(run func(client hoistv1.FleetClient) error) error {
		return f.servers[1].peers.callWithoutPing(ctx, self, func(_ context.Context, client hoistv1.FleetClient) error { return run(client) })
	}
	datagram := func(data []byte) error {
		_, err := f.servers[1].gossip.conn.WriteToUDP(data, f.servers[0].gossip.gossipAddress(self.Address))
		return err
	}
	oddEntries, err := proto.Marshal(&hoistv1.Datagram{Directory: []*hoistv1.DirectoryEntry{nil, {}, {Name: "x", Address: "no address"}}, Hello: true})
	if err != nil {
		t.Fatal(err)
	}
	oddBlocks, err := proto.Marshal(&hoistv1.Datagram{Blocks: []*hoistv1.PromptBlock{
		nil,
		{},
		{Parts: []uint64{1}, FirstCrashAgeMs: -1 << 62, LeftMs: 1 << 62, Blocks: 1<<32 - 1},
		{Parts: make([]uint64, 500), LeftMs: 1000},
		{Request: 1, FirstCrashAgeMs: -1 << 62, LeftMs: 1 << 62, Blocks: 1<<32 - 1},
		{Request: 2, Parts: make([]uint64, 100), LeftMs: 1000},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func() error{
		"caller: billions of pieces": func() error {
			response, _, err := f.send(0, "huge", "/x/", map[string]string{"Pieces": "2000000000"})
			if err == nil && response.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d, expected 400", response.StatusCode)
			}
			return err
		},
		"caller: negative pieces": func() error {
			_, _, err := f.send(0, "negative", "/x/", map[string]string{"Pieces": "-3"})
			return err
		},
		"peer: billions of pieces": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.RunStage(ctx, &hoistv1.RunStageRequest{Pool: "a", Pieces: 1 << 31, DueMs: 1000, LimitMs: 1000})
				return err
			})
		},
		"peer: reservation of billions of pieces": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.Reserve(ctx, &hoistv1.ReserveRequest{Pool: "a", Pieces: 1 << 31})
				return err
			})
		},
		"peer: no pieces": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.RunStage(ctx, &hoistv1.RunStageRequest{Pool: "a", LimitMs: 1 << 40})
				return err
			})
		},
		"peer: overflowing times": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.Reserve(ctx, &hoistv1.ReserveRequest{Pool: "a", Pieces: 1, ArrivesMs: 1 << 62, DueMs: -1 << 62})
				return err
			})
		},
		"peer: odd state of a pool": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.HandOver(ctx, &hoistv1.HandOverRequest{Pool: "a", From: "nobody", Upstreams: []*hoistv1.UpstreamState{
					nil, {Id: "s", FreeInMs: -1 << 62, Slowness: -1e300, ReservedBytes: 1 << 63, Results: []*hoistv1.HeldResult{nil, {Handle: "x", Bytes: 1 << 63}}},
				}})
				return err
			})
		},
		"peer: crash report without content": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.Strike(ctx, &hoistv1.StrikeRequest{Fingerprint: make([]byte, 1000)})
				return err
			})
		},
		"peer: crash report with many parts": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.Strike(ctx, &hoistv1.StrikeRequest{Upstream: "u", Requests: []*hoistv1.BrokenRequest{{Fingerprint: make([]byte, fingerprintBytes), Parts: make([]uint64, 400_000)}}})
				return err
			})
		},
		"peer: crash report of an older version with many parts": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.Strike(ctx, &hoistv1.StrikeRequest{Upstream: "u", Fingerprint: make([]byte, fingerprintBytes), Parts: make([]uint64, 400_000)})
				return err
			})
		},
		"peer: many cleared parts": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.ClearParts(ctx, &hoistv1.ClearPartsRequest{Parts: make([]uint64, 200_000), Requests: make([]uint64, 200_000)})
				return err
			})
		},
		"peer: oversized report of leaving upstreams": func() error {
			return call(func(client hoistv1.FleetClient) error {
				_, err := client.ReportLeaving(ctx, leavingUpstreams(100_000))
				return err
			})
		},
		"datagram: odd blocks":  func() error { return datagram(oddBlocks) },
		"datagram: noise":       func() error { return datagram([]byte(strings.Repeat("\xff", 2000))) },
		"datagram: empty":       func() error { return datagram(nil) },
		"datagram: odd entries": func() error { return datagram(oddEntries) },
		"store: item that panics": func() error {
			f.store.put("panic", "x")
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			if err := send(); err != nil {
				t.Log("answered with", err)
			}
			if ctx.Err() != nil {
				t.Fatal("the message kept the VM busy")
			}
		})
	}
	for vm := range f.servers {
		await(t, "a request served after the malformed messages", func() bool {
			response, _, err := f.send(vm, fmt.Sprint("after-", vm), "/x/", map[string]string{"Pieces": "2"})
			return err == nil && response.StatusCode == http.StatusOK
		})
	}
}

// TestPanicInRequest guards against a panic in one request that ends the process, or that
// reaches the caller as a complete response.
func TestPanicInRequest(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, catalogUpstreams("p", u)...)
	if response, body, err := f.send(0, panicRequest, "/x/", nil); err == nil {
		t.Errorf("got the response %v %q, expected a closed connection", response, body)
	}
	if response, _, err := f.send(0, "r", "/x/", nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v, error %v; expected that other requests are served", response, err)
	}
	if n := f.servers[0].inFlight.Load(); n != 0 {
		t.Errorf("%d requests count as in flight", n)
	}
}

// TestBrokenInvariantInPool guards against a pool that accepts no stages after its scheduler
// found an invariant broken, and against stages that wait for it for ever.
func TestBrokenInvariantInPool(t *testing.T) {
	f := startFleet(t, 1, nil)
	entered, release := make(chan struct{}, 10), make(chan struct{})
	stage := newTestUpstream(t, "s", nil)
	stage.beforeStage = func() {
		entered <- struct{}{}
		<-release
	}
	f.publish(stagedCatalog(), append(catalogUpstreams("p", newTestUpstream(t, "m", nil)), catalogUpstreams("a", stage)...)...)
	status := make(chan int, 1)
	go func() {
		response, _, err := f.send(0, "waits", "/x/", map[string]string{"Pieces": "1"})
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	<-entered
	f.servers[0].poolRunner("a").update(func() { panic("broken invariant") })
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d for the stage that waited, expected 503", got)
	}
	close(release)
	await(t, "a stage runs in the pool again", func() bool {
		response, _, err := f.send(0, "again", "/x/", map[string]string{"Pieces": "1"})
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestSecondCopyOfStageResults lets an upstream answer a batch with a copy of its answer to an
// earlier one. It guards against a request that gets the results of another request.
func TestSecondCopyOfStageResults(t *testing.T) {
	f := startFleet(t, 1, nil)
	var calls atomic.Int64
	model, stage := newTestUpstream(t, "m", nil), newTestUpstream(t, "s", nil)
	stage.results = func(call stagepool.Call, results []stagepool.PieceResult) []stagepool.PieceResult {
		if calls.Add(1) == 2 {
			return []stagepool.PieceResult{{Outcome: stagepool.PieceSucceeded, Handle: stage.address() + "/1"}}
		}
		return results
	}
	f.publish(stagedCatalog(), append(catalogUpstreams("p", model), catalogUpstreams("a", stage)...)...)
	inputs := map[string]string{}
	for i := range 3 {
		id := fmt.Sprint("r", i)
		response, _, err := f.send(0, id, "/x/", map[string]string{"Pieces": "1"})
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("%s: %v, error %v", id, response, err)
			continue
		}
		input := strings.Join(model.inputsOf(id), ",")
		if other, ok := inputs[input]; ok {
			t.Errorf("%s and %s ran with the same result %s", other, id, input)
		}
		inputs[input] = id
	}
}

// TestCallerThatStalls guards against a caller that holds its request for ever: one that sends a
// byte of its body now and then.
func TestCallerThatStalls(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = 500 * time.Millisecond }),
	}}, catalogUpstreams("p", u)...)
	conn, err := net.Dial("tcp4", f.servers[0].settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: slow\r\nContent-Length: 100000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}
	}()
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// The answer may be lost, since the caller goes on sending after the connection is closed.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%v, error %v; expected 504 or a closed connection", response, err)
	}
	if n := u.runCount("slow"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// TestBrokenStreamToOldCaller guards against a broken stream that looks complete to an HTTP/1.0
// caller, for whom a response ends with its connection.
func TestBrokenStreamToOldCaller(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newTestUpstream(t, "u", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, sseEvent(1)) // The caller reports an incomplete response.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.Stream, nil)}}, catalogUpstreams("p", u)...)
	conn, err := net.Dial("tcp4", f.servers[0].settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /x/ HTTP/1.0\r\nHost: a.example\r\nRequest: r\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(conn); err == nil {
		t.Errorf("the broken stream looks complete: %q", data)
	}
}

// TestRequestsDuringShutdown sends requests on old and new connections, with and without Expect,
// while a VM shuts down. It guards against a request that was taken and ends without an answer,
// and against one that is taken although it cannot end before the VM stops.
func TestRequestsDuringShutdown(t *testing.T) {
	f := startFleet(t, 1, func(s *Settings) { s.GracePeriod = 4 * time.Second })
	u := newTestUpstream(t, "u", nil)
	long := func(r *catalog.Route) { r.Objective = 30 * time.Second; r.Timeout = time.Minute }
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, nil), testRoute("/long/", catalog.NonIdempotent, long),
	}}, catalogUpstreams("p", u)...)
	s := f.servers[0]
	s.stop.balancerDelay = 600 * time.Millisecond
	kept := &http.Transport{}
	defer kept.CloseIdleConnections()
	exchange := func(transport *http.Transport, id, path, expect string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Listen+path, strings.NewReader("b"))
		if err != nil {
			return nil, err
		}
		request.Host = "a.example"
		request.Header.Set("Request", id)
		if expect != "" {
			request.Header.Set("Expect", expect)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return nil, err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return response, err
	}
	if _, err := exchange(kept, "before", "/x/", ""); err != nil {
		t.Fatal(err)
	}
	f.stops[0]()
	await(t, "the VM shuts down", s.stop.isStopping)
	for _, expect := range []string{"", "100-continue"} {
		for name, transport := range map[string]*http.Transport{"old": kept, "new": {DisableKeepAlives: true}} {
			response, err := exchange(transport, name+expect, "/x/", expect)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("%s connection, expect %q: %v, error %v", name, expect, response, err)
			} else if !response.Close {
				t.Errorf("%s connection, expect %q: the connection stays open", name, expect)
			}
		}
	}
	response, err := exchange(&http.Transport{DisableKeepAlives: true}, "too long", "/long/", "")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || u.runCount("too long") != 0 {
		t.Errorf("%v, error %v, %d runs; expected 503 without a run", response, err, u.runCount("too long"))
	}
	<-f.done[0]
}
