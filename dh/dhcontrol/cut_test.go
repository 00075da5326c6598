package dhcontrol_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdetour"
	"dandelionhoist.example/dh/dhentry"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

// The bound on VMs that are cut off from all backend servers, from cutContact on: they serve
// at least cutServedFraction as often as the others, or at most cutAllowed and one in
// cutAllowedEach first tries fail there.
const (
	cutContact        = 3 * time.Second
	cutServedFraction = 2.0 / 3
	cutAllowed        = 10
	cutAllowedEach    = 50
)

// cutPool is a pool of backend servers that some entry VMs cannot reach.
type cutPool struct {
	*cluster
	group  *dhgroup.Group
	random *rand.Rand

	mu    sync.Mutex
	cut   map[string]bool
	tries []cutTry
	// direct and relayed count the connections of each VM and through each relay.
	direct  map[string]int
	relayed map[string]int
	dead    map[string]bool
	refuses bool
}

// cutTry is a first try of a caller.
type cutTry struct {
	vm string
	at time.Time
	ok bool
}

// cutTransport sends the requests of one entry VM.
type cutTransport struct {
	pool *cutPool
	vm   string
}

// dialTime is how long a connection to an address behind a cut is tried.
const dialTime = 300 * time.Millisecond

// reach connects a VM to a backend server directly.
func (p *cutPool) reach(ctx context.Context, vm, address string) error {
	p.mu.Lock()
	cut, dead, refuses := p.cut[vm], p.dead[address], p.refuses
	p.direct[vm]++
	p.mu.Unlock()
	if cut && !refuses {
		if err := dhtimer.Sleep(ctx, p.timers, dialTime); err != nil {
			return err
		}
		return timeoutError{address}
	}
	if cut || dead {
		return fmt.Errorf("dial %s: connection refused", address)
	}
	return nil
}

// Send implements dhrouter.Transport.
func (s cutTransport) Send(ctx context.Context, o *dhrouter.Outbound) (*dhrouter.Inbound, error) {
	if err := s.pool.connect(ctx, s.vm, o.Backend.Address); err != nil {
		return nil, dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, err), dhcode.NotRun)
	}
	if err := dhtimer.Sleep(ctx, s.pool.timers, firstEventTime); err != nil {
		return nil, err
	}
	return &dhrouter.Inbound{
		Status: http.StatusOK, RequestID: o.ID, Sealed: true, Confidence: -1, Length: 2, Body: io.NopCloser(strings.NewReader("ok")),
	}, nil
}

// connect connects a VM to a backend server, as its transport would.
func (p *cutPool) connect(ctx context.Context, vm, address string) error {
	conn, err := p.entries[vm].Dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialer returns how a VM connects to an address directly.
func (p *cutPool) dialer(vm string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if err := p.reach(ctx, vm, address); err != nil {
			return nil, err
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
}

// through connects to an address through a relay, which connects directly.
func (p *cutPool) through(ctx context.Context, relay dhdetour.RelayVM, address string) (net.Conn, error) {
	p.mu.Lock()
	p.relayed[relay.VM]++
	p.mu.Unlock()
	conn, err := p.dialer(relay.VM)(ctx, address)
	if err != nil {
		return nil, dhdetour.ErrUnreachable
	}
	return conn, nil
}

// timeoutError is the error of a connection that hangs.
type timeoutError struct{ address string }

func (e timeoutError) Error() string { return fmt.Sprintf("dial %s: i/o timeout", e.address) }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// runCut runs f with entry VMs in three zones under load.
func runCut(t *testing.T, vms, servers int, load float64, f func(p *cutPool)) {
	t.Helper()
	runCluster(t, func(c *cluster) {
		p := &cutPool{
			cluster: c, group: dhgroup.New(c.t.Context()), random: rand.New(rand.NewPCG(7, 7)),
			cut: map[string]bool{}, direct: map[string]int{}, relayed: map[string]int{}, dead: map[string]bool{},
		}
		c.transport = func(vm string) dhrouter.Transport { return cutTransport{p, vm} }
		c.configure = func(e *dhentry.Entry) {
			e.Connect, e.Through, e.RelayAddress = p.dialer(e.Name), p.through, e.Name+":relay"
		}
		c.waitFor(3*time.Second, "the first document", func() bool { return c.replace("c0", 5) == nil })
		for i := range servers {
			id := fmt.Sprint("b", i)
			p.announceWhileUp(p.group, id, func() (uint64, string, bool) {
				p.mu.Lock()
				defer p.mu.Unlock()
				return 1, "ready", !p.dead[id+":80"]
			})
		}
		for i := range vms {
			c.startEntry(fmt.Sprint("e", i))
		}
		c.advance(6 * time.Second)
		p.startCallers(vms, load)
		c.advance(5 * time.Second)
		f(p)
		p.group.Stop()
	})
}

func (p *cutPool) startCallers(vms int, load float64) {
	number := 0
	p.group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			p.mu.Lock()
			number++
			vm, pause := fmt.Sprint("e", p.random.IntN(vms)), time.Duration(p.random.ExpFloat64()/load*float64(time.Second))
			path := []string{"/x", orderPath}[number%2]
			m := &dhrouter.Message{ID: fmt.Sprint("r", number), Method: "GET", Host: "h", Path: path, Target: path, TimeLeft: 4 * time.Second}
			p.mu.Unlock()
			p.group.Go(func(ctx context.Context) error {
				began := p.timers.Now()
				_, err := p.entries[vm].Router().Forward(ctx, m, httptest.NewRecorder())
				p.mu.Lock()
				defer p.mu.Unlock()
				p.tries = append(p.tries, cutTry{vm, began, err == nil})
				return nil
			})
			_ = dhtimer.Sleep(ctx, p.timers, pause) // the loop ends with ctx
		}
		return nil
	})
}

// setCut cuts VMs off, or joins them again.
func (p *cutPool) setCut(cut bool, vms ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range vms {
		p.cut[fmt.Sprint("e", i)] = cut
	}
}

// served returns how many first tries in a span were served, and how many there were.
func (p *cutPool) served(from, to time.Time, match func(vm string) bool) (ok, all int) {
	for _, t := range p.tries {
		if !t.at.Before(from) && t.at.Before(to) && match(t.vm) {
			all++
			if t.ok {
				ok++
			}
		}
	}
	return ok, all
}

// checkCut checks the tries since a cut that began at a time.
func (p *cutPool) checkCut(began time.Time) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	from, to := began.Add(cutContact), p.timers.Now().Add(-time.Second)
	cutOK, cutAll := p.served(from, to, func(vm string) bool { return p.cut[vm] })
	otherOK, otherAll := p.served(from, to, func(vm string) bool { return !p.cut[vm] })
	p.t.Logf("cut off: %d of %d tries served, the others: %d of %d", cutOK, cutAll, otherOK, otherAll)
	rate := func(ok, all int) float64 { return float64(ok) / float64(max(all, 1)) }
	if failed := cutAll - cutOK; rate(cutOK, cutAll) < cutServedFraction*rate(otherOK, otherAll) && failed > cutAllowed+cutAll/cutAllowedEach {
		p.t.Errorf("VMs that are cut off serve %d of %d tries, the others %d of %d", cutOK, cutAll, otherOK, otherAll)
	}
}

// Guards against VMs that refuse all requests because they reach no backend server, though
// other VMs could carry them there (incident RECOVER).
func TestCutOffVMsServe(t *testing.T) {
	for _, c := range []struct {
		name    string
		vms     int
		cut     []int
		refuses bool
	}{
		{"most of a zone", 9, []int{0, 3, 1, 2}, false},
		{"all of a zone", 9, []int{0, 3, 6}, false},
		{"all but one", 9, []int{0, 1, 2, 3, 4, 5, 6, 7}, false},
		{"new connections are refused", 9, []int{0, 3, 6, 1}, true},
		{"many VMs", 60, []int{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCut(t, c.vms, 12, 84, func(p *cutPool) {
				p.refuses = c.refuses
				for range 2 {
					began := p.timers.Now()
					p.setCut(true, c.cut...)
					p.advance(12 * time.Second)
					p.checkCut(began)
					p.setCut(false, c.cut...)
					p.advance(3 * time.Second)
				}
			})
		})
	}
}
