// Package dhrouter answers requests: it admits a request, chooses a version
// and a backend server, relays the answer, bills it and releases it.
//
// Two interfaces share deliver, which decides where, how often and until when a
// request is sent: Start serves the connect interface, whose answers are kept
// and billed, and Forward relays HTTP requests unchanged.
//
// Request goroutines read an immutable Snapshot that the control loop
// publishes; they hold no lock during I/O.
//
// # Usage
//
//	router := &dhrouter.Router{Timers: timers, Answers: answers, Versions: chooser, Placer: placer, ...}
//	router.Publish(snapshot)
//	answer, joined, err := router.Start(account, request) // joins a request that is already running
//	part, err := answer.Read(ctx, 0)
//
//	begun, err := router.Forward(ctx, message, w) // an HTTP request
//
// An answer of the connect interface continues after the caller's connection is
// lost; the calls Resume and Cancel find it by its request id. A forwarded
// request ends with its caller's connection.
package dhrouter

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgrant"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

// Versions chooses the version of a request.
type Versions interface {
	Choose(in dhversion.Input) (dhversion.Choice, error)
}

// Placer chooses a backend server and counts the requests running on it.
type Placer interface {
	Place(view *dhbackend.View, req dhplacement.Request) (dhplacement.Placement, error)
	// Explain makes the decision of the next Place without changing any state.
	Explain(view *dhbackend.View, req dhplacement.Request) (dhplacement.Explanation, error)
	Begin(p *dhplacement.Placement, req dhplacement.Request)
	FirstToken(p dhplacement.Placement)
	End(p dhplacement.Placement, ok bool)
}

// Credits limits the requests at backend servers that are in a cold start.
type Credits interface {
	// Available reports whether Acquire may succeed.
	Available(b *dhbackend.Backend) bool
	// Acquire admits a request until release is called. It always succeeds for a
	// backend server that is not cold.
	Acquire(id string) (release func(), ok bool)
	// MaxRun returns the time limit of a request at a cold backend server; 0
	// means no limit.
	MaxRun(id string) time.Duration
	// FirstToken records the time to the first token of a request.
	FirstToken(id string, taken time.Duration)
}

// RateLimits tracks the limits that backend servers state on the requests of all
// entry VMs together.
type RateLimits interface {
	// Observe records the limit that an answer stated, or that it stated none.
	Observe(id string, incarnation uint64, o dhgrant.Observation) dhgrant.Change
	// Available reports whether Acquire would permit a request with the random
	// number draw, from 0 to 1. After a limit has ended, requests with a higher
	// number are permitted later.
	Available(b *dhbackend.Backend, draw float64) bool
	// Acquire permits and counts a request, immediately before it is sent.
	Acquire(b *dhbackend.Backend) bool
	// Wait returns the mean time until a limited backend server permits a request,
	// and its limit.
	Wait(b *dhbackend.Backend) (time.Duration, dhgrant.Limit)
}

// Limiter admits requests.
type Limiter interface {
	Admit(ctx context.Context, req dhlimit.Request) (release func(), err error)
}

// Retries limits the load added by retries.
type Retries interface {
	RecordAttempt(pool string)
	Retry(pool string) error
}

// Breakers stops traffic to backend servers that fail.
type Breakers interface {
	Open(id string) bool
	// Closed reports whether the backend server has had no recent failures.
	Closed(id string) bool
	Begin(id string) bool
	End(id string, ok bool)
	// Trip records an attempt that did not reach the backend server.
	Trip(id string)
	Cancel(id string)
}

// Claimer ensures that a request that is not repeatable runs at most once.
type Claimer interface {
	Take(ctx context.Context, req dhclaim.Request) (*dhclaim.Claim, *dhclaim.Status, error)
	Dispatch(ctx context.Context, c *dhclaim.Claim) error
	Finish(ctx context.Context, c *dhclaim.Claim, code dhcode.Code, answer *dhpb.AskResponse) error
	Break(ctx context.Context, c *dhclaim.Claim) error
	Close(ctx context.Context, c *dhclaim.Claim) error
	Outcome(ctx context.Context, account, key string) (*dhclaim.Status, error)
}

// Ledger stores bills durably.
type Ledger interface {
	Put(ctx context.Context, bill *dhpb.Bill) error
}

// Planner chooses the model of a cascade that answers first and decides whether
// its answer is good enough.
type Planner interface {
	Start(r dhcascade.Request) int
	Escalate(r dhcascade.Request, at int, s dhcascade.Signal) (next int, ok bool)
}

// Ratings sends answers to the rating service. A nil Ratings means that there is
// no rating service.
type Ratings interface {
	// Signal returns the rating that decides on an escalation, or an unknown one if
	// none arrives in time.
	Signal(ctx context.Context, s dhcascade.Sample) dhcascade.Signal
	// Offer submits an answer for later rating. It never blocks.
	Offer(s dhcascade.Sample) bool
}

// Engine sends requests to backend servers.
type Engine interface {
	// Generate starts a request. An error is marked "not run" only if the request
	// certainly did not run.
	Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (Stream, error)
}

// Stream is an answer that is being received. Next returns io.EOF after the last
// chunk.
type Stream interface {
	Next() (*dhpb.Chunk, error)
	Close() error
}

// Snapshot is the control state as seen by request goroutines. It is immutable.
type Snapshot struct {
	Tables *dhtable.Tables
	// Lease is the lease of Tables, for HTTP requests. It is part of the snapshot, so that
	// no request combines the tables of one snapshot with the lease of a later one. A nil
	// Lease is always valid.
	Lease Lease
	// LeaseExpired is set if the tables lease may end before the next snapshot, for requests
	// of the connect interface.
	LeaseExpired bool
	Backends     *dhbackend.View
	// Partial is set until Backends has contained every known backend server.
	Partial bool
	Holds   *dhversion.Holds
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool
	// ZoneWeight is the fraction of its normal load that a zone receives, from 0
	// for a zone that is out of service to 1.
	ZoneWeight map[string]float64
	// Rollouts holds the rollout state by pool, for pools whose backend servers run
	// one version each.
	Rollouts map[string]dhversion.Rollout
}

// LeaseValid reports whether the tables are recent enough to accept API keys.
func (s *Snapshot) LeaseValid() bool { return s.Lease == nil || s.Lease.Valid() }

// tablesFresh reports whether the tables are recent enough to deny a request for good.
func (s *Snapshot) tablesFresh() bool {
	return s.Lease == nil || s.Lease.ConfirmedWithin(maxDenialAge)
}

// Event reports the end of an attempt to the control loop.
type Event struct {
	Pool, Backend string
	Version       dhtable.Version
	Failed        bool
	FirstToken    time.Duration
	// Tokens is the length of a complete answer and MaxTokens its limit.
	Tokens, MaxTokens int
	// Unreachable is set if the backend server could not be reached or stalled.
	Unreachable bool
	// Answered is set if the backend server itself completed the answer, whether
	// successful or failed. Class is the request's class. Both are set for HTTP
	// requests only.
	Answered bool
	Class    string
	// AfterFailure is set if a backend server has already answered this request with
	// a failure. Such a request often fails again, on any version.
	AfterFailure bool
	// OutOfTime is set if the request's time ran out at the backend server.
	OutOfTime bool
	// BrokeOff is set if the backend server received the request and gave no complete
	// answer. Incarnation is that of the backend server.
	BrokeOff    bool
	Incarnation uint64
}

// Speed reports the speed of an answer to an HTTP request as soon as it is known,
// since a slow answer may end too late to count. One of the durations is set:
// first FirstToken, then for streams MeanEventInterval, the mean time between the
// first events.
type Speed struct {
	Pool, Class                   string
	Version                       dhtable.Version
	FirstToken, MeanEventInterval time.Duration
}

// Router answers requests. Its exported fields must be set before use.
type Router struct {
	Timers   dhtimer.Service
	Group    *dhgroup.Group
	Log      *slog.Logger
	Metrics  *dhmetric.Metrics
	Answers  *dhanswer.Table
	Versions Versions
	Placer   Placer
	Credits  Credits
	// RateLimits may be nil if no backend server states a limit.
	RateLimits RateLimits
	// Brittle tracks the pools whose backend servers end if they must refuse too many
	// requests; it may be nil. OwnLoad returns the number of this VM's requests on a
	// backend server, Place this VM's place among the entry VMs, from 0, and their number;
	// they are used with it.
	Brittle *dhlimit.Brittle
	OwnLoad func(id string) int
	Place   func() (rank, vms int)
	// Quarantine is used for HTTP requests; it may be nil.
	Quarantine Quarantine
	Limiter    Limiter
	Retries    Retries
	Breakers   Breakers
	Backoff    func(retry int) time.Duration
	Claims     Claimer
	Ledger     Ledger
	Planner    Planner
	Ratings    Ratings
	Engine     Engine
	// Transport and Random are used for HTTP requests. Random returns a number in [0, 1).
	Transport Transport
	Random    func() float64
	// AnswerMemory limits the memory for buffered answers of HTTP requests that are
	// not streams. An answer that does not fit is relayed as it arrives.
	AnswerMemory dhlimit.Memory
	// VM and Zone are the names of this entry VM and its zone.
	VM, Zone string
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// Report receives the events of attempts; it must not block.
	Report func(Event)
	// ReportSpeed receives the speeds of answers to HTTP requests; it must not block
	// and may be nil.
	ReportSpeed func(Speed)
	// NewRequestID returns an id for a request or session that has none.
	NewRequestID func() string

	snapshot atomic.Pointer[Snapshot]
	// stopsAt is when the answers to HTTP requests are broken off, or nil.
	stopsAt atomic.Pointer[time.Time]
	// started is the time of the first Publish, firstBackends that of the first
	// Publish with backend servers.
	started, firstBackends atomic.Pointer[time.Time]

	latencyFits latencyFits
	gains       gains
	delays      delays
	sessions    sessions
	holdOffs    dhlimit.HoldOffs
	arrivals    arrivals
	recentSends recentSends
	admission   admission
}

// SetSessionTimeout sets how long the release of a session is kept after its last
// HTTP request. It must be called before use.
func (r *Router) SetSessionTimeout(d time.Duration) { r.sessions.retention = d }

// StopAt tells the router when the answers to HTTP requests will be broken off. From now on
// it refuses those whose time for the complete answer is longer than that. Their callers can
// go to another VM, which a request that may not be repeated cannot once it was sent.
func (r *Router) StopAt(end time.Time) { r.stopsAt.Store(&end) }

// Publish sets the snapshot that request goroutines read.
func (r *Router) Publish(s *Snapshot) {
	now := r.Timers.Now()
	r.started.CompareAndSwap(nil, &now)
	if s.Backends.Len() > 0 {
		r.firstBackends.CompareAndSwap(nil, &now)
	}
	r.snapshot.Store(s)
}

// since returns the time elapsed since first, or 0 if first is not set.
func (r *Router) since(first *atomic.Pointer[time.Time]) time.Duration {
	if t := first.Load(); t != nil {
		return r.Timers.Now().Sub(*t)
	}
	return 0
}

// Snapshot returns the newest snapshot.
func (r *Router) Snapshot() *Snapshot {
	if s := r.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{Backends: new(dhbackend.Table).View(time.Time{}), LeaseExpired: true}
}
