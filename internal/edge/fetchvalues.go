package edge

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/progress"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/transfer"
)

// fetchValues gets the values of items that peers only refer to, until the context ends. It runs beside the pulls, so
// that other changes do not wait for a large value.
func (s *Server) fetchValues(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.follower.valueWanted:
		case <-ctx.Done():
		}
		for attempt := 0; ctx.Err() == nil; attempt++ {
			outstanding := s.follower.outstanding()
			if len(outstanding) == 0 {
				break
			}
			if !s.fetchValue(ctx, outstanding[attempt%len(outstanding)], attempt) {
				sleep(ctx, pullRetryDelay)
			}
		}
	}
}

// fetchValue gets one value and puts its item in force. It reports whether the transfer succeeded.
func (s *Server) fetchValue(ctx context.Context, wanted published.Outstanding, attempt int) bool {
	sources := s.valueSources()
	if len(sources) == 0 {
		return false
	}
	source := sources[(attempt+s.readerOffset)%len(sources)]
	begin, base := s.now(), s.follower.base()
	encoded, err := s.fetchEncoded(ctx, source, wanted.Item.Reference, base)
	if err == nil {
		wanted.Item.Value, err = transfer.Decode(encoded, base, wanted.Item.Reference)
	}
	detail := []zap.Field{
		zap.String("key", wanted.Item.Key), zap.String("peer", source.Name), zap.Int("bytes", wanted.Item.Reference.Size),
		zap.Int("encoded_bytes", len(encoded.Data)), zap.Bool("difference", encoded.IsDelta), zap.Duration("after", s.now().Sub(begin)),
	}
	if err != nil {
		s.logger.Info("value not fetched", append(detail, obs.ErrorField(err))...)
		return false
	}
	s.logger.Info("value fetched", detail...)
	s.follower.supply(wanted.Era, wanted.Item)
	return true
}

// valueSources returns the VMs from which this VM may fetch values: those from which it pulls, or the other readers of
// the store. If there are none, it is any VM that is reachable.
func (s *Server) valueSources() []fleet.Entry {
	sources, role := s.tableSources()
	if role != fleet.TableFollower {
		sources = s.otherReaders()
	}
	sources = slices.DeleteFunc(slices.Clone(sources), func(e fleet.Entry) bool { return e.Name == s.settings.VM })
	if len(sources) == 0 {
		return s.gossip.reachable()
	}
	return sources
}

// fetchEncoded transfers the encoded form of a value from a peer.
func (s *Server) fetchEncoded(ctx context.Context, source fleet.Entry, reference replica.Reference, base []byte) (transfer.Encoded, error) {
	ctx, bound := progress.WithBound(ctx, pullHoldTime+pullTimeoutMargin)
	defer bound.Stop()
	var encoded transfer.Encoded
	err := s.peers.callBounded(ctx, source, func(ctx context.Context, client hoistv1.FleetClient) error {
		request := &hoistv1.FetchValueRequest{ValueHash: reference.Hash, BaseHash: replica.ReferenceTo(base).Hash}
		stream, err := client.FetchValue(ctx, request)
		if err != nil {
			return err
		}
		encoded, err = receiveEncoded(stream, bound)
		return err
	})
	return encoded, err
}

// receiveEncoded receives the parts of an encoded value.
func receiveEncoded(stream hoistv1.Fleet_FetchValueClient, bound *progress.Bound) (transfer.Encoded, error) {
	head, err := stream.Recv()
	if err != nil {
		return transfer.Encoded{}, err
	}
	size := int(head.GetEncodedSize())
	if size > transfer.MaxValueBytes {
		return transfer.Encoded{}, errors.Newf("the encoded value has %d bytes, at most %d are allowed", size, transfer.MaxValueBytes)
	}
	encoded := transfer.Encoded{IsDelta: head.GetIsDelta()}
	for len(encoded.Data) < size {
		part, err := stream.Recv()
		if err != nil {
			return transfer.Encoded{}, err
		}
		if len(part.GetData()) == 0 {
			return transfer.Encoded{}, errors.New("a part of the value is empty")
		}
		bound.Receive(len(part.GetData()))
		encoded.Data = append(encoded.Data, part.GetData()...)
	}
	return encoded, nil
}
