package stagepool

import (
	"math"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// NoEnd is the end of a block that does not end.
const NoEnd clock.Instant = math.MaxInt64

// SetBlocks sets the upstreams that must get no call until a time, by ID. An upstream that is
// blocked until NoEnd counts as not in service. Running calls continue.
func (p *Pool) SetBlocks(until map[string]clock.Instant) { p.blocks = until }

// pausedUntil returns the earliest end of a block if all upstreams in service are blocked for a
// time.
func (p *Pool) pausedUntil(now clock.Instant) (clock.Instant, bool) {
	earliest := NoEnd
	for id, u := range p.upstreams {
		if !u.inService || p.blocks[id] == NoEnd {
			continue
		}
		if p.blocks[id] <= now {
			return 0, false
		}
		earliest = min(earliest, p.blocks[id])
	}
	return earliest, earliest != NoEnd
}

// isPausedBeyond reports whether no upstream may start a call early enough for one piece to be done
// at the limit, because all are blocked for a time.
func (p *Pool) isPausedBeyond(now, limit clock.Instant) bool {
	until, paused := p.pausedUntil(now)
	return paused && until.Add(p.callTime(1)).After(limit)
}

// failure returns why a job ends whose pieces may not be sent again.
func (p *Pool) failure(now clock.Instant) Refusal {
	if _, paused := p.pausedUntil(now); paused {
		return Paused
	}
	return Failed
}
