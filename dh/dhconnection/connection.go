package dhconnection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhsocket"
)

const (
	// maxDirectBytes is the size of a body up to which a request is written before its
	// answer is awaited: the buffers of the sockets take it even if the backend server does
	// not read. A larger one is written concurrently, as it may be answered before it is read.
	maxDirectBytes = 32 << 10
	// answerGrace is the time for which an answer is awaited after a write has failed: a
	// backend server may refuse a request before it has read the whole body, and close.
	answerGrace = 50 * time.Millisecond
)

// connection is one connection to a backend server. A goroutine reads its answers, one after
// the other; the body of an answer is read by the caller of Send.
type connection struct {
	pool    *Pool
	address string
	// number tells the connection from others in logs.
	number uint64
	wire   *wire
	in     *bufio.Reader
	out    *bufio.Writer

	// Only the reader uses these: answeredAt is when the newest answer began, ownEnd is
	// the number of bytes received up to the end of the newest own one.
	answeredAt time.Time
	ownEnd     int64

	// mu guards the fields below, up to the next comment.
	mu sync.Mutex
	// carried holds the requests that the connection has carried.
	carried []carriedRequest
	// awaiting is the request whose answer is due.
	awaiting *attempt
	// err is why the connection has ended.
	err error

	// The mutex of the pool guards the fields below. foreign is set while bytes have come
	// that no request awaits, and are not a whole answer yet.
	foreign bool
	expires time.Time
	timeout time.Duration
}

// carriedRequest is what a connection remembers of a request: a hash of its id, and whether it
// was a HEAD, whose answer has no body.
type carriedRequest struct {
	hash uint64
	head bool
}

// attempt is one send of a request on a connection.
type attempt struct {
	connection *connection
	request    *http.Request
	id         string
	// earlier is the number of requests that the connection had carried before, and before
	// that of the bytes written to it.
	earlier int
	before  int64
	// answers receives the own answer, or is closed without one.
	answers chan *http.Response
	// written is set once the whole request has been sent, and writeEnded is closed when
	// no more of it will be.
	written    atomic.Bool
	writeEnded chan struct{}
	// stop ends the watch over the context of the request. It reports whether the context
	// has left the connection alone.
	stop func() bool
	// ended is closed when the answer has been read or given up.
	ended chan struct{}
	once  sync.Once
	// reusable is set if the answer permits further requests on the connection.
	reusable bool
}

// open starts the reader of a new connection.
func (p *Pool) open(address string, conn net.Conn) *connection {
	c := &connection{pool: p, address: address, number: p.connections.Add(1), timeout: p.IdleTimeout, wire: &wire{Conn: conn}}
	c.in, c.out = bufio.NewReaderSize(c.wire, p.BufferBytes), bufio.NewWriterSize(c.wire, p.BufferBytes)
	p.Group.Go(func(context.Context) error {
		var err error
		for err == nil {
			err = c.readAnswer()
		}
		c.fail(err)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.awaiting != nil {
			close(c.awaiting.answers)
			c.awaiting = nil
		}
		return nil
	})
	return c
}

// hasCarried reports whether the connection has carried a request with an id, and
// whether that was a HEAD.
func (c *connection) hasCarried(id string) (carried, head bool) {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.carried, func(r carriedRequest) bool { return r.hash == hash })
	return i >= 0 && id != "", i >= 0 && c.carried[i].head
}

// use names the connection and its newest send in logs: its number and, after a "+", how many
// requests it had carried before.
func (c *connection) use() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d+%d", c.number, max(len(c.carried)-1, 0))
}

// begin makes r the request whose answer is due.
func (c *connection) begin(id string, r *http.Request) *attempt {
	a := &attempt{connection: c, request: r, id: id, before: c.wire.count(), answers: make(chan *http.Response, 1), ended: make(chan struct{}), writeEnded: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.earlier = len(c.carried)
	c.carried = append(c.carried, carriedRequest{xxhash.Sum64String(id), r.Method == http.MethodHead})
	if c.err != nil {
		close(a.answers)
	} else {
		c.awaiting = a
	}
	return a
}

// send writes the request.
func (c *connection) send(a *attempt) {
	if a.request.ContentLength > maxDirectBytes {
		c.pool.Group.Go(func(context.Context) error { c.write(a); return nil })
		return
	}
	c.write(a)
}

func (c *connection) write(a *attempt) {
	defer close(a.writeEnded)
	err := a.request.Write(c.out)
	if err == nil {
		err = c.out.Flush()
	}
	switch {
	case err == nil:
		a.written.Store(true)
	case c.wire.count() > a.before:
		c.pool.Timers.After(answerGrace, func(time.Time) { c.fail(err) })
	default:
		c.fail(err)
	}
}

// attach makes the body of the own answer end the attempt.
func (a *attempt) attach(r *http.Response) {
	if timeout, stated := keepAlive(r.Header); stated {
		a.connection.pool.boundIdleTime(a.connection, timeout-keepAliveMargin)
	}
	if r.Body == http.NoBody || a.request.Method == http.MethodHead {
		r.Body = http.NoBody
		a.end(true)
		return
	}
	r.Body = &body{from: r.Body, attempt: a, unsized: r.ContentLength < 0 && len(r.TransferEncoding) == 0}
}

// cutOff returns why the end of the connection does not complete an answer without a length;
// nil if it does. The answer is complete if the backend server has received the whole
// request and then ended its side; a reset may look the same to a reader.
func (a *attempt) cutOff() error {
	timeout := make(chan struct{})
	cancel := a.connection.pool.Timers.After(answerGrace, func(time.Time) { close(timeout) })
	defer cancel()
	select { // the last write may be about to return
	case <-a.writeEnded:
	case <-timeout:
	}
	if !a.written.Load() {
		return fmt.Errorf("%w: the request was not sent to its end", ErrCutOff)
	}
	var err error
	if c, ok := a.connection.wire.Conn.(interface{ EndError() error }); ok {
		err = c.EndError()
	} else {
		err = dhsocket.EndError(a.connection.wire.Conn)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return nil
}

// end ends the attempt. complete is set if the whole answer has been read.
func (a *attempt) end(complete bool) {
	a.once.Do(func() {
		c := a.connection
		if a.stop() && complete && a.reusable && a.written.Load() {
			c.pool.offer(c, c.in.Buffered() > 0)
		} else {
			c.fail(net.ErrClosed)
		}
		close(a.ended)
	})
}

// fail ends the connection. The first reason counts.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.wire.shut()
}

// failure returns why the connection has ended, or nil if it has not.
func (c *connection) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// body is the body of an own answer.
type body struct {
	from    io.Reader
	attempt *attempt
	closed  atomic.Bool
	// unsized is set if the end of the connection ends the body.
	unsized bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.from.Read(p)
	if b.unsized && errors.Is(err, io.EOF) {
		if cause := b.attempt.cutOff(); cause != nil {
			err = cause
		}
	}
	if errors.Is(err, io.EOF) {
		b.attempt.end(true)
		return n, err
	}
	if err != nil {
		c := b.attempt.connection
		c.fail(err)
		b.attempt.end(false)
		err = c.failure() // the context of the request may have ended first
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.closed.Store(true)
	b.attempt.end(false)
	return nil
}
