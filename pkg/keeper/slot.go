package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// leaseRenewalDivisor sets the renewal time: a lease is renewed after its duration
	// divided by leaseRenewalDivisor.
	leaseRenewalDivisor = 3
	// leaseSafetyMargin is how long before the end of a lease the slot stops being used.
	leaseSafetyMargin = 500 * time.Millisecond
	// maxSlotRetryDelay is the upper limit of the random delay after a failed round.
	maxSlotRetryDelay = 100 * time.Millisecond
)

// SlotLeaseOptions configures a SlotLease.
type SlotLeaseOptions struct {
	Shard         Shard
	Key           Key
	VM            string
	Incarnation   uint64
	NextAttempt   func() uint64
	LeaseDuration time.Duration
	Seed          uint64
}

// SlotLease acquires and renews the lease on one slot of a cold upstream. It requests
// the lease from the members of the key's group in rounds. It is not safe for
// concurrent use.
type SlotLease struct {
	options            SlotLeaseOptions
	random             *rand.Rand
	view               View
	holder             Holder
	roundStart         clock.Instant
	votes              map[string]*vote
	newestIncarnations map[string]uint64
	nextRoundAt        clock.Instant
	// failedRounds counts failed rounds and thereby selects the member that receives
	// the first request of a round.
	failedRounds int
	// awaitingFirst is set while the round's request was sent to the first member only.
	awaitingFirst bool
	usableUntil   clock.Instant
	// acquired is set once the attempt has had a majority. Requests may then run on the
	// slot, so only the caller may release the attempt.
	acquired bool
	// heldByOther is set if a member reported another holder in the current round.
	heldByOther bool
}

// NewSlotLease returns a SlotLease that has not acquired the lease yet.
func NewSlotLease(options SlotLeaseOptions, view View) *SlotLease {
	s := &SlotLease{options: options, view: view, random: rand.New(rand.NewPCG(options.Seed, 0x736c6f74))}
	s.newAttempt()
	return s
}

func (s *SlotLease) newAttempt() {
	s.acquired = false
	s.holder = Holder{VM: s.options.VM, Incarnation: s.options.Incarnation, Attempt: s.options.NextAttempt()}
}

// UsableUntil returns the time until which the slot may be used, leaseSafetyMargin
// before the lease ends.
func (s *SlotLease) UsableUntil() clock.Instant { return s.usableUntil }

// IsHeldByOther reports whether a member reported another holder in the current round.
func (s *SlotLease) IsHeldByOther() bool { return s.heldByOther }

// WasAcquired reports whether the current attempt has ever held the slot.
func (s *SlotLease) WasAcquired() bool { return s.acquired }

// OnView adopts a view of the shard if it is newer than the current one.
func (s *SlotLease) OnView(view View) {
	if view.Revision > s.view.Revision && len(view.Group) > 0 {
		s.view = view
		s.votes = nil
		s.nextRoundAt = 0
	}
}

// Tick starts a round when one is due.
func (s *SlotLease) Tick(now clock.Instant) []Action {
	if now.Before(s.nextRoundAt) || len(s.view.Group) == 0 {
		return nil
	}
	var actions []Action
	if s.votes != nil && !s.acquired {
		// The round failed: release the votes so that another holder can get a majority.
		actions = s.Release()
		s.failedRounds++
	}
	s.roundStart = now
	s.heldByOther = false
	s.votes = make(map[string]*vote, len(s.view.Group))
	s.newestIncarnations = make(map[string]uint64, len(s.view.Group))
	s.nextRoundAt = now.Add(responseTimeout + s.retryDelay())
	for _, name := range s.view.Group {
		s.votes[name] = &vote{state: voteFailed}
	}
	// Gateways that compete for a slot send to the same member first and to the others
	// only after its grant. Otherwise they would split the votes repeatedly.
	if s.awaitingFirst = !s.acquired; s.awaitingFirst {
		first := s.view.Group[(int(s.options.Key[0])+s.failedRounds)%len(s.view.Group)]
		return append(actions, s.claimAction(first))
	}
	return append(actions, s.remainingClaimActions()...)
}

// remainingClaimActions returns the requests to the members that have not received one
// in this round.
func (s *SlotLease) remainingClaimActions() []Action {
	var actions []Action
	for _, name := range s.view.Group {
		if s.votes[name].state == voteFailed {
			actions = append(actions, s.claimAction(name))
		}
	}
	return actions
}

func (s *SlotLease) retryDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(maxSlotRetryDelay)))
}

func (s *SlotLease) claimAction(name string) Action {
	s.votes[name].state = voteWaiting
	return Action{Kind: SendClaim, To: name, Claim: ClaimRequest{
		Shard: s.options.Shard, Key: s.options.Key, Holder: s.holder, View: s.view, LeaseDuration: s.options.LeaseDuration,
	}}
}

// OnClaim processes a response to the round that the attempt started at roundStart and
// returns the messages to send next. The lease duration counts from the start of the
// round, so that the lease ends at its holder before it ends at the members.
func (s *SlotLease) OnClaim(attempt uint64, roundStart clock.Instant, response ClaimResponse) []Action {
	v := s.votes[response.From]
	if v == nil || attempt != s.holder.Attempt || roundStart != s.roundStart {
		return nil
	}
	switch response.Verdict {
	case Granted:
		s.recordGrant(v, &response)
		if s.awaitingFirst {
			s.awaitingFirst = false
			return s.remainingClaimActions()
		}
	case Held:
		v.state = voteHeld
		s.heldByOther = true
	case WrongView:
		s.OnView(response.View)
	}
	return nil
}

func (s *SlotLease) recordGrant(v *vote, response *ClaimResponse) {
	if !response.View.sameGroup(s.view) || len(response.Incarnations) != len(s.view.Group) {
		return
	}
	for i, name := range s.view.Group {
		s.newestIncarnations[name] = max(s.newestIncarnations[name], response.Incarnations[i])
	}
	v.state, v.incarnation = voteGranted, max(v.incarnation, response.Incarnation)
	granted := 0
	for _, name := range s.view.Group {
		if other := s.votes[name]; other.state == voteGranted && other.incarnation >= s.newestIncarnations[name] {
			granted++
		}
	}
	if granted >= s.view.Majority() {
		s.acquired = true
		s.usableUntil = max(s.usableUntil, s.roundStart.Add(s.options.LeaseDuration-leaseSafetyMargin))
		s.nextRoundAt = s.roundStart.Add(s.options.LeaseDuration / leaseRenewalDivisor)
	}
}

// RoundStart returns when the current round started.
func (s *SlotLease) RoundStart() clock.Instant { return s.roundStart }

// Release returns the messages that release the lease. It must not be called while a
// request runs on the slot.
func (s *SlotLease) Release() []Action {
	s.usableUntil = 0
	released := finishActions(&ProposerOptions{Shard: s.options.Shard, Key: s.options.Key}, s.view, s.holder, Released)
	released = slices.DeleteFunc(released, func(a Action) bool {
		v := s.votes[a.To]
		return v != nil && v.state != voteGranted && v.state != voteWaiting
	})
	s.votes = nil
	s.newAttempt()
	return released
}
