package standin

import "testing"

// TestCheckStream guards against a load generator that accepts a faulty stream as correct;
// scenario scripts could then not detect broken streams.
func TestCheckStream(t *testing.T) {
	const first, second = "data: {\"index\":0,\"id\":\"x\"}\n\n", "data: {\"index\":1,\"id\":\"x\"}\n\n"
	const done, problem = "data: [DONE]\n\n", "event: error\ndata: {\"kind\":\"k\"}\n\n"
	for _, test := range []struct {
		name, body       string
		problem, correct bool
	}{
		{"complete", first + second + done, false, true},
		{"problem", first + problem, true, true},
		{"truncated", first + second, false, false},
		{"empty", "", false, false},
		{"repeated token", first + first + second + done, false, false},
		{"lost token", second + done, false, false},
		{"token of another request", first + "data: {\"index\":1,\"id\":\"y\"}\n\n" + done, false, false},
		{"repeated end", first + done + done, false, false},
		{"token after the end", first + done + second, false, false},
		{"token after a problem", first + problem + second, false, false},
		{"problem after the end", first + done + problem, false, false},
	} {
		problem, err := checkStream([]byte(test.body), "x")
		if (err == nil) != test.correct || (problem != nil) != test.problem {
			t.Errorf("%s: problem %q, error %v", test.name, problem, err)
		}
	}
}
