// Package poison finds requests that crash the upstreams which run them.
//
// A request gets a strike for each upstream that dies while it runs it. With one strike it
// runs alone on its next upstream, and with two it is refused everywhere. Deaths of several
// upstreams of one zone at the same time are an infrastructure failure and give no strikes.
package poison

import (
	"bytes"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// Lifetime is how long a fingerprint is remembered after its last strike.
	Lifetime = 10 * time.Minute
	// Capacity is the number of fingerprints remembered.
	Capacity = 1024
	// strikeLimit is the number of struck upstreams at which a request is refused.
	strikeLimit = 2
	// maxStrikes bounds the upstreams remembered per fingerprint.
	maxStrikes = 4
)

// Fingerprint is a hash of route, stage and the caller's body.
type Fingerprint [16]byte

// Suspect is a fingerprint with the upstreams that died while running it.
type Suspect struct {
	Fingerprint Fingerprint
	Upstreams   []string
	Expires     clock.Instant
}

// Verdict says how a request may run.
type Verdict uint8

const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Isolate requests run as the only suspect on their upstream.
	Isolate
	// Wait requests wait until a strike is confirmed or revoked, or until another run
	// of the same fingerprint has ended.
	Wait
	// Refuse requests do not run.
	Refuse
)

// Table holds the suspects that a gateway knows. A strike is provisional until it
// is certain that it was no part of an infrastructure failure; until then it
// isolates its request but refuses nothing.
type Table struct {
	entries map[Fingerprint]*entry
	deaths  deaths
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[Fingerprint]*entry)} }

// Died records that an upstream died while it ran the fingerprint.
func (t *Table) Died(now clock.Instant, fp Fingerprint, upstream, zone string) {
	correlated := t.deaths.add(now, upstream, zone)
	if correlated {
		t.revoke(zone, now)
	}
	if fp == (Fingerprint{}) {
		return
	}
	t.Ended(fp)
	if correlated {
		return
	}
	e := t.entry(now, fp)
	e.strike(upstream, zone, now, now.Add(correlationWindow))
}

// Succeeded clears a fingerprint that an upstream survived.
func (t *Table) Succeeded(fp Fingerprint) {
	if len(t.entries) > 0 {
		delete(t.entries, fp)
	}
}

// Began records the start of an isolated run.
func (t *Table) Began(fp Fingerprint) {
	if e := t.entries[fp]; e != nil {
		e.running = true
	}
}

// Ended records the end of an isolated run without a death.
func (t *Table) Ended(fp Fingerprint) {
	if e := t.entries[fp]; e != nil {
		e.running = false
	}
}

// Judge says how a request with the fingerprint may run.
func (t *Table) Judge(now clock.Instant, fp Fingerprint) Verdict {
	if len(t.entries) == 0 {
		return Clear
	}
	e := t.entries[fp]
	if e == nil || e.expires <= now {
		return Clear
	}
	confirmed := e.confirmed(now)
	switch {
	case confirmed >= strikeLimit:
		return Refuse
	case len(e.strikes) >= strikeLimit, e.running:
		return Wait
	case len(e.strikes) == 0:
		return Clear
	default:
		return Isolate
	}
}

// Merge takes over a suspect from another gateway. Its strikes are confirmed.
func (t *Table) Merge(now clock.Instant, suspect *Suspect) {
	if suspect.Expires <= now || len(suspect.Upstreams) == 0 {
		return
	}
	e := t.entry(now, suspect.Fingerprint)
	for _, upstream := range suspect.Upstreams {
		e.strike(upstream, "", now, now)
	}
	e.expires = max(e.expires, min(suspect.Expires, now.Add(Lifetime)))
}

// Take returns suspects with newly confirmed strikes of this gateway.
func (t *Table) Take(now clock.Instant) []Suspect {
	var taken []Suspect
	for fp, e := range t.entries {
		upstreams := e.take(now)
		if len(upstreams) == 0 {
			continue
		}
		taken = append(taken, Suspect{Fingerprint: fp, Upstreams: upstreams, Expires: e.expires})
	}
	slices.SortFunc(taken, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return taken
}

// Expire forgets old fingerprints.
func (t *Table) Expire(now clock.Instant) {
	for fp, e := range t.entries {
		if e.expires <= now {
			delete(t.entries, fp)
		}
	}
}

// Len returns the number of remembered fingerprints.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) revoke(zone string, now clock.Instant) {
	since := now.Add(-correlationWindow)
	for fp, e := range t.entries {
		e.revoke(zone, since)
		if len(e.strikes) == 0 && !e.running {
			delete(t.entries, fp)
		}
	}
}

func (t *Table) entry(now clock.Instant, fp Fingerprint) *entry {
	e := t.entries[fp]
	if e != nil && e.expires > now {
		return e
	}
	if e == nil && len(t.entries) >= Capacity {
		t.evict(now)
	}
	e = &entry{}
	t.entries[fp] = e
	return e
}

// evict removes the entry that protects upstreams least: fewest confirmed strikes,
// then the earliest expiry.
func (t *Table) evict(now clock.Instant) {
	var victim Fingerprint
	var worst *entry
	for fp, e := range t.entries {
		if worst == nil || e.weaker(worst, now) || !worst.weaker(e, now) && bytes.Compare(fp[:], victim[:]) < 0 {
			victim, worst = fp, e
		}
	}
	delete(t.entries, victim)
}
