package keeper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	simRetention = 10 * time.Second
	simGrace     = time.Second
	simLease     = 3 * time.Second
	simBootstrap = 500 * time.Millisecond
	simDeadline  = 1500 * time.Millisecond
	simStep      = 10 * time.Millisecond
	// simListLag is the maximum delay until a VM receives a list. It is below the
	// retention: the at-most-once guarantee does not cover longer delays.
	simListLag = 3 * time.Second
)

// event is a scheduled message delivery or timer.
type event struct {
	at       clock.Instant
	sequence int
	callback func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simVM is one VM that runs an agent (member) and a gateway (sends, slot leases).
type simVM struct {
	name           string
	up             bool
	epoch          uint64
	started        clock.Instant
	restarts       int
	member         *Member
	listIndex      int
	sendsByAttempt map[uint64]*simSend
	attempts       map[uint64]*simAttempt
	lastAttempt    uint64
	slotLeases     []*SlotLease
}

type simAttempt struct {
	decided bool
	outcome Outcome
	result  int
	key     Key
	waiters []func()
}

// simSend is one send of a request by a caller.
type simSend struct {
	proposer *Proposer
	key      Key
	deadline clock.Instant
	done     bool
	reply    string
	result   int
	attempt  *simAttempt
}

// simulation runs members and proposers over a network with faults.
type simulation struct {
	now           clock.Instant
	random        *rand.Rand
	queue         eventQueue
	sequence      int
	vms           []*simVM
	lists         []VMList
	partition     map[string]int
	lossRate      float64
	maxDelay      time.Duration
	runCounts     map[Key]int
	results       map[Key]int
	firstSentAt   map[Key]clock.Instant
	slotBusyUntil map[Key]clock.Instant
	slotOwners    map[Key]*SlotLease
	failures      []string
	replyCounts   map[string]int
	allSends      []*simSend
	claimShard    Shard
	// unordered collects messages in undelivered, from which they are delivered in any
	// order, instead of scheduling them after a delay.
	unordered   bool
	undelivered []func()
	leaseShard  Shard
}

func newSimulation(seed uint64, total, published int) *simulation {
	sim := &simulation{
		now: 1, random: rand.New(rand.NewPCG(seed, 1)), partition: map[string]int{}, maxDelay: 20 * time.Millisecond,
		runCounts: map[Key]int{}, results: map[Key]int{}, firstSentAt: map[Key]clock.Instant{},
		slotBusyUntil: map[Key]clock.Instant{}, slotOwners: map[Key]*SlotLease{}, replyCounts: map[string]int{},
		leaseShard: Shard{Lease: true, Zone: "zone-a"},
	}
	for i := range total {
		sim.vms = append(sim.vms, &simVM{name: fmt.Sprintf("vm-%d", i+1)})
	}
	sim.publishList(sim.vms[:published])
	for _, v := range sim.vms {
		sim.startVM(v)
		v.restarts = 0
		sim.applyList(v, 0)
	}
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%v: ", time.Duration(sim.now))+fmt.Sprintf(format, args...))
}

func (sim *simulation) publishList(vms []*simVM) {
	var entries []table.VM
	for _, v := range vms {
		entries = append(entries, table.VM{Name: v.name, Zone: fmt.Sprintf("zone-%c", 'a'+v.name[3]%3)})
	}
	sim.lists = append(sim.lists, NewVMList(uint64(len(sim.lists)+1), entries))
	sim.distributeNewestList()
}

// distributeNewestList delivers the newest list to every VM after a random delay.
func (sim *simulation) distributeNewestList() {
	// About half of the VMs receive the list early, so that some skip a revision in
	// which others are active.
	index := len(sim.lists) - 1
	for _, v := range sim.vms {
		maxDelay := simListLag
		if sim.random.IntN(2) == 0 {
			maxDelay /= 50
		}
		sim.schedule(time.Duration(sim.random.Int64N(int64(maxDelay))), func() { sim.applyList(v, index) })
	}
}

func (sim *simulation) startVM(v *simVM) {
	v.up, v.epoch, v.started, v.restarts = true, v.epoch+1, sim.now, v.restarts+1
	v.member = NewMember(Options{
		VM: v.name, Incarnation: v.epoch, StartedAt: sim.now, ClaimRetention: simRetention, MaxLeaseDuration: simLease,
		LeaseGrace: simGrace, BootstrapWait: simBootstrap, MaxRecords: 10_000, claimShardCount: 1, leaseShardsPerZone: 1,
	})
	v.sendsByAttempt, v.attempts, v.lastAttempt, v.slotLeases = map[uint64]*simSend{}, map[uint64]*simAttempt{}, 0, nil
	// A restarted VM may receive an older list first.
	latest := v.listIndex
	v.listIndex = max(0, latest-sim.random.IntN(2))
	sim.applyList(v, v.listIndex)
	sim.schedule(time.Duration(sim.random.Int64N(int64(simListLag))), func() { sim.applyList(v, latest) })
}

func (sim *simulation) crashVM(v *simVM) { v.up = false; v.epoch++ }

func (sim *simulation) applyList(v *simVM, index int) {
	v.listIndex = max(v.listIndex, index)
	if !v.up {
		return
	}
	v.member.ApplyList(sim.now, sim.lists[index])
}

// mayLackVotes reports whether the VM may have lost unexpired votes in a restart.
func (sim *simulation) mayLackVotes(v *simVM) bool {
	if v.restarts == 0 || v.up && sim.now.Sub(v.started) > simRetention+time.Second {
		return false
	}
	claims, leases := v.member.shards[sim.claimShard], v.member.shards[sim.leaseShard]
	return !v.up || claims == nil || claims.lastActive.Revision == 0 || leases == nil || leases.lastActive.Revision == 0
}

func (sim *simulation) schedule(d time.Duration, callback func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), sequence: sim.sequence, callback: callback})
}

func (sim *simulation) randomDelay() time.Duration {
	if sim.random.IntN(20) == 0 {
		return time.Duration(sim.random.Int64N(int64(500 * time.Millisecond)))
	}
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(sim.maxDelay)))
}

// sendMessage delivers a message subject to loss, delay, reordering and duplication.
func (sim *simulation) sendMessage(from, to *simVM, callback func()) {
	if sim.unordered {
		sim.undelivered = append(sim.undelivered, func() {
			if to.up {
				callback()
			}
		})
		return
	}
	copies := 1
	if sim.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if from != to && sim.random.Float64() < sim.lossRate {
			continue
		}
		sim.schedule(sim.randomDelay(), func() {
			if to.up && sim.partition[from.name] == sim.partition[to.name] {
				callback()
			}
		})
	}
}

// call sends a request. The reply is dropped if the sending process has restarted.
func (sim *simulation) call(from, to *simVM, handle func() (reply func())) {
	epoch := from.epoch
	sim.sendMessage(from, to, func() {
		if reply := handle(); reply != nil {
			sim.sendMessage(to, from, func() {
				if from.epoch == epoch {
					reply()
				}
			})
		}
	})
}

func (sim *simulation) vmNamed(name string) *simVM {
	return sim.vms[slices.IndexFunc(sim.vms, func(v *simVM) bool { return v.name == name })]
}

func (sim *simulation) view(v *simVM, shard Shard) View { return sim.lists[v.listIndex].View(shard) }

func (sim *simulation) nextAttempt(v *simVM) uint64 { v.lastAttempt++; return v.lastAttempt }

// sendRequest sends a request with the key through the VM's gateway.
func (sim *simulation) sendRequest(v *simVM, key Key) *simSend {
	if _, found := sim.firstSentAt[key]; !found {
		sim.firstSentAt[key] = sim.now
	}
	s := &simSend{key: key, deadline: sim.now.Add(simDeadline)}
	s.proposer = NewProposer(ProposerOptions{
		Shard: sim.claimShard, Key: key, VM: v.name, Incarnation: v.epoch, Deadline: s.deadline, ClaimRetention: simRetention,
		Seed: sim.random.Uint64(), NextAttempt: func() uint64 {
			n := sim.nextAttempt(v)
			s.attempt = &simAttempt{key: key}
			v.attempts[n], v.sendsByAttempt[n] = s.attempt, s
			return n
		},
	}, sim.view(v, sim.claimShard))
	sim.allSends = append(sim.allSends, s)
	sim.perform(v, s, s.proposer.Start(sim.now))
	return s
}

func (sim *simulation) perform(v *simVM, s *simSend, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SendClaim:
			to, attempt := sim.vmNamed(a.To), a.Claim.Holder.Attempt
			sim.call(v, to, func() func() {
				response := to.member.Claim(sim.now, a.Claim)
				return func() { sim.perform(v, s, s.proposer.OnClaim(sim.now, attempt, response)) }
			})
		case SendFinish:
			sim.performFinish(v, a)
		case AskHolder:
			sim.queryHolder(v, s, a.Holder)
		case RefreshView:
			sim.perform(v, s, s.proposer.OnView(sim.now, sim.view(v, sim.claimShard)))
		}
	}
	sim.applyDecision(v, s)
}

func (sim *simulation) performFinish(v *simVM, a Action) {
	if attempt := v.attempts[a.Finish.Holder.Attempt]; a.Finish.State == Released && attempt != nil && !attempt.decided {
		attempt.decide(OutcomeNotRun, 0)
	}
	to := sim.vmNamed(a.To)
	sim.sendMessage(v, to, func() { to.member.Finish(sim.now, a.Finish) })
}

func (a *simAttempt) decide(outcome Outcome, result int) {
	a.decided, a.outcome, a.result = true, outcome, result
	for _, waiter := range a.waiters {
		waiter()
	}
	a.waiters = nil
}

func (sim *simulation) queryHolder(v *simVM, s *simSend, h Holder) {
	holder, epoch := sim.vmNamed(h.VM), v.epoch
	sim.sendMessage(v, holder, func() {
		reply := func(outcome Outcome, result int) {
			sim.sendMessage(holder, v, func() {
				if v.epoch == epoch && !s.done {
					s.result = result
					sim.perform(v, s, s.proposer.OnOutcome(sim.now, outcome))
				}
			})
		}
		attempt := holder.attempts[h.Attempt]
		if holder.epoch != h.Incarnation || attempt == nil {
			reply(OutcomeUnknown, 0)
			return
		}
		respond := func() {
			if attempt.outcome == OutcomeNotRun {
				for _, a := range ReleaseActions(sim.claimShard, attempt.key, sim.view(holder, sim.claimShard), h) {
					sim.performFinish(holder, a)
				}
			}
			reply(attempt.outcome, attempt.result)
		}
		if attempt.decided {
			respond()
			return
		}
		attempt.waiters = append(attempt.waiters, respond)
	})
}

// applyDecision carries out the proposer's decision. A dispatch may be delayed.
func (sim *simulation) applyDecision(v *simVM, s *simSend) {
	if s.done || s.proposer.Decision() == DecisionPending {
		return
	}
	s.done = true
	switch s.proposer.Decision() {
	case DecisionMayRun:
		if sim.unordered {
			sim.recordRun(s.key)
			return
		}
		epoch, pause := v.epoch, time.Duration(0)
		if sim.random.IntN(4) == 0 {
			pause = time.Duration(sim.random.Int64N(int64(2 * simDeadline)))
		}
		attempt := s.attempt
		sim.schedule(pause, func() {
			if v.up && v.epoch == epoch {
				sim.dispatch(v, s, attempt)
			}
		})
	case DecisionHasResult:
		sim.recordReply(s, "result")
		if sim.runCounts[s.key] != 1 || s.result != sim.results[s.key] {
			sim.failf("resend got result %d for key %x, want %d as returned by the run", s.result, s.key[:2], sim.results[s.key])
		}
	case DecisionExpired:
		sim.recordReply(s, "ran")
	default:
		sim.recordReply(s, "unknown")
	}
}

func (sim *simulation) recordReply(s *simSend, reply string) {
	s.reply = reply
	sim.replyCounts[reply]++
	if reply == "not_run" && sim.runCounts[s.key] > 0 {
		sim.failf("not_run reported for key %x, which ran", s.key[:2])
	}
}

func (sim *simulation) dispatch(v *simVM, s *simSend, attempt *simAttempt) {
	finish := func(state State) {
		for _, a := range s.proposer.FinishActions(state) {
			sim.performFinish(v, a)
		}
	}
	if !sim.now.Before(s.proposer.ExpiresAt()) || sim.random.IntN(10) == 0 {
		sim.recordReply(s, "not_run")
		attempt.decide(OutcomeNotRun, 0)
		finish(Released)
		return
	}
	sim.recordRun(s.key)
	sim.results[s.key] = sim.sequence
	result, epoch := sim.sequence, v.epoch
	sim.schedule(time.Duration(sim.random.Int64N(int64(300*time.Millisecond))), func() {
		if !v.up || v.epoch != epoch {
			return
		}
		sim.recordReply(s, "own")
		attempt.decide(OutcomeResult, result)
		finish(Finished)
	})
}

func (sim *simulation) recordRun(key Key) {
	sim.runCounts[key]++
	if sim.runCounts[key] > 1 {
		sim.failf("key %x ran %d times, want at most once", key[:2], sim.runCounts[key])
	}
}

// step advances the clock by simStep.
func (sim *simulation) step() {
	until := sim.now.Add(simStep)
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = max(sim.now, e.at)
		e.callback()
	}
	sim.now = until
	for _, v := range sim.vms {
		if v.up {
			sim.tickVM(v)
		}
	}
}

func (sim *simulation) tickVM(v *simVM) {
	requests := v.member.Tick(sim.now)
	for _, to := range sim.vms {
		for _, request := range requests[to.name] {
			sim.call(v, to, func() func() {
				response := to.member.Sync(sim.now, request)
				return func() { v.member.OnSyncResponse(sim.now, response) }
			})
		}
	}
	for n := range v.lastAttempt {
		if s := v.sendsByAttempt[n+1]; s != nil && !s.done {
			sim.perform(v, s, s.proposer.Tick(sim.now))
		} else {
			delete(v.sendsByAttempt, n+1)
		}
	}
	for _, slot := range v.slotLeases {
		sim.tickSlot(v, slot)
	}
}

// addSlotLease makes the VM's gateway compete for the lease on a slot of upstream.
func (sim *simulation) addSlotLease(v *simVM, upstream string) {
	key := SlotKey(upstream, 0)
	shard := sim.leaseShard
	v.slotLeases = append(v.slotLeases, NewSlotLease(SlotLeaseOptions{
		Shard: shard, Key: key, VM: v.name, Incarnation: v.epoch, LeaseDuration: simLease, Seed: sim.random.Uint64(),
		NextAttempt: func() uint64 { return sim.nextAttempt(v) },
	}, sim.view(v, shard)))
}

func (sim *simulation) performSlot(v *simVM, slot *SlotLease, actions []Action) {
	for _, a := range actions {
		if a.Kind == SendFinish {
			sim.performFinish(v, a)
			continue
		}
		to, round := sim.vmNamed(a.To), slot.RoundStart()
		sim.call(v, to, func() func() {
			response := to.member.Claim(sim.now, a.Claim)
			return func() { sim.performSlot(v, slot, slot.OnClaim(a.Claim.Holder.Attempt, round, response)) }
		})
	}
}

func (sim *simulation) tickSlot(v *simVM, slot *SlotLease) {
	slot.OnView(sim.view(v, slot.options.Shard))
	key := slot.options.Key
	if slot.UsableUntil().After(sim.now) && sim.random.IntN(200) == 0 {
		sim.slotBusyUntil[key], sim.slotOwners[key] = sim.now, nil
		for _, a := range slot.Release() {
			sim.performFinish(v, a)
		}
	}
	sim.performSlot(v, slot, slot.Tick(sim.now))
	if !slot.UsableUntil().After(sim.now) {
		return
	}
	sim.replyCounts["lease"]++
	if sim.slotOwners[key] != slot && sim.now.Before(sim.slotBusyUntil[key]) {
		sim.failf("slot lease held by %s while an earlier holder may still use the slot", v.name)
	}
	sim.slotOwners[key], sim.slotBusyUntil[key] = slot, slot.UsableUntil().Add(simGrace)
}
