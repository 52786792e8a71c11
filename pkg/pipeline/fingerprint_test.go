package pipeline

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// secondStageFingerprint completes the first stage with the answer and returns the fingerprint
// of the request at the second stage.
func secondStageFingerprint(t *testing.T, body, answer string) dispatch.Fingerprint {
	t.Helper()
	pools := &table.Pools{Pools: []table.Pool{
		{Name: "retrievers", Upstreams: []table.Upstream{{Name: "r1"}}},
		{Name: "engines", Upstreams: []table.Upstream{{Name: "e1"}}},
	}}
	route := table.Route{Name: "ask", Answer: table.AnswerWhole, Stages: []table.Stage{
		{Name: "retrieve", Pools: []string{"retrievers"}, Idempotent: true, Input: table.InputPrevious},
		{Name: "generate", Pools: []string{"engines"}, Idempotent: true, Input: table.InputBoth},
	}}
	tables := table.NewTables(&table.Routes{Routes: []table.Route{route}}, pools)
	now := clock.Instant(time.Hour)
	run := New(Config{RequestID: "r", Route: tables.Route("ask"), Tables: tables, Deadline: now.Add(time.Second), Body: []byte(body)})
	first := run.Start(now)[0]
	upstream := &tables.Pool("retrievers").Upstreams[0]
	call := run.Selected(now, first.Call, dispatch.Choice{Ticket: 1, Upstream: upstream})[0]
	end := CallEnd{Call: call.Call, Identity: call.Request.Identity, Outcome: dispatch.OutcomeSuccess, Body: []byte(answer)}
	for _, action := range run.Ended(now, end) {
		if action.Kind == ActionSelect {
			return action.Selection.Fingerprint
		}
	}
	t.Fatal("the second stage did not start")
	return dispatch.Fingerprint{}
}

// TestFingerprintIgnoresEarlierAnswers guards against a request that crashes upstreams and gets
// another fingerprint when it is sent again, because an earlier stage answered differently.
// Each gateway would then let it crash two more upstreams.
func TestFingerprintIgnoresEarlierAnswers(t *testing.T) {
	original := secondStageFingerprint(t, `{"id":"crashing"}`, `"from retriever 1"`)
	if resent := secondStageFingerprint(t, `{"id":"crashing"}`, `"from retriever 2"`); resent != original {
		t.Error("the fingerprint changes with the answer of an earlier stage")
	}
	if other := secondStageFingerprint(t, `{"id":"other"}`, `"from retriever 1"`); other == original {
		t.Error("different requests have the same fingerprint")
	}
}
