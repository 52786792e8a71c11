package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
)

// resetDelay is how long after the last bytes for an upstream its reset may arrive. An upstream that dies
// before it has read them ends the connection in an orderly way first, and resets it when they arrive.
const resetDelay = 20 * time.Millisecond

// Counter counts bytes.
type Counter interface{ Add(bytes float64) }

// Counters count the bytes that Carry copies.
type Counters struct {
	ToUpstream, FromUpstream Counter
}

// Carry copies bytes between an opened stream and the connection to the upstream until one of them ends,
// and closes the connection. The result is the status of the stream: nil only if the upstream ended the
// connection in an orderly way.
func Carry(stream hoistv1.Fleet_TunnelServer, upstream net.Conn, counters Counters) error {
	defer upstream.Close()
	// The requester ends the stream when it closes the connection.
	defer context.AfterFunc(stream.Context(), func() { _ = upstream.Close() })()
	u := &upload{conn: upstream, failed: make(chan struct{}), counter: counters.ToUpstream}
	u.lastWrite.Store(time.Now().UnixNano()) // The first bytes may be under way.
	go u.run(stream)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := upstream.Read(buffer)
		counters.FromUpstream.Add(float64(n))
		if n > 0 {
			if sendErr := stream.Send(&hoistv1.TunnelResponse{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			err = u.awaitReset(stream.Context())
			if err == nil {
				return nil
			}
		}
		if err != nil {
			return status.Errorf(codes.Aborted, "the connection to the upstream broke: %v", err)
		}
	}
}

// upload copies from a stream to an upstream.
type upload struct {
	conn    net.Conn
	counter Counter
	// lastWrite is the time of the last write, or of the start, in nanoseconds since the Unix epoch.
	lastWrite atomic.Int64
	// failed is closed when a write failed, with the error in err.
	failed   chan struct{}
	failOnce sync.Once
	err      error
}

// run copies until the stream ends. After a failed write it drops what else arrives: the upstream may have
// answered before, and the requester must not wait for room in the stream meanwhile.
func (u *upload) run(stream hoistv1.Fleet_TunnelServer) {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			_ = u.conn.Close() // The requester does not end its direction alone.
		}
		if err != nil {
			return
		}
		u.lastWrite.Store(time.Now().UnixNano())
		n, err := u.conn.Write(request.GetData())
		u.counter.Add(float64(n))
		u.lastWrite.Store(time.Now().UnixNano())
		if err != nil {
			u.failOnce.Do(func() {
				u.err = err
				close(u.failed)
			})
		}
	}
}

// awaitReset waits until no reset is to be expected after the end that the upstream sent, and returns the
// error of a reset.
func (u *upload) awaitReset(ctx context.Context) error {
	for {
		wait := resetDelay - time.Since(time.Unix(0, u.lastWrite.Load()))
		if wait <= 0 {
			return u.resetErr()
		}
		timer := time.NewTimer(wait)
		select {
		case <-u.failed:
			timer.Stop()
			return u.err
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// resetErr returns the error of a reset that arrived after the end of the connection, which reads do not
// report.
func (u *upload) resetErr() error {
	select {
	case <-u.failed:
		return u.err
	default:
	}
	tcp, ok := u.conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var pending int
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		pending, sockoptErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	if err = errors.CombineErrors(err, sockoptErr); err != nil {
		return err
	}
	if pending != 0 {
		return syscall.Errno(pending)
	}
	return nil
}
