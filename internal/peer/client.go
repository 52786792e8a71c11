package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
)

// Client calls other agents. The context of each call limits its duration.
type Client struct {
	self string
	pool *Pool
}

// NewClient returns a client for the agent of the VM named self.
func NewClient(self string, pool *Pool) *Client { return &Client{self: self, pool: pool} }

// Probe sends a probe and returns the response.
func (c *Client) Probe(ctx context.Context, address string, probe control.Probe) (control.Ack, error) {
	var response *hoistv1.ProbeResponse
	err := c.pool.Do(address, func(conn *grpc.ClientConn) (err error) {
		response, err = hoistv1.NewPeerClient(conn).Probe(ctx, fromProbe(probe))
		return err
	})
	if err != nil {
		return control.Ack{}, errors.Wrapf(err, "probe %s", probe.To)
	}
	return toAck(c.self, response), nil
}

// Exchange sends gossip and returns the gossip of the peer.
func (c *Client) Exchange(ctx context.Context, address string, exchange control.Exchange) (control.ExchangeReply, error) {
	request := &hoistv1.ExchangeRequest{
		From: exchange.From, Address: exchange.Address, Gossip: fromGossip(nil, exchange.Gossip),
	}
	var response *hoistv1.ExchangeResponse
	err := c.pool.Do(address, func(conn *grpc.ClientConn) (err error) {
		response, err = hoistv1.NewPeerClient(conn).Exchange(ctx, request)
		return err
	})
	if err != nil {
		return control.ExchangeReply{}, errors.Wrapf(err, "exchange with %s", exchange.To)
	}
	return control.ExchangeReply{From: response.GetFrom(), To: c.self, Gossip: toGossip(response.GetGossip())}, nil
}

// Fetch downloads a value from a peer and verifies its SHA-256.
func (c *Client) Fetch(ctx context.Context, fetch configuration.Fetch) (configuration.Value, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	assembler := configuration.Assembler{Revision: fetch.Revision}
	err := c.pool.Do(fetch.Peer.Address, func(conn *grpc.ClientConn) error {
		request := &hoistv1.FetchTableRequest{Name: string(fetch.Name), Revision: fetch.Revision}
		stream, err := hoistv1.NewPeerClient(conn).FetchTable(ctx, request)
		if err != nil {
			return err
		}
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := assembler.Add(toChunk(chunk)); err != nil {
				return err
			}
		}
	})
	if err != nil {
		return configuration.Value{}, errors.Wrapf(err, "fetch %s from %s", fetch.Name, fetch.Peer.Name)
	}
	value, err := assembler.Value()
	return value, errors.Wrapf(err, "fetch %s from %s", fetch.Name, fetch.Peer.Name)
}
