package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id     string
	sent   time.Time
	status int
	// complete is set if the answer came to its end.
	complete bool
	err      error
}

// httpClient opens a new channel for each request and doesn't retry by itself.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}

// send sends one request to a machine and reads the whole answer.
func (s *scene) send(v *vm, path, body string, deadline time.Duration, headers map[string]string) outcome {
	return s.sendAs(s.newID(), v, path, body, deadline, headers)
}

// sendAs sends a request with the given ID.
func (s *scene) sendAs(id string, v *vm, path, body string, deadline time.Duration, headers map[string]string) outcome {
	out := outcome{id: id, sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+v.frontAddress()+path, strings.NewReader(body))
	require(err)
	request.Host, request.GetBody = host, nil
	request.Header.Set(wire.AttemptID, out.id)
	request.Header.Set(wire.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+apiKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	out.read(request)
	return out
}

// read sends a request and reads the whole answer.
func (o *outcome) read(request *http.Request) {
	response, err := httpClient.Do(request)
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	_, o.err = io.ReadAll(response.Body)
	o.complete = o.err == nil
}
