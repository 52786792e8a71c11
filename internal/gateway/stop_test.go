package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLateRequestsInStopAreRefused guards against a request that is taken late in a planned stop, on a
// connection which has served requests before, and against one that the stop cuts off.
func TestLateRequestsInStopAreRefused(t *testing.T) {
	f := newFixture(t, nil, defaultLimits())
	send := func(client *http.Client, route string) (int, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/v1/routes/"+route, strings.NewReader(`{"id":"x"}`))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Workspace", "w")
		response, err := client.Do(request)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	clients := map[string]*http.Client{}
	for _, route := range []string{"fan", "book", "stream"} {
		clients[route] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 10 * time.Second}
		if status, err := send(clients[route], route); err != nil || status != http.StatusOK {
			t.Fatalf("%s: status %d, error %v before the stop", route, status, err)
		}
	}
	for _, pool := range []string{"a", "c"} {
		f.postControl(t, pool, "behaviour", `{"service_time":"1s"}`)
	}
	statuses := make(chan int, 1)
	go func() {
		status, err := send(&http.Client{Timeout: 10 * time.Second}, "book")
		if err != nil {
			t.Error(err)
		}
		statuses <- status
	}()
	f.waitFor(t, "the request to run", func() bool { return f.gateway.inFlight.Load() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.gateway.Stop(f.server) }()
	f.waitFor(t, "the end of the time for new requests", f.gateway.draining.Load)
	for route, client := range clients {
		if status, err := send(client, route); err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, error %v; expected 503", route, status, err)
		}
	}
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("the running request has status %d, expected 200", status)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
