package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// ErrHistoryGone reports that a store has dropped the changes after a revision.
var ErrHistoryGone = errors.New("the store has dropped the history")

// Source reads published items.
type Source interface {
	// List returns all items and the revision at which the listing began.
	List(ctx context.Context) ([]replica.Item, uint64, error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]replica.Item, uint64, error)
}

// Decoder turns a published item into *catalog.Catalog, *catalog.Upstream, ZoneOut or nil.
// Of a removed item, whose value is nil, it returns the identity alone.
type Decoder func(key string, value []byte) (any, error)

// PrefixPart is a part of a prompt.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Call is what a caller's request says of itself.
type Call struct {
	ID string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	// Key is the caller's API key.
	Key string
	// LastEvent is the last event that the caller has of a resumed stream.
	LastEvent    string
	Prefix       []PrefixPart
	PromptTokens int
	OutputTokens int
	// Pieces has the number of pieces of each stage.
	Pieces []int
	// ContentKey identifies the content for stages without inputs.
	ContentKey string
}

// Delivery is what the system adds to a request for its upstream.
type Delivery struct {
	Upstream  string
	Workspace string
	Left      time.Duration
	Priority  int
	// LastEvent overrides the caller's if Resumed is set.
	LastEvent string
	Resumed   bool
	Inputs    []string
	// Engine is set for a language model.
	Engine bool
}

// Verdict is what an upstream's answer says besides its content.
type Verdict struct {
	// ID is the request that the answer belongs to; empty if it does not say.
	ID string
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if another upstream has the address.
	Misdirected bool
	// InputsGone is set if a stage's result does not exist any more.
	InputsGone bool
	// Sealed is set if the answer bears the upstream's proof.
	Sealed bool
	// Cold is how long the upstream remains in cold start; 0 if it does not say.
	Cold time.Duration
	// Load is what else the upstream has to do; nil if it does not say.
	Load *stagepool.CallLoad
}

// Dialect translates between the product and what callers and upstreams speak.
type Dialect interface {
	// Read decodes a caller's request.
	Read(header http.Header) (Call, error)
	// Deliver returns the header of the request for the upstream.
	Deliver(header http.Header, delivery Delivery) http.Header
	// Judge decodes an upstream's answer.
	Judge(status int, header http.Header) Verdict
	// StageCall encodes a batch of pieces.
	StageCall(address string, call stagepool.Call) (*outbound.Request, error)
	// StageResults decodes the results of a batch.
	StageResults(body []byte) ([]stagepool.PieceResult, error)
	// StageReport encodes the question for the memory of an upstream of a stage.
	StageReport(address string) *outbound.Request
	// StageFree decodes how much memory for results is free at most, in bytes.
	StageFree(body []byte) (int64, error)
	// HandleAddress returns the IP:port of the upstream that holds a result.
	HandleAddress(handle string) string
	// StageRelease encodes the release of results.
	StageRelease(address string, handles []string) (*outbound.Request, error)
}
