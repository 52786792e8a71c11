// Package platform reads and watches the platform's configuration service.
package platform

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/httpclient"
)

// revisionHeader is the response header with the revision of a value.
const revisionHeader = "Revision"

// watchTimeoutMargin is added to the wait of a long poll before the call times out.
const watchTimeoutMargin = 2 * time.Second

// maxValueBytes limits a response body; values have up to 1 MB.
const maxValueBytes = 1 << 20

// Value is one version of a published value.
type Value struct {
	Revision uint64
	Data     []byte
}

// Client reads published values. It never writes.
type Client struct {
	baseURL string
	http    *fasthttp.Client
}

// NewClient returns a client for the service at the base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: httpclient.New(maxValueBytes)}
}

// Read returns the named value if its revision is above after. It waits up to wait for such
// a revision and returns nil if there is none. An error means that the call failed or its
// response was not valid.
func (c *Client) Read(ctx context.Context, name string, after uint64, wait time.Duration) (*Value, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + "/v1/values/" + name)
	request.URI().QueryArgs().Set("after", strconv.FormatUint(after, 10))
	request.URI().QueryArgs().Set("wait", wait.String())
	deadline := time.Now().Add(wait + watchTimeoutMargin)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	switch response.StatusCode() {
	case fasthttp.StatusNotModified, fasthttp.StatusNotFound:
		return nil, nil
	case fasthttp.StatusOK:
	default:
		return nil, errors.Newf("read %s: status %d", name, response.StatusCode())
	}
	revision, err := strconv.ParseUint(string(response.Header.Peek(revisionHeader)), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "parse revision of %s", name)
	}
	return &Value{Revision: revision, Data: append([]byte(nil), response.Body()...)}, nil
}
