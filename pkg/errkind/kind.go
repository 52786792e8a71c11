// Package errkind defines all error kinds that callers can see and how each is
// reported over HTTP.
package errkind

import "time"

// Kind identifies the reason for which a request is refused or fails.
type Kind uint8

// All error kinds.
const (
	BadRequest Kind = iota
	UnknownRoute
	UnknownWorkspace
	BodyTooLarge
	WorkspaceLimit
	Overloaded
	DeadlineUnreachable
	DeadlineExceeded
	NoUpstream
	UpstreamFailed
	StreamBroken
	PoisonRequest
	PoisonPrompt
	ClaimUnavailable
	ClaimHeld
	ResultExpired
	Draining
	NotConfigured
	Internal
	Unauthenticated
	TablesOutdated
	StreamOriginUnknown

	kindCount
)

// Response describes how a kind is reported to callers.
type Response struct {
	// Name is the stable identifier used in problem documents, logs and metrics.
	Name string
	// Title is a short human-readable summary.
	Title string
	// Status is the HTTP status code.
	Status int
	// RunState is the default run state; an error may raise it but never lowers it.
	RunState RunState
	// RetryAfter is the advised delay before a retry, or 0 if retrying is pointless.
	RetryAfter time.Duration
}

var responses = [kindCount]Response{
	BadRequest:          {"bad_request", "The request is malformed", 400, NotRun, 0},
	UnknownRoute:        {"unknown_route", "No such route", 404, NotRun, 0},
	UnknownWorkspace:    {"unknown_workspace", "No such workspace", 403, NotRun, 0},
	BodyTooLarge:        {"body_too_large", "The request body exceeds the limit", 413, NotRun, 0},
	WorkspaceLimit:      {"workspace_limit", "The workspace has reached its limit", 429, NotRun, time.Second},
	Overloaded:          {"overloaded", "No capacity is left", 503, NotRun, time.Second},
	DeadlineUnreachable: {"deadline_unreachable", "The deadline cannot be met", 503, NotRun, time.Second},
	DeadlineExceeded:    {"deadline_exceeded", "The deadline has passed", 504, NotRun, 0},
	NoUpstream:          {"no_upstream", "No upstream may take the request", 503, NotRun, time.Second},
	UpstreamFailed:      {"upstream_failed", "An upstream failed", 502, Unknown, 0},
	StreamBroken:        {"stream_broken", "The answer stream broke", 502, Ran, 0},
	PoisonRequest:       {"poison_request", "Upstreams died while running this request", 422, Ran, 0},
	PoisonPrompt:        {"poison_prompt", "A part of the prompt crashes upstreams", 502, NotRun, 0},
	ClaimUnavailable:    {"claim_unavailable", "It cannot be checked whether the request ran before", 503, Unknown, time.Second},
	ClaimHeld:           {"claim_held", "An earlier send of the request has an unknown outcome", 409, Unknown, 0},
	ResultExpired:       {"result_expired", "The request ran and its result is no longer kept", 409, Ran, 0},
	Draining:            {"draining", "The VM is shutting down", 503, NotRun, time.Second},
	NotConfigured:       {"not_configured", "No configuration is in force", 503, NotRun, 2 * time.Second},
	Internal:            {"internal", "Internal error", 500, Unknown, 0},
	Unauthenticated:     {"unauthenticated", "The key is missing or unknown", 401, NotRun, 0},
	TablesOutdated:      {"tables_outdated", "It is not known whether the key is still valid", 503, NotRun, time.Second},
	StreamOriginUnknown: {"stream_origin_unknown", "It is not known which software version began the stream", 503, NotRun, time.Second},
}

// Response returns how k is reported; an undefined kind is reported as Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Response().Name }

// All returns every kind in declaration order.
func All() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}
