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

// TestRandomEvents drives Cores by random events. It checks that a cold upstream never runs more
// than its cold capacity (guarantee G2); that after Apply nothing starts on a zone or upstream out
// of service, also while Cores hold different snapshots (G3, G7); that each queued selection gets
// exactly one grant; and that no reservation leaks.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 4)
		if rapid.Bool().Draw(t, "warm") {
			sim.warmUp()
		}
		t.Repeat(sim.actions())
		sim.finishAndCheckLeaks()
	})
}

// warmUp makes all upstreams warm in the view of all Cores.
func (sim *simulation) warmUp() {
	for range 80 {
		for vm := range sim.cores {
			for _, pool := range []string{"p", "q"} {
				// Send more than the upstreams of the VM's own zone can run, so that all zones get work.
				for range 2*testWarmCapacity + 4 {
					sim.send(vm, sim.selection(vm, pool, "a"))
				}
			}
			sim.renewLeases(vm)
		}
		sim.succeedAll()
		sim.deliverAll()
		for vm := range sim.cores {
			reports := sim.cores[vm].Report(sim.now).Warmth
			for other := range sim.cores {
				sim.mergeReports(other, reports)
			}
		}
		sim.advance(50 * time.Millisecond)
	}
}

// TestColdPoolBecomesWarm guards against limits that never overload a cold upstream (guarantee
// G2) only because they send it nothing.
func TestColdPoolBecomesWarm(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.warmUp()
	for vm, core := range sim.cores {
		for _, state := range core.Status(sim.now) {
			if !state.Warm || state.Limit < 1 {
				t.Errorf("vm%d: %+v", vm, state)
			}
		}
	}
	sim.finishAndCheckLeaks()
}

// TestCrashedUpstreamNeedsLease guards against a Core that keeps the warm limit of an upstream
// after it saw the upstream crash.
func TestCrashedUpstreamNeedsLease(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.warmUp()
	sim.send(0, sim.selection(0, "p", "a"))
	name := sim.running()[0].upstream
	sim.crash(name)
	sim.deliver(0)
	sim.advance(10 * time.Second)
	before := sim.dispatches[name]
	for range 100 {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	if got := sim.dispatches[name] - before; got != 0 {
		t.Errorf("%d calls started without a lease", got)
	}
}

// TestSharesWithinCapacity guards against shares of an upstream that sum to more than its capacity
// over all VMs. The VM lists include ones so long that only a subset of VMs uses each upstream.
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
			if sum > testWarmCapacity {
				t.Fatalf("shares of %s sum to %d, more than the capacity of %d", name, sum, testWarmCapacity)
			}
		}
	})
}

// TestFailingPoolAmplification guards against retries that multiply the load on a failing pool:
// attempts may be at most 1.1 times the first attempts at any time.
func TestFailingPoolAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1)
		sim.warmUp()
		total := func() (sum int) {
			for i := range 6 {
				sum += sim.dispatches[fmt.Sprint("p", i)]
			}
			return sum
		}
		before, first := total(), 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			selection := sim.selection(0, "p", "a")
			choice := sim.send(0, selection)
			for range 3 {
				if choice.Upstream == nil {
					break
				}
				if !selection.Extra {
					first++
				}
				kind := rapid.SampledFrom([]OutcomeKind{OutcomeFailed, OutcomeOverloaded, OutcomeTimeout}).Draw(t, "kind")
				sim.finish(sim.running()[len(sim.running())-1], kind)
				sim.deliverAll()
				selection.Exclude = append(selection.Exclude, choice.Upstream.Name)
				selection.Extra = true
				choice = sim.send(0, selection)
			}
			sim.advance(5 * time.Millisecond)
		}
		// Retry budget saved during warmUp may be spent too: a tenth of its attempts.
		if attempts := total(); 10*(attempts-before-first) > before+first {
			t.Fatalf("%d attempts for %d first attempts, after %d attempts during warm-up", attempts-before, first, before)
		}
	})
}

// TestBusyWorkspaceDoesNotStarveOthers guards against a workspace that takes all capacity: another
// one with three times its weight must get at least 90% of what it asks for.
func TestBusyWorkspaceDoesNotStarveOthers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	asked, served := 0, 0
	mine := map[Ticket]bool{}
	for range 200 {
		for range 100 {
			sim.send(0, sim.selection(0, "p", "a"))
		}
		for range 8 {
			asked++
			if choice := sim.send(0, sim.selection(0, "p", "b")); choice.Refusal == nil {
				mine[choice.Ticket] = true
			}
		}
		for _, c := range sim.running() {
			if mine[c.ticket] {
				served++
				delete(mine, c.ticket)
			}
			sim.finish(c, OutcomeSuccess)
		}
		sim.deliverAll()
		sim.advance(20 * time.Millisecond)
	}
	if served < asked*9/10 {
		t.Errorf("%d of %d served", served, asked)
	}
	sim.finishAndCheckLeaks()
}

// TestPoisonRequestKillsAtMostTwoUpstreams guards against a request that is sent repeatedly and
// crashes an upstream each time, as seen by one gateway.
func TestPoisonRequestKillsAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1)
		sim.warmUp()
		selection := sim.selection(0, "p", "a")
		selection.Fingerprint = Fingerprint{1}
		killed := map[string]bool{}
		for range 30 {
			selection.Deadline = sim.now.Add(testDeadline)
			sim.send(0, selection)
			for range rapid.IntRange(0, 5).Draw(t, "others") {
				sim.send(0, sim.selection(0, "p", "b"))
			}
			for _, c := range sim.running() {
				if sim.cores[0].attempts.get(c.ticket) != nil && sim.cores[0].attempts.get(c.ticket).fingerprint == selection.Fingerprint {
					killed[c.upstream] = true
					sim.crash(c.upstream)
				}
			}
			sim.succeedAll()
			for len(sim.pendingOutcomes) > 0 {
				sim.deliver(rapid.IntRange(0, len(sim.pendingOutcomes)-1).Draw(t, "late"))
			}
			sim.renewLeases(0)
			sim.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		if len(killed) > 2 {
			t.Fatalf("upstreams killed: %v, want at most 2", killed)
		}
		// A crash is confirmed only after the time in which further crashes could show an
		// infrastructure failure.
		sim.advance(time.Second)
		selection.Deadline = sim.now.Add(testDeadline)
		if choice := sim.send(0, selection); len(killed) == 2 && (choice.Refusal == nil || choice.Refusal.Kind != errkind.PoisonRequest) {
			t.Fatalf("after two upstreams crashed: %+v", choice)
		}
		sim.finishAndCheckLeaks()
	})
}

// TestRackFailureIsNotPoison guards against refusing requests as poison because they ran during a
// rack failure, even if each was running on two of the failed upstreams.
func TestRackFailureIsNotPoison(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	for i := range 40 {
		selection := sim.selection(0, "p", "a")
		selection.Fingerprint = Fingerprint{byte(i), 1}
		sim.send(0, selection)
		selection = sim.selection(0, "q", "a")
		selection.Fingerprint = Fingerprint{byte(i), 1}
		sim.send(0, selection)
	}
	for _, name := range []string{"p0", "p3", "q0", "q3"} {
		sim.crash(name)
	}
	sim.deliverAll()
	sim.advance(1100 * time.Millisecond)
	for i := range 40 {
		selection := sim.selection(0, "p", "a")
		selection.Fingerprint = Fingerprint{byte(i), 1}
		if choice := sim.send(0, selection); choice.Refusal != nil && choice.Refusal.Kind == errkind.PoisonRequest {
			t.Errorf("request %d is refused as poison", i)
		}
	}
	sim.finishAndCheckLeaks()
}

// TestQueuedWorkAvoidsZoneOutOfService guards against grants on a zone after the Apply that took
// it out of service (guarantee G3), and against attempts that wait in a pool without upstreams.
func TestQueuedWorkAvoidsZoneOutOfService(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	for range 60 {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	if len(sim.queued[sim.cores[0]]) == 0 {
		t.Fatal("no selection is queued")
	}
	sim.tables = testTables([]string{"z0"}, nil)
	sim.apply(0)
	calls := sim.running()
	for _, c := range calls {
		sim.finish(c, OutcomeSuccess)
	}
	sim.deliverAll()
	zones := []string{}
	for _, c := range sim.running() {
		zones = append(zones, c.upstream)
	}
	if len(zones) == 0 || slices.Contains(zones, "p0") || slices.Contains(zones, "p3") {
		t.Errorf("granted on %v, want only upstreams outside z0", zones)
	}
	for range 60 {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	sim.tables = testTables([]string{"z0", "z1", "z2"}, nil)
	sim.apply(0)
	if n := len(sim.queued[sim.cores[0]]); n != 0 {
		t.Errorf("%d selections wait for a pool without upstreams", n)
	}
	sim.finishAndCheckLeaks()
}

// TestCancelledHeldAttemptIsReleased guards against a grant or a leaked entry for a caller that
// disconnected while its request waited for a verdict.
func TestCancelledHeldAttemptIsReleased(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	selection := sim.killTwoUpstreams()
	choice := sim.send(0, selection)
	if !choice.Queued {
		t.Fatalf("the suspect was not held: %+v", choice)
	}
	delete(sim.queued[sim.cores[0]], choice.Ticket)
	sim.cores[0].CancelQueued(sim.now, choice.Ticket)
	sim.finishAndCheckLeaks()
}

// TestExpiredLeaseIsNotUsed guards against work on a cold upstream after its lease expired
// (guarantee G2).
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.send(0, sim.selection(0, "p", "a"))
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.renewLeases(0)
	sim.now = sim.now.Add(testLeaseDuration)
	if choice := sim.send(0, sim.selection(0, "p", "a")); choice.Upstream != nil {
		t.Errorf("started on %s", choice.Upstream.Name)
	}
}

// TestReturnToServiceStartsCold guards against full load on a zone that comes back with new
// processes (guarantee G2).
func TestReturnToServiceStartsCold(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.tables = testTables([]string{"z0"}, nil)
	sim.apply(0)
	sim.advance(time.Second)
	sim.tables = testTables(nil, nil)
	sim.apply(0)
	for _, state := range sim.cores[0].Explain(sim.now, "p") {
		if state.Warm == (state.Zone == "z0") {
			t.Errorf("after the return to service: %+v", state)
		}
	}
}

// TestLeasedUpstreamOutOfService guards against work on an upstream that operators took out of
// service while the VM holds a lease on it (guarantees G3, G7).
func TestLeasedUpstreamOutOfService(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.send(0, sim.selection(0, "p", "a"))
	sim.renewLeases(0)
	sim.tables = testTables([]string{"z0", "z1"}, []string{"p2"})
	sim.apply(0)
	for range 20 {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	for _, c := range sim.running() {
		if c.upstream != "p5" && c.upstream != "p0" && c.upstream != "p3" {
			t.Errorf("started on %s", c.upstream)
		}
	}
	if sim.dispatches["p0"]+sim.dispatches["p3"] > 1 || sim.dispatches["p5"] == 0 {
		t.Errorf("dispatches %v", sim.dispatches)
	}
}

// TestCancelledCallKeepsReservation guards against a new call in place of a cancelled one while a
// cold upstream that does not support cancellation still runs it (guarantee G2).
func TestCancelledCallKeepsReservation(t *testing.T) {
	sim := newSimulation(t, 1)
	for range 30 {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	sim.advance(10 * time.Millisecond)
	sim.renewLeases(0)
	calls := sim.running()
	if len(calls) == 0 {
		t.Fatal("nothing started")
	}
	for _, c := range calls {
		sim.cancel(c)
	}
	sim.deliverAll()
	if got := len(sim.running()); got != len(calls) {
		t.Errorf("%d calls run, want the %d cancelled ones only", got, len(calls))
	}
	sim.finishAndCheckLeaks()
}

// TestUpstreamMovesToAnotherPool guards against a moved upstream that gets no work from its new
// pool or still gets work from the old one.
func TestUpstreamMovesToAnotherPool(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	sim.tables = testTables(nil, nil)
	pools := sim.tables.Pools.Pools
	pools[0].Upstreams, pools[1].Upstreams = pools[1].Upstreams, pools[0].Upstreams
	sim.apply(0)
	for range 300 {
		sim.send(0, sim.selection(0, "p", "a"))
		sim.renewLeases(0)
		for _, c := range sim.running() {
			if c.upstream[0] != 'q' {
				t.Fatalf("pool p started work on %s", c.upstream)
			}
			sim.finish(c, OutcomeSuccess)
			sim.deliver(0)
		}
		sim.advance(20 * time.Millisecond)
	}
	for _, state := range sim.cores[0].Explain(sim.now, "p") {
		if state.Zone == "z0" && !state.Warm {
			t.Errorf("the moved upstream got no work: %+v", state)
		}
	}
	sim.finishAndCheckLeaks()
}

// TestReturnDiscardsReportsFromOlderSnapshots guards against a zone that comes back warm because a
// VM with an older snapshot reported successes while the zone was already out of service here
// (guarantee G2).
func TestReturnDiscardsReportsFromOlderSnapshots(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.warmUp()
	sim.tables = testTables([]string{"z1"}, nil)
	sim.apply(0)
	sim.cores[1].Report(sim.now)
	for range 3 * testWarmCapacity {
		sim.send(1, sim.selection(1, "p", "a"))
	}
	sim.succeedAll()
	sim.advance(11 * time.Second)
	sim.deliverAll()
	sim.mergeReports(0, sim.cores[1].Report(sim.now).Warmth)
	sim.advance(time.Second)
	sim.tables = testTables(nil, nil)
	sim.apply(0)
	for _, state := range sim.cores[0].Explain(sim.now, "p") {
		if state.Zone == "z1" && state.Warm {
			t.Errorf("warm just after the return to service: %+v", state)
		}
	}
}

// TestOtherZonesWarmReturnedZone guards against a zone whose VMs accept requests while its
// upstreams are still cold, and against a zone that never becomes ready.
func TestOtherZonesWarmReturnedZone(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.warmUp()
	sim.tables = testTables([]string{"z2"}, nil)
	for vm := range sim.cores {
		sim.apply(vm)
	}
	sim.advance(time.Second)
	if sim.cores[2].Ready(sim.now) || !sim.cores[0].Ready(sim.now) {
		t.Fatal("Ready does not reflect that the zone is out of service")
	}
	for _, name := range []string{"p2", "p5", "q2", "q5"} {
		sim.crash(name)
	}
	sim.tables = testTables(nil, nil)
	for vm := range sim.cores {
		sim.apply(vm)
	}
	if sim.cores[2].Ready(sim.now) {
		t.Error("ready with cold upstreams only")
	}
	for round := 0; !sim.cores[2].Ready(sim.now); round++ {
		if round == 200 {
			t.Fatal("not ready after other zones sent work for 10 s")
		}
		for vm := range 2 {
			for _, pool := range []string{"p", "q"} {
				sim.send(vm, sim.selection(vm, pool, "a"))
			}
			sim.renewLeases(vm)
		}
		sim.renewLeases(2)
		sim.succeedAll()
		sim.deliverAll()
		for vm := range 2 {
			sim.mergeReports(2, sim.cores[vm].Report(sim.now).Warmth)
		}
		sim.advance(50 * time.Millisecond)
	}
	sim.finishAndCheckLeaks()
}

// TestReturnedZoneBecomesReadyAfterPeriod guards against a zone that gets no requests for as long
// as no other zone warms up its upstreams.
func TestReturnedZoneBecomesReadyAfterPeriod(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.warmUp()
	sim.tables = testTables([]string{"z2"}, nil)
	sim.apply(2)
	sim.tables = testTables(nil, nil)
	sim.apply(2)
	sim.advance(zoneReturnPeriod)
	if !sim.cores[2].Ready(sim.now) {
		t.Error("not ready after zoneReturnPeriod")
	}
}

// TestHeldAttemptsAreBounded guards against memory that grows with each send of one suspect
// request.
func TestHeldAttemptsAreBounded(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	selection := sim.killTwoUpstreams()
	for range 2 * maxHeldAttempts {
		sim.send(0, selection)
	}
	if n := len(sim.cores[0].held); n != maxHeldAttempts {
		t.Errorf("%d attempts are held", n)
	}
	sim.finishAndCheckLeaks()
}

// TestRerouteDoesNotFillRetryBudget guards against a request that adds to the retry budget several
// times because its connections were refused.
func TestRerouteDoesNotFillRetryBudget(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	budget := &sim.cores[0].pools["p"].budget
	for budget.TryWithdraw() {
		continue
	}
	selection := sim.selection(0, "p", "a")
	selection.Exclude = []string{"p0"}
	for range 20 {
		if choice := sim.send(0, selection); choice.Upstream == nil {
			t.Fatalf("not started: %+v", choice)
		}
		sim.succeedAll()
		sim.deliverAll()
	}
	if budget.Available() {
		t.Error("re-routed calls filled the retry budget")
	}
}

// TestQueuedRetriesRespectRetryBudget guards against retries that pass the budget check on arrival
// and then all start later, beyond the budget.
func TestQueuedRetriesRespectRetryBudget(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.warmUp()
	for range 6 * testWarmCapacity {
		sim.send(0, sim.selection(0, "p", "a"))
	}
	budget := &sim.cores[0].pools["p"].budget
	for budget.TryWithdraw() {
		continue
	}
	for range 25 {
		budget.Deposit()
	}
	selection := sim.selection(0, "p", "a")
	selection.Extra, selection.MayWait = true, true
	waiting := 0
	for range 10 {
		if sim.send(0, selection).Queued {
			waiting++
		}
	}
	before := sim.dispatches["p0"] + sim.dispatches["p1"] + sim.dispatches["p2"] + sim.dispatches["p3"] + sim.dispatches["p4"] + sim.dispatches["p5"]
	sim.succeedAll()
	sim.deliverAll()
	after := sim.dispatches["p0"] + sim.dispatches["p1"] + sim.dispatches["p2"] + sim.dispatches["p3"] + sim.dispatches["p4"] + sim.dispatches["p5"]
	if waiting != 10 || after-before != 2 {
		t.Errorf("%d queued, %d started with a budget of 2.5 retries", waiting, after-before)
	}
	sim.finishAndCheckLeaks()
}
