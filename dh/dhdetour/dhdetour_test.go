package dhdetour_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdetour"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhtimer"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// startRelay serves a relay on loopback that knows one backend server.
func startRelay(t *testing.T, backend string, maxTunnels int) (relay *dhdetour.Relay, server *httptest.Server, vm dhdetour.RelayVM) {
	t.Helper()
	group := dhgroup.New(t.Context())
	relay = &dhdetour.Relay{
		Group: group, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4), Direct: dial, Token: []byte("secret"),
		Known: func(address string) bool { return address == backend }, MaxTunnels: maxTunnels,
	}
	server = httptest.NewServer(relay)
	t.Cleanup(func() { group.Stop(); server.Close() })
	return relay, server, dhdetour.RelayVM{VM: "e1", Address: server.Listener.Addr().String(), Token: []byte("secret")}
}

// startBackend runs a backend server that handles each connection.
func startBackend(t *testing.T, handle func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	group := dhgroup.New(context.Background())
	group.Go(func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // the listener is closed
			}
			group.Go(func(context.Context) error { handle(c.(*net.TCPConn)); return nil })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against bytes that a relay changes, and against an answer without a length that
// counts as complete though the backend server or the relay broke off (incident RECOVER).
func TestTunnelKeepsEnds(t *testing.T) {
	answer := strings.Repeat("0123456789abcdef", 2000)
	for _, c := range []struct {
		name     string
		handle   func(c *net.TCPConn)
		complete bool
	}{
		{"closed by the backend server", func(c *net.TCPConn) { _, _ = io.WriteString(c, answer); _ = c.Close() }, true},
		{"reset by the backend server", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, answer)
			time.Sleep(20 * time.Millisecond) // the bytes leave before the reset
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startBackend(t, func(conn *net.TCPConn) {
				request := make([]byte, 4)
				if _, err := io.ReadFull(conn, request); err == nil && string(request) == "ping" {
					c.handle(conn)
				}
			})
			_, _, vm := startRelay(t, address, 0)
			conn, err := dhdetour.Through(dial)(t.Context(), vm, address)
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "ping")
			assert.NilError(t, err)
			got, err := io.ReadAll(conn)
			assert.Equal(t, err == nil, c.complete, "%v", err)
			if c.complete {
				assert.Equal(t, string(got), answer)
			}
		})
	}
	t.Run("the relay ends", func(t *testing.T) {
		address := startBackend(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "part")
			_, _ = io.Copy(io.Discard, c)
		})
		relay, _, vm := startRelay(t, address, 0)
		conn, err := dhdetour.Through(dial)(t.Context(), vm, address)
		assert.NilError(t, err)
		part := make([]byte, 4)
		_, err = io.ReadFull(conn, part)
		assert.NilError(t, err)
		relay.Group.Stop()
		_, err = io.ReadAll(conn)
		assert.Assert(t, err != nil, "the end of the relay completed the answer")
	})
}

// Guards against a backend server that goes on working after the caller of a tunnel left.
func TestTunnelEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	address := startBackend(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	_, _, vm := startRelay(t, address, 0)
	conn, err := dhdetour.Through(dial)(t.Context(), vm, address)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	<-ended
}

// Guards against a relay that anybody can use, to anywhere, or without bound, and against
// one that says it has connected though the backend server is down.
func TestRelayRefuses(t *testing.T) {
	address := startBackend(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	down := startBackend(t, nil)
	relay, server, vm := startRelay(t, address, 1)
	through := dhdetour.Through(dial)
	other := vm
	other.Token = []byte("guess!")
	_, err := through(t.Context(), other, address)
	assert.ErrorContains(t, err, "403")
	other.Token = nil
	_, err = through(t.Context(), other, address)
	assert.ErrorContains(t, err, "403")
	_, err = through(t.Context(), vm, down)
	assert.ErrorContains(t, err, "403")
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
	conn, err := through(t.Context(), vm, address)
	assert.NilError(t, err)
	assert.Equal(t, relay.Tunnels(), 1)
	_, err = through(t.Context(), vm, address)
	assert.ErrorContains(t, err, "503")
	assert.NilError(t, conn.Close())
	relay.Known = func(string) bool { return true }
	relay.Direct = func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }
	relay.MaxTunnels = 8
	_, err = through(t.Context(), vm, down)
	assert.Assert(t, errors.Is(err, dhdetour.ErrUnreachable), "%v", err)
}

// fakePaths are paths on a fake network.
type fakePaths struct {
	*dhdetour.Paths
	timers *dhtimer.Stepped
	// hangs and refuses are set while direct connections do, down holds the backend servers
	// that are down.
	hangs, refuses  atomic.Bool
	down            map[string]bool
	direct, relayed atomic.Int64
	unreachable     map[string]bool
}

type hangError struct{}

func (hangError) Error() string   { return "i/o timeout" }
func (hangError) Timeout() bool   { return true }
func (hangError) Temporary() bool { return true }

func runPaths(t *testing.T, f func(t *testing.T, p *fakePaths)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePaths{timers: dhtimer.NewStepped(), down: map[string]bool{}, unreachable: map[string]bool{}}
		group := dhgroup.New(t.Context())
		p.Paths = &dhdetour.Paths{
			Timers: p.timers, Group: group, Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4), VM: "e0", Zone: "z0",
			Random:     func() float64 { return 0.5 },
			SameRegion: func(zone string) bool { return zone != "far" },
			Direct: func(_ context.Context, address string) (net.Conn, error) {
				p.direct.Add(1)
				switch {
				case p.hangs.Load():
					return nil, hangError{}
				case p.refuses.Load() || p.down[address]:
					return nil, errors.New("connection refused")
				}
				conn, _ := net.Pipe()
				return conn, nil
			},
			Through: func(_ context.Context, relay dhdetour.RelayVM, address string) (net.Conn, error) {
				p.relayed.Add(1)
				if relay.Zone == "far" {
					t.Error("a relay in another region is used")
				}
				if p.down[address] || p.unreachable[relay.VM] {
					return nil, dhdetour.ErrUnreachable
				}
				conn, _ := net.Pipe()
				return conn, nil
			},
		}
		p.SetRelays([]dhdetour.RelayVM{
			{VM: "e0", Zone: "z0"}, {VM: "e3", Zone: "z0"}, {VM: "e6", Zone: "z0"}, {VM: "e1", Zone: "z1"}, {VM: "e9", Zone: "far"},
		})
		f(t, p)
		group.Stop()
		synctest.Wait()
	})
}

func (p *fakePaths) connect(t *testing.T, n int) (ok int) {
	t.Helper()
	for i := range n {
		if conn, err := p.Dial(t.Context(), fmt.Sprint("b", i)); err == nil {
			ok++
			_ = conn.Close()
		}
	}
	return ok
}

// Guards against a VM that does not notice that it is cut off, that goes on trying the
// direct paths with each connection, or that keeps the detour when they are back.
func TestPathsTakeDetourAndReturn(t *testing.T) {
	runPaths(t, func(t *testing.T, p *fakePaths) {
		assert.Equal(t, p.connect(t, 6), 6)
		p.hangs.Store(true)
		assert.Equal(t, p.connect(t, 6), 6)
		assert.Assert(t, !p.Reaches(), "a VM that is cut off carries connections of others")
		before := p.direct.Load()
		assert.Equal(t, p.connect(t, 6), 6)
		assert.Equal(t, p.direct.Load(), before)
		p.hangs.Store(false)
		for range 20 {
			p.timers.Step(100 * time.Millisecond)
			synctest.Wait()
		}
		assert.Assert(t, p.Reaches() && p.BrokenSince(p.timers.Now().Add(-5*time.Second)))
		relayed := p.relayed.Load()
		assert.Equal(t, p.connect(t, 6), 6)
		assert.Equal(t, p.relayed.Load(), relayed, "a path that is back is not used")
	})
}

// Guards against a zone whose VMs are all cut off and ask only each other.
func TestPathsUseRelaysOfOtherZones(t *testing.T) {
	runPaths(t, func(t *testing.T, p *fakePaths) {
		p.hangs.Store(true)
		p.unreachable["e3"], p.unreachable["e6"] = true, true
		assert.Equal(t, p.connect(t, 6), 6)
	})
}

// Guards against a backend server that is down and counts as a broken path, and against
// refused connections of one backend server that ask relays each time.
func TestBackendThatIsDownIsNoBrokenPath(t *testing.T) {
	runPaths(t, func(t *testing.T, p *fakePaths) {
		p.down["b0"] = true
		for range 10 {
			assert.Equal(t, p.connect(t, 3), 2)
			p.timers.Step(300 * time.Millisecond)
		}
		assert.Equal(t, p.relayed.Load(), int64(0))
		assert.Assert(t, p.Reaches() && !p.BrokenSince(p.timers.Now().Add(-time.Minute)))
		p.refuses.Store(true)
		assert.Assert(t, p.connect(t, 6) >= 4, "connections that are refused take no detour")
	})
}

// Guards against a VM without relays that does not try the direct path.
func TestPathsWithoutRelays(t *testing.T) {
	runPaths(t, func(t *testing.T, p *fakePaths) {
		p.SetRelays(nil)
		p.hangs.Store(true)
		assert.Equal(t, p.connect(t, 4), 0)
		p.hangs.Store(false)
		assert.Equal(t, p.connect(t, 4), 4)
	})
}

// Guards against a relay whose answer to the handshake has no end, which the VM that
// connects would keep.
func TestHandshakeWithoutEndIsCut(t *testing.T) {
	for name, more := range map[string]string{"lines": "X-A: " + strings.Repeat("x", 4096) + "\r\n", "a line": strings.Repeat("x", 4096)} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			relay := startBackend(t, func(c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: "); err != nil {
					return
				}
				for sent.Load() < 64<<20 {
					n, err := io.WriteString(c, more)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			_, err := dhdetour.Through(dial)(t.Context(), dhdetour.RelayVM{VM: "e1", Address: relay}, "10.0.0.1:80")
			assert.Assert(t, err != nil)
			const buffered = 16 << 20
			assert.Assert(t, sent.Load() < buffered, "%d MB sent", sent.Load()>>20)
		})
	}
}
