package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzHead guards against a panic on a malformed response head, against a head whose end is found at
// another place than the parsers find it, since the rest would then be read as the body, against a
// status that a parser reads otherwise, and against a head that counts as complete although it is cut.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\nA: b\n\nok", "\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.0  204\r\nA : b\r\n\r\n",
	} {
		f.Add([]byte(head), 1)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		end := headEnd(data, 0)
		if end < 0 || end > len(data) {
			t.Fatalf("the head ends at %d of %d bytes", end, len(data))
		}
		for scanned := 0; scanned < len(data) && end > 0; scanned += max(step%7, 1) {
			if partial := headEnd(data[:scanned], 0); partial == 0 {
				if got := headEnd(data, scanned); got != end {
					t.Fatalf("the head ends at %d after %d scanned bytes, and at %d without", got, scanned, end)
				}
			}
		}
		for n := range end {
			if err := AwaitFinal(bufio.NewReader(bytes.NewReader(data[:n]))); err == nil {
				t.Fatalf("%q counts as a head, which is cut after %d of %d bytes", data[:n], n, end)
			}
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		if consumed := len(data) - source.Len() - reader.Buffered(); consumed != end {
			t.Fatalf("net/http ends the head at %d, and headEnd at %d", consumed, end)
		}
		status, err := check(data[:end])
		if err != nil {
			return
		}
		if response.StatusCode != status {
			t.Fatalf("net/http reads the status %d, and check %d", response.StatusCode, status)
		}
		checkFastHTTP(t, data, end, status)
	})
}

// checkFastHTTP fails if fasthttp reads a head that it accepts otherwise.
func checkFastHTTP(t *testing.T, data []byte, end, status int) {
	t.Helper()
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	var header fasthttp.ResponseHeader
	if err := header.Read(reader); err != nil {
		return
	}
	if consumed := len(data) - source.Len() - reader.Buffered(); consumed != end {
		t.Fatalf("fasthttp ends the head at %d, and headEnd at %d", consumed, end)
	}
	if header.StatusCode() != status {
		t.Fatalf("fasthttp reads the status %d, and check %d", header.StatusCode(), status)
	}
}
