// Package ingress keeps the account of what the clients of one port hold: connections, and memory for
// everything that a client can make a process hold before its request is admitted. On each event it
// decides which connections must be closed to stay within the limits, and which have exceeded a time
// limit. It does no I/O and reads no clock.
package ingress

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/list"
)

// Phase is the phase of a connection.
type Phase uint8

// The phases of a connection. A request is running from its admission to the end of its response.
const (
	// Unused is a connection that has sent nothing yet.
	Unused Phase = iota
	// Head is one in whose head of a request bytes have arrived.
	Head
	// Body is one whose head is complete and whose request is not admitted yet.
	Body
	// Running is one whose request is running. It is never closed for a limit.
	Running
	// Idle is one between two requests.
	Idle
	// Closed is one that was closed or that must be closed.
	Closed

	phaseCount
)

var phaseNames = [phaseCount]string{"unused", "head", "body", "running", "idle", "closed"}

// String returns the name of the phase in metrics.
func (p Phase) String() string { return phaseNames[p] }

// Reason is why a connection must be closed.
type Reason uint8

// The reasons to close a connection.
const (
	// ConnectionLimit: a newer connection needed its place.
	ConnectionLimit Reason = iota
	// MemoryLimit: the memory it held was needed.
	MemoryLimit
	// HeadTooLarge: its head exceeds the limit of one head.
	HeadTooLarge
	// HeadTimeout: its head was not complete in time.
	HeadTimeout
	// IdleTimeout: it was idle for too long.
	IdleTimeout

	reasonCount
)

var reasonNames = [reasonCount]string{"connection_limit", "memory_limit", "head_too_large", "head_timeout", "idle_timeout"}

// String returns the name of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Memory that a client makes a process hold, in bytes. A head costs a multiple of its bytes: a line is
// collected in a buffer that grows, and copied; and each line is an entry of a map with two strings and
// a list. 7,700 lines of four bytes took 0.5 MB.
const (
	// ConnectionBytes covers the buffers, the stack and the bookkeeping of a connection.
	ConnectionBytes = 16 << 10
	// headFactor is the memory for one byte of a head, and lineBytes that for one line.
	headFactor = 3
	lineBytes  = 160
	// wholeFactor is the memory for one byte with Limits.WholeRequests.
	wholeFactor = 2
)

// ProbeBytes must arrive of a long body before memory is taken for all of its announced length.
const ProbeBytes = 64 << 10

// progressBytes is what must arrive on a connection to count as progress. Single bytes at intervals
// would otherwise keep a head from ever being the oldest.
const progressBytes = 1 << 10

const (
	// stallTime is how long a head or body makes no progress before it counts as stalled. It is longer
	// than a handler waits for its turn on a busy VM.
	stallTime = time.Second
	// usualBytes is what a connection with a usual head holds at most.
	usualBytes = 2 * ConnectionBytes
)

// leavingDivisor is the fraction of the memory that closed connections may still hold while more heads
// are read.
const leavingDivisor = 8

// Limits are the limits of a port. Zero means no limit.
type Limits struct {
	// Connections bounds the connections and Bytes the memory of all of them. BodyBytes bounds the
	// part of the memory that bodies take.
	Connections int
	Bytes       int64
	BodyBytes   int64
	// HeadBytes bounds one head.
	HeadBytes int64
	// HeadTimeout is the time for a head from its first byte, and IdleTimeout that between two
	// requests and before the first one.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// Multiplexed is set for a protocol whose connections carry several calls at a time. What arrives
	// between two calls, such as pings, starts no head there.
	Multiplexed bool
	// WholeRequests is set for a server that reads heads and bodies alike before it calls a handler. It
	// keeps them as they are, in buffers that double in size.
	WholeRequests bool
}

// Conn is the account of one connection.
type Conn struct {
	// Owner is what the caller of Accept passed in.
	Owner any

	phase Phase
	// held is the memory that the connection takes, and body the part of it for a body.
	held, body int64
	// leaving is the memory of a closed connection that its server has not given up yet.
	leaving int64
	// headBytes is the length of the current head so far, and arrived what has arrived since the last
	// progress.
	headBytes, arrived int64
	// since is the start of the phase and progress the time of the last progress.
	since, progress clock.Instant
	node            list.Node[Conn]
}

// Phase returns the phase of the connection.
func (c *Conn) Phase() Phase { return c.phase }

// firstExcept returns the first connection of a list that is not c, or nil.
func firstExcept(l *list.List[Conn], c *Conn) *Conn {
	if first := l.Front(); first == nil || first != c {
		return first
	}
	return c.node.Next()
}

// Closing is a connection that must be closed.
type Closing struct {
	Conn   *Conn
	Reason Reason
}

// Account is the account of one port. It must not be used concurrently.
type Account struct {
	limits Limits
	counts [phaseCount]int
	held   int64
	body   int64
	// leaving is the memory of the closed connections that were not removed yet.
	leaving int64
	closed  [reasonCount]uint64
	// refused is the number of connections that found all others running.
	refused uint64
	// waiting holds the connections in the phases Head and Body, in the order of their progress, the
	// oldest first.
	waiting, unused, idle list.List[Conn]
	closing               []Closing
}

// New returns an empty account.
func New(limits Limits) *Account { return &Account{limits: limits} }

// SetLimits changes the limits. What exceeds them is closed by the next events.
func (a *Account) SetLimits(limits Limits) { a.limits = limits }

// Limits returns the limits in force.
func (a *Account) Limits() Limits { return a.limits }

// Accept adds a connection. It returns nil if there is no room and all others are running, so that the
// new one must be refused. The new connection is never in the list of connections to close.
//
// The lists that Accept and the other methods return are valid until the next call.
func (a *Account) Accept(now clock.Instant, owner any) (*Conn, []Closing) {
	a.closing = a.closing[:0]
	for a.limits.Connections > 0 && a.open() >= a.limits.Connections {
		if !a.evict(now, nil, ConnectionLimit) {
			a.refused++
			return nil, a.closing
		}
	}
	for a.limits.Bytes > 0 && a.held+ConnectionBytes > a.limits.Bytes {
		if !a.evict(now, nil, MemoryLimit) {
			a.refused++
			return nil, a.closing
		}
	}
	c := &Conn{Owner: owner, phase: Unused, since: now, progress: now}
	a.counts[Unused]++
	a.unused.PushBack(c, &c.node)
	a.hold(c, ConnectionBytes)
	return c, a.closing
}

// Received records that bytes with some line breaks have arrived on the connection.
func (a *Account) Received(now clock.Instant, c *Conn, bytes, lines int) []Closing {
	a.closing = a.closing[:0]
	switch c.phase {
	case Unused:
		a.enter(now, c, Head)
	case Idle:
		if a.limits.Multiplexed {
			a.hold(c, int64(bytes))
			a.makeRoom(now, c)
			return a.closing
		}
		a.enter(now, c, Head)
	case Head:
	case Body:
		a.recordProgress(now, c, int64(bytes))
		return nil
	default:
		// A client may send the next request while one is running; the server does not read it.
		return nil
	}
	c.headBytes += int64(bytes)
	a.recordProgress(now, c, int64(bytes))
	if a.limits.HeadBytes > 0 && c.headBytes > a.limits.HeadBytes {
		a.close(c, HeadTooLarge)
		return a.closing
	}
	if a.limits.WholeRequests {
		a.hold(c, wholeFactor*int64(bytes))
	} else {
		a.hold(c, headFactor*int64(bytes)+lineBytes*int64(lines))
	}
	a.makeRoom(now, c)
	return a.closing
}

// recordProgress moves the connection behind those with older progress.
func (a *Account) recordProgress(now clock.Instant, c *Conn, bytes int64) {
	c.arrived += bytes
	if c.arrived >= progressBytes {
		c.arrived, c.progress = 0, now
		a.waiting.PushBack(c, &c.node)
	}
}

// Begin records that the head of a request is complete. It returns false if the connection was closed:
// its request must not run.
func (a *Account) Begin(now clock.Instant, c *Conn) bool {
	if c.phase == Closed {
		return false
	}
	a.enter(now, c, Body)
	return true
}

// Reserve takes memory for the body of a request. It reports whether there is room.
func (a *Account) Reserve(now clock.Instant, c *Conn, bytes int64) (bool, []Closing) {
	a.closing = a.closing[:0]
	if c.phase == Closed {
		return false, nil
	}
	for a.limits.BodyBytes > 0 && a.body+bytes > a.limits.BodyBytes {
		if !a.evictBody(now, c) {
			return false, a.closing
		}
	}
	for a.limits.Bytes > 0 && a.held+bytes > a.limits.Bytes {
		if !a.evict(now, c, MemoryLimit) {
			return false, a.closing
		}
	}
	c.body += bytes
	a.body += bytes
	a.hold(c, bytes)
	return true, a.closing
}

// Admit records that the request is running. It returns false if the connection was closed: its
// request must not run.
func (a *Account) Admit(now clock.Instant, c *Conn) bool {
	if c.phase == Closed {
		return false
	}
	a.enter(now, c, Running)
	return true
}

// End records that the response is complete. The connection holds no more than its buffers.
func (a *Account) End(now clock.Instant, c *Conn) {
	if c.phase == Closed {
		return
	}
	a.releaseRequest(c)
	a.enter(now, c, Idle)
}

// Remove removes a connection whose server has ended it.
func (a *Account) Remove(c *Conn) {
	if c.phase != Closed {
		a.remove(c)
	}
	a.leaving -= c.leaving
	c.leaving = 0
}

// Crowded reports whether the closed connections that were not removed yet still hold so much memory
// that no more heads should be read: their servers have yet to run in order to give it up.
func (a *Account) Crowded() bool {
	return a.limits.Bytes > 0 && a.leaving > a.limits.Bytes/leavingDivisor
}

// IsReading reports whether a read from the connection is one of a head.
func (c *Conn) IsReading() bool { return c.phase == Unused || c.phase == Head || c.phase == Idle }

// Tick returns the connections that have exceeded a time limit.
func (a *Account) Tick(now clock.Instant) []Closing {
	a.closing = a.closing[:0]
	if timeout := a.limits.HeadTimeout; timeout > 0 {
		for c := a.waiting.Front(); c != nil; {
			next := c.node.Next()
			if c.phase == Head && now.Sub(c.since) > timeout {
				a.close(c, HeadTimeout)
			}
			c = next
		}
	}
	if timeout := a.limits.IdleTimeout; timeout > 0 {
		for _, l := range [...]*list.List[Conn]{&a.unused, &a.idle} {
			for c := l.Front(); c != nil && now.Sub(c.since) > timeout; c = l.Front() {
				a.close(c, IdleTimeout)
			}
		}
	}
	return a.closing
}

// open returns the number of open connections.
func (a *Account) open() int {
	return a.counts[Unused] + a.counts[Head] + a.counts[Body] + a.counts[Running] + a.counts[Idle]
}

func (a *Account) hold(c *Conn, bytes int64) {
	c.held += bytes
	a.held += bytes
}

// releaseRequest releases what the request of the connection held.
func (a *Account) releaseRequest(c *Conn) {
	a.held -= c.held - ConnectionBytes
	a.body -= c.body
	c.held, c.body, c.headBytes, c.arrived = ConnectionBytes, 0, 0, 0
}

// enter moves a connection to another phase.
func (a *Account) enter(now clock.Instant, c *Conn, phase Phase) {
	a.counts[c.phase]--
	a.counts[phase]++
	c.phase, c.since, c.progress, c.arrived = phase, now, now, 0
	c.node.Remove()
	switch phase {
	case Head, Body:
		a.waiting.PushBack(c, &c.node)
	case Idle:
		a.idle.PushBack(c, &c.node)
	}
}

// makeRoom closes connections until the memory is within its limit. The connection c, whose event it
// is, comes last.
func (a *Account) makeRoom(now clock.Instant, c *Conn) {
	for a.limits.Bytes > 0 && a.held > a.limits.Bytes {
		if a.evict(now, c, MemoryLimit) {
			continue
		}
		if c.phase != Closed {
			a.close(c, MemoryLimit)
		}
		return
	}
}

// evict closes the least valuable connection other than c: first the head or body with the oldest
// progress, then the oldest connection that never sent anything, then the one that has been idle for
// the longest time. It returns false if there is none.
//
// If memory is needed and all heads and bodies have made progress a moment ago, the one that holds the
// most goes first. The order of their progress says little then: on a busy VM, a small head that is
// complete waits for its handler while large ones go on to arrive.
func (a *Account) evict(now clock.Instant, c *Conn, reason Reason) bool {
	if reason == MemoryLimit && !a.isStalled(now, firstExcept(&a.waiting, c)) {
		if victim := a.heaviest(c); victim != nil {
			a.close(victim, reason)
			return true
		}
	}
	for _, l := range [...]*list.List[Conn]{&a.waiting, &a.unused, &a.idle} {
		if victim := firstExcept(l, c); victim != nil {
			a.close(victim, reason)
			return true
		}
	}
	return false
}

// isStalled reports whether the head or body has made no progress for a while.
func (a *Account) isStalled(now clock.Instant, c *Conn) bool {
	return c != nil && now.Sub(c.progress) >= stallTime
}

// heaviest returns the head other than c that holds the most memory, or the body that does if no head
// holds more than usual. It returns nil if no body does either.
func (a *Account) heaviest(c *Conn) *Conn {
	var head, body *Conn
	headHeld, bodyHeld := int64(usualBytes), int64(usualBytes)
	for other := a.waiting.Front(); other != nil; other = other.node.Next() {
		switch {
		case other == c:
		case other.phase == Head && other.held > headHeld:
			head, headHeld = other, other.held
		case other.phase == Body && other.held > bodyHeld:
			body, bodyHeld = other, other.held
		}
	}
	if head != nil {
		return head
	}
	return body
}

// evictBody closes the connection other than c that holds memory for a body and has made no progress for
// the longest time or, if all have made progress a moment ago, the one that holds the most.
func (a *Account) evictBody(now clock.Instant, c *Conn) bool {
	var victim *Conn
	for other := a.waiting.Front(); other != nil; other = other.node.Next() {
		if other == c || other.body == 0 {
			continue
		}
		if a.isStalled(now, other) {
			victim = other
			break
		}
		if victim == nil || other.body > victim.body {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	a.close(victim, MemoryLimit)
	return true
}

func (a *Account) close(c *Conn, reason Reason) {
	a.closed[reason]++
	c.leaving = c.held
	a.leaving += c.leaving
	a.remove(c)
	a.closing = append(a.closing, Closing{Conn: c, Reason: reason})
}

func (a *Account) remove(c *Conn) {
	a.counts[c.phase]--
	c.node.Remove()
	a.held -= c.held
	a.body -= c.body
	c.phase, c.held, c.body = Closed, 0, 0
}

// Stats are figures for metrics.
type Stats struct {
	// Connections is the number of open connections by phase.
	Connections [Closed]int
	// HeldBytes is the memory that clients hold, and BodyBytes the part of it for bodies.
	HeldBytes, BodyBytes int64
	// Closed counts the connections closed, by reason, and Refused those that found all others running.
	Closed  [reasonCount]uint64
	Refused uint64
	Limits  Limits
}

// Stats returns figures for metrics.
func (a *Account) Stats() Stats {
	stats := Stats{HeldBytes: a.held, BodyBytes: a.body, Closed: a.closed, Refused: a.refused, Limits: a.limits}
	copy(stats.Connections[:], a.counts[:Closed])
	return stats
}
