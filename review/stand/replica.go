package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a replica of a service as PROTOCOL.md describes it. It counts what it
// runs.
type replica struct {
	s       *stand
	service string
	zone    string
	ip, id  string
	slots   int
	work    time.Duration
	gap     time.Duration // between two events; 0 means 10 ms
	events  int
	born    int64

	mu       sync.Mutex
	sequence int
	state    string
	active   int
	silent   bool // sends no heartbeats
	server   *http.Server
	stop     chan struct{}
	arrivals []time.Time
	loseNext func(id string) bool // reports whether the answer of a run is lost
	runs     *runs
}

// runs counts runs by attempt id.
type runs struct {
	mu    sync.Mutex
	byID  map[string]int
	where map[string][]string
}

func newRuns() *runs { return &runs{byID: map[string]int{}, where: map[string][]string{}} }

func (r *runs) add(id, replica string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id]++
	r.where[id] = append(r.where[id], replica)
	return r.byID[id]
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip, portReplica))
	if err != nil {
		return err
	}
	r.born, r.state, r.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	r.server = &http.Server{Handler: r, IdleTimeout: 15 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	r.s.record.line("replica %s of %s started at %s", r.id, r.service, r.ip)
	return nil
}

func (r *replica) beat() {
	for {
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		if !silent {
			path, body := r.heartbeat()
			r.call(path, body)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat returns the next heartbeat.
func (r *replica) heartbeat() (path string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body, _ = json.Marshal(object{
		"Service": r.service, "Address": fmt.Sprintf("%s:%d", r.ip, portReplica), "Zone": r.zone, "Version": "v1", "Slots": r.slots,
		"State": r.state, "ColdLeftMs": 0, "Phase": "colocated", "Sequence": r.sequence, "born": r.born,
	})
	return "/dandelionhoist/Instances.Heartbeat/" + r.id, body
}

// call calls one node after the other until one answers with 2xx within a second.
func (r *replica) call(path string, body []byte) (by string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 2 * len(r.s.controls) {
		c := r.s.controls[(n+len(r.id)+int(r.born))%len(r.s.controls)]
		response, err := client.Post(fmt.Sprintf("http://%s:%d%s", c.ip, portControl, path), "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return c.name
		}
	}
	return ""
}

func (r *replica) refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// ServeHTTP runs a request: work, then the answer.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.id {
		r.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.active >= r.slots {
		r.mu.Unlock()
		r.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	r.active++
	r.arrivals = append(r.arrivals, time.Now())
	lose := r.loseNext
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	n := r.runs.add(id, r.id)
	lost := lose != nil && lose(id)
	r.s.record.line("replica %s runs %s %s (%s), run %d of this id%s", r.id, request.Method, id, request.URL.Path, n, map[bool]string{true: ", its answer will be lost"}[lost])
	time.Sleep(r.work)
	if lost {
		// The run is complete; its answer is lost and the connection is reset.
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			if c, ok := connection.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			_ = connection.Close()
		}
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+r.id+"."+id)
	if r.events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range r.events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(cmp.Or(r.gap, 10*time.Millisecond))
		}
		return
	}
	text := fmt.Sprintf("%s ran %s\n", r.id, id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// setLoss sets which runs lose their answers.
func (r *replica) setLoss(lose func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseNext = lose
}

// deregister leaves without a word of draining: the replica goes on serving. It returns the
// node that acknowledged, and when.
func (r *replica) deregister() (by string, at time.Time) {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	body, _ := json.Marshal(object{"born": r.born})
	by = r.call("/dandelionhoist/Instances.Deregister/"+r.id, body)
	return by, time.Now()
}
