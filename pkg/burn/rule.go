package burn

import "time"

// Verdict is the alert level of a route, derived from its burn rates.
type Verdict string

// Verdicts in order of increasing urgency.
const (
	// VerdictNoData means that no request was counted in the longest window.
	VerdictNoData Verdict = "no_data"
	VerdictOK     Verdict = "ok"
	// VerdictTooFew means that there are too few requests for a verdict: the longest window has
	// fewer requests than a rule requires, or the burn rates of a rule reach its threshold but
	// its long window has fewer requests or bad requests than it requires.
	VerdictTooFew Verdict = "too_few"
	// VerdictTicket requires attention within days.
	VerdictTicket Verdict = "ticket"
	// VerdictPage requires immediate attention.
	VerdictPage Verdict = "page"
)

// Windows over which burn rates are computed.
const (
	WindowPageShort   = 5 * time.Minute
	WindowPageLong    = time.Hour
	WindowTicketShort = 30 * time.Minute
	WindowTicketLong  = 6 * time.Hour
)

// Burn rate thresholds for an error budget over 30 days.
const (
	// PageBurnRate uses up 2% of the error budget in one hour.
	PageBurnRate = 14.4
	// TicketBurnRate uses up 5% of the error budget in six hours.
	TicketBurnRate = 6
)

// Minimum numbers of requests in the long window of a rule.
const (
	// MinRequests prevents a verdict that is based on only a few requests.
	MinRequests = 30
	// MinBadRequests prevents a page or ticket for a single bad request if the objective is so
	// strict that one in MinRequests reaches the threshold: with an objective of 0.999, one in
	// 30 is a burn rate of 33. A larger MinRequests instead would hide the total failure of a
	// route with little traffic.
	MinBadRequests = 3
)

// Rule yields a verdict if the burn rates over both windows reach the threshold and the long
// window has enough requests.
type Rule struct {
	Verdict     Verdict
	ShortWindow time.Duration
	LongWindow  time.Duration
	Threshold   float64
	// MinRequests and MinBadRequests are the minimum numbers of all requests and of bad
	// requests in the long window.
	MinRequests    float64
	MinBadRequests float64
}

// hasEnoughRequests reports whether the counts of the long window reach the rule's minimums.
func (r Rule) hasEnoughRequests(counts Counts) bool {
	return counts.Total() >= r.MinRequests && counts.Bad() >= r.MinBadRequests
}

// DefaultRules returns the page and ticket rules in the order of evaluation.
func DefaultRules() []Rule {
	return []Rule{
		{
			Verdict: VerdictPage, ShortWindow: WindowPageShort, LongWindow: WindowPageLong,
			Threshold: PageBurnRate, MinRequests: MinRequests, MinBadRequests: MinBadRequests,
		},
		{
			Verdict: VerdictTicket, ShortWindow: WindowTicketShort, LongWindow: WindowTicketLong,
			Threshold: TicketBurnRate, MinRequests: MinRequests, MinBadRequests: MinBadRequests,
		},
	}
}
