package burn

import "math"

// Counts are numbers of requests by result. They are floating-point numbers, as in the
// Prometheus text format; fractions occur where an increase is spread over several buckets.
type Counts struct {
	// InTime counts requests answered within their deadline.
	InTime float64 `json:"in_time"`
	// Late counts requests answered after their deadline.
	Late float64 `json:"late"`
	// Refused counts requests that were rejected without being run.
	Refused float64 `json:"refused"`
	// Failed counts requests that were run but not answered.
	Failed float64 `json:"failed"`
}

// Total returns the number of all requests.
func (c Counts) Total() float64 { return c.InTime + c.Late + c.Refused + c.Failed }

// Bad returns the number of requests that count against the objective.
func (c Counts) Bad() float64 { return c.Late + c.Refused + c.Failed }

func (c Counts) add(other Counts) Counts {
	return Counts{
		InTime:  c.InTime + other.InTime,
		Late:    c.Late + other.Late,
		Refused: c.Refused + other.Refused,
		Failed:  c.Failed + other.Failed,
	}
}

func (c Counts) scale(factor float64) Counts {
	return Counts{
		InTime:  c.InTime * factor,
		Late:    c.Late * factor,
		Refused: c.Refused * factor,
		Failed:  c.Failed * factor,
	}
}

// increase returns the increase since the earlier counts. A counter that went down was reset
// by a restart, so its value is the increase since the restart.
func (c Counts) increase(earlier Counts) Counts {
	return Counts{
		InTime:  increase(c.InTime, earlier.InTime),
		Late:    increase(c.Late, earlier.Late),
		Refused: increase(c.Refused, earlier.Refused),
		Failed:  increase(c.Failed, earlier.Failed),
	}
}

func increase(now, earlier float64) float64 {
	if now < earlier {
		return now
	}
	return now - earlier
}

// rounded removes the rounding errors of sums over buckets, which are far smaller than a
// millionth of a request.
func (c Counts) rounded() Counts {
	return Counts{
		InTime:  roundMillionth(c.InTime),
		Late:    roundMillionth(c.Late),
		Refused: roundMillionth(c.Refused),
		Failed:  roundMillionth(c.Failed),
	}
}

func roundMillionth(x float64) float64 { return math.Round(x*1e6) / 1e6 }
