package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["term"] = term }

// term: one edge machine gets SIGTERM (roll_term). While it is still in rotation, clients
// on a slow link begin to send it prompts, whose last bytes come 3.4 to 4.3 s after the
// SIGTERM.
func term(folder, temporary string) (int, error) {
	const (
		clients = 10
		events  = 40
		pieces  = 30
	)
	s, err := newStand(3, 2, folder, temporary)
	if err != nil {
		return exitCannotRun, err
	}
	defer s.endAll()
	if err := s.startAll(); err != nil {
		return exitCannotRun, err
	}
	all := newRuns()
	for i := range 3 {
		r := &replica{
			s: s, service: "model", zone: zone(i), ip: s.ip(1, i), id: fmt.Sprintf("i-model-%d", i), slots: 64, work: 100 * time.Millisecond,
			events: events, gap: 150 * time.Millisecond, runs: all,
		}
		if err := r.start(); err != nil {
			return exitCannotRun, err
		}
	}
	stream := plainRoute("plan", "/plan/", "streaming", "model", 20000, 1)
	stream["SloMs"], stream["ItlTargetMs"] = 4000, 2000
	if err := s.configure(7, []object{stream}, []object{plainService("model")}, crew); err != nil {
		return exitCannotRun, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return exitCannotRun, err
	}
	time.Sleep(5 * time.Second)

	// The platform's readiness checks of the machine, once a second; two misses take it out.
	leaving := s.entries[0]
	misses := 0
	var mu sync.Mutex
	check := func() {
		ok := s.ready(leaving)
		mu.Lock()
		defer mu.Unlock()
		if misses++; ok {
			misses = 0
		}
		s.record.line("platform: readiness check of %s: %v, misses in a row %d", leaving.name, ok, misses)
	}
	check()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				check()
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	if s.trouble {
		s.record.line("disruption: roll_term, %s", leaving.name)
		s.signal(leaving, syscall.SIGTERM)
		leaving.mu.Lock()
		exited := leaving.exited
		leaving.mu.Unlock()
		go func() {
			select {
			case <-exited:
				s.record.line("platform: %s has ended", leaving.name)
			case <-time.After(8 * time.Second):
				s.signal(leaving, syscall.SIGKILL)
			}
		}()
	}
	var group sync.WaitGroup
	lost, whole, refused := 0, 0, 0
	for c := range clients {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(800+50*c) * time.Millisecond)))
			mu.Lock()
			inRotation := misses < 2
			mu.Unlock()
			if !inRotation {
				s.record.line("client %d: the machine is out of rotation", c)
				return
			}
			connection, err := net.Dial("tcp", net.JoinHostPort(leaving.ip, fmt.Sprint(portFrontend)))
			if err != nil {
				s.record.line("client %d: %v", c, err)
				return
			}
			defer func() { _ = connection.Close() }()
			id := fmt.Sprintf("plan-%02d", c)
			piece := strings.Repeat("measure ", 50)
			_, err = fmt.Fprintf(connection, "POST /plan/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n",
				id, hostName, id, clientKey, pieces*len(piece))
			s.record.line("client %d connects and sends the head of %s %.2f s after the SIGTERM: %v", c, id, time.Since(began).Seconds(), err)
			for range pieces {
				time.Sleep(100 * time.Millisecond)
				if _, err = io.WriteString(connection, piece); err != nil {
					break
				}
			}
			sent := time.Now()
			s.record.line("client %d sends the last byte of %s %.2f s after the SIGTERM: %v", c, id, sent.Sub(began).Seconds(), err)
			_ = connection.SetReadDeadline(time.Now().Add(16 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			var body []byte
			status := 0
			if err == nil {
				status = response.StatusCode
				body, err = io.ReadAll(response.Body)
			}
			n := strings.Count(string(body), "id: ")
			s.record.line("client %d gets status %d, %d of %d events, end of the answer: %v, %.2f s after the SIGTERM", c, status, n, events, err, time.Since(began).Seconds())
			all.mu.Lock()
			ran := all.byID[id]
			all.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK && err == nil && n == events:
				whole++
			case ran > 0 && err != nil && sent.Sub(began) > 3*time.Second:
				lost++
				s.record.line("RULE LOST: %s was sent by %.2f s after the SIGTERM, read whole and passed on, and its connection ended without a complete answer", id, sent.Sub(began).Seconds())
			default:
				refused++
			}
		})
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	sum := fmt.Sprintf("%d requests: %d whole, %d lost, %d refused or not read", whole+lost+refused, whole, lost, refused)
	s.record.line("sum: %s", sum)
	fmt.Println(sum)
	if whole+lost+refused < clients/2 {
		return exitCannotRun, fmt.Errorf("only %d requests were sent", whole+lost+refused)
	}
	if lost > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
