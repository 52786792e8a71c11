package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// TestUnframedResponse guards against losing a whole response that has neither a length nor chunks and
// ends with its connection, and against taking for whole one whose connection was reset, one that
// ended before its body, and a stream that ended early.
func TestUnframedResponse(t *testing.T) {
	for name, test := range map[string]struct {
		version, headers, body string
		stream, reset          bool
		outcome                dispatch.OutcomeKind
	}{
		"whole":                      {"1.1", "", "body", false, false, dispatch.OutcomeSuccess},
		"whole, HTTP/1.0":            {"1.0", "", "body", false, false, dispatch.OutcomeSuccess},
		"whole, close":               {"1.1", "Connection: close\r\n", "body", false, false, dispatch.OutcomeSuccess},
		"reset":                      {"1.1", "", "body", false, true, dispatch.OutcomeReset},
		"reset before the body":      {"1.1", "", "", false, true, dispatch.OutcomeReset},
		"end before the body":        {"1.1", "", "", false, false, dispatch.OutcomeReset},
		"end before the body, close": {"1.1", "Connection: close\r\n", "", false, false, dispatch.OutcomeReset},
		"empty with a length":        {"1.1", "Content-Length: 0\r\nConnection: close\r\n", "", false, false, dispatch.OutcomeSuccess},
		"empty in chunks":            {"1.1", "Transfer-Encoding: chunked\r\nConnection: close\r\n", "0\r\n\r\n", false, false, dispatch.OutcomeSuccess},
		"in chunks":                  {"1.1", "Transfer-Encoding: chunked\r\nConnection: close\r\n", chunk("body") + "0\r\n\r\n", false, false, dispatch.OutcomeSuccess},
		"chunks without end":         {"1.1", "Transfer-Encoding: chunked\r\n", chunk("body"), false, false, dispatch.OutcomeReset},
		"stream":                     {"1.1", "", "data: a\n\ndata: [DONE]\n\n", true, false, dispatch.OutcomeSuccess},
		"stream, HTTP/1.0":           {"1.0", "", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", true, false, dispatch.OutcomeSuccess},
		"stream, reset":              {"1.1", "", "data: a\n\n", true, true, dispatch.OutcomeReset},
		"stream, inside a line":      {"1.1", "", "data: a\n\nda", true, false, dispatch.OutcomeReset},
		"stream, inside an event":    {"1.1", "", "data: a\n\ndata: [DONE]\n", true, false, dispatch.OutcomeReset},
		"stream, after a CRLF line":  {"1.1", "", "data: a\r\n\r\ndata: [DONE]\r\n", true, false, dispatch.OutcomeReset},
		"stream, after an ID":        {"1.1", "", "data: a\n\nid: 2\n", true, false, dispatch.OutcomeReset},
		"stream, after an event":     {"1.1", "", "data: a\n\n", true, false, dispatch.OutcomeReset},
		"stream without events":      {"1.1", "", "", true, false, dispatch.OutcomeReset},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				fmt.Fprintf(c, "HTTP/%s 200 OK\r\nHoist-Request: request-x\r\nHoist-Stage: stage\r\nHoist-Attempt: 1\r\n%s\r\n%s",
					test.version, test.headers, test.body)
				if test.reset {
					_ = c.(*net.TCPConn).SetLinger(0) // Fails only if the connection is closed already.
				}
				return false
			})
			call := s.call("x")
			call.Stream, call.OnEvent = test.stream, func([]byte, bool) {}
			client := NewClient(testOptions())
			for range 2 {
				result := client.Do(&CancelHandle{}, call)
				expectOutcome(t, result, test.outcome)
				if strings.HasPrefix(name, "whole") && string(result.Body) != test.body {
					t.Errorf("body %q, expected %q", result.Body, test.body)
				}
			}
			if n := s.connections.Load(); n != 2 {
				t.Errorf("%d connections for two calls, expected 2", n)
			}
		})
	}
}
