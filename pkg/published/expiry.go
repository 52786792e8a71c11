package published

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// NextExpiry returns when an upstream whose entry is missing is next removed by Tick, and whether there is one.
// Other expiries are not urgent.
func (s *State) NextExpiry() (clock.Instant, bool) { return s.registry.NextRemoval() }
