package dhcontrol_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

// The bound on brittle backend servers: while they say so, at most fallsAllowed plus one of
// fallsAllowedEach of them fall over. From brittleContact after the first statement they
// let no request wait and fall over if they must refuse too many.
const (
	brittleContact   = 3 * time.Second
	brittleRefusals  = 4
	fallsAllowed     = 2
	fallsAllowedEach = 10
	brittleSlots     = 4
	brittleQueue     = 3
	brittleDown      = 3 * time.Second
)

// brittlePool is a pool of backend servers that fall over if they must refuse too many.
type brittlePool struct {
	*cluster
	random *rand.Rand

	mu             sync.Mutex
	since          time.Time
	brittle        bool
	servers        map[string]*brittleServer
	falls          int
	served, denied int
}

type brittleServer struct {
	incarnation uint64
	active      int
	upAt        time.Time
	refusals    []time.Time
}

type brittleTransport struct{ pool *brittlePool }

// Send implements dhrouter.Transport.
func (s brittleTransport) Send(ctx context.Context, o *dhrouter.Outbound) (*dhrouter.Inbound, error) {
	p, id := s.pool, o.Backend.ID
	p.mu.Lock()
	server, now := p.servers[id], p.timers.Now()
	if now.Before(server.upAt) || server.incarnation != o.Backend.Incarnation {
		p.mu.Unlock()
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "connection refused"), dhcode.NotRun)
	}
	in := &dhrouter.Inbound{Status: http.StatusOK, RequestID: o.ID, Sealed: true, Confidence: -1, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}
	if p.brittle {
		in.Brittle = dhrouter.Brittleness{Stated: true, Refusals: brittleRefusals}
	}
	room := brittleSlots
	if !p.brittle || now.Sub(p.since) < brittleContact {
		room += brittleQueue
	}
	if server.active >= room {
		p.refuse(server, now)
		p.mu.Unlock()
		in.Status, in.NotRun, in.Sealed, in.Body = http.StatusServiceUnavailable, true, false, http.NoBody
		return in, nil
	}
	server.active++
	incarnation := server.incarnation
	p.mu.Unlock()
	err := dhtimer.Sleep(ctx, p.timers, answerTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if server.incarnation == incarnation {
		server.active--
	}
	if err != nil || server.incarnation != incarnation {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "connection reset"), dhcode.RanUnknown)
	}
	return in, nil
}

// refuse records a refusal, and lets a brittle server fall over if there were too many.
func (p *brittlePool) refuse(s *brittleServer, now time.Time) {
	s.refusals = append(s.refusals, now)
	for now.Sub(s.refusals[0]) > time.Second {
		s.refusals = s.refusals[1:]
	}
	if p.brittle && now.Sub(p.since) >= brittleContact && len(s.refusals) > brittleRefusals {
		p.falls++
		s.incarnation++
		s.active, s.refusals, s.upAt = 0, nil, now.Add(brittleDown)
	}
}

// Guards against brittle backend servers that fall over one after the other because the
// entry VMs together send more than they have room for (rule LIMIT), and against refusing
// what they have room for.
func TestBrittleBackendsStayUp(t *testing.T) {
	for _, c := range []struct {
		name         string
		vms, servers int
		load         float64
		served       float64
	}{
		{"overload", 9, 12, 300, 0.25},
		{"usual load", 9, 12, 50, 0.9},
		{"more VMs than slots", 60, 12, 300, 0.2},
		{"small pool", 9, 3, 30, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, func(cl *cluster) {
				p := &brittlePool{cluster: cl, random: rand.New(rand.NewPCG(5, 5)), servers: map[string]*brittleServer{}}
				cl.transport = func(string) dhrouter.Transport { return brittleTransport{p} }
				cl.slots = brittleSlots
				group := dhgroup.New(cl.t.Context())
				cl.waitFor(3*time.Second, "the first document", func() bool { return cl.replace("c0", 5) == nil })
				for i := range c.servers {
					id := fmt.Sprint("b", i)
					p.mu.Lock()
					p.servers[id] = &brittleServer{incarnation: 1}
					p.mu.Unlock()
					p.announceWhileUp(group, id, func() (uint64, string, bool) {
						p.mu.Lock()
						defer p.mu.Unlock()
						return p.servers[id].incarnation, "ready", !p.timers.Now().Before(p.servers[id].upAt)
					})
				}
				for i := range c.vms {
					cl.startEntry(fmt.Sprint("e", i))
				}
				cl.advance(6 * time.Second)
				p.call(group, c.vms, c.load)
				cl.advance(5 * time.Second)
				p.mu.Lock()
				p.brittle, p.since = true, p.timers.Now()
				p.mu.Unlock()
				cl.advance(20 * time.Second)
				p.mu.Lock()
				t.Logf("%d falls, %d served, %d not", p.falls, p.served, p.denied)
				if most := fallsAllowed + float64(c.servers)/fallsAllowedEach; float64(p.falls) > most {
					t.Errorf("%d brittle backend servers fell over, %.1f are allowed", p.falls, most)
				}
				if got := float64(p.served) / float64(p.served+p.denied); got < c.served {
					t.Errorf("%.2f of the requests are served, at least %.2f could be", got, c.served)
				}
				p.mu.Unlock()
				group.Stop()
			})
		})
	}
}

// call sends requests to random VMs at a rate per second.
func (p *brittlePool) call(group *dhgroup.Group, vms int, load float64) {
	number := 0
	group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			number++
			vm, pause := fmt.Sprint("e", p.random.IntN(vms)), time.Duration(p.random.ExpFloat64()/load*float64(time.Second))
			m := &dhrouter.Message{ID: fmt.Sprint("r", number), Method: "GET", Host: "h", Path: "/x", Target: "/x", TimeLeft: 2 * time.Second}
			group.Go(func(ctx context.Context) error {
				_, err := p.entries[vm].Router().Forward(ctx, m, httptest.NewRecorder())
				p.mu.Lock()
				defer p.mu.Unlock()
				if err == nil {
					p.served++
				} else {
					p.denied++
				}
				return nil
			})
			_ = dhtimer.Sleep(ctx, p.timers, pause) // the loop ends with ctx
		}
		return nil
	})
}
