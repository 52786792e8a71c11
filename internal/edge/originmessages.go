package edge

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

// errOriginKey reports a question that no VM asks.
var errOriginKey = status.Errorf(codes.InvalidArgument, "the key of a stream does not have %d bytes", resume.KeySize)

// askOrigin returns what this VM and the holders of the record know of a stream.
func (s *Server) askOrigin(ctx context.Context, question originQuestion) resume.Answer {
	answer := s.findOrigin(question)
	if answer.IsFinal() {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	holders := s.originHolders(question.key, originHoldersAsked)
	answers := askAll(s.contain, "question for an origin", holders, func(holder fleet.Entry) resume.Answer {
		return s.askOriginAt(ctx, holder, question)
	})
	for range holders {
		answer = answer.Merge(<-answers)
		if answer.IsFinal() {
			break
		}
	}
	return answer
}

// askOriginAt asks another VM. Without an answer nothing is known.
func (s *Server) askOriginAt(ctx context.Context, holder fleet.Entry, question originQuestion) resume.Answer {
	request := &hoistv1.FindOriginRequest{Stream: question.key[:], Pool: question.pool, WithinMs: question.within.Milliseconds()}
	var response *hoistv1.FindOriginResponse
	err := s.peers.callBriefly(ctx, holder, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.FindOrigin(ctx, request)
		return err
	})
	if err != nil {
		s.logger.Info("origin of a stream not asked", zap.String("peer", holder.Name), obs.ErrorField(err))
		return resume.Answer{}
	}
	return originAnswerFromProto(response)
}

// originHolders returns the other VMs that hold, or may hold, the record of a stream.
func (s *Server) originHolders(key resume.Key, n int) []fleet.Entry {
	var others []fleet.Entry
	for _, vm := range s.gossip.ranking("stream origin " + string(key[:])) {
		if vm.Name != s.settings.VM {
			others = append(others, vm)
		}
	}
	return resume.Holders(others, n)
}

// FindOrigin returns what this VM knows of the origin of a stream.
func (f fleetServer) FindOrigin(_ context.Context, r *hoistv1.FindOriginRequest) (*hoistv1.FindOriginResponse, error) {
	key, ok := originKeyFromProto(r.GetStream())
	if !ok {
		return nil, errOriginKey
	}
	answer := f.s.findOrigin(originQuestion{key: key, pool: r.GetPool(), within: durationFromProto(r.GetWithinMs(), time.Millisecond)})
	return &hoistv1.FindOriginResponse{Certainty: uint32(answer.Certainty), Pool: answer.Origin.Pool, Version: answer.Origin.Version}, nil
}

// originKeyFromProto decodes the key of a stream, and reports whether it is one.
func originKeyFromProto(data []byte) (resume.Key, bool) {
	if len(data) != resume.KeySize {
		return resume.Key{}, false
	}
	return resume.Key(data), true
}

// originAnswerFromProto decodes an answer. One that no VM of this version gives says nothing.
func originAnswerFromProto(r *hoistv1.FindOriginResponse) resume.Answer {
	if r.GetCertainty() > uint32(resume.Ambiguous) {
		return resume.Answer{}
	}
	return resume.Answer{
		Certainty: resume.Certainty(r.GetCertainty()), Origin: resume.Origin{Pool: r.GetPool(), Version: r.GetVersion()},
	}
}

// recordRemoteOrigins records the origins of streams that another VM sent. Malformed ones are ignored.
func (s *Server) recordRemoteOrigins(origins []*hoistv1.StreamOrigin) {
	for _, origin := range origins {
		key, ok := originKeyFromProto(origin.GetStream())
		if !ok || len(origin.GetPool()) > maxOriginName || len(origin.GetVersion()) > maxOriginName {
			s.metrics.ignoredDatagrams.WithLabelValues("origin").Inc()
			continue
		}
		s.origins.record(s.now(), key, resume.Origin{Pool: origin.GetPool(), Version: origin.GetVersion()})
	}
}
