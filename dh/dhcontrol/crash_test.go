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
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

// The bound on requests that crash backend servers: from crashContact after the crash
// number partCrashes of those with a part, or requestCrashes of a request that comes again,
// at most crashAllowed of them reach one.
const (
	crashContact   = 3 * time.Second
	partCrashes    = 5
	requestCrashes = 3
	crashAllowed   = 3
)

// badPart is the part that crashes backend servers, firstParts is the number of first
// parts and commonParts that of the parts after them, which sound requests share.
const (
	badPart     = 1 << 40
	firstParts  = 3
	commonParts = 60
)

// crashPool is a pool of stand-in backend servers that a prompt part crashes.
type crashPool struct {
	*cluster
	group  *dhgroup.Group
	random *rand.Rand

	mu      sync.Mutex
	servers map[string]*crashServer
	down    map[string]bool
	// crashes are the times of the crashes by the bad part, arrivals those at which
	// requests with it reached a backend server.
	crashes, arrivals []time.Time
	// sound holds when requests without the part began and whether they were answered
	// at the first attempt, by first part.
	sound    []soundRequest
	number   int
	badShare float64
	deadly   deadlyRequest
	// paths are those of the sound requests, in turn.
	paths []string
	// badRefused counts requests with the part that were refused as not run with a
	// time to come back, soundRefused the sound ones that were refused.
	badRefused, soundRefused int
}

// deadlyRequest is a request that crashes each backend server that begins to run it, and
// comes again.
type deadlyRequest struct {
	// share is its fraction of all requests, rare that of another request with all of its
	// shared parts.
	share, rare float64
	path        string
	// events is the number of events of its answer before the crash.
	events int
}

// deadlyBody is the body of the deadly request, rarePart a part that it shares with few.
const (
	deadlyBody = "again"
	rarePart   = 1 << 41
)

// message returns the deadly request, as it comes again with another id.
func (d deadlyRequest) message(number int, body string) *dhrouter.Message {
	m := &dhrouter.Message{ID: fmt.Sprint("r", number), Method: "POST", Host: "h", Path: d.path, Target: d.path, TimeLeft: 4 * time.Second, Body: []byte(body)}
	if d.path != orderPath {
		for _, id := range []uint64{1, 100, rarePart, uint64(number) + 1_000_000} {
			m.Prompt = append(m.Prompt, dhrouter.PromptPart{ID: id, Tokens: 10})
		}
	}
	return m
}

type soundRequest struct {
	at    time.Time
	first uint64
	ok    bool
}

// crashServer is one address of the pool. Each start is a new incarnation.
type crashServer struct {
	incarnation uint64
	// upAt is when it takes requests again after a crash; ended is closed when the
	// present incarnation ends.
	upAt  time.Time
	ended chan struct{}
}

// crashTransport sends the requests of one entry VM to the pool.
type crashTransport struct {
	pool *crashPool
	vm   string
}

const (
	serverRestart  = 2500 * time.Millisecond
	firstEventTime = 80 * time.Millisecond
	answerTime     = 400 * time.Millisecond
	eventInterval  = 40 * time.Millisecond
	streamEvents   = 10
)

// Send implements dhrouter.Transport.
func (s crashTransport) Send(ctx context.Context, o *dhrouter.Outbound) (*dhrouter.Inbound, error) {
	p, id := s.pool, o.Backend.ID
	bad := crashes(o.Message)
	p.mu.Lock()
	server := p.servers[id]
	if p.timers.Now().Before(server.upAt) {
		p.mu.Unlock()
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "connection refused"), dhcode.NotRun)
	}
	if server.incarnation != o.Backend.Incarnation {
		p.mu.Unlock()
		return &dhrouter.Inbound{Status: http.StatusMisdirectedRequest, RequestID: o.ID, NotRun: true, AddressReused: true, Confidence: -1, Body: http.NoBody}, nil
	}
	ended := server.ended
	if bad {
		p.arrivals = append(p.arrivals, p.timers.Now())
	}
	p.mu.Unlock()
	broken := dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "connection reset"), dhcode.RanUnknown)
	wait := func(d time.Duration) error {
		after, cancel := dhtimer.WithTimeout(ctx, p.timers, d)
		defer cancel()
		select {
		case <-ended:
			return broken
		case <-after.Done():
			return ctx.Err()
		}
	}
	if err := wait(firstEventTime); err != nil {
		return nil, err
	}
	if o.Path == streamPath {
		b := &eventBody{wait: wait, events: streamEvents, end: func() error { return io.EOF }}
		if bad {
			b.events, b.end = p.deadly.events, func() error { p.crash(id); return io.ErrUnexpectedEOF }
		}
		return &dhrouter.Inbound{
			Status: http.StatusOK, RequestID: o.ID, Sealed: true, Confidence: -1, Events: true, Length: -1, Body: io.NopCloser(b),
		}, nil
	}
	if bad {
		p.crash(id)
		return nil, broken
	}
	if err := wait(answerTime); err != nil {
		return nil, err
	}
	return &dhrouter.Inbound{
		Status: http.StatusOK, RequestID: o.ID, Sealed: true, Confidence: -1, Length: 2, Body: io.NopCloser(strings.NewReader("ok")),
	}, nil
}

// crashes reports whether a request crashes backend servers.
func crashes(m *dhrouter.Message) bool {
	bad := string(m.Body) == deadlyBody
	for _, part := range m.Prompt {
		bad = bad || part.ID == badPart
	}
	return bad
}

// eventBody is the body of a stream of events.
type eventBody struct {
	wait   func(d time.Duration) error
	events int
	sent   int
	end    func() error
	unread []byte
}

// Read implements io.Reader.
func (b *eventBody) Read(data []byte) (int, error) {
	if len(b.unread) == 0 {
		if b.sent == b.events {
			return 0, b.end()
		}
		if err := b.wait(eventInterval); err != nil {
			return 0, err
		}
		b.sent++
		b.unread = fmt.Appendf(nil, "id: %d\ndata: x\n\n", b.sent)
	}
	n := copy(data, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// crash ends the present incarnation of a backend server because of the bad part.
func (p *crashPool) crash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end(id) {
		p.crashes = append(p.crashes, p.timers.Now())
	}
}

// end ends the present incarnation of a backend server and reports whether it ran.
func (p *crashPool) end(id string) bool {
	s := p.servers[id]
	if p.timers.Now().Before(s.upAt) {
		return false
	}
	close(s.ended)
	s.ended, s.upAt = make(chan struct{}), p.timers.Now().Add(serverRestart)
	s.incarnation++
	return true
}

// runCrashing runs f with entry VMs under load, of which badShare requests have the
// bad part from then on.
func runCrashing(t *testing.T, seed uint64, vms, servers int, load float64, f func(p *crashPool)) {
	t.Helper()
	runCluster(t, func(c *cluster) {
		p := &crashPool{cluster: c, group: dhgroup.New(c.t.Context()), random: rand.New(rand.NewPCG(seed, 33)), servers: map[string]*crashServer{}, down: map[string]bool{}}
		c.transport = func(vm string) dhrouter.Transport { return crashTransport{p, vm} }
		c.waitFor(3*time.Second, "the first document", func() bool { return c.replace("c0", 5) == nil })
		for i := range servers {
			p.startServer(fmt.Sprint("b", i))
		}
		for i := range vms {
			c.startEntry(fmt.Sprint("e", i))
		}
		c.advance(6 * time.Second)
		p.startClients(vms, load)
		c.advance(8 * time.Second)
		f(p)
		p.group.Stop()
	})
}

// startServer announces a backend server periodically while it runs.
func (p *crashPool) startServer(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[id] = &crashServer{incarnation: 1, ended: make(chan struct{})}
	p.announceWhileUp(p.group, id, func() (uint64, string, bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.servers[id].incarnation, "ready", !p.timers.Now().Before(p.servers[id].upAt)
	})
}

// startClients sends requests to random entry VMs at a rate per second.
func (p *crashPool) startClients(vms int, load float64) {
	p.group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			p.mu.Lock()
			vm, m := fmt.Sprint("e", p.random.IntN(vms)), p.message()
			pause := time.Duration(p.random.ExpFloat64() / load * float64(time.Second))
			p.mu.Unlock()
			p.group.Go(func(ctx context.Context) error { p.request(ctx, vm, m); return nil })
			_ = dhtimer.Sleep(ctx, p.timers, pause) // the loop ends with ctx
		}
		return nil
	})
}

// message returns the next request: a first part, a common one, for some requests the
// bad one, and one of its own.
func (p *crashPool) message() *dhrouter.Message {
	p.number++
	if p.deadly.share > 0 {
		switch draw := p.random.Float64(); {
		case draw < p.deadly.share:
			return p.deadly.message(p.number, deadlyBody)
		case draw < p.deadly.share+p.deadly.rare:
			return p.deadly.message(p.number, "other")
		}
	}
	// A few of the common parts are hot.
	common := int(float64(commonParts) * p.random.Float64() * p.random.Float64() * p.random.Float64())
	ids := []uint64{uint64(p.random.IntN(firstParts)) + 1, uint64(common) + 100}
	if p.random.Float64() < p.badShare {
		ids = append(ids, badPart)
	}
	ids = append(ids, uint64(p.number)+1_000_000)
	path := "/x"
	if len(p.paths) > 0 {
		path = p.paths[p.number%len(p.paths)]
	}
	m := &dhrouter.Message{ID: fmt.Sprint("r", p.number), Method: "GET", Host: "h", Path: path, Target: path, TimeLeft: 4 * time.Second}
	if path == orderPath {
		m.Body = fmt.Append(nil, "order ", p.number)
		return m
	}
	for _, id := range ids {
		m.Prompt = append(m.Prompt, dhrouter.PromptPart{ID: id, Tokens: 10})
	}
	return m
}

func (p *crashPool) request(ctx context.Context, vm string, m *dhrouter.Message) {
	began := p.timers.Now()
	p.mu.Lock()
	down := p.down[vm]
	p.mu.Unlock()
	if down {
		return
	}
	_, err := p.entries[vm].Router().Forward(ctx, m, httptest.NewRecorder())
	p.mu.Lock()
	defer p.mu.Unlock()
	bad := crashes(m)
	refused := err != nil && dhcode.RanOf(err) == dhcode.NotRun
	switch {
	case bad && refused && dhcode.RetryAfterOf(err) > 0:
		p.badRefused++
	case !bad:
		sound := soundRequest{at: began, ok: err == nil}
		if len(m.Prompt) > 0 {
			sound.first = m.Prompt[0].ID
		}
		p.sound = append(p.sound, sound)
		if refused {
			p.soundRefused++
		}
	}
}

// checkCrashes fails the test if too many requests that crash backend servers reached one
// after the crash number count.
func (p *crashPool) checkCrashes(count int) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	after := 0
	if len(p.crashes) >= count {
		from := p.crashes[count-1].Add(crashContact)
		for _, at := range p.arrivals {
			if at.After(from) {
				after++
			}
		}
	}
	p.t.Logf("%d crashes, %d requests that crash backend servers reached one, %d of them from %s after crash %d, %d were refused; %d sound ones refused",
		len(p.crashes), len(p.arrivals), after, crashContact, count, p.badRefused, p.soundRefused)
	if after > crashAllowed {
		p.t.Errorf("%d requests were sent from %s after crash %d, %d are allowed", after, crashContact, count, crashAllowed)
	}
}

// answeredSince returns the fraction of the sound requests since a time that were
// answered.
func (p *crashPool) answeredSince(from time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, all := 0, 0
	for _, s := range p.sound {
		if !s.at.Before(from) {
			all++
			if s.ok {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(all, 1))
}

// Guards against requests with a prompt part that crashes every backend server which
// begins to answer them and are sent to one after the other, and against refusing the
// sound requests that share their other parts (incident BUDGET).
func TestCrashingPartIsHeldBack(t *testing.T) {
	runCrashing(t, 1, 9, 12, 84, func(p *crashPool) {
		p.badShare = 0.03
		p.advance(25 * time.Second)
		p.checkCrashes(partCrashes)
		if got := p.answeredSince(p.timers.Now().Add(-15 * time.Second)); got < 0.97 {
			p.t.Errorf("%.2f of the sound requests are answered", got)
		}
	})
}

// Guards against a request that comes again and crashes every backend server which begins
// to run it, wherever it crashes them, and against refusing the sound requests beside it
// (incident BUDGET, whole requests).
func TestCrashingRequestIsHeldBack(t *testing.T) {
	both := []string{"/x", streamPath}
	for _, c := range []struct {
		name         string
		vms, servers int
		load         float64
		paths        []string
		deadly       deadlyRequest
	}{
		{"at once", 9, 12, 84, both, deadlyRequest{share: 0.004, path: "/x"}},
		{"before its first event", 9, 12, 84, both, deadlyRequest{share: 0.004, path: streamPath}},
		{"after some events", 9, 12, 84, both, deadlyRequest{share: 0.004, path: streamPath, events: 6}},
		{"often", 9, 12, 84, both, deadlyRequest{share: 0.03, path: "/x"}},
		{"rarely", 9, 12, 84, both, deadlyRequest{share: 0.001, path: "/x"}},
		{"beside sound requests with its parts", 9, 12, 84, both, deadlyRequest{share: 0.006, rare: 0.01, path: "/x"}},
		{"one attempt, three servers", 9, 3, 20, []string{orderPath}, deadlyRequest{share: 0.04, path: orderPath}},
		{"large", 100, 48, 300, both, deadlyRequest{share: 0.002, path: streamPath, events: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCrashing(t, 11, c.vms, c.servers, c.load, func(p *crashPool) {
				p.paths, p.deadly = c.paths, c.deadly
				p.advance(30 * time.Second)
				p.checkCrashes(requestCrashes)
				for _, v := range p.controls["c0"].Quarantine() {
					if v.Cause.ID == rarePart {
						p.t.Errorf("a part is in quarantine for what one request does")
					}
				}
				if got := p.answeredSince(p.timers.Now().Add(-15 * time.Second)); got < 0.97 {
					p.t.Errorf("%.2f of the sound requests are answered", got)
				}
			})
		})
	}
}

// Guards against a bound that holds for one size of deployment only.
func TestCrashingPartIsHeldBackAtAnySize(t *testing.T) {
	for _, c := range []struct {
		vms, servers   int
		load, badShare float64
	}{{8, 4, 30, 0.05}, {9, 12, 84, 0.2}, {9, 12, 84, 0.005}, {49, 24, 200, 0.02}, {283, 48, 300, 0.02}} {
		t.Run(fmt.Sprint(c.vms, "-", c.servers, "-", c.badShare), func(t *testing.T) {
			runCrashing(t, 2, c.vms, c.servers, c.load, func(p *crashPool) {
				p.badShare = c.badShare
				p.advance(20 * time.Second)
				p.checkCrashes(partCrashes)
				if got := p.answeredSince(p.timers.Now().Add(-8 * time.Second)); got < 0.97 {
					p.t.Errorf("%.2f of the sound requests are answered", got)
				}
			})
		})
	}
}

// restartEntry starts an entry VM again, which knows of nothing then.
func (p *crashPool) restartEntry(vm string) {
	p.mu.Lock()
	p.down[vm] = true
	p.mu.Unlock()
	p.cluster.crash(vm)
	p.startEntry(vm)
	p.mu.Lock()
	p.down[vm] = false
	p.mu.Unlock()
}

// Guards against a verdict that is forgotten: by entry and control VMs that start again
// one after the other, without a majority of the control VMs, and on a VM that has just
// started (incident BUDGET).
func TestVerdictSurvivesRestarts(t *testing.T) {
	runCrashing(t, 3, 9, 12, 84, func(p *crashPool) {
		p.badShare = 0.03
		p.advance(12 * time.Second)
		before := len(p.arrivals)
		for i := range 3 {
			name := fmt.Sprint("c", i)
			p.cluster.crash(name)
			p.advance(2 * time.Second)
			p.startControl(name, false)
			p.advance(4 * time.Second)
		}
		for i := range 9 {
			p.restartEntry(fmt.Sprint("e", i))
			p.advance(time.Second)
		}
		p.cluster.crash("c0", "c1")
		p.advance(3 * time.Second)
		p.startControl("c0", false)
		p.startControl("c1", false)
		p.advance(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if got := len(p.arrivals) - before; got > 0 {
			p.t.Errorf("%d requests with the part reached backend servers after its verdict", got)
		}
	})
}

// Guards against a verdict that holds for good, or whose end costs as many crashes as
// the first time, and against an operator's order that is not obeyed.
func TestVerdictEndsAndReturns(t *testing.T) {
	runCrashing(t, 4, 9, 12, 84, func(p *crashPool) {
		p.badShare = 0.03
		p.advance(12 * time.Second)
		p.badShare = 0
		p.advance(2 * dhquarantine.Term)
		verdicts := p.controls["c0"].Quarantine()
		if len(verdicts) != 1 || verdicts[0].InForce(p.timers.Now()) {
			p.t.Errorf("the verdict has not ended: %v", verdicts)
		}
		crashes, refused := len(p.crashes), p.badRefused
		p.badShare = 0.03
		p.advance(10 * time.Second)
		if got := len(p.crashes) - crashes; got > 4 || p.badRefused == refused {
			p.t.Errorf("%d crashes until the part is in quarantine again", got)
		}
		part := dhquarantine.Cause{Pool: "p", ID: badPart}
		p.controls["c1"].QuarantineCause(part, true, 10*time.Minute, "test")
		p.badShare = 0
		p.advance(2 * time.Second)
		for _, vm := range []string{"e0", "e5", "e8"} {
			if _, refused := p.entries[vm].Quarantine().Find(dhquarantine.Request{Pool: "p", Parts: []uint64{badPart}}); refused {
				p.t.Errorf("%s still refuses the part", vm)
			}
		}
		p.controls["c2"].QuarantineCause(part, false, time.Hour, "test")
		p.advance(2 * time.Second)
		for _, vm := range []string{"e0", "e5", "e8"} {
			if _, refused := p.entries[vm].Quarantine().Find(dhquarantine.Request{Pool: "p", Parts: []uint64{badPart}}); !refused {
				p.t.Errorf("%s does not refuse the part", vm)
			}
		}
	})
}

// Guards against a verdict about a sound part when many backend servers end at once or
// one after the other.
func TestCrashesWithoutBadPart(t *testing.T) {
	for seed := range uint64(6) {
		runCrashing(t, seed, 9, 12, 84, func(p *crashPool) {
			for round := range 10 {
				p.mu.Lock()
				for i := range 12 {
					if round%2 == 0 && i < 5 || p.random.IntN(12) == 0 {
						p.end(fmt.Sprint("b", i))
					}
				}
				p.mu.Unlock()
				p.advance(3 * time.Second)
			}
			if verdicts := p.controls["c0"].Quarantine(); len(verdicts) > 0 {
				p.t.Errorf("seed %d: verdicts %v", seed, verdicts)
			}
		})
	}
}
