package poison

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// blockAfterOccasions is the number of separate occasions on which upstreams crashed at which a
	// part is blocked that was never answered, and blockAnsweredAfterOccasions the number for a part
	// that was: to block one that many requests share by mistake would refuse all of them.
	blockAfterOccasions         = 3
	blockAnsweredAfterOccasions = 5
	// blockAfterCrashes is the number of crashes that suffice on two occasions: several requests with
	// the part may come at a time.
	blockAfterCrashes = 5
	// minOccasionShare is the share of the occasions since its first one that a part must have. In a
	// failure of many upstreams each part is involved in few of them.
	minOccasionShare = 1.0 / 3
	// occasionGap is the time after the first crash of an occasion from which on a crash belongs to
	// another one.
	occasionGap = 100 * time.Millisecond
	// confirmDelay is the age from which on a crash counts. Until then answers to other requests
	// clear the parts that they have in common with it.
	confirmDelay = 300 * time.Millisecond
	// incidentLifetime is how long a crash counts, and maxIncidents and maxIncidentParts bound what
	// is kept.
	incidentLifetime = time.Minute
	maxIncidents     = 128
	maxIncidentParts = 256
	// maxBlockedParts bounds the blocked parts.
	maxBlockedParts = 256
	// firstBlockTime is how long a part is blocked for the first time. Each block that follows takes
	// twice as long as the one before, up to maxBlockTime.
	firstBlockTime    = time.Minute
	maxBlockTime      = 32 * time.Minute
	maxBlockDoublings = 5
	// clearPrecedence is the time by which a block of another VM must be later than an answer seen
	// here to take effect, since that VM may not have known of the answer.
	clearPrecedence = 2 * time.Second
)

// PartTable finds the parts of prompts that crash each upstream which begins to answer a request with
// them, whatever else the request holds.
//
// Each crash puts all parts of the requests under suspicion whose answers the upstream had not begun.
// An answer clears the parts of its request, since a part that crashes upstreams is never answered. A
// part that remains after several crashes is blocked. Of several such parts those with the most crashes
// are blocked, those that were never answered first, and the others are then no longer under suspicion
// for these crashes.
//
// Invariant: a part is blocked only if this VM knows of no answer to a request with it since the first
// of at least blockAfterOccasions crashes, or if another VM does so.
type PartTable struct {
	// incidents are in the order of their times.
	incidents []*incident
	// decideAt is when the parts under suspicion are looked at next; 0 if there is nothing new.
	decideAt clock.Instant
	// blocked holds the parts that are blocked, and those whose block has ended but that were not
	// answered since: they are blocked again at the next crash.
	blocked map[Part]*BlockedPart
	// clearedAt is when parts that had been blocked were answered.
	clearedAt map[Part]clock.Instant
	// answered holds parts that were answered at some time.
	answered     partMemory
	newlyBlocked []BlockedPart
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{blocked: map[Part]*BlockedPart{}, clearedAt: map[Part]clock.Instant{}}
}

// IsEmpty reports whether no part is under suspicion or blocked.
func (t *PartTable) IsEmpty() bool { return len(t.incidents) == 0 && len(t.blocked) == 0 }

// RecordCrash records that an upstream crashed before it began the answer to a request with the
// parts. The upstream is identified by one start of it.
func (t *PartTable) RecordCrash(now clock.Instant, upstream string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	t.expire(now)
	in := t.incident(now, upstream)
	for _, part := range parts {
		if b := t.blocked[part]; b != nil {
			in.explained = true
			t.blockAgain(now, b)
		}
		if len(in.parts) < maxIncidentParts {
			in.parts[part] = true
		}
	}
	if t.decideAt == 0 {
		t.decideAt = now.Add(confirmDelay)
	}
}

// incident returns the incident of an upstream, which is new if none is known.
func (t *PartTable) incident(now clock.Instant, upstream string) *incident {
	for _, in := range t.incidents {
		if in.upstream == upstream {
			return in
		}
	}
	if len(t.incidents) >= maxIncidents {
		t.incidents = slices.Delete(t.incidents, 0, 1)
	}
	in := &incident{upstream: upstream, at: now, parts: map[Part]bool{}}
	t.incidents = append(t.incidents, in)
	return in
}

// blockAgain blocks a part whose block has ended.
func (t *PartTable) blockAgain(now clock.Instant, b *BlockedPart) {
	if now < b.Until {
		return
	}
	b.Blocks++
	b.Since, b.Until = now, now.Add(blockTime(b.Blocks))
	t.newlyBlocked = append(t.newlyBlocked, *b)
}

// RecordAnswer records that a request with the parts was answered, and returns those that are thereby
// cleared: that were under suspicion or blocked.
func (t *PartTable) RecordAnswer(now clock.Instant, parts []Part) []Part {
	var cleared []Part
	for _, part := range parts {
		t.answered.add(part)
		if t.clear(now, part) {
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// clear removes a part, and reports whether it was under suspicion or blocked.
func (t *PartTable) clear(now clock.Instant, part Part) bool {
	found := false
	for _, in := range t.incidents {
		if in.parts[part] {
			found = true
			delete(in.parts, part)
		}
	}
	if t.blocked[part] != nil {
		found = true
		delete(t.blocked, part)
		t.clearedAt[part] = now
	}
	return found
}

// Check returns the first blocked part among the parts and whether there is one.
func (t *PartTable) Check(now clock.Instant, parts []Part) (Part, bool) {
	t.decide(now)
	if len(t.blocked) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if b := t.blocked[part]; b != nil && now < b.Until {
			return part, true
		}
	}
	return 0, false
}

// TakeNewlyBlocked returns the parts that were blocked since the last call.
func (t *PartTable) TakeNewlyBlocked() []BlockedPart {
	out := t.newlyBlocked
	t.newlyBlocked = nil
	return out
}

// Blocked returns up to n parts that are blocked now, for other VMs.
func (t *PartTable) Blocked(now clock.Instant, n int) []BlockedPart {
	t.decide(now)
	var out []BlockedPart
	for _, b := range t.blocked {
		if len(out) < n && now < b.Until {
			out = append(out, *b)
		}
	}
	return out
}

// Merge records that another VM has blocked a part.
func (t *PartTable) Merge(now clock.Instant, b BlockedPart) {
	if clearedAt, ok := t.clearedAt[b.Part]; ok && b.Since < clearedAt.Add(clearPrecedence) {
		return
	}
	known := t.blocked[b.Part]
	if now >= b.Until || known != nil && known.Until >= b.Until || known == nil && len(t.blocked) >= maxBlockedParts {
		return
	}
	b.Blocks = max(b.Blocks, 1)
	b.Until = min(b.Until, now.Add(maxBlockTime))
	b.Upstreams = nil
	wasBlocked := known != nil && now < known.Until
	t.blocked[b.Part] = &b
	if !wasBlocked {
		t.newlyBlocked = append(t.newlyBlocked, b)
	}
}

// decide blocks the parts that remain under suspicion for crashes of the age confirmDelay.
func (t *PartTable) decide(now clock.Instant) {
	if t.decideAt == 0 || now < t.decideAt {
		return
	}
	t.expire(now)
	for len(t.blocked) < maxBlockedParts {
		parts := t.mostSuspicious(now)
		if len(parts) == 0 {
			break
		}
		for _, part := range parts {
			t.block(now, part)
		}
	}
	t.decideAt = 0
	for _, in := range t.incidents {
		if due := in.at.Add(confirmDelay); due > now {
			t.decideAt = due
			break
		}
	}
}

// mostSuspicious returns the parts to block: of those with enough occasions the ones with the most,
// and of these the ones that were never answered, if there are any.
func (t *PartTable) mostSuspicious(now clock.Instant) []Part {
	var open []*incident
	for _, in := range t.incidents {
		if !in.explained && len(in.parts) > 0 && now.Sub(in.at) >= confirmDelay {
			open = append(open, in)
		}
	}
	counts, total := countOccasions(open)
	most, mostAnswered := 0, true
	var parts []Part
	for part, c := range counts {
		answered := t.answered.contains(part)
		if !c.isSuspicious(total, answered) {
			continue
		}
		if c.occasions > most || c.occasions == most && mostAnswered && !answered {
			most, mostAnswered, parts = c.occasions, answered, parts[:0]
		}
		if c.occasions == most && answered == mostAnswered {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// block blocks a part and marks its incidents as explained.
func (t *PartTable) block(now clock.Instant, part Part) {
	b := &BlockedPart{Part: part, Since: now, Until: now.Add(blockTime(1)), Blocks: 1}
	for _, in := range t.incidents {
		if in.parts[part] {
			in.explained = true
			b.Upstreams = append(b.Upstreams, in.upstream)
		}
	}
	t.blocked[part] = b
	t.newlyBlocked = append(t.newlyBlocked, *b)
}

// expire removes incidents, blocked parts and cleared parts that no longer matter.
func (t *PartTable) expire(now clock.Instant) {
	t.incidents = slices.DeleteFunc(t.incidents, func(in *incident) bool { return now.Sub(in.at) > incidentLifetime })
	for part, b := range t.blocked {
		if now.Sub(b.Until) > maxBlockTime {
			delete(t.blocked, part)
		}
	}
	for part, at := range t.clearedAt {
		if now.Sub(at) > incidentLifetime {
			delete(t.clearedAt, part)
		}
	}
}
