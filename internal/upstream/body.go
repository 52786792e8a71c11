package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Values of fasthttp's ResponseHeader.ContentLength for a response without a Content-Length.
const (
	contentLengthChunked  = -1
	contentLengthIdentity = -2
)

// maxBodyPreallocation bounds the memory that is taken for an announced body before it arrives.
const maxBodyPreallocation = 64 << 10

var (
	// errBodyTooLarge reports a body above Options.MaxResponseBytes.
	errBodyTooLarge = errors.New("the response body is too large")
	// errTrailersTooLarge reports trailers that exceed the buffer of the connection.
	errTrailersTooLarge = errors.New("the trailers of the response are too large")
)

// newBodyReader returns a reader of the body after a head. It returns io.EOF only at the end that the head
// announces, which is the end of the connection without a length and chunks.
func newBodyReader(r *bufio.Reader, header *fasthttp.ResponseHeader) io.Reader {
	switch length := header.ContentLength(); {
	case hasNoBody(header.StatusCode()):
		return bytes.NewReader(nil)
	case length == contentLengthChunked:
		return httputil.NewChunkedReader(r)
	case length >= 0:
		return &lengthReader{io.LimitedReader{R: r, N: int64(length)}}
	}
	return r
}

// hasNoBody reports whether a response with the status has no body, whatever its head says.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// lengthReader reads a body of the announced length.
type lengthReader struct{ io.LimitedReader }

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (int, error) {
	n, err := l.LimitedReader.Read(p)
	if err == io.EOF && l.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readBody reads a whole body. It takes memory as the body arrives, not as the head announces it.
func (c *Client) readBody(r *bufio.Reader, header *fasthttp.ResponseHeader) ([]byte, error) {
	length, limit := header.ContentLength(), c.options.MaxResponseBytes
	if length > limit {
		return nil, errBodyTooLarge
	}
	reading := c.responses.begin()
	defer reading.end()
	var body bytes.Buffer
	body.Grow(min(max(length, 0), maxBodyPreallocation) + bytes.MinRead)
	_, err := body.ReadFrom(io.LimitReader(boundedReader{newBodyReader(r, header), reading}, int64(limit)+1))
	if err == nil && body.Len() > limit {
		err = errBodyTooLarge
	}
	return body.Bytes(), err
}

// readBodyEnd reads what follows the body of a response, and reports whether the connection may serve another
// call. Without the end of the chunks the response is not complete.
func readBodyEnd(r *bufio.Reader, header *fasthttp.ResponseHeader) (reusable bool, err error) {
	switch {
	case hasNoBody(header.StatusCode()):
		return true, nil
	case header.ContentLength() == contentLengthChunked:
		return true, readTrailers(r)
	}
	return header.ContentLength() >= 0, nil
}

// readTrailers reads the trailers after the last chunk, up to the empty line that ends them.
func readTrailers(r *bufio.Reader) error {
	for read := 0; read <= r.Size(); {
		line, err := r.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		read += len(line)
	}
	return errTrailersTooLarge
}
