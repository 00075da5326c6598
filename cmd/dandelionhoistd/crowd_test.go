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

const (
	// crowdBodyBytes and crowdHeadBytes are the limits of the configuration under which the
	// crowds send.
	crowdBodyBytes = 4 << 20
	crowdHeadBytes = 16 << 10
	// crowdDescriptors is the limit on the descriptors of the processes.
	crowdDescriptors = 1024
	// crowdTime is how long a crowd sends at least, crowdPatience how long it may take until
	// a request that comes again is answered: it only ends a test that would fail.
	crowdTime     = 4 * time.Second
	crowdPatience = 60 * time.Second
	// crowdReturn is the time after which a client whose connection was closed returns.
	crowdReturn = 20 * time.Millisecond
)

// crowd is a number of clients that send the same on a connection each: head, and then piece
// for the number of pieces, or without end if that is below 0. Then they leave the connection
// open without reading from it. A client whose connection is closed returns.
type crowd struct {
	// port is the port of the entry VM, or of the control VM, that they send to.
	port        int
	control     bool
	connections int
	head, piece string
	pieces      int
	pause       time.Duration
	// last is sent after the pieces.
	last string
	// also are others that send to the same address at the same time.
	also []crowd
}

const crowdHead = " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 20000\r\nModel: *\r\n"

// shortLines returns header lines of different names without values, of at most n bytes.
func shortLines(n int) string {
	var text strings.Builder
	for i := 36 * 36; text.Len()+5 <= n; i++ {
		text.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return text.String()
}

// crowds are the clients that the processes must withstand. Their number and what they send
// is fixed: a change needs a reason of its own.
func crowds() map[string]crowd {
	withLength := fmt.Sprintf("POST /look/1%sContent-Length: %d\r\n\r\n", crowdHead, crowdBodyBytes)
	chunked := "POST /look/1" + crowdHead + "Transfer-Encoding: chunked\r\n\r\n"
	piece := strings.Repeat("x", 16<<10)
	body := strings.Repeat("x", crowdBodyBytes-1)
	short := shortLines(crowdHeadBytes - 200)
	tunnel := fmt.Sprint("CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: a\r\n")
	replace := "POST /dandelionhoist/Config.Replace" + crowdHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
	accept := "POST /twirp/dandelionhoist.v1.PeerService/Accept" + crowdHead + "Content-Type: application/protobuf\r\n"
	return map[string]crowd{
		"bodies, whole":              {port: portFront, connections: 120, head: withLength + body},
		"bodies, in pieces":          {port: portFront, connections: 120, head: withLength, piece: piece, pieces: 255, pause: 2 * time.Millisecond},
		"bodies, whole, 200":         {port: portFront, connections: 200, head: withLength + body},
		"bodies, whole, 600":         {port: portFront, connections: 600, head: withLength + body},
		"bodies, large pieces, 600":  {port: portFront, connections: 600, head: withLength, piece: strings.Repeat("x", 64<<10), pieces: 63, pause: 40 * time.Millisecond},
		"bodies, slow, then at once": {port: portFront, connections: 600, head: withLength, piece: piece, pieces: 12, pause: 200 * time.Millisecond, last: body[12*len(piece):]},
		"bodies, announced":          {port: portFront, connections: 120, head: withLength + "x"},
		"bodies, large chunks":       {port: portFront, connections: 120, head: chunked, piece: "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n", pieces: 63},
		"bodies, small chunks":       {port: portFront, connections: 120, head: chunked, piece: strings.Repeat("1\r\nx\r\n", 4096), pieces: 1000},
		"bodies, slow":               {port: portFront, connections: 120, head: withLength + piece, piece: "x", pieces: -1, pause: 100 * time.Millisecond},
		"bodies, complete":           {port: portFront, connections: 120, head: withLength + strings.Repeat("x", crowdBodyBytes), piece: withLength + strings.Repeat("x", crowdBodyBytes), pieces: -1},
		"bodies, short header lines": {port: portFront, connections: 120, head: "POST /look/1" + crowdHead + short + "Content-Length: 1000\r\n\r\n"},
		"header lines, short":        {port: portFront, connections: 120, head: "GET /look/1" + crowdHead + short},
		"header lines, of one name":  {port: portFront, connections: 120, head: "GET /look/1" + crowdHead + strings.Repeat("a:\n", 5300)},
		"header lines, malformed":    {port: portFront, connections: 120, head: "GET /look/1" + crowdHead, piece: strings.Repeat("a\n", 500), pieces: 14},
		"header lines, pipelined":    {port: portFront, connections: 120, head: "GET /look/1" + crowdHead + "\r\nGET /look/1" + crowdHead + short},
		"header lines, after chunks": {port: portFront, connections: 120, head: chunked + "1\r\nx\r\n0\r\n\r\nGET /look/1" + crowdHead + short},
		"header section, endless":    {port: portFront, connections: 120, head: "GET /look/1 HTTP/1.1\r\n", piece: "X-A: " + strings.Repeat("x", 4096) + "\r\n", pieces: -1},
		"header section, lines":      {port: portFront, connections: 120, head: "GET /look/1 HTTP/1.1\r\n", piece: "a:\n", pieces: -1},
		"empty lines":                {port: portFront, connections: 120, piece: strings.Repeat("\r\n", 1000), pieces: -1},
		"empty lines after a body":   {port: portFront, connections: 120, head: "POST /look/1" + crowdHead + "Content-Length: 1\r\n\r\nx", piece: strings.Repeat("\r\n", 1000), pieces: -1},
		"target":                     {port: portFront, connections: 120, head: "GET /look/", piece: piece, pieces: -1},
		"requests, pipelined":        {port: portFront, connections: 60, piece: strings.Repeat("GET /look/1"+crowdHead+"\r\n", 20), pieces: -1},
		"requests, pipelined, 600":   {port: portFront, connections: 600, piece: strings.Repeat("GET /look/1"+crowdHead+"\r\n", 20), pieces: -1},
		"answers, unread":            {port: portFront, connections: 600, head: "GET /look" + largeAnswerPath + crowdHead + "\r\n"},
		"requests, unknown":          {port: portFront, connections: 60, piece: strings.Repeat("GET /nothing/1"+crowdHead+shortLines(4000)+"\r\n", 4), pieces: -1},
		"trailers":                   {port: portFront, connections: 120, head: chunked + "1\r\nx\r\n0\r\n" + shortLines(3900)},
		"chunk extensions":           {port: portFront, connections: 120, head: chunked, piece: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", pieces: -1},
		"connections, silent":        {port: portFront, connections: 1100},
		"connections, a byte":        {port: portFront, connections: 1100, head: "G"},
		"connections, idle":          {port: portFront, connections: 1100, head: "GET /look/1" + crowdHead + "\r\n"},
		"bodies, heads, idle": {port: portFront, connections: 60, head: withLength + body, also: []crowd{
			{connections: 60, head: "POST /look/1" + crowdHead + short + "Content-Length: 1000\r\n\r\n"},
			{connections: 60, head: "GET /look/1" + crowdHead + short},
			{connections: 300, head: "GET /look/1" + crowdHead + "\r\n"},
		}},
		"ready, silent":             {port: portReady, connections: 1100},
		"ready, short header lines": {port: portReady, connections: 120, head: "GET /dandelionhoist/readyz HTTP/1.1\r\nHost: a\r\n" + short},
		"relay, short header lines": {port: portInternal + 1, connections: 120, head: tunnel + short},
		"control, bodies":           {port: portControl, control: true, connections: 120, head: replace + body},
		"control, bodies, 600":      {port: portControl, control: true, connections: 600, head: replace + body},
		"internal, bodies, 600":     {port: portInternal, control: true, connections: 600, head: accept + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + body},
		"control, header lines":     {port: portControl, control: true, connections: 120, head: "GET /dandelionhoist/Config.Read HTTP/1.1\r\nHost: a\r\n" + short},
		"control, silent":           {port: portControl, control: true, connections: 1100},
		"internal, bodies":          {port: portInternal, control: true, connections: 120, head: accept + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + body},
		"internal, header lines":    {port: portInternal, control: true, connections: 120, head: accept + short},
	}
}

// send sends what the crowd sends to an address until the test ends.
func (c crowd) send(group *dhgroup.Group, timers dhtimer.Service, address string) {
	for _, other := range c.also {
		other.send(group, timers, address)
	}
	for range c.connections {
		group.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				c.sendOnce(ctx, timers, address)
				_ = dhtimer.Sleep(ctx, timers, crowdReturn) // the loop ends with ctx
			}
			return nil
		})
	}
}

func (c crowd) sendOnce(ctx context.Context, timers dhtimer.Service, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the VM accepts no more
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, c.head); err != nil {
		return // the VM has closed it
	}
	for i := 0; i != c.pieces; i++ {
		if _, err := io.WriteString(conn, c.piece); err != nil {
			return // as above
		}
		if c.pause > 0 {
			_ = dhtimer.Sleep(ctx, timers, c.pause) // a write fails once ctx has ended
		}
	}
	if c.pieces < 0 {
		return
	}
	if _, err := io.WriteString(conn, c.last); err != nil {
		return // as above
	}
	one := make([]byte, 1)
	for { // until the VM closes it, which a client that does not read never learns
		if dhtimer.Sleep(ctx, timers, 100*time.Millisecond) != nil {
			return
		}
		_ = conn.SetReadDeadline(timers.Now().Add(time.Millisecond)) // a failure shows in the read
		if _, err := conn.Read(one); err != nil && !os.IsTimeout(err) {
			return
		}
	}
}

// largeRequests are single requests of the largest size within the limits.
func largeRequests() map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
	chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	return map[string]string{
		"short header lines":   "GET /look/1" + crowdHead + shortLines(crowdHeadBytes-len("GET /look/1"+crowdHead+"\r\n")) + "\r\n",
		"a body with a length": "POST /look/1" + crowdHead + length + strings.Repeat("x", crowdBodyBytes),
		"a body in chunks":     "POST /look/1" + crowdHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, crowdBodyBytes>>16) + "0\r\n\r\n",
	}
}

// ask sends a request as text on a connection of its own and returns the status of its answer,
// or 0 if there is none.
func (f *fleet) ask(ctx context.Context, address, text string) int {
	ctx, cancel := dhtimer.WithTimeout(ctx, f.timers, 10*time.Second)
	defer cancel()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	writing := dhgroup.New(ctx)
	writing.Go(func(context.Context) error {
		_, _ = io.WriteString(conn, text) // the answer says what came of it
		return nil
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// unreadBytes returns the bytes that have arrived on TCP connections of a process and have not
// been read, as well as those on connections to its address that it has not accepted yet.
func unreadBytes(p *platformProcess) (sum int64, err error) {
	own := make(map[string]bool)
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	open, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	for _, file := range open {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil { // else it was closed meanwhile
			own[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	ip := net.ParseIP(p.ip).To4()
	address := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]) // as on machines with little endian
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const local, state, queues, inode, established, closeWait = 1, 3, 4, 9, "01", "08"
	for line := range strings.Lines(string(text)) {
		row := strings.Fields(line)
		if len(row) <= inode || row[state] != established && row[state] != closeWait {
			continue
		}
		if own[row[inode]] || row[inode] == "0" && strings.HasPrefix(row[local], address) {
			_, unread, _ := strings.Cut(row[queues], ":")
			n, err := strconv.ParseInt(unread, 16, 64)
			if err != nil {
				return 0, err
			}
			sum += n
		}
	}
	return sum, nil
}

// watchUse fails a group if a process ends, or uses more memory or descriptors than its
// limits, and returns the most memory that was seen. Bytes that have arrived and have not been
// read are memory of the process.
func (f *fleet) watchUse(group *dhgroup.Group, p *platformProcess) *atomic.Int64 {
	most := new(atomic.Int64)
	pid := p.command.Process.Pid
	group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			unread, err := unreadBytes(p)
			select {
			case <-p.exited:
				return fmt.Errorf("the %s VM ended: %w\n%s", p.role, p.exit, p.logText())
			default:
			}
			if err != nil {
				return err
			}
			if n := residentBytes(f.t, pid) + unread; n > most.Load() {
				if most.Store(n); n >= memoryMb<<20 {
					return fmt.Errorf("the %s VM uses %d MB, %d MB of them unread, its limit is %d MB", p.role, n>>20, unread>>20, memoryMb)
				}
			}
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil || len(open) >= crowdDescriptors {
				return fmt.Errorf("the %s VM has %d descriptors open, its limit is %d: %w", p.role, len(open), crowdDescriptors, err)
			}
			_ = dhtimer.Sleep(ctx, f.timers, 5*time.Millisecond) // the loop ends with ctx
		}
		return nil
	})
	return most
}

// Guards against clients outside of our control that end a process by memory or descriptors,
// or keep it from serving others, by bodies that never end, header sections of very many
// lines, or many connections.
func TestCrowds(t *testing.T) {
	program, large := buildDaemon(t), largeRequests()
	for name, c := range crowds() {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, 1, 1, memoryMb, func(p *platformProcess) { p.program, p.descriptors = program, crowdDescriptors })
			text := strings.Replace(testConfiguration(3, `"key-1"`), `"Limits":{"MaxBodyBytes":100000}`,
				fmt.Sprintf(`"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`, crowdHeadBytes, crowdBodyBytes), 1)
			f.waitUntil("the configuration is acknowledged", func() bool {
				status, _ := f.call(0, "POST", "Config.Replace", text)
				return status == http.StatusOK
			})
			f.addReplica("i-1", "app", "z0", "v1")
			target, front := f.entries[0], net.JoinHostPort(f.entries[0].ip, strconv.Itoa(portFront))
			if c.control {
				target = f.controls[0]
			}
			watching := dhgroup.New(t.Context())
			most := f.watchUse(watching, target)
			ctx, cancel := dhtimer.WithTimeout(watching.Context(), f.timers, crowdTime+3*crowdPatience)
			defer cancel()
			until := func(what string, done func() bool) {
				t.Helper()
				limited, cancel := dhtimer.WithTimeout(ctx, f.timers, crowdPatience)
				defer cancel()
				for !done() {
					if dhtimer.Sleep(limited, f.timers, crowdReturn) != nil {
						if ctx.Err() != nil {
							watching.Stop()
							assert.NilError(t, watching.Wait(), "before: %s", what)
						}
						const tail = 4000
						log := f.entries[0].logText()
						t.Fatalf("not within %s: %s; at most %d MB; end of the log of the entry VM:\n%s", crowdPatience, what, most.Load()>>20, log[max(0, len(log)-tail):])
					}
				}
			}
			served := func(when string) {
				t.Helper()
				until("an ordinary request is served "+when, func() bool {
					f.client.CloseIdleConnections() // a new connection, as of another caller
					return f.ask(ctx, front, "GET /look/1"+crowdHead+"Connection: close\r\n\r\n") == http.StatusOK
				})
				until("the readiness check is answered "+when, func() bool {
					return f.ask(ctx, net.JoinHostPort(f.entries[0].ip, strconv.Itoa(portReady)), "GET /dandelionhoist/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") == http.StatusOK
				})
				until("an operator is answered "+when, func() bool {
					status, _ := f.call(0, "GET", "Config.Read", "")
					return status == http.StatusOK
				})
				for kind, text := range large {
					until("a request with "+kind+" is served "+when, func() bool { return f.ask(ctx, front, text) == http.StatusOK })
				}
			}
			served("before the crowd")
			calm := most.Load()
			sending := dhgroup.New(t.Context())
			began := f.timers.Now()
			c.send(sending, f.timers, net.JoinHostPort(target.ip, strconv.Itoa(c.port)))
			_ = dhtimer.Sleep(ctx, f.timers, crowdTime/2) // a failure ends the next wait
			served("during the crowd")
			_ = dhtimer.Sleep(ctx, f.timers, crowdTime-f.timers.Now().Sub(began)) // as above
			sending.Stop()
			assert.NilError(t, sending.Wait())
			served("after the crowd")
			watching.Stop()
			assert.NilError(t, watching.Wait())
			t.Logf("at most %d MB before the crowd, %d MB in all", calm>>20, most.Load()>>20)
			f.stopAll()
		})
	}
}
