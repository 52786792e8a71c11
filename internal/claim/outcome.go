package claim

import (
	"bytes"
	"context"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
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
	outcome, result := c.awaitOutcome(ctx, key, keeperwire.ToHolder(request.GetHolder()))
	c.metrics.outcome(outcome)
	return fromOutcome(outcome, result), nil
}

// awaitOutcome waits for the end of an own attempt. Another incarnation of this
// process may have run the request, so its attempts are unknown.
func (c *Client) awaitOutcome(ctx context.Context, key keeper.Key, holder keeper.Holder) (keeper.Outcome, *Result) {
	a := c.store.find(holder)
	if a == nil || a.key != key {
		return keeper.OutcomeUnknown, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	outcome, result := c.store.read(c.options.Now(), a)
	if outcome == keeper.OutcomeNotRun {
		// The first release may have been lost.
		shard := keeper.ClaimShard(key)
		c.finish(keeper.ReleaseActions(shard, key, c.view(shard), holder))
	}
	return outcome, result
}

var outcomes = map[keeper.Outcome]hoistv1.OutcomeState{
	keeper.OutcomeResult:  hoistv1.OutcomeState_OUTCOME_STATE_RESULT,
	keeper.OutcomeNotRun:  hoistv1.OutcomeState_OUTCOME_STATE_NOT_RUN,
	keeper.OutcomeRunning: hoistv1.OutcomeState_OUTCOME_STATE_RUNNING,
	keeper.OutcomeExpired: hoistv1.OutcomeState_OUTCOME_STATE_EXPIRED,
	keeper.OutcomeUnknown: hoistv1.OutcomeState_OUTCOME_STATE_UNKNOWN,
}

func fromOutcome(outcome keeper.Outcome, result *Result) *hoistv1.OutcomeResponse {
	message := &hoistv1.OutcomeResponse{State: outcomes[outcome]}
	if result != nil {
		message.Status, message.ContentType, message.Body = uint32(result.Status), result.ContentType, result.Body
	}
	return message
}

func toOutcome(message *hoistv1.OutcomeResponse) (keeper.Outcome, *Result) {
	for outcome, state := range outcomes {
		if state != message.GetState() {
			continue
		}
		if outcome != keeper.OutcomeResult {
			return outcome, nil
		}
		return outcome, &Result{
			Status: int(message.GetStatus()), ContentType: message.GetContentType(), Body: bytes.Clone(message.GetBody()),
		}
	}
	return keeper.OutcomeUnknown, nil
}

// waitMillis leaves the holder time to answer before the asker's context ends.
func waitMillis(deadline time.Time) uint64 {
	return uint64(max(0, (time.Until(deadline) - deadlineMargin).Milliseconds()))
}
