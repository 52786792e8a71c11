package responsehead

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// minStatus and maxStatus are the range of statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// check returns the status of a complete head, or an error if the head is malformed.
func check(head []byte) (int, error) {
	if hasAmbiguousLength(head) {
		return 0, errors.New("the response has chunks beside a length or in HTTP/1.0")
	}
	return parseStatus(head)
}

// parseStatus returns the status in the first line of a head.
func parseStatus(head []byte) (int, error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(digits) != statusDigits {
		return 0, errors.Newf("the response has a status of %d bytes", len(digits))
	}
	status, err := strconv.ParseUint(string(digits), 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		return 0, errors.Newf("the response has the status %q", digits)
	}
	return int(status), nil
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
