package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
)

// maxHeldBytes bounds what both VMs together may hold of one direction: a window, grpc-go's queue of 64 KB
// and some chunks.
const maxHeldBytes = 4 * WindowBytes

// byteCounter implements Counter.
type byteCounter struct{ n atomic.Int64 }

func (c *byteCounter) Add(n float64) { c.n.Add(int64(n)) }

// carryingServer carries all connections to the connection that it is given.
type carryingServer struct {
	hoistv1.UnimplementedFleetServer
	upstream net.Conn
	refusal  Refusal
	ended    chan error
}

// Tunnel implements hoistv1.FleetServer.
func (s *carryingServer) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&hoistv1.TunnelResponse{Refusal: uint32(s.refusal)}); err != nil || s.refusal != Opened {
		return err
	}
	err := Carry(stream, s.upstream, Counters{ToUpstream: &byteCounter{}, FromUpstream: &byteCounter{}})
	s.ended <- err
	return err
}

// newClient starts a VM that carries connections and returns a client of it.
func newClient(t *testing.T, service hoistv1.FleetServer) hoistv1.FleetClient {
	t.Helper()
	transport := peer.Transport{StreamWindowBytes: WindowBytes}
	listener, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(transport.ServerOptions()...)
	hoistv1.RegisterFleetServer(server, service)
	go func() { _ = server.Serve(listener) }() // Ends with Stop.
	t.Cleanup(server.Stop)
	conn, err := transport.Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return hoistv1.NewFleetClient(conn)
}

// openTo opens a connection whose other end is upstream, and returns the channel with its end at the
// carrying VM.
func openTo(t *testing.T, upstream net.Conn) (*Conn, chan error) {
	t.Helper()
	service := &carryingServer{upstream: upstream, ended: make(chan error, 1)}
	conn, err := Open(t.Context(), newClient(t, service), "u", "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = conn.Receive() }() // The test reads the end from the connection.
	t.Cleanup(func() { _ = conn.Close() })
	return conn, service.ended
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestBytesBothWays guards against bytes that are lost or changed, and against an orderly end that looks
// like a broken connection.
func TestBytesBothWays(t *testing.T) {
	near, far := tcpPair(t)
	conn, ended := openTo(t, near)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		_, _ = io.CopyN(far, far, int64(len(data))) // The test detects what is missing.
		_ = far.CloseWrite()
	}()
	go func() {
		if n, err := conn.Write(data); n != len(data) || err != nil {
			t.Errorf("wrote %d of %d bytes: %v", n, len(data), err)
		}
	}()
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("read %d of %d bytes: %v", len(got), len(data), err)
	}
	if err := <-ended; err != nil {
		t.Errorf("an orderly end is reported as %v", err)
	}
	if conn.IsIdle() {
		t.Error("a connection that has ended may be reused")
	}
	if n, err := conn.Write([]byte("x")); n != 0 || !errors.Is(err, syscall.EPIPE) {
		t.Errorf("after the end %d bytes were written: %v", n, err)
	}
}

// TestBrokenConnectionIsNoEnd guards against a connection that broke and looks as if its upstream had ended
// it.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	for name, breakOff := range map[string]func(conn *Conn, far *net.TCPConn) error{
		"reset": func(_ *Conn, far *net.TCPConn) error {
			return errors.CombineErrors(far.SetLinger(0), far.Close())
		},
		"closed before all bytes were read": func(conn *Conn, far *net.TCPConn) error {
			if _, err := conn.Write(make([]byte, 2*maxChunkBytes)); err != nil {
				return err
			}
			if _, err := far.Read(make([]byte, 1)); err != nil {
				return err
			}
			return far.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := tcpPair(t)
			conn, ended := openTo(t, near)
			if _, err := far.Write([]byte("half")); err != nil {
				t.Fatal(err)
			}
			if err := breakOff(conn, far); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || errors.Is(err, outbound.ErrPathFailed) {
				t.Errorf("error %v, expected a reset by the upstream", err)
			}
			if _, err := conn.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) || errors.Is(err, outbound.ErrPathFailed) {
				t.Errorf("error %v of a write, expected one by the upstream", err)
			}
			if err := <-ended; err == nil {
				t.Error("the carrying VM reports an orderly end")
			}
		})
	}
}

// endingServer opens each tunnel and ends it, as a VM does that stops.
type endingServer struct {
	hoistv1.UnimplementedFleetServer
}

// Tunnel implements hoistv1.FleetServer.
func (endingServer) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	if err := stream.Send(&hoistv1.TunnelResponse{}); err != nil {
		return err
	}
	return status.Error(codes.Unavailable, "the VM stops")
}

// TestLostCarrierIsNoFailureOfUpstream guards against an upstream that is blamed since its carrier was lost.
func TestLostCarrierIsNoFailureOfUpstream(t *testing.T) {
	conn, err := Open(t.Context(), newClient(t, endingServer{}), "u", "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = conn.Receive() }() // The test reads the end from the connection.
	for err == nil {
		_, err = conn.Write([]byte("x"))
	}
	if !errors.Is(err, syscall.EPIPE) || !errors.Is(err, outbound.ErrPathFailed) {
		t.Errorf("error %v of a write", err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) || !errors.Is(err, outbound.ErrPathFailed) {
		t.Errorf("error %v of a read", err)
	}
}

// TestResetAfterOrderlyEnd guards against an answer that looks whole although its upstream died before it
// had read the request: the kernel sends an orderly end first, and a reset once the bytes arrive.
func TestResetAfterOrderlyEnd(t *testing.T) {
	for name, writes := range map[string]bool{"bytes arrive late": true, "no more bytes": false} {
		t.Run(name, func(t *testing.T) {
			near, far := tcpPair(t)
			if err := far.Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Fatalf("error %v, expected an orderly end", err)
			}
			u := &upload{conn: near, failed: make(chan struct{}), counter: &byteCounter{}}
			if writes {
				if _, err := near.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			u.lastWrite.Store(time.Now().UnixNano())
			if err := u.awaitReset(t.Context()); (err != nil) != writes {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestCloseReachesUpstream guards against an upstream that goes on working after its requester has left.
func TestCloseReachesUpstream(t *testing.T) {
	near, far := tcpPair(t)
	conn, ended := openTo(t, near)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := far.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the upstream read %d bytes, error %v", n, err)
	}
	<-ended
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after Close: %v", err)
	}
	if n, err := conn.Write([]byte("x")); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("write after Close: %d bytes, error %v", n, err)
	}
}

// TestMemoryIsBounded guards against VMs that hold all bytes of a fast sender whose receiver does not read.
func TestMemoryIsBounded(t *testing.T) {
	// What is written until this deadline passes does not depend on its length.
	const deadline = 300 * time.Millisecond
	data := make([]byte, 4<<20)
	t.Run("to the upstream", func(t *testing.T) {
		t.Parallel()
		near, _ := net.Pipe()
		conn, _ := openTo(t, near)
		if err := conn.SetWriteDeadline(time.Now().Add(deadline)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Write(data)
		if n > maxHeldBytes || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d bytes, error %v", n, err)
		}
	})
	t.Run("from the upstream", func(t *testing.T) {
		t.Parallel()
		near, far := net.Pipe()
		conn, _ := openTo(t, near)
		if err := far.SetWriteDeadline(time.Now().Add(deadline)); err != nil {
			t.Fatal(err)
		}
		n, err := far.Write(data)
		if n > maxHeldBytes || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d bytes, error %v", n, err)
		}
		if conn.IsIdle() {
			t.Error("a connection with unread bytes may be reused")
		}
		if got, err := io.ReadAll(io.LimitReader(conn, int64(n))); len(got) != n || err != nil {
			t.Errorf("read %d of %d bytes: %v", len(got), n, err)
		}
	})
}

// TestReadDeadline guards against a read that ignores its deadline.
func TestReadDeadline(t *testing.T) {
	near, far := tcpPair(t)
	conn, _ := openTo(t, near)
	for _, deadline := range []time.Time{time.Unix(1, 0), time.Now().Add(time.Millisecond)} {
		if err := conn.SetReadDeadline(deadline); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("error %v", err)
		}
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes after the deadline was removed: %v", n, err)
	}
}

// TestRefusals guards against a refused connection that looks open, and against refusals of newer versions.
func TestRefusals(t *testing.T) {
	for sent, want := range map[Refusal]Refusal{UnknownUpstream: UnknownUpstream, TimedOut: TimedOut, Failed + 3: Failed} {
		_, err := Open(t.Context(), newClient(t, &carryingServer{refusal: sent}), "u", "10.0.0.1:1")
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Refusal != want {
			t.Errorf("refusal %d: error %v", sent, err)
		}
	}
	if _, err := Open(context.Background(), newClient(t, hoistv1.UnimplementedFleetServer{}), "u", "10.0.0.1:1"); err == nil {
		t.Error("an older version opened a connection")
	}
}
