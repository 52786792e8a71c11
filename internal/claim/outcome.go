package claim

import (
	"bytes"
	"context"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/internal/responsehead"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// Outcome implements the Gateway service: it waits for the end of an attempt of
// this process and returns its result.
func (c *Client) Outcome(ctx context.Context, request *hoistv1.OutcomeRequest) (*hoistv1.OutcomeResponse, error) {
	wait := time.Duration(min(request.GetWaitMs(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var key keeper.Key
	copy(key[:], request.GetKey())
	outcome, result := c.awaitOwnOutcome(ctx, key, keeperwire.ToHolder(request.GetHolder()))
	c.metrics.countOutcome(outcome)
	return fromOutcome(outcome, result), nil
}

// awaitOwnOutcome waits for the end of an attempt of this VM. The outcome of an attempt
// of another incarnation is unknown, since that process may have run the request.
func (c *Client) awaitOwnOutcome(ctx context.Context, key keeper.Key, holder keeper.Holder) (keeper.Outcome, *Result) {
	a := c.attempts.find(holder)
	if a == nil || a.key != key {
		return keeper.OutcomeUnknown, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	outcome, result := c.attempts.outcome(c.options.Now(), a)
	if outcome == keeper.OutcomeNotRun {
		// The earlier release message may have been lost.
		shard := keeper.ClaimShard(key)
		c.sendFinishes(keeper.ReleaseActions(shard, key, c.view(shard), holder))
	}
	return outcome, result
}

var outcomeStates = map[keeper.Outcome]hoistv1.OutcomeState{
	keeper.OutcomeResult:  hoistv1.OutcomeState_OUTCOME_STATE_RESULT,
	keeper.OutcomeNotRun:  hoistv1.OutcomeState_OUTCOME_STATE_NOT_RUN,
	keeper.OutcomeRunning: hoistv1.OutcomeState_OUTCOME_STATE_RUNNING,
	keeper.OutcomeExpired: hoistv1.OutcomeState_OUTCOME_STATE_EXPIRED,
	keeper.OutcomeUnknown: hoistv1.OutcomeState_OUTCOME_STATE_UNKNOWN,
}

func fromOutcome(outcome keeper.Outcome, result *Result) *hoistv1.OutcomeResponse {
	message := &hoistv1.OutcomeResponse{State: outcomeStates[outcome]}
	if result != nil {
		message.Status, message.ContentType, message.Body = uint32(result.Status), result.ContentType, result.Body
	}
	return message
}

func toOutcome(message *hoistv1.OutcomeResponse) (keeper.Outcome, *Result) {
	for outcome, state := range outcomeStates {
		if state != message.GetState() {
			continue
		}
		if outcome != keeper.OutcomeResult {
			return outcome, nil
		}
		status := int(message.GetStatus())
		if !responsehead.IsFinalStatus(status) {
			return keeper.OutcomeUnknown, nil
		}
		return outcome, &Result{
			Status: status, ContentType: message.GetContentType(), Body: bytes.Clone(message.GetBody()),
		}
	}
	return keeper.OutcomeUnknown, nil
}

// waitMillis returns how long the holder may wait for the outcome so that its response
// arrives before the deadline of the call.
func waitMillis(deadline time.Time) uint64 {
	return uint64(max(0, (time.Until(deadline) - deadlineMargin).Milliseconds()))
}
