package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// maxMisdirected bounds the sends that reached another upstream or none; they do not
	// count as sends to an upstream.
	maxMisdirected = 4
	// busyPause is the pause before the next look for an upstream when all are at a limit.
	busyPause = 20 * time.Millisecond
	// soloFleet is the size of a fleet up to which the requests of one VM tell the load of an
	// upstream well enough by themselves.
	soloFleet = 8
	// busyPart is the part of the objective for which a request waits for a place.
	busyPart = 8
)

// forward sends the request to upstreams until one has answered.
func (t *transfer) forward() *errkind.Error {
	t.s.upstreams.deposit(t.pool)
	misdirected, remade := 0, 0
	for {
		taken, failure := t.takeUpstream()
		if failure != nil {
			return failure
		}
		end, held, detail := t.attempt(taken)
		if end != attemptDone {
			t.s.logger.Info("attempt ended", zap.String("request", t.call.ID), zap.String("upstream", taken.entry.ID),
				zap.String("pool", t.pool), zap.String("end", attemptNames[end]), zap.Int("send", len(t.tried)), zap.String("detail", detail),
				zap.Duration("elapsed", t.s.now().Sub(t.arrived)))
		}
		switch end {
		case attemptDone:
			return nil
		case attemptOver:
			return t.timedOut()
		case attemptNotSent:
			misdirected++
			if misdirected > maxMisdirected {
				return t.refusal(errkind.NoUpstream, detail)
			}
			continue
		case attemptInputsGone:
			remade++
			if remade > remakes || !t.s.upstreams.repeat(t.pool) {
				return t.refusal(errkind.Overloaded, "results of the stages are gone")
			}
			delete(t.tried, taken.entry.ID)
			if failure := t.remakeInputs(); failure != nil {
				return failure
			}
			continue
		}
		if again := t.mayTryAgain(end); !again {
			return t.giveUp(end, held, detail)
		}
		if t.inputs == nil && len(t.route.Stages) > 0 {
			if failure := t.remakeInputs(); failure != nil {
				return failure
			}
		}
	}
}

func (t *transfer) remakeInputs() *errkind.Error {
	t.releaseInputs()
	if len(t.route.Stages) > 0 {
		t.extend()
	}
	return t.makeInputs()
}

// mayTryAgain reports whether another upstream may get the request.
func (t *transfer) mayTryAgain(end attemptEnd) bool {
	if len(t.tried) >= t.route.MaxUpstreams || t.left() <= 0 {
		return false
	}
	if end != attemptRejected && !t.mayRepeat() {
		return false
	}
	if end == attemptBroken && t.s.isPoisonRequest(t) {
		return false
	}
	return t.s.upstreams.repeat(t.pool)
}

// giveUp ends the request after its last attempt.
func (t *transfer) giveUp(end attemptEnd, held *wholeAnswer, detail string) *errkind.Error {
	switch end {
	case attemptFailed:
		// The upstream's own answer says more than one of this system.
		held.write(t)
		return nil
	case attemptRejected:
		return t.refusal(errkind.Overloaded, detail)
	}
	if t.begun {
		return errkind.New(errkind.StreamBroken, detail)
	}
	return errkind.New(errkind.UpstreamFailed, detail).RaiseRunState(errkind.Unknown)
}

// takeUpstream chooses an upstream. If all are at a limit it waits for a short part of the
// objective, since places come back all the time.
func (t *transfer) takeUpstream() (*lease, *errkind.Error) {
	query := t.query()
	until := t.s.now().Add(min(t.route.Objective/busyPart, t.left()))
	for {
		view := t.s.view.Load()
		taken, exclusion := t.s.upstreams.take(view, t.pool, query)
		if taken != nil {
			return taken, nil
		}
		if t.ctx.Err() != nil {
			return nil, t.timedOut()
		}
		if exclusion == placement.NoneInService {
			return nil, t.refusal(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
		}
		if t.s.now() >= until {
			return nil, t.refusal(errkind.Overloaded, "each upstream of pool "+t.pool+" is at a limit or was tried")
		}
		pause(t.ctx, busyPause)
	}
}

// query describes the request for the choice of its upstream.
func (t *transfer) query() *placement.Request {
	return &placement.Request{
		Prefix: t.sharedPrefix(), Zone: t.s.settings.Zone, Tried: t.tried, MaxInFlight: t.s.maxInFlight(t.view, t.pool),
		FleetWeight: float64(t.s.fleetSize.Load()) / soloFleet,
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
func (t *transfer) sharedPrefix() string {
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
