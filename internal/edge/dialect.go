package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// ErrHistoryGone reports that the store no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the store no longer has the changes after the revision")

// Source reads published items from the store.
type Source interface {
	// List returns all items, and the position of the store when the listing started. All items are of
	// the era of the position.
	List(ctx context.Context) ([]replica.Item, replica.Position, error)
	// Watch waits for changes after the revision of a position. It returns them, and the position up to
	// which they are complete. If that is of another era, the changes do not follow the given position.
	Watch(ctx context.Context, after replica.Position, wait time.Duration) ([]replica.Item, replica.Position, error)
}

// Decoder decodes a published item.
type Decoder = published.Decode

// PrefixPart is a part of a prompt prefix: its ID and its number of tokens.
type PrefixPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what the headers of a caller's request state.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits; 0 if not stated.
	Timeout time.Duration
	APIKey  string
	// LastEventID is the last event that the caller received before it resumed the stream.
	LastEventID string
	// ResumedRequest is the ID of the request that brought the first event of the stream that the caller
	// resumes; empty if not stated.
	ResumedRequest string
	PromptPrefix   []PrefixPart
	PromptTokens   int
	OutputTokens   int
	// OutputHint is the caller's estimate of the output in tokens; 0 if not stated. OutputTokens is
	// its limit.
	OutputHint int
	// Pieces is the number of pieces of each stage.
	Pieces []int
	// ContentKey identifies the content for stages without inputs.
	ContentKey string
}

// expectedOutput returns the expected size of the output in tokens.
func (r *RequestInfo) expectedOutput() int {
	if r.OutputHint > 0 {
		return min(r.OutputHint, max(r.OutputTokens, 0))
	}
	return max(r.OutputTokens, 0) / 2
}

// UpstreamRequest is what the edge adds to a request for the upstream.
type UpstreamRequest struct {
	Upstream  string
	Workspace string
	TimeLeft  time.Duration
	Priority  int
	// LastEventID replaces the caller's if Resumed is set.
	LastEventID string
	Resumed     bool
	Inputs      []string
	// IsEngine is set if the upstream serves a language model.
	IsEngine bool
	// CacheSource is the IP:port of an engine from which the upstream copies the cached part of
	// the prompt; empty if it has it itself or nobody is known to have it.
	CacheSource string
}

// ResponseInfo is what the status and headers of an upstream's response state.
type ResponseInfo struct {
	// RequestID is the request that the response belongs to; empty if not stated.
	RequestID string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if a different upstream has the address.
	Misdirected bool
	// InputsMissing is set if a stage's result no longer exists.
	InputsMissing bool
	// Sealed is set if the response has the seal which shows that the upstream created it.
	Sealed bool
	// Encoded is set if the body has an encoding that no upstream uses.
	Encoded bool
	// ColdRemaining is how long the upstream remains in cold start; 0 if not stated.
	ColdRemaining time.Duration
	// Load is the number of other calls at the upstream and its pace; nil if not stated. LoadInvalid is
	// set if what was stated is malformed.
	Load        *stagepool.CallLoad
	LoadInvalid bool
	// UpstreamID is the ID of the upstream that responded; empty if not stated.
	UpstreamID string
	// Leaving is set if the upstream states that it is about to stop.
	Leaving bool
	// Pause is how long the upstream asks for no traffic; 0 if not stated. PauseInvalid is set if
	// the stated time is not acceptable.
	Pause        time.Duration
	PauseInvalid bool
}

// Dialect encodes and decodes the platform's protocol with callers and upstreams.
type Dialect interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// UpstreamHeader returns the header of the request for the upstream.
	UpstreamHeader(header http.Header, request UpstreamRequest) http.Header
	// EncodeHealthQuery encodes a query for the state of an upstream at the health path of its
	// pool. The response is decoded by DecodeResponse.
	EncodeHealthQuery(address, upstream, path string) *outbound.Request
	// DecodeResponse decodes the status and header of an upstream's response.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// EncodeStageCall encodes a batch of pieces.
	EncodeStageCall(address string, call stagepool.Call) (*outbound.Request, error)
	// DecodeStageResults decodes the results of a batch.
	DecodeStageResults(body []byte) ([]stagepool.PieceResult, error)
	// EncodeMemoryQuery encodes a query for the free memory of a stage's upstream.
	EncodeMemoryQuery(address string) *outbound.Request
	// DecodeFreeMemory decodes an upper bound on the free memory for results, in bytes.
	DecodeFreeMemory(body []byte) (int64, error)
	// DecodeEngineReport decodes the load of an engine; the query is that for the free memory.
	DecodeEngineReport(body []byte) (enginepool.Report, error)
	// EncodeCacheQuery encodes a query for the parts of prompts that an engine caches.
	EncodeCacheQuery(address, upstream string) *outbound.Request
	// DecodeCacheList decodes the number of cached tokens by the ID of a part.
	DecodeCacheList(body []byte) (map[string]int, error)
	// HandleAddress returns the IP:port of the upstream that holds a result.
	HandleAddress(handle string) string
	// EncodeRelease encodes the release of results.
	EncodeRelease(address string, handles []string) (*outbound.Request, error)
}
