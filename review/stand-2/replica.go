package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a plain service.
type replica struct {
	deployment        *deployment
	id, service, ip   string
	zone, version     string
	slots             int
	work              time.Duration
	born              time.Time
	sequence          atomic.Uint64
	active            atomic.Int64
	runs              atomic.Int64
	server            *http.Server
	ran               func(id, tenant string, at time.Time)
	mu                sync.Mutex
	draining, stopped bool
}

func (d *deployment) addReplicas(service string, n, slots int, work time.Duration, ran func(id, tenant string, at time.Time)) {
	for i := range n {
		d.replicas = append(d.replicas, &replica{
			deployment: d, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service,
			ip: fmt.Sprintf("%s.%d", d.network, 101+len(d.replicas)), zone: zone(i), version: "v1", slots: slots, work: work, ran: ran,
		})
	}
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", address(r.ip, portReplica))
	if err != nil {
		return err
	}
	r.born = time.Now()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	return nil
}

// beat sends heartbeats, each to the next machine until one is acknowledged.
func (r *replica) beat() {
	next := int(r.ip[len(r.ip)-1])
	for {
		r.mu.Lock()
		stopped, state := r.stopped, "ready"
		if r.draining {
			state = "draining"
		}
		r.mu.Unlock()
		if stopped {
			return
		}
		body, err := json.Marshal(map[string]any{
			"Service": r.service, "Address": address(r.ip, portReplica), "Zone": r.zone, "Version": r.version, "Slots": r.slots,
			"State": state, "ColdLeftMs": 0, "Sequence": r.sequence.Add(1), "born": r.born.UnixMilli(),
		})
		if err != nil {
			panic(err)
		}
		controls := r.deployment.controls
		for try := range len(controls) {
			m := controls[(next+try)%len(controls)]
			if status, _ := call("POST", address(m.ip, portControl), "/dandelionhoist/Instances.Heartbeat/"+r.id, body); status == http.StatusOK {
				break
			}
			next++
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.active.Add(1) > int64(r.slots+24) {
		r.active.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.active.Add(-1)
	n := r.runs.Add(1)
	now := time.Now()
	r.deployment.record.add("%s runs %s of tenant %s", r.id, id, request.Header.Get("Tenant"))
	if r.ran != nil {
		r.ran(id, request.Header.Get("Tenant"), now)
	}
	sleep(request.Context(), r.work)
	text := fmt.Sprintf("%s answers %s\n", r.id, id)
	w.Header().Set("Server-Seal", fmt.Sprintf("seal-%s-%d", r.id, n))
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write([]byte(text))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
