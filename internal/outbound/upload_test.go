package outbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
)

// uploadBytes is more than the socket buffers of a connection hold, so that an upload is still being
// written while the server reads none of it.
const uploadBytes = 64 << 20

func newUpload() *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes)}
}

// TestResetDuringUpload guards against a part of a response that counts as a whole one: the kernel tells
// of a reset only once, and a write that learns of it leaves an ordinary end of the connection to the
// reader.
func TestResetDuringUpload(t *testing.T) {
	for name, reset := range map[string]func(conn *net.TCPConn){
		"reset": rawserver.ResetOnClose,
		// The kernel sends a reset at once if there are unread bytes, or else when the next ones arrive.
		"closed":                   func(*net.TCPConn) {},
		"closed for writing first": func(conn *net.TCPConn) { _ = conn.CloseWrite() }, // Fails only if the connection is closed already.
	} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.1 503 x\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s %q", name, head), func(t *testing.T) {
				t.Parallel()
				headRead := make(chan struct{})
				address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
					writeString(t, conn, head+"part")
					<-headRead
					reset(conn)
				})
				exchange, err := NewClient("").Start(t.Context(), address, newUpload())
				if err != nil {
					t.Fatal(err)
				}
				defer exchange.Close()
				close(headRead)
				await(t, "the end of the upload", func() bool { return exchange.isBodyWritten() })
				for range 2 {
					if body, err := io.ReadAll(exchange.Body); err == nil {
						t.Errorf("the body %q counts as complete", body)
					}
				}
			})
		}
	}
}

// TestEndDuringUpload guards against refusing a whole response whose server has not read the request yet,
// and against waiting for a server that reads no further.
func TestEndDuringUpload(t *testing.T) {
	for name, readsOn := range map[string]bool{"reads on": true, "reads no further": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				writeString(t, conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				if err := conn.CloseWrite(); err != nil {
					t.Error(err)
				}
				if readsOn {
					_, _ = io.Copy(io.Discard, conn) // Ends when the client closes the connection.
				}
				<-ended
			})
			defer close(ended)
			started := time.Now()
			response, err := NewClient("").Do(t.Context(), address, newUpload(), 1<<10)
			if err != nil || string(response.Body) != "whole" {
				t.Errorf("response %v, error %v", response, err)
			}
			if took := time.Since(started); took > 4*time.Second {
				t.Errorf("the response took %v", took)
			}
		})
	}
}

// TestFramedResponseDuringUpload guards against refusing a response that is complete by its length or
// chunks, whatever happens to its connection, and against a connection that is used again although the
// upload on it broke off.
func TestFramedResponseDuringUpload(t *testing.T) {
	for _, response := range []string{okResponse, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			writeString(t, conn, response)
			// The client must see the response before the reset.
			<-time.After(50 * time.Millisecond)
		})
		c := NewClient("")
		response, err := c.Do(t.Context(), address, newUpload(), 1<<10)
		if err != nil || string(response.Body) != "ok" {
			t.Errorf("response %v, error %v", response, err)
		}
		if n := len(c.idleConns[address]); n != 0 {
			t.Errorf("%d idle connections, expected none", n)
		}
	}
}

// TestResetBeforeRequest guards against a response that was sent, and cut, before the request was
// written.
func TestResetBeforeRequest(t *testing.T) {
	for _, size := range []int{0, maxInlineBodyBytes, uploadBytes} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			reset := make(chan struct{})
			go func() {
				defer close(reset)
				conn, err := listener.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				writeString(t, conn, "HTTP/1.1 200 OK\r\n\r\npart")
				rawserver.ResetOnClose(conn.(*net.TCPConn))
			}()
			request := newUpload()
			request.Body = request.Body[:size]
			request.BeforeSend = func() error { <-reset; return nil }
			if response, err := NewClient("").Do(t.Context(), listener.Addr().String(), request, 1<<10); err == nil {
				t.Errorf("the response %v counts as complete", response)
			}
		})
	}
}

// await polls until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// isBodyWritten reports whether a body that is written concurrently was written or its write has failed.
func (x *Exchange) isBodyWritten() bool {
	select {
	case <-x.bodyWritten:
		return true
	default:
		return false
	}
}
