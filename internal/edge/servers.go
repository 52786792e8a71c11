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
	peerServer := grpc.NewServer(append(s.peers.transport.ServerOptions(), grpc.ChainUnaryInterceptor(s.contain.interceptCall))...)
	hoistv1.RegisterFleetServer(peerServer, fleetServer{s: s})
	go s.runServer("peers", func() error { return peerServer.Serve(peerListener) })
	out := &servers{
		callers: &http.Server{
			Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			BaseContext: func(net.Listener) context.Context { return ctx }, ConnContext: withConn, ErrorLog: zap.NewStdLog(s.logger),
		},
		readiness: &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout},
		peers:     peerServer,
	}
	// Only routes answer callers, also those that send "OPTIONS *".
	out.callers.DisableGeneralOptionsHandler = true
	if out.callerListener, err = s.serveHTTP("callers", s.settings.Listen, out.callers); err == nil {
		_, err = s.serveHTTP("readiness", s.settings.ReadyListen, out.readiness)
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
func (s *Server) serveHTTP(name, address string, server *http.Server) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
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
