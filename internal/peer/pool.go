package peer

import (
	"container/list"
	"sync"

	"google.golang.org/grpc"
)

// maxConnections limits the open connections to peers. Probes go to all members in turn,
// so in a large fleet most of them need a new connection whatever the limit.
const maxConnections = 32

// Pool holds the most recently used connections to peers.
type Pool struct {
	transport Transport
	limit     int

	mu      sync.Mutex
	lru     *list.List
	entries map[string]*list.Element
}

type poolEntry struct {
	address string
	conn    *grpc.ClientConn
	// activeCalls counts ongoing calls. The last one closes the connection of a removed entry.
	activeCalls int
	removed     bool
}

// NewPool returns an empty pool with the default limit.
func NewPool(transport Transport) *Pool { return NewPoolWithLimit(transport, maxConnections) }

// NewPoolWithLimit returns an empty pool of at most limit connections.
func NewPoolWithLimit(transport Transport, limit int) *Pool {
	return &Pool{transport: transport, limit: limit, lru: list.New(), entries: map[string]*list.Element{}}
}

// Do runs a call on the connection to the address. A connection is removed from the pool
// when a call on it fails, since the peer may no longer respond on it.
func (p *Pool) Do(address string, call func(*grpc.ClientConn) error) error {
	entry, err := p.acquire(address)
	if err != nil {
		return err
	}
	err = call(entry.conn)
	p.release(entry, err != nil)
	return err
}

// Close closes all connections. A connection with ongoing calls is closed after the last.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.lru.Len() > 0 {
		p.remove(p.lru.Back())
	}
}

func (p *Pool) acquire(address string) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.entries[address]; element != nil {
		p.lru.MoveToFront(element)
		entry := element.Value.(*poolEntry)
		entry.activeCalls++
		return entry, nil
	}
	conn, err := p.transport.Dial(address)
	if err != nil {
		return nil, err
	}
	entry := &poolEntry{address: address, conn: conn, activeCalls: 1}
	p.entries[address] = p.lru.PushFront(entry)
	if p.lru.Len() > p.limit {
		p.remove(p.lru.Back())
	}
	return entry, nil
}

func (p *Pool) release(entry *poolEntry, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.activeCalls--
	if entry.removed {
		if entry.activeCalls == 0 {
			_ = entry.conn.Close()
		}
		return
	}
	if failed {
		p.remove(p.entries[entry.address])
	}
}

// remove removes an entry and closes its connection unless calls on it are ongoing.
func (p *Pool) remove(element *list.Element) {
	entry := element.Value.(*poolEntry)
	p.lru.Remove(element)
	delete(p.entries, entry.address)
	entry.removed = true
	if entry.activeCalls == 0 {
		_ = entry.conn.Close()
	}
}
