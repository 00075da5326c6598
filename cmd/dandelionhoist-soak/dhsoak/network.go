package dhsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// wildcard matches every VM and backend server on one side of a link.
const wildcard = "*"

// link is one direction of the traffic between two VMs or backend servers.
type link struct{ from, to string }

// network relays the connections of a run and applies faults to its links.
type network struct {
	timers dhtimer.Service
	group  *dhgroup.Group

	mu sync.Mutex
	// sourceNames maps source IPs to VMs.
	sourceNames map[string]string
	// cuts counts the faults that block a link.
	cuts   map[link]int
	delays map[link]time.Duration
	conns  map[*relay]struct{}
	// changed is closed and replaced when a cut ends.
	changed chan struct{}
}

func newNetwork(timers dhtimer.Service, group *dhgroup.Group) *network {
	return &network{
		timers: timers, group: group, sourceNames: make(map[string]string), cuts: make(map[link]int),
		delays: make(map[link]time.Duration), conns: make(map[*relay]struct{}), changed: make(chan struct{}),
	}
}

// register records which VM or backend server connects from an IP.
func (n *network) register(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceNames[ip] = name
}

// relay is one connection through the network.
type relay struct {
	network        *network
	from, to       string
	caller, callee *net.TCPConn
	// silent is true if the connection forwards no more bytes and is not closed.
	silent bool
}

// listen accepts connections at address and relays them to target, which belongs
// to the VM or backend server name.
func (n *network) listen(name, address, target string) error {
	listener, err := n.bind(address)
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

// bind opens an address. It retries while the address is in use: a process forked by
// the run holds a copy of a closed listener until its exec.
func (n *network) bind(address string) (net.Listener, error) {
	const (
		tries = 250
		pause = 20 * time.Millisecond
	)
	for try := 0; ; try++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || try == tries || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		if err := dhtimer.Sleep(n.group.Context(), n.timers, pause); err != nil {
			return nil, err
		}
	}
}

// relay forwards bytes in both directions until both sides have closed.
func (n *network) relay(ctx context.Context, caller *net.TCPConn, to, target string) {
	source, _, _ := net.SplitHostPort(caller.RemoteAddr().String()) // a TCP address has both
	n.mu.Lock()
	r := &relay{network: n, from: n.sourceNames[source], to: to, caller: caller}
	n.mu.Unlock()
	defer func() { _ = caller.Close() }()
	if n.waitWhileCut(ctx, link{r.from, to}) != nil {
		return
	}
	callee, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		abort(caller)
		return
	}
	r.callee = callee.(*net.TCPConn)
	n.mu.Lock()
	n.conns[r] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, r)
		n.mu.Unlock()
		_ = r.callee.Close()
	}()
	pumps := dhgroup.New(ctx)
	pumps.Go(func(ctx context.Context) error { return r.pump(ctx, r.caller, r.callee, link{r.from, to}) })
	pumps.Go(func(ctx context.Context) error { return r.pump(ctx, r.callee, r.caller, link{to, r.from}) })
	pumps.Go(func(ctx context.Context) error {
		<-ctx.Done() // both pumps have ended, one has failed, or the run ends
		abort(r.caller)
		abort(r.callee)
		return nil
	})
	_ = pumps.Wait() // connection errors are expected: the run injects them
}

// errEnded ends the relay when one direction has failed.
var errEnded = errors.New("connection ended")

// pump copies bytes in one direction. It forwards EOF as a half-close; after an
// error the relay resets both connections.
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
		if r.network.waitWhileCut(ctx, path) != nil {
			return errEnded
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
			return errEnded
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite() // the connection may have been reset
			if from == r.callee {
				// A server closes its side when it accepts no more requests. The
				// relay ends both connections, so that the caller does not send a
				// request that nobody reads.
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

// matchingKeys returns the link and the wildcard links that include it.
func (l link) matchingKeys() [4]link {
	return [4]link{l, {l.from, wildcard}, {wildcard, l.to}, {wildcard, wildcard}}
}

func (n *network) delay(path link) time.Duration {
	total := time.Duration(0)
	for _, l := range path.matchingKeys() {
		total += n.delays[l]
	}
	return total
}

// waitWhileCut waits until no fault blocks the link.
func (n *network) waitWhileCut(ctx context.Context, path link) error {
	for {
		n.mu.Lock()
		cut := 0
		for _, l := range path.matchingKeys() {
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

// cut blocks links until the returned function is called.
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

// addDelay adds a delay to a link until the returned function is called.
func (n *network) addDelay(l link, delay time.Duration) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[l] += delay
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.delays[l] -= delay
	}
}

// reset aborts the open connections of a VM or backend server.
func (n *network) reset(name string) {
	for _, r := range n.open(name) {
		abort(r.caller)
		abort(r.callee)
	}
}

// silence stops forwarding on the open connections of a VM or backend server
// without closing them.
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
		if name == wildcard || r.from == name || r.to == name {
			list = append(list, r)
		}
	}
	return list
}
