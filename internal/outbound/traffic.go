package outbound

import (
	"sync/atomic"
	"time"
)

// traffic is what a client exchanges with one address on direct connections.
type traffic struct {
	// received is the number of bytes received.
	received atomic.Uint64
	// conns are those of the exchanges that are not closed.
	conns map[*conn]struct{}
}

// startTraffic records the start of an exchange with an address.
func (c *Client) startTraffic(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.traffic[address]
	if t == nil {
		t = &traffic{conns: map[*conn]struct{}{}}
		c.traffic[address] = t
	}
	cn.traffic = t
	cn.receivedAt.Store(0)
	if cn.direct {
		t.conns[cn] = struct{}{}
	}
}

// endTraffic records the end of an exchange.
func (c *Client) endTraffic(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(cn.traffic.conns, cn)
}

// record records bytes that were received.
func (cn *conn) record(n int) {
	cn.receivedAt.Store(time.Now().UnixNano())
	if cn.direct {
		cn.traffic.received.Add(uint64(n))
	}
}

// Traffic returns the number of bytes received on direct connections from the addresses that count, which may fall
// when addresses are forgotten, and the number of these addresses with requests on direct connections whose
// responses are not complete.
func (c *Client) Traffic(counts func(address string) bool) (received uint64, awaited int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.traffic {
		if !counts(address) {
			continue
		}
		received += t.received.Load()
		if len(t.conns) > 0 {
			awaited++
		}
	}
	return received, awaited
}

// forgetTraffic forgets the addresses without exchanges or idle connections. The caller holds the lock.
func (c *Client) forgetTraffic() {
	for address, t := range c.traffic {
		if len(t.conns) == 0 && len(c.idleConns[address]) == 0 {
			delete(c.traffic, address)
		}
	}
}

// CloseSilent closes the direct connections to the addresses that count whose exchanges received no byte within the
// given time, also if they began later. It returns their number.
func (c *Client) CloseSilent(within time.Duration, counts func(address string) bool) int {
	since := time.Now().Add(-within).UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for address, t := range c.traffic {
		if !counts(address) {
			continue
		}
		for cn := range t.conns {
			if cn.receivedAt.Load() < since {
				_ = cn.Close()
				closed++
			}
		}
	}
	return closed
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idleConns {
		for _, cn := range conns {
			_ = cn.Close()
		}
	}
	clear(c.idleConns)
}
