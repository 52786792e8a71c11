package pipeline

import (
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// TestDeadlineRefusalStatesWhetherCallWasSent guards against refusing a request that only
// waited for an upstream with "unknown", after which its caller cannot safely send it again,
// and against refusing one whose call may still be running with "not_run".
func TestDeadlineRefusalStatesWhetherCallWasSent(t *testing.T) {
	const deadline = clock.Instant(1000)
	pools := &table.Pools{Pools: []table.Pool{{Name: "pool", Upstreams: []table.Upstream{{Name: "pool-1"}}}}}
	route := table.Route{Name: "route", Answer: table.AnswerWhole, Stages: []table.Stage{
		{Name: "stage", Pools: []string{"pool"}, Idempotent: true, Input: table.InputPrevious},
	}}
	tables := table.NewTables(&table.Routes{Routes: []table.Route{route}}, pools)
	for _, test := range []struct {
		name   string
		choice dispatch.Choice
		run    errkind.RunState
	}{
		{"queued", dispatch.Choice{Ticket: 1, Queued: true}, errkind.NotRun},
		{"sent", dispatch.Choice{Ticket: 1, Upstream: &pools.Pools[0].Upstreams[0]}, errkind.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Config{RequestID: "request", Route: &route, Tables: tables, Deadline: deadline})
			selected := r.Start(0)[0].Call
			r.Selected(0, selected, test.choice)
			actions := r.Expire(deadline)
			if len(actions) == 0 || actions[0].Refusal == nil {
				t.Fatalf("no refusal at the deadline: %+v", actions)
			}
			if got := actions[0].Refusal.RunState; got != test.run {
				t.Errorf("run state %v, want %v", got, test.run)
			}
		})
	}
}
