package claim

import (
	"bytes"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// run implements Run for a granted claim.
type run struct {
	client   *Client
	proposal *proposal
	attempt  *attempt
	flight   *flight
}

// Check implements Run.
func (r *run) Check() *errkind.Error {
	if r.client.options.Now().Before(r.proposal.proposer.ExpiresAt()) {
		return nil
	}
	return errkind.New(errkind.DeadlineUnreachable, "the claim may have lapsed before the dispatch")
}

// Finish implements Run.
func (r *run) Finish(result Result) {
	// The caller's buffers may be reused after the answer.
	result.Body = bytes.Clone(result.Body)
	r.end(attemptFinished, &result, keeper.Finished)
}

// Fail implements Run.
func (r *run) Fail() { r.end(attemptFailed, nil, keeper.Finished) }

// Release implements Run.
func (r *run) Release() { r.end(attemptReleased, nil, keeper.Released) }

func (r *run) end(state attemptState, result *Result, recorded keeper.State) {
	c := r.client
	c.leave(r.attempt.key, r.flight)
	if c.store.end(c.options.Now(), r.attempt, state, result) {
		c.finish(r.proposal.proposer.FinishActions(recorded))
	}
}
