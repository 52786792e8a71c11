package outbound

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// peekHead waits for a complete response head and returns it without consuming it: the status
// line and the headers up to the empty line. A head that does not fit into the reader's buffer
// is an error, so a server that sends headers without end takes no further memory.
func peekHead(reader *bufio.Reader) ([]byte, error) {
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

// hasAmbiguousLength reports whether a head has a Transfer-Encoding header beside a Content-Length or
// in another version than HTTP/1.1. Two receivers may then disagree on where the response ends, so
// what follows it on the connection belongs to no request. net/http takes such a response: it removes
// the length, and ignores the encoding in HTTP/1.0, so that the sizes of chunks become part of the body.
func hasAmbiguousLength(head []byte) bool {
	hasLength, hasEncoding := false, false
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length"))
		hasEncoding = hasEncoding || bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding"))
	}
	return hasEncoding && (hasLength || !bytes.HasPrefix(head, []byte("HTTP/1.1 ")))
}
