// Package dhintake bounds the memory and the descriptors that the clients of an HTTP server
// can use, whatever they send.
//
// A Gate wraps the listeners of a process. It sees each byte before net/http does: it counts
// the bytes and lines of header sections, bounds the memory that these and the bodies may use
// together, bounds the number of connections, and drops requests that make no progress.
//
// Bytes that have arrived and are not read are memory of the process too. The Gate bounds them
// for each connection, and for all together: connections are accepted with room for few bytes,
// and get more while there is enough for all. It does the same for connections to backend
// servers, on which answers wait.
//
// When a bound is reached, what has made the least progress for its age is dropped: the
// request that needs more, or another one that is not complete. A complete request is never
// dropped. A request that is dropped gets status 503 if an answer can be written.
//
// # Usage
//
//	gate := &dhintake.Gate{Timers: timers, Log: log, Metrics: metrics}
//	gate.SetMemory(112 << 20)
//	group.Go(gate.Run)
//	server := &http.Server{Handler: handler}
//	gate.Attach(server)
//	listener, err := gate.Listen(ctx, address, maxConnections)
//	server.Serve(listener)
//
// and in the handler:
//
//	body, err := gate.ReadBody(w, r, maxBytes)
//	defer body.Release()
package dhintake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhsocket"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// bodyShare, headShare and connectionShare are the shares of the memory limit for bodies,
	// header sections and connections. With 0.22 for bodies, a VM of 134 MB used at most
	// 51 MB and refused streams with bodies of 4 MiB of which 5 came at a time.
	bodyShare       = 0.32
	headShare       = 0.08
	connectionShare = 0.12
	// unreadShare is the share of the memory limit for bytes of clients that have not been
	// read, and backendUnreadShare that for those of backend servers.
	unreadShare        = 0.2
	backendUnreadShare = 0.1
	// minBodyBytes lets one body of 4 MiB grow, which takes 6 MiB while it is copied.
	minBodyBytes = 9 << 20
	// assumedMemory is the memory if there is no limit.
	assumedMemory = 1 << 30
	// reservedShare is the share of the memory for bodies, and of that for header sections,
	// that only small ones use.
	reservedShare = 0.2
	// smallBodyBytes is the size of a small body: those of ordinary requests have at most
	// 72,000 bytes.
	smallBodyBytes = 128 << 10
	// smallHeadBytes is the memory of a small header section: those of ordinary requests
	// have about 12 lines in 700 bytes.
	smallHeadBytes = 32 << 10
	// lineBytes and headByteBytes are the memory that a header line and a byte of a header
	// section use: in the maps of the request, of the message and of the request to the
	// backend server, and as text.
	lineBytes     = 512
	headByteBytes = 2
	// connectionBytes is the memory of a connection: buffers of 8 KiB and the stacks of its
	// goroutines. TestCrowds showed about 24 KiB more for each idle or silent one.
	connectionBytes = 24 << 10
	// reservedDescriptors are kept for files. Of the others, half is for clients: a request
	// may need another connection to a backend server.
	reservedDescriptors = 200
	descriptorShare     = 0.5
	// endingShare is the part of the connections of a listener that may still get an answer
	// after they have lost their place to another: one in so many.
	endingShare = 8
	// defaultHeadLimit bounds a header section if HeadLimit is not set.
	defaultHeadLimit = 64 << 10
)

// The bytes that may wait to be read on one connection: on each one, on ordinary ones, and on
// those with large bodies, so that these need not wait for a round trip for every few bytes.
const (
	minUnreadBytes      = 8 << 10
	ordinaryUnreadBytes = 64 << 10
	bodyUnreadBytes     = 256 << 10
	// bodyUnreadBound is the share of the memory for unread bytes within which bodies get
	// their room. The rest is for ordinary connections.
	bodyUnreadBound = 0.8
	// answerUnreadBytes is for connections to backend servers with large answers: those of
	// which answerBurstBytes have been read without waiting.
	answerUnreadBytes = 128 << 10
	answerBurstBytes  = BackendUnreadBytes / 4
)

// BackendUnreadBytes is the number of bytes that may wait to be read on a new connection to a
// backend server: about what TCP sends before the first acknowledgement.
const BackendUnreadBytes = 16 << 10

const (
	// tickPeriod is the interval at which progress is observed.
	tickPeriod = 250 * time.Millisecond
	// stalledTicks without a byte make a request one that has stalled: it is dropped before
	// others under pressure. Callers abandon a request that is not read within a second.
	stalledTicks = 2
	// maxStalledTicks without a byte end a body (5 s). Time is counted in ticks so that a VM
	// that stood still does not count it against its clients.
	maxStalledTicks = 20
	// progressTicks is the time over which a body must have made minProgressBytes of
	// progress (10 s, 4 KiB/s): at less, the largest body takes 17 minutes, while no route
	// waits longer than a minute.
	progressTicks    = 40
	minProgressBytes = 40 << 10
	// protectedIdle is four fifths of the idle time that callers may rely on.
	protectedIdle = 12 * time.Second
	// retryAfter is when a client may return whose request found no memory: bodies are read
	// within about a second.
	retryAfter = time.Second
)

// Gate bounds what the clients of a process use. Its exported fields are set before use, and
// SetMemory is called.
type Gate struct {
	Timers  dhtimer.Service
	Log     *slog.Logger
	Metrics *dhmetric.Metrics
	// HeadLimit returns the largest size of a header section, and of a request line, in
	// bytes. It may be nil.
	HeadLimit func() int

	heads, bodies, unread, backendUnread dhlimit.Memory
	connections                          int

	mu   sync.Mutex
	open map[*Conn]struct{}
	// refused counts refusals by reason since the last log line.
	refused [reasonCount]atomic.Int64
}

// SetMemory derives the bounds from the memory of the process in bytes; 0 means that there is
// no limit.
func (g *Gate) SetMemory(memory int64) {
	if memory <= 0 {
		memory = assumedMemory
	}
	share := func(s float64) int64 { return int64(float64(memory) * s) }
	g.heads.Max, g.bodies.Max = share(headShare), max(share(bodyShare), minBodyBytes)
	g.connections = int(share(connectionShare) / connectionBytes)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur > reservedDescriptors {
		g.connections = int(min(uint64(g.connections), uint64(float64(files.Cur-reservedDescriptors)*descriptorShare)))
	}
	g.unread.Max = share(unreadShare)
	g.backendUnread.Max = max(share(backendUnreadShare)-int64(g.connections)*BackendUnreadBytes, 0)
}

// MaxConnections returns the number of connections that memory and descriptors permit.
func (g *Gate) MaxConnections() int { return g.connections }

// Listen listens on a TCP address. The connections are bounded, in number by limit.
func (g *Gate) Listen(ctx context.Context, address string, limit int) (net.Listener, error) {
	next, err := dhsocket.Listen(ctx, address, minUnreadBytes)
	if err != nil {
		return nil, err
	}
	return g.Listener(next, limit), nil
}

// Listener returns a listener whose connections are bounded, in number by limit. It does not
// bound their unread bytes before they are accepted, as Listen does.
func (g *Gate) Listener(next net.Listener, limit int) net.Listener {
	if !g.unread.Reserve(int64(limit) * minUnreadBytes) {
		g.Log.Warn("little memory for unread bytes", slog.String("address", next.Addr().String()), slog.Int("connections", limit),
			slog.Int64("max-unread-bytes", g.unread.Max))
	}
	return &listener{Listener: next, gate: g, max: limit, evicted: make(map[*Conn]struct{})}
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Attach prepares a server for listeners of the gate. It wraps the handler, which is set
// before.
func (g *Gate) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			conn.endRequest()
		case http.StateHijacked:
			conn.passThrough()
		case http.StateNew, http.StateActive, http.StateClosed: // seen by Read and Close
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r); c != nil && r.ContentLength != 0 {
			c.startBody(r.ContentLength)
		}
		next.ServeHTTP(w, r)
	})
}

// connectionOf returns the connection of a request, or nil if it came by another way.
func connectionOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connectionKey{}).(*Conn)
	return c
}

// Run observes the progress of requests until ctx is done.
func (g *Gate) Run(ctx context.Context) error {
	cancel := g.Timers.Subscribe(tickPeriod, func(time.Time) { g.tick() })
	defer cancel()
	<-ctx.Done()
	return nil
}

// tick drops requests that make no progress, and logs what was refused.
func (g *Gate) tick() {
	g.mu.Lock()
	var late []*Conn
	for c := range g.open {
		if c.observe() {
			late = append(late, c)
		}
	}
	open := len(g.open)
	g.mu.Unlock()
	for _, c := range late {
		c.drop(NoProgress)
	}
	for r := range reasonCount {
		if n := g.refused[r].Swap(0); n > 0 && r != notRefused {
			g.Log.Warn("clients refused", slog.String("reason", r.String()), slog.Int64("number", n), slog.Int("connections", open),
				slog.Int64("head-bytes", g.heads.Used()), slog.Int64("max-head-bytes", g.heads.Max),
				slog.Int64("body-bytes", g.bodies.Used()), slog.Int64("max-body-bytes", g.bodies.Max))
		}
	}
}

func (g *Gate) count(r Reason) {
	g.refused[r].Add(1)
	g.Metrics.Count("clients-refused", r.String())
}

// evict drops the incomplete request with the least progress among those that hold memory of
// one kind. It returns false if that is c itself.
func (g *Gate) evict(c *Conn, m *dhlimit.Memory, why Reason) bool {
	victim, least := c, c.progress()
	g.mu.Lock()
	for other := range g.open {
		if other == c || other.held(m) == 0 || !other.incomplete() {
			continue
		}
		if p := other.progress(); p < least {
			victim, least = other, p
		}
	}
	g.mu.Unlock()
	if victim == c {
		return false
	}
	victim.drop(why)
	return true
}

// listener accepts connections up to a number, beyond which idle and silent ones are closed.
type listener struct {
	net.Listener
	gate *Gate
	max  int
	// open is the number of connections that have a place. evicted are those that have lost it
	// and are not closed: they still get their answer. Both are guarded by the mutex of the
	// gate.
	open    int
	evicted map[*Conn]struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		next, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: next, gate: l.gate, from: l, unread: room{memory: &l.gate.unread, least: minUnreadBytes}}
		c.since.Store(l.gate.Timers.Now().UnixNano())
		if l.admit(c) {
			c.unread.widen(next, ordinaryUnreadBytes, 1)
			return c, nil
		}
		l.gate.count(ConnectionsFull)
		_ = next.Close() // no answer can be written before a request
	}
}

// admit adds a connection, and closes another one if there are too many.
func (l *listener) admit(c *Conn) bool {
	g := l.gate
	g.mu.Lock()
	var victim, ending *Conn
	if l.open >= l.max {
		now, least := g.Timers.Now(), neverClosed
		for other := range g.open {
			if other.from != l {
				continue
			}
			if rank := other.closeRank(now); rank < least || rank == least && victim != nil && other.since.Load() < victim.since.Load() {
				victim, least = other, rank
			}
		}
		if victim == nil {
			g.mu.Unlock()
			return false
		}
		g.remove(victim)
		if len(l.evicted) >= max(l.max/endingShare, 1) {
			for ending = range l.evicted {
				break
			}
			delete(l.evicted, ending)
		}
		l.evicted[victim] = struct{}{}
	}
	if g.open == nil {
		g.open = make(map[*Conn]struct{})
	}
	g.open[c] = struct{}{}
	l.open++
	g.mu.Unlock()
	if victim != nil {
		victim.drop(ConnectionsFull)
	}
	if ending != nil {
		_ = ending.closeSocket() // fails only if the connection is closed
	}
	return true
}

// remove removes a connection; g.mu is locked.
func (g *Gate) remove(c *Conn) {
	if _, ok := g.open[c]; ok {
		delete(g.open, c)
		c.from.open--
	}
}
