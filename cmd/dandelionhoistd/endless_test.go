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

// endlessServer answers each connection with head and then more without end.
type endlessServer struct{ connections, sent atomic.Int64 }

func startEndlessServer(t *testing.T, address, head, more string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	group := dhgroup.New(t.Context())
	t.Cleanup(func() { _ = listener.Close(); group.Stop() })
	s := new(endlessServer)
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return nil
				}
				text := head
				for {
					n, err := io.WriteString(conn, text)
					s.sent.Add(int64(n))
					if err != nil {
						return nil // the caller has closed the connection
					}
					text = more
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
	for _, role := range []string{"entry", "control"} {
		for name, answer := range endlessAnswers {
			t.Run(role+" "+name, func(t *testing.T) {
				f := &fleet{t: t, folder: t.TempDir(), group: dhgroup.New(t.Context())}
				p := &platformProcess{role: role, ip: fleetIP(1)}
				var servers []*endlessServer
				for n := 2; n <= 3; n++ {
					servers = append(servers, startEndlessServer(t, net.JoinHostPort(fleetIP(n), strconv.Itoa(portInternal)), answer[0], answer[1]))
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
