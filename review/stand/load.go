package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName  = "shop.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
	tenant    = "crew"
)

var crew = []object{{"Name": tenant, "ApiKeys": []string{clientKey}, "Priority": 1}}

// client sends one request after the other on a kept connection, each id once.
type client struct {
	s         *stand
	entry     *machine
	transport *http.Transport
}

func newClient(s *stand, entry *machine) *client {
	return &client{s: s, entry: entry, transport: &http.Transport{DisableCompression: true}}
}

// result is what a client has seen.
type result struct {
	id, status string
	code       int
	body       []byte
	// whole is set if the answer came to its end.
	whole bool
	// again is set if the client's own library has sent the request again.
	again bool
	sent  time.Time
	took  time.Duration
}

func (c *client) ask(method, path, id string, body []byte, header map[string]string, deadline time.Duration) result {
	r := result{id: id, status: "no answer", sent: time.Now()}
	var connections atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }})
	var reader io.Reader
	if len(body) > 0 {
		reader = io.NopCloser(bytes.NewReader(body)) // cannot be sent again
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.entry.ip, portFrontend, path), reader)
	if err != nil {
		r.status = err.Error()
		return r
	}
	request.ContentLength = int64(len(body))
	request.Host = hostName
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	c.s.record.line("client sends %s %s %s to %s, %d bytes", method, path, id, c.entry.name, len(body))
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		r.code = response.StatusCode
		r.status = fmt.Sprint(response.StatusCode)
		if r.body, err = io.ReadAll(response.Body); err != nil {
			r.status += " broken off"
		}
		_ = response.Body.Close()
		r.whole = err == nil
	}
	r.took, r.again = time.Since(r.sent), connections.Load() > 1
	c.s.record.line("client gets %s for %s after %d ms", r.status, id, r.took.Milliseconds())
	return r
}

// tally counts results by kind and status.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	all    int
	again  map[string]bool
}

func newTally() *tally { return &tally{counts: map[string]int{}, again: map[string]bool{}} }

func (t *tally) add(kind string, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	t.counts[kind+" "+r.status]++
	if r.again {
		t.again[r.id] = true
	}
}
