package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

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
	// minRetryAfter and maxRetryAfter bound the Retry-After header.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// ServeHTTP serves the requests of callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	t := &transaction{s: s, w: w, r: r, view: s.view.Load(), arrived: s.now(), tried: map[string]bool{}}
	if s.stopping.Load() {
		// The next connection of the caller then goes to another VM.
		w.Header().Set("Connection", "close")
	}
	failure := t.prepare()
	if failure == nil {
		var cancel context.CancelFunc
		t.ctx, cancel = context.WithTimeout(r.Context(), t.remaining())
		defer cancel()
		failure = t.serve()
	}
	t.finish(failure)
}

// prepare parses the request and checks whether it may be served.
func (t *transaction) prepare() *errkind.Error {
	info, err := t.s.dialect.DecodeRequest(t.r.Header)
	t.requestInfo = info
	if err != nil {
		return errkind.New(errkind.BadRequest, err.Error())
	}
	if t.view == nil || t.view.Catalog == nil {
		return errkind.New(errkind.NotConfigured, "no configuration is known yet")
	}
	config := t.view.Catalog
	t.route = config.Match(t.r.Host, t.r.URL.Path)
	if t.route == nil {
		return errkind.New(errkind.UnknownRoute, strconv.Quote(t.r.Host+t.r.URL.Path))
	}
	if failure := t.authenticate(config); failure != nil {
		return failure
	}
	t.setDeadlines()
	t.pool = t.route.PoolFor(float64(xxhash.Sum64String(info.ID)>>11) / (1 << 53))
	return t.readBody(config)
}

func (t *transaction) authenticate(config *catalog.Catalog) *errkind.Error {
	if t.requestInfo.APIKey != "" {
		t.workspace = config.WorkspaceOf(t.requestInfo.APIKey)
	}
	if !config.NeedsKey(t.route) {
		return nil
	}
	if age, _ := t.s.follower.age(); t.s.keysOutdated(age) {
		return errkind.New(errkind.TablesOutdated, "the tables were last known to be current "+age.String()+" ago")
	}
	if t.workspace == nil {
		return errkind.New(errkind.Unauthenticated, "")
	}
	return nil
}

// keysOutdated reports whether an API key may have been revoked longer ago than allowed.
func (s *Server) keysOutdated(age time.Duration) bool {
	maxAge := s.settings.KeyRevocationTimeout
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

func (t *transaction) readBody(config *catalog.Catalog) *errkind.Error {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if t.r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, strconv.FormatInt(t.r.ContentLength, 10)+" bytes")
	}
	body, err := io.ReadAll(io.LimitReader(t.r.Body, limit+1))
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body did not arrive: "+err.Error())
	}
	if int64(len(body)) > limit {
		return errkind.New(errkind.BodyTooLarge, "over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	t.body = body
	t.fingerprint = requestFingerprint(t)
	return nil
}

// finish writes the error response, if any, and the log line of the request.
func (t *transaction) finish(failure *errkind.Error) {
	elapsed := t.s.now().Sub(t.arrived)
	if failure == nil {
		t.s.metrics.recordRequest(t, "ok", elapsed)
		t.s.logger.Info("request answered", append(t.logFields(), zap.String("upstream", t.upstream), zap.Int("sends", len(t.tried)),
			zap.Duration("stages", t.stageTime), zap.Int("events", t.events))...)
		return
	}
	kind := failure.Kind.String()
	if t.r.Context().Err() != nil {
		kind = "caller_gone"
	}
	t.s.metrics.recordRequest(t, kind, elapsed)
	age, _ := t.s.follower.age()
	t.s.failures.Info("request failed", append(t.logFields(), zap.String("kind", kind), zap.String("run", failure.RunState.String()),
		zap.String("detail", failure.Detail), zap.String("upstream", t.upstream), zap.Int("sends", len(t.tried)),
		zap.Duration("stages", t.stageTime), zap.Int("events", t.events), zap.Duration("tables_age", age),
		zap.Duration("retry_after", t.retryAfter))...)
	if t.responseStarted || kind == "caller_gone" {
		// Aborting the connection tells the caller that the response is not complete.
		panic(http.ErrAbortHandler)
	}
	t.writeError(failure)
}

// writeError writes an error response of this proxy.
func (t *transaction) writeError(failure *errkind.Error) {
	errorResponse := failure.Kind.Response()
	header := t.w.Header()
	header.Set("Content-Type", "application/problem+json")
	if errorResponse.RetryAfter > 0 {
		retryAfter := errorResponse.RetryAfter
		if t.retryAfter > 0 {
			retryAfter = min(max(t.retryAfter, minRetryAfter), maxRetryAfter)
		}
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	body := `{"type":"about:blank","title":` + strconv.Quote(errorResponse.Title) + `,"status":` + strconv.Itoa(errorResponse.Status) +
		`,"kind":"` + errorResponse.Name + `","run":"` + failure.RunState.String() + `"}` + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	t.w.WriteHeader(errorResponse.Status)
	if _, err := io.WriteString(t.w, body); err != nil {
		t.s.logger.Debug("failed to write an error response", zap.String("request", t.requestInfo.ID), obs.ErrorField(err))
	}
}

// serve runs the stages and sends the request to an upstream.
func (t *transaction) serve() *errkind.Error {
	if t.s.isPoisonRequest(t) {
		return t.poisonError()
	}
	if t.route.Kind != catalog.Idempotent && len(t.view.InService[t.pool]) == 0 {
		return t.newError(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
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

// timeoutError returns the error of a request whose deadline has passed or whose caller has
// disconnected.
func (t *transaction) timeoutError() *errkind.Error {
	failure := errkind.New(errkind.DeadlineExceeded, "no answer in time")
	if errors.Is(t.r.Context().Err(), context.Canceled) {
		failure.Detail = "the caller has left"
	}
	if t.mayHaveRun {
		failure = failure.RaiseRunState(errkind.Unknown)
	}
	return failure
}
