package claim

import (
	"context"

	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// responseHandler passes a response to the proposer and returns its actions.
type responseHandler func(now clock.Instant) []keeper.Action

// proposal runs the event loop of a keeper.Proposer.
type proposal struct {
	client    *Client
	key       keeper.Key
	shard     keeper.Shard
	responses chan responseHandler
	done      chan struct{}
	proposer  *keeper.Proposer
	attempt   *attempt
	result    *Result
}

// run returns the decision, and the attempt if the request may run.
func (p *proposal) run(ctx context.Context, deadline clock.Instant) (Decision, *attempt) {
	defer close(p.done)
	c := p.client
	view := c.view(p.shard)
	if len(view.Group) == 0 {
		return refusal(errkind.ClaimUnavailable, "no VM list yet"), nil
	}
	p.proposer = keeper.NewProposer(keeper.ProposerOptions{
		Shard: p.shard, Key: p.key, VM: c.options.VM, Incarnation: c.options.Incarnation,
		Deadline: deadline.Add(-deadlineMargin), ClaimRetention: c.options.ClaimRetention, Seed: c.nextSeed(),
		NextAttempt: func() uint64 {
			p.attempt = c.attempts.add(c.options.Now(), p.key)
			return p.attempt.holder.Attempt
		},
	}, view)
	p.execute(ctx, p.proposer.Start(c.options.Now()))
	for p.proposer.Decision() == keeper.DecisionPending {
		p.handleNextEvent(ctx)
	}
	return p.decision()
}

func (p *proposal) handleNextEvent(ctx context.Context) {
	now := p.client.options.Now
	timer := newTimer(p.proposer.NextTick().Sub(now()))
	defer timer.Stop()
	select {
	case handle := <-p.responses:
		p.execute(ctx, handle(now()))
	case <-timer.C:
		p.execute(ctx, p.proposer.Tick(now()))
	case <-ctx.Done():
		p.execute(ctx, p.proposer.Cancel())
	}
}

func (p *proposal) postResponse(handle responseHandler) {
	select {
	case p.responses <- handle:
	case <-p.done:
	}
}

func (p *proposal) execute(ctx context.Context, actions []keeper.Action) {
	c := p.client
	for _, action := range actions {
		switch action.Kind {
		case keeper.SendClaim:
			p.sendClaim(action)
		case keeper.SendFinish:
			if action.Finish.State == keeper.Released {
				c.attempts.end(c.options.Now(), p.attempt, attemptReleased, nil)
			}
			c.sendFinishes([]keeper.Action{action})
		case keeper.AskHolder:
			go p.askHolder(ctx, action.Holder)
		case keeper.RefreshView:
			view := c.view(p.shard)
			p.execute(ctx, p.proposer.OnView(c.options.Now(), view))
		}
	}
}

func (p *proposal) sendClaim(action keeper.Action) {
	request, attemptNumber := action.Claim, action.Claim.Holder.Attempt
	p.client.callKeeper(action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
		message, err := k.Claim(ctx, keeperwire.FromClaimRequest(request))
		if err != nil {
			return err
		}
		response := keeperwire.ToClaimResponse(request, message)
		p.postResponse(func(now clock.Instant) []keeper.Action { return p.proposer.OnClaim(now, attemptNumber, response) })
		return nil
	}, func() {
		p.postResponse(func(now clock.Instant) []keeper.Action { return p.proposer.OnFailure(now, attemptNumber, action.To) })
	})
}

// askHolder requests the outcome of another attempt from its holder.
func (p *proposal) askHolder(ctx context.Context, holder keeper.Holder) {
	outcome, result := p.client.fetchOutcome(ctx, p.key, holder)
	p.postResponse(func(now clock.Instant) []keeper.Action {
		p.result = result
		return p.proposer.OnOutcome(now, outcome)
	})
}

func (p *proposal) decision() (Decision, *attempt) {
	switch p.proposer.Decision() {
	case keeper.DecisionMayRun:
		return Decision{}, p.attempt
	case keeper.DecisionHasResult:
		return Decision{Result: p.result}, nil
	case keeper.DecisionExpired:
		return refusal(errkind.ResultExpired, ""), nil
	case keeper.DecisionUnknown:
		return refusal(errkind.ClaimHeld, "the holder of the claim gave no result"), nil
	default:
		return refusal(errkind.ClaimUnavailable, "no majority of the keepers answered in time"), nil
	}
}

// fetchOutcome returns the outcome of an attempt as known to its holder, which may be
// this process.
func (c *Client) fetchOutcome(ctx context.Context, key keeper.Key, holder keeper.Holder) (keeper.Outcome, *Result) {
	if holder.VM == c.options.VM {
		return c.awaitOwnOutcome(ctx, key, holder)
	}
	deadline, hasDeadline := ctx.Deadline()
	address := c.knownVM(holder.VM).GatewayAddress
	if !hasDeadline || address == "" {
		return keeper.OutcomeUnknown, nil
	}
	var message *hoistv1.OutcomeResponse
	err := c.pool.Do(address, func(conn *grpc.ClientConn) (err error) {
		message, err = hoistv1.NewGatewayClient(conn).Outcome(ctx, &hoistv1.OutcomeRequest{
			Key: key[:], Holder: keeperwire.FromHolder(holder), WaitMs: waitMillis(deadline),
		})
		return err
	})
	if err != nil {
		c.metrics.failedCalls.Inc()
		return keeper.OutcomeUnknown, nil
	}
	return toOutcome(message)
}
