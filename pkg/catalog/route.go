package catalog

import (
	"slices"
	"time"
)

// RequestKind says whether a request may be retried.
type RequestKind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered with a stream of events. They run at most once unless the
	// route is resumable.
	Stream
)

// Route describes how requests to one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the maximum time that a request may wait; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of a stream.
	Objective time.Duration
	// EventGapObjective is the objective for the time between two events of a stream.
	EventGapObjective time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Split distributes requests over pools by weight.
	Split []WeightedPool
	// MaxUpstreams bounds the number of upstreams that one request may be sent to.
	MaxUpstreams int
	Stages       []Stage
	Anonymous    bool
	// HasPromptPrefixes is set if requests carry prompt prefixes that upstreams cache.
	HasPromptPrefixes bool
	// Resumable streams may continue at another upstream after the last delivered event.
	Resumable bool
}

// WeightedPool is one pool of a traffic split.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Stage is a preprocessing step that must complete before the request can run.
type Stage struct {
	Pool string
	// DependsOn lists the indexes of the stages whose results are inputs of this one.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// PoolFor returns the pool of a request. point is in [0, 1) and determines the choice.
func (r *Route) PoolFor(point float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	offset := point * total
	for _, share := range r.Split {
		if offset < share.Weight {
			return share.Pool
		}
		offset -= share.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Pool
}

// UsesPool reports whether requests of the route may go to a pool.
func (r *Route) UsesPool(pool string) bool {
	return slices.ContainsFunc(r.Split, func(share WeightedPool) bool { return share.Pool == pool && share.Weight > 0 })
}

// Levels returns for each stage the number of stages on the longest path from it to the
// request, including itself. Stages may only depend on stages with a lower index.
func (r *Route) Levels() []int {
	levels := make([]int, len(r.Stages))
	for i := len(r.Stages) - 1; i >= 0; i-- {
		levels[i] = max(levels[i], 1)
		for _, dependency := range r.Stages[i].DependsOn {
			levels[dependency] = max(levels[dependency], levels[i]+1)
		}
	}
	return levels
}
