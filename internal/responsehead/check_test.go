package responsehead

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestAwaitFinal guards against a final response that is consumed, or taken for an interim one, and
// against an interim response that is left for the parser.
func TestAwaitFinal(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 x\r\n\r\n"} {
		reader := bufio.NewReader(strings.NewReader(interim + final))
		if err := AwaitFinal(reader); err != nil {
			t.Errorf("%q: error %v", interim, err)
			continue
		}
		if rest, err := io.ReadAll(reader); err != nil || string(rest) != final {
			t.Errorf("%q: %q is left, error %v", interim, rest, err)
		}
	}
}

// TestAwaitFinalFails guards against a head that counts as complete although the connection ended in it,
// and against interim responses without end.
func TestAwaitFinalFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	for n := range len(head) {
		if err := AwaitFinal(bufio.NewReader(strings.NewReader(head[:n]))); !errors.Is(err, io.EOF) {
			t.Errorf("%q: error %v", head[:n], err)
		}
	}
	for _, text := range []string{
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+1) + head, "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", "\r\n\r\n", "\r\n" + head,
	} {
		if err := AwaitFinal(bufio.NewReader(strings.NewReader(text))); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%.40q: error %v", text, err)
		}
	}
}
