package tunnel

import "fmt"

// Refusal is why a VM did not open a connection. The values are those of hoistv1.TunnelResponse.
type Refusal uint32

// The refusals.
const (
	// Opened means that the connection is open.
	Opened Refusal = iota
	// UnknownUpstream means that the tables of the VM do not name the upstream at the address.
	UnknownUpstream
	// Busy means that the VM carries too many connections, is stopping or is partitioned itself.
	Busy
	// ConnRefused means that the upstream refused the connection.
	ConnRefused
	// TimedOut means that the connection timed out.
	TimedOut
	// Failed means that the connection failed otherwise. Values of newer versions count as Failed.
	Failed

	refusalCount
)

var refusalNames = [refusalCount]string{"opened", "unknown_upstream", "busy", "conn_refused", "timed_out", "failed"}

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string { return refusalNames[min(r, Failed)] }

// IsUpstreamFailure reports whether the VM tried to connect to the upstream and failed.
func (r Refusal) IsUpstreamFailure() bool { return r >= ConnRefused }

// RefusedError reports a connection that the carrying VM did not open.
type RefusedError struct {
	Refusal Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("the VM did not connect: %s", e.Refusal) }
