package dhintake

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtimer"
)

//go:generate ../../bin/stringer -type=Reason -linecomment

// Reason is why a client was refused.
type Reason int32

// The reasons.
const (
	notRefused      Reason = iota // not-refused
	HeadTooLarge                  // head-too-large
	HeadsFull                     // heads-full
	BodiesFull                    // bodies-full
	ConnectionsFull               // connections-full
	NoProgress                    // no-progress
	reasonCount                   // reason-count
)

type phase int32

// The phases of a connection.
const (
	phaseHead    phase = iota // a head is awaited on a new connection, or has begun
	phaseBody                 // the body is read
	phaseRunning              // the request is complete
	phaseIdle                 // the answer is complete, and no further request has begun
	phaseRaw                  // the connection no longer carries HTTP
)

// The order in which connections are closed when there are too many.
const (
	closeEnding  = iota // answered for the last time
	closeStalled        // silent, or with an incomplete head, for some time
	closeLongIdle
	closeSilent
	closeHead
	closeIdle
	closeBody
	neverClosed
)

// lingerTime and lingerBytes bound what is read after a refusal, so that the answer is not
// lost by a reset of the connection. lingerTime is enough for a round trip to callers.
const (
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 64 << 10
)

// Conn is a connection of a client. It gives net/http the bytes of one request at a time, so
// that what it has counted for a request is what net/http holds.
type Conn struct {
	net.Conn
	gate *Gate
	from *listener

	phase  atomic.Int32
	reason atomic.Int32
	// since is when the phase began, in nanoseconds; received is the number of bytes of the
	// present request without the framing of chunks; waiting is set while bytes are awaited.
	since    atomic.Int64
	received atomic.Int64
	waiting  atomic.Bool
	// ending is set once no further answer will be written.
	ending atomic.Bool
	// stalled is the number of ticks without a byte.
	stalled atomic.Int32
	unread  room

	// mu guards the fields below, up to the next comment.
	mu         sync.Mutex
	headHeld   int64
	bodyHeld   int64
	noMoreHeld bool

	// Only ticks use these: the bytes received at the last tick and at the begin of a period
	// of progressTicks, and the ticks of that period.
	seen, seenAtPeriod int64
	period             int

	// Only the reader uses these: net/http reads a connection from one goroutine at a time.
	// pending holds bytes of later requests, finished the memory of the head of the present
	// one when the next has begun. widened is set once a large body has asked for room.
	framing  framing
	widened  bool
	pending  []byte
	finished int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if Reason(c.reason.Load()) != notRefused {
		return 0, c.refuse(p)
	}
	n, err := 0, error(nil)
	fromPending := len(c.pending) > 0
	if fromPending {
		n = copy(p, c.pending)
	} else {
		c.waiting.Store(true)
		n, err = c.Conn.Read(p)
		c.waiting.Store(false)
	}
	if phase(c.phase.Load()) == phaseRaw {
		if fromPending {
			c.pending = c.pending[n:]
		}
		return n, err
	}
	if phase(c.phase.Load()) == phaseBody && c.received.Load() >= ordinaryUnreadBytes && !c.widened {
		c.widened = true
		c.unread.widen(c.Conn, bodyUnreadBytes, bodyUnreadBound)
	}
	before := c.framing.payload
	used, done := c.framing.take(p[:n])
	c.received.Add(c.framing.payload - before)
	switch {
	case fromPending && used == len(c.pending):
		c.pending = nil
	case fromPending:
		c.pending = c.pending[used:]
	case used < n:
		c.pending = slices.Clone(p[used:n])
	}
	n = used
	if n > 0 && phase(c.phase.Load()) == phaseIdle {
		c.setPhase(phaseHead)
	}
	// A single byte is what net/http reads while a request runs, to learn that the client
	// has closed the connection. It counts with the bytes that follow it.
	if len(p) > 1 && n > 0 && c.framing.countsLines() {
		c.checkHead()
	}
	if done {
		c.finished += c.framing.memory()
		c.framing.reset()
		c.complete()
	}
	if Reason(c.reason.Load()) != notRefused {
		return 0, c.refuse(p)
	}
	return n, err
}

// checkHead bounds a head that has grown.
func (c *Conn) checkHead() {
	limit := defaultHeadLimit
	if g := c.gate; g.HeadLimit != nil {
		limit = g.HeadLimit()
	}
	if c.framing.section > limit || c.framing.first > limit {
		c.drop(HeadTooLarge)
		return
	}
	if !c.hold(&c.gate.heads, c.finished+c.framing.memory(), smallHeadBytes, HeadsFull) {
		c.drop(HeadsFull)
	}
}

// hold makes total the memory of one kind that the connection holds. If it does not fit,
// others are dropped, unless this one has made the least progress.
func (c *Conn) hold(m *dhlimit.Memory, total, small int64, why Reason) bool {
	for {
		c.mu.Lock()
		held := c.account(m)
		if c.noMoreHeld {
			c.mu.Unlock()
			return false
		}
		limit := m.Max
		if total > small {
			limit -= int64(float64(m.Max) * reservedShare)
		}
		if total <= *held || m.ReserveBelow(total-*held, limit) {
			*held = max(total, *held)
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		if !c.gate.evict(c, m, why) {
			return false
		}
	}
}

// account returns the memory of one kind that the connection holds; c.mu is locked.
func (c *Conn) account(m *dhlimit.Memory) *int64 {
	if m == &c.gate.heads {
		return &c.headHeld
	}
	return &c.bodyHeld
}

func (c *Conn) held(m *dhlimit.Memory) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.account(m)
}

// release lowers the memory of one kind to rest.
func (c *Conn) release(m *dhlimit.Memory, rest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.account(m)
	if *held > rest {
		m.Release(*held - rest)
		*held = rest
	}
}

func (c *Conn) setPhase(p phase) {
	if phase(c.phase.Load()) != phaseRaw {
		c.since.Store(c.gate.Timers.Now().UnixNano())
		c.phase.Store(int32(p))
	}
}

// complete notes that the head, or the body, has been read. A request that has been dropped
// stays incomplete.
func (c *Conn) complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Reason(c.reason.Load()) == notRefused {
		c.setPhase(phaseRunning)
	}
}

// startBody notes that a body of length bytes follows, or of chunks if length is below 0. It
// is called before the body is read.
func (c *Conn) startBody(length int64) {
	c.framing.startBody(length)
	c.setPhase(phaseBody)
}

// endRequest notes that the answer is complete.
func (c *Conn) endRequest() {
	if phase(c.phase.Load()) != phaseRunning {
		c.framing.reset() // net/http has taken the request for complete
	}
	c.finished = 0
	c.received.Store(0)
	c.release(&c.gate.heads, 0)
	c.setPhase(phaseIdle)
}

// passThrough notes that the connection no longer carries HTTP.
func (c *Conn) passThrough() {
	c.release(&c.gate.heads, 0)
	c.phase.Store(int32(phaseRaw))
}

// incomplete reports whether a request is being read.
func (c *Conn) incomplete() bool {
	p := phase(c.phase.Load())
	return (p == phaseHead || p == phaseBody) && Reason(c.reason.Load()) == notRefused
}

// progress returns the bytes received for each second of the request's age. It is negative
// for a request that has stalled, the lower the longer.
func (c *Conn) progress() float64 {
	if n := c.stalled.Load(); n >= stalledTicks {
		return -float64(n)
	}
	age := c.gate.Timers.Now().Sub(time.Unix(0, c.since.Load()))
	return float64(c.received.Load()) / max(age.Seconds(), time.Millisecond.Seconds())
}

// observe notes the progress since the last tick, and reports whether a body has made too
// little. It is called by ticks only.
func (c *Conn) observe() bool {
	received := c.received.Load()
	if received != c.seen || !c.waiting.Load() || !c.incomplete() {
		c.stalled.Store(0)
	} else {
		c.stalled.Add(1)
	}
	c.seen = received
	if phase(c.phase.Load()) != phaseBody || received < c.seenAtPeriod {
		c.period, c.seenAtPeriod = 0, received
		return false
	}
	if c.period++; c.period >= progressTicks {
		slow := received-c.seenAtPeriod < minProgressBytes && c.waiting.Load()
		c.period, c.seenAtPeriod = 0, received
		return slow
	}
	return c.stalled.Load() >= maxStalledTicks
}

// closeRank returns the place of the connection in the order in which connections are closed.
func (c *Conn) closeRank(now time.Time) int {
	if Reason(c.reason.Load()) != notRefused {
		return neverClosed // it is being closed
	}
	if c.ending.Load() {
		return closeEnding
	}
	stalled := c.stalled.Load() >= stalledTicks
	switch phase(c.phase.Load()) {
	case phaseHead:
		switch {
		case stalled:
			return closeStalled
		case c.received.Load() == 0:
			return closeSilent
		}
		return closeHead
	case phaseIdle:
		if now.Sub(time.Unix(0, c.since.Load())) > protectedIdle {
			return closeLongIdle
		}
		return closeIdle
	case phaseBody:
		if stalled {
			return closeBody
		}
	case phaseRunning, phaseRaw:
	}
	return neverClosed
}

// drop refuses the request that is being read, or closes the connection if there is none. Its
// memory counts as free at once, although the reader returns it a little later.
func (c *Conn) drop(why Reason) {
	if c.ending.Load() {
		_ = c.closeSocket() // fails only if the connection is closed
		return
	}
	c.mu.Lock()
	complete := phase(c.phase.Load()) == phaseRunning || phase(c.phase.Load()) == phaseRaw
	if complete || !c.reason.CompareAndSwap(int32(notRefused), int32(why)) {
		c.mu.Unlock()
		return
	}
	c.releaseAll()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	c.mu.Unlock()
	c.gate.count(why)
	if c.received.Load() == 0 {
		_ = c.closeSocket() // as above
	}
}

// releaseAll returns all memory; c.mu is locked.
func (c *Conn) releaseAll() {
	c.gate.heads.Release(c.headHeld)
	c.gate.bodies.Release(c.bodyHeld)
	c.headHeld, c.bodyHeld, c.noMoreHeld = 0, 0, true
}

// SetReadDeadline implements net.Conn. The deadline of a refused request stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Reason(c.reason.Load()) != notRefused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// refuse returns the error for the reader of a refused request. While a head is read, nobody
// else answers, so it writes the answer; p is used to read what the client still sends.
func (c *Conn) refuse(p []byte) error {
	why := Reason(c.reason.Load())
	if phase(c.phase.Load()) == phaseBody {
		return refusal(why)
	}
	if phase(c.phase.Load()) == phaseHead && c.received.Load() > 0 {
		status, hint := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", int(retryAfter.Seconds()))
		if why == HeadTooLarge {
			status, hint = http.StatusRequestHeaderFieldsTooLarge, "" // callers do not repeat it
		}
		now := dhtimer.System{}.Now()               // deadlines of sockets are in the time of the system
		_ = c.SetWriteDeadline(now.Add(lingerTime)) // fails only if the connection is closed
		if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
			status, http.StatusText(status), hint); err == nil {
			_ = c.CloseWrite()                              // as above
			_ = c.Conn.SetReadDeadline(now.Add(lingerTime)) // as above
			for left := lingerBytes; left > 0; {
				n, err := c.Conn.Read(p)
				if err != nil {
					break
				}
				left -= n
			}
		}
	}
	_ = c.closeSocket() // as above
	return os.ErrDeadlineExceeded
}

// refusal returns the error of a request that was dropped. It has not run.
func refusal(why Reason) error {
	return dhcode.WithRetryAfter(dhcode.Errorf(dhcode.QueueFull, "the request was dropped while it was read: %s", why), retryAfter)
}

// SetLinger sets what happens on Close to data that has not been sent, as for a TCP
// connection.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the TCP connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection for writing. net/http calls it after the last answer, and
// closes the connection half a second later.
func (c *Conn) CloseWrite() error {
	c.ending.Store(true)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.closeSocket()
	c.mu.Lock()
	c.releaseAll()
	c.mu.Unlock()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.remove(c)
	delete(c.from.evicted, c) // it may have lost its place since the socket was closed
	return err
}

// closeSocket closes the socket, after which the connection holds neither a descriptor nor
// unread bytes.
func (c *Conn) closeSocket() error {
	err := c.Conn.Close()
	c.unread.close()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	delete(c.from.evicted, c)
	return err
}
