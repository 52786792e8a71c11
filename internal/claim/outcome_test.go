package claim

import (
	"math"
	"testing"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// TestOutcomeOfPeer guards against a result of another VM that reaches the caller although its status is
// invalid: the HTTP server sends the status 0 as 200.
func TestOutcomeOfPeer(t *testing.T) {
	message := func(status uint32) *hoistv1.OutcomeResponse {
		return &hoistv1.OutcomeResponse{State: hoistv1.OutcomeState_OUTCOME_STATE_RESULT, Status: status, ContentType: "text/plain", Body: []byte("b")}
	}
	for _, status := range []uint32{0, 1, 99, 100, 199, 600, 999, 1 << 16, math.MaxUint32} {
		if outcome, result := toOutcome(message(status)); outcome != keeper.OutcomeUnknown || result != nil {
			t.Errorf("status %d: outcome %v, result %v", status, outcome, result)
		}
	}
	for _, status := range []uint32{200, 207, 404, 599} {
		if outcome, result := toOutcome(message(status)); outcome != keeper.OutcomeResult || result.Status != int(status) || string(result.Body) != "b" {
			t.Errorf("status %d: outcome %v, result %v", status, outcome, result)
		}
	}
}
