// Package tunnel carries connections to upstreams through other VMs. A connection is a stream of the gRPC
// method Tunnel: the requester uses Conn as a net.Conn, and the VM that carries the connection copies
// bytes between the stream and a TCP connection to the upstream with Carry.
//
// Bytes are never sent twice, and an orderly end of the connection is told from all other ends.
package tunnel

import "fmt"

// maxChunkBytes bounds the data of one message.
const maxChunkBytes = 16 << 10

// WindowBytes is the HTTP/2 flow control window of a stream that carries a connection; 64 KB is the
// minimum that grpc-go permits. It bounds what a VM holds of a connection whose other end does not read.
const WindowBytes = 64 << 10

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
