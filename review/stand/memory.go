package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["memory"] = memory }

// anonymousMb returns the memory of a process without that of its files.
func anonymousMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// limitMemory does what the platform does: a process that uses more than MemoryMb is
// killed, and started again after a short delay.
func (s *stand) limitMemory(m *machine, ends *atomic.Int64, most *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		pid := m.command.Process.Pid
		m.mu.Unlock()
		used := anonymousMb(pid)
		if int64(used) > most.Load() {
			most.Store(int64(used))
		}
		if used <= m.memoryMb {
			continue
		}
		s.record.line("platform: %s uses %d MB, its MemoryMb is %d: it is killed", m.name, used, m.memoryMb)
		ends.Add(1)
		s.kill(m)
		time.Sleep(500 * time.Millisecond)
		if err := s.start(m); err != nil {
			s.record.line("platform: %s does not start: %v", m.name, err)
			return
		}
	}
}

// memory: requests with long prompts, within MaxBodyBytes, while one tenant sends 7.5 times
// its usual (hot_tenant), four times for 6.5 s.
func memory(folder, temporary string) (int, error) {
	const (
		usual     = 15
		hot       = 112
		bodyBytes = 4 << 20 // MaxBodyBytes of PROTOCOL.md
	)
	s, err := newStand(3, 3, folder, temporary)
	if err != nil {
		return exitCannotRun, err
	}
	defer s.endAll()
	if err := s.startAll(); err != nil {
		return exitCannotRun, err
	}
	all := newRuns()
	for i := range 6 {
		r := &replica{
			s: s, service: "model", zone: zone(i), ip: s.ip(1, i), id: fmt.Sprintf("i-model-%d", i), slots: 64, work: 100 * time.Millisecond,
			events: 40, gap: 60 * time.Millisecond, runs: all,
		}
		if err := r.start(); err != nil {
			return exitCannotRun, err
		}
	}
	stream := plainRoute("plan", "/plan/", "streaming", "model", 20000, 3)
	stream["SloMs"], stream["ItlTargetMs"], stream["Resumable"] = 4000, 2000, true
	if err := s.configure(7, []object{stream}, []object{plainService("model")}, crew); err != nil {
		return exitCannotRun, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return exitCannotRun, err
	}
	for i, m := range s.entries {
		if err := s.writeSettings(m, len(s.controls)+i, false); err != nil {
			return exitCannotRun, err
		}
	}
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	ends, most := make([]atomic.Int64, len(s.entries)), make([]atomic.Int64, len(s.entries))
	var watchers, clients sync.WaitGroup
	for i, m := range s.entries {
		watchers.Go(func() { s.limitMemory(m, &ends[i], &most[i], stop) })
	}
	answers := newTally()
	body := bytes.Repeat([]byte("measure "), bodyBytes/8)
	var numbers atomic.Int64
	run := func(n int, until time.Time) {
		for c := range n {
			clients.Go(func() {
				client := newClient(s, s.entries[c%len(s.entries)])
				defer func() { client.transport.CloseIdleConnections() }()
				for time.Now().Before(until) {
					id := fmt.Sprintf("plan-%05d", numbers.Add(1))
					r := client.ask(http.MethodPost, "/plan/"+id, id, body, nil, 20*time.Second)
					answers.add("plan", r)
					if r.code == http.StatusOK && r.whole {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					// The next connection goes to another machine, as the platform's balancer
					// does with new connections.
					client.transport.CloseIdleConnections()
					client = newClient(s, s.entries[rand.IntN(len(s.entries))])
					time.Sleep(time.Second)
				}
			})
		}
	}
	began := time.Now()
	run(usual, began.Add(48*time.Second))
	if s.trouble {
		for i := range 4 {
			time.Sleep(time.Until(began.Add(time.Duration(3+11*i) * time.Second)))
			s.record.line("disruption: hot_tenant, x 7.5, for 6.5 s")
			run(hot-usual, time.Now().Add(6500*time.Millisecond))
		}
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	machines := 0
	text := ""
	for i, m := range s.entries {
		if ends[i].Load() >= 3 {
			machines++
		}
		text += fmt.Sprintf(" %s: %d ends, most %d MB;", m.name, ends[i].Load(), most[i].Load())
	}
	if machines >= 2 {
		s.record.line("RULE Fault: on %d of %d machines in use the process ended three times or more for its memory", machines, len(s.entries)+len(s.controls))
	}
	sum := fmt.Sprintf("%d requests,%s answers %v", answers.all, text, answers.counts)
	s.record.line("sum: %s", sum)
	fmt.Println(sum)
	if answers.all < 100 {
		return exitCannotRun, fmt.Errorf("only %d requests ended", answers.all)
	}
	if machines >= 2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
