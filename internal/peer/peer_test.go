package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

const testSecret = "0123456789abcdef-secret"

func testKey(t testing.TB, text string) *Key {
	t.Helper()
	key, err := NewKey([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// stubHandler returns fixed responses.
type stubHandler struct{ value configuration.Value }

func (f *stubHandler) Probe(_ context.Context, p control.Probe) (control.Ack, error) {
	return control.Ack{Ack: membership.Ack{From: p.To, Sequence: p.Sequence, TargetAlive: p.Target != ""}}, nil
}

func (f *stubHandler) Exchange(e control.Exchange) control.ExchangeReply {
	return control.ExchangeReply{From: e.To, Gossip: e.Gossip}
}

func (f *stubHandler) Lookup(configuration.Name, uint64) (configuration.Value, bool) {
	return f.value, true
}

// serve starts a server on loopback and returns its address.
func serve(t *testing.T, transport Transport, value configuration.Value) string {
	t.Helper()
	listener, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(transport.ServerOptions()...)
	hoistv1.RegisterPeerServer(server, NewServer("vm-1", &stubHandler{value}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func probe(t *testing.T, transport Transport, address string) error {
	t.Helper()
	pool := NewPool(transport)
	t.Cleanup(pool.Close)
	ack, err := NewClient("vm-2", pool).Probe(t.Context(), address, control.Probe{
		Probe: membership.Probe{From: "vm-2", To: "vm-1", Sequence: 7},
	})
	if err == nil && (ack.From != "vm-1" || ack.Sequence != 7) {
		t.Fatalf("response from %q with sequence %d, want vm-1 and 7", ack.From, ack.Sequence)
	}
	return err
}

// TestPeersWithoutTheKeyAreRefused guards against an agent that accepts requests or
// responses of a process that does not know the shared key.
func TestPeersWithoutTheKeyAreRefused(t *testing.T) {
	metrics := NewMetrics(prometheus.NewRegistry())
	withKey := Transport{Key: testKey(t, testSecret), Metrics: metrics}
	withOtherKey := Transport{Key: testKey(t, "another-secret-of-some-length")}
	address := serve(t, withKey, configuration.Value{})
	if err := probe(t, withKey, address); err != nil {
		t.Fatalf("a peer with the key was refused: %v", err)
	}
	for name, transport := range map[string]Transport{"other key": withOtherKey, "no key": {}} {
		if probe(t, transport, address) == nil {
			t.Errorf("a client with %s was accepted", name)
		}
		if probe(t, withKey, serve(t, transport, configuration.Value{})) == nil {
			t.Errorf("the response of a server with %s was accepted", name)
		}
	}
	if got := testutil.ToFloat64(metrics.refusedMessages); got < 2 {
		t.Errorf("%v refused messages counted, want at least 2", got)
	}
	if got := testutil.ToFloat64(metrics.messages.WithLabelValues("Probe", directionIn)); got < 1 {
		t.Errorf("%v received probes counted, want at least 1", got)
	}
}

// TestMACCoversTypeTimeAndPayload guards against a recorded message that is
// accepted after the time limit, after modification or as another message type.
func TestMACCoversTypeTimeAndPayload(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	codec := &authenticatedCodec{key: testKey(t, testSecret), now: func() time.Time { return now }}
	frame, err := codec.Marshal(&hoistv1.FinishRequest{Key: []byte("z")})
	if err != nil {
		t.Fatal(err)
	}
	data := frame.Materialize()
	decode := func(data []byte, into proto.Message) error {
		return codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(data)}, into)
	}
	if err := decode(data, &hoistv1.FinishRequest{}); err != nil {
		t.Fatal(err)
	}
	if decode(data, &hoistv1.ClaimRequest{}) == nil {
		t.Error("message was accepted as another message type")
	}
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 1
		if decode(changed, &hoistv1.FinishRequest{}) == nil {
			t.Errorf("message was accepted with byte %d changed", i)
		}
	}
	now = now.Add(maxClockDifference + time.Second)
	if decode(data, &hoistv1.FinishRequest{}) == nil {
		t.Error("message was accepted after the time limit")
	}
}

// TestKeyIsNeverFormatted guards against a secret in logs and error messages.
func TestKeyIsNeverFormatted(t *testing.T) {
	key := testKey(t, testSecret)
	document, err := json.Marshal(map[string]any{"key": key})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		fmt.Sprintf("%v %+v %#v %s %q %x %d", key, key, key, key, key, key, key),
		fmt.Sprintf("%+v", Transport{Key: key}), string(document),
	} {
		if strings.Contains(text, testSecret) || strings.Contains(text, fmt.Sprintf("%x", testSecret)) {
			t.Errorf("the key appears in %q", text)
		}
	}
	if _, err := NewKey([]byte(" short ")); err == nil || strings.Contains(err.Error(), "short ") {
		t.Errorf("error for a short key: %v; want one that does not contain the key", err)
	}
}

// TestWithoutKeyOnlyLoopbackIsAccepted guards against a process without a key that is
// reachable from the network.
func TestWithoutKeyOnlyLoopbackIsAccepted(t *testing.T) {
	remote := &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 1}
	loopback := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	plain := Transport{}
	if plain.accepts(remote) || !plain.accepts(loopback) {
		t.Error("without a key, want only loopback addresses accepted")
	}
	if !(Transport{Key: testKey(t, testSecret)}).accepts(remote) {
		t.Error("with a key, want any address accepted")
	}
	if _, err := plain.connect(t.Context(), remote.String()); err == nil {
		t.Error("connected to a remote address without a key")
	}
}

// TestFetchReassemblesChunks guards against a table that is truncated or reordered in
// transfer.
func TestFetchReassemblesChunks(t *testing.T) {
	value := configuration.NewValue(3, []byte(strings.Repeat("0123456789", 50_000)))
	transport := Transport{Key: testKey(t, testSecret)}
	address := serve(t, transport, value)
	pool := NewPool(transport)
	t.Cleanup(pool.Close)
	client := NewClient("vm-2", pool)
	fetch := configuration.Fetch{Peer: configuration.Peer{Address: address}, Name: configuration.Pools, Revision: 3}
	got, err := client.Fetch(t.Context(), fetch)
	if err != nil || got.Digest != value.Digest {
		t.Fatalf("got %d bytes and error %v", len(got.Data), err)
	}
	fetch.Revision = 4
	if _, err := client.Fetch(t.Context(), fetch); err == nil {
		t.Error("a value of another revision was accepted")
	}
}

// refusingServer starts a minimal HTTP/2 server that refuses each call as not processed
// after it has received the message. It returns the address and the number of calls.
func refusingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	calls := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go refuseCalls(conn, calls)
		}
	}()
	return listener.Addr().String(), calls
}

func refuseCalls(conn net.Conn, calls *atomic.Int64) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if data, ok := frame.(*http2.DataFrame); ok {
			calls.Add(1)
			_ = framer.WriteRSTStream(data.StreamID, http2.ErrCodeRefusedStream)
		}
	}
}

// TestCallsAreSentOnce guards against transparent retries by grpc-go, which the caller does
// not see.
func TestCallsAreSentOnce(t *testing.T) {
	address, calls := refusingServer(t)
	if probe(t, Transport{}, address) == nil {
		t.Fatal("a refused call succeeded")
	}
	if got := calls.Load(); got != 1 {
		t.Fatalf("the call was sent %d times", got)
	}
}

// TestFailedConnectionIsReplaced guards against further calls on a connection that no
// longer responds: a connection is replaced after a call on it fails.
func TestFailedConnectionIsReplaced(t *testing.T) {
	address, _ := refusingServer(t)
	pool := NewPool(Transport{})
	t.Cleanup(pool.Close)
	var used []*grpc.ClientConn
	for range 2 {
		_ = pool.Do(address, func(conn *grpc.ClientConn) error {
			used = append(used, conn)
			return context.DeadlineExceeded
		})
	}
	if used[0] == used[1] {
		t.Fatal("the connection of a failed call was used again")
	}
	for range 2 {
		_ = pool.Do(address, func(conn *grpc.ClientConn) error {
			used = append(used, conn)
			return nil
		})
	}
	if used[2] != used[3] {
		t.Error("a working connection was not reused")
	}
	for i := range 3 * maxConnections {
		_ = pool.Do(fmt.Sprintf("127.0.0.1:%d", 10000+i), func(*grpc.ClientConn) error { return nil })
	}
	if got := len(pool.entries); got > maxConnections {
		t.Errorf("the pool holds %d connections, more than its limit", got)
	}
}

// FuzzProbeRequest guards against a probe that crashes the receiver.
func FuzzProbeRequest(f *testing.F) {
	seed, _ := proto.Marshal(fromProbe(control.Probe{Probe: membership.Probe{From: "a", Updates: []membership.Update{{VM: "b"}}}}))
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request hoistv1.ProbeRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		core := control.New(0, control.Options{Self: "vm-1", Zone: "z"})
		core.Receive(1, toProbe("vm-1", &request), 0)
	})
}
