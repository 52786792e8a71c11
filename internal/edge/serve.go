package edge

import (
	"cmp"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/ingress"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

const (
	// defaultRequestTimeout bounds requests whose callers state no timeout.
	defaultRequestTimeout = 60 * time.Second
	// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// keyAgeFraction is the fraction of Settings.KeyRevocationTimeout at which requests with
	// API keys are refused. The rest covers the time until a request reaches its upstream.
	keyAgeFraction = 0.85
	// writeSlack is the time beyond the deadline for writing the response, such as an error that
	// says that the deadline has passed.
	writeSlack = 5 * time.Second
	// refusedBodyTimeout bounds the time for the body of a request that is refused without it. The
	// HTTP server reads part of such a body, mostly before it sends the response.
	refusedBodyTimeout = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After header.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// ServeHTTP serves the requests of callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !ingress.FromContext(r.Context()).Begin() {
		// The connection was closed for a limit.
		panic(http.ErrAbortHandler)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	arrived := s.now()
	s.recentTables.await(r.Context())
	t := &transaction{s: s, w: w, r: r, view: s.view.Load(), arrived: arrived, tried: map[string]bool{}}
	defer t.end()
	t.limitWrites(defaultRequestTimeout)
	failure := t.prepare()
	if failure == nil {
		var cancel context.CancelFunc
		t.ctx, cancel = context.WithTimeout(r.Context(), t.remaining())
		defer cancel()
		defer context.AfterFunc(s.stop.cut, cancel)()
		failure = t.serve()
	}
	t.finish(failure)
}

// end releases the memory of the request. A panic while the request was handled ends this request
// alone: its connection is closed, so that the caller sees no complete response.
func (t *transaction) end() {
	t.requestBody.release()
	if value := recover(); value != nil {
		if value != http.ErrAbortHandler {
			t.s.contain.record("request", value)
		}
		panic(http.ErrAbortHandler)
	}
}

// prepare parses the request and checks whether it may be served.
func (t *transaction) prepare() *errkind.Error {
	info, err := t.s.dialect.DecodeRequest(t.r.Header)
	t.requestInfo = info
	if err != nil {
		return errkind.New(errkind.BadRequest, err.Error())
	}
	t.awaitConfiguration()
	if t.view == nil || t.view.Catalog == nil {
		return errkind.New(errkind.NotConfigured, "no configuration is known yet")
	}
	config := t.view.Catalog
	target, ok := catalog.ParseTarget(t.r.RequestURI)
	if ok {
		t.target, t.route = target, config.Match(t.r.Host, target)
	}
	if t.route == nil {
		// The query may contain secrets.
		path, _, _ := strings.Cut(t.r.RequestURI, "?")
		return errkind.New(errkind.UnknownRoute, strconv.Quote(shorten(t.r.Host)+" "+shorten(path)))
	}
	if failure := t.authenticate(config); failure != nil {
		return failure
	}
	for _, n := range info.Pieces {
		if n != 0 && !isPieceCount(int64(n)) {
			return errkind.New(errkind.BadRequest, "a stage with "+strconv.Itoa(n)+" pieces")
		}
	}
	t.setDeadlines()
	if failure := t.checkStop(t.arrived); failure != nil {
		return failure
	}
	t.limitWrites(t.remaining())
	t.pool = t.route.PoolFor(float64(xxhash.Sum64String(cmp.Or(info.ResumedRequest, info.ID))>>11) / (1 << 53))
	if failure := t.readBody(config); failure != nil {
		return failure
	}
	// The body may have arrived much later than the header.
	return t.checkStop(t.s.now())
}

// maxLoggedBytes bounds the host, and the path, of a request in a log line.
const maxLoggedBytes = 256

// shorten cuts a text to maxLoggedBytes. The result may end within a character.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }

func (t *transaction) authenticate(config *catalog.Catalog) *errkind.Error {
	if t.requestInfo.APIKey != "" {
		t.workspace = config.WorkspaceOf(t.requestInfo.APIKey)
	}
	if !config.NeedsKey(t.route) {
		return nil
	}
	if age := t.s.follower.configurationAge(); t.s.keysOutdated(age) {
		return errkind.New(errkind.TablesOutdated, "the tables were last known to be current "+age.String()+" ago")
	}
	if t.workspace == nil {
		return errkind.New(errkind.Unauthenticated, "")
	}
	return nil
}

// keysOutdated reports whether an API key may have been revoked longer ago than allowed.
func (s *Server) keysOutdated(age time.Duration) bool {
	maxAge := s.inForce.Load().KeyRevocationTimeout
	return maxAge > 0 && float64(age) > keyAgeFraction*float64(maxAge)
}

func (t *transaction) setDeadlines() {
	timeout := defaultRequestTimeout
	if t.requestInfo.Timeout > 0 {
		timeout = t.requestInfo.Timeout
	}
	if t.route.Timeout > 0 {
		timeout = min(timeout, t.route.Timeout)
	}
	t.deadline = t.arrived.Add(timeout)
	t.due = t.deadline
	if t.route.Objective > 0 {
		t.due = min(t.due, t.arrived.Add(t.route.Objective))
	}
}

// readBody reads the body of the request, at most until the request's deadline or the cut-off of a
// planned stop.
func (t *transaction) readBody(config *catalog.Catalog) *errkind.Error {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	t.limitBodyReads(time.Now().Add(t.remaining()))
	stopInterrupt := context.AfterFunc(t.s.stop.cut, func() { t.limitBodyReads(time.Now()) })
	requestBody, err := t.s.requestMemory.readRequest(t.r.Body, t.r.ContentLength, limit, t.acquireBodyMemory)
	t.requestBody = requestBody
	if err == nil {
		err = requestBody.join(t.acquireBodyMemory)
	}
	switch {
	case !stopInterrupt():
		t.bodyInterrupted, t.retryAfter = true, minRetryAfter
		return errkind.New(errkind.Draining, "the VM stops and the body has not arrived")
	case errors.Is(err, errBodyTooLarge):
		return errkind.New(errkind.BodyTooLarge, err.Error())
	case errors.Is(err, errNoBodyMemory):
		return errkind.New(errkind.Overloaded, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.bodyInterrupted = true
		return errkind.New(errkind.DeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		return errkind.New(errkind.BadRequest, "the body did not arrive: "+err.Error())
	}
	if !ingress.FromContext(t.r.Context()).Admit() {
		return errkind.New(errkind.BadRequest, "the connection was closed for a limit")
	}
	// A read limit that expires later would be taken for a disconnect of the caller.
	t.limitBodyReads(time.Time{})
	t.body = requestBody.bytes()
	t.fingerprint = requestFingerprint(t)
	return nil
}

// limitBodyReads sets the time by which the body must have arrived; the zero time means no limit.
func (t *transaction) limitBodyReads(until time.Time) {
	if t.r.Body == http.NoBody {
		return
	}
	if err := http.NewResponseController(t.w).SetReadDeadline(until); err != nil {
		t.s.logger.Debug("time limit for the request body not set", obs.ErrorField(err))
	}
}

// limitWrites bounds how long the caller may take to read the response. Without a bound, a caller
// that reads nothing would hold its request for ever. The limit stays in place until the next
// request on the connection sets its own.
func (t *transaction) limitWrites(timeout time.Duration) {
	if err := http.NewResponseController(t.w).SetWriteDeadline(time.Now().Add(timeout + writeSlack)); err != nil {
		t.s.logger.Debug("no time limit for the response", obs.ErrorField(err))
	}
}

// isCallerGone reports whether the caller has disconnected.
func (t *transaction) isCallerGone() bool { return t.r.Context().Err() != nil && !t.bodyInterrupted }

// finish writes the error response, if any, and the log line of the request.
func (t *transaction) finish(failure *errkind.Error) {
	elapsed := t.s.now().Sub(t.arrived)
	if failure == nil {
		t.s.durations.record(t.route.Name, elapsed)
		t.s.metrics.recordRequest(t, "ok", elapsed)
		t.s.logger.Info("request answered", append(t.logFields(), zap.String("upstream", t.upstream), zap.Int("sends", len(t.tried)),
			zap.Duration("stages", t.stageTime), zap.Duration("first_event", t.firstEvent), zap.Int("events", t.events))...)
		return
	}
	kind := failure.Kind.String()
	if t.isCallerGone() {
		kind = "caller_gone"
	}
	t.s.metrics.recordRequest(t, kind, elapsed)
	age, _ := t.s.follower.age()
	t.s.failures.Info("request failed", append(t.logFields(), zap.String("kind", kind), zap.String("run", failure.RunState.String()),
		zap.String("detail", failure.Detail), zap.String("upstream", t.upstream), zap.Int("sends", len(t.tried)),
		zap.Duration("stages", t.stageTime), zap.Int("events", t.events), zap.Duration("tables_age", age),
		zap.Duration("retry_after", t.retryAfter))...)
	if t.responseStarted || kind == "caller_gone" {
		t.abort()
	}
	t.writeError(failure)
}

// retryDelay returns when the caller of a refused request should return, from the usual delay of the
// kind of error. Many callers are often refused at the same time and must not return together.
func (t *transaction) retryDelay(usual time.Duration) time.Duration {
	if t.retryNotBefore != 0 {
		// The upstreams accept no earlier request, so that maxRetryAfter does not apply.
		return max(t.retryNotBefore.Sub(t.s.now()), minRetryAfter) + rand.N(minRetryAfter)
	}
	if t.retryAfter > 0 {
		return min(max(t.retryAfter, minRetryAfter), maxRetryAfter)
	}
	return usual/2 + rand.N(usual)
}

// formatRetryAfter returns a delay in seconds, rounded up to hundredths: rounded down, callers would
// return too early.
func formatRetryAfter(delay time.Duration) string {
	return strconv.FormatFloat(math.Ceil(delay.Seconds()*100)/100, 'f', 2, 64)
}

// writeError writes an error response of this proxy.
func (t *transaction) writeError(failure *errkind.Error) {
	if t.requestBody == nil {
		t.limitBodyReads(time.Now().Add(refusedBodyTimeout))
	}
	errorResponse := failure.Kind.Response()
	header := t.w.Header()
	header.Set("Content-Type", "application/problem+json")
	if errorResponse.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(t.retryDelay(errorResponse.RetryAfter)))
	}
	body := `{"type":"about:blank","title":` + strconv.Quote(errorResponse.Title) + `,"status":` + strconv.Itoa(errorResponse.Status) +
		`,"kind":"` + errorResponse.Name + `","run":"` + failure.RunState.String() + `"}` + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	t.writeHeader(errorResponse.Status)
	if _, err := io.WriteString(t.w, body); err != nil {
		t.s.logger.Debug("failed to write an error response", zap.String("request", t.requestInfo.ID), obs.ErrorField(err))
	}
}

// serve runs the stages and sends the request to an upstream.
func (t *transaction) serve() *errkind.Error {
	if t.s.isPoisonRequest(t) {
		return t.poisonError()
	}
	if blocked := t.blockedParts(); blocked != nil {
		return t.poisonPromptError(blocked)
	}
	if failure := t.bindResumed(); failure != nil {
		return failure
	}
	if t.route.Kind != catalog.Idempotent && len(t.view.InService[t.pool]) == 0 {
		return t.newError(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
	}
	if failure := t.blockedPoolError(t.view); failure != nil {
		return failure
	}
	if failure := t.prepareInputs(); failure != nil {
		return failure
	}
	defer t.releaseInputs()
	return t.forward()
}

func (t *transaction) poisonError() *errkind.Error {
	failure := errkind.New(errkind.UpstreamFailed, "upstreams died while they ran this request")
	return failure.RaiseRunState(errkind.Ran)
}

// timeoutError returns the error of a request whose deadline has passed, whose caller has
// disconnected, or which is cut off by a planned stop.
func (t *transaction) timeoutError() *errkind.Error {
	if t.s.stop.isCut() && t.r.Context().Err() == nil {
		t.retryAfter = minRetryAfter
		return t.newError(errkind.Draining, "the VM stops")
	}
	failure := errkind.New(errkind.DeadlineExceeded, "no answer in time")
	if errors.Is(t.r.Context().Err(), context.Canceled) {
		failure.Detail = "the caller has left"
	}
	if t.mayHaveRun {
		failure = failure.RaiseRunState(errkind.Unknown)
	}
	return failure
}
