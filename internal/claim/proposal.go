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

// event passes an answer to the proposer.
type event func(now clock.Instant) []keeper.Action

// proposal drives a keeper.Proposer.
type proposal struct {
	client   *Client
	key      keeper.Key
	shard    keeper.Shard
	events   chan event
	ended    chan struct{}
	proposer *keeper.Proposer
	attempt  *attempt
	result   *Result
}

// run returns the decision, with the attempt if it may run.
func (p *proposal) run(ctx context.Context, deadline clock.Instant) (Decision, *attempt) {
	defer close(p.ended)
	c := p.client
	view := c.view(p.shard)
	if len(view.Group) == 0 {
		return refusal(errkind.ClaimUnavailable, "no VM list yet"), nil
	}
	p.proposer = keeper.NewProposer(keeper.ProposerOptions{
		Shard: p.shard, Key: p.key, VM: c.options.VM, Incarnation: c.options.Incarnation,
		Deadline: deadline.Add(-deadlineMargin), ClaimRetention: c.options.Retention, Seed: c.seed(),
		NextAttempt: func() uint64 {
			p.attempt = c.store.open(c.options.Now(), p.key)
			return p.attempt.holder.Attempt
		},
	}, view)
	p.carryOut(ctx, p.proposer.Start(c.options.Now()))
	for p.proposer.Decision() == keeper.DecisionPending {
		p.step(ctx)
	}
	return p.decide()
}

func (p *proposal) step(ctx context.Context) {
	now := p.client.options.Now
	wake := timer(p.proposer.NextTick().Sub(now()))
	defer wake.Stop()
	select {
	case happened := <-p.events:
		p.carryOut(ctx, happened(now()))
	case <-wake.C:
		p.carryOut(ctx, p.proposer.Tick(now()))
	case <-ctx.Done():
		p.carryOut(ctx, p.proposer.Cancel())
	}
}

func (p *proposal) post(happened event) {
	select {
	case p.events <- happened:
	case <-p.ended:
	}
}

func (p *proposal) carryOut(ctx context.Context, actions []keeper.Action) {
	c := p.client
	for _, action := range actions {
		switch action.Kind {
		case keeper.SendClaim:
			p.send(action)
		case keeper.SendFinish:
			if action.Finish.State == keeper.Released {
				c.store.end(c.options.Now(), p.attempt, attemptReleased, nil)
			}
			c.finish([]keeper.Action{action})
		case keeper.AskHolder:
			go p.ask(ctx, action.Holder)
		case keeper.RefreshView:
			view := c.view(p.shard)
			p.carryOut(ctx, p.proposer.OnView(c.options.Now(), view))
		}
	}
}

func (p *proposal) send(action keeper.Action) {
	request, number := action.Claim, action.Claim.Holder.Attempt
	p.client.call(action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
		message, err := k.Claim(ctx, keeperwire.FromClaimRequest(request))
		if err != nil {
			return err
		}
		response := keeperwire.ToClaimResponse(request, message)
		p.post(func(now clock.Instant) []keeper.Action { return p.proposer.OnClaim(now, number, response) })
		return nil
	}, func() {
		p.post(func(now clock.Instant) []keeper.Action { return p.proposer.OnFailure(now, number, action.To) })
	})
}

// ask gets the outcome of another attempt from its holder.
func (p *proposal) ask(ctx context.Context, holder keeper.Holder) {
	outcome, result := p.client.outcomeOf(ctx, p.key, holder)
	p.post(func(now clock.Instant) []keeper.Action {
		p.result = result
		return p.proposer.OnOutcome(now, outcome)
	})
}

func (p *proposal) decide() (Decision, *attempt) {
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

// outcomeOf asks the holder of an attempt, which may be this process.
func (c *Client) outcomeOf(ctx context.Context, key keeper.Key, holder keeper.Holder) (keeper.Outcome, *Result) {
	if holder.VM == c.options.VM {
		return c.awaitOutcome(ctx, key, holder)
	}
	deadline, bounded := ctx.Deadline()
	address := c.address(holder.VM).GatewayAddress
	if !bounded || address == "" {
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
		c.metrics.failures.Inc()
		return keeper.OutcomeUnknown, nil
	}
	return toOutcome(message)
}
