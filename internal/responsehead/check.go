package responsehead

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the range of statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// IsFinalStatus reports whether a status is one of a final response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// check returns the status of a complete head, or an error if the head is malformed.
func check(head []byte) (int, error) {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	status, err := parseStatus(bytes.TrimSuffix(line, []byte("\r")))
	if err != nil {
		return 0, err
	}
	return status, checkFields(fields, bytes.HasPrefix(line, []byte("HTTP/1.1 ")))
}

// parseStatus returns the status in the status line.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
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

// checkFields returns an error if the name of a field is no token, or if the fields do not tell the end of
// the body. Receivers read a name with a blank or a control byte in different ways, and so the length or
// encoding that such a line announces; a line that begins with a blank continues the field before it for
// some of them.
//
// With a Transfer-Encoding beside a Content-Length or in another version than HTTP/1.1, two receivers may
// disagree on where the response ends, so what follows it on the connection belongs to no request. net/http
// takes such a response: it removes the length, and ignores the encoding in HTTP/1.0, so that the sizes of
// chunks become part of the body.
func checkFields(fields []byte, isHTTP11 bool) error {
	hasLength, hasEncoding := false, false
	for line := range bytes.SplitSeq(fields, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break // The empty line ends the head.
		}
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		if !hasColon || !isToken(name) {
			return errors.New("the response has a field whose name is malformed")
		}
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if hasEncoding && (hasLength || !isHTTP11) {
		return errors.New("the response has chunks beside a length or in HTTP/1.0")
	}
	return nil
}

// isToken reports whether a name consists of the characters that HTTP allows in the name of a field.
func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}
