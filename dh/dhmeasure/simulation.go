package dhmeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtimer"
)

// Result is what a run measured.
type Result struct {
	// First and Whole are times to the first token and to the complete answer
	// in microseconds.
	First, Whole *hdrhistogram.Histogram
	// Completed counts answers that completed in the measured time, Failed
	// requests that no backend server accepted after three attempts.
	Completed, Failed int
	// CachedShare is the part of prompt tokens that came from prefix caches.
	CachedShare float64
	// OtherZone is the part of requests that left the entry VM's zone.
	OtherZone float64
}

// Periods and delays of the simulated deployment.
const (
	tick          = 100 * time.Millisecond
	announceEvery = time.Second
	eventsEvery   = 200 * time.Millisecond
	gossipLeast   = 200 * time.Millisecond // digests reach other zones after this and up to gossipSpread more
	gossipSpread  = 500 * time.Millisecond
	eventLoss     = 0.02
	attempts      = 3
)

type simulation struct {
	run      Run
	timers   *dhtimer.Stepped
	rng      *rand.Rand
	engines  map[string]*dhengine.Model
	ids      []string
	vms      []*entryVM
	result   Result
	from, to time.Time
	placed   int
	remote   int
}

// entryVM is an entry VM with its own view of the backend servers.
type entryVM struct {
	zone     string
	table    dhbackend.Table
	view     *dhbackend.View
	placer   *dhplacement.Placer
	inFlight map[string]int
	next     int
	rng      *rand.Rand
	events   map[string]uint64
}

// Do runs the simulation.
func (r Run) Do() Result {
	if r.Warmup == 0 {
		r.Warmup = time.Minute
	}
	if r.Length == 0 {
		r.Length = 4 * time.Minute
	}
	s := &simulation{
		run: r, timers: dhtimer.NewStepped(), rng: rand.New(rand.NewPCG(r.Seed, 2)), engines: make(map[string]*dhengine.Model),
		result: Result{First: hdrhistogram.New(1, 600e6, 3), Whole: hdrhistogram.New(1, 600e6, 3)},
	}
	s.from = s.timers.Now().Add(r.Warmup)
	s.to = s.from.Add(r.Length)
	s.startEngines()
	s.startVMs()
	s.timers.Step(2 * announceEvery)
	w := newWorkload(s)
	w.start()
	s.timers.Step(s.to.Sub(s.timers.Now()))
	var cached, prefilled int
	for _, id := range s.ids {
		stats := s.engines[id].Stats()
		cached += stats.CachedTokens
		prefilled += stats.PrefilledTokens
	}
	s.result.CachedShare = float64(cached) / float64(max(cached+prefilled, 1))
	s.result.OtherZone = float64(s.remote) / float64(max(s.placed, 1))
	return s.result
}

func (s *simulation) startEngines() {
	d := s.run.Deployment
	for i := range d.Replicas {
		m := &dhengine.Model{
			Timers: s.timers, ID: fmt.Sprintf("llm-%02d", i), Address: "simulated", Zone: d.Zones[i%len(d.Zones)], Pool: "llm",
			EventLoss: eventLoss, Seed: s.run.Seed*1000 + uint64(i),
		}
		seen := make(map[string]bool)
		for _, c := range d.Classes {
			if !seen[c.Model] {
				m.Versions = append(m.Versions, versionOf(c.Model))
				seen[c.Model] = true
			}
		}
		if s.run.FreePrefill {
			m.Costs = dhengine.DefaultCosts()
			m.Costs.PerPrefillToken = 0
		}
		m.Start()
		s.engines[m.ID] = m
		s.ids = append(s.ids, m.ID)
		phase := time.Duration(s.rng.Int64N(int64(announceEvery)))
		s.timers.After(phase, func(time.Time) {
			s.announce(m)
			s.timers.Subscribe(announceEvery, func(time.Time) { s.announce(m) })
		})
	}
}

// announce brings a record to the entry VMs, those of other zones by gossip.
func (s *simulation) announce(m *dhengine.Model) {
	record := m.Record()
	if record == nil {
		return
	}
	for _, vm := range s.vms {
		delay := time.Duration(0)
		if vm.zone != m.Zone {
			delay = gossipLeast + time.Duration(s.rng.Int64N(int64(gossipSpread)))
		}
		s.timers.After(delay, func(now time.Time) {
			b, err := dhbackend.FromRecord(record, now)
			if err != nil {
				panic(err)
			}
			b.ReportAge += delay
			if err := vm.table.Announce(b); err != nil {
				panic(err)
			}
		})
	}
}

func (s *simulation) startVMs() {
	d := s.run.Deployment
	for i := range d.EntryVMs {
		vm := &entryVM{
			zone: d.Zones[i%len(d.Zones)], table: dhbackend.Table{Lease: 2500 * time.Millisecond, MaxBackends: 1000},
			inFlight: make(map[string]int), rng: rand.New(rand.NewPCG(s.run.Seed, uint64(100+i))), events: make(map[string]uint64),
		}
		vm.next = vm.rng.IntN(d.Replicas)
		vm.placer = &dhplacement.Placer{Timers: s.timers, Zone: vm.zone, Settings: s.run.Settings, Seed: vm.rng.Uint64()}
		vm.update(s.timers.Now())
		s.timers.Subscribe(tick, vm.update)
		if s.run.Policy == Full {
			s.timers.Subscribe(eventsEvery, func(time.Time) { s.readEvents(vm) })
		}
		s.vms = append(s.vms, vm)
	}
}

func (vm *entryVM) update(now time.Time) {
	vm.table.Expire(now)
	vm.view = vm.table.View(now)
	vm.placer.Update(vm.view)
}

func (s *simulation) readEvents(vm *entryVM) {
	for _, id := range s.ids {
		for _, e := range s.engines[id].CacheEvents(vm.events[id], 1000) {
			vm.placer.Observe(id, e)
			vm.events[id] = e.GetSequence()
		}
	}
}

// place chooses a backend server by the run's policy.
func (s *simulation) place(vm *entryVM, r dhplacement.Request) (dhplacement.Placement, error) {
	backends := vm.view.Pool(r.Pool)
	baseline := func(b *dhbackend.Backend) (dhplacement.Placement, error) {
		return dhplacement.Placement{Backend: b}, nil
	}
	switch s.run.Policy {
	case RoundRobin:
		vm.next++
		return baseline(backends[vm.next%len(backends)])
	case LeastConnections:
		best := backends[vm.rng.IntN(len(backends))]
		for _, i := range vm.rng.Perm(len(backends)) {
			if vm.inFlight[backends[i].ID] < vm.inFlight[best.ID] {
				best = backends[i]
			}
		}
		return baseline(best)
	case TwoChoices:
		a, b := backends[vm.rng.IntN(len(backends))], backends[vm.rng.IntN(len(backends))]
		if vm.inFlight[b.ID] < vm.inFlight[a.ID] {
			a = b
		}
		return baseline(a)
	case NoAffinity:
		r.Prefix = nil
	}
	return vm.placer.Place(vm.view, r)
}

// call is a request on its way.
type call struct {
	s         *simulation
	vm        *entryVM
	req       *dhpb.GenerateRequest
	placement dhplacement.Placement
	request   dhplacement.Request
	began     time.Time
	latency   time.Duration
	first     bool
	done      func(ok bool)
}

// send places a request at an entry VM and calls done at its end.
func (s *simulation) send(vm *entryVM, req *dhpb.GenerateRequest, done func(ok bool)) {
	v := versionOf(req.GetModel())
	c := &call{s: s, vm: vm, req: req, began: s.timers.Now(), done: done, request: dhplacement.Request{
		Pool: "llm", Version: v, PromptTokens: dhengine.PromptTokens(req.GetPrompt()), MaxTokens: int(req.GetMaxTokens()),
	}}
	if s.run.Policy == Full {
		c.request.Prefix = dhengine.PrefixHashes(nil, v, req.GetPrompt())
	}
	c.attempt()
}

func (c *call) attempt() {
	p, err := c.s.place(c.vm, c.request)
	if err != nil {
		c.end(false)
		return
	}
	c.placement = p
	c.vm.inFlight[p.Backend.ID]++
	if c.s.run.Policy >= NoAffinity {
		c.vm.placer.Begin(&c.placement, c.request)
	}
	c.s.placed++
	c.latency = 0
	if p.Backend.Zone != c.vm.zone {
		c.s.remote++
		c.latency = c.s.run.Deployment.OneWay
	}
	c.s.timers.After(c.latency, func(time.Time) { c.s.engines[p.Backend.ID].Generate(c.req, c) })
}

// Chunk implements dhengine.Sink.
func (c *call) Chunk(*dhpb.Chunk) {
	if !c.first {
		c.first = true
		c.record(c.s.result.First)
	}
}

func (c *call) record(h *hdrhistogram.Histogram) {
	if now := c.s.timers.Now(); !c.began.Before(c.s.from) && now.Before(c.s.to) {
		_ = h.RecordValue(now.Add(c.latency).Sub(c.began).Microseconds())
	}
}

// Done implements dhengine.Sink.
func (c *call) Done(err error) {
	c.vm.inFlight[c.placement.Backend.ID]--
	if c.s.run.Policy >= NoAffinity {
		c.vm.placer.End(c.placement, err == nil)
	}
	if err != nil && len(c.request.Exclude) < attempts-1 {
		c.request.Exclude = append(c.request.Exclude, c.placement.Backend.ID)
		c.attempt()
		return
	}
	c.end(err == nil)
}

func (c *call) end(ok bool) {
	now := c.s.timers.Now()
	if ok {
		c.record(c.s.result.Whole)
	}
	if inTime := !now.Before(c.s.from) && now.Before(c.s.to); inTime && ok {
		c.s.result.Completed++
	} else if inTime {
		c.s.result.Failed++
	}
	c.done(ok)
}
