package platform

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
)

// TestMalformedHead guards against a value that comes into force although the head of the response is malformed.
func TestMalformedHead(t *testing.T) {
	for _, test := range []struct {
		head string
		ok   bool
	}{
		{"HTTP/1.1 200 OK\r\n", true},
		{"HTTP/1.1 000 OK\r\n", false},
		{"HTTP/1.1 200 OK\r\nX y: z\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: y\r\n z: z\r\n", false},
		{"HTTP/1.1 200 OK\r\nX\x01: z\r\n", false},
	} {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			if _, err := io.WriteString(conn, test.head+"Revision: 7\r\nContent-Length: 5\r\n\r\nvalue"); err != nil {
				t.Error(err)
			}
		})
		value, err := NewClient("http://"+address).Read(t.Context(), "pools", 0, time.Second)
		if (err == nil) != test.ok || test.ok && (value.Revision != 7 || string(value.Data) != "value") {
			t.Errorf("%q: value %v, error %v", test.head, value, err)
		}
	}
}
