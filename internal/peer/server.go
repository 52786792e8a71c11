package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
)

// Handler handles calls of other agents.
type Handler interface {
	// Probe returns the response to a probe. For an indirect probe it waits for the response
	// of the target.
	Probe(ctx context.Context, probe control.Probe) (control.Ack, error)
	// Exchange merges gossip and returns the agent's own.
	Exchange(exchange control.Exchange) control.ExchangeReply
	// Lookup returns the value of a revision if the agent has it.
	Lookup(name configuration.Name, revision uint64) (configuration.Value, bool)
}

// Server implements the Peer service of an agent.
type Server struct {
	hoistv1.UnimplementedPeerServer

	self    string
	handler Handler
}

// NewServer returns the service of the VM named self.
func NewServer(self string, handler Handler) *Server { return &Server{self: self, handler: handler} }

// Probe implements the Peer service.
func (s *Server) Probe(ctx context.Context, request *hoistv1.ProbeRequest) (*hoistv1.ProbeResponse, error) {
	ack, err := s.handler.Probe(ctx, toProbe(s.self, request))
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return fromAck(ack), nil
}

// Exchange implements the Peer service.
func (s *Server) Exchange(_ context.Context, request *hoistv1.ExchangeRequest) (*hoistv1.ExchangeResponse, error) {
	reply := s.handler.Exchange(control.Exchange{
		From: request.GetFrom(), To: s.self, Address: request.GetAddress(), Gossip: toGossip(request.GetGossip()),
	})
	return &hoistv1.ExchangeResponse{From: reply.From, Gossip: fromGossip(nil, reply.Gossip)}, nil
}

// FetchTable implements the Peer service.
func (s *Server) FetchTable(request *hoistv1.FetchTableRequest, stream grpc.ServerStreamingServer[hoistv1.TableChunk]) error {
	value, found := s.handler.Lookup(configuration.Name(request.GetName()), request.GetRevision())
	if !found {
		return status.Error(codes.NotFound, "revision is not held")
	}
	for _, chunk := range configuration.Split(value) {
		if err := stream.Send(fromChunk(chunk)); err != nil {
			return err
		}
	}
	return nil
}
