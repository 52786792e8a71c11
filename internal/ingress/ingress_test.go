package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

// startServer starts an HTTP server behind a guard.
func startServer(t *testing.T, limits *ingress.Limits, handler http.Handler) (*Guard, string) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New("test", bootclock.Now, func() ingress.Limits { return *limits })
	server := &http.Server{Handler: Handler(handler), ConnContext: WithConn, ConnState: ConnState, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(g.Listener(inner)) }() // Returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	return g, inner.Addr().String()
}

// dial opens a connection and sends the data.
func dial(t *testing.T, address, data string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, data) // The server may close the connection.
	return conn
}

func readStatus(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

var empty = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})

// TestNewConnectionPushesOutTheOldest guards against a server that accepts no more once silent
// connections have reached the limit.
func TestNewConnectionPushesOutTheOldest(t *testing.T) {
	g, address := startServer(t, &ingress.Limits{Connections: 2}, empty)
	oldest := dial(t, address, "")
	dial(t, address, "")
	for range 3 {
		if status, err := readStatus(dial(t, address, request)); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is open")
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(g)
	if families, err := registry.Gather(); err != nil || len(families) != 6 {
		t.Errorf("%d metrics, error %v", len(families), err)
	}
}

// TestRunningRequestsKeepTheirConnections guards against a request that is cut off by new connections,
// and against a refusal that looks like a response to a request that may have run.
func TestRunningRequestsKeepTheirConnections(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, &ingress.Limits{Connections: 1}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-finish
	}))
	first := dial(t, address, request)
	<-running
	if status, err := readStatus(dial(t, address, "")); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("second: status %d, error %v, expected 503", status, err)
	}
	close(finish)
	if status, err := readStatus(first); err != nil || status != http.StatusOK {
		t.Errorf("first: status %d, error %v", status, err)
	}
}

// TestLargeHeadIsRefused guards against a head over the limit that ends without a response.
func TestLargeHeadIsRefused(t *testing.T) {
	_, address := startServer(t, &ingress.Limits{HeadBytes: 1000}, empty)
	conn := dial(t, address, "GET / HTTP/1.1\r\nX-Header: "+strings.Repeat("v", 1000))
	if status, err := readStatus(conn); err != nil || status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, error %v, expected 431", status, err)
	}
}

// TestChangedTimeLimitsApply guards against time limits that stay as they were at the start.
func TestChangedTimeLimitsApply(t *testing.T) {
	limits := &ingress.Limits{HeadTimeout: time.Hour, IdleTimeout: time.Hour}
	g, address := startServer(t, limits, empty)
	used := dial(t, address, request)
	if status, err := readStatus(used); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	head := dial(t, address, "GET / HTTP")
	limits.HeadTimeout, limits.IdleTimeout = time.Millisecond, time.Millisecond
	go g.Run(t.Context())
	for name, conn := range map[string]net.Conn{"idle": used, "head": head} {
		if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: the connection is open", name)
		}
	}
}
