package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
)

const maxBodyBytes = 1 << 10

// startServer starts a server that answers each request with the text and keeps the connection open, and
// counts the connections.
func startServer(t *testing.T, text string) (url string, conns *atomic.Int64) {
	t.Helper()
	conns = &atomic.Int64{}
	address := rawserver.Start(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		conns.Add(1)
		_, err := io.WriteString(conn, text)
		for err == nil {
			if _, err = http.ReadRequest(reader); err == nil {
				_, err = io.WriteString(conn, text)
			}
		}
	})
	return "http://" + address, conns
}

// get returns the status and the body of a response.
func get(client *fasthttp.Client, url string) (int, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	err := client.DoTimeout(request, response, 2*time.Second)
	return response.StatusCode(), string(response.Body()), err
}

// TestMalformedHead guards against a response that counts as a success although its head is malformed.
func TestMalformedHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
		"HTTP/1.1 200 OK\r\nX y: z\r\n", "HTTP/1.1 200 OK\r\nX : z\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n z: z\r\n", "HTTP/1.1 200 OK\r\nX\x01: z\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "HTTP/1.1 100 Continue\r\nX y: z\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		url, _ := startServer(t, head+"Content-Length: 2\r\n\r\nok")
		if status, body, err := get(New(maxBodyBytes), url); err == nil {
			t.Errorf("%q: status %d, body %q", head, status, body)
		}
	}
}

// TestResponses guards against refusing sound responses, opening a connection for each request, and
// accepting a body above the limit.
func TestResponses(t *testing.T) {
	for text, wantConns := range map[string]int64{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                 1,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":      1,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": 1,
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok":            3,
	} {
		url, conns := startServer(t, text)
		client := New(maxBodyBytes)
		for range 3 {
			if status, body, err := get(client, url); err != nil || status != http.StatusOK || body != "ok" {
				t.Errorf("%q: status %d, body %q, error %v", text, status, body, err)
			}
		}
		if n := conns.Load(); n != wantConns {
			t.Errorf("%q: %d connections, expected %d", text, n, wantConns)
		}
	}
	url, _ := startServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes+1, make([]byte, maxBodyBytes+1)))
	if _, _, err := get(New(maxBodyBytes), url); err == nil {
		t.Error("a body above the limit is accepted")
	}
}

// TestTimeouts guards against a call that lasts longer than its timeout or that of a read.
func TestTimeouts(t *testing.T) {
	url, _ := startServer(t, "HTTP/1.1 200 OK\r\n")
	for name, readTimeout := range map[string]time.Duration{"call": 0, "read": 50 * time.Millisecond} {
		client := New(maxBodyBytes)
		client.ReadTimeout = readTimeout
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI(url)
		started := time.Now()
		timeout := 50 * time.Millisecond
		if readTimeout > 0 {
			timeout = time.Minute
		}
		if err := client.DoTimeout(request, response, timeout); err == nil || time.Since(started) > 5*time.Second {
			t.Errorf("%s: error %v after %v", name, err, time.Since(started))
		}
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
	}
}

// TestResetDuringUpload guards against a part of a response that counts as a whole one, since the
// connection was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
			t.Error(err)
		}
		<-time.After(20 * time.Millisecond)
		rawserver.ResetOnClose(conn)
	})
	for range 20 {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(http.MethodPost)
		request.SetRequestURI("http://" + address)
		request.SetBody(make([]byte, 16<<20)) // More than the socket buffers hold.
		if err := New(maxBodyBytes).DoTimeout(request, response, 5*time.Second); err == nil {
			t.Errorf("the part %q counts as complete", response.Body())
		}
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
	}
}
