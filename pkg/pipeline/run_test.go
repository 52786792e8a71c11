package pipeline

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// world drives one run against simulated upstreams and a simulated Core.
type world struct {
	t       *rapid.T
	run     *Run
	now     clock.Instant
	tickets map[dispatch.Ticket]CallID
	queued  []dispatch.Ticket
	next    dispatch.Ticket
	calls   []Action
	old     []End
	emitted []string
	result  *Result
	refusal *errkind.Error
	ends    int
	// unsafeSent counts non-idempotent calls of which a byte may have reached an upstream.
	unsafeSent  int
	unsafeCalls map[string]int
	config      Config
}

const tokensPerStream = 6

func testTables(t *rapid.T) *table.Tables {
	pools := &table.Pools{}
	var names []string
	for i := range 4 {
		pool := table.Pool{Name: fmt.Sprintf("pool-%d", i), Features: table.Features{Resume: rapid.Bool().Draw(t, "resume")}}
		for j := range 3 {
			pool.Upstreams = append(pool.Upstreams, table.Upstream{Name: fmt.Sprintf("%s-%d", pool.Name, j)})
		}
		pools.Pools = append(pools.Pools, pool)
		names = append(names, pool.Name)
	}
	route := table.Route{Name: "route", Answer: table.AnswerWhole}
	if rapid.Bool().Draw(t, "stream") {
		route.Answer = table.AnswerStream
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
		stage := table.Stage{
			Name: fmt.Sprintf("stage-%d", i), Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0,
			Pools: names[:rapid.IntRange(1, 3).Draw(t, "pools")], Input: table.InputPrevious,
			Timeout: 100 * time.Millisecond,
		}
		if rapid.Bool().Draw(t, "both") {
			stage.Input = table.InputBoth
		}
		route.Stages = append(route.Stages, stage)
	}
	return table.Join(&table.Routes{Routes: []table.Route{route}}, pools)
}

// compute is what a pool answers to an input; it depends on everything that matters.
func compute(stage, pool string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s", stage, pool, body))
	return []byte(`"` + hex.EncodeToString(sum[:8]) + `"`)
}

// expected is the answer of the route computed without any failure.
func expected(config Config) []byte {
	request := payload{config.ContentType, config.Body}
	input := request
	for _, stage := range config.Route.Stages {
		if stage.Input == table.InputBoth {
			input = bothInput(request, input)
		}
		var results []payload
		for _, pool := range stage.Pools {
			results = append(results, payload{contentTypeJSON, compute(stage.Name, pool, input.body)})
		}
		input = results[0]
		if len(results) > 1 {
			input = joinResults(stage.Pools, results)
		}
	}
	return input.body
}

func (w *world) perform(actions []Action) {
	// The slice is only valid until the next event.
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case ActionSelect:
			w.choose(action)
		case ActionCall:
			w.begin(action)
		case ActionDone, ActionAbandon:
			if _, held := w.tickets[action.Ticket]; !held {
				w.t.Fatalf("ticket %d released twice or never given", action.Ticket)
			}
			delete(w.tickets, action.Ticket)
		case ActionEmit:
			w.emitted = append(w.emitted, string(action.Data))
		case ActionFinish:
			w.ends++
			w.result, w.refusal = action.Result, action.Refusal
		}
	}
}

func (w *world) choose(action Action) {
	if action.Selection.Extra && !w.config.Route.Stages[action.Selection.Stage].Idempotent {
		w.t.Fatalf("G6: a non-idempotent stage is retried or hedged")
	}
	draw := rapid.IntRange(0, 9).Draw(w.t, "choice")
	if draw == 0 {
		w.perform(w.run.Selected(w.now, action.Call, dispatch.Choice{Refusal: errkind.New(errkind.NoUpstream, "")}))
		return
	}
	w.next++
	w.tickets[w.next] = action.Call
	if draw < 3 {
		w.queued = append(w.queued, w.next)
		w.perform(w.run.Selected(w.now, action.Call, dispatch.Choice{Ticket: w.next, Queued: true}))
		return
	}
	w.perform(w.run.Selected(w.now, action.Call, w.grant(w.next, action.Selection.Pool)))
}

func (w *world) grant(ticket dispatch.Ticket, pool string) dispatch.Choice {
	upstreams := w.config.Tables.Pool(pool).Upstreams
	return dispatch.Choice{Ticket: ticket, Upstream: &upstreams[rapid.IntRange(0, 2).Draw(w.t, "upstream")]}
}

func (w *world) begin(action Action) {
	w.calls = append(w.calls, action)
	if !w.config.Route.Stages[w.run.stage].Idempotent {
		key := action.Request.Identity.Stage + "/" + action.Request.Pool
		w.unsafeCalls[key]++
		w.unsafeSent++
		if w.unsafeCalls[key] > 1 {
			w.t.Fatalf("G6: two non-idempotent calls of %s", key)
		}
	}
}

// end finishes a random running call with a random outcome.
func (w *world) end() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "ends")
	action := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	request := action.Request
	outcome := rapid.SampledFrom([]dispatch.OutcomeKind{
		dispatch.OutcomeSuccess, dispatch.OutcomeSuccess, dispatch.OutcomeSuccess, dispatch.OutcomeSuccess,
		dispatch.OutcomeRefused, dispatch.OutcomeOverloaded, dispatch.OutcomeFailed, dispatch.OutcomeDied, dispatch.OutcomeReset,
		dispatch.OutcomeTimeout, dispatch.OutcomeSilent, dispatch.OutcomeCancelled,
	}).Draw(w.t, "outcome")
	unsent := outcome == dispatch.OutcomeRefused || outcome == dispatch.OutcomeCancelled
	stage := w.stageOf(request.Identity.Stage)
	if !stage.Idempotent && unsent {
		w.unsafeCalls[request.Identity.Stage+"/"+request.Pool]--
		w.unsafeSent--
	}
	end := End{
		Call: action.Call, Identity: request.Identity, Outcome: outcome, ContentType: contentTypeJSON,
		Unsent: unsent,
		Body:   compute(request.Identity.Stage, request.Pool, request.Body),
	}
	if request.Stream && !unsent {
		w.stream(action, outcome)
		end.Body = nil
	}
	w.old = append(w.old, end)
	w.perform(w.run.Ended(w.now, end))
}

func (w *world) stream(action Action, outcome dispatch.OutcomeKind) {
	until := tokensPerStream
	if outcome != dispatch.OutcomeSuccess {
		until = rapid.IntRange(action.Request.ResumeFrom, tokensPerStream-1).Draw(w.t, "breaks at")
	}
	for i := action.Request.ResumeFrom; i < until; i++ {
		w.perform(w.run.Token(w.now, action.Call, action.Request.Identity, fmt.Appendf(nil, "token-%d", i), true))
	}
}

func (w *world) stageOf(name string) *table.Stage {
	for i := range w.config.Route.Stages {
		if w.config.Route.Stages[i].Name == name {
			return &w.config.Route.Stages[i]
		}
	}
	w.t.Fatalf("no stage %s", name)
	return nil
}

// disturb injects events that a network with repeats and reordering can produce.
func (w *world) disturb() {
	switch rapid.IntRange(0, 4).Draw(w.t, "disturbance") {
	case 0:
		if len(w.old) > 0 {
			again := rapid.SampledFrom(w.old).Draw(w.t, "again")
			again.Body = []byte(`"repeated"`)
			w.perform(w.run.Ended(w.now, again))
		}
	case 1:
		if len(w.calls) > 0 {
			id := w.calls[0].Call
			w.perform(w.run.Ended(w.now, End{Call: id, Identity: Identity{Request: "other"}, Body: []byte(`"foreign"`)}))
			w.perform(w.run.Token(w.now, id, Identity{Request: "other"}, []byte("foreign"), true))
		}
	case 2:
		if len(w.queued) > 0 {
			ticket := w.queued[0]
			w.queued = w.queued[1:]
			if id, held := w.tickets[ticket]; held {
				pool := w.run.branches[w.run.calls[id].branch].pool.Name
				w.perform(w.run.Selected(w.now, id, w.grant(ticket, pool)))
			}
		}
	case 3:
		if len(w.calls) > 0 && w.calls[0].Hedge {
			w.perform(w.run.HedgeDue(w.now, w.calls[0].Call))
		}
	case 4:
		if rapid.IntRange(0, 9).Draw(w.t, "late") == 0 {
			w.now = w.config.Deadline
			w.perform(w.run.Expire(w.now))
		}
	}
}

// TestRunKeepsGuarantees drives random routes through failures, repeats, hedges and
// queues and checks G1, G4, G5 and G6 and that no reservation leaks.
func TestRunKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := testTables(t)
		config := Config{
			Request: "request", Route: tables.Route("route"), Tables: tables, Workspace: "w",
			Deadline: clock.Instant(time.Second), ContentType: contentTypeJSON, Body: []byte(`"body"`),
		}
		w := &world{
			t: t, run: New(config), config: config,
			tickets: map[dispatch.Ticket]CallID{}, unsafeCalls: map[string]int{},
		}
		w.perform(w.run.Start(w.now))
		for range 300 {
			if w.run.Idle() {
				break
			}
			w.disturb()
			w.end()
			if len(w.calls) == 0 && !w.run.Idle() && len(w.queued) == 0 {
				w.now = config.Deadline
				w.perform(w.run.Expire(w.now))
			}
		}
		w.check()
	})
}

func (w *world) check() {
	if !w.run.Idle() || w.ends != 1 {
		w.t.Fatalf("not idle or %d ends: %+v", w.ends, w.run.calls)
	}
	if len(w.tickets) != 0 {
		w.t.Fatalf("reservations leaked: %v", w.tickets)
	}
	for i, token := range w.emitted {
		if token != fmt.Sprintf("token-%d", i) {
			w.t.Fatalf("G4: token %d is %s", i, token)
		}
	}
	switch {
	case w.result != nil && w.result.Streamed:
		if len(w.emitted) != tokensPerStream {
			w.t.Fatalf("G4: the stream has %d tokens", len(w.emitted))
		}
	case w.result != nil:
		if diff := cmp.Diff(string(expected(w.config)), string(w.result.Body)); diff != "" {
			w.t.Fatalf("G1: wrong answer: %s", diff)
		}
	case w.refusal.RunState == errkind.NotRun && w.unsafeSent > 0:
		w.t.Fatalf("G5: not_run after %d non-idempotent calls", w.unsafeSent)
	}
	if w.unsafeSent > 0 && !w.run.UnsafeSent() {
		w.t.Fatalf("G6: the claim would be released after %d non-idempotent calls", w.unsafeSent)
	}
}
