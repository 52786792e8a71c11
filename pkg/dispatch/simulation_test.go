package dispatch

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	testColdCapacity, testWarmCapacity, testWarmAfter = 2, 8, 4

	testDeadline      = 3 * time.Second
	testLeaseDuration = 5 * time.Second
)

// TestMain fixes the seed and the number of steps of the property tests, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// failer is the part of testing.T and rapid.T that the simulation needs.
type failer interface{ Fatalf(string, ...any) }

// simulatedUpstream is the actual state of one upstream, as opposed to what the Cores know of it.
type simulatedUpstream struct {
	cold      bool
	successes int
	// coldAt is when its process last started, 0 for its first one.
	coldAt  clock.Instant
	running []*call
	slots   [testColdCapacity]struct {
		vm    int
		until clock.Instant
	}
}

// call is an attempt that a Core dispatched.
type call struct {
	vm       int
	core     *Core
	ticket   Ticket
	upstream string
	// knowsCold is set if the Core had a cold sign from the upstream's current process at dispatch,
	// or the process never restarted.
	knowsCold bool
	deadline  clock.Instant
	ended     bool
}

// pendingOutcome is the end of a call of which its Core has not been told yet.
type pendingOutcome struct {
	call    *call
	outcome Outcome
}

// simulation drives several Cores against simulated upstreams, in simulated time.
type simulation struct {
	t      failer
	now    clock.Instant
	tables *table.Tables
	vms    []table.VM
	cores  []*Core
	// applied holds the snapshot that each Core applied last.
	applied []Snapshot
	// knownColdAt holds when each Core last learned that an upstream is cold, -1 for never.
	knownColdAt     []map[string]clock.Instant
	upstreams       map[string]*simulatedUpstream
	queued          map[*Core]map[Ticket]clock.Instant
	pendingOutcomes []pendingOutcome
	reports         []WarmthReport
	// dispatches counts the calls per upstream.
	dispatches map[string]int
}

func testTables(outZones, outUpstreams []string) *table.Tables {
	pools := &table.Pools{OutOfService: table.OutOfService{Zones: outZones, Upstreams: outUpstreams}}
	for _, name := range []string{"p", "q"} {
		p := table.Pool{Name: name, Capacity: table.Capacity{Cold: testColdCapacity, Warm: testWarmCapacity, WarmAfter: testWarmAfter}}
		for i := range 6 {
			p.Upstreams = append(p.Upstreams, table.Upstream{Name: fmt.Sprint(name, i), Zone: fmt.Sprint("z", i%3)})
		}
		pools.Pools = append(pools.Pools, p)
	}
	return table.NewTables(&table.Routes{
		Workspaces: []table.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
		Routes: []table.Route{{Name: "r", Deadline: testDeadline, Stages: []table.Stage{
			{Name: "s", Pools: []string{"p"}, Idempotent: true}, {Name: "t", Pools: []string{"q"}, Idempotent: true},
		}}},
	}, pools)
}

func newSimulation(t failer, vms int) *simulation {
	sim := &simulation{
		t: t, now: clock.Instant(time.Hour), tables: testTables(nil, nil), upstreams: map[string]*simulatedUpstream{},
		queued: map[*Core]map[Ticket]clock.Instant{}, dispatches: map[string]int{},
	}
	for i := range sim.tables.Pools.Pools {
		for _, u := range sim.tables.Pools.Pools[i].Upstreams {
			sim.upstreams[u.Name] = &simulatedUpstream{cold: true}
		}
	}
	for i := range vms {
		sim.vms = append(sim.vms, table.VM{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%3), State: table.VMLive})
	}
	sim.cores = make([]*Core, vms)
	sim.applied = make([]Snapshot, vms)
	sim.knownColdAt = make([]map[string]clock.Instant, vms)
	for i := range vms {
		sim.restartCore(i)
	}
	return sim
}

// restartCore replaces the Core of a VM by a new one; calls of the old one still run.
func (sim *simulation) restartCore(vm int) {
	sim.cores[vm] = New(Options{VM: sim.vms[vm].Name, Zone: sim.vms[vm].Zone, Seed: uint64(vm)})
	sim.queued[sim.cores[vm]] = map[Ticket]clock.Instant{}
	sim.applied[vm] = Snapshot{}
	sim.knownColdAt[vm] = map[string]clock.Instant{}
	for name := range sim.upstreams {
		sim.knownColdAt[vm][name] = -1
	}
	sim.apply(vm)
}

func (sim *simulation) apply(vm int) {
	if old := sim.applied[vm].Tables; old != nil {
		// The Core must treat a return to service like a cold sign.
		for i := range old.Pools.Pools {
			for _, u := range old.Pools.Pools[i].Upstreams {
				if isOutOfService(old, u) && !isOutOfService(sim.tables, u) {
					sim.knownColdAt[vm][u.Name] = sim.now
				}
			}
		}
	}
	sim.applied[vm] = Snapshot{Tables: sim.tables, VMs: sim.vms}
	sim.checkEffects(vm, sim.cores[vm].Apply(sim.now, sim.applied[vm]))
}

func (sim *simulation) selection(vm int, pool, workspace string) Selection {
	stage := 0
	if pool == "q" {
		stage = 1
	}
	return Selection{
		Route: sim.applied[vm].Tables.Route("r"), Stage: stage, Pool: pool, Workspace: workspace,
		Deadline: sim.now.Add(testDeadline),
	}
}

// send makes a Selection and records its result.
func (sim *simulation) send(vm int, selection Selection) Choice {
	choice := sim.cores[vm].Select(sim.now, selection)
	switch {
	case choice.Queued:
		sim.queued[sim.cores[vm]][choice.Ticket] = selection.Deadline
	case choice.Upstream != nil:
		sim.recordDispatch(vm, choice, selection.Deadline)
	case choice.Refusal == nil:
		sim.t.Fatalf("choice without a result: %+v", choice)
	}
	return choice
}

// checkEffects checks that each Grant ends the wait of one queued Selection.
func (sim *simulation) checkEffects(vm int, e Effects) {
	waiting := sim.queued[sim.cores[vm]]
	for _, grant := range e.Grants {
		deadline, known := waiting[grant.Ticket]
		if !known {
			sim.t.Fatalf("grant for a ticket that is not queued: %+v", grant)
		}
		delete(waiting, grant.Ticket)
		if (grant.Upstream == nil) == (grant.Refusal == nil) {
			sim.t.Fatalf("grant with no result or with two: %+v", grant)
		}
		if grant.Upstream != nil {
			sim.recordDispatch(vm, grant, deadline)
		}
	}
}

func isOutOfService(tables *table.Tables, u table.Upstream) bool {
	out := &tables.Pools.OutOfService
	return slices.Contains(out.Zones, u.Zone) || slices.Contains(out.Upstreams, u.Name)
}

// recordDispatch records a call. It checks that the upstream is in service by the snapshot that
// the Core applied, and that the call does not exceed the capacity of a cold upstream.
func (sim *simulation) recordDispatch(vm int, choice Choice, deadline clock.Instant) {
	u := choice.Upstream
	if isOutOfService(sim.applied[vm].Tables, *u) {
		sim.t.Fatalf("guarantees G3, G7: vm%d started work on %s, which is out of service", vm, u.Name)
	}
	simulated := sim.upstreams[u.Name]
	c := &call{
		vm: vm, core: sim.cores[vm], ticket: choice.Ticket, upstream: u.Name, deadline: deadline,
		knowsCold: simulated.coldAt == 0 || sim.knownColdAt[vm][u.Name] >= simulated.coldAt,
	}
	simulated.running = append(simulated.running, c)
	sim.dispatches[u.Name]++
	count := 0
	for _, other := range simulated.running {
		if other.knowsCold {
			count++
		}
	}
	if simulated.cold && c.knowsCold && count > testColdCapacity {
		sim.t.Fatalf("guarantee G2: %s is cold and runs %d requests, with a cold capacity of %d", u.Name, count, testColdCapacity)
	}
}

// finish ends a call at its upstream; deliver tells its Core.
func (sim *simulation) finish(c *call, kind OutcomeKind) {
	simulated := sim.upstreams[c.upstream]
	simulated.running = slices.DeleteFunc(simulated.running, func(other *call) bool { return other == c })
	if kind == OutcomeSuccess {
		simulated.successes++
		simulated.cold = simulated.cold && simulated.successes < testWarmAfter
	}
	if !c.ended {
		c.ended = true
		sim.pendingOutcomes = append(sim.pendingOutcomes, pendingOutcome{c, Outcome{Kind: kind, Elapsed: 10 * time.Millisecond}})
	}
}

// cancel ends a call at its Core while the upstream goes on running it.
func (sim *simulation) cancel(c *call) {
	if !c.ended {
		c.ended = true
		sim.pendingOutcomes = append(sim.pendingOutcomes, pendingOutcome{c, Outcome{Kind: OutcomeCancelled}})
	}
}

// crash restarts an upstream as a cold process.
func (sim *simulation) crash(name string) {
	simulated := sim.upstreams[name]
	simulated.cold, simulated.successes, simulated.coldAt = true, 0, sim.now
	for _, c := range slices.Clone(simulated.running) {
		sim.finish(c, OutcomeDied)
	}
}

// deliver passes a pending outcome to its Core, unless that was restarted.
func (sim *simulation) deliver(i int) {
	pending := sim.pendingOutcomes[i]
	sim.pendingOutcomes = slices.Delete(sim.pendingOutcomes, i, i+1)
	if sim.cores[pending.call.vm] != pending.call.core {
		return
	}
	if pending.outcome.Kind == OutcomeDied || pending.outcome.Kind == OutcomeRefused {
		sim.knownColdAt[pending.call.vm][pending.call.upstream] = sim.now
	}
	sim.checkEffects(pending.call.vm, pending.call.core.Done(sim.now, pending.call.ticket, pending.outcome))
}

func (sim *simulation) deliverAll() {
	for len(sim.pendingOutcomes) > 0 {
		sim.deliver(0)
	}
}

func (sim *simulation) succeedAll() {
	for _, c := range sim.running() {
		sim.finish(c, OutcomeSuccess)
	}
}

// killTwoUpstreams crashes two upstreams under the same request and returns its selection.
func (sim *simulation) killTwoUpstreams() Selection {
	selection := sim.selection(0, "p", "a")
	selection.Fingerprint = Fingerprint{1}
	for range 2 {
		sim.send(0, selection)
		sim.crash(sim.running()[0].upstream)
		sim.deliver(0)
	}
	return selection
}

// renewLeases renews the leases of a VM as the real lease owners do: a slot passes to another VM
// only after the lease has expired and the longest deadline has passed too.
func (sim *simulation) renewLeases(vm int) {
	var held []HeldLease
	for _, want := range sim.cores[vm].WantedLeases(sim.now) {
		simulated := sim.upstreams[want.Upstream]
		granted := 0
		for i := range simulated.slots {
			slot := &simulated.slots[i]
			free := slot.until == 0 || sim.now >= slot.until.Add(testDeadline)
			if granted < want.Slots && (free || slot.vm == vm) {
				slot.vm, slot.until = vm, sim.now.Add(testLeaseDuration)
				granted++
			}
		}
		if granted > 0 {
			held = append(held, HeldLease{Upstream: want.Upstream, Slots: granted, Until: sim.now.Add(testLeaseDuration)})
		}
	}
	sim.checkEffects(vm, sim.cores[vm].SetLeases(sim.now, held))
}

// advance moves the time forward and ends calls past their deadline.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, name := range sim.upstreamNames() {
		for _, c := range slices.Clone(sim.upstreams[name].running) {
			if c.deadline <= sim.now {
				sim.finish(c, OutcomeTimeout)
			}
		}
	}
	for vm := range sim.cores {
		sim.checkEffects(vm, sim.cores[vm].Tick(sim.now))
	}
}

// mergeReports applies reports to a Core; they may be repeated and out of order.
func (sim *simulation) mergeReports(vm int, reports []WarmthReport) {
	snapshot := sim.applied[vm]
	snapshot.Warmth = reports
	for _, r := range reports {
		if simulated := sim.upstreams[r.Upstream]; r.Cold && r.Observed >= simulated.coldAt && simulated.coldAt != 0 {
			sim.knownColdAt[vm][r.Upstream] = max(sim.knownColdAt[vm][r.Upstream], r.Observed)
		}
	}
	sim.checkEffects(vm, sim.cores[vm].Apply(sim.now, snapshot))
}

// finishAndCheckLeaks lets all calls and waits end, and checks that no queued selection,
// reservation or entry is left.
func (sim *simulation) finishAndCheckLeaks() {
	sim.advance(testDeadline + time.Second)
	sim.deliverAll()
	sim.advance(testDeadline + time.Second)
	sim.deliverAll()
	for vm, core := range sim.cores {
		if n := len(sim.queued[core]); n > 0 {
			sim.t.Fatalf("vm%d: %d queued selections without a grant", vm, n)
		}
		if core.attempts.inUse != 0 || core.requests.inUse != 0 {
			sim.t.Fatalf("vm%d: %d attempts and %d requests leaked", vm, core.attempts.inUse, core.requests.inUse)
		}
		for _, state := range core.Status(sim.now) {
			if state.InFlight != 0 {
				sim.t.Fatalf("vm%d: %d reservations of %s leaked", vm, state.InFlight, state.Upstream)
			}
		}
	}
}

func (sim *simulation) upstreamNames() []string {
	names := make([]string, 0, len(sim.upstreams))
	for name := range sim.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (sim *simulation) running() []*call {
	var calls []*call
	for _, name := range sim.upstreamNames() {
		calls = append(calls, sim.upstreams[name].running...)
	}
	return calls
}

// actions returns the actions that are run in random order.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	randomVM := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.cores)-1).Draw(t, "vm") }
	randomUpstream := func(t *rapid.T) string { return rapid.SampledFrom(sim.upstreamNames()).Draw(t, "server") }
	randomCall := func(t *rapid.T) *call {
		calls := sim.running()
		if len(calls) == 0 {
			return nil
		}
		return rapid.SampledFrom(calls).Draw(t, "call")
	}
	return map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			vm, pool := randomVM(t), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
			for range rapid.IntRange(1, 12).Draw(t, "burst") {
				selection := sim.selection(vm, pool, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
				selection.Extra = rapid.IntRange(0, 9).Draw(t, "extra") == 0
				selection.MayWait = rapid.Bool().Draw(t, "may wait")
				sim.send(vm, selection)
			}
		},
		"succeed": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				if c := randomCall(t); c != nil {
					sim.finish(c, OutcomeSuccess)
				}
			}
		},
		"fail": func(t *rapid.T) {
			if c := randomCall(t); c != nil {
				sim.finish(c, rapid.SampledFrom([]OutcomeKind{OutcomeOverloaded, OutcomeFailed}).Draw(t, "kind"))
			}
		},
		"give up": func(t *rapid.T) {
			if c := randomCall(t); c != nil {
				sim.cancel(c)
			}
		},
		"deliver": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				if len(sim.pendingOutcomes) > 0 {
					sim.deliver(rapid.IntRange(0, len(sim.pendingOutcomes)-1).Draw(t, "late"))
				}
			}
		},
		"abandon": func(t *rapid.T) {
			vm := randomVM(t)
			waiting := sim.queued[sim.cores[vm]]
			for ticket := range waiting {
				if len(waiting) == 1 {
					delete(waiting, ticket)
					sim.checkEffects(vm, sim.cores[vm].CancelQueued(sim.now, ticket))
				}
			}
		},
		"crash":   func(t *rapid.T) { sim.crash(randomUpstream(t)) },
		"restart": func(t *rapid.T) { sim.restartCore(randomVM(t)) },
		"lease":   func(t *rapid.T) { sim.renewLeases(randomVM(t)) },
		"advance": func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"idle": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				sim.advance(31 * time.Second)
			}
		},
		"report": func(t *rapid.T) { sim.reports = append(sim.reports, sim.cores[randomVM(t)].Report(sim.now).Warmth...) },
		"gossip": func(t *rapid.T) {
			if len(sim.reports) > 0 {
				sim.mergeReports(randomVM(t), rapid.SliceOfN(rapid.SampledFrom(sim.reports), 1, 6).Draw(t, "reports"))
			}
		},
		"tables": func(t *rapid.T) {
			zones := rapid.SliceOfN(rapid.SampledFrom([]string{"z0", "z1", "z2"}), 0, 2).Draw(t, "zones")
			sim.tables = testTables(zones, []string{randomUpstream(t)})
		},
		"zone out and back": func(t *rapid.T) {
			zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
			sim.tables = testTables([]string{zone}, nil)
			for vm := range sim.cores {
				sim.apply(vm)
				if len(sim.reports) > 0 && rapid.Bool().Draw(t, "gossip") {
					sim.mergeReports(vm, sim.reports[max(0, len(sim.reports)-12):])
				}
			}
			for _, name := range sim.upstreamNames() {
				if fmt.Sprint("z", (name[1]-'0')%3) == zone {
					sim.crash(name)
				}
			}
			sim.advance(time.Second)
			sim.tables = testTables(nil, nil)
			for vm := range sim.cores {
				sim.apply(vm)
			}
		},
		"apply": func(t *rapid.T) { sim.apply(randomVM(t)) },
	}
}
