package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// panicRequest is the ID of a request whose decoding panics.
const panicRequest = "panic"

// testDialect implements Dialect with plain header names and JSON bodies.
type testDialect struct{}

func (testDialect) DecodeRequest(header http.Header) (RequestInfo, error) {
	if header.Get("Request") == panicRequest {
		panic("request of the test")
	}
	info := RequestInfo{ID: header.Get("Request"), APIKey: header.Get("Key"), LastEventID: header.Get("Last-Event"), ResumedRequest: header.Get("Resumed"), ContentKey: header.Get("Content-Key")}
	if ms, err := strconv.Atoi(header.Get("Patience")); err == nil {
		info.Timeout = time.Duration(ms) * time.Millisecond
	}
	for part := range strings.FieldsSeq(header.Get("Prompt")) {
		info.PromptPrefix = append(info.PromptPrefix, PrefixPart{ID: part, Tokens: 1})
	}
	for part := range strings.SplitSeq(header.Get("Pieces"), ",") {
		if n, err := strconv.Atoi(part); err == nil {
			info.Pieces = append(info.Pieces, n)
		}
	}
	return info, nil
}

func (testDialect) UpstreamHeader(from http.Header, request UpstreamRequest) http.Header {
	header := RequestHeader(from)
	header.Del("Key")
	header.Set("Upstream", request.Upstream)
	header.Set("Workspace", request.Workspace)
	header.Set("Inputs", strings.Join(request.Inputs, ","))
	header.Set("Left", strconv.FormatInt(request.TimeLeft.Milliseconds(), 10))
	if request.Resumed {
		header.Set("Last-Event", request.LastEventID)
	}
	return header
}

func (testDialect) EncodeHealthQuery(address, upstream, path string) *outbound.Request {
	return &outbound.Request{Method: http.MethodGet, Target: path, Host: address, Header: http.Header{"Upstream": {upstream}}}
}

func (testDialect) DecodeResponse(status int, header http.Header) ResponseInfo {
	cold, _ := time.ParseDuration(header.Get("Cold")) // 0 if not stated.
	pause, err := time.ParseDuration(header.Get("Pause"))
	return ResponseInfo{
		ColdRemaining: cold,
		Leaving:       header.Get("Leaving") != "", Pause: pause, PauseInvalid: err != nil && header.Get("Pause") != "", UpstreamID: header.Get("Upstream-Id"),
		RequestID: header.Get("Request"), Sealed: header.Get("Seal") != "", NotRun: header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, InputsMissing: status == http.StatusConflict,
		Encoded: header.Get("Content-Encoding") != "",
	}
}

func (testDialect) EncodeStageCall(address string, call stagepool.Call) (*outbound.Request, error) {
	body, err := json.Marshal(call)
	return &outbound.Request{Method: http.MethodPost, Target: "/stage", Host: address, Header: http.Header{}, Body: body}, err
}

func (testDialect) DecodeStageResults(body []byte) ([]stagepool.PieceResult, error) {
	var results []stagepool.PieceResult
	return results, json.Unmarshal(body, &results)
}

func (testDialect) HandleAddress(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

func (testDialect) DecodeEngineReport([]byte) (enginepool.Report, error) {
	return enginepool.Report{}, nil
}

func (testDialect) EncodeMemoryQuery(address string) *outbound.Request {
	return &outbound.Request{Method: http.MethodGet, Target: "/memory", Host: address, Header: http.Header{}}
}

func (testDialect) DecodeFreeMemory(body []byte) (int64, error) {
	return strconv.ParseInt(string(body), 10, 64)
}

func (testDialect) EncodeCacheQuery(address, upstream string) *outbound.Request {
	return &outbound.Request{Method: http.MethodGet, Target: "/cache", Host: address, Header: http.Header{"Upstream": {upstream}}}
}

func (testDialect) DecodeCacheList(body []byte) (map[string]int, error) {
	var tokens map[string]int
	return tokens, json.Unmarshal(body, &tokens)
}

func (testDialect) EncodeRelease(address string, handles []string) (*outbound.Request, error) {
	body, err := json.Marshal(handles)
	return &outbound.Request{Method: http.MethodPost, Target: "/release", Host: address, Header: http.Header{}, Body: body}, err
}

// testStore is an in-memory store of typed values.
type testStore struct {
	mu       sync.Mutex
	items    map[string]replica.Item
	values   map[string]any
	revision uint64
	// era rises by one each time the store returns from a copy.
	era     uint64
	down    bool
	changed chan struct{}
}

func newTestStore() *testStore {
	return &testStore{items: map[string]replica.Item{}, values: map[string]any{}, era: 1, changed: make(chan struct{})}
}

// storeCopy is the content of a testStore at some revision.
type storeCopy struct {
	items    map[string]replica.Item
	revision uint64
}

func (s *testStore) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{items: maps.Clone(s.items), revision: s.revision}
}

// returnFrom gives the store the content of a copy, in a new era.
func (s *testStore) returnFrom(content storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision = maps.Clone(content.items), content.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) put(key string, value any) { s.putPadded(key, value, "") }

// putPadded puts a value that has the padding in the store, for values that are large there.
func (s *testStore) putPadded(key string, value any, padding string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := fmt.Sprint(key, "@", s.era, ".", s.revision, padding)
	s.values[id] = value
	s.items[key] = replica.Item{Key: key, Value: []byte(id), Revision: s.revision, Deleted: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *testStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *testStore) decode(key string, value []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "panic" {
		panic("item of the test")
	}
	if zone, ok := strings.CutPrefix(key, "out/"); ok {
		return catalog.ZoneOut(zone), nil
	}
	if id, ok := strings.CutPrefix(key, "u/"); ok && value == nil {
		return &catalog.Upstream{ID: id}, nil
	}
	return s.values[string(value)], nil
}

func (s *testStore) changesAfter(revision uint64) ([]replica.Item, replica.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, replica.Position{}, io.ErrUnexpectedEOF
	}
	if revision > s.revision {
		return nil, replica.Position{}, ErrHistoryGone
	}
	var items []replica.Item
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items, replica.Position{Era: s.era, Revision: s.revision}, nil
}

// vmStore is the store as seen by one VM, which it can reject or leave without an answer.
type vmStore struct {
	*testStore
	rejected atomic.Bool
	silent   atomic.Bool
	// answerParts is the number of parts in which changes arrive, answerPartTime apart.
	answerParts atomic.Int64
}

// answerPartTime is far below the time after which an answer without progress is overdue.
const answerPartTime = 50 * time.Millisecond

// silentReadTime is how long a read without an answer takes beyond the wait time of a watch.
const silentReadTime = 600 * time.Millisecond

// awaitTimeout waits for the timeout of a read if the store does not answer.
func (s *vmStore) awaitTimeout(ctx context.Context, wait time.Duration) {
	if s.silent.Load() {
		sleep(ctx, wait+silentReadTime)
	}
}

// List implements Source.
func (s *vmStore) List(ctx context.Context) ([]replica.Item, replica.Position, error) {
	s.awaitTimeout(ctx, 0)
	if s.rejected.Load() {
		return nil, replica.Position{}, io.ErrUnexpectedEOF
	}
	return s.testStore.List(ctx)
}

// Watch implements Source.
func (s *vmStore) Watch(ctx context.Context, after replica.Position, wait time.Duration) ([]replica.Item, replica.Position, error) {
	s.awaitTimeout(ctx, wait)
	if s.rejected.Load() {
		return nil, replica.Position{}, io.ErrUnexpectedEOF
	}
	items, at, err := s.testStore.Watch(ctx, after, wait)
	for range s.answerParts.Load() * int64(min(len(items), 1)) {
		sleep(ctx, answerPartTime)
		ReportReadProgress(ctx)
	}
	if s.rejected.Load() {
		return nil, replica.Position{}, io.ErrUnexpectedEOF
	}
	return items, at, err
}

// List implements Source.
func (s *testStore) List(context.Context) ([]replica.Item, replica.Position, error) {
	return s.changesAfter(0)
}

// Watch implements Source.
func (s *testStore) Watch(ctx context.Context, after replica.Position, wait time.Duration) ([]replica.Item, replica.Position, error) {
	s.mu.Lock()
	changed, hasChanges := s.changed, s.revision > after.Revision || s.era != after.Era || s.down
	s.mu.Unlock()
	if !hasChanges {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.changesAfter(after.Revision)
}

// testUpstream is an upstream that serves requests and stages.
type testUpstream struct {
	id     string
	server *httptest.Server
	// handler serves requests other than stage calls.
	handler http.HandlerFunc
	// beforeStage, if set, is called before a stage call runs, and results changes its results.
	beforeStage func()
	results     func(call stagepool.Call, results []stagepool.PieceResult) []stagepool.PieceResult

	// memoryQueries counts the queries for the free memory or the load. With memoryPause they are refused with
	// that pause.
	memoryQueries atomic.Int64
	memoryPause   atomic.Pointer[string]

	mu       sync.Mutex
	runs     map[string]int
	inputs   map[string]string
	released []string
	calls    []stagepool.Call
	// cached holds the tokens of the parts of prompts that were sent, and cacheQueries counts the queries for
	// them.
	cached map[string]int
	// identity is the ID that responses to these queries state; empty if they state none.
	identity     string
	cacheQueries int
	resultCount  int
}

func newTestUpstream(t *testing.T, id string, handler http.HandlerFunc) *testUpstream {
	u := &testUpstream{id: id, handler: handler, runs: map[string]int{}, inputs: map[string]string{}, cached: map[string]int{}}
	u.server = httptest.NewServer(u)
	t.Cleanup(u.server.Close)
	return u
}

func (u *testUpstream) address() string { return u.server.Listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (u *testUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // An incomplete body fails to decode below.
	switch r.URL.Path {
	case "/stage":
		u.stage(w, body)
		return
	case "/memory":
		u.memoryQueries.Add(1)
		if pause := u.memoryPause.Load(); pause != nil {
			w.Header().Set("Pause", *pause)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "1000000000") // The caller reports an incomplete response.
		return
	case "/cache":
		u.mu.Lock()
		u.cacheQueries++
		if u.identity != "" {
			w.Header().Set("Upstream-Id", u.identity)
		}
		body, _ := json.Marshal(u.cached) // A map of numbers is always encoded.
		u.mu.Unlock()
		_, _ = w.Write(body) // The caller reports an incomplete response.
		return
	case "/release":
		var handles []string
		_ = json.Unmarshal(body, &handles) // The test detects an empty list.
		u.mu.Lock()
		u.released = append(u.released, handles...)
		u.mu.Unlock()
		return
	}
	u.mu.Lock()
	u.runs[r.Header.Get("Request")]++
	u.inputs[r.Header.Get("Request")] = r.Header.Get("Inputs")
	for part := range strings.FieldsSeq(r.Header.Get("Prompt")) {
		u.cached[part] = 1
	}
	u.mu.Unlock()
	w.Header().Set("Request", r.Header.Get("Request"))
	if u.handler != nil {
		u.handler(w, r)
		return
	}
	writeSealed(w, "from "+u.id)
}

func writeSealed(w http.ResponseWriter, body string) {
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, body) // The caller reports an incomplete response.
}

func (u *testUpstream) stage(w http.ResponseWriter, body []byte) {
	var call stagepool.Call
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if u.beforeStage != nil {
		u.beforeStage()
	}
	u.mu.Lock()
	u.calls = append(u.calls, call)
	var results []stagepool.PieceResult
	for range call.Pieces {
		u.resultCount++
		results = append(results, stagepool.PieceResult{Outcome: stagepool.PieceSucceeded, Handle: fmt.Sprint(u.address(), "/", u.resultCount)})
	}
	u.mu.Unlock()
	if u.results != nil {
		results = u.results(call, results)
	}
	_ = json.NewEncoder(w).Encode(results) // The caller reports an incomplete response.
}

func (u *testUpstream) runCount(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[request]
}

// testFleet is a set of VMs that share a store.
type testFleet struct {
	t       *testing.T
	store   *testStore
	sources []*vmStore
	servers []*Server
	stops   []context.CancelFunc
	done    []chan struct{}
	prepare func(*Server)
	// lateIP is an IP of the fleet that no VM has.
	lateIP string
}

// Ports of the VMs. They are below the kernel's range of ephemeral ports, so that no outgoing
// connection occupies one of them before it is listened on.
const (
	testCallerPort = 10001 + iota
	testReadyPort
	testPeerPort
	testGossipPort
)

// fleetCount is the number of fleets started by this process. Each has its own IPs.
var fleetCount atomic.Int64

// reserveSubnet returns a loopback subnet that no other fleet uses until the end of the test. The lock
// keeps test processes whose process IDs lead to the same subnets apart.
func reserveSubnet(t *testing.T) string {
	t.Helper()
	for {
		subnet := fmt.Sprintf("127.%d.%d.", 201+os.Getpid()%50, fleetCount.Add(1)%250)
		file, err := os.OpenFile(filepath.Join(os.TempDir(), "hoist-edge-"+subnet+"lock"), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			t.Cleanup(func() { _ = file.Close() }) // Closing releases the lock.
			return subnet
		}
		_ = file.Close()
	}
}

// startFleet starts n VMs on their own loopback subnet.
func startFleet(t *testing.T, n int, change func(*Settings)) *testFleet {
	t.Helper()
	return startFleetWith(t, n, change, func(*Server) {})
}

// startFleetWith is startFleet with a function that changes each server before it runs.
func startFleetWith(t *testing.T, n int, change func(*Settings), prepare func(*Server)) *testFleet {
	t.Helper()
	subnet := reserveSubnet(t)
	f := &testFleet{t: t, store: newTestStore(), prepare: prepare, lateIP: fmt.Sprint(subnet, n+2)}
	for i := range n {
		ip := fmt.Sprint(subnet, i+2)
		settings := Settings{
			VM: fmt.Sprint("vm-", i), Zone: "zone-a", IP: ip, GossipPort: testGossipPort, PeerListen: joinHostPort(ip, testPeerPort),
			Listen: joinHostPort(ip, testCallerPort), ReadyListen: joinHostPort(ip, testReadyPort),
			Seeds: []string{joinHostPort(subnet+"2", testPeerPort)}, Store: joinHostPort(ip, testPeerPort), GracePeriod: 8 * time.Second,
			KeyRevocationTimeout: time.Minute, RetryRatio: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second,
		}
		if change != nil {
			change(&settings)
		}
		f.start(settings)
	}
	t.Cleanup(func() {
		for i := range f.servers {
			f.stops[i]()
		}
		for _, done := range f.done {
			<-done
		}
	})
	return f
}

func (f *testFleet) start(settings Settings) {
	source := &vmStore{testStore: f.store}
	f.sources = append(f.sources, source)
	server, err := New(Options{
		Settings: settings, Source: source, Decode: f.store.decode, Dialect: testDialect{}, Client: outbound.NewClient(settings.IP),
		Now: bootclock.Now, Logger: zap.NewNop(), Failures: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	server.stop.balancerDelay, server.stop.refusalPeriod = 50*time.Millisecond, 0
	f.prepare(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.servers, f.stops, f.done = append(f.servers, server), append(f.stops, cancel), append(f.done, done)
	go func() {
		defer close(done)
		if err := server.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
}

// awaitOwner waits until all VMs agree on the owner of the pool, and returns its name.
func (f *testFleet) awaitOwner(t *testing.T, pool string) string {
	t.Helper()
	owner := ""
	await(t, "an owner of "+pool, func() bool {
		owner = f.servers[0].gossip.owner(fleet.Resource{Name: pool}).Name
		for _, s := range f.servers {
			if s.gossip.owner(fleet.Resource{Name: pool}).Name != owner {
				return false
			}
		}
		return true
	})
	return owner
}

// await polls until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// publish puts a configuration and upstreams into the store, and waits until all VMs have
// them and all VMs are reachable from each other.
func (f *testFleet) publish(c *catalog.Catalog, upstreams ...catalog.Upstream) {
	f.t.Helper()
	c.Index()
	for _, u := range upstreams {
		f.store.put("u/"+u.ID, &u)
	}
	f.store.put("tables", c)
	await(f.t, "configuration in force on all VMs", func() bool {
		for _, s := range f.servers {
			view := s.view.Load()
			if view == nil || view.Catalog != c || len(view.ByID) < len(upstreams) || len(s.gossip.reachable()) != len(f.servers)-1 {
				return false
			}
		}
		return true
	})
}

// send sends a request to a VM and returns the response and its body.
func (f *testFleet) send(vm int, id, path string, header map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.servers[vm].settings.Listen+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, "", err
	}
	request.Host = "a.example"
	request.Header.Set("Request", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// inputsOf returns the result handles that a request had as inputs.
func (u *testUpstream) inputsOf(request string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Split(u.inputs[request], ",")
}
