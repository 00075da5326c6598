package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// clients send requests to machines at a steady rate, each on a connection of its own, and
// remember when and where to.
type clients struct {
	d    *deployment
	work sync.WaitGroup
	stop chan struct{}

	mu     sync.Mutex
	number int
	sent   map[string]time.Time // by id
	paths  map[string]string    // by id
	counts map[string]int       // by path and answer
}

func newClients(d *deployment) *clients {
	return &clients{d: d, stop: make(chan struct{}), sent: make(map[string]time.Time), paths: make(map[string]string), counts: make(map[string]int)}
}

// run sends requests with a method and a path to a machine until stop is closed.
func (c *clients) run(m *machine, method, path string, perSecond int) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
				c.work.Add(1)
				go func() {
					defer c.work.Done()
					c.request(m, method, path)
				}()
			}
		}
	}()
}

// request sends one request and returns the status of its answer, or 0 without one.
func (c *clients) request(m *machine, method, path string) int {
	conn, err := net.DialTimeout("tcp", address(m.ip, portFrontend), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	now := time.Now()
	_ = conn.SetDeadline(now.Add(1500 * time.Millisecond))
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%016x", c.number)
	c.sent[id], c.paths[id] = now, path
	c.mu.Unlock()
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 5\r\n"
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer key-of-tenant-1-0\r\n%s\r\n", method, path, host, id, length)
	if method == http.MethodPost {
		fmt.Fprint(conn, "order")
	}
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		status = response.StatusCode
	}
	c.d.record.add("client: %s %s %s to %s, sent at %.4f: %d", id, method, path, m.name, now.Sub(c.d.record.start).Seconds(), status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("%s %d", path, status)]++
	return status
}

func (c *clients) end() {
	close(c.stop)
	c.work.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.record.add("requests by path and answer: %v", c.counts)
	fmt.Println(c.counts)
}

// otherWriter sends one call to the registry of replicas, to one control machine after the other
// until it is acknowledged, as replicas do.
func (d *deployment) otherWriter(path, body string) {
	for _, m := range d.controls {
		status, text := call(http.MethodPost, address(m.ip, portControl), path, []byte(body))
		d.record.add("another writer: POST %s %s to %s: %d %s", path, body, m.name, status, text)
		if status == http.StatusOK {
			return
		}
	}
}

// unreadableLeave lets another writer deregister an id that cannot be read, and then moves a
// public route to another service.
func unreadableLeave(d *deployment) (broken int, err error) {
	if err := d.build(3, 2); err != nil {
		return 0, err
	}
	c := newClients(d)
	var limit time.Time // ConfigApplyMs after the acknowledgement; guarded by the mutex of c
	ranByOld := func(id, _ string, _ time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.paths[id] == "/open/x" && !limit.IsZero() && c.sent[id].After(limit) {
			broken++
			d.record.add("BROKEN: %s is run by the old service, sent %.3f s after ConfigApplyMs", id, c.sent[id].Sub(limit).Seconds())
		}
	}
	d.addReplicas("app", 2, 30, 10*time.Millisecond, ranByOld)
	d.addReplicas("desk", 2, 30, 10*time.Millisecond, nil)
	if err := d.startAll(); err != nil {
		return 0, err
	}
	config := func(version int, service string) []byte {
		c := newConfiguration(version, 0, tenants(nil))
		c.addService("desk")
		c.addRoute("open", "/open/", "idempotent", service, true)
		return c.encode()
	}
	if _, err := d.order(http.MethodPost, "/dandelionhoist/Config.Replace", config(3, "app"), 0); err != nil {
		return 0, err
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	for _, m := range d.entries {
		c.run(m, http.MethodGet, "/open/x", 20)
		c.run(m, http.MethodGet, "/look/x", 20)
	}
	time.Sleep(2 * time.Second)
	if d.trouble {
		d.otherWriter("/dandelionhoist/Instances.Deregister/i-%FF", `{"born":1}`)
	}
	time.Sleep(2 * time.Second)
	acknowledged, err := d.order(http.MethodPost, "/dandelionhoist/Config.Replace", config(5, "desk"), 1)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	limit = acknowledged.Add(applyBound)
	c.mu.Unlock()
	time.Sleep(20 * time.Second)
	c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	return broken, nil
}

// partialHeartbeat lets another writer send a heartbeat without Version and ColdLeftMs.
// It names no replica to use: no replica of another service may run orders.
func partialHeartbeat(d *deployment) (broken int, err error) {
	if err := d.build(3, 2); err != nil {
		return 0, err
	}
	c := newClients(d)
	d.addReplicas("app", 3, 30, 10*time.Millisecond, nil)
	d.addReplicas("desk", 2, 30, 10*time.Millisecond, func(id, _ string, _ time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.paths[id] == "/order/x" {
			broken++
			d.record.add("BROKEN: %s is run by the service desk", id)
		}
	})
	if err := d.startAll(); err != nil {
		return 0, err
	}
	config := newConfiguration(3, 0, tenants(nil))
	config.addService("desk")
	config.addRoute("desk", "/desk/", "idempotent", "desk", false)
	if _, err := d.order(http.MethodPost, "/dandelionhoist/Config.Replace", config.encode(), 0); err != nil {
		return 0, err
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	for _, m := range d.entries {
		c.run(m, http.MethodPost, "/order/x", 20)
		c.run(m, http.MethodGet, "/desk/x", 10)
	}
	time.Sleep(2 * time.Second)
	if d.trouble {
		desk := d.replicas[3]
		d.otherWriter("/dandelionhoist/Instances.Heartbeat/"+desk.id,
			fmt.Sprintf(`{"Service":"app","Address":%q,"Zone":%q,"Slots":30,"State":"ready","Sequence":1,"born":%d}`, address(desk.ip, portReplica), desk.zone, time.Now().UnixMilli()))
	}
	time.Sleep(15 * time.Second)
	c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	return broken, nil
}
