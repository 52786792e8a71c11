// Package peer connects the processes of the system by gRPC. Processes prove to each
// other that they know a shared key; without a key only loopback addresses are
// accepted.
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
	// keepaliveTime is the silence on a connection with a running call after which it is
	// probed; 10 s is the shortest time that grpc-go permits.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is the time after which an unanswered probe closes a connection.
	keepaliveTimeout = 5 * time.Second
	// idleTimeout closes connections without calls, which holds the number of open
	// connections down in a large fleet.
	idleTimeout = 45 * time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 2 * time.Second
	// reconnectDelay is the longest pause between two attempts. grpc-go's default of two
	// minutes would hide a VM that has returned.
	reconnectDelay = time.Second
	// bufferBytes is the size of the read and write buffers of a connection. Messages
	// are small; the default of 32 KB each would dominate an agent's memory.
	bufferBytes = 4 << 10
	// windowBytes is the flow control window. A fixed window also stops grpc-go from
	// measuring the bandwidth with additional pings.
	windowBytes = 1 << 20
	// maxMessageBytes bounds a message: a snapshot with two tables of 1 MB each.
	maxMessageBytes = 8 << 20
)

// Transport holds what all connections of one process have in common. All fields may
// be nil.
type Transport struct {
	Key     *Key
	Metrics *Metrics
	// SourceIP is the address from which connections are made, so that the other end and
	// the network between see the VM's own address; nil leaves the choice to the system.
	SourceIP net.IP
	// PrivateNetwork accepts peers on other addresses than loopback without a key. It is
	// set where the network carries the system's own VMs alone.
	PrivateNetwork bool
}

// SourceIPFor returns the source address that goes with a listening IP:port: its IP, or
// nil if it listens on all addresses.
func SourceIPFor(listen string) net.IP {
	address, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil || address.IP.IsUnspecified() {
		return nil
	}
	return address.IP
}

// Dial returns a connection to the IP:port; it connects on the first call.
func (t Transport) Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, t.DialOptions()...)
}

// DialOptions returns the options for connections to other processes.
func (t Transport) DialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		// The proof in each message takes the place of transport credentials.
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(t.connect),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(
			// Without a buffer a call is committed to its stream once its message is written.
			// Otherwise grpc-go sends it again by itself, which WithDisableRetry allows, if
			// the server reports it as not processed.
			grpc.MaxRetryRPCBufferSize(0),
			grpc.ForceCodecV2(newCodec(t.Key, t.Metrics)),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
		),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay / 4, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
	}
	if t.Metrics != nil {
		options = append(options, grpc.WithStatsHandler(&statsHandler{t.Metrics}))
	}
	return options
}

// ServerOptions returns the options for a server of the process.
func (t Transport) ServerOptions() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(newCodec(t.Key, t.Metrics)),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 2 * idleTimeout, Time: keepaliveTime, Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
	if t.Metrics != nil {
		options = append(options, grpc.StatsHandler(&statsHandler{t.Metrics}))
	}
	return options
}

// Listen opens a listener for a server with the ServerOptions.
func (t Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return t.WrapListener(listener), nil
}

// WrapListener applies the rules of the transport to a listener.
func (t Transport) WrapListener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, transport: t}
}

// listener counts bytes and, without a key, refuses peers that are not on loopback.
type listener struct {
	net.Listener
	transport Transport
}

// Accept returns the next connection of an accepted peer.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.transport.accepts(conn.RemoteAddr()) {
			return l.transport.Metrics.count(conn), nil
		}
		l.transport.Metrics.refused()
		_ = conn.Close()
	}
}

func (t Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "address of a peer")
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
	return t.Metrics.count(conn), nil
}

func (t Transport) accepts(address net.Addr) bool {
	if t.Key != nil || t.PrivateNetwork {
		return true
	}
	tcp, ok := address.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
