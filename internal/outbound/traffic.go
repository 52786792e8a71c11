package outbound

import "sync/atomic"

// traffic counts what a client exchanges with one address.
type traffic struct {
	// received is the number of bytes received, and exchanges that of the exchanges that are not closed.
	received  atomic.Uint64
	exchanges atomic.Int64
}

// startTraffic counts the start of an exchange with an address.
func (c *Client) startTraffic(address string) *traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.traffic[address]
	if t == nil {
		t = &traffic{}
		c.traffic[address] = t
	}
	t.exchanges.Add(1)
	return t
}

// Traffic returns the number of bytes received from the addresses that count, which may fall when addresses are
// forgotten, and the number of these addresses with requests whose responses are not complete.
func (c *Client) Traffic(counts func(address string) bool) (received uint64, awaited int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.traffic {
		if !counts(address) {
			continue
		}
		received += t.received.Load()
		if t.exchanges.Load() > 0 {
			awaited++
		}
	}
	return received, awaited
}

// forgetTraffic forgets the addresses without exchanges or idle connections. The caller holds the lock.
func (c *Client) forgetTraffic() {
	for address, t := range c.traffic {
		if t.exchanges.Load() == 0 && len(c.idleConns[address]) == 0 {
			delete(c.traffic, address)
		}
	}
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
