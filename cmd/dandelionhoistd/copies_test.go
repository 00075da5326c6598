package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhtimer"
)

// rawReplica is a replica that writes its answers byte by byte. refusal is what it answers to
// the first request of each id that begins with "full", and copy what precedes its next
// answer on that connection; "lost" ids end the connection instead of their answer.
type rawReplica struct {
	refusal, copy string

	mu       sync.Mutex
	arrivals map[string]int
}

func (f *fleet) addRawReplica(id, refusal, earlier string) *rawReplica {
	f.t.Helper()
	r := &rawReplica{refusal: refusal, copy: earlier, arrivals: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = l.Close() })
	f.group.Go(func(context.Context) error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil // the test has ended
			}
			f.group.Go(func(context.Context) error { r.answer(conn); return nil })
		}
	})
	announced := &replica{id: id, service: "app", zone: "z0", version: "v1", born: f.timers.Now().UnixMilli(), address: l.Addr().String()}
	announced.state.Store("ready")
	f.announceAll(announced)
	return r
}

func (r *rawReplica) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the entry VM may have closed it
	in, owed := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // these requests are short
		id := request.Header.Get("Attempt-Id")
		r.mu.Lock()
		r.arrivals[id]++
		n, earlier := r.arrivals[id], r.copy
		r.mu.Unlock()
		text := owed + "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok"
		switch owed = ""; {
		case strings.HasPrefix(id, "lost"):
			return
		case strings.HasPrefix(id, "full") && n == 1:
			text, owed = strings.ReplaceAll(r.refusal, "ID", id), strings.ReplaceAll(earlier, "ID", id)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// Guards against requests that run twice, or run and are called "not run", or lose their
// answer, because an entry VM takes the copy of a refusal for the answer to another send, and
// against ones that its HTTP client repeats.
func TestCopiesBetweenProcesses(t *testing.T) {
	f := newFleet(t, 1, 1)
	const refusal = "HTTP/1.1 503 X\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	f.configure(3)
	r := f.addRawReplica("i-1", refusal, refusal)
	send := func(id, method string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, fmt.Sprintf("http://%s:%d/order/1", f.entries[0].ip, portFront), nil)
		assert.NilError(t, err)
		request.Host = "shop.example"
		request.Header = http.Header{"Attempt-Id": {id}, "Authorization": {"Bearer key-1"}, "Deadline-Ms": {"5000"}}
		response, err := f.client.Do(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body) // only the status counts
		_ = response.Body.Close()
		return response.StatusCode
	}
	f.waitUntil("the replica serves", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "POST", "/order/1", "key-1")
		return got.status == http.StatusOK
	})
	for n := range 25 {
		id := fmt.Sprint("full-again-", n)
		assert.Equal(t, send(id, "POST"), http.StatusServiceUnavailable)
		assert.Equal(t, send(id, "POST"), http.StatusOK, "a caller comes back with its id:\n%s", f.entries[0].logText())
		id = fmt.Sprint("full-", n)
		assert.Equal(t, send(id, "POST"), http.StatusServiceUnavailable)
		assert.Equal(t, send(fmt.Sprint("other-", n), "POST"), http.StatusOK, "another request meets the copy")
	}
	r.mu.Lock()
	r.copy = strings.ReplaceAll(refusal, "Attempt-Id: ID\r\n", "")
	r.mu.Unlock()
	assert.Equal(t, send("full-without-id", "POST"), http.StatusServiceUnavailable)
	assert.Equal(t, send("after-without-id", "POST"), http.StatusOK)
	assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 50*time.Millisecond))
	assert.Equal(t, send("lost-get", "GET"), http.StatusBadGateway)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, r.arrivals["lost-get"], 1)
}
