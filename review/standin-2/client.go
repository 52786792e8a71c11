package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one client attempt.
type request struct {
	id, path, prefix string
	tokens           int
	deadline         time.Duration
}

// answer is what a client has got.
type answer struct {
	status int
	body   string
	// complete is set if the answer ended as HTTP says.
	complete bool
	err      error
}

// connect opens a channel for a request.
func connect(address string, deadline time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(deadline + time.Second))
}

// text returns the request as it is sent.
func (r *request) text() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: m\r\n%s: %d,80\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token key-1\r\n"+
		"Content-Length: %d\r\n\r\n%s", r.path, wire.AttemptID, r.id, wire.Model, wire.TokenCounts, r.tokens, wire.PromptPrefix, r.prefix, wire.Deadline, r.deadline.Milliseconds(),
		len(r.id), r.id)
}

// send sends a request on a new channel and reads the answer.
func (r *request) send(address string) answer {
	conn, err := connect(address, r.deadline)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn)
}

func readAnswer(conn net.Conn) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), complete: err == nil, err: err}
}
