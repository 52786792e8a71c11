package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// TestRandomEvents drives Cores by random events and guards against: more work on a
// cold upstream than its cold capacity (G2); work on a zone or upstream out of
// service after Apply, also where Cores hold different snapshots (G3, G7); queued
// selections with no or several grants; reservations that leak.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		if rapid.Bool().Draw(t, "warm") {
			w.warmUp()
		}
		t.Repeat(w.actions())
		w.settle()
	})
}

// warmUp brings all upstreams to warm on all Cores.
func (w *world) warmUp() {
	for range 80 {
		for vm := range w.cores {
			for _, pool := range []string{"p", "q"} {
				// More than the own zone bears, so that all zones take part.
				for range 2*testWarm + 4 {
					w.send(vm, w.selection(vm, pool, "a"))
				}
			}
			w.lease(vm)
		}
		w.succeedAll()
		w.deliverAll()
		for vm := range w.cores {
			reports := w.cores[vm].Report(w.now).Warmth
			for other := range w.cores {
				w.gossip(other, reports)
			}
		}
		w.advance(50 * time.Millisecond)
	}
}

// TestColdPoolBecomesWarm guards against limits that hold G2 by sending nothing.
func TestColdPoolBecomesWarm(t *testing.T) {
	w := newWorld(t, 3)
	w.warmUp()
	for vm, core := range w.cores {
		for _, state := range core.Status(w.now) {
			if !state.Warm || state.Limit < 1 {
				t.Errorf("vm%d: %+v", vm, state)
			}
		}
	}
	w.settle()
}

// TestSuddenColdIsBounded guards against a sign of cold that leaves the warm limit in
// force at the Core which saw it.
func TestSuddenColdIsBounded(t *testing.T) {
	w := newWorld(t, 3)
	w.warmUp()
	w.send(0, w.selection(0, "p", "a"))
	name := w.running()[0].server
	w.crash(name)
	w.deliver(0)
	w.advance(10 * time.Second)
	before := w.starts[name]
	for range 100 {
		w.send(0, w.selection(0, "p", "a"))
	}
	if got := w.starts[name] - before; got != 0 {
		t.Errorf("%d starts without a lease", got)
	}
}

// TestSharesWithinCapacity guards against shares whose sum over all VMs exceeds the
// capacity for some published list, beyond the size where subsets apply too.
func TestSharesWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := testTables(nil, nil)
		vms := make([]table.VM, rapid.IntRange(1, 40).Draw(t, "vms"))
		for i := range vms {
			vms[i] = table.VM{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))}
		}
		sums := map[string]int{}
		for i := range vms {
			core := New(Options{VM: vms[i].Name, Zone: vms[i].Zone})
			core.Apply(1, Snapshot{Tables: tables, VMs: vms})
			for _, state := range core.Status(1) {
				sums[state.Upstream] += state.Share
			}
		}
		for name, sum := range sums {
			if sum > testWarm {
				t.Fatalf("shares of %s sum to %d of %d", name, sum, testWarm)
			}
		}
	})
}

// TestFailingPoolAmplification guards against retries that multiply the load of a
// failing pool: at most 1.1 times the first attempts at any time.
func TestFailingPoolAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.warmUp()
		total := func() (sum int) {
			for i := range 6 {
				sum += w.starts[fmt.Sprint("p", i)]
			}
			return sum
		}
		before, first := total(), 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			s := w.selection(0, "p", "a")
			choice := w.send(0, s)
			for range 3 {
				if choice.Upstream == nil {
					break
				}
				if !s.Extra {
					first++
				}
				kind := rapid.SampledFrom([]OutcomeKind{OutcomeFailed, OutcomeOverloaded, OutcomeTimeout}).Draw(t, "kind")
				w.finish(w.running()[len(w.running())-1], kind)
				w.deliverAll()
				s.Exclude = append(s.Exclude, choice.Upstream.Name)
				s.Extra = true
				choice = w.send(0, s)
			}
			w.advance(5 * time.Millisecond)
		}
		// Tokens from the warm-up may be spent too; they are a tenth of its attempts.
		if attempts := total(); 10*(attempts-before-first) > before+first {
			t.Fatalf("%d attempts for %d first ones after %d", attempts-before, first, before)
		}
	})
}

// TestFloodDoesNotStarve guards against a workspace that takes all capacity: another
// one of triple weight gets nearly all it asks for.
func TestFloodDoesNotStarve(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	asked, served := 0, 0
	mine := map[Ticket]bool{}
	for range 200 {
		for range 100 {
			w.send(0, w.selection(0, "p", "a"))
		}
		for range 8 {
			asked++
			if choice := w.send(0, w.selection(0, "p", "b")); choice.Refusal == nil {
				mine[choice.Ticket] = true
			}
		}
		for _, c := range w.running() {
			if mine[c.ticket] {
				served++
				delete(mine, c.ticket)
			}
			w.finish(c, OutcomeSuccess)
		}
		w.deliverAll()
		w.advance(20 * time.Millisecond)
	}
	if served < asked*9/10 {
		t.Errorf("%d of %d served", served, asked)
	}
	w.settle()
}

// TestPoisonKillsAtMostTwo guards against a request that is sent again and again and
// kills an upstream each time, in one gateway's view.
func TestPoisonKillsAtMostTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.warmUp()
		s := w.selection(0, "p", "a")
		s.Fingerprint = Fingerprint{1}
		killed := map[string]bool{}
		for range 30 {
			s.Deadline = w.now.Add(testDeadline)
			w.send(0, s)
			for range rapid.IntRange(0, 5).Draw(t, "others") {
				w.send(0, w.selection(0, "p", "b"))
			}
			for _, c := range w.running() {
				if w.cores[0].attempts.get(c.ticket) != nil && w.cores[0].attempts.get(c.ticket).fingerprint == s.Fingerprint {
					killed[c.server] = true
					w.crash(c.server)
				}
			}
			w.succeedAll()
			for len(w.late) > 0 {
				w.deliver(rapid.IntRange(0, len(w.late)-1).Draw(t, "late"))
			}
			w.lease(0)
			w.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		if len(killed) > 2 {
			t.Fatalf("killed %v", killed)
		}
		// A strike counts once no infrastructure failure can explain it any more.
		w.advance(time.Second)
		s.Deadline = w.now.Add(testDeadline)
		if choice := w.send(0, s); len(killed) == 2 && (choice.Refusal == nil || choice.Refusal.Kind != errkind.PoisonRequest) {
			t.Fatalf("after two deaths: %+v", choice)
		}
		w.settle()
	})
}

// TestRackFailureSparesInnocents guards against refusing requests as poison because
// a rack failed under them, even if they died on two of its upstreams.
func TestRackFailureSparesInnocents(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	for i := range 40 {
		s := w.selection(0, "p", "a")
		s.Fingerprint = Fingerprint{byte(i), 1}
		w.send(0, s)
		s = w.selection(0, "q", "a")
		s.Fingerprint = Fingerprint{byte(i), 1}
		w.send(0, s)
	}
	for _, name := range []string{"p0", "p3", "q0", "q3"} {
		w.crash(name)
	}
	w.deliverAll()
	w.advance(1100 * time.Millisecond)
	for i := range 40 {
		s := w.selection(0, "p", "a")
		s.Fingerprint = Fingerprint{byte(i), 1}
		if choice := w.send(0, s); choice.Refusal != nil && choice.Refusal.Kind == errkind.PoisonRequest {
			t.Errorf("innocent %d is refused", i)
		}
	}
	w.settle()
}

// TestQueuedWorkLeavesTheZone guards against grants on a zone after the Apply that
// took it out of service (G3), and against waits for a pool without upstreams.
func TestQueuedWorkLeavesTheZone(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	for range 60 {
		w.send(0, w.selection(0, "p", "a"))
	}
	if len(w.queued[w.cores[0]]) == 0 {
		t.Fatal("nothing waits")
	}
	w.tables = testTables([]string{"z0"}, nil)
	w.apply(0)
	calls := w.running()
	for _, c := range calls {
		w.finish(c, OutcomeSuccess)
	}
	w.deliverAll()
	zones := []string{}
	for _, c := range w.running() {
		zones = append(zones, c.server)
	}
	if len(zones) == 0 || slices.Contains(zones, "p0") || slices.Contains(zones, "p3") {
		t.Errorf("granted on %v", zones)
	}
	for range 60 {
		w.send(0, w.selection(0, "p", "a"))
	}
	w.tables = testTables([]string{"z0", "z1", "z2"}, nil)
	w.apply(0)
	if n := len(w.queued[w.cores[0]]); n != 0 {
		t.Errorf("%d selections wait for a pool without upstreams", n)
	}
	w.settle()
}

// TestAbandonedSuspectIsGone guards against a grant, or a leaked entry, for a caller
// that left while its request waited for a verdict.
func TestAbandonedSuspectIsGone(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	s := w.strikeTwice()
	choice := w.send(0, s)
	if !choice.Queued {
		t.Fatalf("no wait for the verdict: %+v", choice)
	}
	delete(w.queued[w.cores[0]], choice.Ticket)
	w.cores[0].Abandon(w.now, choice.Ticket)
	w.settle()
}

// TestExpiredLeaseIsNotUsed guards against work on a cold upstream after the lease's end (G2).
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	w := newWorld(t, 1)
	w.send(0, w.selection(0, "p", "a"))
	w.now = w.now.Add(100 * time.Millisecond)
	w.lease(0)
	w.now = w.now.Add(testLease)
	if choice := w.send(0, w.selection(0, "p", "a")); choice.Upstream != nil {
		t.Errorf("started on %s", choice.Upstream.Name)
	}
}

// TestReturnToServiceBeginsCold guards against full load on a zone that comes back
// with new processes (G2).
func TestReturnToServiceBeginsCold(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	w.tables = testTables([]string{"z0"}, nil)
	w.apply(0)
	w.advance(time.Second)
	w.tables = testTables(nil, nil)
	w.apply(0)
	for _, state := range w.cores[0].Explain(w.now, "p") {
		if state.Warm == (state.Zone == "z0") {
			t.Errorf("after the return: %+v", state)
		}
	}
}

// TestLeasedUpstreamOutOfService guards against a lease in hand that outweighs the
// operators' decision (G3, G7).
func TestLeasedUpstreamOutOfService(t *testing.T) {
	w := newWorld(t, 1)
	w.send(0, w.selection(0, "p", "a"))
	w.lease(0)
	w.tables = testTables([]string{"z0", "z1"}, []string{"p2"})
	w.apply(0)
	for range 20 {
		w.send(0, w.selection(0, "p", "a"))
	}
	for _, c := range w.running() {
		if c.server != "p5" && c.server != "p0" && c.server != "p3" {
			t.Errorf("started on %s", c.server)
		}
	}
	if w.starts["p0"]+w.starts["p3"] > 1 || w.starts["p5"] == 0 {
		t.Errorf("starts %v", w.starts)
	}
}

// TestGivenUpCallKeepsItsSlot guards against replacing a cancelled call while a cold
// upstream that cannot cancel still runs it (G2).
func TestGivenUpCallKeepsItsSlot(t *testing.T) {
	w := newWorld(t, 1)
	for range 30 {
		w.send(0, w.selection(0, "p", "a"))
	}
	w.advance(10 * time.Millisecond)
	w.lease(0)
	calls := w.running()
	if len(calls) == 0 {
		t.Fatal("nothing started")
	}
	for _, c := range calls {
		w.giveUp(c)
	}
	w.deliverAll()
	if got := len(w.running()); got != len(calls) {
		t.Errorf("%d calls run in place of %d", got, len(calls))
	}
	w.settle()
}

// TestUpstreamMovesToAnotherPool guards against a moved upstream that is lost to its
// new pool or still serves the old one.
func TestUpstreamMovesToAnotherPool(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	w.tables = testTables(nil, nil)
	pools := w.tables.Pools.Pools
	pools[0].Upstreams, pools[1].Upstreams = pools[1].Upstreams, pools[0].Upstreams
	w.apply(0)
	for range 300 {
		w.send(0, w.selection(0, "p", "a"))
		w.lease(0)
		for _, c := range w.running() {
			if c.server[0] != 'q' {
				t.Fatalf("pool p started work on %s", c.server)
			}
			w.finish(c, OutcomeSuccess)
			w.deliver(0)
		}
		w.advance(20 * time.Millisecond)
	}
	for _, state := range w.cores[0].Explain(w.now, "p") {
		if state.Zone == "z0" && !state.Warm {
			t.Errorf("the moved upstream got no work: %+v", state)
		}
	}
	w.settle()
}

// TestReturnForgetsReportsFromOtherSnapshots guards against warmth that a VM with an
// older snapshot reported while the zone was already out of service here (G2).
func TestReturnForgetsReportsFromOtherSnapshots(t *testing.T) {
	w := newWorld(t, 2)
	w.warmUp()
	w.tables = testTables([]string{"z1"}, nil)
	w.apply(0)
	w.cores[1].Report(w.now)
	for range 3 * testWarm {
		w.send(1, w.selection(1, "p", "a"))
	}
	w.succeedAll()
	w.advance(11 * time.Second)
	w.deliverAll()
	w.gossip(0, w.cores[1].Report(w.now).Warmth)
	w.advance(time.Second)
	w.tables = testTables(nil, nil)
	w.apply(0)
	for _, state := range w.cores[0].Explain(w.now, "p") {
		if state.Zone == "z1" && state.Warm {
			t.Errorf("warm on its return: %+v", state)
		}
	}
}

// TestReturnedZoneIsWarmedByOthers guards against a zone whose VMs take callers'
// requests while its upstreams are cold, and against one that never becomes ready.
func TestReturnedZoneIsWarmedByOthers(t *testing.T) {
	w := newWorld(t, 3)
	w.warmUp()
	w.tables = testTables([]string{"z2"}, nil)
	for vm := range w.cores {
		w.apply(vm)
	}
	w.advance(time.Second)
	if w.cores[2].Ready(w.now) || !w.cores[0].Ready(w.now) {
		t.Fatal("readiness does not follow the zone out of service")
	}
	for _, name := range []string{"p2", "p5", "q2", "q5"} {
		w.crash(name)
	}
	w.tables = testTables(nil, nil)
	for vm := range w.cores {
		w.apply(vm)
	}
	if w.cores[2].Ready(w.now) {
		t.Error("ready with cold upstreams only")
	}
	for round := 0; !w.cores[2].Ready(w.now); round++ {
		if round == 200 {
			t.Fatal("not ready after 10 s of work of the other zones")
		}
		for vm := range 2 {
			for _, pool := range []string{"p", "q"} {
				w.send(vm, w.selection(vm, pool, "a"))
			}
			w.lease(vm)
		}
		w.lease(2)
		w.succeedAll()
		w.deliverAll()
		for vm := range 2 {
			w.gossip(2, w.cores[vm].Report(w.now).Warmth)
		}
		w.advance(50 * time.Millisecond)
	}
	w.settle()
}

// TestReturnedZoneBecomesReadyInAnyCase guards against a zone that stays without
// requests because nobody warms its upstreams.
func TestReturnedZoneBecomesReadyInAnyCase(t *testing.T) {
	w := newWorld(t, 3)
	w.warmUp()
	w.tables = testTables([]string{"z2"}, nil)
	w.apply(2)
	w.tables = testTables(nil, nil)
	w.apply(2)
	w.advance(returnTime)
	if !w.cores[2].Ready(w.now) {
		t.Error("not ready after the return time")
	}
}

// TestHeldAttemptsAreBounded guards against memory that grows with the sends of one
// suspect request.
func TestHeldAttemptsAreBounded(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	s := w.strikeTwice()
	for range 2 * maxHeld {
		w.send(0, s)
	}
	if n := len(w.cores[0].held); n != maxHeld {
		t.Errorf("%d attempts wait for a verdict", n)
	}
	w.settle()
}

// TestRerouteAddsNothingToTheBudget guards against one request that pays for retries
// several times because its connections were refused.
func TestRerouteAddsNothingToTheBudget(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	budget := &w.cores[0].pools["p"].budget
	for budget.TryWithdraw() {
		continue
	}
	s := w.selection(0, "p", "a")
	s.Exclude = []string{"p0"}
	for range 20 {
		if choice := w.send(0, s); choice.Upstream == nil {
			t.Fatalf("not started: %+v", choice)
		}
		w.succeedAll()
		w.deliverAll()
	}
	if budget.Available() {
		t.Error("re-routed calls paid for a retry")
	}
}

// TestWaitingRetriesKeepTheBudget guards against retries that pass the check of the
// budget when they arrive and all start later.
func TestWaitingRetriesKeepTheBudget(t *testing.T) {
	w := newWorld(t, 1)
	w.warmUp()
	for range 6 * testWarm {
		w.send(0, w.selection(0, "p", "a"))
	}
	budget := &w.cores[0].pools["p"].budget
	for budget.TryWithdraw() {
		continue
	}
	for range 25 {
		budget.Deposit()
	}
	s := w.selection(0, "p", "a")
	s.Extra, s.MayWait = true, true
	waiting := 0
	for range 10 {
		if w.send(0, s).Queued {
			waiting++
		}
	}
	before := w.starts["p0"] + w.starts["p1"] + w.starts["p2"] + w.starts["p3"] + w.starts["p4"] + w.starts["p5"]
	w.succeedAll()
	w.deliverAll()
	after := w.starts["p0"] + w.starts["p1"] + w.starts["p2"] + w.starts["p3"] + w.starts["p4"] + w.starts["p5"]
	if waiting != 10 || after-before != 2 {
		t.Errorf("%d waited, %d started on a budget of 2.5", waiting, after-before)
	}
	w.settle()
}
