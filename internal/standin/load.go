package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// LoadGenerator generates open-loop load: arrival times are fixed in advance and do not
// depend on responses, so that a slow system does not receive fewer requests.
type LoadGenerator struct {
	// Targets are the addresses of gateways, used round robin.
	Targets []string
	// Routes are the names of the routes, chosen at random.
	Routes []string
	// RoutesTable defines which routes stream their response; nil means none.
	RoutesTable *table.Routes
	// Workspaces are used round robin.
	Workspaces []string
	// Rate is the mean number of requests per second.
	Rate float64
	// Count is the number of requests, not counting resends.
	Count int
	// Seed determines arrival times and routes.
	Seed uint64
	// IdempotencyKeys adds an idempotency key to each request.
	IdempotencyKeys bool
	// Resends is how many more copies of each request are sent at the same time.
	Resends int
	// Timeout is the read and write timeout of one request.
	Timeout time.Duration
	// BodyBytes pads each body to at least this size.
	BodyBytes int
}

// LoadSummary is the result of a load run.
type LoadSummary struct {
	Sent int `json:"sent"`
	// Answered counts complete responses with status 200 that match their request.
	Answered int `json:"answered"`
	// Foreign counts responses that contain another request's id or lack their own.
	Foreign int `json:"foreign"`
	// BrokenStreams counts streams with missing, repeated or reordered tokens. A stream that
	// ends with a problem document after correct tokens counts as Refused.
	BrokenStreams int `json:"broken_streams"`
	// Refused counts problem documents; Untyped counts all other error responses.
	Refused int `json:"refused"`
	Untyped int `json:"untyped"`
	// Errors counts requests without a complete response.
	Errors int `json:"errors"`
	// RefusedNotRun, RefusedUnknown and RefusedRan break Refused down by run state.
	RefusedNotRun  int `json:"refused_not_run"`
	RefusedUnknown int `json:"refused_unknown"`
	RefusedRan     int `json:"refused_ran"`
	// Kinds breaks Refused down by error kind.
	Kinds map[string]int `json:"kinds"`
	// FirstErrors holds the first errors for diagnosis.
	FirstErrors []string `json:"first_errors"`
	// Latencies in microseconds from the planned arrival to the complete response.
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
	// Seconds is the time from the first arrival to the last response.
	Seconds float64 `json:"seconds"`
}

// maxFirstErrors limits FirstErrors.
const maxFirstErrors = 5

// loadRun is a run of a LoadGenerator.
type loadRun struct {
	generator *LoadGenerator
	client    *fasthttp.Client

	mu        sync.Mutex
	summary   LoadSummary
	histogram *hdrhistogram.Histogram
}

// arrival is one planned request.
type arrival struct {
	offset time.Duration
	route  string
	stream bool
	index  int
}

// Run sends all requests and returns a summary.
func (g *LoadGenerator) Run(ctx context.Context) *LoadSummary {
	run := &loadRun{
		generator: g,
		client: &fasthttp.Client{
			MaxConnsPerHost: 1 << 16, MaxIdemponentCallAttempts: 1,
			ReadTimeout: g.Timeout, WriteTimeout: g.Timeout, NoDefaultUserAgentHeader: true,
			// A retry could send a request twice that has already reached the gateway.
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		histogram: hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3),
	}
	run.summary.Kinds = map[string]int{}
	arrivals := g.planArrivals()
	start := time.Now()
	var requests sync.WaitGroup
	for _, planned := range arrivals {
		if !sleepUntil(ctx, start.Add(planned.offset)) {
			break
		}
		requests.Go(func() { run.sendWithResends(planned, start.Add(planned.offset)) })
	}
	requests.Wait()
	run.summary.Seconds = time.Since(start).Seconds()
	run.summary.P50 = run.histogram.ValueAtQuantile(50)
	run.summary.P95 = run.histogram.ValueAtQuantile(95)
	run.summary.P99 = run.histogram.ValueAtQuantile(99)
	run.summary.Max = run.histogram.Max()
	return &run.summary
}

func (g *LoadGenerator) planArrivals() []arrival {
	random := rand.New(rand.NewPCG(g.Seed, 0))
	isStream := map[string]bool{}
	if g.RoutesTable != nil {
		for _, route := range g.RoutesTable.Routes {
			isStream[route.Name] = route.Answer == table.AnswerStream
		}
	}
	arrivals := make([]arrival, g.Count)
	var offset time.Duration
	for i := range arrivals {
		route := g.Routes[random.IntN(len(g.Routes))]
		arrivals[i] = arrival{offset: offset, route: route, stream: isStream[route], index: i}
		offset += time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second))
	}
	return arrivals
}

func sleepUntil(ctx context.Context, deadline time.Time) bool {
	wait := time.Until(deadline)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *loadRun) sendWithResends(planned arrival, plannedAt time.Time) {
	id := fmt.Sprintf("load-%d-%d", r.generator.Seed, planned.index)
	var sends sync.WaitGroup
	for i := range 1 + r.generator.Resends {
		// Each resend goes to the next gateway.
		target := r.generator.Targets[(planned.index+i)%len(r.generator.Targets)]
		sends.Go(func() { r.send(planned, plannedAt, id, target) })
	}
	sends.Wait()
}

func (r *loadRun) send(planned arrival, plannedAt time.Time, id, target string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + target + "/v1/routes/" + planned.route)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Workspace", r.generator.Workspaces[planned.index%len(r.generator.Workspaces)])
	if r.generator.IdempotencyKeys {
		request.Header.Set("Idempotency-Key", id)
	}
	body := fmt.Sprintf(`{"id":%q}`, id)
	if padding := r.generator.BodyBytes - len(body); padding > 0 {
		body = fmt.Sprintf(`{"id":%q,"padding":%q}`, id, strings.Repeat("x", padding))
	}
	request.SetBodyString(body)
	err := r.client.Do(request, response)
	r.record(planned, id, response, err, time.Since(plannedAt))
}

func (r *loadRun) record(planned arrival, id string, response *fasthttp.Response, err error, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.summary
	s.Sent++
	if err != nil {
		s.Errors++
		r.addError(errors.Wrap(err, id))
		return
	}
	if response.StatusCode() != fasthttp.StatusOK {
		r.recordRefusal(response.StatusCode(), response.Body())
		return
	}
	if planned.stream {
		problem, err := checkStream(response.Body(), id)
		if err != nil {
			s.BrokenStreams++
			r.addError(errors.Wrap(err, id))
			return
		}
		if problem != nil {
			r.recordRefusal(response.StatusCode(), problem)
			return
		}
	} else if got, mixed := extractCallerID(response.Body()); got != id || mixed {
		s.Foreign++
		r.addError(errors.Newf("%s: response does not match the request: %.200s", id, response.Body()))
		return
	}
	s.Answered++
	_ = r.histogram.RecordValue(max(1, elapsed.Microseconds()))
}

func (r *loadRun) recordRefusal(status int, body []byte) {
	var problem struct{ Kind, Run, Detail string }
	if json.Unmarshal(body, &problem) != nil || problem.Kind == "" {
		r.summary.Untyped++
		r.addError(errors.Newf("status %d: %.200s", status, body))
		return
	}
	r.summary.Refused++
	r.summary.Kinds[problem.Kind]++
	switch problem.Run {
	case "not_run":
		r.summary.RefusedNotRun++
	case "unknown":
		r.summary.RefusedUnknown++
	case "ran":
		r.summary.RefusedRan++
	}
	r.addError(errors.Newf("%s %s: %s", problem.Kind, problem.Run, problem.Detail))
}

func (r *loadRun) addError(err error) {
	if len(r.summary.FirstErrors) < maxFirstErrors {
		r.summary.FirstErrors = append(r.summary.FirstErrors, err.Error())
	}
}

var tokenEventPattern = regexp.MustCompile(`^\{"index":(\d+),"id":"([^"]*)"\}$`)

// checkStream checks that a streamed response contains each token once, in order, with the
// request's id, and is complete or ends with a problem document, which it returns.
func checkStream(body []byte, id string) (problem []byte, err error) {
	next, done, failed := 0, false, false
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failed && problem == nil && !done:
			problem = []byte(data)
		case data == "[DONE]" && !done && !failed:
			done = true
		default:
			if err := checkToken(data, next, id); err != nil || done || failed {
				return nil, errors.Newf("unexpected event after %d tokens: %.200s", next, data)
			}
			next++
		}
	}
	if problem == nil && (!done || next == 0) {
		return nil, errors.Newf("stream ended early after %d tokens", next)
	}
	return problem, nil
}

func checkToken(data string, index int, id string) error {
	match := tokenEventPattern.FindStringSubmatch(data)
	if match == nil || match[1] != strconv.Itoa(index) || match[2] != id {
		return errors.Newf("expected token %d of %s", index, id)
	}
	return nil
}
