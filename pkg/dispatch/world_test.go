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

// TestMain fixes the seed and the length of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// failer is the part of testing.T and rapid.T that checks need.
type failer interface{ Fatalf(string, ...any) }

// simulatedUpstream is the truth about one upstream.
type simulatedUpstream struct {
	cold      bool
	successes int
	// coldAt is when its process last started.
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
	// knowsCold is set if the Core had a sign of the server's present process being cold.
	knowsCold bool
	deadline  clock.Instant
	ended     bool
}

// pendingOutcome is a Done that its Core has not seen yet.
type pendingOutcome struct {
	call    *call
	outcome Outcome
}

// simulation drives several Cores against servers.
type simulation struct {
	t               failer
	now             clock.Instant
	tables          *table.Tables
	vms             []table.VM
	cores           []*Core
	applied         []Snapshot
	knownColdAt     []map[string]clock.Instant
	upstreams       map[string]*simulatedUpstream
	queued          map[*Core]map[Ticket]clock.Instant
	pendingOutcomes []pendingOutcome
	reports         []WarmthReport
	// dispatches counts dispatches per upstream.
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
	return table.Join(&table.Routes{
		Workspaces: []table.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
		Routes: []table.Route{{Name: "r", Deadline: testDeadline, Stages: []table.Stage{
			{Name: "s", Pools: []string{"p"}, Idempotent: true}, {Name: "t", Pools: []string{"q"}, Idempotent: true},
		}}},
	}, pools)
}

func newSimulation(t failer, vms int) *simulation {
	w := &simulation{
		t: t, now: clock.Instant(time.Hour), tables: testTables(nil, nil), upstreams: map[string]*simulatedUpstream{},
		queued: map[*Core]map[Ticket]clock.Instant{}, dispatches: map[string]int{},
	}
	for i := range w.tables.Pools.Pools {
		for _, u := range w.tables.Pools.Pools[i].Upstreams {
			w.upstreams[u.Name] = &simulatedUpstream{cold: true}
		}
	}
	for i := range vms {
		w.vms = append(w.vms, table.VM{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%3), State: table.VMLive})
	}
	w.cores = make([]*Core, vms)
	w.applied = make([]Snapshot, vms)
	w.knownColdAt = make([]map[string]clock.Instant, vms)
	for i := range vms {
		w.restartCore(i)
	}
	return w
}

// restartCore starts a Core anew; attempts of its predecessor run on unseen.
func (w *simulation) restartCore(vm int) {
	w.cores[vm] = New(Options{VM: w.vms[vm].Name, Zone: w.vms[vm].Zone, Seed: uint64(vm)})
	w.queued[w.cores[vm]] = map[Ticket]clock.Instant{}
	w.applied[vm] = Snapshot{}
	w.knownColdAt[vm] = map[string]clock.Instant{}
	for name := range w.upstreams {
		w.knownColdAt[vm][name] = -1
	}
	w.apply(vm)
}

func (w *simulation) apply(vm int) {
	if old := w.applied[vm].Tables; old != nil {
		// A return to service is to be treated like a sign of a cold process.
		for i := range old.Pools.Pools {
			for _, u := range old.Pools.Pools[i].Upstreams {
				if isOut(old, u) && !isOut(w.tables, u) {
					w.knownColdAt[vm][u.Name] = w.now
				}
			}
		}
	}
	w.applied[vm] = Snapshot{Tables: w.tables, VMs: w.vms}
	w.checkEffects(vm, w.cores[vm].Apply(w.now, w.applied[vm]))
}

func (w *simulation) selection(vm int, pool, workspace string) Selection {
	stage := 0
	if pool == "q" {
		stage = 1
	}
	return Selection{
		Route: w.applied[vm].Tables.Route("r"), Stage: stage, Pool: pool, Workspace: workspace,
		Deadline: w.now.Add(testDeadline),
	}
}

// send makes a Selection and records what comes of it.
func (w *simulation) send(vm int, s Selection) Choice {
	choice := w.cores[vm].Select(w.now, s)
	switch {
	case choice.Queued:
		w.queued[w.cores[vm]][choice.Ticket] = s.Deadline
	case choice.Upstream != nil:
		w.recordDispatch(vm, choice, s.Deadline)
	case choice.Refusal == nil:
		w.t.Fatalf("choice without result: %+v", choice)
	}
	return choice
}

// checkEffects checks that each Grant ends the wait of exactly one queued Selection.
func (w *simulation) checkEffects(vm int, e Effects) {
	waiting := w.queued[w.cores[vm]]
	for _, grant := range e.Grants {
		deadline, known := waiting[grant.Ticket]
		if !known {
			w.t.Fatalf("grant for a ticket that does not wait: %+v", grant)
		}
		delete(waiting, grant.Ticket)
		if (grant.Upstream == nil) == (grant.Refusal == nil) {
			w.t.Fatalf("grant without a single result: %+v", grant)
		}
		if grant.Upstream != nil {
			w.recordDispatch(vm, grant, deadline)
		}
	}
}

func isOut(tables *table.Tables, u table.Upstream) bool {
	out := &tables.Pools.OutOfService
	return slices.Contains(out.Zones, u.Zone) || slices.Contains(out.Upstreams, u.Name)
}

// recordDispatch checks a start against the snapshot that its Core applied and the truth.
func (w *simulation) recordDispatch(vm int, choice Choice, deadline clock.Instant) {
	u := choice.Upstream
	if isOut(w.applied[vm].Tables, *u) {
		w.t.Fatalf("G3, G7: vm%d started work on %s, which is out of service", vm, u.Name)
	}
	s := w.upstreams[u.Name]
	c := &call{
		vm: vm, core: w.cores[vm], ticket: choice.Ticket, upstream: u.Name, deadline: deadline,
		knowsCold: s.coldAt == 0 || w.knownColdAt[vm][u.Name] >= s.coldAt,
	}
	s.running = append(s.running, c)
	w.dispatches[u.Name]++
	count := 0
	for _, other := range s.running {
		if other.knowsCold {
			count++
		}
	}
	if s.cold && c.knowsCold && count > testColdCapacity {
		w.t.Fatalf("G2: %s is cold and runs %d requests of %d", u.Name, count, testColdCapacity)
	}
}

// finish ends a call at its server; the Core learns of it when deliver is called.
func (w *simulation) finish(c *call, kind OutcomeKind) {
	s := w.upstreams[c.upstream]
	s.running = slices.DeleteFunc(s.running, func(other *call) bool { return other == c })
	if kind == OutcomeSuccess {
		s.successes++
		s.cold = s.cold && s.successes < testWarmAfter
	}
	if !c.ended {
		c.ended = true
		w.pendingOutcomes = append(w.pendingOutcomes, pendingOutcome{c, Outcome{Kind: kind, Elapsed: 10 * time.Millisecond}})
	}
}

// cancel ends a call at its Core while the server runs on.
func (w *simulation) cancel(c *call) {
	if !c.ended {
		c.ended = true
		w.pendingOutcomes = append(w.pendingOutcomes, pendingOutcome{c, Outcome{Kind: OutcomeCancelled}})
	}
}

// crash restarts a server as a cold process.
func (w *simulation) crash(name string) {
	s := w.upstreams[name]
	s.cold, s.successes, s.coldAt = true, 0, w.now
	for _, c := range slices.Clone(s.running) {
		w.finish(c, OutcomeDied)
	}
}

// deliver passes a late Done to its Core, if that still runs.
func (w *simulation) deliver(i int) {
	l := w.pendingOutcomes[i]
	w.pendingOutcomes = slices.Delete(w.pendingOutcomes, i, i+1)
	if w.cores[l.call.vm] != l.call.core {
		return
	}
	if l.outcome.Kind == OutcomeDied || l.outcome.Kind == OutcomeRefused {
		w.knownColdAt[l.call.vm][l.call.upstream] = w.now
	}
	w.checkEffects(l.call.vm, l.call.core.Done(w.now, l.call.ticket, l.outcome))
}

func (w *simulation) deliverAll() {
	for len(w.pendingOutcomes) > 0 {
		w.deliver(0)
	}
}

func (w *simulation) succeedAll() {
	for _, c := range w.running() {
		w.finish(c, OutcomeSuccess)
	}
}

// killTwoUpstreams lets two upstreams die under one request and returns its selection.
func (w *simulation) killTwoUpstreams() Selection {
	s := w.selection(0, "p", "a")
	s.Fingerprint = Fingerprint{1}
	for range 2 {
		w.send(0, s)
		w.crash(w.running()[0].upstream)
		w.deliver(0)
	}
	return s
}

// renewLeases renews leases as keepers would: a slot goes to another VM only after its end
// plus the longest deadline.
func (w *simulation) renewLeases(vm int) {
	var held []HeldLease
	for _, want := range w.cores[vm].WantedLeases(w.now) {
		s := w.upstreams[want.Upstream]
		granted := 0
		for i := range s.slots {
			slot := &s.slots[i]
			free := slot.until == 0 || w.now >= slot.until.Add(testDeadline)
			if granted < want.Slots && (free || slot.vm == vm) {
				slot.vm, slot.until = vm, w.now.Add(testLeaseDuration)
				granted++
			}
		}
		if granted > 0 {
			held = append(held, HeldLease{Upstream: want.Upstream, Slots: granted, Until: w.now.Add(testLeaseDuration)})
		}
	}
	w.checkEffects(vm, w.cores[vm].SetLeases(w.now, held))
}

// advance moves the time; calls past their deadline end.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.upstreamNames() {
		for _, c := range slices.Clone(w.upstreams[name].running) {
			if c.deadline <= w.now {
				w.finish(c, OutcomeTimeout)
			}
		}
	}
	for vm := range w.cores {
		w.checkEffects(vm, w.cores[vm].Tick(w.now))
	}
}

// mergeReports passes recorded reports to a Core, possibly again and out of order.
func (w *simulation) mergeReports(vm int, reports []WarmthReport) {
	snapshot := w.applied[vm]
	snapshot.Warmth = reports
	for _, r := range reports {
		if s := w.upstreams[r.Upstream]; r.Cold && r.Observed >= s.coldAt && s.coldAt != 0 {
			w.knownColdAt[vm][r.Upstream] = max(w.knownColdAt[vm][r.Upstream], r.Observed)
		}
	}
	w.checkEffects(vm, w.cores[vm].Apply(w.now, snapshot))
}

// finishAndCheckLeaks ends everything and checks that nothing is left behind.
func (w *simulation) finishAndCheckLeaks() {
	w.advance(testDeadline + time.Second)
	w.deliverAll()
	w.advance(testDeadline + time.Second)
	w.deliverAll()
	for vm, core := range w.cores {
		if n := len(w.queued[core]); n > 0 {
			w.t.Fatalf("vm%d: %d queued selections without a grant", vm, n)
		}
		if core.attempts.inUse != 0 || core.requests.inUse != 0 {
			w.t.Fatalf("vm%d: %d attempts and %d requests leaked", vm, core.attempts.inUse, core.requests.inUse)
		}
		for _, state := range core.Status(w.now) {
			if state.InFlight != 0 {
				w.t.Fatalf("vm%d: %d reservations of %s leaked", vm, state.InFlight, state.Upstream)
			}
		}
	}
}

func (w *simulation) upstreamNames() []string {
	names := make([]string, 0, len(w.upstreams))
	for name := range w.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *simulation) running() []*call {
	var calls []*call
	for _, name := range w.upstreamNames() {
		calls = append(calls, w.upstreams[name].running...)
	}
	return calls
}

// actions is what happens in a random order.
func (w *simulation) actions() map[string]func(*rapid.T) {
	vm := func(t *rapid.T) int { return rapid.IntRange(0, len(w.cores)-1).Draw(t, "vm") }
	name := func(t *rapid.T) string { return rapid.SampledFrom(w.upstreamNames()).Draw(t, "server") }
	one := func(t *rapid.T) *call {
		calls := w.running()
		if len(calls) == 0 {
			return nil
		}
		return rapid.SampledFrom(calls).Draw(t, "call")
	}
	return map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			v, pool := vm(t), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
			for range rapid.IntRange(1, 12).Draw(t, "burst") {
				s := w.selection(v, pool, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
				s.Extra = rapid.IntRange(0, 9).Draw(t, "extra") == 0
				s.MayWait = rapid.Bool().Draw(t, "may wait")
				w.send(v, s)
			}
		},
		"succeed": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				if c := one(t); c != nil {
					w.finish(c, OutcomeSuccess)
				}
			}
		},
		"fail": func(t *rapid.T) {
			if c := one(t); c != nil {
				w.finish(c, rapid.SampledFrom([]OutcomeKind{OutcomeOverloaded, OutcomeFailed}).Draw(t, "kind"))
			}
		},
		"give up": func(t *rapid.T) {
			if c := one(t); c != nil {
				w.cancel(c)
			}
		},
		"deliver": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				if len(w.pendingOutcomes) > 0 {
					w.deliver(rapid.IntRange(0, len(w.pendingOutcomes)-1).Draw(t, "late"))
				}
			}
		},
		"abandon": func(t *rapid.T) {
			v := vm(t)
			waiting := w.queued[w.cores[v]]
			for ticket := range waiting {
				if len(waiting) == 1 {
					delete(waiting, ticket)
					w.checkEffects(v, w.cores[v].CancelQueued(w.now, ticket))
				}
			}
		},
		"crash":   func(t *rapid.T) { w.crash(name(t)) },
		"restart": func(t *rapid.T) { w.restartCore(vm(t)) },
		"lease":   func(t *rapid.T) { w.renewLeases(vm(t)) },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"idle": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				w.advance(31 * time.Second)
			}
		},
		"report": func(t *rapid.T) { w.reports = append(w.reports, w.cores[vm(t)].Report(w.now).Warmth...) },
		"gossip": func(t *rapid.T) {
			if len(w.reports) > 0 {
				w.mergeReports(vm(t), rapid.SliceOfN(rapid.SampledFrom(w.reports), 1, 6).Draw(t, "reports"))
			}
		},
		"tables": func(t *rapid.T) {
			zones := rapid.SliceOfN(rapid.SampledFrom([]string{"z0", "z1", "z2"}), 0, 2).Draw(t, "zones")
			w.tables = testTables(zones, []string{name(t)})
		},
		"zone out and back": func(t *rapid.T) {
			zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
			w.tables = testTables([]string{zone}, nil)
			for v := range w.cores {
				w.apply(v)
				if len(w.reports) > 0 && rapid.Bool().Draw(t, "gossip") {
					w.mergeReports(v, w.reports[max(0, len(w.reports)-12):])
				}
			}
			for _, n := range w.upstreamNames() {
				if fmt.Sprint("z", (n[1]-'0')%3) == zone {
					w.crash(n)
				}
			}
			w.advance(time.Second)
			w.tables = testTables(nil, nil)
			for v := range w.cores {
				w.apply(v)
			}
		},
		"apply": func(t *rapid.T) { w.apply(vm(t)) },
	}
}
