package edge

import (
	"context"
	"encoding/binary"
	"slices"

	"go.uber.org/zap"
	"google.golang.org/grpc/metadata"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// fingerprintMetadata and partsMetadata are the keys of the metadata of a RunStage call that hold
	// the fingerprint of the request, and eight bytes for each shared part of its prompt.
	fingerprintMetadata = "hoist-fingerprint-bin"
	partsMetadata       = "hoist-prompt-parts-bin"
	partBytes           = 8
	// maxStageParts bounds the parts in the metadata.
	maxStageParts = 32
)

type suspectKey struct{}

// withSuspect returns a context for the stages of a request. The owner of a pool learns from it what is
// under suspicion if an upstream crashes during a stage call.
func withSuspect(ctx context.Context, s suspect) context.Context {
	var parts []byte
	for _, part := range s.parts[:min(len(s.parts), maxStageParts)] {
		parts = binary.BigEndian.AppendUint64(parts, uint64(part))
	}
	ctx = metadata.AppendToOutgoingContext(ctx, fingerprintMetadata, string(s.fingerprint[:]), partsMetadata, string(parts))
	return context.WithValue(ctx, suspectKey{}, s)
}

// suspectOf returns the suspect of the request whose stage runs, on the VM of the request or on the owner of
// the pool. Older versions send none; malformed metadata counts as none.
func suspectOf(ctx context.Context) (suspect, bool) {
	if s, ok := ctx.Value(suspectKey{}).(suspect); ok {
		return s, true
	}
	values := metadata.ValueFromIncomingContext(ctx, fingerprintMetadata)
	if len(values) != 1 || len(values[0]) != fingerprintBytes {
		return suspect{}, false
	}
	s := suspect{fingerprint: poison.Fingerprint([]byte(values[0]))}
	parts := metadata.ValueFromIncomingContext(ctx, partsMetadata)
	if len(parts) != 1 || len(parts[0])%partBytes != 0 || len(parts[0]) > maxStageParts*partBytes {
		return s, true
	}
	for part := range slices.Chunk([]byte(parts[0]), partBytes) {
		s.parts = append(s.parts, poison.Part(binary.BigEndian.Uint64(part)))
	}
	return s, true
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
	if len(suspects) == 0 {
		return
	}
	err := s.probeForCrash(context.Background(), entry)
	if err == nil {
		return
	}
	s.logger.Warn("upstream died while it ran a stage call", zap.String("pool", pool), zap.String("upstream", entry.ID),
		zap.Int("requests", len(suspects)), obs.ErrorField(err))
	s.recordCrash(entry, suspects...)
}
