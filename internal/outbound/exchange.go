package outbound

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/responsehead"
)

// Exchange is a sent request whose response headers were read.
type Exchange struct {
	Status int
	Header http.Header
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64
	// EndsWithConnection is set if the body has neither a length nor chunks. The server then marks
	// its end by closing the connection, as it also does when it dies.
	EndsWithConnection bool
	// Body returns io.EOF only at the end of a complete response. If EndsWithConnection is set, that
	// is an end that the server itself sent. The request need not be written completely by then.
	Body io.Reader

	client          *Client
	conn            *conn
	address         string
	response        *http.Response
	stopCancelWatch func() bool
	// bodyWritten is closed once a body that is written concurrently was written, with the error in
	// bodyErr. It is nil if the body was written before the response was read.
	bodyWritten chan struct{}
	bodyErr     error
	complete    bool
	closed      bool
	// singleUse is set if the connection must not serve another request.
	singleUse bool
}

// send writes the request. A large body is written concurrently with reading the response,
// since a server may respond before it has read the body.
func (x *Exchange) send(request *Request) error {
	if request.BeforeSend != nil {
		if err := request.BeforeSend(); err != nil {
			return err
		}
	}
	w := bufio.NewWriterSize(x.conn, writeBufferBytes)
	writeHead(w, request)
	if len(request.Body) <= maxInlineBodyBytes {
		_, _ = w.Write(request.Body)
		return w.Flush()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.bodyWritten = make(chan struct{})
	go func() {
		defer close(x.bodyWritten)
		_, x.bodyErr = x.conn.Write(request.Body)
	}()
	return nil
}

// writeHead writes the request line and the headers. It ignores errors because the
// bufio.Writer keeps the first one and returns it from Flush.
func writeHead(w *bufio.Writer, request *Request) {
	_, _ = w.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(w)
	if request.SingleUse {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// readHead reads the head of the final response.
func (x *Exchange) readHead(method string) error {
	if err := responsehead.AwaitFinal(x.conn.reader); err != nil {
		return err
	}
	response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	x.response = response
	x.Status, x.Header, x.Body, x.ContentLength = response.StatusCode, response.Header, eofTracker{x}, response.ContentLength
	x.EndsWithConnection = response.ContentLength < 0 && len(response.TransferEncoding) == 0 && method != http.MethodHead
	return nil
}

// eofTracker reads the response body and records that its end was reached.
type eofTracker struct{ exchange *Exchange }

// Read implements io.Reader.
func (r eofTracker) Read(p []byte) (int, error) {
	n, err := r.exchange.response.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := r.exchange.connLoss(); lost != nil {
		return n, lost
	}
	r.exchange.complete = true
	return n, err
}

// connLoss returns the error of a connection that was lost before the end of a body which ends with it,
// or nil if the server ended the connection. The kernel reports a loss once: if the write of the request
// learns of it, a read sees an ordinary end. A server that dies before bytes of the request arrive sends
// an ordinary end as well, and resets the connection when they do.
func (x *Exchange) connLoss() error {
	if !x.EndsWithConnection || x.bodyWritten == nil {
		return nil
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(resetDelay)) // Fails only if the connection is closed, which ends the write too.
	<-x.bodyWritten
	if x.bodyErr == nil || errors.Is(x.bodyErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return errors.Wrap(x.bodyErr, "the connection was lost while the request was written")
}

// Close ends the exchange. It returns the connection to the pool if the connection is
// reusable, and closes it otherwise.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	x.client.endTraffic(x.conn)
	notCancelled := x.stopCancelWatch()
	if !notCancelled || !x.isReusable() {
		_ = x.conn.Close()
		return
	}
	now := time.Now()
	x.conn.idleSince, x.conn.reuseUntil = now, now.Add(idleTimeout(x.Header))
	x.client.putIdle(x.address, x.conn)
}

// Discard ends the exchange and closes its connection.
func (x *Exchange) Discard() {
	x.singleUse = true
	x.Close()
}

func (x *Exchange) isReusable() bool {
	if x.singleUse || !x.complete || x.response.Close || x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		return false
	}
	if x.bodyWritten != nil {
		select {
		case <-x.bodyWritten:
			if x.bodyErr != nil {
				return false
			}
		case <-time.After(bodyWriteTimeout):
			return false
		}
	}
	return x.conn.isUsable()
}

// idleTimeout returns how long an idle connection may be reused, from the Keep-Alive header
// of the response.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			break
		}
		announced := time.Duration(seconds) * time.Second
		return max(announced-idleTimeoutMargin, announced/2)
	}
	return defaultIdleTimeout
}
