package pipeline_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// A run with two stages: the driver carries out each action and reports the result to the run.
func ExampleRun() {
	pools := &table.Pools{Pools: []table.Pool{
		{Name: "encoders", Upstreams: []table.Upstream{{Name: "encoder-1"}}},
		{Name: "engines", Upstreams: []table.Upstream{{Name: "engine-1"}}},
	}}
	route := table.Route{Name: "ask", Answer: table.AnswerWhole, Stages: []table.Stage{
		{Name: "encode", Pools: []string{"encoders"}, Idempotent: true, Input: table.InputPrevious},
		{Name: "generate", Pools: []string{"engines"}, Idempotent: true, Input: table.InputPrevious},
	}}
	tables := table.NewTables(&table.Routes{Routes: []table.Route{route}}, pools)
	now := clock.Instant(time.Hour)
	run := pipeline.New(pipeline.Config{
		RequestID: "r1", Route: tables.Route("ask"), Tables: tables, Deadline: now.Add(time.Second), Body: []byte("question"),
	})
	for actions := run.Start(now); len(actions) > 0; {
		var next []pipeline.Action
		for _, action := range actions {
			switch action.Kind {
			case pipeline.ActionSelect:
				upstream := &tables.Pool(action.Selection.Pool).Upstreams[0]
				next = append(next, run.Selected(now, action.Call, dispatch.Choice{Ticket: 1, Upstream: upstream})...)
			case pipeline.ActionCall:
				fmt.Printf("%s at %s: %s\n", action.Request.Identity.Stage, action.Request.Upstream.Name, action.Request.Body)
				next = append(next, run.Ended(now, pipeline.CallEnd{
					Call: action.Call, Identity: action.Request.Identity, Outcome: dispatch.OutcomeSuccess,
					Body: append([]byte("result of "), action.Request.Body...),
				})...)
			case pipeline.ActionFinish:
				fmt.Printf("answer: %s\n", action.Result.Body)
			}
		}
		actions = next
	}
	// Output:
	// encode at encoder-1: question
	// generate at engine-1: result of question
	// answer: result of result of question
}
