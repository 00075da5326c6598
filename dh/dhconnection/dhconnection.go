// Package dhconnection keeps HTTP/1.1 connections to backend servers and sends each request
// on one of them, at most once.
//
// http.Transport repeats a request by itself when a kept connection ends before the answer
// and the request has no body and a method that HTTP calls idempotent, or a header
// Idempotency-Key. What may run twice is not known from the method or a header, and a
// repeat that the router does not know of counts towards no limit. A Pool therefore uses
// http.ClientConn, which is one connection and never repeats, and tells its caller whether a
// request that failed can have reached the backend server.
//
// # Usage
//
//	pool := &dhconnection.Pool{
//		Timers: timers, Connect: connect, MaxIdle: 64, IdleTimeout: 1500 * time.Millisecond,
//		BufferBytes: 2 << 10, MaxHeaderBytes: 64 << 10, IDHeader: "Request-Id", Log: log, Metrics: metrics,
//	}
//	exchange, err := pool.Send(address, request)
//	if errors.Is(err, dhconnection.ErrNotSent) { ... } // the request cannot have run
//	if expected(exchange.Response) {
//		exchange.Keep()
//	} else {
//		exchange.Discard()
//	}
//
// A kept connection is used again once its response has been read to the end and Keep has
// been called.
package dhconnection

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	// ErrNotSent is wrapped by errors of requests of which not one byte was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrStale is wrapped, besides ErrNotSent, if the request was to use a kept connection
	// that the backend server had closed. This says nothing about its health.
	ErrStale = errors.New("the kept connection was closed")
)

// keepAliveMargin is subtracted from the time for which a backend server says that it keeps
// an idle connection, so that no request is sent while it closes the connection.
const keepAliveMargin = 250 * time.Millisecond

// Pool sends requests and keeps connections, by address. Set its exported fields before the
// first call of Send. It is safe for concurrent use.
type Pool struct {
	Timers dhtimer.Service
	// Connect connects to an address.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle bounds the idle connections to one address. IdleTimeout is the time after
	// which they are closed, unless the backend server states a shorter one.
	MaxIdle     int
	IdleTimeout time.Duration
	// BufferBytes is the size of the read buffer and of the write buffer of a connection,
	// MaxHeaderBytes the largest head of a response.
	BufferBytes    int
	MaxHeaderBytes int64
	// IDHeader names the header with the id of a request, which backend servers repeat in
	// their answers, in canonical form. Answers with another id are logged and counted.
	IDHeader string
	Log      *slog.Logger
	Metrics  *dhmetric.Metrics

	connections atomic.Uint64

	once      sync.Once
	transport *http.Transport

	mu       sync.Mutex
	idle     map[string][]*connection // the newest last
	sweeping bool
}

// connection is one connection to a backend server.
type connection struct {
	pool    *Pool
	address string
	client  *http.ClientConn
	wire    *countedConn
	// number tells the connection from others in logs. requests counts those that it has
	// carried, and answeredAt is when the newest answer began.
	number     uint64
	requests   int
	answeredAt time.Time

	// The fields below are guarded by the mutex of the pool. lent is set while a request
	// uses the connection and its caller has not called Keep.
	lent    bool
	waiting bool
	expires time.Time
	timeout time.Duration
}

// Exchange is a request that got a response. The caller reads and closes the body of the
// response and calls either Keep or Discard.
type Exchange struct {
	Response *http.Response
	// Connection is the number of the connection, and Earlier that of the requests that it
	// had carried before.
	Connection uint64
	Earlier    int
	connection *connection
}

// Keep lets later requests use the connection once the response has been read.
func (e *Exchange) Keep() { e.connection.release(keepAlive(e.Response.Header)) }

// Discard closes the connection at once.
func (e *Exchange) Discard() { e.connection.wire.shut() }

// Send sends a request to the backend server at an address and returns its response. The
// request is written at most once. An error that does not wrap ErrNotSent means that the
// backend server may have received it.
func (p *Pool) Send(address string, r *http.Request) (*Exchange, error) {
	c := p.takeIdle(address)
	if c == nil {
		var err error
		if c, err = p.connect(r.Context(), address); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	earlier, before := c.requests, c.wire.count()
	c.requests++
	response, err := c.client.RoundTrip(r)
	if err == nil {
		c.recordAnswer(r, response)
		return &Exchange{Response: response, Connection: c.number, Earlier: earlier, connection: c}, nil
	}
	err = fmt.Errorf("connection %d after %d earlier requests: %w", c.number, earlier, err)
	switch sent := c.wire.shut() - before; {
	case sent > 0:
		return nil, err
	case earlier > 0 && r.Context().Err() == nil:
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrStale, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

// recordAnswer logs an answer with an id that is not the request's.
func (c *connection) recordAnswer(r *http.Request, response *http.Response) {
	last := c.answeredAt
	c.answeredAt = c.pool.Timers.Now()
	p := c.pool
	id := response.Header.Get(p.IDHeader)
	if p.IDHeader == "" || id == r.Header.Get(p.IDHeader) {
		return
	}
	since := time.Duration(-1)
	if !last.IsZero() {
		since = c.answeredAt.Sub(last)
	}
	p.Metrics.Count("foreign-answer", "ended-request")
	p.Log.Warn("answer not believed", slog.String("request", r.Header.Get(p.IDHeader)), slog.String("answer-to", id),
		slog.Int("status", response.StatusCode), slog.String("address", c.address), slog.Uint64("connection", c.number),
		slog.Int("earlier-requests", c.requests-1), slog.Duration("since-last-answer", since))
}

// connect opens a connection and reserves it for one request.
func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	p.once.Do(func() {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		p.transport = &http.Transport{
			Protocols: protocols,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				conn, err := p.Connect(ctx, address)
				if err != nil {
					return nil, err
				}
				counted := &countedConn{Conn: conn}
				if out, ok := ctx.Value(dialedKey{}).(**countedConn); ok {
					*out = counted
				}
				return counted, nil
			},
			// Bodies are forwarded unchanged.
			DisableCompression: true,
			ReadBufferSize:     p.BufferBytes, WriteBufferSize: p.BufferBytes, MaxResponseHeaderBytes: p.MaxHeaderBytes,
		}
	})
	c := &connection{pool: p, address: address, number: p.connections.Add(1), lent: true, timeout: p.IdleTimeout}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, &c.wire), "http", address)
	if err != nil {
		return nil, err
	}
	c.client = client
	if err := client.Reserve(); err != nil {
		c.wire.shut()
		return nil, err
	}
	client.SetStateHook(func(*http.ClientConn) { c.offer() })
	return c, nil
}

// dialedKey is the key of the context value by which a dial returns its connection.
type dialedKey struct{}

// takeIdle reserves the newest usable idle connection to an address, or returns nil.
func (p *Pool) takeIdle(address string) *connection {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if c.client.Reserve() == nil {
			return c
		}
		p.mu.Lock()
		c.lent = false // still in use by the request before; its end offers it again
		p.mu.Unlock()
	}
}

func (p *Pool) popIdle(address string) *connection {
	now := p.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 || !now.Before(list[len(list)-1].expires) {
		return nil // the newest has expired, and so have the others
	}
	c := list[len(list)-1]
	p.setIdle(address, list[:len(list)-1])
	c.waiting, c.lent = false, true
	return c
}

// setIdle replaces the idle connections to an address.
func (p *Pool) setIdle(address string, list []*connection) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// release ends the use of the connection by a request. A timeout of 0 or more is what the
// backend server says about idle connections.
func (c *connection) release(timeout time.Duration, stated bool) {
	p := c.pool
	p.mu.Lock()
	c.lent = false
	if stated {
		c.timeout = min(c.timeout, timeout-keepAliveMargin)
	}
	p.mu.Unlock()
	c.offer()
}

// offer makes the connection idle if no request uses it.
func (c *connection) offer() {
	if c.client.Err() != nil || c.client.InFlight() > 0 {
		return
	}
	p := c.pool
	now := p.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.lent || c.waiting {
		return
	}
	list := p.idle[c.address]
	if c.timeout <= 0 || len(list) >= p.MaxIdle {
		c.lent = true                                        // never offered again
		p.Timers.After(0, func(time.Time) { c.wire.shut() }) // offer may run within a call of the client
		return
	}
	c.waiting, c.expires = true, now.Add(c.timeout)
	if p.idle == nil {
		p.idle = make(map[string][]*connection)
	}
	p.idle[c.address] = append(list, c)
	p.scheduleSweep(p.IdleTimeout)
}

func (p *Pool) scheduleSweep(after time.Duration) {
	if !p.sweeping {
		p.sweeping = true
		p.Timers.After(after, func(time.Time) { p.sweep() })
	}
}

// sweep closes expired connections.
func (p *Pool) sweep() {
	now := p.Timers.Now()
	var closing []*connection
	p.mu.Lock()
	p.sweeping = false
	for address, list := range p.idle {
		kept := list[:0:0]
		for _, c := range list {
			if now.Before(c.expires) && c.client.Err() == nil {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
		}
		p.setIdle(address, kept)
	}
	if len(p.idle) > 0 {
		p.scheduleSweep(p.IdleTimeout / sweepsPerTimeout)
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.wire.shut()
	}
}

// sweepsPerTimeout is the number of sweeps within the idle timeout.
const sweepsPerTimeout = 2

// keepAlive returns the time for which a backend server keeps an idle connection, if its
// response states one in whole seconds.
func keepAlive(header http.Header) (timeout time.Duration, stated bool) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// countedConn is a connection that counts the bytes written to it.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	ended   bool
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// shut closes the connection and returns the number of bytes that were written to it. No
// byte is written afterwards.
func (c *countedConn) shut() int64 {
	_ = c.Close() // also ends a blocked Write, which holds the mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return c.written
}
