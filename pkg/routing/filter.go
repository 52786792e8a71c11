package routing

import "slices"

// Filter excludes upstreams that an attempt may not use.
type Filter interface {
	// Name is the reason reported for an exclusion.
	Name() string
	// Pass reports whether the attempt may use the upstream.
	Pass(q *Query, u *Upstream) bool
}

// Filters returns all filters in evaluation order, cheapest first.
func Filters() []Filter {
	return []Filter{inService{}, belowLimit{}, notInBackoff{}, notTried{}, singleSuspect{}}
}

// ExcludedBy returns the name of the first filter that excludes the upstream, or "".
func ExcludedBy(filters []Filter, q *Query, u *Upstream) string {
	for _, f := range filters {
		if !f.Pass(q, u) {
			return f.Name()
		}
	}
	return ""
}

// inService excludes upstreams that operators took out of service or removed (guarantees G3
// and G7).
type inService struct{}

func (inService) Name() string                    { return "out_of_service" }
func (inService) Pass(_ *Query, u *Upstream) bool { return u.InService }

// belowLimit keeps within this VM's share of a warm upstream and its leased slots of a cold
// one (guarantee G2).
type belowLimit struct{}

func (belowLimit) Name() string { return "limit_reached" }
func (belowLimit) Pass(q *Query, u *Upstream) bool {
	return u.InFlight < u.Limit && q.Now < u.LimitUntil
}

// notInBackoff excludes upstreams in backoff after a connection failure.
type notInBackoff struct{}

func (notInBackoff) Name() string { return "connection" }
func (notInBackoff) Pass(q *Query, u *Upstream) bool {
	return u.Backoff.AttemptAllowed(q.Now, u.InFlight)
}

// notTried excludes upstreams that the request has already tried.
type notTried struct{}

func (notTried) Name() string { return "already_tried" }
func (notTried) Pass(q *Query, u *Upstream) bool {
	return len(q.Exclude) == 0 || !slices.Contains(q.Exclude, u.Name)
}

// singleSuspect keeps suspect requests on different upstreams, so that a crash is attributed
// to only one of them.
type singleSuspect struct{}

func (singleSuspect) Name() string { return "suspect" }
func (singleSuspect) Pass(q *Query, u *Upstream) bool {
	return !q.Suspect || u.Suspects == 0
}
