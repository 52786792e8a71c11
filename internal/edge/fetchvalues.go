package edge

import (
	"context"
	"slices"
	"time"

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
		for round := 0; ctx.Err() == nil; round++ {
			outstanding := s.follower.outstanding()
			if len(outstanding) == 0 {
				break
			}
			wanted := outstanding[round%len(outstanding)]
			if !s.fetchValue(ctx, wanted) {
				s.follower.forget(wanted)
				sleep(ctx, pullRetryDelay)
			}
		}
	}
}

// fetchAttempt is the end of a transfer from one VM.
type fetchAttempt struct {
	source      fleet.Entry
	value       []byte
	encoded     transfer.Encoded
	hasReceived bool
	err         error
}

// fetchValue gets one value from any of its sources and puts its item in force. It reports whether one had it.
func (s *Server) fetchValue(ctx context.Context, wanted published.Outstanding) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources, begin, base := s.valueSources(), s.now(), s.follower.base()
	ended, received := make(chan fetchAttempt, len(sources)), make(chan struct{}, len(sources))
	var attempts transfer.Attempts
	for {
		if now := s.now(); len(sources) > 0 && attempts.MayStart(now) {
			attempts.Start(now)
			go s.attemptFetch(ctx, sources[0], wanted.Item.Reference, base, received, ended)
			sources = sources[1:]
		}
		if attempts.UnderWay() == 0 {
			return false
		}
		select {
		case <-received:
			attempts.Receive()
		case <-time.After(transfer.HedgeDelay):
		case attempt := <-ended:
			s.logFetch(wanted.Item, attempt, s.now().Sub(begin))
			if attempt.err == nil {
				wanted.Item.Value = attempt.value
				s.follower.supply(wanted.Era, wanted.Item)
				return true
			}
			attempts.Fail(attempt.hasReceived)
		}
	}
}

// attemptFetch transfers a value from one VM. It reports the first part and the end.
func (s *Server) attemptFetch(ctx context.Context, source fleet.Entry, reference replica.Reference, base []byte, received chan<- struct{}, ended chan<- fetchAttempt) {
	attempt := fetchAttempt{source: source}
	attempt.encoded, attempt.err = s.fetchEncoded(ctx, source, reference, base, func() {
		attempt.hasReceived = true
		received <- struct{}{}
	})
	if attempt.err == nil {
		attempt.value, attempt.err = transfer.Decode(attempt.encoded, base, reference)
	}
	ended <- attempt
}

func (s *Server) logFetch(item replica.Item, attempt fetchAttempt, elapsed time.Duration) {
	detail := []zap.Field{
		zap.String("key", item.Key), zap.String("peer", attempt.source.Name), zap.Int("bytes", item.Reference.Size),
		zap.Int("encoded_bytes", len(attempt.encoded.Data)), zap.Bool("difference", attempt.encoded.IsDelta), zap.Duration("after", elapsed),
	}
	if attempt.err != nil {
		s.logger.Info("value not fetched", append(detail, obs.ErrorField(attempt.err))...)
		return
	}
	s.logger.Info("value fetched", detail...)
}

// valueSources returns the VMs from which this VM may fetch values: those that answered its latest pulls, and those
// from which it pulls. If there are none, these are all that are reachable.
func (s *Server) valueSources() []fleet.Entry {
	sources, role := s.tableSources()
	if role != fleet.TableFollower {
		sources = s.otherReaders()
	}
	sources = mergeByName(s.recentPeers.list(), sources)
	sources = slices.DeleteFunc(sources, func(e fleet.Entry) bool { return e.Name == s.settings.VM })
	if len(sources) == 0 {
		return s.gossip.reachable()
	}
	return sources
}

// fetchEncoded transfers the encoded form of a value from a peer. It calls onFirst when the first part arrives.
func (s *Server) fetchEncoded(ctx context.Context, source fleet.Entry, reference replica.Reference, base []byte, onFirst func()) (transfer.Encoded, error) {
	ctx, bound := progress.WithBound(ctx, pullHoldTime+pullTimeoutMargin)
	defer bound.Stop()
	var encoded transfer.Encoded
	err := s.peers.callBounded(ctx, source, func(ctx context.Context, client hoistv1.FleetClient, received func()) error {
		request := &hoistv1.FetchValueRequest{ValueHash: reference.Hash, BaseHash: replica.ReferenceTo(base).Hash}
		stream, err := client.FetchValue(ctx, request)
		if err != nil {
			return err
		}
		encoded, err = receiveEncoded(stream, onFirst, func(n int) {
			bound.Receive(n)
			received()
		})
		return err
	})
	return encoded, err
}

// receiveEncoded receives the parts of an encoded value. It calls received with the number of bytes of each.
func receiveEncoded(stream hoistv1.Fleet_FetchValueClient, onFirst func(), received func(n int)) (transfer.Encoded, error) {
	head, err := stream.Recv()
	if err != nil {
		return transfer.Encoded{}, err
	}
	received(0)
	onFirst()
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
		received(len(part.GetData()))
		encoded.Data = append(encoded.Data, part.GetData()...)
	}
	return encoded, nil
}
