package catalog

import "time"

// Pool is a group of upstreams that serve the same stage or kind of request.
type Pool struct {
	Name string
	// HealthPath is the path of the liveness check.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// ColdTime is how long an upstream is in cold start after its start; 0 means never.
	ColdTime time.Duration
	// ColdPerSecond is the rate of requests that an upstream in cold start bears.
	ColdPerSecond float64
	// Batch is set if the pool runs stages.
	Batch *Batch
	// Engine is set if the pool runs a language model.
	Engine *Engine
}

// Batch says how an upstream runs the pieces of stages.
type Batch struct {
	// Concurrency is the number of calls in progress at one upstream.
	Concurrency int
	// Queue is the number of calls that may wait at one upstream.
	Queue int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is the time of a call without its pieces.
	CallTime time.Duration
	// PieceTime is the approximate time that one piece adds.
	PieceTime time.Duration
	// ResultBytes is the memory for results at one upstream.
	ResultBytes int64
	// ResultTTL is how long a result is kept after the end of its call.
	ResultTTL time.Duration
}

// Engine describes the upstreams of a language model.
type Engine struct {
	// Concurrency is the number of requests in one batch.
	Concurrency int
	// CacheTokens is the memory for running requests and cached prefixes.
	CacheTokens int64
}
