package burn

import "time"

// RouteReport contains the burn rates and the verdict of one route.
type RouteReport struct {
	Route string `json:"route"`
	// Objective is the target share of requests answered in time.
	Objective float64 `json:"objective"`
	Verdict   Verdict `json:"verdict"`
	// Windows are sorted by increasing length.
	Windows []WindowReport `json:"windows"`
}

// WindowReport contains the counts and the burn rate of a route over one window.
type WindowReport struct {
	Window time.Duration `json:"window_ns"`
	// Covered is the part of the window since the first sample. If it is shorter than the
	// window, the verdict is based on this part only.
	Covered time.Duration `json:"covered_ns"`
	Counts  Counts        `json:"counts"`
	// Rate is the burn rate; 0 if no request was counted.
	Rate float64 `json:"rate"`
}

// Rate returns the burn rate over the window, or 0 if the report does not include the window.
func (r *RouteReport) Rate(window time.Duration) float64 {
	for i := range r.Windows {
		if r.Windows[i].Window == window {
			return r.Windows[i].Rate
		}
	}
	return 0
}

// counts returns the counts over the window, or zeros if the report does not include the
// window.
func (r *RouteReport) counts(window time.Duration) Counts {
	for i := range r.Windows {
		if r.Windows[i].Window == window {
			return r.Windows[i].Counts
		}
	}
	return Counts{}
}

// Rate returns the burn rate: the share of bad requests divided by the share that the
// objective allows. It is 0 if there are no requests.
func Rate(counts Counts, objective float64) float64 {
	total := counts.Total()
	if total == 0 {
		return 0
	}
	return counts.Bad() / total / (1 - objective)
}
