package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// cutTime is for_s of node_cut, and one of entryMachines is its share.
	cutTime       = 5500 * time.Millisecond
	entryMachines = 6
	// moreRoutes is twice the count of big_config.
	moreRoutes = 700
	rounds     = 11
	// perSecond is the number of requests a second of the client account whose keys are taken
	// away, at the machine that is cut off. Their deadline is that of stock-look.
	perSecond = 200
	deadline  = 1500 * time.Millisecond
	// connectionCount is the number of connections to the machine that they keep open.
	connectionCount = 60
)

func tenants(revoked map[string]bool) []map[string]any {
	var list []map[string]any
	for i := range 10 {
		var keys []string
		for k := range rounds + 1 {
			if key := fmt.Sprintf("key-of-tenant-%d-%d", i, k); !revoked[key] {
				keys = append(keys, key)
			}
		}
		list = append(list, map[string]any{"Name": fmt.Sprintf("tenant-%d", i), "ApiKeys": keys, "Priority": 1})
	}
	return list
}

// revoked checks that no request runs that was sent with a key later than RevokeMs after it was
// taken away.
type revoked struct {
	d       *deployment
	clients sync.WaitGroup

	mu     sync.Mutex
	number int
	sent   map[string]time.Time // by id
	keys   map[string]string    // by id
	limits map[string]time.Time // by key
	counts map[string]int       // by answer
	broken int
}

// ran is called when a replica runs a request.
func (c *revoked) ran(id, _ string, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end, taken := c.limits[c.keys[id]]; taken && c.sent[id].After(end) {
		c.broken++
		c.d.record.add("BROKEN: %s runs, sent %.3f s after RevokeMs with %s", id, c.sent[id].Sub(end).Seconds(), c.keys[id])
	}
}

// kept is a connection that a client keeps open for many requests.
type kept struct {
	net.Conn
	in *bufio.Reader
}

func open(m *machine) (*kept, error) {
	conn, err := net.DialTimeout("tcp", address(m.ip, portFrontend), time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// attempt sends a request on a connection and returns its answer. reusable is set if the
// connection may be used again.
func (c *revoked) attempt(conn *kept, m *machine, key string, left time.Duration) (status string, retryAfter time.Duration, reusable bool) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.counts[status]++
	}()
	now := time.Now()
	_ = conn.SetDeadline(now.Add(left))
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%016x", c.number)
	c.keys[id], c.sent[id] = key, now
	c.mu.Unlock()
	fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", host, id, left.Milliseconds(), key)
	response, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		c.d.record.add("client: %s to %s with %s, sent at %.4f: no answer", id, m.name, key, now.Sub(c.d.record.start).Seconds())
		return "no answer", 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	c.d.record.add("client: %s to %s with %s, sent at %.4f: %d", id, m.name, key, now.Sub(c.d.record.start).Seconds(), response.StatusCode)
	return fmt.Sprint(response.StatusCode), time.Duration(seconds * float64(time.Second)), err == nil && !response.Close
}

// client sends a request on a kept connection, and once more after the time that a refusal
// names, on a new connection, which reaches another machine.
func (c *revoked) client(m *machine, connections chan *kept, key string) {
	defer c.clients.Done()
	begun := time.Now()
	conn := <-connections
	status, after, reusable := c.attempt(conn, m, key, deadline)
	if !reusable {
		_ = conn.Close()
		var err error
		if conn, err = open(m); err != nil {
			return // one connection less
		}
	}
	connections <- conn
	if status != "503" && status != "no answer" {
		return
	}
	time.Sleep(after)
	other := m
	for other == m {
		other = c.d.entries[rand.IntN(len(c.d.entries))]
	}
	if left := deadline - time.Since(begun); left > 0 {
		if conn, err := open(other); err == nil {
			c.attempt(conn, other, key, left)
			_ = conn.Close()
		}
	}
}

// send sends requests to a machine until stop is closed.
func (c *revoked) send(m *machine, key string, stop chan struct{}) {
	defer c.clients.Done()
	connections := make(chan *kept, connectionCount)
	for range connectionCount {
		conn, err := open(m)
		if err != nil {
			c.d.record.add("no connection to %s: %v", m.name, err)
			continue
		}
		connections <- conn
	}
	defer func() {
		for len(connections) > 0 {
			_ = (<-connections).Close()
		}
	}()
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
			c.clients.Add(1)
			go c.client(m, connections, key)
		}
	}
}

// revokedKey cuts an entry machine off from the control machines, takes a key away meanwhile,
// and sends requests with it to this machine all the time.
func revokedKey(d *deployment) (broken int, err error) {
	if err := d.build(3, entryMachines); err != nil {
		return 0, err
	}
	c := &revoked{d: d, sent: make(map[string]time.Time), keys: make(map[string]string), limits: make(map[string]time.Time), counts: make(map[string]int)}
	d.addReplicas("app", 4, 30, 10*time.Millisecond, c.ran)
	if err := d.startAll(); err != nil {
		return 0, err
	}
	taken := make(map[string]bool)
	version := 3
	if _, err := d.order("POST", "/dandelionhoist/Config.Replace", newConfiguration(version, moreRoutes, tenants(taken)).encode(), 0); err != nil {
		return 0, err
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	for round := range rounds {
		m, key, stop := d.entries[round%len(d.entries)], fmt.Sprintf("key-of-tenant-1-%d", round), make(chan struct{})
		c.clients.Add(1)
		go c.send(m, key, stop)
		time.Sleep(500 * time.Millisecond)
		cutAt := time.Now()
		if d.trouble {
			d.links.cutOff(m.ip)
			d.record.add("%s is cut off from the control machines", m.name)
		}
		taken[key] = true
		version += 2
		acknowledged, err := d.order("POST", "/dandelionhoist/Config.Replace", newConfiguration(version, moreRoutes, tenants(taken)).encode(), round)
		if err != nil {
			return 0, err
		}
		c.mu.Lock()
		c.limits[key] = acknowledged.Add(revokeBound)
		c.mu.Unlock()
		time.Sleep(time.Until(cutAt.Add(cutTime)))
		if d.trouble {
			d.links.heal(m.ip)
			d.record.add("%s is no longer cut off", m.name)
		}
		time.Sleep(1500 * time.Millisecond)
		close(stop)
		time.Sleep(time.Second)
	}
	c.clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for status, n := range c.counts {
		list = append(list, fmt.Sprintf("%s: %d", status, n))
	}
	d.record.add("attempts by answer: %s", strings.Join(list, ", "))
	fmt.Println(strings.Join(list, ", "))
	return c.broken, nil
}
