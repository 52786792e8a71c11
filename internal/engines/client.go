// Package engines reads the state of model engines and sends them orders to load models.
package engines

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/httpclient"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/orders"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Paths of an engine's control interface.
const (
	// PathState answers GET with a StateDocument.
	PathState = "/engine/state"
	// PathOrders takes POST of an OrderDocument.
	PathOrders = "/engine/orders"
)

const (
	// controlCallTimeout bounds one control call to an engine.
	controlCallTimeout = time.Second
	// maxResponseBytes bounds the body of a response; a state has some hundred bytes.
	maxResponseBytes = 64 << 10
)

// ModelDocument identifies a model with its adapter and version.
type ModelDocument struct {
	Name    string `json:"name"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// StateDocument is the state that an engine reports.
type StateDocument struct {
	Model    ModelDocument `json:"model"`
	Loading  bool          `json:"loading"`
	Cold     bool          `json:"cold"`
	InFlight int           `json:"in_flight"`
}

// OrderDocument instructs an engine to load a model.
type OrderDocument struct {
	Model ModelDocument `json:"model"`
	// Fencing is the fencing token. An engine that checks it answers 409 to a token lower
	// than the highest one it has seen.
	Fencing uint64 `json:"fencing"`
}

// Client calls the control interface of engines.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client.
func NewClient() *Client { return &Client{http: httpclient.New(maxResponseBytes)} }

// State reads an engine's state. It returns an error if the call fails, the status is not
// 200 or the document cannot be decoded.
func (c *Client) State(address string, observed clock.Instant) (orders.EngineState, error) {
	var document StateDocument
	status, body, err := c.do(fasthttp.MethodGet, address+PathState, nil)
	if err != nil {
		return orders.EngineState{}, err
	}
	if status != fasthttp.StatusOK {
		return orders.EngineState{}, errors.Newf("engine %s answered with status %d", address, status)
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return orders.EngineState{}, errors.Wrapf(err, "decode state of engine %s", address)
	}
	return orders.EngineState{
		Model:    table.Model(document.Model),
		Loading:  document.Loading,
		Cold:     document.Cold,
		InFlight: document.InFlight,
		Observed: observed,
	}, nil
}

// Send sends an order to an engine and classifies the response.
func (c *Client) Send(order orders.Order) orders.ResultKind {
	body, err := json.Marshal(OrderDocument{Model: ModelDocument(order.Model), Fencing: order.Fencing})
	if err != nil {
		return orders.ResultFailed
	}
	status, _, err := c.do(fasthttp.MethodPost, order.Address+PathOrders, body)
	switch {
	case err != nil:
		return orders.ResultFailed
	case status == fasthttp.StatusConflict:
		return orders.ResultSuperseded
	case status == fasthttp.StatusOK, status == fasthttp.StatusAccepted:
		return orders.ResultAccepted
	default:
		return orders.ResultFailed
	}
}

func (c *Client) do(method, url string, body []byte) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + url)
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, controlCallTimeout); err != nil {
		return 0, nil, errors.Wrapf(err, "call engine at %s", url)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
