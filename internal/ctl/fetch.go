package ctl

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/internal/httpclient"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// maxErrorTextBytes limits how much of an error response is shown.
	maxErrorTextBytes = 300
	// maxConcurrentRequests limits concurrent requests, since a deployment may
	// have hundreds of processes.
	maxConcurrentRequests = 32
	defaultTimeout        = 5 * time.Second
)

// adminClient sends requests to the administration listeners of gateways and agents.
type adminClient struct{ httpClient *fasthttp.Client }

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "timeout for each connect, write and read"}
}

func addressFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage}
}

func newAdminClient(timeout time.Duration) *adminClient {
	client := httpclient.New(maxResponseBytes)
	// Connection deadlines end a call without leaking a goroutine.
	client.Dial = func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, timeout) }
	client.ReadTimeout, client.WriteTimeout = timeout, timeout
	client.Name = "hoistctl"
	return &adminClient{httpClient: client}
}

// get returns the body of the response. Any status other than 200 is an error.
func (c *adminClient) get(address, path string, query url.Values) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	target := strings.TrimSuffix(address, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request.SetRequestURI(target)
	if err := c.httpClient.Do(request, response); err != nil {
		return nil, fmt.Errorf("read %s: %w", target, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("read %s: status %d%s", target, response.StatusCode(), errorText(response.Body()))
	}
	return append([]byte(nil), response.Body()...), nil
}

// errorText returns the message of an error response after a colon, or "" if it has none.
func errorText(body []byte) string {
	var response adminapi.Error
	text := string(body)
	if json.Unmarshal(body, &response) == nil && response.Error != "" {
		text = response.Error
	}
	text = sanitize(strings.TrimSpace(text[:min(len(text), maxErrorTextBytes)]))
	if text == "" {
		return ""
	}
	return ": " + text
}

// getJSON decodes a JSON response. Unknown fields are ignored, so that hoistctl can read
// from processes of a newer version.
func (c *adminClient) getJSON(address, path string, query url.Values, into any) error {
	body, err := c.get(address, path, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("read %s%s: %w", address, path, err)
	}
	return nil
}

// forEachAddress calls fn concurrently for all addresses, at most maxConcurrentRequests at a
// time, and waits for all calls.
func forEachAddress(addresses []string, fn func(index int, address string)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for i, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			fn(i, address)
		})
	}
	wg.Wait()
}
