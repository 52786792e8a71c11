package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Results of others also occupy the memory of an upstream. Their size is unknown to an owner
// that received no handover, and after the upstream had no memory for a result. The upstream is
// then queried, if its memory is large enough for the response to be useful. Otherwise a new
// owner leaves part of the memory unused for some time.

const (
	// minMemoryQueryBytes is the result memory below which an upstream is not queried, because
	// it reports whole megabytes.
	minMemoryQueryBytes = 4_000_000
	// memoryQueryTimeout is how long an upstream gets no work while its response is
	// outstanding. It normally responds within 2 ms.
	memoryQueryTimeout = 250 * time.Millisecond
	// memoryQueryInterval is the minimum time between two queries while external results occupy
	// the memory.
	memoryQueryInterval = 500 * time.Millisecond
	// memoryReportTTL is how long a reported value is used; it gets stale quickly as results
	// come and go.
	memoryReportTTL = time.Second
	// assumedExternalFraction is the fraction of the memory assumed to hold external results if
	// the upstream cannot be queried. They expire after the TTL of a result at the latest.
	assumedExternalFraction = 0.4
	// outOfMemoryDuration is how long further results may find no memory after one did not.
	outOfMemoryDuration = 2 * time.Second
	// outOfMemoryBackoff is the backoff of an upstream after it had no memory for a result.
	outOfMemoryBackoff = 150 * time.Millisecond
)

// MemoryQueries returns the upstreams to query for their free memory since the last call.
func (p *Pool) MemoryQueries() []string {
	out := p.memoryQueries
	p.memoryQueries = nil
	return out
}

// ReportFreeMemory records that an upstream has at most freeBytes of memory free. Memory that
// is neither free nor used by results of this owner counts as external.
func (p *Pool) ReportFreeMemory(now clock.Instant, upstreamID string, freeBytes int64) {
	if u := p.upstreams[upstreamID]; u != nil {
		u.memoryKnown = true
		u.setExternalBytes(now.Add(memoryReportTTL), p.batch.ResultMemoryBytes-freeBytes-u.usedBytes)
	}
}

func (u *upstream) setExternalBytes(until clock.Instant, bytes int64) {
	u.externalBytes, u.externalUntil, u.externalExpiresFrom = max(bytes, 0), until, 0
}

// currentExternalBytes returns the memory that results of others are assumed to occupy.
func (u *upstream) currentExternalBytes(now clock.Instant) int64 {
	switch {
	case now >= u.externalUntil:
		return 0
	case u.externalExpiresFrom == 0:
		return u.externalBytes
	}
	left := float64(u.externalUntil.Sub(now)) / float64(u.externalUntil.Sub(u.externalExpiresFrom))
	return int64(left * float64(u.externalBytes))
}

// ensureMemoryKnown reports whether the free memory of the upstream is known well enough to
// send work, and queries it otherwise. If the query times out, part of the memory is assumed to
// be occupied.
func (p *Pool) ensureMemoryKnown(now clock.Instant, u *upstream) bool {
	switch {
	case p.batch.ResultMemoryBytes == 0 || u.memoryKnown:
		return true
	case p.batch.ResultMemoryBytes >= minMemoryQueryBytes && u.memoryQueriedAt == 0:
		p.queryMemory(now, u)
		return false
	case p.batch.ResultMemoryBytes >= minMemoryQueryBytes && now.Sub(u.memoryQueriedAt) < memoryQueryTimeout:
		return false
	}
	u.memoryKnown = true
	u.setExternalBytes(now.Add(p.batch.ResultTTL), int64(assumedExternalFraction*float64(p.batch.ResultMemoryBytes)))
	return true
}

func (p *Pool) queryMemory(now clock.Instant, u *upstream) {
	u.memoryQueriedAt = now
	p.memoryQueries = append(p.memoryQueries, u.ID)
}

// recordOutOfMemory records that the upstream had no memory for a result. It must be called once
// the results of the call are accounted for: what they do not occupy is occupied by results of
// others. If they cannot be queried, they are assumed to have been made at a steady rate, and so
// to expire at one. Those of a previous owner end one TTL after the start of this one.
func (p *Pool) recordOutOfMemory(now clock.Instant, u *upstream) {
	p.outOfMemoryAt = now
	u.backoffUntil = max(u.backoffUntil, now.Add(outOfMemoryBackoff))
	u.outOfMemoryUntil = now.Add(outOfMemoryDuration)
	if p.batch.ResultMemoryBytes >= minMemoryQueryBytes {
		u.memoryKnown, u.memoryQueriedAt = false, 0
		return
	}
	u.setExternalBytes(max(p.startedAt.Add(p.batch.ResultTTL), u.outOfMemoryUntil), p.batch.ResultMemoryBytes-u.usedBytes)
	u.externalExpiresFrom = now
}

// refreshMemory repeats the query while external results occupy memory that waiting work needs.
func (p *Pool) refreshMemory(now clock.Instant, u *upstream) {
	if p.batch.ResultMemoryBytes >= minMemoryQueryBytes && u.externalBytes > 0 && now < u.externalUntil && now.Sub(u.memoryQueriedAt) >= memoryQueryInterval {
		p.queryMemory(now, u)
	}
}
