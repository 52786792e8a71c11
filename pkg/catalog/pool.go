package catalog

import "time"

// Pool is a group of upstreams that serve the same stage or kind of request.
type Pool struct {
	Name string
	// HealthPath is the HTTP path of the liveness check.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// ColdStartTime is the duration of the cold start of an upstream; 0 means no cold start.
	ColdStartTime time.Duration
	// ColdRequestsPerSecond is the request rate that an upstream can serve during its cold
	// start.
	ColdRequestsPerSecond float64
	// Batch is set if the pool runs stages.
	Batch *Batch
	// Engine is set if the pool runs a language model.
	Engine *Engine
}

// Batch describes how an upstream runs the pieces of stages in batched calls.
type Batch struct {
	// Concurrency is the number of calls that one upstream runs at a time.
	Concurrency int
	// QueueLimit is the number of calls that may wait at one upstream.
	QueueLimit int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is the fixed duration of a call, without its pieces.
	CallTime time.Duration
	// PieceTime is the approximate duration that each piece adds to a call.
	PieceTime time.Duration
	// ResultMemoryBytes is the memory for results at one upstream; 0 means no limit.
	ResultMemoryBytes int64
	// ResultTTL is how long an upstream keeps a result after the call that produced it.
	ResultTTL time.Duration
}

// Engine describes the upstreams of a language model.
type Engine struct {
	// Concurrency is the number of requests that one upstream processes in one batch.
	Concurrency int
	// CacheTokens is the memory for running requests and cached prefixes, in tokens.
	CacheTokens int64
	// CacheBytesPerToken is the size of a cached token, and LinkBytesPerSecond the rate at which
	// upstreams copy cached tokens from each other; 0 if they do not.
	CacheBytesPerToken float64
	LinkBytesPerSecond float64
}
