package outbound

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is a request with the head of its answer.
type Exchange struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is complete.
	Body io.Reader

	client   *Client
	conn     *conn
	address  string
	response *http.Response
	stop     func() bool
	written  chan error
	ended    bool
	closed   bool
}

// send writes the request. A long body is written beside the reading of the answer, which
// may come before the body has been read.
func (x *Exchange) send(request *Request) error {
	w := bufio.NewWriterSize(x.conn, bufferBytes)
	writeHead(w, request)
	if len(request.Body) <= inlineBody {
		_, _ = w.Write(request.Body)
		return w.Flush()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(request.Body)
		x.written <- err
	}()
	return nil
}

// writeHead writes the request line and the header; the writer keeps the first error.
func writeHead(w *bufio.Writer, request *Request) {
	_, _ = w.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(w)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

func (x *Exchange) readHead(method string) error {
	for {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		x.response = response
		x.Status, x.Header, x.Body = response.StatusCode, response.Header, endReader{x}
		return nil
	}
}

// endReader notes the complete end of the body.
type endReader struct{ x *Exchange }

// Read implements io.Reader.
func (r endReader) Read(p []byte) (int, error) {
	n, err := r.x.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.x.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is used again if the answer was complete.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	inTime := x.stop()
	if !inTime || !x.isReusable() {
		_ = x.conn.Close()
		return
	}
	now := time.Now()
	x.conn.used, x.conn.expires = now, now.Add(idleTime(x.Header))
	x.client.put(x.address, x.conn)
}

func (x *Exchange) isReusable() bool {
	if !x.ended || x.response.Close || x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0 {
		return false
	}
	if x.written != nil {
		select {
		case err := <-x.written:
			if err != nil {
				return false
			}
		case <-time.After(bodyGrace):
			return false
		}
	}
	return x.conn.isQuiet()
}

// idleTime returns how long the connection may be used again.
func idleTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			break
		}
		named := time.Duration(seconds) * time.Second
		return max(named-idleMargin, named/2)
	}
	return defaultIdle
}
