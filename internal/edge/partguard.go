package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
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
	// maxDatagramBlocks bounds the blocks of parts and those of requests in a datagram, which must fit
	// into one packet.
	maxDatagramBlocks = 4
	// maxReportedParts bounds the parts of prompts, with the cleared requests, that are accepted from one
	// message.
	maxReportedParts = 1024
)

// partGuard keeps requests from upstreams that crash them, or whose prompt has a part that does. It is
// safe for concurrent use.
type partGuard struct {
	now    func() clock.Instant
	logger *zap.Logger
	// sendClears tells the other VMs of parts and requests that were answered.
	sendClears func(parts, requests []poison.Part)

	mu       sync.Mutex
	table    *poison.PartTable
	requests *poison.RequestTable
	// clears and requestClears are what the other VMs have yet to be told of.
	clears        map[poison.Part]bool
	requestClears map[poison.Part]bool
}

func newPartGuard(now func() clock.Instant, logger *zap.Logger, sendClears func(parts, requests []poison.Part)) *partGuard {
	return &partGuard{
		now: now, logger: logger, sendClears: sendClears, table: poison.NewPartTable(), requests: poison.NewRequestTable(),
		clears: map[poison.Part]bool{}, requestClears: map[poison.Part]bool{},
	}
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

// checkRequest reports whether a request is refused since it crashes upstreams.
func (g *partGuard) checkRequest(request poison.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isBlocked := g.requests.Check(g.now(), request)
	g.logBlocked()
	return isBlocked
}

// logBlocked logs the blocks that began since the last call. The caller holds the lock.
func (g *partGuard) logBlocked() {
	for _, b := range g.requests.TakeNewlyBlocked() {
		g.logger.Warn("request blocked", zap.String("fingerprint", formatParts(b.Parts)), zap.Int("blocks", b.Blocks),
			zap.Duration("for", b.Until.Sub(g.now())), zap.Strings("upstreams", b.Upstreams))
	}
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

// recordCrashes records that one start of an upstream crashed while it ran the requests, and before it
// had answered those with the prompts.
func (g *partGuard) recordCrashes(upstream string, start int64, requests []poison.Part, prompts [][]poison.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := upstream + "/" + strconv.FormatInt(start, 10)
	for _, request := range requests {
		g.requests.RecordCrash(g.now(), name, request)
	}
	for _, parts := range prompts {
		g.table.RecordCrash(g.now(), name, parts)
	}
	g.logBlocked()
}

// recordRequestAnswer records that a request was answered completely on this VM.
func (g *partGuard) recordRequestAnswer(request poison.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requests.RecordAnswer(g.now(), request) {
		g.logger.Debug("request cleared", zap.String("fingerprint", formatParts([]poison.Part{request})))
		g.addRequestClear(request)
	}
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
	g.startFlush()
	for _, part := range parts {
		g.clears[part] = true
	}
}

// addRequestClear makes the other VMs learn that a request was answered. The caller holds the lock.
func (g *partGuard) addRequestClear(request poison.Part) {
	g.startFlush()
	g.requestClears[request] = true
}

// startFlush makes what is then added be sent soon. The caller holds the lock.
func (g *partGuard) startFlush() {
	if len(g.clears) == 0 && len(g.requestClears) == 0 {
		time.AfterFunc(minClearDelay+rand.N(clearJitter), g.flushClears)
	}
}

// flushClears tells the other VMs of the parts and requests that none of them has reported meanwhile.
func (g *partGuard) flushClears() {
	g.mu.Lock()
	parts, requests := slices.Collect(maps.Keys(g.clears)), slices.Collect(maps.Keys(g.requestClears))
	clear(g.clears)
	clear(g.requestClears)
	g.mu.Unlock()
	if len(parts)+len(requests) > 0 {
		g.sendClears(parts, requests)
	}
}

// recordClears records parts and requests that another VM reports as answered.
func (g *partGuard) recordClears(parts, requests []poison.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordAnswer(g.now(), parts)
	for _, part := range parts {
		delete(g.clears, part)
	}
	for _, request := range requests {
		g.requests.RecordClear(g.now(), request)
		delete(g.requestClears, request)
	}
}

// blocksForMessage returns blocks for a datagram to another VM.
func (g *partGuard) blocksForMessage() []*hoistv1.PromptBlock {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var out []*hoistv1.PromptBlock
	for _, b := range g.table.Blocks(now, maxDatagramBlocks) {
		block := blockToProto(now, b)
		block.Parts = partsToProto(b.Parts)
		out = append(out, block)
	}
	for _, b := range g.requests.Blocks(now, maxDatagramBlocks) {
		block := blockToProto(now, b)
		block.Request = uint64(b.Parts[0])
		out = append(out, block)
	}
	return out
}

// blockToProto translates all of a block but what it refuses.
func blockToProto(now clock.Instant, b poison.Block) *hoistv1.PromptBlock {
	return &hoistv1.PromptBlock{
		FirstCrashAgeMs: now.Sub(b.FirstCrash).Milliseconds(), LeftMs: b.Until.Sub(now).Milliseconds(), Blocks: uint32(b.Blocks),
	}
}

// mergeBlocks records the blocks of another VM.
func (g *partGuard) mergeBlocks(blocks []*hoistv1.PromptBlock) {
	if len(blocks) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, b := range blocks[:min(len(blocks), 2*maxDatagramBlocks)] {
		block := poison.Block{
			Parts: partsFromProto(b.GetParts(), maxReportedParts), Blocks: int(b.GetBlocks()),
			FirstCrash: now.Add(-time.Duration(b.GetFirstCrashAgeMs()) * time.Millisecond),
			Until:      now.Add(time.Duration(b.GetLeftMs()) * time.Millisecond),
		}
		if request := poison.Part(b.GetRequest()); request != 0 {
			block.Parts = []poison.Part{request}
			if g.requests.Merge(now, block) {
				g.addRequestClear(request)
			}
			continue
		}
		g.addClears(g.table.Merge(now, block))
	}
	g.logBlocked()
}

// ClearParts records parts of prompts and requests that another VM reports as answered.
func (f fleetServer) ClearParts(_ context.Context, r *hoistv1.ClearPartsRequest) (*hoistv1.ClearPartsResponse, error) {
	parts := partsFromProto(r.GetParts(), maxReportedParts)
	f.s.parts.recordClears(parts, partsFromProto(r.GetRequests(), maxReportedParts-len(parts)))
	return &hoistv1.ClearPartsResponse{}, nil
}

// partsToProto and partsFromProto translate parts of prompts and keys of requests between the types of Go
// and of messages. partsFromProto returns the first limit of them.
func partsToProto(parts []poison.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, uint64(part))
	}
	return out
}

func partsFromProto(parts []uint64, limit int) []poison.Part {
	parts = parts[:min(len(parts), limit)]
	out := make([]poison.Part, 0, len(parts))
	for _, part := range parts {
		out = append(out, poison.Part(part))
	}
	return out
}
