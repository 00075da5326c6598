package dhconnection

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"regexp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxForeignPause is the time without a byte after which an answer that is not awaited
	// has broken off.
	maxForeignPause = 500 * time.Millisecond
	// maxLoggedID is the number of bytes of the id of another answer that are logged.
	maxLoggedID = 64
)

var (
	errUnsized   = fmt.Errorf("%w: it has no length", ErrOtherAnswer)
	errBrokenOff = fmt.Errorf("%w: it broke off", ErrOtherAnswer)
	errJoined    = fmt.Errorf("%w: it broke off in its head", ErrOtherAnswer)
)

// statusLine is how an answer begins.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

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
	var a *attempt
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

// readHead reads the head of the next answer that is not an interim one. A status that is
// not valid does not announce another head, and is left to the caller of Send.
func (c *connection) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, nil) // as for GET; HEAD is told apart by its id
		if err != nil {
			return nil, err
		}
		if joined(response, c.pool.IDHeader) {
			return nil, errJoined
		}
		if interim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK; !interim || response.StatusCode == http.StatusSwitchingProtocols {
			c.wire.limit(math.MaxInt64)
			return response, nil
		}
	}
}

// maxStatus is the highest status of an answer.
const maxStatus = 599

// validStatus reports whether a status may be that of a final answer.
func validStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

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
func (c *connection) match(r *http.Response) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, id := c.awaiting, r.Header.Get(c.pool.IDHeader)
	if a == nil || (a.id != "" && id != a.id && (id != "" || a.earlier > 0)) {
		return nil
	}
	c.awaiting = nil
	a.reusable = (a.id == "" || id == a.id) && !r.Close && validStatus(r.StatusCode) && len(c.carried) < c.pool.MaxRequests
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
