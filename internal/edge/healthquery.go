package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// healthQuestion is a query for the state of an upstream that may have come back.
type healthQuestion struct {
	state *upstreamState
	entry *registry.Entry
	path  string
	asked clock.Instant
}

// askReturned asks the candidates that placement.ReturnCheck selects. The caller holds the lock.
func (u *upstreams) askReturned(view *View, pool string, candidates []*placement.Upstream, hasOthers bool) {
	now := u.now()
	path := view.healthPath(pool)
	for _, candidate := range candidates {
		if candidate.TryAsk(now, hasOthers) {
			state := u.states[candidate.ID]
			u.askHealth(healthQuestion{state: state, entry: state.entry, path: path, asked: now})
		}
	}
}

// healthPath returns the path of health queries in a pool whose upstreams have a limit for cold
// starts, or "".
func (v *View) healthPath(pool string) string {
	if v.Catalog == nil || v.Catalog.Pools[pool] == nil || v.Catalog.Pools[pool].ColdRequestsPerSecond <= 0 {
		return ""
	}
	return v.Catalog.Pools[pool].HealthPath
}

// isAsking reports whether the answer to a health query of an upstream in the pool is awaited.
func (u *upstreams) isAsking(view *View, pool string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	for i := range view.InService[pool] {
		if state := u.states[view.InService[pool][i].ID]; state != nil && state.Return.IsAsking(now) {
			return true
		}
	}
	return false
}

// recordLost records that an upstream died, unless another process has its ID by now.
func (u *upstreams) recordLost(id string, startID int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state := u.states[id]; state != nil && state.entry.StartID == startID {
		state.Return.RecordLost(u.now())
	}
}

// recordLost records that the leased upstream refused a connection.
func (l *lease) recordLost() {
	l.update(func(now clock.Instant, u *placement.Upstream) { u.Return.RecordLost(now) })
}

// askHealth asks an upstream for its state and records the remaining cold start. The connection is
// not reused, since the response does not say which request it belongs to.
func (s *Server) askHealth(q healthQuestion) {
	if !s.signals.mayCall(instanceOf(q.entry), "health") {
		s.upstreams.recordWithheld(q)
		return
	}
	info, end, err := s.fetchHealth(q)
	cold := s.upstreams.recordHealth(q, info.ColdRemaining, end == "refused")
	s.metrics.healthChecks.WithLabelValues(end).Inc()
	s.logger.Info("health query ended", zap.String("upstream", q.entry.ID), zap.String("pool", q.entry.Pool), zap.String("end", end),
		zap.Duration("cold", cold), zap.Duration("took", s.now().Sub(q.asked)), obs.ErrorField(err))
}

// fetchHealth sends a health query. It returns what the upstream says of itself and how the query
// ended, for logs and metrics; the error is that of a query without a response.
func (s *Server) fetchHealth(q healthQuestion) (info ResponseInfo, end string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), placement.HealthTimeout)
	defer cancel()
	request := s.dialect.EncodeHealthQuery(q.entry.Address, q.entry.ID, q.path)
	request.SingleUse = true
	exchange, err := s.client.Start(ctx, q.entry.Address, request)
	switch {
	case outbound.IsRefused(err):
		return info, "refused", err
	case err != nil:
		return info, "failed", err
	}
	defer exchange.Close()
	info = s.dialect.DecodeResponse(exchange.Status, exchange.Header)
	s.signals.record(s.view.Load(), q.entry, info)
	if info.Misdirected {
		// What another instance says of itself is not true of this one.
		return ResponseInfo{}, "misdirected", nil
	}
	return info, "answered", nil
}

// recordWithheld records that a health query was not sent because of a signal of the upstream. It gets no
// requests either at that time, and is asked before the first one after a pause.
func (u *upstreams) recordWithheld(q healthQuestion) {
	u.mu.Lock()
	defer u.mu.Unlock()
	q.state.Return.RecordRefusal(u.now(), q.asked)
}

// recordHealth records the end of a health query, and returns the remaining cold start.
func (u *upstreams) recordHealth(q healthQuestion, cold time.Duration, refused bool) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if refused {
		q.state.RecordUnreachable(now)
		q.state.Return.RecordRefusal(now, q.asked)
		return 0
	}
	if cold > 0 {
		q.state.RecordColdStart(now, cold)
	}
	q.state.Return.RecordAnswer(q.asked)
	return cold
}
