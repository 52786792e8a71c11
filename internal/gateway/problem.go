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
	// Request is the identity of the request in logs.
	Request string `json:"request,omitempty"`
}

// document returns the problem document of a refusal.
func document(err *errkind.Error, request string) []byte {
	answer := err.Kind.Response()
	// A struct of strings and numbers always has a JSON encoding.
	data, _ := json.Marshal(problem{
		Type: "about:blank", Title: answer.Title, Status: answer.Status,
		Detail: err.Detail, Kind: answer.Name, Run: err.RunState.String(), Request: request,
	})
	return data
}

// refuse answers with a problem document.
func refuse(ctx *fasthttp.RequestCtx, err *errkind.Error, request string) {
	answer := err.Kind.Response()
	ctx.Response.Reset()
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType("application/problem+json")
	if answer.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(answer.RetryAfter.Seconds())))
	}
	ctx.SetBody(document(err, request))
}
