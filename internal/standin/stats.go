package standin

import "sync"

// maxSeenIdentities limits the size of an identitySet.
const maxSeenIdentities = 1 << 21

// Stats are the counters of an emulated upstream. The test harness adds them up over
// upstreams, except fields whose JSON key starts with max_, of which it takes the maximum.
type Stats struct {
	// Calls counts stage calls that were received completely.
	Calls int `json:"calls"`
	// Completed counts successful calls.
	Completed int `json:"completed"`
	// Duplicates counts calls whose request, stage and attempt were seen before.
	Duplicates int `json:"duplicates"`
	// Repeats counts calls whose request and stage were seen before, in any attempt.
	Repeats int `json:"repeats"`
	// RepeatedIDs counts calls whose stage and caller's id were seen before. Unlike
	// Repeats it includes requests that a caller sends again.
	RepeatedIDs int `json:"repeated_ids"`
	// Mixed counts request bodies that contain more than one caller id.
	Mixed int `json:"mixed"`
	// Rejected counts calls that returned 503 because Capacity was reached.
	Rejected int `json:"rejected"`
	// OverCold counts calls that exceeded ColdCapacity while the upstream was cold.
	OverCold int `json:"over_cold"`
	// Cancelled counts calls cancelled by the caller or by POST /cancel.
	Cancelled int `json:"cancelled"`
	// Crashes counts simulated crashes.
	Crashes int `json:"crashes"`
	// Tokens counts tokens sent.
	Tokens int `json:"tokens"`
	// Resumed counts streams that started after the first token.
	Resumed int `json:"resumed"`
	// Orders counts orders that were carried out. StaleOrders counts orders with an outdated
	// fencing token, whether rejected or carried out.
	Orders      int `json:"orders"`
	StaleOrders int `json:"stale_orders"`
	// FencingToken is the highest fencing token of an order that was carried out.
	FencingToken int `json:"max_fencing_token"`
	Connections  int `json:"connections"`
	InFlight     int `json:"in_flight"`
	MaxInFlight  int `json:"max_in_flight"`
	MaxPriority  int `json:"max_priority"`
	// Cold is 1 while the upstream is cold.
	Cold int `json:"cold"`
}

// identitySet remembers the identities that an upstream has seen.
type identitySet struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

// add adds an identity and reports whether it was seen before.
func (s *identitySet) add(identity string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = map[string]struct{}{}
	}
	if _, found := s.seen[identity]; found {
		return true
	}
	if len(s.seen) < maxSeenIdentities {
		s.seen[identity] = struct{}{}
	}
	return false
}
