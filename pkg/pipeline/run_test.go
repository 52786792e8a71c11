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

// simulation drives one run against simulated upstreams and a simulated dispatch.Core.
type simulation struct {
	t          *rapid.T
	run        *Run
	now        clock.Instant
	tickets    map[dispatch.Ticket]CallID
	queued     []dispatch.Ticket
	lastTicket dispatch.Ticket
	calls      []Action
	pastEnds   []CallEnd
	emitted    []string
	result     *Result
	refusal    *errkind.Error
	finishes   int
	// nonIdempotentSent counts non-idempotent calls of which a byte may have reached an upstream.
	nonIdempotentSent  int
	nonIdempotentCalls map[string]int
	config             Config
}

const tokensPerStream = 6

func randomTables(t *rapid.T) *table.Tables {
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
	return table.NewTables(&table.Routes{Routes: []table.Route{route}}, pools)
}

// poolAnswer returns a pool's answer to an input. It is a hash of the stage, the pool and the
// input, so that a wrong one changes the answer.
func poolAnswer(stage, pool string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s", stage, pool, body))
	return []byte(`"` + hex.EncodeToString(sum[:8]) + `"`)
}

// expectedAnswer returns the answer of the route without any failures.
func expectedAnswer(config Config) []byte {
	request := payload{config.ContentType, config.Body}
	input := request
	for _, stage := range config.Route.Stages {
		if stage.Input == table.InputBoth {
			input = requestAndPrevious(request, input)
		}
		var results []payload
		for _, pool := range stage.Pools {
			results = append(results, payload{contentTypeJSON, poolAnswer(stage.Name, pool, input.body)})
		}
		input = results[0]
		if len(results) > 1 {
			input = joinResults(stage.Pools, results)
		}
	}
	return input.body
}

func (s *simulation) perform(actions []Action) {
	// The slice is valid only until the next event.
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case ActionSelect:
			s.selectUpstream(action)
		case ActionCall:
			s.startCall(action)
		case ActionDone, ActionCancelQueued:
			if _, open := s.tickets[action.Ticket]; !open {
				s.t.Fatalf("ticket %d released twice or never issued", action.Ticket)
			}
			delete(s.tickets, action.Ticket)
		case ActionEmit:
			s.emitted = append(s.emitted, string(action.Data))
		case ActionFinish:
			s.finishes++
			s.result, s.refusal = action.Result, action.Refusal
		}
	}
}

func (s *simulation) selectUpstream(action Action) {
	if action.Selection.Extra && !s.config.Route.Stages[action.Selection.Stage].Idempotent {
		s.t.Fatalf("guarantee G6: a non-idempotent stage is retried or hedged")
	}
	draw := rapid.IntRange(0, 9).Draw(s.t, "choice")
	if draw == 0 {
		s.perform(s.run.Selected(s.now, action.Call, dispatch.Choice{Refusal: errkind.New(errkind.NoUpstream, "")}))
		return
	}
	s.lastTicket++
	s.tickets[s.lastTicket] = action.Call
	if draw < 3 {
		s.queued = append(s.queued, s.lastTicket)
		s.perform(s.run.Selected(s.now, action.Call, dispatch.Choice{Ticket: s.lastTicket, Queued: true}))
		return
	}
	s.perform(s.run.Selected(s.now, action.Call, s.choice(s.lastTicket, action.Selection.Pool)))
}

func (s *simulation) choice(ticket dispatch.Ticket, pool string) dispatch.Choice {
	upstreams := s.config.Tables.Pool(pool).Upstreams
	return dispatch.Choice{Ticket: ticket, Upstream: &upstreams[rapid.IntRange(0, 2).Draw(s.t, "upstream")]}
}

func (s *simulation) startCall(action Action) {
	s.calls = append(s.calls, action)
	if !s.config.Route.Stages[s.run.stage].Idempotent {
		key := action.Request.Identity.Stage + "/" + action.Request.Pool
		s.nonIdempotentCalls[key]++
		s.nonIdempotentSent++
		if s.nonIdempotentCalls[key] > 1 {
			s.t.Fatalf("guarantee G6: two non-idempotent calls of %s", key)
		}
	}
}

// endCall ends a random running call with a random outcome.
func (s *simulation) endCall() {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	action := s.calls[i]
	s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	request := action.Request
	outcome := rapid.SampledFrom([]dispatch.OutcomeKind{
		dispatch.OutcomeSuccess, dispatch.OutcomeSuccess, dispatch.OutcomeSuccess, dispatch.OutcomeSuccess,
		dispatch.OutcomeRefused, dispatch.OutcomeOverloaded, dispatch.OutcomeFailed, dispatch.OutcomeDied, dispatch.OutcomeReset,
		dispatch.OutcomeTimeout, dispatch.OutcomeSilent, dispatch.OutcomeCancelled,
	}).Draw(s.t, "outcome")
	unsent := outcome == dispatch.OutcomeRefused || outcome == dispatch.OutcomeCancelled
	stage := s.stageByName(request.Identity.Stage)
	if !stage.Idempotent && unsent {
		s.nonIdempotentCalls[request.Identity.Stage+"/"+request.Pool]--
		s.nonIdempotentSent--
	}
	end := CallEnd{
		Call: action.Call, Identity: request.Identity, Outcome: outcome, ContentType: contentTypeJSON,
		Unsent: unsent,
		Body:   poolAnswer(request.Identity.Stage, request.Pool, request.Body),
	}
	if request.Stream && !unsent {
		s.streamTokens(action, outcome)
		end.Body = nil
	}
	s.pastEnds = append(s.pastEnds, end)
	s.perform(s.run.Ended(s.now, end))
}

func (s *simulation) streamTokens(action Action, outcome dispatch.OutcomeKind) {
	until := tokensPerStream
	if outcome != dispatch.OutcomeSuccess {
		until = rapid.IntRange(action.Request.ResumeFrom, tokensPerStream-1).Draw(s.t, "breaks at")
	}
	for i := action.Request.ResumeFrom; i < until; i++ {
		s.perform(s.run.StreamEvent(s.now, action.Call, action.Request.Identity, fmt.Appendf(nil, "token-%d", i), true))
	}
}

func (s *simulation) stageByName(name string) *table.Stage {
	for i := range s.config.Route.Stages {
		if s.config.Route.Stages[i].Name == name {
			return &s.config.Route.Stages[i]
		}
	}
	s.t.Fatalf("no stage %s", name)
	return nil
}

// injectEvent injects a repeated, foreign or late event, a grant, a hedge or the deadline.
func (s *simulation) injectEvent() {
	switch rapid.IntRange(0, 4).Draw(s.t, "event") {
	case 0:
		if len(s.pastEnds) > 0 {
			repeated := rapid.SampledFrom(s.pastEnds).Draw(s.t, "repeated")
			repeated.Body = []byte(`"repeated"`)
			s.perform(s.run.Ended(s.now, repeated))
		}
	case 1:
		if len(s.calls) > 0 {
			id := s.calls[0].Call
			s.perform(s.run.Ended(s.now, CallEnd{Call: id, Identity: Identity{RequestID: "other"}, Body: []byte(`"foreign"`)}))
			s.perform(s.run.StreamEvent(s.now, id, Identity{RequestID: "other"}, []byte("foreign"), true))
		}
	case 2:
		if len(s.queued) > 0 {
			ticket := s.queued[0]
			s.queued = s.queued[1:]
			if id, open := s.tickets[ticket]; open {
				pool := s.run.branches[s.run.calls[id].branch].pool.Name
				s.perform(s.run.Selected(s.now, id, s.choice(ticket, pool)))
			}
		}
	case 3:
		if len(s.calls) > 0 && s.calls[0].Hedge {
			s.perform(s.run.HedgeDue(s.now, s.calls[0].Call))
		}
	case 4:
		if rapid.IntRange(0, 9).Draw(s.t, "late") == 0 {
			s.now = s.config.Deadline
			s.perform(s.run.Expire(s.now))
		}
	}
}

// TestRunKeepsGuarantees drives random routes through failures, repeated events, hedges
// and queued calls. It checks guarantees G1, G4, G5 and G6 and that no reservation leaks.
func TestRunKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := randomTables(t)
		config := Config{
			RequestID: "request", Route: tables.Route("route"), Tables: tables, Workspace: "w",
			Deadline: clock.Instant(time.Second), ContentType: contentTypeJSON, Body: []byte(`"body"`),
		}
		s := &simulation{
			t: t, run: New(config), config: config,
			tickets: map[dispatch.Ticket]CallID{}, nonIdempotentCalls: map[string]int{},
		}
		s.perform(s.run.Start(s.now))
		for range 300 {
			if s.run.Idle() {
				break
			}
			s.injectEvent()
			s.endCall()
			if len(s.calls) == 0 && !s.run.Idle() && len(s.queued) == 0 {
				s.now = config.Deadline
				s.perform(s.run.Expire(s.now))
			}
		}
		s.checkGuarantees()
	})
}

func (s *simulation) checkGuarantees() {
	if !s.run.Idle() || s.finishes != 1 {
		s.t.Fatalf("not idle or finished %d times: %+v", s.finishes, s.run.calls)
	}
	if len(s.tickets) != 0 {
		s.t.Fatalf("reservations leaked: %v", s.tickets)
	}
	for i, token := range s.emitted {
		if token != fmt.Sprintf("token-%d", i) {
			s.t.Fatalf("guarantee G4: token %d is %s", i, token)
		}
	}
	switch {
	case s.result != nil && s.result.Streamed:
		if len(s.emitted) != tokensPerStream {
			s.t.Fatalf("guarantee G4: the stream has %d tokens", len(s.emitted))
		}
	case s.result != nil:
		if diff := cmp.Diff(string(expectedAnswer(s.config)), string(s.result.Body)); diff != "" {
			s.t.Fatalf("guarantee G1: wrong answer: %s", diff)
		}
	case s.refusal.RunState == errkind.NotRun && s.nonIdempotentSent > 0:
		s.t.Fatalf("guarantee G5: not_run after %d non-idempotent calls", s.nonIdempotentSent)
	}
	if s.nonIdempotentSent > 0 && !s.run.NonIdempotentSent() {
		s.t.Fatalf("guarantee G6: the claim would be released after %d non-idempotent calls", s.nonIdempotentSent)
	}
}
