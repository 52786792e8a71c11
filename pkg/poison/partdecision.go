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
	// blockAloneAfterOccasions is the number of occasions at which a part of a block is blocked without
	// the others.
	blockAloneAfterOccasions = 2
	// minOccasionShare is the share of the occasions since its first one that a part must have. In a
	// failure of many upstreams each part is involved in few of them.
	minOccasionShare = 1.0 / 3
	// occasionGap is the time after the first crash of an occasion from which on a crash belongs to
	// another one.
	occasionGap = 100 * time.Millisecond
	// confirmDelay is the age from which on a crash counts. Until then answers to other requests
	// clear the parts that they have in common with it.
	confirmDelay = 300 * time.Millisecond
	// decisionGap is the least time between two decisions. One takes some milliseconds after a failure of
	// many upstreams, of which each crash calls for another decision.
	decisionGap = 100 * time.Millisecond
)

// decide blocks the parts that remain under suspicion for crashes of the age confirmDelay.
func (t *PartTable) decide(now clock.Instant) {
	if t.decideAt == 0 || now < t.decideAt {
		return
	}
	t.expire(now)
	for t.blockMostSuspicious(now) {
	}
	t.decideAt = 0
	for _, in := range t.incidents {
		if due := in.at.Add(confirmDelay); due > now {
			t.decideAt = max(due, now.Add(decisionGap))
			break
		}
	}
}

// openIncidents returns the incidents that count and that no block explains.
func (t *PartTable) openIncidents(now clock.Instant) []*incident {
	var open []*incident
	for _, in := range t.incidents {
		if now.Sub(in.at) >= confirmDelay && in.isSuspicious() && !t.isExplained(in) {
			open = append(open, in)
		}
	}
	return open
}

// isExplained reports whether a request of an incident had all parts of a block. Its other parts are then
// not under suspicion.
func (t *PartTable) isExplained(in *incident) bool { return slices.ContainsFunc(t.blocks, in.matches) }

// blockMostSuspicious blocks the most suspicious parts, and reports whether there are any.
func (t *PartTable) blockMostSuspicious(now clock.Instant) bool {
	open := t.openIncidents(now)
	parts := t.mostSuspicious(open)
	var together [][]Part
	for _, in := range open {
		for _, prompt := range in.prompts {
			together = addMaximal(together, intersect(prompt, parts))
		}
	}
	for _, parts := range together {
		t.block(now, parts)
	}
	return len(together) > 0
}

// mostSuspicious returns the parts to block: of those with enough occasions the ones with the most,
// and of these the ones that were never answered, if there are any.
func (t *PartTable) mostSuspicious(open []*incident) []Part {
	counts, total := countOccasions(open)
	most, mostAnswered := 0, true
	var parts []Part
	for part, c := range counts {
		answered := t.answered.contains(part)
		if !c.isSuspicious(total, t.limits, answered, t.isInBlock(part)) {
			continue
		}
		if c.occasions > most || c.occasions == most && mostAnswered && !answered {
			most, mostAnswered, parts = c.occasions, answered, parts[:0]
		}
		if c.occasions == most && answered == mostAnswered {
			parts = append(parts, part)
		}
	}
	if most < blockAnsweredAfterOccasions && len(parts) > t.limits.maxCandidates {
		return nil
	}
	slices.Sort(parts)
	return parts
}

// isInBlock reports whether a part is one of the parts of a block.
func (t *PartTable) isInBlock(part Part) bool {
	return slices.ContainsFunc(t.blocks, func(b *Block) bool { return slices.Contains(b.Parts, part) })
}

// block blocks parts that came together.
func (t *PartTable) block(now clock.Instant, parts []Part) {
	b := &Block{Parts: parts, FirstCrash: now, Until: now.Add(blockTime(1)), Blocks: 1}
	for _, in := range t.incidents {
		if in.matches(b) {
			b.FirstCrash = min(b.FirstCrash, in.at)
			b.Upstreams = append(b.Upstreams, in.upstream)
		}
	}
	t.add(b)
}
