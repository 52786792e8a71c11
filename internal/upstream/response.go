package upstream

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// classifyResponse determines the outcome of a call from the identity headers and the status
// of its response.
func classifyResponse(call *Call, response *fasthttp.Response) Result {
	result := Result{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Load:        parseLoad(response.Header.Peek(HeaderLoad)),
	}
	if detail, mismatch := checkIdentity(call, &response.Header); detail != "" {
		result.Outcome, result.IdentityMismatch, result.Detail = dispatch.OutcomeFailed, mismatch, detail
		// The load report of such a response may not describe this upstream.
		result.Load = nil
		return result
	}
	status := result.Status
	switch {
	case status >= 200 && status < 300:
		result.Outcome = dispatch.OutcomeSuccess
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		result.Outcome = dispatch.OutcomeOverloaded
	default:
		result.Outcome = dispatch.OutcomeFailed
		result.Permanent = status >= 400 && status < 500 && status != fasthttp.StatusRequestTimeout
	}
	if result.Outcome != dispatch.OutcomeSuccess {
		result.Detail = "status " + strconv.Itoa(status)
	}
	return result
}

// checkIdentity returns why the response does not belong to the call, or "" if it does,
// and whether it carries the identity of another call.
func checkIdentity(call *Call, header *fasthttp.ResponseHeader) (string, bool) {
	for _, check := range [...]struct {
		name string
		want string
	}{
		{HeaderRequest, call.Identity.RequestID},
		{HeaderStage, call.Identity.Stage},
	} {
		echo := header.Peek(check.name)
		if len(echo) == 0 {
			if call.EchoesIdentity {
				return "the answer has no header " + check.name, false
			}
			continue
		}
		if string(echo) != check.want {
			return "the answer belongs to another call", true
		}
	}
	echo := header.Peek(HeaderAttempt)
	switch {
	case len(echo) == 0 && call.EchoesIdentity:
		return "the answer has no header " + HeaderAttempt, false
	case len(echo) > 0 && !equalsInt(echo, call.Identity.Attempt):
		return "the answer belongs to another attempt", true
	}
	return "", false
}

func equalsInt(text []byte, want int) bool {
	var buffer [20]byte
	return string(text) == string(strconv.AppendInt(buffer[:0], int64(want), 10))
}

// parseLoad parses "in_flight=N; state=cold|warm". It returns nil for a missing or
// malformed report, since a wrong report is worse than none.
func parseLoad(header []byte) *dispatch.LoadReport {
	if len(header) == 0 {
		return nil
	}
	report := &dispatch.LoadReport{InFlight: -1}
	for field := range strings.SplitSeq(string(header), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "in_flight":
			number, err := strconv.Atoi(value)
			if err != nil || number < 0 {
				return nil
			}
			report.InFlight = number
		case "state":
			report.Cold, report.Warm = value == "cold", value == "warm"
		}
	}
	if report.InFlight < 0 {
		return nil
	}
	return report
}
