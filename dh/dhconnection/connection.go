package dhconnection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectBytes is the size of a body up to which a request is written before its
	// answer is awaited: the buffers of the sockets take it even if the backend server does
	// not read. A larger one is written concurrently, as it may be answered before it is read.
	maxDirectBytes = 32 << 10
	// maxForeignPause is the time without a byte after which an answer that is not awaited
	// has broken off.
	maxForeignPause = 500 * time.Millisecond
	// answerGrace is the time for which an answer is awaited after a write has failed: a
	// backend server may refuse a request before it has read the whole body, and close.
	answerGrace = 50 * time.Millisecond
	// maxLoggedID is the number of bytes of the id of another answer that are logged.
	maxLoggedID = 64
)

var (
	errUnsized   = fmt.Errorf("%w: it has no length", ErrOtherAnswer)
	errBrokenOff = fmt.Errorf("%w: it broke off", ErrOtherAnswer)
	errJoined    = fmt.Errorf("%w: it broke off in its head", ErrOtherAnswer)
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
	awaiting *call
	// err is why the connection has ended.
	err error

	// The mutex of the pool guards the fields below. foreign is set while bytes have come
	// that no request awaits, and are not a whole answer yet.
	foreign bool
	expires time.Time
	timeout time.Duration
}

// statusLine is how an answer begins.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// carriedRequest is what a connection remembers of a request: a hash of its id, and whether it
// was a HEAD, whose answer has no body.
type carriedRequest struct {
	hash uint64
	head bool
}

// call is a request on a connection.
type call struct {
	connection *connection
	request    *http.Request
	id         string
	// earlier is the number of requests that the connection had carried before, and before
	// that of the bytes written to it.
	earlier int
	before  int64
	// answers receives the own answer, or is closed without one.
	answers chan *http.Response
	// written is set once the whole request has been sent.
	written atomic.Bool
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

// hasCarried reports whether the connection has carried a request with the id of r, and
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
func (c *connection) begin(id string, r *http.Request) *call {
	a := &call{connection: c, request: r, id: id, before: c.wire.count(), answers: make(chan *http.Response, 1), ended: make(chan struct{})}
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
func (c *connection) send(a *call) {
	if a.request.ContentLength > maxDirectBytes {
		c.pool.Group.Go(func(context.Context) error { c.write(a); return nil })
		return
	}
	c.write(a)
}

func (c *connection) write(a *call) {
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

// readAnswer reads the next answer: it passes the own one of a request on and waits until it
// has been read, and drops any other.
func (c *connection) readAnswer() error {
	c.wire.limit(c.pool.MaxHeaderBytes)
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	begun := c.awaited()
	if !begun {
		c.pool.setForeign(c, true)
		defer c.limitPauses()()
	}
	response, err := c.readHead()
	if err != nil {
		return err
	}
	var a *call
	if begun {
		a = c.match(response)
	}
	last := c.answeredAt
	c.answeredAt = c.pool.Timers.Now()
	if a == nil {
		err := c.dropBody(response)
		c.logDropped(response, last, err)
		c.pool.setForeign(c, c.in.Buffered() > 0)
		return err
	}
	a.answers <- response
	<-a.ended
	c.ownEnd = c.wire.received()
	return c.failure()
}

// limitPauses ends the connection when no byte comes for maxForeignPause, until stop is called.
func (c *connection) limitPauses() (stop func()) {
	var stopped atomic.Bool
	var check func(time.Time)
	last := c.wire.received()
	check = func(time.Time) {
		now := c.wire.received()
		switch {
		case stopped.Load():
		case now == last:
			c.fail(errBrokenOff)
		default:
			last = now
			c.pool.Timers.After(maxForeignPause, check)
		}
	}
	cancel := c.pool.Timers.After(maxForeignPause, check)
	return func() { stopped.Store(true); cancel() }
}

// awaited reports whether a request awaits its answer.
func (c *connection) awaited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaiting != nil
}

// readHead reads the head of the next answer that is not an interim one.
func (c *connection) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, nil) // as for GET; HEAD is told apart by its id
		if err != nil {
			return nil, err
		}
		if joined(response, c.pool.IDHeader) {
			return nil, errJoined
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.wire.limit(math.MaxInt64)
			return response, nil
		}
	}
}

// joined reports whether a head has a second one within it: that of an answer that broke off,
// followed by another answer, whose id would make it that answer's.
func joined(r *http.Response, idHeader string) bool {
	if len(r.Header[idHeader]) > 1 || statusLine.MatchString(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// match returns the request that an answer belongs to, if it is awaited. An answer without an
// id belongs to the first request of a connection; on a later one it may be that to any.
func (c *connection) match(r *http.Response) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, id := c.awaiting, r.Header.Get(c.pool.IDHeader)
	if a == nil || (a.id != "" && id != a.id && (id != "" || a.earlier > 0)) {
		return nil
	}
	c.awaiting = nil
	a.reusable = (a.id == "" || id == a.id) && !r.Close && r.StatusCode != http.StatusSwitchingProtocols && len(c.carried) < c.pool.MaxRequests
	return a
}

// dropBody reads the body of an answer that belongs to no awaited request. An error means
// that no other answer can follow it.
func (c *connection) dropBody(r *http.Response) error {
	if _, head := c.hasCarried(r.Header.Get(c.pool.IDHeader)); !head {
		if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			return errUnsized
		}
		defer c.limitPauses()()
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, c.pool.MaxForeignBytes)); err != nil {
			return err
		}
	}
	if c.wire.received()-c.ownEnd > c.pool.MaxForeignBytes {
		return ErrEndless
	}
	return nil
}

// logDropped logs and counts an answer that belongs to no awaited request. last is when the
// one before began, and err why the connection ends with it.
func (c *connection) logDropped(r *http.Response, last time.Time, err error) {
	id := r.Header.Get(c.pool.IDHeader)
	carried, _ := c.hasCarried(id)
	c.mu.Lock()
	awaited := ""
	if c.awaiting != nil {
		awaited = c.awaiting.id
	}
	c.mu.Unlock()
	handling := "passed-over"
	switch {
	case err != nil:
		handling = "connection-closed"
	case awaited == "":
		handling = "passed-over-idle"
	}
	c.pool.Metrics.Count("foreign-answer", handling)
	since := time.Duration(-1) // no answer came before
	if !last.IsZero() {
		since = c.answeredAt.Sub(last)
	}
	c.pool.Log.Warn("answer not believed", slog.String("request", awaited), slog.String("answer-to", id[:min(len(id), maxLoggedID)]),
		slog.Int("status", r.StatusCode), slog.String("address", c.address), slog.String("connection", c.use()), slog.Bool("carried", carried),
		slog.Duration("since-last-answer", since), slog.String("handling", handling))
}

// attach makes the body of the own answer end the call.
func (a *call) attach(r *http.Response) {
	if timeout, stated := keepAlive(r.Header); stated {
		a.connection.pool.boundIdleTime(a.connection, timeout-keepAliveMargin)
	}
	if r.Body == http.NoBody || a.request.Method == http.MethodHead {
		r.Body = http.NoBody
		a.end(true)
		return
	}
	r.Body = &body{from: r.Body, call: a}
}

// end ends the call. complete is set if the whole answer has been read.
func (a *call) end(complete bool) {
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
	from   io.Reader
	call   *call
	closed atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.call.end(true)
		return n, err
	}
	if err != nil {
		c := b.call.connection
		c.fail(err)
		b.call.end(false)
		err = c.failure() // the context of the request may have ended first
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.closed.Store(true)
	b.call.end(false)
	return nil
}
