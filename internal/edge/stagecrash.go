package edge

import (
	"context"
	"slices"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// maxStageParts bounds the parts of the prompt that are sent with a stage.
const maxStageParts = 32

type suspectKey struct{}

// withSuspect returns a context for the stages of a request. The runner of a pool learns from it what is
// under suspicion if an upstream crashes during a stage call.
func withSuspect(ctx context.Context, s suspect) context.Context {
	return context.WithValue(ctx, suspectKey{}, s)
}

// suspectOf returns the suspect of the request whose stage runs, on the VM of the request or on the owner of
// the pool.
func suspectOf(ctx context.Context) (suspect, bool) {
	s, ok := ctx.Value(suspectKey{}).(suspect)
	return s, ok
}

// setSuspect makes a request to the owner of a pool carry the suspect of the context, if it has one.
func setSuspect(ctx context.Context, r *hoistv1.RunStageRequest) {
	if s, ok := suspectOf(ctx); ok {
		r.Fingerprint, r.PromptParts = s.fingerprint[:], partsToProto(s.parts[:min(len(s.parts), maxStageParts)])
	}
}

// withSuspectOf returns a context with the suspect that a request to the owner of a pool carries. Older
// versions send none; one with a malformed fingerprint counts as none, and too many parts count as no part.
func withSuspectOf(ctx context.Context, r *hoistv1.RunStageRequest) context.Context {
	if len(r.GetFingerprint()) != fingerprintBytes {
		return ctx
	}
	s := suspect{fingerprint: poison.Fingerprint(r.GetFingerprint())}
	if parts := r.GetPromptParts(); len(parts) <= maxStageParts {
		s.parts = partsFromProto(parts, maxStageParts)
	}
	return withSuspect(ctx, s)
}

// suspectsOf returns the suspects of a call: the requests whose pieces it runs.
func (r *poolRunner) suspectsOf(call stagepool.Call) []suspect {
	var suspects []suspect
	var jobs []stagepool.JobID
	r.locked(func() {
		for _, piece := range call.Pieces {
			waiter := r.waiters[piece.Job]
			if waiter == nil || !waiter.hasSuspect || slices.Contains(jobs, piece.Job) {
				continue
			}
			jobs = append(jobs, piece.Job)
			suspects = append(suspects, waiter.suspect)
		}
	})
	return suspects
}

// entryOf returns the upstream of a call.
func (r *poolRunner) entryOf(call stagepool.Call, address string) *registry.Entry {
	found := &registry.Entry{Upstream: catalog.Upstream{ID: call.Upstream, Address: address}}
	r.locked(func() {
		for _, entry := range r.entries {
			if entry.ID == call.Upstream && entry.Address == address {
				found = entry
			}
		}
	})
	return found
}

// checkStageCrash checks whether an upstream crashed during a stage call, and records that for the requests
// whose pieces it ran.
func (s *Server) checkStageCrash(pool string, entry *registry.Entry, suspects []suspect) {
	if len(suspects) == 0 || s.partition.isPartitioned() {
		return
	}
	err := s.probeForCrash(context.Background(), entry)
	if err == nil {
		return
	}
	s.partition.suspectCrash(entry.ID, entry.Address, func() {
		s.logger.Warn("upstream died while it ran a stage call", zap.String("pool", pool), zap.String("upstream", entry.ID),
			zap.Int("requests", len(suspects)), obs.ErrorField(err))
		s.recordCrash(entry, suspects...)
	})
}
