package edge

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/tunnel"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/carrier"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// tunnelDial is the state of opening one connection.
type tunnelDial struct {
	path  *upstreamPath
	entry *registry.Entry
	tried []string
	// unreached are the VMs that tried to connect to the upstream and failed, and upstreamErr is the
	// error of the last of them.
	unreached   []string
	upstreamErr error
	carrierErr  error
}

// err returns the error of the dial. It is that of the upstream if a VM tried to connect to it, and says nothing
// about the upstream otherwise.
func (d *tunnelDial) err() error {
	if d.upstreamErr != nil {
		return d.upstreamErr
	}
	return errors.Mark(d.carrierErr, outbound.ErrPathFailed)
}

// attempt opens the connection through one VM. It returns nil if that failed.
func (d *tunnelDial) attempt(ctx context.Context, through fleet.Entry) net.Conn {
	d.tried = append(d.tried, through.Name)
	p, started := d.path, d.path.s.now()
	attemptCtx, cancel := context.WithTimeout(ctx, carrierTimeout)
	defer cancel()
	conn, err := p.open(attemptCtx, through, d.entry)
	outcome := "opened"
	if err != nil {
		outcome = d.recordError(ctx, through, err)
	} else {
		d.recordOpened(through)
	}
	p.metrics.opened.WithLabelValues(outcome).Inc()
	p.s.logger.Info("tunnel attempt", zap.String("upstream", d.entry.ID), zap.String("carrier", through.Name), zap.String("outcome", outcome),
		zap.Int("attempt", len(d.tried)), zap.Duration("took", p.s.now().Sub(started)), obs.ErrorField(err))
	if err != nil {
		return nil
	}
	return conn
}

// recordOpened records a success. The VMs that could not reach the upstream before are at fault.
func (d *tunnelDial) recordOpened(through fleet.Entry) {
	d.path.update(func(s *carrier.Selector) { s.RecordSuccess(through.Name) })
	for _, name := range d.unreached {
		d.path.recordFailure(name)
	}
}

// recordError records an error of an attempt and returns its name in logs and metrics. The context is that of
// the whole dial.
func (d *tunnelDial) recordError(ctx context.Context, through fleet.Entry, err error) string {
	var refused *tunnel.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Refusal.IsUpstreamFailure():
		d.unreached = append(d.unreached, through.Name)
		d.upstreamErr = upstreamError(refused.Refusal, through)
		return refused.Refusal.String()
	case errors.As(err, &refused):
		d.carrierErr = err
		if refused.Refusal == tunnel.Busy {
			d.path.recordFailure(through.Name)
		}
		return refused.Refusal.String()
	case status.Code(err) == codes.Unimplemented:
		d.carrierErr = err
		d.path.update(func(s *carrier.Selector) { s.RecordUnsupported(d.path.s.now(), through.Name) })
		return "unsupported"
	case ctx.Err() != nil:
		// The VM had less time than an attempt has, since others took it or the request has ended.
		d.carrierErr = err
		return "cancelled"
	}
	d.carrierErr = err
	d.path.recordFailure(through.Name)
	return "carrier_failed"
}

// upstreamError returns the error of a direct connection that fails in the same way.
func upstreamError(refusal tunnel.Refusal, through fleet.Entry) error {
	switch refusal {
	case tunnel.ConnRefused:
		return errors.Wrapf(syscall.ECONNREFUSED, "through %s", through.Name)
	case tunnel.TimedOut:
		return errors.Wrapf(os.ErrDeadlineExceeded, "through %s", through.Name)
	default:
		return errors.Newf("%s could not connect", through.Name)
	}
}
