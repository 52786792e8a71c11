package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLogLineBytes limits the length of a log line.
const maxLogLineBytes = 1 << 20

// traceReport is the output of the trace command.
type traceReport struct {
	Request string      `json:"request" yaml:"request"`
	Steps   []traceStep `json:"steps" yaml:"steps"`
	// Cause is a sentence that says why the request failed, or that it did not.
	Cause string `json:"cause" yaml:"cause"`

	lines []logLine
}

// traceStep describes one log line of the request.
type traceStep struct {
	Time time.Time `json:"time" yaml:"time"`
	VM   string    `json:"vm" yaml:"vm"`
	Text string    `json:"text" yaml:"text"`
}

// logLine holds the fields of the hoist-edge log lines that concern a request.
type logLine struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	VM         string    `json:"vm"`
	Request    string    `json:"request"`
	Route      string    `json:"route"`
	Pool       string    `json:"pool"`
	Owner      string    `json:"owner"`
	Upstream   string    `json:"upstream"`
	Stage      int       `json:"stage"`
	Pieces     int       `json:"pieces"`
	Waiting    int       `json:"waiting"`
	Sends      int       `json:"sends"`
	Events     int       `json:"events"`
	Version    int64     `json:"version"`
	Kind       string    `json:"kind"`
	Run        string    `json:"run"`
	Detail     string    `json:"detail"`
	Error      string    `json:"error"`
	End        string    `json:"end"`
	Refusal    string    `json:"refusal"`
	Took       string    `json:"took"`
	Due        string    `json:"due"`
	Expected   string    `json:"expected"`
	Limit      string    `json:"limit"`
	Stages     string    `json:"stages"`
	Elapsed    string    `json:"elapsed"`
	TablesAge  string    `json:"tables_age"`
	RetryAfter string    `json:"retry_after"`
}

// readLog collects the lines of the request from a log. Text before the first brace of a
// line, such as the time and host added by a log collector, is skipped, and so are lines
// that are not JSON.
func (r *traceReport) readLog(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	requestField := []byte(`"request":"` + r.Request + `"`)
	for scanner.Scan() {
		content := scanner.Bytes()
		start := bytes.IndexByte(content, '{')
		if start < 0 || !bytes.Contains(content, requestField) {
			continue
		}
		var line logLine
		if err := json.Unmarshal(content[start:], &line); err != nil || line.Request != r.Request {
			continue
		}
		r.lines = append(r.lines, line)
	}
	return scanner.Err()
}

// finish sorts the lines by time and fills in the steps and the cause.
func (r *traceReport) finish() {
	slices.SortStableFunc(r.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for i := range r.lines {
		line := &r.lines[i]
		r.Steps = append(r.Steps, traceStep{Time: line.Time, VM: line.VM, Text: line.description()})
	}
	r.Cause = r.cause()
}

// description returns the line as text for the report.
func (l *logLine) description() string {
	switch l.Message {
	case "stage ended":
		end := "done"
		if l.Refusal != "" {
			end = l.Refusal
		}
		return fmt.Sprintf("stage %d of pool %s at owner %s: %s after %s, due after %s", l.Stage, l.Pool, l.Owner, end, l.Took, l.Due)
	case "stage refused":
		return fmt.Sprintf("owner refused stage %d of pool %s: %d pieces wait, expected after %s, of use until %s", l.Stage, l.Pool, l.Waiting, l.Expected, l.Limit)
	case "owner of a pool lost":
		return fmt.Sprintf("owner %s of pool %s did not answer: %s", l.Owner, l.Pool, l.Error)
	case "attempt ended":
		return fmt.Sprintf("sent to %s: %s (%s)", l.Upstream, l.End, l.Detail)
	case "upstream died while it ran a request":
		return fmt.Sprintf("%s died while it ran the request: %s", l.Upstream, l.Error)
	case "request failed":
		return fmt.Sprintf("failed after %s: %s, run %s (%s)", l.Elapsed, l.Kind, l.Run, l.Detail)
	case "request answered":
		return fmt.Sprintf("answered after %s by %s, stages took %s", l.Elapsed, l.Upstream, l.Stages)
	}
	return l.Message
}
