package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxIdleConns limits the idle connections to one upstream; the warm capacity of an
	// upstream is far below it.
	maxIdleConns = 256
	// idleTimeout is shorter than the keep-alive time of common servers, so that a
	// connection is rarely closed by the server while a request is in flight.
	idleTimeout = 25 * time.Second
	// silenceTimeoutFactor is multiplied by the recent peak of the time to first byte to get
	// the silence timeout.
	silenceTimeoutFactor = 4
	// silenceBackoffFactor is multiplied by the silence after which a connection was closed
	// to get the silence timeout of the next one. A probe distinguishes a silent connection
	// from a crashed upstream, but not from one that became slow. Without the increase, every
	// call to a slow upstream would fail after the same timeout.
	silenceBackoffFactor = 2
	// firstByteDelayDecay is multiplied with the recorded peak of the time to first byte at
	// each new measurement, so that the peak follows an upstream that becomes faster.
	firstByteDelayDecay = 0.995
)

// host is the connection pool of one upstream.
type host struct {
	address string
	options *Options

	mu                 sync.Mutex
	idleConns          []*conn
	peakFirstByteDelay time.Duration
	activeProbe        *sharedProbe
}

// takeIdle removes a usable idle connection from the pool and returns it, or nil.
func (h *host) takeIdle(now time.Time) *conn {
	for {
		h.mu.Lock()
		if len(h.idleConns) == 0 {
			h.mu.Unlock()
			return nil
		}
		c := h.idleConns[len(h.idleConns)-1]
		h.idleConns = h.idleConns[:len(h.idleConns)-1]
		h.mu.Unlock()
		if now.Sub(c.idleSince) < idleTimeout && c.isUsable() {
			return c
		}
		_ = c.Close()
	}
}

// putIdle returns a connection to the pool after a complete response.
func (h *host) putIdle(c *conn) {
	c.idleSince = time.Now()
	c.cancelHandle = nil
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idleConns) >= maxIdleConns {
		_ = c.Close()
		return
	}
	h.idleConns = append(h.idleConns, c)
}

// closeIdleWithoutProgress closes the idle connections that received nothing since the given
// time, and returns their number. They were open when another connection was found silent,
// and are likely to be silent as well.
func (h *host) closeIdleWithoutProgress(since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idleConns[:0]
	closed := 0
	for _, c := range h.idleConns {
		if c.lastProgress.Before(since) {
			_ = c.Close()
			closed++
			continue
		}
		kept = append(kept, c)
	}
	clear(h.idleConns[len(kept):])
	h.idleConns = kept
	return closed
}

// recordFirstByteDelay updates the decaying peak of the time to first byte.
func (h *host) recordFirstByteDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peakFirstByteDelay = max(delay, time.Duration(float64(h.peakFirstByteDelay)*firstByteDelayDecay))
}

// raiseSilenceTimeout records that a connection was closed after a silence.
func (h *host) raiseSilenceTimeout(silence time.Duration) {
	h.recordFirstByteDelay(silenceBackoffFactor * silence / silenceTimeoutFactor)
}

// silenceTimeout returns how long a connection may make no progress before the upstream is
// probed. Before the first response the usual delay is unknown, so only the deadline of the
// call applies.
func (h *host) silenceTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peakFirstByteDelay == 0 {
		return noSilenceTimeout
	}
	return max(h.options.MinSilenceTimeout, silenceTimeoutFactor*h.peakFirstByteDelay)
}

// noSilenceTimeout is longer than the deadline of any call.
const noSilenceTimeout = 24 * time.Hour

// probeResult is the result of a request on a new connection to an upstream.
type probeResult uint8

const (
	// probeInconclusive means that there was no response in time.
	probeInconclusive probeResult = iota
	// probeResponded means that the upstream responded on the new connection.
	probeResponded
	// probeRefused means that the connection was refused or reset.
	probeRefused
)

// sharedProbe is a probe in progress that several calls may wait for.
type sharedProbe struct {
	done   chan struct{}
	result probeResult
}

// probe checks whether the upstream responds on a new connection. Concurrent callers share
// one probe.
func (h *host) probe() probeResult {
	h.mu.Lock()
	if running := h.activeProbe; running != nil {
		h.mu.Unlock()
		<-running.done
		return running.result
	}
	probe := &sharedProbe{done: make(chan struct{})}
	h.activeProbe = probe
	h.mu.Unlock()
	probe.result = h.probeNewConn()
	h.mu.Lock()
	h.activeProbe = nil
	h.mu.Unlock()
	close(probe.done)
	return probe.result
}

// probeNewConn sends an OPTIONS request on a new connection. Any byte of a response shows
// that the upstream works. An open connection does not, since the kernel accepts it even if
// the process hangs.
func (h *host) probeNewConn() probeResult {
	raw, err := net.DialTimeout("tcp", h.address, h.options.ProbeTimeout)
	if err != nil {
		if isRefused(err) {
			return probeRefused
		}
		return probeInconclusive
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(h.options.ProbeTimeout))
	request := "OPTIONS / HTTP/1.1\r\nHost: " + h.address + "\r\nConnection: close\r\n\r\n"
	if _, err := raw.Write([]byte(request)); err != nil {
		return classifyProbeError(err)
	}
	var buffer [1]byte
	if _, err := raw.Read(buffer[:]); err != nil {
		return classifyProbeError(err)
	}
	return probeResponded
}

// classifyProbeError distinguishes a process that crashed, whose kernel resets the
// connection, from one that does not respond.
func classifyProbeError(err error) probeResult {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return probeRefused
	}
	return probeInconclusive
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// dial opens a connection for a call.
func (h *host) dial(handle *CancelHandle, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(deadline, time.Now().Add(h.options.DialTimeout)))
	defer cancel()
	if !handle.setDialCancel(cancel) {
		return nil, errCancelled
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		if handle.Cancelled() {
			return nil, errCancelled
		}
		return nil, err
	}
	return newConn(raw, h), nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
