package outbound

import (
	"bufio"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestFieldNameThatIsNone guards against a response in whose head the name of a field is no token:
// net/http takes some of these lines, and then finds neither the length nor the chunks that they announce.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"} {
		for _, line := range malformedFields {
			for _, fields := range []string{line + "\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n" + line + "\r\n", "Content-Length: 2\r\n" + line + "\n", line + "\r\n", "A: b\r\n" + line + "\r\n"} {
				s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
					body := "ok"
					if start != "HTTP/1.1 200 OK\r\n" {
						body = okResponse // The final response follows.
					}
					writeString(t, conn, start+fields+"\r\n"+body)
					_ = conn.Close()
				})
				if response, err := s.call(NewClient("")); err == nil || errors.Is(err, ErrNotSent) {
					t.Errorf("%q: response %v, error %v; expected an error of a request that was sent", start+fields, response, err)
				}
			}
		}
	}
}

// malformedFields are lines of a head whose field name is malformed.
var malformedFields = []string{
	"Content-Length : 2", "Content-Length\t: 2", " Content-Length: 2", "\tContent-Length: 2", "Content Length: 2", "Transfer-Encoding : chunked",
	"Transfer-Encoding\t: chunked", " Transfer-Encoding: chunked", "X y: z", "X\x00: z", "X\x01y: z", "X\ry: z", "\rX: z", "X\x7f: z", "X\x0b: z", "X\x80: z",
	"\u00a0X: z", "X\u0085: z", ": z", " : z", "X", "X(y): z", "\"X\": z", "X\x1b[0m: z",
}

// TestRareFields guards against refusing a head that HTTP allows.
func TestRareFields(t *testing.T) {
	for _, fields := range []string{
		"X:\r\n", "X: \r\n", "X:y\r\n", "X: a b\tc\r\n", "X: \x80\xff\r\n", "!#$%&'*+-.^_`|~09aZ: z\r\n", "X: a: b\r\n", "X: y\n", "X: y \r\n",
	} {
		s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
			writeString(t, conn, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 2\r\n\r\nok")
		})
		if response, err := s.call(NewClient("")); err != nil || string(response.Body) != "ok" {
			t.Errorf("%q: response %v, error %v", fields, response, err)
		}
	}
}
