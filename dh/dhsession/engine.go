package dhsession

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

// announcePeriod is the interval between announcements of a backend server.
const announcePeriod = time.Second

// Backend is a simulated backend server.
type Backend struct {
	*dhengine.Model
	// Mute stops announcements and the answers to orders. Requests still arrive.
	Mute bool
	// Tamper returns the chunks that are sent in place of a chunk.
	Tamper func(c *dhpb.Chunk) []*dhpb.Chunk
}

// AddEngine starts a backend server, which announces itself to the entry VMs
// of its zone.
func (w *Simulation) AddEngine(m *dhengine.Model) *Backend {
	m.Timers, m.Address, m.Seed = w.Timers, m.ID, w.hash(m.ID)
	b := &Backend{Model: m}
	w.engines[m.ID] = b
	w.engineIDs = append(w.engineIDs, m.ID)
	w.History.engines[m.ID] = b
	m.Start()
	phase := time.Duration(w.hash("phase", m.ID) % uint64(announcePeriod))
	w.Timers.After(phase, func(time.Time) {
		w.announce(b)
		w.Timers.Subscribe(announcePeriod, func(time.Time) { w.announce(b) })
	})
	return b
}

// Engine returns a backend server by id.
func (w *Simulation) Engine(id string) *Backend { return w.engines[id] }

func (w *Simulation) announce(b *Backend) {
	if b.Mute {
		return
	}
	record := b.Record()
	if record == nil {
		return
	}
	for _, name := range w.vmNames {
		vm := w.vms[name]
		if vm.Zone != b.Zone || vm.up() == nil || !w.Network.Connected(name, b.ID) {
			continue
		}
		w.Timers.After(w.delay("announce", b.ID, name), func(time.Time) {
			if r := vm.up(); r != nil && w.Network.Connected(name, b.ID) {
				_ = r.peers.Announce(proto.Clone(record).(*dhpb.BackendRecord))
			}
		})
	}
}

// Leave makes a backend server leave and announce this immediately.
func (w *Simulation) Leave(id string) {
	b := w.engines[id]
	b.Leave()
	w.History.recordOutage(id, "leaving")
	w.announce(b)
}

// Silence stops the announcements and answers of a backend server until Unsilence.
func (w *Simulation) Silence(id string) {
	b := w.engines[id]
	b.Mute = true
	b.Stall(time.Hour)
	w.History.recordOutage(id, "silent")
}

// Unsilence ends Silence and crashes the backend server, so that requests received
// in the meantime fail.
func (w *Simulation) Unsilence(id string) {
	b := w.engines[id]
	b.Mute = false
	b.Stall(0)
	w.CrashEngine(id)
}

// CrashEngine crashes a backend server, which then restarts with a cold start.
func (w *Simulation) CrashEngine(id string) {
	b := w.engines[id]
	b.Crash()
	w.History.recordOutage(id, "down")
	w.Timers.After(b.ColdStart.Restart, func(time.Time) { w.History.recordOutage(id, "") })
}

// BreakStreams breaks the connections between all VMs and a backend server, which
// cancels the requests on these connections.
func (w *Simulation) BreakStreams(id string) {
	w.dropStreams(func(s *stream) bool { return s.backend.ID == id }, true)
}

func (w *Simulation) findStreams(match func(*stream) bool) []*stream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*stream
	for s := range w.streams {
		if match(s) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *stream) int { return strings.Compare(a.name(), b.name()) })
	return found
}

func (w *Simulation) dropStreams(match func(*stream) bool, cancel bool) {
	for _, s := range w.findStreams(match) {
		s.end(errConnectionBroken(s.backend.ID))
		synctest.Wait() // handle each broken stream separately
		if cancel {
			s.cancelAtEngine()
		}
	}
}

func errConnectionBroken(id string) error {
	return dhcode.Errorf(dhcode.StreamBroken, "the connection to backend server %q broke", id)
}

// engineClient calls backend servers from a VM. It implements dhrouter.Engine and
// dhpool.Orders.
type engineClient struct {
	sim *Simulation
	vm  string
	run *run
}

// Generate implements dhrouter.Engine.
func (l engineClient) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	w := l.sim
	b, ok := w.engines[address]
	if !ok {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "no backend server at %q", address), dhcode.NotRun)
	}
	x := w.History.recordDispatch(l.vm, b, req)
	if w.separated(l.vm, b.ID) > connectionTimeout {
		// The old connection has timed out and a new one cannot be opened.
		if err := dhtimer.Sleep(ctx, w.Timers, 300*time.Millisecond); err != nil {
			return nil, dhcode.WithRan(err, dhcode.NotRun)
		}
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "backend server %q cannot be reached", address), dhcode.NotRun)
	}
	s := &stream{
		client: l, ctx: ctx, backend: b, request: proto.Clone(req).(*dhpb.GenerateRequest), execution: x, changed: make(chan struct{}, 1),
		delay: w.delay("stream", l.vm, b.ID, req.GetRequestId(), fmt.Sprint(req.GetAttempt())),
	}
	w.mu.Lock()
	w.streams[s] = true
	w.mu.Unlock()
	if w.separated(l.vm, b.ID) > 0 {
		s.cutOff()
		w.Timers.After(connectionTimeout, func(time.Time) { s.end(errConnectionBroken(b.ID)) })
		return s, nil
	}
	w.Timers.After(s.delay, func(time.Time) { s.arrive() })
	return s, nil
}

// Order implements dhpool.Orders.
func (l engineClient) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	w := l.sim
	b, ok := w.engines[address]
	if !ok || !w.Network.Connected(l.vm, address) || b.Mute {
		_ = dhtimer.Sleep(ctx, w.Timers, connectionTimeout)
		return nil, errConnectionBroken(address)
	}
	if err := dhtimer.Sleep(ctx, w.Timers, w.delay("order", l.vm, address)); err != nil {
		return nil, err
	}
	answer, err := b.Order(o)
	if err := dhtimer.Sleep(ctx, w.Timers, w.delay("ordered", l.vm, address)); err != nil {
		return nil, err
	}
	return answer, err
}

// stream is a request to a backend server and its answer stream.
type stream struct {
	client    engineClient
	ctx       context.Context
	backend   *Backend
	request   *dhpb.GenerateRequest
	execution *Execution
	delay     time.Duration
	changed   chan struct{}

	mu        sync.Mutex
	chunks    []*dhpb.Chunk
	cut       bool
	ended     bool
	err       error
	last      bool
	cancel    func()
	cancelled bool
}

func (s *stream) name() string {
	return fmt.Sprintf("%s %s %s %d", s.client.vm, s.backend.ID, s.request.GetRequestId(), s.request.GetAttempt())
}

func (s *stream) arrive() {
	if !s.client.sim.Network.Connected(s.client.vm, s.backend.ID) {
		s.cutOff()
		return
	}
	s.mu.Lock()
	cancelled := s.cancelled
	s.mu.Unlock()
	if cancelled {
		return
	}
	s.client.sim.History.recordArrival(s.execution, s.backend)
	cancel := s.backend.Generate(s.request, s)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
}

// Chunk implements dhengine.Sink.
func (s *stream) Chunk(c *dhpb.Chunk) {
	s.client.sim.History.recordChunk(s.execution, c)
	list := []*dhpb.Chunk{c}
	if s.backend.Tamper != nil {
		list = s.backend.Tamper(c)
	}
	for _, c := range list {
		s.transmit(func() {
			s.chunks = append(s.chunks, c)
			s.last = s.last || c.GetLast()
		})
	}
}

// Done implements dhengine.Sink.
func (s *stream) Done(err error) {
	s.client.sim.History.recordEnd(s.execution, err)
	if err == nil {
		err = io.EOF
	}
	s.transmit(func() {
		if err == io.EOF && !s.last {
			err = dhcode.Errorf(dhcode.StreamBroken, "answer ended without its last chunk")
		}
		s.ended, s.err = true, err
	})
}

// transmit calls f after the delay of the stream, unless the stream has been cut
// off or has ended by then.
func (s *stream) transmit(f func()) {
	s.client.sim.Timers.After(s.delay, func(time.Time) {
		s.mu.Lock()
		if !s.cut && !s.ended {
			f()
		}
		s.mu.Unlock()
		s.notify()
	})
}

func (s *stream) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// cutOff discards everything that has not yet been delivered, without ending the
// stream.
func (s *stream) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
}

func (s *stream) end(err error) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.err = true, err
	}
	s.mu.Unlock()
	s.notify()
}

func (s *stream) cancelAtEngine() {
	s.mu.Lock()
	cancel := s.cancel
	s.cancel, s.cancelled = nil, true
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Next implements dhrouter.Stream.
func (s *stream) Next() (*dhpb.Chunk, error) {
	for {
		s.mu.Lock()
		if len(s.chunks) > 0 {
			c := s.chunks[0]
			s.chunks = s.chunks[1:]
			s.mu.Unlock()
			return c, nil
		}
		ended, err := s.ended, s.err
		s.mu.Unlock()
		if ended {
			return nil, err
		}
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
	}
}

// Close implements dhrouter.Stream.
func (s *stream) Close() error {
	w := s.client.sim
	w.mu.Lock()
	delete(w.streams, s)
	w.mu.Unlock()
	if w.Network.Connected(s.client.vm, s.backend.ID) {
		w.Timers.After(s.delay, func(time.Time) { s.cancelAtEngine() })
	}
	return nil
}
