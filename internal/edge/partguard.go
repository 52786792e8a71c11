package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

const (
	// minClearDelay is how long parts to clear are collected before the other VMs learn of them. A
	// random time of up to clearJitter is added, in which most of them learn it from one VM.
	minClearDelay = 30 * time.Millisecond
	clearJitter   = 90 * time.Millisecond
	// maxDatagramBlocks bounds the blocks of a datagram, which must fit into one packet.
	maxDatagramBlocks = 4
	// maxReportedParts bounds the parts of prompts that are accepted from one message.
	maxReportedParts = 1024
)

// partGuard keeps requests from upstreams whose prompt has a part that crashes them. It is safe for
// concurrent use.
type partGuard struct {
	now    func() clock.Instant
	logger *zap.Logger
	// sendClears tells the other VMs of parts that were answered.
	sendClears func(parts []poison.Part)

	mu    sync.Mutex
	table *poison.PartTable
	// clears are the parts that the other VMs have yet to be told of.
	clears map[poison.Part]bool
}

func newPartGuard(now func() clock.Instant, logger *zap.Logger, sendClears func(parts []poison.Part)) *partGuard {
	return &partGuard{now: now, logger: logger, sendClears: sendClears, table: poison.NewPartTable(), clears: map[poison.Part]bool{}}
}

// check returns the parts for which a prompt is refused; nil if it is not.
func (g *partGuard) check(prompt []poison.Part) []poison.Part {
	if len(prompt) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	blocked := g.table.Check(g.now(), prompt)
	g.logBlocked()
	return blocked
}

// logBlocked logs the blocks that began since the last call. The caller holds the lock.
func (g *partGuard) logBlocked() {
	for _, b := range g.table.TakeNewlyBlocked() {
		g.logger.Warn("parts of prompts blocked", zap.String("parts", formatParts(b.Parts)), zap.Int("blocks", b.Blocks),
			zap.Duration("for", b.Until.Sub(g.now())), zap.Strings("upstreams", b.Upstreams))
	}
}

// formatParts returns parts as they are logged.
func formatParts(parts []poison.Part) string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, strconv.FormatUint(uint64(part), 16))
	}
	return strings.Join(texts, ",")
}

// recordCrash records that an upstream crashed before it began the answer to a request with the parts.
func (g *partGuard) recordCrash(upstream string, start int64, parts []poison.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordCrash(g.now(), upstream+"/"+strconv.FormatInt(start, 10), parts)
	g.logBlocked()
}

// recordAnswer records that a request with the parts was answered on this VM.
func (g *partGuard) recordAnswer(parts []poison.Part) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.table.RecordAnswer(g.now(), parts)
	if len(cleared) > 0 {
		g.logger.Debug("parts of prompts cleared", zap.String("parts", formatParts(cleared)))
	}
	g.addClears(cleared)
}

// addClears makes the other VMs learn that parts were answered. The caller holds the lock.
func (g *partGuard) addClears(parts []poison.Part) {
	if len(parts) == 0 {
		return
	}
	if len(g.clears) == 0 {
		time.AfterFunc(minClearDelay+rand.N(clearJitter), g.flushClears)
	}
	for _, part := range parts {
		g.clears[part] = true
	}
}

// flushClears tells the other VMs of the parts that none of them has reported meanwhile.
func (g *partGuard) flushClears() {
	g.mu.Lock()
	var parts []poison.Part
	for part := range g.clears {
		parts = append(parts, part)
	}
	clear(g.clears)
	g.mu.Unlock()
	if len(parts) > 0 {
		g.sendClears(parts)
	}
}

// recordClears records parts that another VM reports as answered.
func (g *partGuard) recordClears(parts []poison.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordAnswer(g.now(), parts)
	for _, part := range parts {
		delete(g.clears, part)
	}
}

// blocksForMessage returns blocks for a datagram to another VM.
func (g *partGuard) blocksForMessage() []*hoistv1.PromptBlock {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var out []*hoistv1.PromptBlock
	for _, b := range g.table.Blocks(now, maxDatagramBlocks) {
		out = append(out, &hoistv1.PromptBlock{
			Parts: partsToProto(b.Parts), FirstCrashAgeMs: now.Sub(b.FirstCrash).Milliseconds(), LeftMs: b.Until.Sub(now).Milliseconds(), Blocks: uint32(b.Blocks),
		})
	}
	return out
}

// mergeBlocks records the blocks of another VM.
func (g *partGuard) mergeBlocks(blocks []*hoistv1.PromptBlock) {
	if len(blocks) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, b := range blocks[:min(len(blocks), maxDatagramBlocks)] {
		refuted := g.table.Merge(now, poison.Block{
			Parts: partsFromProto(b.GetParts()), Blocks: int(b.GetBlocks()),
			FirstCrash: now.Add(-time.Duration(b.GetFirstCrashAgeMs()) * time.Millisecond),
			Until:      now.Add(time.Duration(b.GetLeftMs()) * time.Millisecond),
		})
		g.addClears(refuted)
	}
	g.logBlocked()
}

// ClearParts records parts of prompts that another VM reports as answered.
func (f fleetServer) ClearParts(_ context.Context, r *hoistv1.ClearPartsRequest) (*hoistv1.ClearPartsResponse, error) {
	f.s.parts.recordClears(partsFromProto(r.GetParts()))
	return &hoistv1.ClearPartsResponse{}, nil
}

// partsToProto and partsFromProto translate parts of prompts between the types of Go and of messages.
func partsToProto(parts []poison.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, uint64(part))
	}
	return out
}

func partsFromProto(parts []uint64) []poison.Part {
	parts = parts[:min(len(parts), maxReportedParts)]
	out := make([]poison.Part, 0, len(parts))
	for _, part := range parts {
		out = append(out, poison.Part(part))
	}
	return out
}
