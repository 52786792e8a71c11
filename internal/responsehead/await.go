// Package responsehead checks the heads of HTTP/1 responses before a parser reads them. net/http and
// fasthttp accept some malformed heads, and read another status, length or end of the body from them than
// other receivers do.
package responsehead

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxInterimResponses bounds the responses with a status of 1xx before the final one.
const maxInterimResponses = 16

// AwaitFinal waits until the reader holds the head of the final response, and discards the interim ones
// before it. It returns an error if a head is malformed or does not fit into the buffer of the reader.
func AwaitFinal(reader *bufio.Reader) error {
	for range maxInterimResponses + 1 {
		head, err := peek(reader)
		if err != nil {
			return err
		}
		status, err := check(head)
		if err != nil {
			return err
		}
		if status == http.StatusSwitchingProtocols {
			return errors.New("the response switches protocols, which the request did not ask for")
		}
		if IsFinalStatus(status) {
			return nil
		}
		if _, err := reader.Discard(len(head)); err != nil {
			return err
		}
	}
	return errors.Newf("more than %d interim responses", maxInterimResponses)
}

// peek waits for a complete response head and returns it without consuming it: the status
// line and the headers up to the empty line. A head that does not fit into the reader's buffer
// is an error, so a server that sends headers without end takes no further memory.
func peek(reader *bufio.Reader) ([]byte, error) {
	for scanned := 0; ; {
		buffered, _ := reader.Peek(reader.Buffered()) // Buffered bytes can always be peeked.
		if end := headEnd(buffered, scanned); end > 0 {
			return buffered[:end], nil
		}
		scanned = len(buffered)
		_, err := reader.Peek(scanned + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errors.Newf("the response head exceeds %d bytes", reader.Size())
		}
		if err != nil {
			return nil, err
		}
	}
}

// headEnd returns the length of the head at the start of data, or 0 if the head is not complete.
// The first scanned bytes are known not to contain its end.
func headEnd(data []byte, scanned int) int {
	const longestEnd = len("\n\r\n")
	from := max(scanned-longestEnd, 0)
	for {
		newline := bytes.IndexByte(data[from:], '\n')
		if newline < 0 {
			return 0
		}
		from += newline + 1
		rest := bytes.TrimPrefix(data[from:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(data) - len(rest) + 1
		}
	}
}
