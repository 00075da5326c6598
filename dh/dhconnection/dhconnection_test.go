package dhconnection_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionhoist.example/dh/dhconnection"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlog"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhtimer"
)

// server answers requests on connections in memory.
type server struct {
	group *dhgroup.Group
	// head is the head of the answers, followed by body.
	head, body string

	mu          sync.Mutex
	connections []net.Conn
	// ended counts the connections that have ended.
	requests, ended int
	// failWrites makes writes of callers fail, after one byte if partly is set.
	failWrites, partly bool
}

type callerConn struct {
	net.Conn
	server *server
}

// Write implements net.Conn.
func (c callerConn) Write(b []byte) (int, error) {
	c.server.mu.Lock()
	fail, partly := c.server.failWrites, c.server.partly
	c.server.mu.Unlock()
	if fail && partly {
		_, _ = c.Conn.Write(b[:1]) // the error below ends the connection
		return 1, errors.New("broken pipe")
	}
	if fail {
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(b)
}

func (s *server) connect(context.Context, string) (net.Conn, error) {
	caller, own := net.Pipe()
	s.mu.Lock()
	s.connections = append(s.connections, own)
	s.mu.Unlock()
	s.group.Go(func(context.Context) error {
		defer func() {
			_ = own.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ended++
		}()
		in := bufio.NewReader(own)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return nil
			}
			s.mu.Lock()
			s.requests++
			text := s.head + "\r\n" + s.body
			s.mu.Unlock()
			if _, err := io.WriteString(own, text); err != nil {
				return nil
			}
		}
	})
	return callerConn{caller, s}, nil
}

func (s *server) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func newServer(t *testing.T) (*server, *dhconnection.Pool, *dhtimer.Stepped) {
	t.Helper()
	s := &server{group: dhgroup.New(t.Context()), head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", body: "good"}
	timers := dhtimer.NewStepped()
	pool := &dhconnection.Pool{
		Timers: timers, Group: s.group, Connect: s.connect, MaxIdle: 2, IdleTimeout: 1500 * time.Millisecond, BufferBytes: 2 << 10, MaxHeaderBytes: 64 << 10,
		MaxForeignBytes: 1 << 20, MaxRequests: 9, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4),
	}
	t.Cleanup(func() {
		s.mu.Lock()
		for _, c := range s.connections {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.group.Stop()
	})
	return s, pool, timers
}

func request(ctx context.Context) *http.Request {
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "b", Path: "/x"}, Host: "h", Header: http.Header{}}
	return r.WithContext(ctx)
}

// exchange sends a request and reads its response.
func exchange(t *testing.T, pool *dhconnection.Pool) *dhconnection.Exchange {
	t.Helper()
	e, err := pool.Send("b:1", "", request(t.Context()))
	assert.NilError(t, err)
	return finish(t, e)
}

func finish(t *testing.T, e *dhconnection.Exchange) *dhconnection.Exchange {
	t.Helper()
	text, err := io.ReadAll(e.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "good")
	assert.NilError(t, e.Response.Body.Close())
	return e
}

// Guards against a connection that is used by two requests at once, or by none although
// its response has been read.
func TestConnectionUsedAgain(t *testing.T) {
	s, pool, _ := newServer(t)
	first, err := pool.Send("b:1", "", request(t.Context()))
	assert.NilError(t, err)
	second, err := pool.Send("b:1", "", request(t.Context()))
	assert.NilError(t, err)
	assert.Assert(t, first.Earlier == 0 && second.Earlier == 0 && s.opened() == 2)
	finish(t, first)
	for range 3 {
		assert.Assert(t, exchange(t, pool).Earlier > 0)
	}
	finish(t, second)
	assert.Equal(t, s.opened(), 2)
}

// Guards against a connection that stays in use after an answer that may not be that to its
// request, or that was not read to its end.
func TestDiscardedConnection(t *testing.T) {
	for _, whole := range []bool{true, false} {
		s, pool, _ := newServer(t)
		if whole {
			pool.IDHeader = "Request-Id" // the server answers without it
		}
		e, err := pool.Send("b:1", "r", request(t.Context()))
		assert.NilError(t, err)
		if whole {
			finish(t, e)
		}
		_ = e.Response.Body.Close() // the connection is closed
		assert.Assert(t, exchange(t, pool).Earlier == 0)
		assert.Equal(t, s.opened(), 2)
	}
}

// Guards against connections that are used again though their answer, or the number of their
// requests, forbids it.
func TestConnectionsThatEnd(t *testing.T) {
	for head, kept := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n":              false,
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n":                                   false,
		"HTTP/1.1 101 Switching\r\nContent-Length: 4\r\n":                            false,
		"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n": true,
	} {
		s, pool, _ := newServer(t)
		s.head = head
		e, err := pool.Send("b:1", "", request(t.Context()))
		assert.NilError(t, err)
		_, _ = io.ReadAll(e.Response.Body)
		assert.NilError(t, e.Response.Body.Close())
		assert.Assert(t, e.Response.StatusCode != http.StatusEarlyHints)
		e, err = pool.Send("b:1", "", request(t.Context()))
		assert.NilError(t, err)
		assert.Equal(t, e.Earlier > 0, kept, "%q", head)
		_ = e.Response.Body.Close() // the connection is closed
	}
	_, pool, _ := newServer(t)
	for n := range 2 * pool.MaxRequests {
		assert.Equal(t, exchange(t, pool).Earlier, n%pool.MaxRequests)
	}
}

// Guards against requests on connections that the backend server is about to close.
func TestIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		head string
		idle time.Duration
		kept bool
	}{
		{"", 1400 * time.Millisecond, true},
		{"", 1500 * time.Millisecond, false},
		{"Keep-Alive: timeout=1, max=9\r\n", 700 * time.Millisecond, true},
		{"Keep-Alive: timeout=1\r\n", 750 * time.Millisecond, false},
		{"Keep-Alive: timeout=0\r\n", 0, false},
		{"Keep-Alive: timeout=9\r\n", 1500 * time.Millisecond, false},
		{"Keep-Alive: timeout=x\r\n", 1400 * time.Millisecond, true},
	} {
		t.Run(fmt.Sprintf("%q %s", c.head, c.idle), func(t *testing.T) {
			s, pool, timers := newServer(t)
			s.head += c.head
			exchange(t, pool)
			timers.Step(c.idle)
			assert.Equal(t, exchange(t, pool).Earlier > 0, c.kept)
		})
	}
}

// Guards against idle connections that are never closed, or that exceed their bound.
func TestIdleConnectionsClosed(t *testing.T) {
	s, pool, timers := newServer(t)
	var all []*dhconnection.Exchange
	for range 4 {
		e, err := pool.Send("b:1", "", request(t.Context()))
		assert.NilError(t, err)
		all = append(all, e)
	}
	for _, e := range all {
		finish(t, e)
	}
	timers.Step(time.Millisecond)
	poll.WaitOn(t, openConnections(s, 2))
	timers.Step(1500 * time.Millisecond)
	timers.Step(750 * time.Millisecond)
	poll.WaitOn(t, openConnections(s, 0))
}

// openConnections checks how many connections the callers have not closed.
func openConnections(s *server, want int) poll.Check {
	return func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		n := len(s.connections) - s.ended
		if n == want {
			return poll.Success()
		}
		return poll.Continue("%d connections are open, want %d", n, want)
	}
}

// Guards against a failure "may have run" of a request that met a kept connection that the
// backend server had closed, and one "not run" of a request that was written.
func TestNothingSent(t *testing.T) {
	s, pool, timers := newServer(t)
	exchange(t, pool)
	s.mu.Lock()
	s.failWrites = true
	s.mu.Unlock()
	_, err := pool.Send("b:1", "", request(t.Context()))
	assert.Assert(t, errors.Is(err, dhconnection.ErrNotSent) && errors.Is(err, dhconnection.ErrStale), "%v", err)
	_, err = pool.Send("b:1", "", request(t.Context()))
	assert.Assert(t, errors.Is(err, dhconnection.ErrNotSent) && !errors.Is(err, dhconnection.ErrStale), "a new connection: %v", err)
	s.mu.Lock()
	s.partly = true
	s.mu.Unlock()
	failed := dhgroup.New(t.Context())
	failed.Go(func(context.Context) error {
		_, err := pool.Send("b:1", "", request(t.Context()))
		assert.Check(t, err != nil && !errors.Is(err, dhconnection.ErrNotSent), "a byte was written: %v", err)
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		timers.Step(50 * time.Millisecond) // an answer may still come
		if s.opened() < 3 || !openConnections(s, 0)(t).Done() {
			return poll.Continue("the connection is open")
		}
		return poll.Success()
	})
	assert.NilError(t, failed.Wait())
	s.mu.Lock()
	s.failWrites, s.head = false, "junk"
	before := s.requests
	s.mu.Unlock()
	_, err = pool.Send("b:1", "", request(t.Context()))
	assert.Assert(t, err != nil && !errors.Is(err, dhconnection.ErrNotSent))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.requests, before+1)
}

// Guards against a request that is sent on a kept connection of which its end is known.
func TestClosedConnectionNotUsed(t *testing.T) {
	s, pool, _ := newServer(t)
	exchange(t, pool)
	s.mu.Lock()
	closed := s.connections[0]
	s.mu.Unlock()
	assert.NilError(t, closed.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e, err := pool.Send("b:1", "", request(t.Context()))
		if err != nil {
			assert.Assert(t, errors.Is(err, dhconnection.ErrStale), "%v", err)
			return poll.Continue("the end is not known yet")
		}
		assert.Assert(t, finish(t, e).Earlier == 0)
		return poll.Success()
	})
}

// Guards against copies that fill the log: with more lines than others leave room for, or
// with ids that are as long as a head may be.
func TestCopiesDoNotFloodLog(t *testing.T) {
	s, pool, timers := newServer(t)
	var out strings.Builder
	pool.IDHeader, pool.Log = "Id", slog.New(dhlog.New(slog.NewTextHandler(&out, nil), timers))
	copies := strings.Repeat("HTTP/1.1 503 X\r\nId: "+strings.Repeat("x", 1000)+"\r\nContent-Length: 0\r\n\r\n", 300)
	s.head = copies + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: r1\r\n"
	e, err := pool.Send("b:1", "r1", request(t.Context()))
	assert.NilError(t, err)
	finish(t, e)
	assert.Equal(t, pool.Metrics.Counter("foreign-answer", "passed-over"), int64(300))
	assert.Equal(t, strings.Count(out.String(), "answer not believed"), 200)
	assert.Assert(t, out.Len() < 200*400, "%d bytes", out.Len())
}
