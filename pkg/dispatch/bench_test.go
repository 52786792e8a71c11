package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// benchCore returns a Core with one pool of warm upstreams.
func benchCore(upstreams, workspaces int) (*Core, Selection, clock.Instant) {
	now := clock.Instant(time.Hour)
	p := table.Pool{Name: "p", Capacity: table.Capacity{Cold: 2, Warm: 64, WarmAfter: 1}}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, table.Upstream{Name: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%3)})
	}
	routes := &table.Routes{Routes: []table.Route{{Name: "r", Stages: []table.Stage{{Name: "s", Pools: []string{"p"}}}}}}
	for i := range workspaces {
		routes.Workspaces = append(routes.Workspaces, table.Workspace{Name: fmt.Sprint("w", i), Weight: 1 + i%4})
	}
	tables := table.NewTables(routes, &table.Pools{Pools: []table.Pool{p}})
	core := New(Options{VM: "vm0", Zone: "z0", Seed: 1})
	snapshot := Snapshot{Tables: tables, VMs: []table.VM{{Name: "vm0", Zone: "z0"}, {Name: "vm1", Zone: "z1"}}}
	for i := range upstreams {
		snapshot.Warmth = append(snapshot.Warmth, WarmthReport{
			Upstream: fmt.Sprint("u", i), Reporter: "vm1", Sequence: 1, Successes: 9, Observed: now,
		})
	}
	core.Apply(now, snapshot)
	return core, Selection{
		Route: tables.Route("r"), Pool: "p", Deadline: now.Add(time.Minute), Fingerprint: Fingerprint{1},
	}, now
}

func runSizes(b *testing.B, run func(b *testing.B, upstreams, workspaces int)) {
	for _, upstreams := range []int{36, 600} {
		for _, workspaces := range []int{5, 3000} {
			b.Run(fmt.Sprintf("upstreams=%d/workspaces=%d", upstreams, workspaces), func(b *testing.B) {
				b.ReportAllocs()
				run(b, upstreams, workspaces)
			})
		}
	}
}

func BenchmarkSelectDone(b *testing.B) {
	runSizes(b, func(b *testing.B, upstreams, workspaces int) {
		core, selection, now := benchCore(upstreams, workspaces)
		names := core.snapshot.Tables.Routes.Workspaces
		for i := 0; b.Loop(); i++ {
			selection.Workspace = names[i%len(names)].Name
			selection.Prefix = uint64(i%512) + 1
			choice := core.Select(now, selection)
			if choice.Upstream == nil {
				b.Fatalf("%+v", choice)
			}
			core.Done(now, choice.Ticket, Outcome{Elapsed: time.Millisecond})
		}
	})
}

// BenchmarkSelectDoneBusy measures Select and Done while all but two upstreams are at their limit.
func BenchmarkSelectDoneBusy(b *testing.B) {
	runSizes(b, func(b *testing.B, upstreams, workspaces int) {
		core, selection, now := benchCore(upstreams, workspaces)
		names := core.snapshot.Tables.Routes.Workspaces
		for range upstreams - 2 {
			core.Select(now, selection)
		}
		for i := 0; b.Loop(); i++ {
			selection.Workspace = names[i%len(names)].Name
			choice := core.Select(now, selection)
			core.Done(now, choice.Ticket, Outcome{Kind: OutcomeOverloaded})
		}
	})
}

// BenchmarkQueue measures a Select that waits and is granted by the next Done.
func BenchmarkQueue(b *testing.B) {
	runSizes(b, func(b *testing.B, upstreams, workspaces int) {
		core, selection, now := benchCore(upstreams, workspaces)
		names := core.snapshot.Tables.Routes.Workspaces
		selection.Workspace = names[0].Name
		var last Choice
		for choice := core.Select(now, selection); !choice.Queued; choice = core.Select(now, selection) {
			last = choice
		}
		for i := 0; b.Loop(); i++ {
			selection.Workspace = names[i%len(names)].Name
			if !core.Select(now, selection).Queued {
				b.Fatal("the attempt was not queued")
			}
			grants := core.Done(now, last.Ticket, Outcome{Kind: OutcomeOverloaded}).Grants
			last = grants[0]
		}
	})
}

func BenchmarkAdmitLeave(b *testing.B) {
	runSizes(b, func(b *testing.B, upstreams, workspaces int) {
		core, selection, now := benchCore(upstreams, workspaces)
		names := core.snapshot.Tables.Routes.Workspaces
		for i := 0; b.Loop(); i++ {
			arrival := Admission{Route: selection.Route, Workspace: names[i%len(names)].Name, Deadline: selection.Deadline}
			ticket, refusal := core.Admit(now, arrival)
			if refusal != nil {
				b.Fatal(refusal)
			}
			core.Leave(now, ticket)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	runSizes(b, func(b *testing.B, upstreams, workspaces int) {
		core, _, now := benchCore(upstreams, workspaces)
		for b.Loop() {
			core.Tick(now)
		}
	})
}
