package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["twice"] = twice }

func plainRoute(name, prefix, kind, service string, timeoutMs, attempts int) object {
	return object{
		"Name": name, "Host": hostName, "PathPrefix": prefix, "RouteKind": kind, "TimeoutMs": timeoutMs, "SloMs": 100, "Priority": 1,
		"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
	}
}

func plainService(name string) object {
	return object{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0}
}

// twice: requests that are not idempotent and have no body, while the answers of some
// runs are lost by a reset (answer_lost).
func twice(folder, temporary string) (int, error) {
	s, err := newStand(3, 2, folder, temporary)
	if err != nil {
		return exitCannotRun, err
	}
	defer s.endAll()
	if err := s.startAll(); err != nil {
		return exitCannotRun, err
	}
	all := newRuns()
	var replicas []*replica
	for i := range 4 {
		r := &replica{s: s, service: "orders", zone: zone(i), ip: s.ip(1, i), id: fmt.Sprintf("i-order-%d", i), slots: 6, work: 15 * time.Millisecond, runs: all}
		if i >= 2 {
			r.service, r.id, r.events, r.slots = "model", fmt.Sprintf("i-model-%d", i), 4, 64
		}
		replicas = append(replicas, r)
		if err := r.start(); err != nil {
			return exitCannotRun, err
		}
	}
	stream := plainRoute("live-plan", "/plan/", "streaming", "model", 5000, 1)
	stream["ItlTargetMs"] = 1200
	routes := []object{plainRoute("order-place", "/order/", "non_idempotent", "orders", 1500, 1), stream}
	if err := s.configure(7, routes, []object{plainService("orders"), plainService("model")}, crew); err != nil {
		return exitCannotRun, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return exitCannotRun, err
	}
	time.Sleep(3 * time.Second)

	// The disruption: for 4 s, half of the replicas lose the answers of one in 20 of the
	// requests that they ran.
	var lost int
	var mu sync.Mutex
	if s.trouble {
		for _, i := range []int{0, 2} {
			n := 0
			replicas[i].setLoss(func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				if n++; n%20 != 0 {
					return false
				}
				lost++
				return true
			})
		}
		s.record.line("disruption: answer_lost, how reset, on %s and %s, one in 20 of their runs, for 4 s", replicas[0].id, replicas[2].id)
	}
	// Three clients for each kind of request, each on one kept connection.
	kinds := []struct{ name, method, path, header string }{
		{"get", http.MethodGet, "/order/", ""},
		{"post", http.MethodPost, "/order/", "Idempotency-Key"},
		{"stream", http.MethodGet, "/plan/", ""},
	}
	end := time.Now().Add(4 * time.Second)
	var group sync.WaitGroup
	answers := newTally()
	for k, kind := range kinds {
		for c := range 3 {
			group.Go(func() {
				client := newClient(s, s.entries[(k+c)%len(s.entries)])
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%04d", kind.name, c, n)
					header := map[string]string{}
					if kind.header != "" {
						header[kind.header] = id
					}
					answers.add(kind.name, client.ask(kind.method, kind.path+id, id, nil, header, 5*time.Second))
					time.Sleep(15 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	for _, r := range replicas {
		r.setLoss(nil)
	}
	time.Sleep(500 * time.Millisecond)
	all.mu.Lock()
	defer all.mu.Unlock()
	doubled := map[string]int{}
	for _, id := range orderedKeys(all.byID) {
		if all.byID[id] > 1 && !answers.again[id] {
			s.record.line("RULE TWICE: %s ran %d times, on %v", id, all.byID[id], all.where[id])
			doubled[strings.SplitN(id, "-", 2)[0]]++
		}
	}
	sum := fmt.Sprintf("%d requests, %d answers lost, ran twice by kind %v, answers %v, sent again by the clients' library %d",
		answers.all, lost, doubled, answers.counts, len(answers.again))
	s.record.line("sum: %s", sum)
	fmt.Println(sum)
	if answers.all < 100 {
		return exitCannotRun, fmt.Errorf("only %d requests ended", answers.all)
	}
	if len(doubled) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
