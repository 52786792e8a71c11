package standin

import (
	"net"
	"sync"
)

// relayBufferBytes is the buffer size for one direction of a connection.
const relayBufferBytes = 32 << 10

// Partition simulates network partitions between zones. Like a network that drops packets,
// it delays data and does not close connections: data in transit arrives after the
// partition heals.
type Partition struct {
	mu       sync.Mutex
	healed   sync.Cond
	isolated map[string]bool
	stopped  bool
}

// NewPartition returns a Partition in which all zones reach each other.
func NewPartition() *Partition {
	p := &Partition{isolated: map[string]bool{}}
	p.healed.L = &p.mu
	return p
}

// SetIsolated isolates a zone from everything outside it, or reconnects it.
func (p *Partition) SetIsolated(zone string, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated[zone] = isolated
	p.healed.Broadcast()
}

// Stop unblocks and ends all transfers that wait for a partition to heal.
func (p *Partition) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.healed.Broadcast()
}

// waitConnected waits until the two zones reach each other. It returns false if the
// Partition was stopped.
func (p *Partition) waitConnected(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.stopped && a != b && (p.isolated[a] || p.isolated[b]) {
		p.healed.Wait()
	}
	return !p.stopped
}

// Relay forwards TCP connections to one address, subject to a Partition.
type Relay struct {
	// Target is the IP:port that connections are forwarded to.
	Target string
	// Zone is the zone of Target, or "" for the platform.
	Zone string
	// SourceZone returns the zone of a client address.
	SourceZone func(net.Addr) string
	Partition  *Partition
}

// Serve accepts connections until the listener is closed.
func (r *Relay) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *Relay) forward(client net.Conn) {
	defer client.Close()
	sourceZone := r.SourceZone(client.RemoteAddr())
	if !r.Partition.waitConnected(sourceZone, r.Zone) {
		return
	}
	server, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer server.Close()
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardDirection(server, client, sourceZone) })
	directions.Go(func() { r.forwardDirection(client, server, sourceZone) })
	directions.Wait()
}

// forwardDirection copies one direction and closes both connections at its end.
func (r *Relay) forwardDirection(to, from net.Conn, sourceZone string) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.Partition.waitConnected(sourceZone, r.Zone) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A partition also delays the close of a connection.
			r.Partition.waitConnected(sourceZone, r.Zone)
			return
		}
	}
}
