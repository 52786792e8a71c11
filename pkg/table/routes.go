package table

import "time"

// Routes is the routes table.
type Routes struct {
	// Workspaces lists the customers that may send requests.
	Workspaces []Workspace `yaml:"workspaces"`
	// Routes lists the request types.
	Routes []Route `yaml:"routes"`
}

// Workspace is a customer and its share of the capacity.
type Workspace struct {
	Name string `yaml:"name"`
	// Weight is the relative share of capacity under contention; 1 if unset.
	Weight int `yaml:"weight"`
	// MaxInFlight limits concurrent requests per VM; 0 means no limit.
	MaxInFlight int `yaml:"max_in_flight"`
}

// AnswerMode is the way in which the response to a request is delivered.
type AnswerMode string

// Answer modes of a route.
const (
	AnswerWhole  AnswerMode = "whole"
	AnswerStream AnswerMode = "stream"
)

// Route is a request type and the stages that process it.
type Route struct {
	Name string `yaml:"name"`
	// Deadline limits the time from the arrival of a request to its complete response.
	Deadline time.Duration `yaml:"deadline"`
	// Objective is the target share of requests answered within the deadline, in (0, 1).
	Objective float64    `yaml:"objective"`
	Answer    AnswerMode `yaml:"answer"`
	Stages    []Stage    `yaml:"stages"`
}

// Idempotent reports whether every stage of the route is idempotent.
func (r *Route) Idempotent() bool {
	for i := range r.Stages {
		if !r.Stages[i].Idempotent {
			return false
		}
	}
	return true
}

// StageInput selects the input of a stage.
type StageInput string

// Inputs of a stage.
const (
	// InputPrevious passes the previous stage's result, or the request body to the first stage.
	InputPrevious StageInput = "previous"
	// InputBoth passes a JSON object with the request body and the previous result.
	InputBoth StageInput = "both"
)

// Affinity selects whether a stage prefers the upstream that caches the prompt prefix.
type Affinity string

// Affinities of a stage.
const (
	AffinityNone   Affinity = "none"
	AffinityPrefix Affinity = "prefix"
)

// Stage is one step of a route.
type Stage struct {
	Name string `yaml:"name"`
	// Pools names the pools that serve the stage; more than one is a fan-out.
	Pools []string `yaml:"pools"`
	// Idempotent permits retries and hedged requests.
	Idempotent bool       `yaml:"idempotent"`
	Input      StageInput `yaml:"input"`
	// Timeout limits one attempt; 0 means the time left until the deadline.
	Timeout  time.Duration `yaml:"timeout"`
	Affinity Affinity      `yaml:"affinity"`
}
