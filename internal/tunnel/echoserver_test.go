package tunnel

import hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"

// echoServer opens each tunnel and waits for its end.
type echoServer struct {
	hoistv1.UnimplementedFleetServer
}

// Tunnel implements hoistv1.FleetServer.
func (*echoServer) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&hoistv1.TunnelResponse{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}
