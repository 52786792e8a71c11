package standin

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that JSON represents as a string such as "5ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	*d = Duration(value)
	return err
}

// Behaviour configures an emulated upstream. It can be changed at run time with
// PUT /control/behaviour; omitted fields keep their value.
type Behaviour struct {
	// ServiceTime is the duration of each call.
	ServiceTime Duration `json:"service_time"`
	// FailStatus is returned for every call instead of running it; 0 disables it.
	FailStatus int `json:"fail_status"`
	// FailNext is the number of following calls that return status 500.
	FailNext int `json:"fail_next"`
	// Foreign makes responses carry the identity of another call.
	Foreign bool `json:"foreign"`
	// ForeignNext is the number of following calls that return the identity of another call.
	ForeignNext int `json:"foreign_next"`
	// Capacity is the number of concurrent calls above which calls return 503; 0 is no limit.
	Capacity int `json:"capacity"`
	// Cold marks the upstream as cold until WarmAfter calls have succeeded. A change from
	// false to true resets the count of successes.
	Cold bool `json:"cold"`
	// ColdCapacity is the number of concurrent calls above which a cold upstream is
	// overloaded; 0 is no limit.
	ColdCapacity int `json:"cold_capacity"`
	// ColdServiceTime replaces ServiceTime while the upstream is cold; 0 keeps ServiceTime.
	ColdServiceTime Duration `json:"cold_service_time"`
	// WarmAfter is the number of completed calls that end the cold state.
	WarmAfter int `json:"warm_after"`
	// CrashOnOverload simulates a crash when ColdCapacity is exceeded; otherwise the
	// overload is only counted.
	CrashOnOverload bool `json:"crash_on_overload"`
	// CrashBody simulates a crash on a body that contains this text; empty disables it.
	CrashBody string `json:"crash_body"`
	// CrashFor is how long a crashed upstream refuses connections before it serves
	// again. It is then cold if ColdCapacity is set.
	CrashFor Duration `json:"crash_for"`
	// ReportsLoad adds the Hoist-Load header to responses.
	ReportsLoad bool `json:"reports_load"`
	// LoadLag is the age of the reported load.
	LoadLag Duration `json:"load_lag"`
	// Silent stalls the connections that are open when it is set; new ones work.
	Silent bool `json:"silent"`
	// Hang leaves every call without a response, also on new connections.
	Hang bool `json:"hang"`
	// NoIdentity omits the identity headers from responses.
	NoIdentity bool `json:"no_identity"`
	// Tokens is the number of tokens of a streamed response.
	Tokens int `json:"tokens"`
	// TokenTime is the time between two tokens.
	TokenTime Duration `json:"token_time"`
	// BreakAfter resets the connection of the next stream after this number of tokens. It
	// applies once and is then set to 0.
	BreakAfter int `json:"break_after"`
	// IgnoreFencing carries out orders to load a model even if their fencing token is
	// outdated.
	IgnoreFencing bool `json:"ignore_fencing"`
	// LoadTime is how long an order takes to load its model; the upstream is cold afterwards.
	LoadTime Duration `json:"load_time"`
	// EventGap drops every n-th cache event, where n is its value; 0 drops none.
	EventGap int `json:"event_gap"`
	// EventLag is the delay before a cache event becomes visible.
	EventLag Duration `json:"event_lag"`
}
