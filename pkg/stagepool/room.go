package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// What occupies the memory of an upstream besides own results is not known to an owner that
// took over from nobody, or after a result found no room. The upstream is then asked, if its
// answer can tell anything. Otherwise a new owner leaves part of the memory alone for a time.

const (
	// askLeast is the memory from which an upstream is asked: it tells whole megabytes.
	askLeast = 4_000_000
	// askTimeout is how long work waits for the answer, which comes within a millisecond or two.
	askTimeout = 250 * time.Millisecond
	// askInterval is the time between two questions while results of others take the room.
	askInterval = 500 * time.Millisecond
	// toldTime is how long the answer counts; results come and go all the time.
	toldTime = time.Second
	// blindRoomPart is the part of the memory that is left to results of others while nothing
	// is known of them. They are gone after the lifetime of a result at the latest.
	blindRoomPart = 0.4
	// noRoomTime is how long results without room are expected after one was met.
	noRoomTime = 2 * time.Second
	// noRoomPause is the pause of an upstream after a result found no room.
	noRoomPause = 150 * time.Millisecond
)

// MemoryQueries returns the upstreams to ask for their free memory since the last call.
func (p *Pool) MemoryQueries() []string {
	out := p.asks
	p.asks = nil
	return out
}

// ReportFreeMemory takes over that an upstream has at most the given number of bytes free. What is neither
// free nor taken by own results belongs to others.
func (p *Pool) ReportFreeMemory(now clock.Instant, upstreamID string, free int64) {
	if u := p.upstreams[upstreamID]; u != nil {
		u.roomKnown = true
		u.setForeign(now.Add(toldTime), p.batch.ResultMemoryBytes-free-u.used)
	}
}

func (u *upstream) setForeign(until clock.Instant, bytes int64) {
	u.foreign, u.foreignUntil = max(bytes, 0), until
}

// isRoomKnown reports whether the upstream may get work as far as its memory is known, and
// asks if it is not. An upstream that does not answer the question counts as one that cannot
// be asked.
func (p *Pool) isRoomKnown(now clock.Instant, u *upstream) bool {
	switch {
	case p.batch.ResultMemoryBytes == 0 || u.roomKnown:
		return true
	case p.batch.ResultMemoryBytes >= askLeast && u.askedAt == 0:
		p.ask(now, u)
		return false
	case p.batch.ResultMemoryBytes >= askLeast && now.Sub(u.askedAt) < askTimeout:
		return false
	}
	u.roomKnown = true
	u.setForeign(now.Add(p.batch.ResultTTL), int64(blindRoomPart*float64(p.batch.ResultMemoryBytes)))
	return true
}

func (p *Pool) ask(now clock.Instant, u *upstream) {
	u.askedAt = now
	p.asks = append(p.asks, u.ID)
}

// foundNoRoom notes that a result of the upstream found no room.
func (p *Pool) foundNoRoom(now clock.Instant, u *upstream) {
	u.pausedUntil = max(u.pausedUntil, now.Add(noRoomPause))
	u.noRoomUntil = now.Add(noRoomTime)
	if p.batch.ResultMemoryBytes >= askLeast {
		u.roomKnown, u.askedAt = false, 0
	}
}

// refreshRoom asks again while results of others take the room that work waits for.
func (p *Pool) refreshRoom(now clock.Instant, u *upstream) {
	if p.batch.ResultMemoryBytes >= askLeast && u.foreign > 0 && now < u.foreignUntil && now.Sub(u.askedAt) >= askInterval {
		p.ask(now, u)
	}
}
