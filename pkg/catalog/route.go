package catalog

import "time"

// Kind says what may be repeated of a request.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events and run at most once, unless the
	// route is resumable.
	Stream
)

// Route says how a kind of request is served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait; 0 means none.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event, is on time.
	Objective time.Duration
	// PauseObjective is the longest pause between two events that is on time.
	PauseObjective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	// Split distributes the requests over pools by weight.
	Split []Share
	// MaxUpstreams bounds the upstreams to which one request may be sent.
	MaxUpstreams int
	Stages       []Stage
	Anonymous    bool
	// Prefixes is set if requests carry prompt prefixes that upstreams cache.
	Prefixes bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
}

// Share is one pool of a split.
type Share struct {
	Pool   string
	Weight float64
}

// Stage is work that must be done before the request can run.
type Stage struct {
	Pool string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// PoolFor returns the pool of a request; point is in [0, 1) and fixes the choice.
func (r *Route) PoolFor(point float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	at := point * total
	for _, share := range r.Split {
		if at < share.Weight {
			return share.Pool
		}
		at -= share.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Pool
}

// Levels returns for each stage the number of stages on the longest path from it to the
// request, itself included. The lists of After must only name earlier stages.
func (r *Route) Levels() []int {
	levels := make([]int, len(r.Stages))
	for i := len(r.Stages) - 1; i >= 0; i-- {
		levels[i] = max(levels[i], 1)
		for _, before := range r.Stages[i].After {
			levels[before] = max(levels[before], levels[i]+1)
		}
	}
	return levels
}
