package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// memoryMb is the memory limit of the processes, that of the smallest VMs.
const memoryMb = 112

// endlessServer answers the first request on each connection with head, in which ID stands
// for the id of the request, and then more without end. If more is empty, it is an event with
// the next number.
type endlessServer struct {
	address           string
	connections, sent atomic.Int64
}

func startEndlessServer(t *testing.T, address, head, more string, pause time.Duration) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	group := dhgroup.New(t.Context())
	t.Cleanup(func() { _ = listener.Close(); group.Stop() })
	s := &endlessServer{address: listener.Addr().String()}
	group.Go(func(context.Context) error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil // the test has ended
			}
			s.connections.Add(1)
			group.Go(func(ctx context.Context) error {
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return nil
				}
				text := strings.ReplaceAll(head, "ID", request.Header.Get("Attempt-Id"))
				for number := 1; ; number++ {
					n, err := io.WriteString(conn, text)
					s.sent.Add(int64(n))
					if err != nil {
						return nil // the caller has closed the connection
					}
					if text = more; more == "" {
						text = fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", 1000))
					}
					if pause > 0 {
						_ = dhtimer.Sleep(ctx, dhtimer.System{}, pause) // a write fails once ctx has ended
					}
				}
			})
		}
	})
	return s
}

// residentBytes returns the memory of a process without the pages of its program.
func residentBytes(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no RssAnon in the status of the process")
	return 0
}

// checkMemory fails the test if a process uses more than its limit within a time.
func (f *fleet) checkMemory(d time.Duration, processes ...*platformProcess) {
	f.t.Helper()
	most := int64(0)
	for end := f.timers.Now().Add(d); f.timers.Now().Before(end); {
		for _, p := range processes {
			n := residentBytes(f.t, p.command.Process.Pid)
			assert.Assert(f.t, n < memoryMb<<20, "%s VM uses %d MB", p.role, n>>20)
			most = max(most, n)
		}
		assert.NilError(f.t, dhtimer.Sleep(f.t.Context(), f.timers, 10*time.Millisecond))
	}
	f.t.Logf("at most %d MB", most>>20)
}

// endlessAnswers are answers that do not end, as head and what follows it.
var endlessAnswers = map[string][2]string{
	"head":         {"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("x", 4096) + "\r\n"},
	"line":         {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("x", 4096)},
	"interim":      {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	"body":         {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", strings.Repeat("x", 64<<10)},
	"chunks":       {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	"failure":      {"HTTP/1.1 500 Error\r\nContent-Type: application/json\r\n\r\n", strings.Repeat(" ", 64<<10)},
	"other length": {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 64<<10)},
}

// Guards against a VM that keeps what a faulty process at the address of a control VM sends
// without end, and runs out of memory.
func TestEndlessAnswersBetweenVMs(t *testing.T) {
	program := buildDaemon(t)
	for _, role := range []string{"entry", "control"} {
		for name, answer := range endlessAnswers {
			t.Run(role+" "+name, func(t *testing.T) {
				f := &fleet{t: t, folder: t.TempDir(), group: dhgroup.New(t.Context())}
				p := &platformProcess{role: role, program: program, ip: fleetIP(1)}
				var servers []*endlessServer
				for n := 2; n <= 3; n++ {
					servers = append(servers, startEndlessServer(t, net.JoinHostPort(fleetIP(n), strconv.Itoa(portInternal)), answer[0], answer[1], 0))
				}
				seed := func(n int) string { return net.JoinHostPort(fleetIP(n), strconv.Itoa(portControl)) }
				p.settings = writeFile(t, f.folder, "boot.toml", fmt.Sprintf(
					"NodeName = \"vm\"\nIp = %q\nZone = \"z0\"\nInternalPorts = [%d, %d]\nSeeds = [%q, %q]\nBootstrap = true\nHeartbeatMs = %d\nDataDir = %q\n"+
						"[Listen]\nFrontend = \"%s:%d\"\nReady = \"%s:%d\"\nControl = \"%s:%d\"\n[Limits]\nMemoryMb = %d\n[FaultTolerance]\nMachines = 1\n[Bounds]\nGraceS = 8\nRevokeMs = 5000\n",
					p.ip, portInternal, portInternal+9, seed(2), seed(3), testHeartbeatMs, filepath.Join(f.folder, "data"),
					p.ip, portFront, p.ip, portReady, p.ip, portControl, memoryMb))
				f.start(p)
				f.waitUntil("a call", func() bool { return servers[0].connections.Load()+servers[1].connections.Load() > 0 })
				f.checkMemory(2*time.Second, p)
			})
		}
	}
}

// sendEndless sends what does not end on some connections to an address until the test
// ends. A pause of 0 sends it as fast as it is taken.
func (f *fleet) sendEndless(group *dhgroup.Group, address, head, more string, pause time.Duration) {
	const connections = 12
	for range connections {
		group.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return err
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				for _, err = io.WriteString(conn, head); err == nil; _, err = io.WriteString(conn, more) {
					if pause > 0 {
						_ = dhtimer.Sleep(ctx, f.timers, pause) // a write fails once ctx has ended
					}
				}
				stop()
				_ = conn.Close() // the VM has closed it
			}
			return nil
		})
	}
}

// Guards against requests without end, on any address of a VM, that use up its memory or
// keep it from serving others.
func TestEndlessRequests(t *testing.T) {
	f := newLimitedFleet(t, 1, 1, memoryMb)
	f.configure(3)
	f.addReplica("i-1", "app", "z0", "v1")
	f.waitUntil("the pool serves", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return got.status == http.StatusOK
	})
	control, entry := f.controls[0], f.entries[0]
	at := func(p *platformProcess, port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }
	chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	chunked := " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nAuthorization: Bearer key-1\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		address, head, more string
		pause               time.Duration
	}{
		"entry, head":             {at(entry, portFront), "GET /look/1 HTTP/1.1\r\n", "X-A: " + strings.Repeat("x", 4096) + "\r\n", 0},
		"entry, slow head":        {at(entry, portFront), "GET /look/1 HTTP/1.1\r\nX-A: ", "x", 100 * time.Millisecond},
		"entry, body":             {at(entry, portFront), "POST /look/1" + chunked, chunk, 0},
		"entry, chunk extensions": {at(entry, portFront), "POST /look/1" + chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", 0},
		"entry, trailers":         {at(entry, portFront), "POST /look/1" + chunked + "0\r\n", "X-A: b\r\n", 0},
		"ready, body":             {at(entry, portReady), "GET /dandelionhoist/readyz" + chunked, chunk, 0},
		"relay, head":             {at(entry, portInternal+1), "CONNECT 10.0.0.1:80 HTTP/1.1\r\n", "X-A: " + strings.Repeat("x", 4096) + "\r\n", 0},
		"control, heartbeat":      {at(control, portControl), "POST /dandelionhoist/Instances.Heartbeat/i-9" + chunked, chunk, 0},
		"control, configuration":  {at(control, portControl), "POST /dandelionhoist/Config.Replace" + chunked, chunk, 0},
		"control, watch":          {at(control, portInternal), "POST /twirp/dandelionhoist.v1.ControlService/Watch" + chunked, chunk, 0},
		"control, accept":         {at(control, portInternal), "POST /twirp/dandelionhoist.v1.PeerService/Accept" + chunked, chunk, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			sending := dhgroup.New(t.Context())
			f.sendEndless(sending, c.address, c.head, c.more, c.pause)
			others := dhgroup.New(t.Context())
			others.Go(func(ctx context.Context) error {
				for {
					limited, cancel := dhtimer.WithTimeout(ctx, f.timers, 5*time.Second)
					_, got := f.sendRequest(limited, 0, "GET", "/look/1", "key-1")
					cancel()
					if ctx.Err() != nil {
						return nil
					}
					if got.status != http.StatusOK {
						return fmt.Errorf("another request: status %d, %v: %s", got.status, got.err, got.body)
					}
				}
			})
			f.checkMemory(1500*time.Millisecond, control, entry)
			others.Stop()
			assert.NilError(t, others.Wait())
			sending.Stop()
			assert.NilError(t, sending.Wait())
		})
	}
}

// addEndlessReplica adds a backend server of a pool that answers each request without end.
func (f *fleet) addEndlessReplica(id, service, head, more string, pause time.Duration) *endlessServer {
	f.t.Helper()
	server := startEndlessServer(f.t, "127.0.0.1:0", head, more, pause)
	r := &replica{id: id, service: service, zone: "z0", version: "v1", born: f.timers.Now().UnixMilli(), address: server.address}
	r.state.Store("ready")
	f.announceAll(r)
	return server
}

// Guards against an entry VM with little memory that is ended by what the backend servers of
// a pool send without end, or that serves the requests to other pools late because of it,
// while some callers do not read their answers.
func TestEndlessReplicas(t *testing.T) {
	const (
		bad, callers = 5, 40
		sealed       = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: x\r\n"
		stream       = sealed + "Content-Type: text/event-stream\r\n\r\n"
		maxOthers    = 2 * time.Second
	)
	long := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		head, more string
		pause      time.Duration
	}{
		"head":               {"HTTP/1.1 200 OK\r\n", "X-A: " + long[:4096] + "\r\n", 0},
		"slow head":          {"HTTP/1.1 200 OK\r\nX-A: ", "x", time.Second},
		"interim":            {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", 0},
		"body":               {sealed + "\r\n", long, 0},
		"body with length":   {sealed + "Content-Length: 8000000\r\n\r\n", long[:1024], time.Millisecond},
		"chunks":             {sealed + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n", 0},
		"trailers":           {sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", 0},
		"events":             {stream, "id: 1\ndata: x\n\nid: 2\ndata: " + long[:2000] + "\n\n", 0},
		"increasing events":  {stream, "", 0},
		"comments":           {stream, ": keep alive\n\n", 0},
		"slow comments":      {stream, ":", time.Second},
		"an event":           {stream + "id: 1\ndata: ", long, 0},
		"failure":            {"HTTP/1.1 500 Error\r\nAttempt-Id: ID\r\nServer-Seal: x\r\n\r\n", long, 0},
		"body after refusal": {"HTTP/1.1 503 Busy\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n\r\n", long, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(t, 1, 2, memoryMb)
			f.configure(3)
			for i := range bad {
				f.addEndlessReplica(fmt.Sprint("bad-", i), "llm", c.head, c.more, c.pause)
			}
			f.addReplica("good", "app", "z0", "v1")
			f.waitUntil("both pools are known", func() bool {
				_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
				_, other := f.sendRequest(t.Context(), 1, "GET", "/look/1", "key-1")
				return got.status == http.StatusOK && other.status == http.StatusOK
			})
			asking := dhgroup.New(t.Context())
			for i := range callers {
				asking.Go(func(ctx context.Context) error {
					for ctx.Err() == nil {
						f.askEndless(ctx, i%len(f.entries), i%4 == 0)
					}
					return nil
				})
			}
			worst := time.Duration(0)
			others := dhgroup.New(t.Context())
			others.Go(func(ctx context.Context) error {
				for {
					began := f.timers.Now()
					_, got := f.sendRequest(ctx, 0, "GET", "/look/1", "key-1")
					if ctx.Err() != nil {
						return nil
					}
					worst = max(worst, f.timers.Now().Sub(began))
					if got.status != http.StatusOK {
						return fmt.Errorf("another request: status %d, %v: %s", got.status, got.err, got.body)
					}
					if dhtimer.Sleep(ctx, f.timers, 20*time.Millisecond) != nil {
						return nil
					}
				}
			})
			f.checkMemory(2*time.Second, f.controls[0], f.entries[0], f.entries[1])
			others.Stop()
			assert.NilError(t, others.Wait())
			asking.Stop()
			assert.NilError(t, asking.Wait())
			assert.Assert(t, worst < maxOthers, "a request to another pool took %s", worst)
		})
	}
}

// askEndless sends a request to the pool of endless backend servers and reads the answer, or
// leaves it unread for a while.
func (f *fleet) askEndless(ctx context.Context, entry int, unread bool) {
	ctx, cancel := dhtimer.WithTimeout(ctx, f.timers, time.Second)
	defer cancel()
	path := "/plan/1"
	if !unread {
		_, _ = f.sendRequest(ctx, entry, "GET", path, "key-1") // any end is allowed
		return
	}
	conn, err := net.Dial("tcp", net.JoinHostPort(f.entries[entry].ip, strconv.Itoa(portFront)))
	if err != nil {
		return // as above
	}
	defer func() { _ = conn.Close() }()
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 20000\r\nModel: *\r\n\r\n", path, id)
	<-ctx.Done()
}
