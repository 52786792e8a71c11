package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

const (
	// balancerDelay is how long a VM that shuts down accepts new requests: the load balancer
	// notices after two failed readiness checks, one second apart. Operators expect an answer to
	// each request that is sent up to three seconds after the stop signal, or later if accepted. A
	// busy process handles the signal up to a tenth of a second late.
	balancerDelay = 2800 * time.Millisecond
	// refusalPeriod is how long requests are refused after that, before idle connections close. A
	// request that arrives on a connection which closes at that moment gets no response.
	refusalPeriod = 300 * time.Millisecond
	// cutMargin is the part of the grace period left when requests that still run are cut off, and
	// exitMargin the part left for the exit of the process after their responses. Operators expect
	// that requests may run until the last sixth of the grace period, so both are shorter if it is
	// short: the grace period divided by cutDivisor and exitDivisor.
	cutMargin   = 250 * time.Millisecond
	exitMargin  = 100 * time.Millisecond
	cutDivisor  = 8
	exitDivisor = 20
	// requestPollInterval is how often a VM that stops checks whether requests are in progress.
	requestPollInterval = 10 * time.Millisecond
	// stopSafetyFactor is how many times the expected duration of a request must be left before a
	// VM stops. Durations vary, and requests take longer while VMs stop one after the other.
	stopSafetyFactor = 1.5
)

// stopSchedule holds the instants of a planned stop.
type stopSchedule struct {
	signaled clock.Instant
	// acceptUntil is when requests are no longer taken, cutAt when those that still run end, and
	// exitAt when the VM no longer waits for their responses.
	acceptUntil clock.Instant
	cutAt       clock.Instant
	exitAt      clock.Instant
}

// plannedStop is the state of a planned stop.
type plannedStop struct {
	// balancerDelay and refusalPeriod are the constants of the same name.
	balancerDelay time.Duration
	refusalPeriod time.Duration
	// schedule is nil until the stop signal.
	schedule atomic.Pointer[stopSchedule]
	// cut is done once requests that still run are cut off.
	cut    context.Context
	cutOff context.CancelFunc
}

func newPlannedStop() *plannedStop {
	cut, cutOff := context.WithCancel(context.Background())
	return &plannedStop{balancerDelay: balancerDelay, refusalPeriod: refusalPeriod, cut: cut, cutOff: cutOff}
}

// begin records the stop signal and returns the schedule of the stop.
func (p *plannedStop) begin(now clock.Instant, gracePeriod time.Duration) *stopSchedule {
	schedule := &stopSchedule{
		signaled: now, acceptUntil: now.Add(min(p.balancerDelay, gracePeriod/2)),
		cutAt: now.Add(gracePeriod - min(cutMargin, gracePeriod/cutDivisor)), exitAt: now.Add(gracePeriod - min(exitMargin, gracePeriod/exitDivisor)),
	}
	p.schedule.Store(schedule)
	return schedule
}

// isStopping reports whether the VM is shutting down.
func (p *plannedStop) isStopping() bool { return p.schedule.Load() != nil }

// isCut reports whether requests that still run are being cut off.
func (p *plannedStop) isCut() bool { return p.cut.Err() != nil }

// checkStop refuses a request that has arrived after the time for new requests, or that could not end
// before this VM stops. Another VM can run it. The time of arrival decides, since listeners and
// connections may close late on a busy VM.
func (t *transaction) checkStop(arrived clock.Instant) *errkind.Error {
	schedule := t.s.stop.schedule.Load()
	if schedule == nil {
		return nil
	}
	t.stopElapsed = arrived.Sub(schedule.signaled)
	if arrived > schedule.acceptUntil {
		t.retryAfter = minRetryAfter
		return errkind.New(errkind.Draining, "the request arrived after the time for new requests")
	}
	left := schedule.cutAt.Sub(arrived)
	expected := t.s.durations.expected(t.route.Name, t.route.Objective)
	if time.Duration(stopSafetyFactor*float64(expected)) <= left {
		return nil
	}
	t.retryAfter = minRetryAfter
	return errkind.New(errkind.Draining, "the request would take "+expected.String()+", and the VM stops in "+left.String())
}

// writeHeader sends the header of the response. A VM that stops closes the connection after it, so
// that the next connection of the caller goes to another VM.
func (t *transaction) writeHeader(status int) {
	if t.s.stop.isStopping() {
		t.w.Header().Set("Connection", "close")
	}
	t.w.WriteHeader(status)
}

// shutDown stops the server. Readiness checks fail first; after the balancer delay the listener
// closes and requests are refused. Then idle connections close, and the running requests have until
// shortly before the end of the grace period. Requests that arrive meanwhile are still refused.
func (s *Server) shutDown(servers *servers) {
	schedule := s.stop.begin(s.now(), s.inForce.Load().GracePeriod)
	s.gossip.leave()
	s.updatePoolClaims()
	s.logger.Info("stopping", zap.Int64("in_flight", s.inFlight.Load()))
	cut := time.AfterFunc(schedule.cutAt.Sub(s.now()), s.stop.cutOff)
	defer cut.Stop()
	sleep(context.Background(), schedule.acceptUntil.Sub(s.now()))
	if err := servers.callerListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.logger.Warn("failed to close the listener for callers", obs.ErrorField(err))
	}
	sleep(context.Background(), min(s.stop.refusalPeriod, schedule.cutAt.Sub(s.now())))
	ctx, cancel := context.WithTimeout(context.Background(), schedule.exitAt.Sub(s.now()))
	defer cancel()
	// Shutdown would drop a request that arrives on a connection which is still open.
	servers.callers.SetKeepAlivesEnabled(false)
	s.awaitRequests(ctx)
	err := servers.callers.Shutdown(ctx)
	s.logger.Info("stopped", zap.Int64("in_flight", s.inFlight.Load()), zap.Duration("took", s.now().Sub(schedule.signaled)), obs.ErrorField(err))
}

// awaitRequests waits until no request, and no stage or tunnel of another VM, is in progress or the
// context ends. Other VMs would have to run such a stage again, and lose the requests in such a tunnel.
func (s *Server) awaitRequests(ctx context.Context) {
	for s.inFlight.Load()+s.peerStages.Load()+s.tunnels.open.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, requestPollInterval)
	}
}
