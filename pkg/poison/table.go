// Package poison finds requests that crash the upstreams which run them.
//
// The crash of an upstream is attributed to the request that it was running. After one crash
// the request runs as the only suspect on its next upstream; after crashes of two upstreams
// it is refused by every gateway. Simultaneous crashes of several upstreams of one zone are
// treated as an infrastructure failure and attributed to no request.
package poison

import (
	"bytes"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// EntryLifetime is how long a fingerprint is kept after its last attributed crash.
	EntryLifetime = 10 * time.Minute
	// MaxEntries is the maximum number of fingerprints kept.
	MaxEntries = 1024
	// refuseAfterCrashes is the number of crashed upstreams at which a request is refused.
	refuseAfterCrashes = 2
	// maxCrashesPerEntry bounds the crashed upstreams kept per fingerprint.
	maxCrashesPerEntry = 4
)

// Fingerprint is a hash of the route, the stage and the body of the caller's request.
type Fingerprint [16]byte

// Suspect is a fingerprint with the upstreams that crashed while running it.
type Suspect struct {
	Fingerprint Fingerprint
	Upstreams   []string
	Expires     clock.Instant
}

// Verdict says how a request may run.
type Verdict uint8

const (
	// Allow runs the request without restriction.
	Allow Verdict = iota
	// Isolate runs the request as the only suspect on its upstream.
	Isolate
	// Wait holds the request until an attributed crash is confirmed or revoked, or until
	// another run of the same fingerprint has ended.
	Wait
	// Refuse rejects the request.
	Refuse
)

// Table holds the suspects that a gateway knows. An attributed crash is unconfirmed
// until it can no longer be part of an infrastructure failure; until then the request is
// isolated or waits but is not refused.
type Table struct {
	entries map[Fingerprint]*entry
	crashes crashHistory
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[Fingerprint]*entry)} }

// RecordCrash records that an upstream crashed while it ran the fingerprint. The zero
// fingerprint records a crash that is attributed to no request.
func (t *Table) RecordCrash(now clock.Instant, fp Fingerprint, upstream, zone string) {
	correlated := t.crashes.add(now, upstream, zone)
	if correlated {
		t.revoke(zone, now)
	}
	if fp == (Fingerprint{}) {
		return
	}
	t.EndIsolatedRun(fp)
	if correlated {
		return
	}
	e := t.entry(now, fp)
	e.addCrash(upstream, zone, now, now.Add(correlationWindow))
}

// RecordSuccess clears a fingerprint whose run succeeded.
func (t *Table) RecordSuccess(fp Fingerprint) {
	if len(t.entries) > 0 {
		delete(t.entries, fp)
	}
}

// BeginIsolatedRun records the start of an isolated run.
func (t *Table) BeginIsolatedRun(fp Fingerprint) {
	if e := t.entries[fp]; e != nil {
		e.running = true
	}
}

// EndIsolatedRun records the end of an isolated run.
func (t *Table) EndIsolatedRun(fp Fingerprint) {
	if e := t.entries[fp]; e != nil {
		e.running = false
	}
}

// Check decides how a request with the fingerprint may run.
func (t *Table) Check(now clock.Instant, fp Fingerprint) Verdict {
	if len(t.entries) == 0 {
		return Allow
	}
	e := t.entries[fp]
	if e == nil || e.expiresAt <= now {
		return Allow
	}
	confirmed := e.confirmedCrashes(now)
	switch {
	case confirmed >= refuseAfterCrashes:
		return Refuse
	case len(e.crashes) >= refuseAfterCrashes, e.running:
		return Wait
	case len(e.crashes) == 0:
		return Allow
	default:
		return Isolate
	}
}

// Merge adds a suspect reported by another gateway. Its crashes count as confirmed.
func (t *Table) Merge(now clock.Instant, suspect *Suspect) {
	if suspect.Expires <= now || len(suspect.Upstreams) == 0 {
		return
	}
	e := t.entry(now, suspect.Fingerprint)
	for _, upstream := range suspect.Upstreams {
		e.addCrash(upstream, "", now, now)
	}
	e.expiresAt = max(e.expiresAt, min(suspect.Expires, now.Add(EntryLifetime)))
}

// TakeNewlyConfirmed returns the suspects with a newly confirmed crash that this gateway
// observed. A suspect is returned again only after a further crash is confirmed.
func (t *Table) TakeNewlyConfirmed(now clock.Instant) []Suspect {
	var suspects []Suspect
	for fp, e := range t.entries {
		upstreams := e.takeNewlyConfirmed(now)
		if len(upstreams) == 0 {
			continue
		}
		suspects = append(suspects, Suspect{Fingerprint: fp, Upstreams: upstreams, Expires: e.expiresAt})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return suspects
}

// Expire removes expired fingerprints.
func (t *Table) Expire(now clock.Instant) {
	for fp, e := range t.entries {
		if e.expiresAt <= now {
			delete(t.entries, fp)
		}
	}
}

// Len returns the number of fingerprints kept.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) revoke(zone string, now clock.Instant) {
	cutoff := now.Add(-correlationWindow)
	for fp, e := range t.entries {
		e.revoke(zone, cutoff)
		if len(e.crashes) == 0 && !e.running {
			delete(t.entries, fp)
		}
	}
}

func (t *Table) entry(now clock.Instant, fp Fingerprint) *entry {
	e := t.entries[fp]
	if e != nil && e.expiresAt > now {
		return e
	}
	if e == nil && len(t.entries) >= MaxEntries {
		t.evict(now)
	}
	e = &entry{}
	t.entries[fp] = e
	return e
}

// evict removes the entry that protects upstreams least. Ties are broken by fingerprint.
func (t *Table) evict(now clock.Instant) {
	var victim Fingerprint
	var worst *entry
	for fp, e := range t.entries {
		if worst == nil || e.lessProtective(worst, now) || !worst.lessProtective(e, now) && bytes.Compare(fp[:], victim[:]) < 0 {
			victim, worst = fp, e
		}
	}
	delete(t.entries, victim)
}
