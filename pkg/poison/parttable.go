package poison

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
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
	limits       *partLimits
}

// partLimits are the limits in which tables of parts and of whole requests differ.
type partLimits struct {
	// maxPrompts bounds the requests kept of one crash.
	maxPrompts int
	// minOccasionShare is the share of the occasions since its first one that a part must have.
	minOccasionShare float64
	// maxCandidates is the number of parts, equally suspicious, above which
	// blockAnsweredAfterOccasions are needed.
	maxCandidates int
	// neverAnswered and answered are what suffices to block a part, by whether it was ever answered.
	neverAnswered, answered []evidence
}

// defaultPartLimits are the limits of tables of parts.
var defaultPartLimits = partLimits{
	maxPrompts: maxIncidentPrompts, minOccasionShare: minOccasionShare, maxCandidates: math.MaxInt,
	neverAnswered: []evidence{{occasions: blockAfterOccasions}, {occasions: 2, crashes: blockAfterCrashes}},
	answered:      []evidence{{occasions: blockAnsweredAfterOccasions}},
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable { return &PartTable{limits: &defaultPartLimits} }

// RecordCrash records that an upstream crashed before it began the answer to a request with the
// prompt. The upstream is identified by one start of it.
func (t *PartTable) RecordCrash(now clock.Instant, upstream string, prompt []Part) {
	if len(prompt) == 0 {
		return
	}
	prompt = prompt[:min(len(prompt), maxPromptParts)]
	t.expire(now)
	t.incident(now, upstream).add(prompt, t.limits.maxPrompts)
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

// expire removes incidents and blocks that no longer matter.
func (t *PartTable) expire(now clock.Instant) {
	t.incidents = slices.DeleteFunc(t.incidents, func(in *incident) bool { return now.Sub(in.at) > incidentLifetime })
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool { return now.Sub(b.Until) > maxBlockTime })
}
