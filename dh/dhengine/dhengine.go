// Package dhengine holds the simulated model engine, the server and announcer
// around it, and the client that calls engines.
//
// A Model runs on a dhtimer.Service. With the stepped service and a seed every
// run repeats exactly. It does continuous batching: each step decodes one
// token of every running request and prefills a bounded number of prompt
// tokens, so that the time to the first token and the time between tokens grow
// with load. Prefill skips prompt blocks that are in the prefix cache. A model
// of kind service instead executes each request once after a service time.
//
// The text of an answer is a function of prompt, model, version and maximum
// tokens (see Answer), so a resumed answer continues where the first one ended
// and a checker can recompute it.
//
// # Usage
//
//	model := &dhengine.Model{Timers: timers, ID: "atelier-llm-1", Zone: "mrc-a", Pool: "atelier-llm",
//		Versions: []dhtable.Version{{Model: "pine", Name: "v1"}}}
//	model.Start()
//	cancel := model.Generate(request, sink)
//
// Over the network: Server serves a Model, Announcer announces it and Client
// calls it.
package dhengine

import (
	"math/rand/v2"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Sink receives an answer. The calls for one request come in order and never
// overlap, without a lock of the model held. Done is called exactly once,
// unless the caller cancels the request with the function it got from Generate.
type Sink interface {
	Chunk(c *dhpb.Chunk)
	// Done ends the answer; err is nil after the last chunk.
	Done(err error)
}

// Costs are the times of an engine's work.
type Costs struct {
	// Step is the base time of a batch step, to which PerSequence is added for
	// each decoding request and PerPrefillToken for each prompt token.
	Step, PerSequence, PerPrefillToken time.Duration
	// PrefillTokens bounds the prompt tokens of a step.
	PrefillTokens int
	// Service is the mean execution time of a request to a plain service.
	Service time.Duration
}

// DefaultCosts returns the costs used where Model.Costs is zero.
func DefaultCosts() Costs {
	return Costs{
		Step: 12 * time.Millisecond, PerSequence: 500 * time.Microsecond, PerPrefillToken: 60 * time.Microsecond,
		PrefillTokens: 512, Service: 20 * time.Millisecond,
	}
}

// Cold describes the cold start of a backend server.
type Cold struct {
	// For is how long a cold start lasts. Steps take Slowness times as long in it.
	For      time.Duration
	Slowness float64
	// SustainableLoad is the highest number of requests at once that a cold
	// engine survives. It crashes when a request arrives beyond it.
	SustainableLoad int
	// Grace is the time after an unannounced cold turn before a load beyond
	// the sustainable one is fatal, since no caller can know of the turn yet.
	Grace time.Duration
	// Restart is the time from a crash to the next cold start.
	Restart time.Duration
}

// DefaultCold returns the cold start used where Model.ColdStart is zero.
func DefaultCold() Cold {
	return Cold{For: 20 * time.Second, Slowness: 3, SustainableLoad: 4, Grace: 3 * time.Second, Restart: 5 * time.Second}
}

// Model is a simulated engine or plain service. The exported fields are set
// before Start; zero values mean the defaults named there.
type Model struct {
	Timers dhtimer.Service
	// ID, Address, Zone and Pool are announced.
	ID, Address, Zone, Pool string
	Kind                    dhtable.PoolKind
	// Versions are loaded at the start.
	Versions []dhtable.Version
	// Slots is how many requests run at once (16), QueueLimit how many wait (256).
	Slots, QueueLimit int
	Costs             Costs
	ColdStart         Cold
	// StartCold starts the model in a cold start.
	StartCold bool
	// IgnoreFencing makes the model accept orders with an old fencing token.
	IgnoreFencing bool
	// LoadFor is how long loading a version takes (2 s).
	LoadFor time.Duration
	// CacheBlocks bounds the prefix cache in blocks of BlockBytes (1024).
	CacheBlocks int
	// EventDelay is the mean delay of cache events (500 ms) and EventLoss the share that is lost.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the age of load reports (1 s).
	ReportLag time.Duration
	// LeaveGrace is how long a leaving model still accepts work (3 s).
	LeaveGrace time.Duration
	// Incarnation must grow when a backend server of this ID starts again.
	Incarnation uint64
	Seed        uint64

	mu       sync.Mutex
	rng      *rand.Rand
	versions []dhtable.Version
	faults   map[dhtable.Version]Faults
	state    lifeState
	epoch    int // grows with each crash and stop, so that older timers are ignored
	queue    requestHeap
	running  []*request
	arrivals int
	stepping bool
	stalled  time.Time
	cache    prefixCache
	events   eventLog
	reports  []report
	sequence uint64
	highest  uint64 // fencing token
	stats    Stats
	ran      map[string]int
	out      []delivery
	draining bool
	stop     []func()
}

// Stats counts what happened in a model.
type Stats struct {
	Arrived   int `json:"arrived"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Crashes   int `json:"crashes"`
	// ColdPeak is the highest load during a cold start, outside the grace time of an unannounced turn.
	ColdPeak int `json:"cold-peak"`
	// LateArrivals counts requests that came more than LeaveGrace after leaving began.
	LateArrivals int `json:"late-arrivals"`
	// DecodedTokens counts tokens of answers, PrefilledTokens and CachedTokens those of prompts.
	DecodedTokens   int `json:"decoded-tokens"`
	PrefilledTokens int `json:"prefilled-tokens"`
	CachedTokens    int `json:"cached-tokens"`
}

// Start applies the defaults and starts the timers of the model.
func (m *Model) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDefaults()
	m.rng = rand.New(rand.NewPCG(m.Seed, 1))
	m.versions = append([]dhtable.Version(nil), m.Versions...)
	m.faults = make(map[dhtable.Version]Faults)
	m.ran = make(map[string]int)
	m.cache = newPrefixCache(m.CacheBlocks)
	if m.StartCold {
		m.enterCold(m.Timers.Now(), 0)
	}
	m.addReport(m.Timers.Now())
	m.stop = append(m.stop, m.Timers.Subscribe(reportPeriod, func(now time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.addReport(now)
	}))
}

func (m *Model) applyDefaults() {
	if m.Costs == (Costs{}) {
		m.Costs = DefaultCosts()
	}
	if m.ColdStart == (Cold{}) {
		m.ColdStart = DefaultCold()
	}
	setDefault(&m.Slots, 16)
	setDefault(&m.QueueLimit, 256)
	setDefault(&m.CacheBlocks, 1024)
	setDefaultTime(&m.LoadFor, 2*time.Second)
	setDefaultTime(&m.EventDelay, 500*time.Millisecond)
	setDefaultTime(&m.ReportLag, time.Second)
	setDefaultTime(&m.LeaveGrace, 3*time.Second)
	if m.Incarnation == 0 {
		m.Incarnation = 1
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDefaultTime(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Stop ends the model's timers and fails its requests with the code backend-failed.
func (m *Model) Stop() {
	m.mu.Lock()
	for _, stop := range m.stop {
		stop()
	}
	m.stop = nil
	m.failAll(dhcode.Errorf(dhcode.BackendFailed, "backend server %q stopped", m.ID))
	m.state.down = true
	m.unlockAndDeliver()
}

// Generate queues a request. The answer goes to sink. A refused request gets
// Done at once, with an error that states "not run". The returned function
// cancels the request without a further call of sink once it has returned,
// except for a call that is running at that moment.
func (m *Model) Generate(req *dhpb.GenerateRequest, sink Sink) (cancel func()) {
	m.mu.Lock()
	now := m.Timers.Now()
	m.stats.Arrived++
	r := m.newRequest(req, sink, now)
	if err := m.refuse(r, now); err != nil {
		m.finish(r, err)
		m.unlockAndDeliver()
		return func() {}
	}
	m.queue.push(r)
	m.checkColdLoad(now)
	m.startStep()
	m.unlockAndDeliver()
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		r.detached = true
		m.remove(r)
	}
}

// refuse returns why a request is not accepted, or nil.
func (m *Model) refuse(r *request, now time.Time) error {
	notRun := func(c dhcode.Code, format string, args ...any) error {
		return dhcode.WithRan(dhcode.Errorf(c, format, args...), dhcode.NotRun)
	}
	switch {
	case m.state.down:
		return notRun(dhcode.BackendFailed, "backend server %q is down", m.ID)
	case m.state.leaving && now.Sub(m.state.leftAt) > m.LeaveGrace:
		m.stats.LateArrivals++
		return notRun(dhcode.Leaving, "backend server %q is leaving", m.ID)
	case !m.has(r.version):
		return notRun(dhcode.VersionNotAllowed, "version %q is not loaded on backend server %q", r.version, m.ID)
	case m.queue.len() >= m.QueueLimit:
		return notRun(dhcode.QueueFull, "queue of backend server %q is full", m.ID)
	}
	return nil
}

// Cancel stops all attempts of a request; their sinks get Done with the code
// cancelled. It reports whether there was any.
func (m *Model) Cancel(requestID string) bool {
	m.mu.Lock()
	found := false
	for _, r := range m.all() {
		if r.req.GetRequestId() == requestID && m.remove(r) {
			found = true
			m.finish(r, dhcode.Errorf(dhcode.Cancelled, "request %q was cancelled", requestID))
		}
	}
	m.unlockAndDeliver()
	return found
}

// Stats returns the counters.
func (m *Model) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// Executions returns how often a plain service executed a request id.
func (m *Model) Executions(requestID string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[requestID]
}

// AllExecutions returns a copy of the executions by request id.
func (m *Model) AllExecutions() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]int, len(m.ran))
	for id, n := range m.ran {
		all[id] = n
	}
	return all
}

// Load returns the number of running and of waiting requests.
func (m *Model) Load() (running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running), m.queue.len()
}

type delivery struct {
	request *request
	chunk   *dhpb.Chunk // nil: Done
	err     error
}

// unlockAndDeliver releases the lock and calls the sinks in order. Only one
// goroutine delivers at a time; the others leave their deliveries to it.
func (m *Model) unlockAndDeliver() {
	if m.draining {
		m.mu.Unlock()
		return
	}
	m.draining = true
	for len(m.out) > 0 {
		batch := m.out
		m.out = nil
		for _, d := range batch {
			if d.request.detached {
				continue
			}
			m.mu.Unlock()
			if d.chunk != nil {
				d.request.sink.Chunk(d.chunk)
			} else {
				d.request.sink.Done(d.err)
			}
			m.mu.Lock()
		}
	}
	m.draining = false
	m.mu.Unlock()
}

// finish ends a request that is in neither queue nor batch any more.
func (m *Model) finish(r *request, err error) {
	if r.ended {
		return
	}
	r.ended = true
	switch {
	case err == nil:
		m.stats.Completed++
	case dhcode.Of(err) == dhcode.Cancelled:
		m.stats.Cancelled++
	default:
		m.stats.Failed++
	}
	m.out = append(m.out, delivery{request: r, err: err})
}

func (m *Model) failAll(err error) {
	for _, r := range m.all() {
		m.finish(r, err)
	}
	m.queue, m.running = requestHeap{}, nil
	m.epoch++
	m.stepping = false
}
