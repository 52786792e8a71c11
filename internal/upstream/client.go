package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/responsehead"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// Options configures a Client.
type Options struct {
	// MinSilenceTimeout is the shortest time without received bytes after which a call probes
	// the upstream on a new connection.
	MinSilenceTimeout time.Duration
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// ProbeTimeout bounds dialing a probe connection, its exchange, and a cancel request.
	ProbeTimeout time.Duration
	// MaxResponseBytes limits the body of a response that is not streamed.
	MaxResponseBytes int
	// MaxResponseMemory limits what such bodies hold together while they are read, in bytes. Half of it
	// is available beside it for bodies that hold little.
	MaxResponseMemory int64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MinSilenceTimeout: 500 * time.Millisecond,
		DialTimeout:       time.Second,
		ProbeTimeout:      200 * time.Millisecond,
		MaxResponseBytes:  64 << 20,
		MaxResponseMemory: 1 << 30,
	}
}

// Stats counts events of a Client.
type Stats struct {
	Dials atomic.Int64
	// SilentConnections counts connections that were closed because they made no progress or
	// were idle beside one that made none.
	SilentConnections atomic.Int64
	// IdentityMismatches counts responses that carried the identity of another call.
	IdentityMismatches atomic.Int64
	// CancelRequests counts calls of POST /cancel.
	CancelRequests atomic.Int64
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	Stats     Stats
	options   Options
	responses responseMemory

	mu          sync.RWMutex
	hosts       map[string]*host
	cancelSlots chan struct{}
}

// maxConcurrentCancels limits concurrent calls of POST /cancel. Above the limit a cancelled
// call only closes its connection.
const maxConcurrentCancels = 64

// NewClient returns a client.
func NewClient(options Options) *Client {
	return &Client{
		options: options, responses: responseMemory{total: options.MaxResponseMemory},
		hosts: map[string]*host{}, cancelSlots: make(chan struct{}, maxConcurrentCancels),
	}
}

func (c *Client) host(address string) *host {
	c.mu.RLock()
	h := c.hosts[address]
	c.mu.RUnlock()
	if h != nil {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h = c.hosts[address]; h == nil {
		h = &host{address: address, options: &c.options}
		c.hosts[address] = h
	}
	return h
}

// CloseExpired closes connections that reached the idle timeout, and removes hosts that had
// no idle connection.
func (c *Client) CloseExpired() {
	cutoff := time.Now().Add(-idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, h := range c.hosts {
		h.mu.Lock()
		expired := 0
		for expired < len(h.idleConns) && h.idleConns[expired].idleSince.Before(cutoff) {
			_ = h.idleConns[expired].Close()
			expired++
		}
		h.idleConns = append(h.idleConns[:0], h.idleConns[expired:]...)
		unused := len(h.idleConns) == 0 && h.activeProbe == nil && expired == 0
		h.mu.Unlock()
		if unused {
			delete(c.hosts, address)
		}
	}
}

// Do makes the call. It writes the request at most once. When it returns, nothing uses the
// body or the connection of the call any more.
func (c *Client) Do(handle *CancelHandle, call *Call) Result {
	started := time.Now()
	h := c.host(call.Address)
	cn, result := c.sendRequest(h, handle, call)
	mayHaveBeenSent := cn != nil || result.Outcome == dispatch.OutcomeTimeout
	if cn != nil {
		result = c.readResponse(h, cn, call)
	}
	result.Elapsed = time.Since(started)
	if result.IdentityMismatch {
		c.Stats.IdentityMismatches.Add(1)
	}
	if mayHaveBeenSent && call.SupportsCancel && (result.Outcome == dispatch.OutcomeCancelled || result.Outcome == dispatch.OutcomeTimeout) {
		c.sendCancel(call)
	}
	return result
}

// sendRequest returns a connection on which the whole request was written, or nil and the
// result of the call. It replaces an idle connection that fails before the first byte was
// sent, since the upstream cannot have received the call.
func (c *Client) sendRequest(h *host, handle *CancelHandle, call *Call) (*conn, Result) {
	for {
		cn := h.takeIdle(time.Now())
		dialed := cn == nil
		if dialed {
			c.Stats.Dials.Add(1)
			var err error
			if cn, err = h.dial(handle, call.Deadline); err != nil {
				return nil, dialErrorResult(err)
			}
		}
		if !cn.startCall(handle, call) {
			_ = cn.Close()
			return nil, Result{Outcome: dispatch.OutcomeCancelled, Detail: errCancelled.Error()}
		}
		err := writeRequest(cn.writer, call)
		if err == nil {
			return cn, Result{}
		}
		handle.setConn(nil)
		_ = cn.Close()
		switch {
		case cn.bytesSent > 0 || handle.Cancelled():
			return nil, c.failureResult(h, cn, err)
		case dialed:
			return nil, Result{Outcome: dispatch.OutcomeRefused, Detail: err.Error()}
		}
	}
}

func dialErrorResult(err error) Result {
	if errors.Is(err, errCancelled) {
		return Result{Outcome: dispatch.OutcomeCancelled, Detail: err.Error()}
	}
	return Result{Outcome: dispatch.OutcomeRefused, Detail: err.Error()}
}

// readResponse reads the response on a connection to which the request was written, and
// then closes the connection or returns it to the pool.
func (c *Client) readResponse(h *host, cn *conn, call *Call) Result {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	result, reusable, err := c.readFinal(cn, call, response)
	// A late Cancel must not interrupt the next call on the connection.
	cn.cancelHandle.setConn(nil)
	if err != nil {
		_ = cn.Close()
		if cn.readErr == nil {
			// Reading from the connection did not fail, so the response itself is invalid.
			err = errors.Join(errProtocol, err)
		}
		return c.failureResult(h, cn, err)
	}
	if !reusable || result.IdentityMismatch || cn.reader.Buffered() > 0 || response.ConnectionClose() {
		_ = cn.Close()
		return result
	}
	if result.Outcome == dispatch.OutcomeSuccess {
		h.recordFirstByteDelay(cn.firstByteAt.Sub(cn.startedAt))
	}
	// Another call may use the connection from here on.
	h.putIdle(cn)
	return result
}

// readFinal reads the final response. It also reports whether the connection is reusable.
func (c *Client) readFinal(cn *conn, call *Call, response *fasthttp.Response) (Result, bool, error) {
	if err := responsehead.AwaitFinal(cn.reader); err != nil {
		return Result{}, false, err
	}
	if err := response.Header.Read(cn.reader); err != nil {
		return Result{}, false, err
	}
	if call.Stream {
		return c.readStream(cn, call, response)
	}
	return c.readBuffered(cn, call, response)
}

// readBuffered reads the body of a response whose head was read.
func (c *Client) readBuffered(cn *conn, call *Call, response *fasthttp.Response) (Result, bool, error) {
	body, err := c.readBody(cn.reader, &response.Header)
	if err != nil {
		return Result{}, false, err
	}
	reusable, err := readBodyEnd(cn.reader, &response.Header)
	if err != nil {
		return Result{}, false, err
	}
	result := classifyResponse(call, response)
	if result.Outcome != dispatch.OutcomeSuccess {
		return result, reusable, nil
	}
	if len(body) == 0 && cn.readErr != nil {
		// Only a body without a length or chunks is read up to the end of the connection, and an
		// empty one cannot be told from that of an upstream that died after the head.
		return Result{}, false, io.ErrUnexpectedEOF
	}
	result.Body = body
	return result, reusable, nil
}

// failureResult returns the result of a call that failed after its first byte was sent.
func (c *Client) failureResult(h *host, cn *conn, err error) Result {
	if cn.readErr != nil {
		err = cn.readErr
	}
	result := Result{Outcome: dispatch.OutcomeDied, Detail: err.Error()}
	switch {
	case cn.cancelHandle.Cancelled() || errors.Is(err, errCancelled):
		result.Outcome = dispatch.OutcomeCancelled
	case errors.Is(err, errTimeout) || !time.Now().Before(cn.deadline):
		result.Outcome = dispatch.OutcomeTimeout
	case errors.Is(err, errSilent):
		result.Outcome = dispatch.OutcomeSilent
		h.raiseSilenceTimeout(time.Since(later(cn.startedAt, cn.lastProgress)))
		c.Stats.SilentConnections.Add(1 + int64(h.closeIdleWithoutProgress(cn.startedAt)))
	case errors.Is(err, errUnreachable):
	case errors.Is(err, errProtocol):
		result.Outcome = dispatch.OutcomeFailed
	case h.probe() != probeRefused:
		// The upstream still accepts connections, so this call is not known to have crashed it.
		result.Outcome = dispatch.OutcomeReset
	}
	return result
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendCancel tells the upstream that the result of the call is no longer needed.
func (c *Client) sendCancel(call *Call) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	cancelCall := Call{
		Identity: call.Identity, Address: call.Address, Path: "/cancel", Workspace: call.Workspace,
		Deadline: time.Now().Add(c.options.ProbeTimeout),
	}
	go func() {
		defer func() { <-c.cancelSlots }()
		c.Stats.CancelRequests.Add(1)
		c.Do(&CancelHandle{}, &cancelCall)
	}()
}
