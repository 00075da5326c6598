package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
)

// nameRequest answers with events that hold the id of the request, and breaks off at times.
func nameRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range 1 + rand.IntN(6) {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat(id, 1+rand.IntN(300))) // the caller may be gone
		_ = http.NewResponseController(w).Flush()
		if rand.IntN(15) == 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a caller who gets an answer to another request, or one too many, while other
// callers drop their calls at any moment and backend servers break off.
func TestAnswersReachTheirCallers(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.configure(3)
	server := httptest.NewServer(http.HandlerFunc(nameRequest))
	t.Cleanup(server.Close)
	for i, service := range []string{"app", "llm", "llm"} {
		r := &replica{id: fmt.Sprint("i-", i), service: service, zone: "z0", version: "v1", server: server, born: f.timers.Now().UnixMilli()}
		r.state.Store("ready")
		f.announceAll(r)
	}
	f.waitUntil("requests are answered", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return got.err == nil && got.status == http.StatusOK
	})
	entry, seed, answered := fmt.Sprint(f.entries[0].ip, ":", portFront), uint64(f.timers.Now().UnixNano()), atomic.Int64{}
	t.Log("seed", seed)
	callers := dhgroup.New(t.Context())
	for c := range 32 {
		callers.Go(func(context.Context) error {
			random, conn, in := rand.New(rand.NewPCG(seed, uint64(c))), net.Conn(nil), (*bufio.Reader)(nil)
			for n := range 100 {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", entry); err != nil {
						return err
					}
					in = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("<%d-%d>", c, n)
				text := fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer key-1\r\nModel: *\r\nContent-Length: 4000\r\n\r\n%4000d",
					[]string{"/look/", "/plan/", "/order/"}[random.IntN(3)], id, 0)
				drop := random.IntN(4) // before the request is complete, or within the answer
				if drop == 0 {
					text = text[:random.IntN(len(text))]
				}
				_, err := io.WriteString(conn, text)
				if drop == 1 {
					_ = conn.SetReadDeadline(f.timers.Now().Add(time.Duration(random.IntN(20)) * time.Millisecond))
					_, err = io.CopyN(io.Discard, in, random.Int64N(2000))
				}
				complete := false
				if drop > 1 && err == nil {
					complete, err = readOwn(conn, in, id, f.timers.Now)
					if err != nil {
						return err
					}
				}
				if complete {
					answered.Add(1)
				} else {
					_ = conn.Close() // the call is dropped
					conn = nil
				}
			}
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	t.Log("answered", answered.Load())
	assert.Assert(t, answered.Load() > 500, answered.Load())
	assert.Assert(t, !strings.Contains(f.entries[0].logText(), "DATA RACE"), f.entries[0].logText())
}

// readOwn reads the answer to a request and returns an error if it, or what follows it, is
// another one. complete is unset if the answer or the connection ends early.
func readOwn(conn net.Conn, in *bufio.Reader, id string, now func() time.Time) (complete bool, err error) {
	_ = conn.SetReadDeadline(now().Add(30 * time.Second)) // routes end their requests sooner
	response, err := http.ReadResponse(in, nil)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return false, fmt.Errorf("request %s gets no answer: %w", id, err)
	}
	if err != nil {
		return false, nil
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		for line := range strings.Lines(string(body)) {
			if data, ok := strings.CutPrefix(line, "data: "); ok && strings.Trim(strings.ReplaceAll(data, id, ""), "\n") != "" || response.Header.Get("Attempt-Id") != id {
				return false, fmt.Errorf("request %s got %s, %q", id, response.Header.Get("Attempt-Id"), line)
			}
		}
	}
	if err != nil {
		return false, nil
	}
	_ = conn.SetReadDeadline(now().Add(2 * time.Millisecond)) // the connection is idle
	extra, _ := in.ReadString(0)
	_ = conn.SetReadDeadline(time.Time{})
	if extra != "" {
		return false, fmt.Errorf("after request %s came %q", id, extra)
	}
	return !response.Close, nil
}
