// Package freshness decides how old the tables of a VM may be before it no longer places requests by them.
//
// Tables that are older than the drain time of upstreams, less the time that a request takes to its upstream, may
// name an upstream that has left. If another VM has newer ones, this VM asks it before it places a request: one
// question for all requests that wait, since hundreds may come in the time of an answer. If no VM has newer ones,
// the store is down for all, and requests are placed by what is known.
//
// A Gate is deterministic and not safe for concurrent use. Invariants:
//   - at most one question is open;
//   - no question begins within RetryDelay after one that brought nothing newer;
//   - requests wait only while a question is open.
package freshness

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

const (
	// MaxWait bounds how long a request waits for newer tables. It is far below the objectives of most routes.
	MaxWait = 100 * time.Millisecond
	// RetryDelay is the time without questions after one that brought nothing newer.
	RetryDelay = 400 * time.Millisecond
)

// Verdict says what to do before a request is placed.
type Verdict uint8

const (
	// Place means that the request is placed by the tables as they are.
	Place Verdict = iota
	// Ask means that newer tables are asked for; End must be called with the answer. The request waits for it, at
	// most for MaxWait.
	Ask
	// Wait means that the request waits for the answer to an open question, at most for MaxWait.
	Wait
)

// Gate decides for one VM.
type Gate struct {
	maxAge time.Duration
	isOpen bool
	// quietUntil is when the next question may begin.
	quietUntil clock.Instant
}

// New returns a gate. Tables are at most maxCalmAge old while nothing fails; upstreams take requests for the time
// drain after they have said that they leave.
func New(drain, maxCalmAge time.Duration) *Gate {
	g := &Gate{}
	g.Configure(drain, maxCalmAge)
	return g
}

// Configure changes the bounds.
func (g *Gate) Configure(drain, maxCalmAge time.Duration) {
	g.maxAge = max(drain-upstreamsignal.MaxMargin, maxCalmAge)
}

// MaxAge returns the age up to which tables are recent.
func (g *Gate) MaxAge() time.Duration { return g.maxAge }

// Decide decides on a request. hasSource is set if another VM is known to have current tables.
func (g *Gate) Decide(now clock.Instant, age time.Duration, hasSource bool) Verdict {
	switch {
	case age <= g.maxAge:
		return Place
	case g.isOpen:
		return Wait
	case !hasSource || now.Before(g.quietUntil):
		return Place
	}
	g.isOpen = true
	return Ask
}

// End records the end of a question, and whether the tables are recent now.
func (g *Gate) End(now clock.Instant, isRecent bool) {
	g.isOpen = false
	if !isRecent {
		g.quietUntil = now.Add(RetryDelay)
	}
}
