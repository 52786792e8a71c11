package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/ingress"
	"github.com/hornbeamhoist/hornbeamhoist/internal/tunnel"
)

// peerFlushTime is how long the last responses to other VMs may take. Long polls of other VMs may last
// longer and are cut off.
const peerFlushTime = 50 * time.Millisecond

// servers are the servers of one VM: for callers, for readiness checks and for other VMs.
type servers struct {
	callers        *http.Server
	callerListener net.Listener
	readiness      *http.Server
	peers          *grpc.Server
}

// listen opens all listeners and starts to serve them.
func (s *Server) listen(ctx context.Context) (*servers, error) {
	peerListener, err := s.peers.transport.Listen(s.settings.PeerListen)
	if err != nil {
		return nil, err
	}
	peerListener = s.guards.peers.Listener(s.wrapPeers(peerListener))
	peerServer := grpc.NewServer(append(s.peers.transport.ServerOptions(), grpc.ChainUnaryInterceptor(ingress.InterceptCall, s.contain.interceptCall),
		grpc.ChainStreamInterceptor(ingress.InterceptStream, s.contain.interceptStream), grpc.InitialWindowSize(tunnel.WindowBytes),
		grpc.ConnectionTimeout(peerHandshakeTimeout), grpc.MaxHeaderListSize(maxPeerHeaderBytes), grpc.MaxConcurrentStreams(maxPeerCalls))...)
	hoistv1.RegisterFleetServer(peerServer, fleetServer{s: s})
	s.guards.run(ctx)
	go s.runServer("peers", func() error { return peerServer.Serve(peerListener) })
	out := &servers{
		callers: &http.Server{
			// The guard applies the limits of the configuration in force to heads and idle connections.
			Handler: s, MaxHeaderBytes: 2 * maxConfiguredHeadBytes, ConnState: ingress.ConnState,
			BaseContext: func(net.Listener) context.Context { return ctx }, ConnContext: ingress.WithConn, ErrorLog: zap.NewStdLog(s.logger),
		},
		readiness: newAuxiliaryServer(http.HandlerFunc(s.serveReady)),
		peers:     peerServer,
	}
	// Only routes answer callers, also those that send "OPTIONS *".
	out.callers.DisableGeneralOptionsHandler = true
	if out.callerListener, err = s.serveHTTP("callers", s.settings.Listen, out.callers, s.guards.callers); err == nil {
		_, err = s.serveHTTP("readiness", s.settings.ReadyListen, out.readiness, s.guards.readiness)
	}
	if err != nil {
		peerServer.Stop()
		return nil, err
	}
	if s.settings.MetricsPort > 0 {
		s.serveMetrics()
	}
	return out, nil
}

// serveHTTP opens a listener and starts to serve it.
func (s *Server) serveHTTP(name, address string, server *http.Server, guard *ingress.Guard) (net.Listener, error) {
	listener, err := listenGuarded(address, guard)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	go s.runServer(name, func() error { return server.Serve(listener) })
	return listener, nil
}

// stopPeers ends the calls of other VMs, after the flush time for responses that are being sent.
func (s *servers) stopPeers(flushTime time.Duration) {
	defer time.AfterFunc(flushTime, s.peers.Stop).Stop()
	s.peers.GracefulStop()
}
