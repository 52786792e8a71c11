package claim

import (
	"bytes"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// grantedRun implements Run.
type grantedRun struct {
	client     *Client
	proposal   *proposal
	attempt    *attempt
	localClaim *localClaim
}

// Check implements Run.
func (r *grantedRun) Check() *errkind.Error {
	if r.client.options.Now().Before(r.proposal.proposer.ExpiresAt()) {
		return nil
	}
	return errkind.New(errkind.DeadlineUnreachable, "the claim may have lapsed before the dispatch")
}

// Finish implements Run.
func (r *grantedRun) Finish(result Result) {
	// The buffer may be reused after the response has been sent.
	result.Body = bytes.Clone(result.Body)
	r.end(attemptFinished, &result, keeper.Finished)
}

// Fail implements Run.
func (r *grantedRun) Fail() { r.end(attemptFailed, nil, keeper.Finished) }

// Release implements Run.
func (r *grantedRun) Release() { r.end(attemptReleased, nil, keeper.Released) }

func (r *grantedRun) end(state attemptState, result *Result, recordState keeper.State) {
	c := r.client
	c.removeClaim(r.attempt.key, r.localClaim)
	if c.attempts.end(c.options.Now(), r.attempt, state, result) {
		c.sendFinishes(r.proposal.proposer.FinishActions(recordState))
	}
}
