// Package tunnel carries connections to upstreams through other VMs. A connection is a stream of the gRPC
// method Tunnel: the requester uses Conn as a net.Conn, and the VM that carries the connection copies
// bytes between the stream and a TCP connection to the upstream with Carry.
//
// Bytes are never sent twice, and an orderly end of the connection is told from all other ends.
package tunnel

// maxChunkBytes bounds the data of one message.
const maxChunkBytes = 16 << 10

// WindowBytes is the HTTP/2 flow control window of a stream that carries a connection; 64 KB is the
// minimum that grpc-go permits. It bounds what a VM holds of a connection whose other end does not read.
const WindowBytes = 64 << 10
