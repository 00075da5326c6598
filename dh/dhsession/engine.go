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

// announcePeriod is the time between two announcements of a backend server.
const announcePeriod = time.Second

// Backend is a backend server.
type Backend struct {
	*dhengine.Model
	// Mute stops announcements; the backend server takes requests and answers none.
	Mute bool
	// Tamper changes a chunk into what is sent in its place.
	Tamper func(c *dhpb.Chunk) []*dhpb.Chunk
}

// AddEngine starts a backend server, which announces itself to the entry VMs
// of its zone.
func (w *World) AddEngine(m *dhengine.Model) *Backend {
	m.Timers, m.Address, m.Seed = w.Timers, m.ID, w.hash(m.ID)
	b := &Backend{Model: m}
	w.engines[m.ID] = b
	w.order = append(w.order, m.ID)
	w.Facts.engines[m.ID] = b
	m.Start()
	phase := time.Duration(w.hash("phase", m.ID) % uint64(announcePeriod))
	w.Timers.After(phase, func(time.Time) {
		w.announce(b)
		w.Timers.Subscribe(announcePeriod, func(time.Time) { w.announce(b) })
	})
	return b
}

// Engine returns a backend server by id.
func (w *World) Engine(id string) *Backend { return w.engines[id] }

func (w *World) announce(b *Backend) {
	if b.Mute {
		return
	}
	record := b.Record()
	if record == nil {
		return
	}
	for _, name := range w.names {
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

// Leave lets a backend server leave and announce it at once.
func (w *World) Leave(id string) {
	b := w.engines[id]
	b.Leave()
	w.Facts.silent(id, "leaving")
	w.announce(b)
}

// Silence mutes a backend server and stops its answers, until Unsilence.
func (w *World) Silence(id string) {
	b := w.engines[id]
	b.Mute = true
	b.Stall(time.Hour)
	w.Facts.silent(id, "silent")
}

// Unsilence ends Silence. The requests that it held fail.
func (w *World) Unsilence(id string) {
	b := w.engines[id]
	b.Mute = false
	b.Stall(0)
	w.CrashEngine(id)
}

// CrashEngine crashes a backend server; it restarts cold.
func (w *World) CrashEngine(id string) {
	b := w.engines[id]
	b.Crash()
	w.Facts.silent(id, "down")
	w.Timers.After(b.ColdStart.Restart, func(time.Time) { w.Facts.silent(id, "") })
}

// BreakStreams breaks the connections between VMs and a backend server, which
// cancels the requests on them.
func (w *World) BreakStreams(id string) {
	w.dropStreams(func(s *stream) bool { return s.backend.ID == id }, true)
}

func (w *World) findStreams(match func(*stream) bool) []*stream {
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

func (w *World) dropStreams(match func(*stream) bool, cancel bool) {
	for _, s := range w.findStreams(match) {
		s.end(errBroken(s.backend.ID))
		synctest.Wait() // the reaction to each broken stream is a step of its own
		if cancel {
			s.cancelAtEngine()
		}
	}
}

func errBroken(id string) error {
	return dhcode.Errorf(dhcode.StreamBroken, "the connection to backend server %q broke", id)
}

// link calls backend servers from a VM. It is a dhrouter.Engine.
type link struct {
	world *World
	vm    string
	run   *run
}

// Generate implements dhrouter.Engine.
func (l link) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	w := l.world
	b, ok := w.engines[address]
	if !ok {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "no backend server at %q", address), dhcode.NotRun)
	}
	x := w.Facts.sent(l.vm, b, req)
	if w.separated(l.vm, b.ID) > silentTime {
		// No connection is left, so that a new one would have to be made.
		if err := dhtimer.Sleep(ctx, w.Timers, 300*time.Millisecond); err != nil {
			return nil, dhcode.WithRan(err, dhcode.NotRun)
		}
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "backend server %q cannot be reached", address), dhcode.NotRun)
	}
	s := &stream{
		link: l, ctx: ctx, backend: b, request: proto.Clone(req).(*dhpb.GenerateRequest), execution: x, changed: make(chan struct{}, 1),
		delay: w.delay("stream", l.vm, b.ID, req.GetRequestId(), fmt.Sprint(req.GetAttempt())),
	}
	w.mu.Lock()
	w.streams[s] = true
	w.mu.Unlock()
	if w.separated(l.vm, b.ID) > 0 {
		s.cutOff()
		w.Timers.After(silentTime, func(time.Time) { s.end(errBroken(b.ID)) })
		return s, nil
	}
	w.Timers.After(s.delay, func(time.Time) { s.arrive() })
	return s, nil
}

// Order implements dhpool.Orders.
func (l link) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	w := l.world
	b, ok := w.engines[address]
	if !ok || !w.Network.Connected(l.vm, address) || b.Mute {
		_ = dhtimer.Sleep(ctx, w.Timers, silentTime)
		return nil, errBroken(address)
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

// stream is a request at a backend server and the answer that comes back.
type stream struct {
	link      link
	ctx       context.Context
	backend   *Backend
	request   *dhpb.GenerateRequest
	execution *Execution
	delay     time.Duration
	changed   chan struct{}

	mu     sync.Mutex
	chunks []*dhpb.Chunk
	cut    bool
	ended  bool
	err    error
	last   bool
	cancel func()
	gone   bool
}

func (s *stream) name() string {
	return fmt.Sprintf("%s %s %s %d", s.link.vm, s.backend.ID, s.request.GetRequestId(), s.request.GetAttempt())
}

func (s *stream) arrive() {
	if !s.link.world.Network.Connected(s.link.vm, s.backend.ID) {
		s.cutOff()
		return
	}
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()
	if gone {
		return
	}
	s.link.world.Facts.arrived(s.execution, s.backend)
	cancel := s.backend.Generate(s.request, s)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
}

// Chunk implements dhengine.Sink.
func (s *stream) Chunk(c *dhpb.Chunk) {
	s.link.world.Facts.emitted(s.execution, c)
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
	s.link.world.Facts.finished(s.execution, err)
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

// transmit applies f after the delay of the stream, unless it has been cut.
func (s *stream) transmit(f func()) {
	s.link.world.Timers.After(s.delay, func(time.Time) {
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

// cutOff loses all that is sent from now on.
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
	s.cancel, s.gone = nil, true
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
	w := s.link.world
	w.mu.Lock()
	delete(w.streams, s)
	w.mu.Unlock()
	if w.Network.Connected(s.link.vm, s.backend.ID) {
		w.Timers.After(s.delay, func(time.Time) { s.cancelAtEngine() })
	}
	return nil
}
