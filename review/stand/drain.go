package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = drain }

// drain: a replica deregisters and goes on serving for a while; all processes of the core
// are killed and come back within a second (herd_kill on core); a heartbeat that the
// replica sent before it deregistered arrives some seconds late.
func drain(folder, temporary string) (int, error) {
	s, err := newStand(3, 3, folder, temporary)
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
		r := &replica{s: s, service: "orders", zone: zone(i), ip: s.ip(1, i), id: fmt.Sprintf("i-order-%d", i), slots: 6, work: 60 * time.Millisecond, runs: all}
		replicas = append(replicas, r)
		if err := r.start(); err != nil {
			return exitCannotRun, err
		}
	}
	routes := []object{plainRoute("order-place", "/order/", "non_idempotent", "orders", 1500, 1)}
	if err := s.configure(7, routes, []object{plainService("orders")}, crew); err != nil {
		return exitCannotRun, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return exitCannotRun, err
	}
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var group sync.WaitGroup
	answers := newTally()
	for c := range 12 {
		group.Go(func() {
			client := newClient(s, s.entries[c%len(s.entries)])
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("order-%d-%04d", c, n)
				answers.add("order", client.ask(http.MethodPost, "/order/"+id, id, []byte("two poles"), nil, 1500*time.Millisecond))
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := replicas[3]
	latePath, lateBody := leaving.heartbeat()
	made := time.Now()
	s.record.line("replica %s sends a heartbeat that will arrive late: %s", leaving.id, lateBody)
	time.Sleep(200 * time.Millisecond)
	by, acknowledged := leaving.deregister()
	s.record.line("replica %s: Deregister acknowledged by %q; it goes on serving", leaving.id, by)
	if by == "" {
		return exitCannotRun, fmt.Errorf("the deregistration was not acknowledged")
	}
	time.Sleep(700 * time.Millisecond)
	calm := time.Now()
	if s.trouble {
		s.record.line("disruption: herd_kill on core")
		for _, m := range s.controls {
			s.signal(m, syscall.SIGKILL)
		}
		time.Sleep(700 * time.Millisecond)
		for i, m := range s.controls {
			s.kill(m)
			if err := s.writeSettings(m, i, false); err != nil {
				return exitCannotRun, err
			}
			if err := s.start(m); err != nil {
				return exitCannotRun, err
			}
		}
		calm = time.Now()
	}
	time.Sleep(time.Until(made.Add(6 * time.Second)))
	late := leaving.call(latePath, lateBody)
	s.record.line("replica %s: its heartbeat of %.1f s ago arrives at %q", leaving.id, time.Since(made).Seconds(), late)
	// The replica ends while requests are sent to it: what it runs then is lost.
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	_ = leaving.server.Close()
	s.record.line("replica %s ends %.1f s after its deregistration was acknowledged", leaving.id, time.Since(acknowledged).Seconds())
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	// In touch: ContactMs after the last event of the core, and no other disruption.
	from := acknowledged.Add(2 * time.Second)
	if touch := calm.Add(3 * time.Second); touch.After(from) {
		from = touch
	}
	leaving.mu.Lock()
	n := 0
	for _, at := range leaving.arrivals {
		if at.After(from) {
			n++
		}
	}
	leaving.mu.Unlock()
	if n > 0 {
		s.record.line("RULE DRAIN: %d requests reached %s later than DrainMs after its deregistration was acknowledged, from machines in touch", n, leaving.id)
	}
	sum := fmt.Sprintf("%d requests, %d reached the replica too late, answers %v", answers.all, n, answers.counts)
	s.record.line("sum: %s", sum)
	fmt.Println(sum)
	if answers.all < 200 {
		return exitCannotRun, fmt.Errorf("only %d requests ended", answers.all)
	}
	if n > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
