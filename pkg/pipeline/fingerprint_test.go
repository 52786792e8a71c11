package pipeline

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// secondFingerprint runs the first stage with an answer and returns the fingerprint of the
// second one.
func secondFingerprint(t *testing.T, body, answer string) dispatch.Fingerprint {
	t.Helper()
	pools := &table.Pools{Pools: []table.Pool{
		{Name: "retrievers", Upstreams: []table.Upstream{{Name: "r1"}}},
		{Name: "engines", Upstreams: []table.Upstream{{Name: "e1"}}},
	}}
	route := table.Route{Name: "ask", Answer: table.AnswerWhole, Stages: []table.Stage{
		{Name: "retrieve", Pools: []string{"retrievers"}, Idempotent: true, Input: table.InputPrevious},
		{Name: "generate", Pools: []string{"engines"}, Idempotent: true, Input: table.InputBoth},
	}}
	tables := table.Join(&table.Routes{Routes: []table.Route{route}}, pools)
	now := clock.Instant(time.Hour)
	run := New(Config{Request: "r", Route: tables.Route("ask"), Tables: tables, Deadline: now.Add(time.Second), Body: []byte(body)})
	first := run.Start(now)[0]
	upstream := &tables.Pool("retrievers").Upstreams[0]
	call := run.Selected(now, first.Call, dispatch.Choice{Ticket: 1, Upstream: upstream})[0]
	end := End{Call: call.Call, Identity: call.Request.Identity, Outcome: dispatch.OutcomeSuccess, Body: []byte(answer)}
	for _, action := range run.Ended(now, end) {
		if action.Kind == ActionSelect {
			return action.Selection.Fingerprint
		}
	}
	t.Fatal("the second stage did not begin")
	return dispatch.Fingerprint{}
}

// TestFingerprintIsTheCallers guards against a request that crashes upstreams and is not
// known again when it is sent once more, since an earlier stage answered differently: each
// gateway then lets it crash two more.
func TestFingerprintIsTheCallers(t *testing.T) {
	killer := secondFingerprint(t, `{"id":"killer"}`, `"from retriever 1"`)
	if again := secondFingerprint(t, `{"id":"killer"}`, `"from retriever 2"`); again != killer {
		t.Error("the same request has another fingerprint after another answer of an earlier stage")
	}
	if other := secondFingerprint(t, `{"id":"other"}`, `"from retriever 1"`); other == killer {
		t.Error("two requests have the same fingerprint")
	}
}
