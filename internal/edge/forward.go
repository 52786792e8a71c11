package edge

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// maxUnsentAttempts bounds the attempts that reached another upstream or none; they do not count
	// as sends to an upstream.
	maxUnsentAttempts = 4
	// busyRetryInterval is the pause between attempts to find an upstream while all are at a
	// limit.
	busyRetryInterval = 20 * time.Millisecond
	// smallFleetSize is the fleet size up to which a VM can judge the load of an upstream from
	// its own requests alone.
	smallFleetSize = 8
	// busyWaitDivisor sets how long a request waits for an upstream below its limits: the
	// objective divided by it.
	busyWaitDivisor = 8
)

// forward sends the request to one upstream after another until one has responded.
func (t *transaction) forward() *errkind.Error {
	t.s.upstreams.addRetryTokens(t.pool)
	notSent, reruns := 0, 0
	for {
		if t.s.isPoisonRequest(t) {
			return t.poisonError()
		}
		if blocked := t.blockedParts(); blocked != nil {
			return t.poisonPromptError(blocked)
		}
		upstreamLease, failure := t.acquireUpstream()
		if failure != nil {
			return failure
		}
		outcome, response, detail := t.attempt(upstreamLease)
		t.logAttempt(upstreamLease, outcome, detail)
		switch outcome {
		case attemptDone:
			return nil
		case attemptAborted:
			return t.timeoutError()
		case attemptNotSent, attemptWithheld:
			notSent++
			if notSent > maxUnsentAttempts {
				return t.newError(errkind.NoUpstream, detail)
			}
			continue
		case attemptInputsMissing:
			reruns++
			if reruns > stageRerunLimit || !t.s.upstreams.withdrawRetry(t.pool) {
				return t.newError(errkind.Overloaded, "results of the stages are gone")
			}
			delete(t.tried, upstreamLease.entry.ID)
			if failure := t.rerunStages(); failure != nil {
				return failure
			}
			continue
		}
		if !t.canRetry(outcome) {
			return t.giveUp(outcome, response, detail)
		}
		response.release()
		if t.inputs == nil && len(t.route.Stages) > 0 {
			if failure := t.rerunStages(); failure != nil {
				return failure
			}
		}
	}
}

// logAttempt logs an attempt that did not forward a complete response.
func (t *transaction) logAttempt(upstreamLease *lease, outcome attemptOutcome, detail string) {
	if outcome == attemptDone {
		return
	}
	t.s.logger.Info("attempt ended", zap.String("request", t.requestInfo.ID), zap.String("upstream", upstreamLease.entry.ID),
		zap.String("pool", t.pool), zap.String("end", attemptOutcomeNames[outcome]), zap.Int("send", len(t.tried)), zap.String("detail", detail),
		zap.Duration("elapsed", t.s.now().Sub(t.arrived)))
}

// rerunStages releases the inputs of the request and runs its stages again.
func (t *transaction) rerunStages() *errkind.Error {
	t.releaseInputs()
	if len(t.route.Stages) > 0 {
		t.extendDue()
	}
	return t.prepareInputs()
}

// canRetry reports whether the request may be sent to another upstream.
func (t *transaction) canRetry(outcome attemptOutcome) bool {
	if len(t.tried) >= t.route.MaxUpstreams || t.remaining() <= 0 {
		return false
	}
	if outcome != attemptRejected && !t.isRepeatable() {
		return false
	}
	if t.blockedParts() != nil {
		return false
	}
	if outcome == attemptBroken && t.s.isPoisonRequest(t) {
		return false
	}
	return t.s.upstreams.withdrawRetry(t.pool)
}

// giveUp ends the request after its last attempt.
func (t *transaction) giveUp(outcome attemptOutcome, response *bufferedResponse, detail string) *errkind.Error {
	switch outcome {
	case attemptFailed:
		// The error response of the upstream is more specific than one of this proxy.
		response.writeTo(t)
		return nil
	case attemptRejected:
		if failure := t.blockedPoolError(t.s.view.Load()); failure != nil {
			return failure
		}
		return t.newError(errkind.Overloaded, detail)
	}
	if t.responseStarted {
		return errkind.New(errkind.StreamBroken, detail)
	}
	return errkind.New(errkind.UpstreamFailed, detail).RaiseRunState(errkind.Unknown)
}

// acquireUpstream chooses an upstream. If all are at a limit, it waits for a short part of the
// objective, since requests at the upstreams end all the time.
func (t *transaction) acquireUpstream() (*lease, *errkind.Error) {
	t.s.recentTables.await(t.ctx)
	view := t.s.view.Load()
	placementRequest := t.placementRequest(view)
	giveUpAt := t.s.now().Add(min(t.route.Objective/busyWaitDivisor, t.remaining()))
	if placed := t.acquirePlaced(view, placementRequest); placed != nil {
		return placed, nil
	}
	for {
		view = t.s.view.Load()
		placementRequest.Restrictions = t.restrictions(view)
		upstreamLease, status := t.s.upstreams.acquire(view, t.pool, placementRequest)
		if upstreamLease != nil {
			return upstreamLease, nil
		}
		if t.ctx.Err() != nil {
			return nil, t.timeoutError()
		}
		if status == placement.NoneInService {
			return nil, t.newError(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
		}
		if !t.hasUsableUpstream(view) {
			return nil, t.newError(errkind.NoUpstream, "pool "+t.pool+" has no upstream of software version "+strconv.Quote(t.origin.Version)+", which began the stream")
		}
		if failure := t.blockedPoolError(view); failure != nil {
			return nil, failure
		}
		if t.s.now() >= giveUpAt && !t.s.upstreams.isAsking(view, t.pool) {
			return nil, t.newError(errkind.Overloaded, "each upstream of pool "+t.pool+" is at a limit or was tried")
		}
		sleep(t.ctx, busyRetryInterval)
	}
}

// blockedPoolError returns the refusal of the request if all upstreams of its pool that are in service
// ask for no traffic or have left, and nil otherwise.
func (t *transaction) blockedPoolError(view *View) *errkind.Error {
	until, blocked := t.s.signals.poolBlock(t.arrived, view.InService[t.pool])
	if !blocked {
		return nil
	}
	t.s.metrics.callsWithheld.WithLabelValues("request").Inc()
	if until == 0 {
		return t.newError(errkind.NoUpstream, "each upstream of pool "+t.pool+" is leaving")
	}
	t.refuseUntil(until)
	return t.newError(errkind.Overloaded, "each upstream of pool "+t.pool+" asks for no traffic or is leaving")
}

// placementRequest describes the request for the placement on an upstream of the view.
func (t *transaction) placementRequest(view *View) *placement.Request {
	return &placement.Request{
		Prefix: t.sharedPrefix(), InputZone: t.inputZone(), Zone: t.s.settings.Zone, Tried: t.tried, MaxInFlight: t.s.maxInFlight(t.view, t.pool),
		FleetWeight:  float64(t.s.fleetSize.Load()) / smallFleetSize,
		Restrictions: t.restrictions(view),
	}
}

// maxInFlight returns this VM's share of the connections to one upstream; 0 means no limit.
func (s *Server) maxInFlight(view *View, pool string) int {
	if view.Catalog == nil || view.Catalog.Pools[pool] == nil || view.Catalog.Pools[pool].MaxConnections == 0 {
		return 0
	}
	return max(1, view.Catalog.Pools[pool].MaxConnections/max(1, int(s.connectionDivisor.Load())))
}

// sharedPrefix returns the parts of the prompt by which the request is placed; empty if the route
// has no prompt prefixes. The last of several parts belongs to this request alone.
func (t *transaction) sharedPrefix() []placement.PrefixLevel {
	if len(t.requestInfo.PromptPrefix) == 0 || !t.route.HasPromptPrefixes {
		return nil
	}
	if t.prefix == nil {
		shared := t.sharedParts()
		if len(shared) == 0 {
			shared = []string{t.requestInfo.PromptPrefix[0].ID}
		}
		t.prefix = t.s.upstreams.choosePrefix(t.route.Name, shared, len(t.view.InService[t.pool]))
	}
	return t.prefix
}
