package dhsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// anyone stands for every VM on one side of a link.
const anyone = "*"

// link is the path of bytes from one VM or backend server to another.
type link struct{ from, to string }

// network relays the connections of a run and applies the faults of its links.
type network struct {
	timers dhtimer.Service
	group  *dhgroup.Group

	mu sync.Mutex
	// names maps source IPs to VMs.
	names map[string]string
	// cuts counts the faults that hold back the bytes of a link.
	cuts   map[link]int
	delays map[link]time.Duration
	conns  map[*relay]struct{}
	// changed is closed and replaced when a cut ends.
	changed chan struct{}
}

func newNetwork(timers dhtimer.Service, group *dhgroup.Group) *network {
	return &network{
		timers: timers, group: group, names: make(map[string]string), cuts: make(map[link]int),
		delays: make(map[link]time.Duration), conns: make(map[*relay]struct{}), changed: make(chan struct{}),
	}
}

// name tells which VM or backend server calls from an IP.
func (n *network) name(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = name
}

// relay is one connection through the network.
type relay struct {
	network        *network
	from, to       string
	caller, called *net.TCPConn
	// silent connections pass no more bytes and are never closed.
	silent bool
}

// listen relays connections to address on to target, which belongs to the VM or
// backend server name.
func (n *network) listen(name, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return listener.Close()
	})
	n.group.Go(func(ctx context.Context) error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			n.group.Go(func(ctx context.Context) error {
				n.relay(ctx, conn.(*net.TCPConn), name, target)
				return nil
			})
		}
	})
	return nil
}

// relay passes bytes both ways until both sides have ended.
func (n *network) relay(ctx context.Context, caller *net.TCPConn, to, target string) {
	source, _, _ := net.SplitHostPort(caller.RemoteAddr().String()) // a TCP address has both
	n.mu.Lock()
	r := &relay{network: n, from: n.names[source], to: to, caller: caller}
	n.mu.Unlock()
	defer func() { _ = caller.Close() }()
	if n.pass(ctx, link{r.from, to}) != nil {
		return
	}
	called, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		abort(caller)
		return
	}
	r.called = called.(*net.TCPConn)
	n.mu.Lock()
	n.conns[r] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, r)
		n.mu.Unlock()
		_ = r.called.Close()
	}()
	pumps := dhgroup.New(ctx)
	pumps.Go(func(ctx context.Context) error { return r.pump(ctx, r.caller, r.called, link{r.from, to}) })
	pumps.Go(func(ctx context.Context) error { return r.pump(ctx, r.called, r.caller, link{to, r.from}) })
	pumps.Go(func(ctx context.Context) error {
		<-ctx.Done() // both pumps have ended, one has failed, or the run ends
		abort(r.caller)
		abort(r.called)
		return nil
	})
	_ = pumps.Wait() // errors of connections are what this program makes
}

// errEnded ends the relay when one direction has failed.
var errEnded = errors.New("connection ended")

// pump copies one direction. An end of the bytes is passed on as such, a failure
// as a reset.
func (r *relay) pump(ctx context.Context, from, to *net.TCPConn, path link) error {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		r.network.mu.Lock()
		silent, delay := r.silent, r.network.delay(path)
		r.network.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil
		}
		if delay > 0 && dhtimer.Sleep(ctx, r.network.timers, delay) != nil {
			return errEnded
		}
		if r.network.pass(ctx, path) != nil {
			return errEnded
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
			return errEnded
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // a reset side needs no end
			if from == r.called {
				// Servers close when they want no more requests: the caller must
				// not send on a connection that nobody reads.
				return errEnded
			}
			return nil
		}
		if err != nil {
			return errEnded
		}
	}
}

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0) // the connection may have ended
	_ = c.Close()
}

// each returns the links with wildcards that a link belongs to.
func (l link) each() [4]link {
	return [4]link{l, {l.from, anyone}, {anyone, l.to}, {anyone, anyone}}
}

func (n *network) delay(path link) time.Duration {
	total := time.Duration(0)
	for _, l := range path.each() {
		total += n.delays[l]
	}
	return total
}

// pass waits until the link is not cut.
func (n *network) pass(ctx context.Context, path link) error {
	for {
		n.mu.Lock()
		cut := 0
		for _, l := range path.each() {
			cut += n.cuts[l]
		}
		changed := n.changed
		n.mu.Unlock()
		if cut == 0 {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// cut holds back the bytes of links until the returned function is called.
func (n *network) cut(links ...link) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cuts[l]++
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, l := range links {
			n.cuts[l]--
		}
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// slow delays the bytes of a link until the returned function is called.
func (n *network) slow(l link, delay time.Duration) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[l] += delay
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.delays[l] -= delay
	}
}

// reset ends the open connections of a VM or backend server.
func (n *network) reset(name string) {
	for _, r := range n.open(name) {
		abort(r.caller)
		abort(r.called)
	}
}

// silence stops the open connections of a VM or backend server without closing them.
func (n *network) silence(name string) {
	open := n.open(name)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range open {
		r.silent = true
	}
}

func (n *network) open(name string) []*relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*relay
	for r := range n.conns {
		if name == anyone || r.from == name || r.to == name {
			list = append(list, r)
		}
	}
	return list
}
