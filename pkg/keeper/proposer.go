package keeper

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// minRetryDelay and maxRetryDelay bound the random delay before another attempt. The
	// range covers a few round trips between zones, so that two proposers that split
	// the votes rarely collide again.
	minRetryDelay = 2 * time.Millisecond
	maxRetryDelay = 40 * time.Millisecond
	// responseTimeout is how long a proposer waits for a member's response.
	responseTimeout = 250 * time.Millisecond
	// clockDriftDivisor sets the safety margin for clocks that run at different rates:
	// a claim must not be used in the last 1/clockDriftDivisor of the retention.
	clockDriftDivisor = 20
)

// ClaimValidity returns how long after the start of its attempt a claim permits a
// dispatch.
func ClaimValidity(retention time.Duration) time.Duration {
	return retention - retention/clockDriftDivisor
}

// Outcome is the outcome of an attempt as reported by its holder.
type Outcome uint8

// Outcomes.
const (
	// OutcomeResult means that the request ran and its result is available.
	OutcomeResult Outcome = iota
	// OutcomeNotRun means that the attempt was released.
	OutcomeNotRun
	// OutcomeRunning means that the attempt has not ended.
	OutcomeRunning
	// OutcomeExpired means that the request ran and its result is no longer stored.
	OutcomeExpired
	// OutcomeUnknown means that the request may have run, or that the holder cannot be
	// reached.
	OutcomeUnknown
)

// ProposerOptions configures a Proposer.
type ProposerOptions struct {
	Shard Shard
	Key   Key
	// VM and Incarnation identify the gateway process.
	VM          string
	Incarnation uint64
	// NextAttempt returns a number that the process has not used before.
	NextAttempt func() uint64
	Deadline    clock.Instant
	// ClaimRetention is how long members store a claim.
	ClaimRetention time.Duration
	// Seed makes the random delays reproducible.
	Seed uint64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// SendClaim sends Claim to the member To.
	SendClaim ActionKind = iota
	// SendFinish sends Finish to the member To.
	SendFinish
	// AskHolder asks Holder for the outcome of its attempt.
	AskHolder
	// RefreshView tells the caller to pass the newest view that it knows to OnView.
	RefreshView
)

// Action is a step that the caller of a Proposer or SlotLease has to carry out.
type Action struct {
	Kind   ActionKind
	To     string
	Claim  ClaimRequest
	Finish FinishRequest
	Holder Holder
}

// Decision is the final result of a Proposer.
type Decision uint8

// Decisions.
const (
	// DecisionPending means that the proposer has not ended.
	DecisionPending Decision = iota
	// DecisionMayRun permits Holder to dispatch the request until ExpiresAt.
	DecisionMayRun
	// DecisionHasResult means that the holder returned the result of an earlier send.
	DecisionHasResult
	// DecisionUnavailable means that no majority could be reached before the deadline.
	DecisionUnavailable
	// DecisionUnknown means that an earlier send may have run.
	DecisionUnknown
	// DecisionExpired means that an earlier send ran and its result is no longer stored.
	DecisionExpired
)

type voteState uint8

const (
	voteWaiting voteState = iota
	voteGranted
	voteHeld
	voteFailed
)

// vote is the response of one member in the current attempt.
type vote struct {
	state       voteState
	incarnation uint64
	sentAt      clock.Instant
	holder      Holder
	holderState State
}

type phase uint8

const (
	phaseClaiming phase = iota
	phaseAwaitingOutcome
	phaseBackoff
	phaseDone
)

// Proposer obtains the claim for one send of a request by a caller. It is not safe
// for concurrent use.
type Proposer struct {
	options            ProposerOptions
	random             *rand.Rand
	view               View
	phase              phase
	holder             Holder
	attemptStart       clock.Instant
	votes              map[string]*vote
	newestIncarnations map[string]uint64
	nextTick           clock.Instant
	decision           Decision
	pendingActions     []Action
}

// NewProposer returns a proposer; call Start next.
func NewProposer(options ProposerOptions, view View) *Proposer {
	return &Proposer{
		options: options, view: view,
		random: rand.New(rand.NewPCG(options.Seed, 0x6b6565706572)),
	}
}

// Decision returns the final result, or DecisionPending.
func (p *Proposer) Decision() Decision { return p.decision }

// Holder returns the identity of the current attempt.
func (p *Proposer) Holder() Holder { return p.holder }

// ExpiresAt returns the time until which a granted claim permits a dispatch.
func (p *Proposer) ExpiresAt() clock.Instant {
	return min(p.options.Deadline, p.attemptStart.Add(ClaimValidity(p.options.ClaimRetention)))
}

// Start starts the first attempt.
func (p *Proposer) Start(now clock.Instant) []Action {
	p.startAttempt(now)
	return p.takeActions()
}

// OnClaim processes a response to the given attempt; responses to earlier attempts
// are ignored.
func (p *Proposer) OnClaim(now clock.Instant, attempt uint64, response ClaimResponse) []Action {
	v := p.votes[response.From]
	if p.phase != phaseClaiming || attempt != p.holder.Attempt || v == nil {
		return nil
	}
	switch response.Verdict {
	case Granted:
		p.recordGrant(now, v, &response)
	case Held:
		if v.state != voteGranted {
			v.state, v.holder, v.holderState = voteHeld, response.Holder, response.State
		}
	case WrongView:
		p.markFailed(v)
		p.pendingActions = append(p.pendingActions, Action{Kind: RefreshView})
		p.adoptView(now, response.View)
	default:
		p.markFailed(v)
	}
	p.evaluate(now)
	return p.takeActions()
}

// recordGrant counts a vote unless the member has restarted since it voted. It also
// requests again the votes that, according to this response, were lost in a restart.
func (p *Proposer) recordGrant(now clock.Instant, v *vote, response *ClaimResponse) {
	p.noteIncarnation(response.From, response.Incarnation)
	if response.View.sameGroup(p.view) && len(response.Incarnations) == len(p.view.Group) {
		for i, name := range p.view.Group {
			p.noteIncarnation(name, response.Incarnations[i])
		}
	}
	if response.Incarnation >= v.incarnation {
		v.state, v.incarnation = voteGranted, response.Incarnation
	}
	for _, name := range p.view.Group {
		if other := p.votes[name]; other.state == voteGranted && other.incarnation < p.newestIncarnations[name] {
			p.sendClaim(now, name)
		}
	}
}

func (p *Proposer) noteIncarnation(vm string, incarnation uint64) {
	p.newestIncarnations[vm] = max(p.newestIncarnations[vm], incarnation)
}

// OnFailure records that the request to a member failed in the given attempt.
func (p *Proposer) OnFailure(now clock.Instant, attempt uint64, vm string) []Action {
	if v := p.votes[vm]; p.phase == phaseClaiming && attempt == p.holder.Attempt && v != nil {
		p.markFailed(v)
		p.evaluate(now)
	}
	return p.takeActions()
}

func (p *Proposer) markFailed(v *vote) {
	if v.state == voteWaiting {
		v.state = voteFailed
	}
}

// OnView adopts a view of the key's shard if it is newer than the current one.
func (p *Proposer) OnView(now clock.Instant, view View) []Action {
	p.adoptView(now, view)
	return p.takeActions()
}

// adoptView switches to a newer view. Votes of another group do not count, so the
// claim is requested again for the same attempt.
func (p *Proposer) adoptView(now clock.Instant, view View) {
	if view.Revision <= p.view.Revision || len(view.Group) == 0 {
		return
	}
	sameGroup := view.sameGroup(p.view)
	p.view = view
	if !sameGroup && p.phase == phaseClaiming {
		p.sendClaims(now)
	}
}

// OnOutcome processes the holder's response to AskHolder.
func (p *Proposer) OnOutcome(now clock.Instant, outcome Outcome) []Action {
	if p.phase != phaseAwaitingOutcome {
		return nil
	}
	switch outcome {
	case OutcomeResult:
		p.decide(DecisionHasResult)
	case OutcomeExpired:
		p.decide(DecisionExpired)
	case OutcomeNotRun:
		p.backOff(now)
	default:
		// The holder delays its response until the attempt ends, so an attempt that is
		// still running has exceeded the deadline of this send.
		p.decide(DecisionUnknown)
	}
	return p.takeActions()
}

// Tick handles timeouts. Call it at NextTick.
func (p *Proposer) Tick(now clock.Instant) []Action {
	if p.phase == phaseDone {
		return nil
	}
	if !now.Before(p.options.Deadline) {
		p.abort()
		return p.takeActions()
	}
	switch p.phase {
	case phaseBackoff:
		if !now.Before(p.nextTick) {
			p.startAttempt(now)
		}
	case phaseClaiming:
		p.handleTimeouts(now)
		p.evaluate(now)
	}
	return p.takeActions()
}

// NextTick returns when to call Tick next.
func (p *Proposer) NextTick() clock.Instant {
	switch p.phase {
	case phaseClaiming, phaseBackoff:
		return min(p.nextTick, p.options.Deadline)
	default:
		return p.options.Deadline
	}
}

// Cancel ends the proposer early, for example because its caller disconnected.
func (p *Proposer) Cancel() []Action {
	if p.phase != phaseDone {
		p.abort()
	}
	return p.takeActions()
}

func (p *Proposer) abort() {
	if p.phase == phaseAwaitingOutcome {
		p.decide(DecisionUnknown)
		return
	}
	p.releaseAttempt()
	p.decide(DecisionUnavailable)
}

func (p *Proposer) handleTimeouts(now clock.Instant) {
	for _, name := range p.view.Group {
		v := p.votes[name]
		switch {
		case v.state == voteWaiting && now.Sub(v.sentAt) >= responseTimeout:
			v.state = voteFailed
		case v.state == voteFailed && !now.Before(p.nextTick):
			p.sendClaim(now, name)
		}
	}
}

func (p *Proposer) startAttempt(now clock.Instant) {
	p.phase = phaseClaiming
	p.attemptStart = now
	p.holder = Holder{VM: p.options.VM, Incarnation: p.options.Incarnation, Attempt: p.options.NextAttempt()}
	p.sendClaims(now)
}

func (p *Proposer) sendClaims(now clock.Instant) {
	p.votes = make(map[string]*vote, len(p.view.Group))
	p.newestIncarnations = make(map[string]uint64, len(p.view.Group))
	for _, name := range p.view.Group {
		p.votes[name] = &vote{}
		p.sendClaim(now, name)
	}
	p.nextTick = now.Add(responseTimeout)
}

func (p *Proposer) sendClaim(now clock.Instant, name string) {
	v := p.votes[name]
	v.state, v.sentAt = voteWaiting, now
	p.nextTick = max(p.nextTick, now.Add(responseTimeout))
	p.pendingActions = append(p.pendingActions, Action{Kind: SendClaim, To: name, Claim: ClaimRequest{
		Shard: p.options.Shard, Key: p.options.Key, Holder: p.holder, View: p.view,
	}})
}

// evaluate ends the attempt once a majority has granted it or no longer can.
func (p *Proposer) evaluate(now clock.Instant) {
	if p.phase != phaseClaiming {
		return
	}
	var granted, waiting int
	var held *vote
	for _, name := range p.view.Group {
		switch v := p.votes[name]; v.state {
		case voteGranted:
			granted++
		case voteWaiting:
			waiting++
		case voteHeld:
			if held == nil || v.holderState == Finished && held.holderState != Finished {
				held = v
			}
		}
	}
	switch {
	case granted >= p.view.Majority():
		p.decide(DecisionMayRun)
	case granted+waiting >= p.view.Majority():
	case held != nil:
		p.yieldTo(now, held)
	case waiting == 0:
		// Retry the failed members later with the same attempt.
		p.nextTick = now.Add(p.randomDelay())
	}
}

// yieldTo abandons the attempt in favour of another holder. It first releases the
// votes, so that two proposers that split the votes cannot wait for each other.
func (p *Proposer) yieldTo(now clock.Instant, held *vote) {
	p.releaseAttempt()
	if held.holderState == Released {
		p.backOff(now)
		return
	}
	p.phase = phaseAwaitingOutcome
	p.pendingActions = append(p.pendingActions, Action{Kind: AskHolder, Holder: held.holder})
}

func (p *Proposer) backOff(now clock.Instant) {
	p.phase = phaseBackoff
	p.nextTick = now.Add(p.randomDelay())
}

func (p *Proposer) randomDelay() time.Duration {
	return minRetryDelay + time.Duration(p.random.Int64N(int64(maxRetryDelay-minRetryDelay)))
}

// releaseAttempt releases the current attempt at every member that may have voted for it.
func (p *Proposer) releaseAttempt() {
	if p.phase != phaseClaiming {
		return
	}
	p.pendingActions = append(p.pendingActions, finishActions(&p.options, p.view, p.holder, Released)...)
}

// FinishActions returns the messages that report the end of a granted attempt.
func (p *Proposer) FinishActions(state State) []Action {
	return finishActions(&p.options, p.view, p.holder, state)
}

// ReleaseActions returns the messages that release an earlier attempt again. A holder
// sends them when it is asked for the outcome of a released attempt.
func ReleaseActions(shard Shard, key Key, view View, holder Holder) []Action {
	return finishActions(&ProposerOptions{Shard: shard, Key: key}, view, holder, Released)
}

func finishActions(options *ProposerOptions, view View, holder Holder, state State) []Action {
	actions := make([]Action, 0, len(view.Group))
	for _, name := range view.Group {
		actions = append(actions, Action{Kind: SendFinish, To: name, Finish: FinishRequest{
			Shard: options.Shard, Key: options.Key, Holder: holder, State: state,
		}})
	}
	return actions
}

func (p *Proposer) decide(decision Decision) {
	p.phase = phaseDone
	p.decision = decision
}

func (p *Proposer) takeActions() []Action {
	actions := p.pendingActions
	p.pendingActions = nil
	return actions
}
