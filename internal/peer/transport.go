// Package peer connects the processes of the system by gRPC. Messages are authenticated
// with a shared key; without a key only loopback addresses are accepted, unless the
// network is private.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveTime is the time without traffic after which a connection with ongoing calls
	// is pinged; 10 s is the minimum that grpc-go permits.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time after which an unanswered ping closes the connection.
	keepaliveTimeout = 5 * time.Second
	// idleTimeout is the time without calls after which a connection is closed. It limits the
	// number of open connections in a large fleet.
	idleTimeout = 45 * time.Second
	// connectTimeout is the timeout of one attempt to connect.
	connectTimeout = 2 * time.Second
	// maxReconnectDelay is the maximum delay between two attempts to connect. With grpc-go's
	// default of two minutes a VM that is back would stay unreachable for that time.
	maxReconnectDelay = time.Second
	// bufferBytes is the size of the read and write buffers of a connection. Messages
	// are small; the default of 32 KB each would dominate an agent's memory.
	bufferBytes = 4 << 10
	// flowControlWindowBytes is the HTTP/2 flow control window. Setting it also disables the
	// bandwidth estimation of grpc-go, which sends additional pings.
	flowControlWindowBytes = 1 << 20
	// maxMessageBytes limits a message. The largest is a snapshot with two tables of 1 MB each.
	maxMessageBytes = 8 << 20
)

// Transport holds the settings of all connections of one process. The zero value is valid.
type Transport struct {
	Key     *Key
	Metrics *Metrics
	// SourceIP is the local address of outgoing connections. It is set so that peers and the
	// network see the VM's own address; if it is nil, the operating system chooses one.
	SourceIP net.IP
	// PrivateNetwork accepts peers on non-loopback addresses without a key. Set it only if
	// the network has no machines other than the system's VMs.
	PrivateNetwork bool
	// StreamWindowBytes is the HTTP/2 flow control window of a stream, at least 64 KB; 0 means
	// flowControlWindowBytes. It bounds the memory of a stream whose receiver does not read.
	StreamWindowBytes int32
}

// streamWindow returns the flow control window of a stream.
func (t Transport) streamWindow() int32 {
	if t.StreamWindowBytes == 0 {
		return flowControlWindowBytes
	}
	return t.StreamWindowBytes
}

// SourceIPFor returns the source address for a process that listens on an IP:port: its IP,
// or nil if it listens on all addresses.
func SourceIPFor(listen string) net.IP {
	address, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil || address.IP.IsUnspecified() {
		return nil
	}
	return address.IP
}

// Dial returns a connection to an IP:port. It connects on the first call.
func (t Transport) Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, t.DialOptions()...)
}

// DialOptions returns the options for connections to other processes.
func (t Transport) DialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		// Messages are authenticated by the codec instead of transport credentials.
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(t.connect),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(
			// Without a retry buffer a call is committed to its stream once its message is
			// written. Otherwise grpc-go transparently retries a call that the server reports
			// as not processed, even with WithDisableRetry.
			grpc.MaxRetryRPCBufferSize(0),
			grpc.ForceCodecV2(newCodec(t.Key, t.Metrics)),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
		),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxReconnectDelay / 4, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(t.streamWindow()),
		grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithStatsHandler(retryPauser{}),
	}
	if t.Metrics != nil {
		options = append(options, grpc.WithStatsHandler(&statsHandler{metrics: t.Metrics}))
	}
	return options
}

// ServerOptions returns the options for a gRPC server of the process.
func (t Transport) ServerOptions() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(newCodec(t.Key, t.Metrics)),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 2 * idleTimeout, Time: keepaliveTime, Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(t.streamWindow()),
		grpc.InitialConnWindowSize(flowControlWindowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
	if t.Metrics != nil {
		options = append(options, grpc.StatsHandler(&statsHandler{metrics: t.Metrics}))
	}
	return options
}

// Listen returns a TCP listener for a server with ServerOptions.
func (t Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return t.WrapListener(listener), nil
}

// WrapListener returns a listener that counts bytes and refuses connections that the
// transport does not accept.
func (t Transport) WrapListener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, transport: t}
}

// listener is returned by WrapListener.
type listener struct {
	net.Listener
	transport Transport
}

// Accept returns the next connection from an accepted address.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.transport.accepts(conn.RemoteAddr()) {
			return l.transport.Metrics.countBytes(conn), nil
		}
		l.transport.Metrics.countRefused()
		_ = conn.Close()
	}
}

func (t Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	if !t.accepts(remote) {
		return nil, errors.Newf("%s is not a loopback address and no key_file is set", address)
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	if t.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: t.SourceIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return t.Metrics.countBytes(conn), nil
}

func (t Transport) accepts(address net.Addr) bool {
	if t.Key != nil || t.PrivateNetwork {
		return true
	}
	tcp, ok := address.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
