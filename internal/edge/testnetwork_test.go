package edge

import (
	"net"
	"net/http/httptest"
	"sync"
	"testing"
)

// cutKind is how the connections of a VM to upstreams behave while it is partitioned from them.
type cutKind int

const (
	noCut cutKind = iota
	// hangingCut means that connections are accepted, and nothing passes on these and older ones.
	hangingCut
	// breakingCut means that older connections are reset, and new ones after they were accepted.
	breakingCut
	// newConnsCut means that new connections are reset after they were accepted, and older ones live on.
	newConnsCut
)

// testNetwork partitions VMs from upstreams by their IPs.
type testNetwork struct {
	mu   sync.Mutex
	cuts map[string]cutKind
	// changed is closed when a cut changes.
	changed chan struct{}
	conns   map[*networkConn]bool
	// upstreams are those in the network.
	upstreams []*testUpstream
}

func newTestNetwork(t *testing.T) *testNetwork {
	n := &testNetwork{cuts: map[string]cutKind{}, changed: make(chan struct{}), conns: map[*networkConn]bool{}}
	t.Cleanup(n.heal)
	return n
}

// newUpstream returns an upstream in the network.
func (n *testNetwork) newUpstream(t *testing.T, id string) *testUpstream {
	u := &testUpstream{id: id, runs: map[string]int{}, inputs: map[string]string{}, cached: map[string]int{}}
	u.server = httptest.NewUnstartedServer(u)
	u.server.Listener = networkListener{Listener: u.server.Listener, network: n}
	u.server.Start()
	n.upstreams = append(n.upstreams, u)
	t.Cleanup(func() {
		n.heal()
		u.server.Close()
	})
	return u
}

// cut partitions a VM from all upstreams.
func (n *testNetwork) cut(ip string, kind cutKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[ip] = kind
	for conn := range n.conns {
		if conn.ip == ip && kind == breakingCut {
			conn.reset()
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// heal ends all partitions.
func (n *testNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	close(n.changed)
	n.changed = make(chan struct{})
}

// await waits while nothing passes between upstreams and a VM.
func (n *testNetwork) await(ip string) {
	for {
		n.mu.Lock()
		kind, changed := n.cuts[ip], n.changed
		n.mu.Unlock()
		if kind != hangingCut {
			return
		}
		<-changed
	}
}

// networkListener resets connections of partitioned VMs.
type networkListener struct {
	net.Listener
	network *testNetwork
}

// Accept implements net.Listener.
func (l networkListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &networkConn{Conn: raw, network: l.network, ip: raw.RemoteAddr().(*net.TCPAddr).IP.String()}
		l.network.mu.Lock()
		kind := l.network.cuts[conn.ip]
		l.network.conns[conn] = true
		l.network.mu.Unlock()
		if kind == noCut || kind == hangingCut {
			return conn, nil
		}
		conn.reset()
	}
}

// networkConn is a connection on which nothing passes while its VM is cut off by a hangingCut.
type networkConn struct {
	net.Conn
	network *testNetwork
	ip      string
}

// reset ends the connection with a reset.
func (c *networkConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // Fails only if the connection is closed already.
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *networkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.await(c.ip)
	return n, err
}

// Write implements net.Conn.
func (c *networkConn) Write(p []byte) (int, error) {
	c.network.await(c.ip)
	return c.Conn.Write(p)
}
