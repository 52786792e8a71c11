package errkind

import "testing"

// TestEveryKindHasResponse guards against a kind without a response entry, which
// callers would see as status 0.
func TestEveryKindHasResponse(t *testing.T) {
	names := map[string]Kind{}
	for _, kind := range All() {
		response := kind.Response()
		if response.Name == "" || response.Title == "" || response.Status < 400 || response.Status > 599 {
			t.Errorf("kind %d has an incomplete response: %+v", kind, response)
		}
		if other, found := names[response.Name]; found {
			t.Errorf("kinds %d and %d share the name %s", kind, other, response.Name)
		}
		names[response.Name] = kind
	}
}

// TestRaiseNeverLowers guards against an error that reports not_run although
// a call was already sent to an upstream.
func TestRaiseNeverLowers(t *testing.T) {
	err := New(PoisonRequest, "").RaiseRunState(NotRun)
	if err.RunState != Ran {
		t.Errorf("run state lowered to %v", err.RunState)
	}
}
