package gateway

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Kind   string `json:"kind"`
	Run    string `json:"run"`
	// Request is the request ID, which the logs contain too.
	Request string `json:"request,omitempty"`
}

// problemDocument returns the encoded problem document of a refusal.
func problemDocument(refusal *errkind.Error, requestID string) []byte {
	response := refusal.Kind.Response()
	// Encoding a struct of strings and numbers as JSON cannot fail.
	data, _ := json.Marshal(problem{
		Type: "about:blank", Title: response.Title, Status: response.Status,
		Detail: refusal.Detail, Kind: response.Name, Run: refusal.RunState.String(), Request: requestID,
	})
	return data
}

// refuse answers with a problem document.
func refuse(ctx *fasthttp.RequestCtx, refusal *errkind.Error, requestID string) {
	response := refusal.Kind.Response()
	ctx.Response.Reset()
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType("application/problem+json")
	if response.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(response.RetryAfter.Seconds())))
	}
	ctx.SetBody(problemDocument(refusal, requestID))
}
