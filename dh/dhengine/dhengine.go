// Package dhengine provides a simulated model engine, its network server and
// announcer, and a client for engines.
//
// A Model runs on a dhtimer.Service. With the stepped service and a fixed seed,
// runs are deterministic. It does continuous batching: each step decodes one
// token of every running request and prefills a bounded number of prompt
// tokens, so that the time to the first token and the time between tokens grow
// with load. Prefill skips prompt blocks that are in the prefix cache. A model
// of kind service does not batch: it executes each request in one piece, which
// takes a random service time.
//
// The text of an answer is a function of prompt, model, version and maximum
// number of tokens (see Answer). A resumed answer can therefore continue at any
// offset, and a checker can recompute the text.
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

// Sink receives an answer. The calls for one request are made in order, never
// concurrently, and without holding a lock of the model. Done is called exactly
// once, unless the caller cancels the request with the function that Generate
// returned.
type Sink interface {
	Chunk(c *dhpb.Chunk)
	// Done ends the answer; err is nil after the last chunk.
	Done(err error)
}

// Costs are the durations of the simulated work.
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
	// For is the duration of a cold start, during which steps and executions
	// take Slowness times as long.
	For      time.Duration
	Slowness float64
	// SustainableLoad is the maximum number of running and waiting requests
	// during a cold start. A request beyond it crashes the backend server.
	SustainableLoad int
	// Grace is the time after an unannounced cold start (see Model.GoCold)
	// during which a load above SustainableLoad does not cause a crash, since
	// callers cannot know of the cold start yet.
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
	// Versions are those loaded when the model starts.
	Versions []dhtable.Version
	// Slots is the maximum number of running requests (16), QueueLimit that of
	// waiting requests (256).
	Slots, QueueLimit int
	Costs             Costs
	ColdStart         Cold
	// StartCold makes the model begin with a cold start.
	StartCold bool
	// IgnoreFencing makes the model accept orders with an old fencing token.
	IgnoreFencing bool
	// LoadFor is how long loading a version takes (2 s).
	LoadFor time.Duration
	// CacheBlocks bounds the prefix cache in blocks of BlockBytes (1024).
	CacheBlocks int
	// EventDelay is the mean delay of cache events (500 ms), EventLoss the
	// fraction of events that are lost.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the minimum age of announced load reports (1 s).
	ReportLag time.Duration
	// LeaveGrace is how long a leaving model still accepts work (3 s).
	LeaveGrace time.Duration
	// Incarnation must increase each time a backend server with this ID restarts.
	Incarnation uint64
	Seed        uint64

	mu                  sync.Mutex
	rng                 *rand.Rand
	versions            []dhtable.Version
	faults              map[dhtable.Version]Faults
	state               lifecycleState
	epoch               int // incremented by each crash and stop, so that earlier timers are ignored
	queue               requestHeap
	running             []*request
	arrivals            int
	stepping            bool
	stalledUntil        time.Time
	cache               prefixCache
	events              eventLog
	reports             []loadReport
	sequence            uint64
	highestFencingToken uint64
	stats               Stats
	executions          map[string]int
	deliveries          []delivery
	delivering          bool
	stop                []func()
}

// Stats contains the counters of a model since its start.
type Stats struct {
	Arrived   int `json:"arrived"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Crashes   int `json:"crashes"`
	// ColdPeak is the highest load during a cold start, excluding the grace
	// time of an unannounced one.
	ColdPeak int `json:"cold-peak"`
	// LateArrivals counts requests that arrived more than LeaveGrace after
	// leaving began.
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
	m.executions = make(map[string]int)
	m.cache = newPrefixCache(m.CacheBlocks)
	if m.StartCold {
		m.beginColdStart(m.Timers.Now(), 0)
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

// Generate queues a request whose answer is sent to sink. If the request is
// refused, Done gets an error marked "not run" immediately. The returned
// function cancels the request. After it returns, sink is not called again, but
// a call already in progress may still complete.
func (m *Model) Generate(req *dhpb.GenerateRequest, sink Sink) (cancel func()) {
	m.mu.Lock()
	now := m.Timers.Now()
	m.stats.Arrived++
	r := m.newRequest(req, sink, now)
	if err := m.refusal(r, now); err != nil {
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

// refusal returns an error if the request cannot be accepted, or nil.
func (m *Model) refusal(r *request, now time.Time) error {
	notRun := func(c dhcode.Code, format string, args ...any) error {
		return dhcode.WithRan(dhcode.Errorf(c, format, args...), dhcode.NotRun)
	}
	switch {
	case m.state.down:
		return notRun(dhcode.BackendFailed, "backend server %q is down", m.ID)
	case m.state.leaving && now.Sub(m.state.leavingSince) > m.LeaveGrace:
		m.stats.LateArrivals++
		return notRun(dhcode.Leaving, "backend server %q is leaving", m.ID)
	case !m.isLoaded(r.version):
		return notRun(dhcode.VersionNotAllowed, "version %q is not loaded on backend server %q", r.version, m.ID)
	case m.queue.len() >= m.QueueLimit:
		return notRun(dhcode.QueueFull, "queue of backend server %q is full", m.ID)
	}
	return nil
}

// Cancel stops all queued and running attempts of a request and calls Done of
// their sinks with the code cancelled. It reports whether it found any.
func (m *Model) Cancel(requestID string) bool {
	m.mu.Lock()
	found := false
	for _, r := range m.allRequests() {
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

// Executions returns how many times a plain service executed a request id.
func (m *Model) Executions(requestID string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.executions[requestID]
}

// AllExecutions returns the number of executions of each request id.
func (m *Model) AllExecutions() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]int, len(m.executions))
	for id, n := range m.executions {
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
	chunk   *dhpb.Chunk // nil for a call of Done
	err     error
}

// unlockAndDeliver calls the sinks in order without holding the lock and
// returns with the lock released. Only one goroutine delivers at a time; others
// return at once, and the active one also makes their deliveries.
func (m *Model) unlockAndDeliver() {
	if m.delivering {
		m.mu.Unlock()
		return
	}
	m.delivering = true
	for len(m.deliveries) > 0 {
		batch := m.deliveries
		m.deliveries = nil
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
	m.delivering = false
	m.mu.Unlock()
}

// finish queues the final Done call of a request and counts its result. It has
// no effect on a request that has already ended.
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
	m.deliveries = append(m.deliveries, delivery{request: r, err: err})
}

// failAll ends all requests with err and invalidates pending timers.
func (m *Model) failAll(err error) {
	for _, r := range m.allRequests() {
		m.finish(r, err)
	}
	m.queue, m.running = requestHeap{}, nil
	m.epoch++
	m.stepping = false
}
