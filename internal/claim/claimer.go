// Package claim lets gateways run a non-idempotent request at most once: a gateway
// runs it only after a majority of a small group of agents has recorded its claim.
package claim

import (
	"context"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// Key identifies a request across all its sends, the first one and resends.
type Key struct {
	Workspace      string
	Route          string
	IdempotencyKey string
}

// Result is a complete response to a caller.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the result of Claimer.Claim. Exactly one field is set.
type Decision struct {
	// Run permits this gateway to run the request.
	Run Run
	// Result is the response to the first send.
	Result *Result
	// Refusal says why the request may not run here.
	Refusal *errkind.Error
}

// Run is the permission to run a request. Exactly one of Finish, Fail and Release must
// be called.
type Run interface {
	// Check must be called immediately before the first dispatch of a non-idempotent
	// stage. It returns a refusal if the deadline has passed or the keepers may have
	// expired the claim, for example because the process was paused; the caller must
	// then call Release.
	Check() *errkind.Error
	// Finish records the result after the request ran.
	Finish(result Result)
	// Fail records that the request may have run and has no result.
	Fail()
	// Release releases the claim. It may be called only if no byte of a
	// non-idempotent call can have reached an upstream.
	Release()
}

// Claimer decides which send of a request runs it.
type Claimer interface {
	// Claim returns before the deadline. If an earlier send holds the claim, it waits
	// for the result of that send.
	Claim(ctx context.Context, key Key, deadline clock.Instant) Decision
}
