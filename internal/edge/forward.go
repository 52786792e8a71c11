package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// maxMisdirectedSends bounds the sends that reached another upstream or none; they do not
	// count as sends to an upstream.
	maxMisdirectedSends = 4
	// busyRetryInterval is the pause before the next look for an upstream when all are at a limit.
	busyRetryInterval = 20 * time.Millisecond
	// smallFleetSize is the size of a fleet up to which the requests of one VM tell the load of an
	// upstream well enough by themselves.
	smallFleetSize = 8
	// busyWaitDivisor is the part of the objective for which a request waits for a place.
	busyWaitDivisor = 8
)

// forward sends the request to upstreams until one has answered.
func (t *transaction) forward() *errkind.Error {
	t.s.upstreams.deposit(t.pool)
	misdirected, remade := 0, 0
	for {
		taken, failure := t.acquireUpstream()
		if failure != nil {
			return failure
		}
		end, held, detail := t.attempt(taken)
		if end != attemptDone {
			t.s.logger.Info("attempt ended", zap.String("request", t.call.ID), zap.String("upstream", taken.entry.ID),
				zap.String("pool", t.pool), zap.String("end", attemptOutcomeNames[end]), zap.Int("send", len(t.tried)), zap.String("detail", detail),
				zap.Duration("elapsed", t.s.now().Sub(t.arrived)))
		}
		switch end {
		case attemptDone:
			return nil
		case attemptAborted:
			return t.timeoutError()
		case attemptNotSent:
			misdirected++
			if misdirected > maxMisdirectedSends {
				return t.newError(errkind.NoUpstream, detail)
			}
			continue
		case attemptInputsMissing:
			remade++
			if remade > stageRerunLimit || !t.s.upstreams.repeat(t.pool) {
				return t.newError(errkind.Overloaded, "results of the stages are gone")
			}
			delete(t.tried, taken.entry.ID)
			if failure := t.rerunStages(); failure != nil {
				return failure
			}
			continue
		}
		if again := t.canRetry(end); !again {
			return t.giveUp(end, held, detail)
		}
		if t.inputs == nil && len(t.route.Stages) > 0 {
			if failure := t.rerunStages(); failure != nil {
				return failure
			}
		}
	}
}

func (t *transaction) rerunStages() *errkind.Error {
	t.releaseInputs()
	if len(t.route.Stages) > 0 {
		t.extendDue()
	}
	return t.prepareInputs()
}

// canRetry reports whether another upstream may get the request.
func (t *transaction) canRetry(end attemptOutcome) bool {
	if len(t.tried) >= t.route.MaxUpstreams || t.remaining() <= 0 {
		return false
	}
	if end != attemptRejected && !t.isRepeatable() {
		return false
	}
	if end == attemptBroken && t.s.isPoisonRequest(t) {
		return false
	}
	return t.s.upstreams.repeat(t.pool)
}

// giveUp ends the request after its last attempt.
func (t *transaction) giveUp(end attemptOutcome, held *wholeAnswer, detail string) *errkind.Error {
	switch end {
	case attemptFailed:
		// The upstream's own answer says more than one of this system.
		held.write(t)
		return nil
	case attemptRejected:
		return t.newError(errkind.Overloaded, detail)
	}
	if t.responseStarted {
		return errkind.New(errkind.StreamBroken, detail)
	}
	return errkind.New(errkind.UpstreamFailed, detail).RaiseRunState(errkind.Unknown)
}

// acquireUpstream chooses an upstream. If all are at a limit it waits for a short part of the
// objective, since places come back all the time.
func (t *transaction) acquireUpstream() (*lease, *errkind.Error) {
	query := t.placementRequest()
	until := t.s.now().Add(min(t.route.Objective/busyWaitDivisor, t.remaining()))
	for {
		view := t.s.view.Load()
		taken, exclusion := t.s.upstreams.take(view, t.pool, query)
		if taken != nil {
			return taken, nil
		}
		if t.ctx.Err() != nil {
			return nil, t.timeoutError()
		}
		if exclusion == placement.NoneInService {
			return nil, t.newError(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
		}
		if t.s.now() >= until {
			return nil, t.newError(errkind.Overloaded, "each upstream of pool "+t.pool+" is at a limit or was tried")
		}
		pause(t.ctx, busyRetryInterval)
	}
}

// placementRequest describes the request for the choice of its upstream.
func (t *transaction) placementRequest() *placement.Request {
	return &placement.Request{
		Prefix: t.sharedPrefix(), Zone: t.s.settings.Zone, Tried: t.tried, MaxInFlight: t.s.maxInFlight(t.view, t.pool),
		FleetWeight: float64(t.s.fleetSize.Load()) / smallFleetSize,
	}
}

// maxInFlight returns this VM's part of the connections to one upstream.
func (s *Server) maxInFlight(view *View, pool string) int {
	if view.Catalog == nil || view.Catalog.Pools[pool] == nil || view.Catalog.Pools[pool].MaxConnections == 0 {
		return 0
	}
	return max(1, view.Catalog.Pools[pool].MaxConnections/max(1, int(s.fleetSize.Load())))
}

// sharedPrefix returns the part of the prompt by which the request is placed; empty if the
// prompt shares nothing. The last of several parts belongs to the request alone.
func (t *transaction) sharedPrefix() string {
	if len(t.call.Prefix) == 0 || !t.route.HasPromptPrefixes {
		return ""
	}
	if t.prefix == "" {
		var shared []string
		for _, part := range t.call.Prefix[:max(1, len(t.call.Prefix)-1)] {
			shared = append(shared, part.ID)
		}
		t.prefix = t.s.upstreams.prefixKey(t.route.Name, shared, len(t.view.InService[t.pool]))
	}
	return t.prefix
}
