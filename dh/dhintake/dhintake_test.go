package dhintake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhsocket"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against ends of requests that are found elsewhere than net/http finds them: bytes of
// a later head would not be counted.
func TestFramingFindsEnds(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nA: b\r\n\r\n"
	for name, c := range map[string]struct {
		text  string
		ends  []int // lengths of heads and bodies, in order
		body  int64 // 0 for none
		lines int   // of the first head
	}{
		"a head":                    {text: head, ends: []int{len(head)}, lines: 3},
		"two heads":                 {text: head + head, ends: []int{len(head), len(head)}, lines: 3},
		"line feeds only":           {text: "GET / HTTP/1.1\nA: b\n\n" + head, ends: []int{21, len(head)}, lines: 3},
		"empty lines first":         {text: "\r\n\n" + head, ends: []int{3 + len(head)}, lines: 5},
		"a line of spaces":          {text: "GET / HTTP/1.1\r\nA: b\r\n \r\n\r\n", ends: []int{27}, lines: 4},
		"a line of returns":         {text: "GET / HTTP/1.1\r\nA: b\r\n\r\r\n\r\n", ends: []int{27}, lines: 4},
		"a body with a length":      {text: head + "0123" + head, body: 4, ends: []int{len(head), 4, len(head)}, lines: 3},
		"chunks":                    {text: head + "1;a=b\r\nx\r\nA\r\n0123456789\r\n0\r\n\r\n" + head, body: -1, ends: []int{len(head), 30, len(head)}, lines: 3},
		"chunks with trailers":      {text: head + "1\r\nx\r\n00\r\nA: b\r\nC: d\r\n\r\n" + head, body: -1, ends: []int{len(head), 24, len(head)}, lines: 3},
		"a chunk of an empty head":  {text: head + "4\r\n\r\n\r\n\r\n0\r\n\r\n" + head, body: -1, ends: []int{len(head), 14, len(head)}, lines: 3},
		"an incomplete head":        {text: "GET / HTTP/1.1\r\nA: b\r\n", ends: nil},
		"an incomplete body":        {text: head + "012", body: 4, ends: []int{len(head)}, lines: 3},
		"an incomplete end of body": {text: head + "0\r\nA: b\r\n", body: -1, ends: []int{len(head)}, lines: 3},
	} {
		for _, step := range []int{1, 2, 3, 7, 4096} {
			t.Run(fmt.Sprint(name, " by ", step), func(t *testing.T) {
				var f framing
				var ends []int
				length, heads := 0, 0
				for rest := []byte(c.text); len(rest) > 0; {
					n, done := f.take(rest[:min(step, len(rest))])
					assert.Assert(t, n > 0)
					rest, length = rest[n:], length+n
					if !done {
						continue
					}
					ends, length = append(ends, length), 0
					lines := f.lines
					f.reset()
					if heads++; heads == 1 {
						assert.Equal(t, lines, c.lines)
						if c.body != 0 {
							f.startBody(c.body)
						}
					}
				}
				assert.DeepEqual(t, ends, c.ends)
			})
		}
	}
}

// server is an HTTP server behind a gate.
type server struct {
	gate    *Gate
	timers  *dhtimer.Stepped
	address string
	metrics *dhmetric.Metrics
	// reading is the number of handlers that read a body.
	reading atomic.Int64
	hold    chan struct{}
}

func startServer(t *testing.T, connections int, change func(*Gate)) *server {
	t.Helper()
	s := &server{timers: dhtimer.NewStepped(), metrics: dhmetric.New(1), hold: make(chan struct{})}
	s.gate = &Gate{Timers: s.timers, Log: slog.New(slog.DiscardHandler), Metrics: s.metrics}
	s.gate.SetMemory(112 << 20)
	change(s.gate)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = inner.Addr().String()
	web := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.reading.Add(1)
		body, err := s.gate.ReadBody(w, r, 4<<20)
		s.reading.Add(-1)
		defer body.Release()
		switch {
		case dhcode.Of(err) == dhcode.QueueFull:
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		case r.URL.Path == "/hold":
			<-s.hold
		}
		if body != nil {
			_, _ = fmt.Fprint(w, len(body.Data)) // the test reads it
		}
	})}
	s.gate.Attach(web)
	group := dhgroup.New(t.Context())
	group.Go(s.gate.Run)
	group.Go(func(context.Context) error {
		if err := web.Serve(s.gate.Listener(inner, connections)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Cleanup(func() {
		assert.NilError(t, web.Close())
		group.Stop()
		assert.NilError(t, group.Wait())
		assert.Equal(t, s.gate.heads.Used(), int64(0))
		assert.Equal(t, s.gate.bodies.Used(), int64(0))
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		assert.Equal(t, len(s.gate.open), 0)
	})
	return s
}

// client is one connection.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *server) connect(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) send(text string) *client {
	c.t.Helper()
	_, _ = io.WriteString(c.conn, text) // a server that refuses closes the connection
	return c
}

// expect reads an answer.
func (c *client) expect(status int, body string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	assert.Equal(c.t, r.StatusCode, status)
	text, err := io.ReadAll(r.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(text), body)
}

// expectClosed waits until the server has closed the connection without an answer.
func (c *client) expectClosed() {
	c.t.Helper()
	_, err := c.in.ReadByte()
	assert.Assert(c.t, err != nil)
}

// waitUntil polls until a condition holds.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		_ = dhtimer.Sleep(t.Context(), dhtimer.System{}, 5*time.Millisecond) // the loop ends soon if the test ends
	}
	t.Fatalf("not reached: %s", what)
}

// Guards against new clients that are refused while connections that have had their last
// answer still hold all places: a crowd that sends bodies over the limit kept operators and
// backend servers out.
func TestAnsweredConnectionsMakePlace(t *testing.T) {
	s := startServer(t, 1, func(*Gate) {})
	for range 3 {
		refused := s.connect(t).send(post + "Content-Length: 99999999\r\n\r\nx")
		r, err := http.ReadResponse(refused.in, nil)
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusBadRequest)
		_, err = io.ReadAll(r.Body)
		assert.NilError(t, err)
		refused.expectClosed()
		s.connect(t).send(strings.Replace(get, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)).expect(http.StatusOK, "")
		waitUntil(t, "a free place", func() bool { s.gate.mu.Lock(); defer s.gate.mu.Unlock(); return len(s.gate.open) == 0 })
	}
}

// Guards against descriptors of connections that have lost their place and still get an
// answer, whose number no limit bounds.
func TestEvictedConnectionsAreBounded(t *testing.T) {
	const limit = 16
	s := startServer(t, limit, func(*Gate) {})
	evicted := func() int {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		for c := range s.gate.open {
			return len(c.from.evicted)
		}
		return 0
	}
	for range 10 * limit {
		s.connect(t).send(strings.TrimSuffix(get, "\r\n"))
		assert.Assert(t, evicted() <= limit/endingShare, "%d connections", evicted())
	}
	waitUntil(t, "the evicted are closed", func() bool { return evicted() == 0 })
}

// newGate returns a Gate of a process with little memory.
func newGate() *Gate {
	g := &Gate{Timers: dhtimer.NewStepped(), Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(1)}
	g.SetMemory(16 << 20)
	return g
}

// Guards against bytes that the process has not read and that together exceed their share of
// its memory, and against a share that is not returned.
func TestUnreadBytesAreBoundedInSum(t *testing.T) {
	const connections = 100
	g := newGate()
	listener, err := g.Listen(t.Context(), "127.0.0.1:0", connections)
	assert.NilError(t, err)
	reserved := g.unread.Used()
	assert.Equal(t, reserved, int64(connections*minUnreadBytes))
	text := make([]byte, bodyUnreadBytes)
	var accepted []net.Conn
	for range connections {
		peer, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = peer.Close() }()
		conn, err := listener.Accept()
		assert.NilError(t, err)
		accepted = append(accepted, conn)
		assert.NilError(t, peer.SetWriteDeadline(time.Now().Add(10*time.Millisecond)))
		_, _ = peer.Write(text) // what does not fit waits at the peer
	}
	sum := int64(0)
	for _, conn := range accepted {
		unread := int64(dhsocket.Unread(conn))
		assert.Assert(t, unread > 0)
		sum += unread
	}
	assert.Assert(t, sum <= g.unread.Max, "%d of %d bytes", sum, g.unread.Max)
	for _, conn := range accepted {
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, g.unread.Used(), reserved)
	assert.NilError(t, listener.Close())
}

// Guards against a relay that takes an answer for complete although the backend server has not
// received the whole request: the rest waits on the connection from the other VM.
func TestUnreadBytesAreSeen(t *testing.T) {
	g := newGate()
	listener, err := g.Listen(t.Context(), "127.0.0.1:0", 1)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }() // the test has ended
	peer, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }() // as above
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }() // as above
	_, err = peer.Write([]byte(get))
	assert.NilError(t, err)
	waitUntil(t, "the bytes are seen", func() bool { return dhsocket.Unread(conn) == len(get) })
}

// Guards against a large answer of a backend server that waits for a round trip for every few
// bytes, and against answers that are not read and together exceed their share of the memory.
func TestLargeAnswersGetRoom(t *testing.T) {
	const connections = 20
	g := newGate()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }() // the test has ended
	dialer := net.Dialer{Control: dhsocket.LimitUnread(BackendUnreadBytes)}
	connect := g.Connect(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	group := dhgroup.New(t.Context())
	var open []net.Conn
	for range connections {
		conn, err := connect(t.Context(), listener.Addr().String())
		assert.NilError(t, err)
		open = append(open, conn)
		backend, err := listener.Accept()
		assert.NilError(t, err)
		defer func() { _ = backend.Close() }() // as above
		group.Go(func(context.Context) error {
			_, _ = backend.Write(make([]byte, 2*answerUnreadBytes)) // until the backend server is closed
			return nil
		})
		waitUntil(t, "the answer arrives", func() bool { return dhsocket.Unread(conn) >= answerBurstBytes })
		least, err := io.CopyN(io.Discard, conn, BackendUnreadBytes)
		assert.NilError(t, err)
		assert.Equal(t, least, int64(BackendUnreadBytes))
		if len(open) == 1 {
			waitUntil(t, "more arrives", func() bool { return dhsocket.Unread(conn) > answerUnreadBytes/2 })
		}
	}
	sum := int64(0)
	for _, conn := range open {
		sum += int64(dhsocket.Unread(conn))
	}
	most := g.backendUnread.Max + connections*BackendUnreadBytes
	assert.Assert(t, sum <= most, "%d of %d bytes", sum, most)
	for _, conn := range open {
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, g.backendUnread.Used(), int64(0))
}

const (
	get  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: a\r\n"
)

// Guards against requests that are cut or joined by the gate, whatever way they are sent.
func TestRequestsPassUnchanged(t *testing.T) {
	s := startServer(t, 8, func(*Gate) {})
	sizes := []int{0, 1, 4095, 4096, 4097, firstBodyBytes, firstBodyBytes + 1, smallBodyBytes, smallBodyBytes + 1, 1<<20 + 7, 4 << 20}
	c := s.connect(t)
	for _, size := range sizes {
		text := strings.Repeat("x", size)
		c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s%s", post, size, text, get))
		want := fmt.Sprint(size)
		if size == 0 {
			want = ""
		}
		c.expect(http.StatusOK, want)
		c.expect(http.StatusOK, "")
		if size > 0 {
			c.send(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n%s", post, size, text, get))
			c.expect(http.StatusOK, want)
			c.expect(http.StatusOK, "")
		}
	}
	c.send(strings.Repeat(get, 100))
	for range 100 {
		c.expect(http.StatusOK, "")
	}
	waitUntil(t, "all memory is returned", func() bool { return s.gate.heads.Used() == 0 && s.gate.bodies.Used() == 0 })
}

// Guards against a body that is read beyond the limit, or taken for complete before its end.
func TestBodiesEnd(t *testing.T) {
	s := startServer(t, 8, func(*Gate) {})
	c := s.connect(t).send(post + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 4<<20+1, strings.Repeat("x", 4<<20+1)))
	c.expect(http.StatusBadRequest, "")
	b := &Body{gate: s.gate}
	err := b.read(iotest.ErrReader(io.EOF), 5, 5)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	b.Release()
}

// Guards against heads of many lines that take more memory than the bound, and against a
// single one that is refused while there is room.
func TestHeadsShareMemory(t *testing.T) {
	s := startServer(t, 100, func(*Gate) {})
	lines := strings.Repeat("a:\n", 5000)
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + lines
	var stopped []*client
	for i := range int64(2) {
		stopped = append(stopped, s.connect(t).send(head))
		waitUntil(t, "the head is held", func() bool { return s.gate.heads.Used() > (i+1)*5000*lineBytes })
		for range stalledTicks + 1 {
			s.timers.Step(tickPeriod)
		}
	}
	for range 10 {
		s.connect(t).send(head+"\r\n").expect(http.StatusOK, "")
		waitUntil(t, "its memory is returned", func() bool { return s.gate.heads.Used() < 6000*lineBytes })
	}
	stopped[0].expect(http.StatusServiceUnavailable, "")
	assert.Equal(t, s.metrics.Counter("clients-refused", HeadsFull.String()), int64(1))
	s.connect(t).send(get).expect(http.StatusOK, "")
}

// Guards against a head beyond the configured limit that is accepted, and one at the limit
// that is refused, also behind another request.
func TestHeadLimit(t *testing.T) {
	s := startServer(t, 100, func(g *Gate) { g.HeadLimit = func() int { return 1000 } })
	section := func(n int) string { return "Host: a\r\n" + strings.Repeat("a", n-16) + ": b\r\n\r\n" }
	for prefix, answers := range map[string]int{"": 0, get: 1, strings.Repeat(get, 3): 3} {
		for _, part := range []string{"GET / HTTP/1.1\r\n" + section(1000), "GET /" + strings.Repeat("x", 984) + " HTTP/1.1\r\nHost: a\r\n\r\n"} {
			c := s.connect(t).send(prefix + part)
			for range answers + 1 {
				c.expect(http.StatusOK, "")
			}
		}
		for _, part := range []string{"GET / HTTP/1.1\r\n" + section(1001), "GET /" + strings.Repeat("x", 985) + " HTTP/1.1\r\nHost: a\r\n\r\n", strings.Repeat("\r\n", 501)} {
			c := s.connect(t).send(prefix + part)
			for range answers {
				c.expect(http.StatusOK, "")
			}
			c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
		}
	}
}

// Guards against bodies that stop short of their end and keep the memory from others, and
// against small bodies that find none beside large ones.
func TestBodiesShareMemory(t *testing.T) {
	s := startServer(t, 100, func(g *Gate) { g.bodies.Max = 10 << 20 })
	large := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", 4<<20)
	stopped := s.connect(t).send(large + strings.Repeat("x", 4<<20-1))
	waitUntil(t, "the body is held", func() bool { return s.gate.bodies.Used() == 4<<20 })
	for range stalledTicks + 1 {
		s.timers.Step(tickPeriod)
	}
	for range 2 {
		s.connect(t).send(strings.Replace(large, "/", "/hold", 1) + strings.Repeat("x", 4<<20))
		waitUntil(t, "the body is complete", func() bool { return s.reading.Load() <= 1 && s.gate.bodies.Used() >= 4<<20 })
	}
	stopped.expect(http.StatusServiceUnavailable, "")
	s.connect(t).send(large+strings.Repeat("x", 4<<20)).expect(http.StatusServiceUnavailable, "")
	s.connect(t).send(post+"Content-Length: 70000\r\n\r\n"+strings.Repeat("x", 70000)).expect(http.StatusOK, "70000")
	close(s.hold)
}

// Guards against a body that is announced and never sent, or sent too slowly, and holds its
// connection for ever.
func TestBodiesMustProgress(t *testing.T) {
	s := startServer(t, 100, func(*Gate) {})
	slow := s.connect(t).send(post + "Content-Length: 100000\r\n\r\nx")
	silent := s.connect(t).send(post + "Content-Length: 100000\r\n\r\nx")
	waitUntil(t, "the bodies are read", func() bool { return s.reading.Load() == 2 && s.gate.bodies.Used() > 0 })
	most := func() (n int64) {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		for c := range s.gate.open {
			n = max(n, c.received.Load())
		}
		return n
	}
	for i, before := int64(0), most(); i < progressTicks+2; i++ {
		waitUntil(t, "the bytes are read", func() bool { return most() >= before+i || s.reading.Load() == 0 })
		s.timers.Step(tickPeriod)
		slow.send("x")
		if i == maxStalledTicks+1 {
			silent.expect(http.StatusServiceUnavailable, "")
			assert.Equal(t, s.reading.Load(), int64(1))
		}
	}
	slow.expect(http.StatusServiceUnavailable, "")
	assert.Equal(t, s.metrics.Counter("clients-refused", NoProgress.String()), int64(2))
}

// Guards against connections beyond the bound that keep others out, and against the close of
// one that runs a request or that its caller may use again.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 6
	s := startServer(t, limit, func(*Gate) {})
	expectRunning := func(want int) {
		t.Helper()
		waitUntil(t, "the answers are complete", func() bool {
			s.gate.mu.Lock()
			defer s.gate.mu.Unlock()
			n := 0
			for c := range s.gate.open {
				if phase(c.phase.Load()) == phaseRunning {
					n++
				}
			}
			return n == want
		})
	}
	idle := s.connect(t).send(get)
	idle.expect(http.StatusOK, "")
	expectRunning(0)
	running := s.connect(t).send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	expectRunning(1)
	s.timers.Step(protectedIdle - time.Second)
	for range 10 * limit {
		s.connect(t)
	}
	s.connect(t).send(get).expect(http.StatusOK, "")
	idle.send(get).expect(http.StatusOK, "")
	expectRunning(1)
	s.timers.Step(protectedIdle + time.Second)
	for range 2 * limit { // silent connections are closed before
		s.connect(t).send(get).expect(http.StatusOK, "")
		expectRunning(1)
	}
	idle.expectClosed()
	close(s.hold)
	running.expect(http.StatusOK, "")
	assert.Assert(t, s.metrics.Counter("clients-refused", ConnectionsFull.String()) > 0)
}

// The cost of a gate for an ordinary request on a connection that is used again.
func BenchmarkRequest(b *testing.B) {
	request := []byte("POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n" + strings.Repeat("Some-Header: with some value\r\n", 12) + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800))
	for name, gated := range map[string]bool{"with": true, "without": false} {
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			gate := &Gate{Timers: dhtimer.System{}, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(1)}
			gate.SetMemory(112 << 20)
			web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if gated {
					body, err := gate.ReadBody(w, r, 4<<20)
					assert.NilError(b, err)
					body.Release()
					return
				}
				_, err := io.ReadFull(r.Body, make([]byte, r.ContentLength))
				assert.NilError(b, err)
			})}
			listener := inner
			if gated {
				gate.Attach(web)
				listener = gate.Listener(inner, 10)
			}
			group := dhgroup.New(b.Context())
			group.Go(func(context.Context) error { _ = web.Serve(listener); return nil }) // it ends by Close
			conn, err := net.Dial("tcp", inner.Addr().String())
			assert.NilError(b, err)
			in, answer := bufio.NewReader(conn), ""
			b.ReportAllocs()
			for b.Loop() {
				_, err := conn.Write(request)
				assert.NilError(b, err)
				for answer = "x"; answer != "\r\n"; {
					answer, err = in.ReadString('\n')
					assert.NilError(b, err)
				}
			}
			assert.NilError(b, web.Close())
			assert.NilError(b, group.Wait())
		})
	}
}
