package peer

import (
	"container/list"
	"sync"

	"google.golang.org/grpc"
)

// maxConnections bounds the open connections to peers. Probes go to all members in
// turn, so that in a large fleet most of them use a new connection in any case.
const maxConnections = 32

// Pool holds connections to peers, the most recently used ones.
type Pool struct {
	transport Transport
	limit     int

	mu      sync.Mutex
	recent  *list.List
	entries map[string]*list.Element
}

type pooled struct {
	address string
	conn    *grpc.ClientConn
	// users counts running calls; an entry that was dropped is closed by the last one.
	users   int
	dropped bool
}

// NewPool returns an empty pool.
func NewPool(transport Transport) *Pool { return NewPoolWithLimit(transport, maxConnections) }

// NewPoolWithLimit returns an empty pool of at most limit connections.
func NewPoolWithLimit(transport Transport, limit int) *Pool {
	return &Pool{transport: transport, limit: limit, recent: list.New(), entries: map[string]*list.Element{}}
}

// Do runs a call on the connection to the address. A connection on which a call fails
// is replaced, since it may have gone silent.
func (p *Pool) Do(address string, call func(*grpc.ClientConn) error) error {
	entry, err := p.acquire(address)
	if err != nil {
		return err
	}
	err = call(entry.conn)
	p.release(entry, err != nil)
	return err
}

// Close closes all connections without running calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.recent.Len() > 0 {
		p.drop(p.recent.Back())
	}
}

func (p *Pool) acquire(address string) (*pooled, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.entries[address]; element != nil {
		p.recent.MoveToFront(element)
		entry := element.Value.(*pooled)
		entry.users++
		return entry, nil
	}
	conn, err := p.transport.Dial(address)
	if err != nil {
		return nil, err
	}
	entry := &pooled{address: address, conn: conn, users: 1}
	p.entries[address] = p.recent.PushFront(entry)
	if p.recent.Len() > p.limit {
		p.drop(p.recent.Back())
	}
	return entry, nil
}

func (p *Pool) release(entry *pooled, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.users--
	if entry.dropped {
		if entry.users == 0 {
			_ = entry.conn.Close()
		}
		return
	}
	if failed {
		p.drop(p.entries[entry.address])
	}
}

// drop removes an entry and closes it unless calls run on it.
func (p *Pool) drop(element *list.Element) {
	entry := element.Value.(*pooled)
	p.recent.Remove(element)
	delete(p.entries, entry.address)
	entry.dropped = true
	if entry.users == 0 {
		_ = entry.conn.Close()
	}
}
