package peer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
)

// retryCounter counts transparent retries.
type retryCounter struct {
	retryPauser
	count atomic.Int64
}

func (c *retryCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	if begin, ok := event.(*stats.Begin); ok && begin.IsTransparentRetryAttempt {
		c.count.Add(1)
	}
}

// resettableListener remembers the connections that it accepted.
type resettableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (l *resettableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn.(*net.TCPConn))
	return conn, nil
}

func (l *resettableListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	l.conns = nil
}

type pingServer struct {
	hoistv1.UnimplementedFleetServer
}

func (pingServer) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// TestCallsOnClosingConnection guards against calls that use a processor for themselves while their connection
// is being closed: each must be retried with a pause.
func TestCallsOnClosingConnection(t *testing.T) {
	// As on a VM with less than one core.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	transport := Transport{PrivateNetwork: true}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &resettableListener{Listener: inner}
	server := grpc.NewServer(transport.ServerOptions()...)
	hoistv1.RegisterFleetServer(server, pingServer{})
	go func() { _ = server.Serve(listener) }() // It ends with Stop.
	defer server.Stop()
	counter := &retryCounter{}
	conn, err := grpc.NewClient("passthrough:///"+inner.Addr().String(), append(transport.DialOptions(), grpc.WithStatsHandler(counter))...)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := hoistv1.NewFleetClient(conn)

	const (
		rounds, callers = 200, 16
		timeout         = 50 * time.Millisecond
	)
	began := time.Now()
	for range rounds {
		listener.resetAll()
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				_, _ = client.Ping(ctx, &hoistv1.PingRequest{}) // Calls on a connection that is reset may fail.
			})
		}
		wg.Wait()
	}
	elapsed := time.Since(began)
	// Each caller makes at most one retry in each pause.
	limit := int64(callers) * (elapsed.Milliseconds()/transparentRetryPause.Milliseconds() + 1)
	if counter.count.Load() > limit {
		t.Errorf("%d transparent retries in %v, expected at most %d", counter.count.Load(), elapsed, limit)
	}
}
