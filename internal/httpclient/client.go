// Package httpclient provides fasthttp clients for calls to single processes: engines, the configuration
// service and administration listeners. They send a request at most once and accept only responses whose
// head is well-formed.
package httpclient

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/responsehead"
)

// New returns a client whose responses have a body of at most maxBodyBytes.
func New(maxBodyBytes int) *fasthttp.Client {
	return &fasthttp.Client{
		// The callers decide about retries; each call to the configuration service counts against its rate limit.
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxBodyBytes,
		ConfigureClient: func(host *fasthttp.HostClient) error {
			host.Transport = transport{}
			return nil
		},
	}
}

// transport is fasthttp's transport with a check of the head of the response. It does not support
// requests with the method HEAD and streamed bodies.
type transport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (transport) RoundTrip(host *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	timeout := request.GetTimeOut()
	deadline := deadlineAfter(timeout)
	pooled, err := host.AcquireConn(timeout, request.ConnectionClose())
	if err != nil {
		return false, err
	}
	conn := pooled.Conn()
	response.ParseNetConn(conn)
	if err = writeRequest(host, conn, request, deadline); err == nil {
		err = readResponse(host, conn, response, deadline)
	}
	if err != nil || request.ConnectionClose() || response.ConnectionClose() {
		host.CloseConn(pooled)
		return false, err
	}
	host.ReleaseConn(pooled)
	return false, nil
}

func writeRequest(host *fasthttp.HostClient, conn net.Conn, request *fasthttp.Request, deadline time.Time) error {
	if err := conn.SetWriteDeadline(earliest(deadline, deadlineAfter(host.WriteTimeout))); err != nil {
		return err
	}
	writer := host.AcquireWriter(conn)
	defer host.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

func readResponse(host *fasthttp.HostClient, conn net.Conn, response *fasthttp.Response, deadline time.Time) error {
	if err := conn.SetReadDeadline(earliest(deadline, deadlineAfter(host.ReadTimeout))); err != nil {
		return err
	}
	reader := host.AcquireReader(conn)
	defer host.ReleaseReader(reader)
	if err := responsehead.AwaitFinal(reader); err != nil {
		return err
	}
	return response.ReadLimitBody(reader, host.MaxResponseBodySize)
}

// deadlineAfter returns the instant after a timeout, or the zero time if there is no timeout.
func deadlineAfter(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// earliest returns the earlier of two deadlines. The zero time is no deadline.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
