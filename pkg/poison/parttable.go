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
	// incidentLifetime is how long a crash counts, and maxIncidents bounds those kept.
	incidentLifetime = time.Minute
	maxIncidents     = 128
	// maxIncidentPrompts bounds the requests kept of one crash, and maxPromptParts the parts of each.
	maxIncidentPrompts = 64
	maxPromptParts     = 32
	// maxBlocks bounds the blocks.
	maxBlocks = 64
	// firstBlockTime is how long a part is blocked for the first time. Each block that follows takes
	// twice as long as the one before, up to maxBlockTime, but for parts that were answered once: all
	// requests of a route may need them, and have crashed upstreams for another reason.
	firstBlockTime    = time.Minute
	maxBlockTime      = 32 * time.Minute
	maxBlockDoublings = 5
	// clearPrecedence is the time by which the first crash for a block of another VM must be later
	// than an answer known here for the block to take effect, since the time is known only roughly:
	// the message may have waited at either VM.
	clearPrecedence = 2 * time.Second
)

// PartTable finds the parts of prompts that crash each upstream which begins to answer a request with
// them, whatever else the request holds.
//
// Each crash puts all parts of the requests under suspicion whose answers the upstream had not begun.
// An answer clears the parts of its request, since a part that crashes upstreams is never answered. A
// part that remains after several crashes is blocked. Of several such parts those with the most crashes
// are blocked, those that were never answered first, and the others are then no longer under suspicion
// for these crashes. Parts that only came together are blocked together: a request with some of them is
// let through, and its answer or crash tells which of them it is.
//
// Invariant: a part is blocked only if this VM knows of no answer to a request with it since the first
// of at least blockAloneAfterOccasions crashes, or if another VM does so.
type PartTable struct {
	// incidents are in the order of their times.
	incidents []*incident
	// decideAt is when the parts under suspicion are looked at next; 0 if there is nothing new.
	decideAt clock.Instant
	// blocks holds the blocks in force, and those that have ended but whose parts were not answered
	// since: they begin again at the next crash.
	blocks []*Block
	// answered holds when parts were last answered.
	answered     partMemory
	newlyBlocked []Block
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable { return &PartTable{} }

// RecordCrash records that an upstream crashed before it began the answer to a request with the
// prompt. The upstream is identified by one start of it.
func (t *PartTable) RecordCrash(now clock.Instant, upstream string, prompt []Part) {
	if len(prompt) == 0 {
		return
	}
	prompt = prompt[:min(len(prompt), maxPromptParts)]
	t.expire(now)
	t.incident(now, upstream).add(prompt)
	for _, b := range t.blocks {
		if b.matches(prompt) {
			t.blockAgain(now, b)
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
	in := &incident{upstream: upstream, at: now}
	t.incidents = append(t.incidents, in)
	return in
}

// blockAgain begins a block again that has ended.
func (t *PartTable) blockAgain(now clock.Instant, b *Block) {
	if now < b.Until {
		return
	}
	if !slices.ContainsFunc(b.Parts, t.answered.contains) {
		b.Blocks++
	}
	b.Until = now.Add(blockTime(b.Blocks))
	t.newlyBlocked = append(t.newlyBlocked, *b)
}

// RecordAnswer records that a request with the parts was answered, and returns those that are thereby
// cleared: that were under suspicion or blocked.
func (t *PartTable) RecordAnswer(now clock.Instant, parts []Part) []Part {
	var cleared []Part
	for _, part := range parts {
		t.answered.add(now, part)
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
		found = in.remove(part) || found
	}
	for _, b := range t.blocks {
		if b.remove(part) {
			found = true
		}
	}
	blocks := len(t.blocks)
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool { return len(b.Parts) == 0 })
	if len(t.blocks) < blocks {
		// The crashes that the part explained count for the others again.
		t.decideAt = now
	}
	return found
}

// Check returns the parts for which a prompt is refused; nil if it is not.
func (t *PartTable) Check(now clock.Instant, prompt []Part) []Part {
	t.decide(now)
	for _, b := range t.blocks {
		if now < b.Until && b.matches(prompt) {
			return b.Parts
		}
	}
	return nil
}

// TakeNewlyBlocked returns the blocks that began since the last call.
func (t *PartTable) TakeNewlyBlocked() []Block {
	out := t.newlyBlocked
	t.newlyBlocked = nil
	return out
}

// Blocks returns up to n blocks in force, the latest first, for other VMs.
func (t *PartTable) Blocks(now clock.Instant, n int) []Block {
	t.decide(now)
	var out []Block
	for _, b := range slices.Backward(t.blocks) {
		if len(out) < n && now < b.Until {
			out = append(out, *b)
		}
	}
	return out
}

// Merge adds a block of another VM without the parts that were answered since the first crash for which
// they are blocked. It returns those of them of whose answers the other VM must learn. A VM that was cut
// off from the others notices no answers, and its upstreams seem to crash.
func (t *PartTable) Merge(now clock.Instant, b Block) (refuted []Part) {
	if now >= b.Until || len(b.Parts) > maxPromptParts {
		return nil
	}
	b.FirstCrash = min(b.FirstCrash, now)
	b.Parts = slices.DeleteFunc(slices.Clone(b.Parts), func(part Part) bool {
		answeredAt, ok := t.answered.lastAdded(part)
		if ok && b.FirstCrash.Add(clearPrecedence) < answeredAt {
			refuted = append(refuted, part)
		}
		return ok && b.FirstCrash < answeredAt.Add(clearPrecedence)
	})
	if len(b.Parts) == 0 || t.covers(now, b.Parts) {
		return refuted
	}
	slices.Sort(b.Parts)
	b.Blocks = max(b.Blocks, 1)
	b.Until = min(b.Until, now.Add(maxBlockTime))
	b.Upstreams = nil
	t.add(&b)
	return refuted
}

// covers reports whether a block in force refuses all prompts with the parts.
func (t *PartTable) covers(now clock.Instant, parts []Part) bool {
	return slices.ContainsFunc(t.blocks, func(b *Block) bool { return now < b.Until && b.matches(parts) })
}

// add adds a block in place of those that it makes needless.
func (t *PartTable) add(b *Block) {
	t.blocks = slices.DeleteFunc(t.blocks, func(other *Block) bool { return b.matches(other.Parts) })
	if len(t.blocks) >= maxBlocks {
		t.blocks = slices.Delete(t.blocks, 0, 1)
	}
	t.blocks = append(t.blocks, b)
	t.newlyBlocked = append(t.newlyBlocked, *b)
}

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
			t.decideAt = due
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
		if !c.isSuspicious(total, answered, t.isInBlock(part)) {
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

// intersect returns the parts of a prompt that are among the sorted parts, in ascending order.
func intersect(prompt, sorted []Part) []Part {
	var out []Part
	for _, part := range prompt {
		if _, found := slices.BinarySearch(sorted, part); found {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// addMaximal adds a set of parts to sets of which none contains another one, unless one of them
// contains it.
func addMaximal(sets [][]Part, parts []Part) [][]Part {
	if len(parts) == 0 || slices.ContainsFunc(sets, func(set []Part) bool { return containsAll(set, parts) }) {
		return sets
	}
	sets = slices.DeleteFunc(sets, func(set []Part) bool { return containsAll(parts, set) })
	return append(sets, parts)
}

// containsAll reports whether a prompt has all the parts.
func containsAll(prompt, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(part Part) bool { return !slices.Contains(prompt, part) })
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

// expire removes incidents and blocks that no longer matter.
func (t *PartTable) expire(now clock.Instant) {
	t.incidents = slices.DeleteFunc(t.incidents, func(in *incident) bool { return now.Sub(in.at) > incidentLifetime })
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool { return now.Sub(b.Until) > maxBlockTime })
}
