// Package errkind is the closed list of error kinds that callers can see, with
// the table from a kind to the answer.
package errkind

import "time"

// Kind is one entry of the closed list.
type Kind uint8

// The closed list of error kinds.
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
	ClaimUnavailable
	ClaimHeld
	ResultExpired
	Draining
	NotConfigured
	Internal
	Unauthenticated
	TablesOutdated

	kindCount
)

// Answer is the table entry of a kind.
type Answer struct {
	// Name is the stable identifier used in problem documents, logs and metrics.
	Name string
	// Title is a short summary for people.
	Title string
	// Status is the HTTP status code.
	Status int
	// Run is the default run state; it may be raised at run time, never lowered.
	Run RunState
	// RetryAfter is the advised delay before a retry, 0 if a retry makes no sense.
	RetryAfter time.Duration
}

var answers = [kindCount]Answer{
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
	ClaimUnavailable:    {"claim_unavailable", "It cannot be checked whether the request ran before", 503, Unknown, time.Second},
	ClaimHeld:           {"claim_held", "An earlier send of the request has an unknown outcome", 409, Unknown, 0},
	ResultExpired:       {"result_expired", "The request ran and its result is no longer kept", 409, Ran, 0},
	Draining:            {"draining", "The VM is shutting down", 503, NotRun, time.Second},
	NotConfigured:       {"not_configured", "No configuration is in force", 503, NotRun, 2 * time.Second},
	Internal:            {"internal", "Internal error", 500, Unknown, 0},
	Unauthenticated:     {"unauthenticated", "The key is missing or unknown", 401, NotRun, 0},
	TablesOutdated:      {"tables_outdated", "It is not known whether the key is still valid", 503, NotRun, time.Second},
}

// Answer returns the table entry of k; an unknown kind is answered as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Answer().Name }

// All returns every kind in order.
func All() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}
