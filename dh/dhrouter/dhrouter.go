// Package dhrouter answers requests: it admits a request, chooses a version
// and a backend server, relays the answer, bills it and releases it.
//
// Two fronts share the decisions where, how often and until when a request is
// sent (deliver): Start takes requests of the connect interface, whose answers
// are kept and billed, and Forward passes HTTP requests on as they are.
//
// Traffic goroutines read an immutable Snapshot that the control loop
// publishes; they hold no lock over I/O.
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
// An answer of the connect interface goes on when the caller's connection is
// lost; Resume and Cancel find it by its request id. A forwarded request ends
// with its caller's connection.
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

// Placer chooses a backend server and counts what runs there.
type Placer interface {
	Place(view *dhbackend.View, req dhplacement.Request) (dhplacement.Placement, error)
	Begin(p *dhplacement.Placement, req dhplacement.Request)
	FirstToken(p dhplacement.Placement)
	End(p dhplacement.Placement, ok bool)
}

// Credits bounds the requests at backend servers in a cold start.
type Credits interface {
	// Available reports whether Acquire may succeed.
	Available(b *dhbackend.Backend) bool
	// Acquire permits a request until release is called. It always permits one
	// at a backend server that is not cold.
	Acquire(id string) (release func(), ok bool)
	// LongestRun bounds a request at a cold backend server; 0 is no bound.
	LongestRun(id string) time.Duration
	// FirstToken reports the time to the first token of a request.
	FirstToken(id string, taken time.Duration)
}

// Limiter admits requests.
type Limiter interface {
	Admit(ctx context.Context, req dhlimit.Request) (release func(), err error)
}

// Retries bounds the load that further attempts add.
type Retries interface {
	First(pool string)
	Retry(pool string) error
}

// Breakers stops traffic to backend servers that fail.
type Breakers interface {
	Open(id string) bool
	// Closed reports whether it has not failed lately.
	Closed(id string) bool
	Begin(id string) bool
	End(id string, ok bool)
	// Trip ends an attempt that did not reach the backend server.
	Trip(id string)
	Cancel(id string)
}

// Claimer keeps requests that are not repeatable from running twice.
type Claimer interface {
	Take(ctx context.Context, req dhclaim.Request) (*dhclaim.Claim, *dhclaim.Status, error)
	Dispatch(ctx context.Context, c *dhclaim.Claim) error
	Finish(ctx context.Context, c *dhclaim.Claim, code dhcode.Code, answer *dhpb.AskResponse) error
	Break(ctx context.Context, c *dhclaim.Claim) error
	Close(ctx context.Context, c *dhclaim.Claim) error
	Outcome(ctx context.Context, account, key string) (*dhclaim.Status, error)
}

// Ledger makes bills safe.
type Ledger interface {
	Put(ctx context.Context, bill *dhpb.Bill) error
}

// Planner says at which candidate of a cascade an answer starts and whether it
// is good enough.
type Planner interface {
	Start(r dhcascade.Request) int
	Escalate(r dhcascade.Request, at int, s dhcascade.Signal) (next int, ok bool)
}

// Ratings gets answers rated. A nil Ratings means that there is no rating
// service.
type Ratings interface {
	// Signal returns a rating that decides about an escalation, or one that is
	// not known when none comes in time.
	Signal(ctx context.Context, s dhcascade.Sample) dhcascade.Signal
	// Offer gives an answer for rating later. It never waits.
	Offer(s dhcascade.Sample) bool
}

// Engine calls backend servers.
type Engine interface {
	// Generate starts a request. Errors state "not run" where that is certain.
	Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (Stream, error)
}

// Stream is an answer that arrives. Next returns io.EOF after the last chunk.
type Stream interface {
	Next() (*dhpb.Chunk, error)
	Close() error
}

// Snapshot is what traffic knows of the control state. It is immutable.
type Snapshot struct {
	Tables       *dhtable.Tables
	LeaseExpired bool
	Backends     *dhbackend.View
	// Partial is set until Backends has held all backend servers that are known.
	Partial bool
	Holds   *dhversion.Holds
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool
	// ZoneWeight is the part of its normal load that a zone takes, from 0 for
	// a zone that is out to 1.
	ZoneWeight map[string]float64
	// Rollouts are the versions by pool, where backend servers run one version each.
	Rollouts map[string]dhversion.Rollout
}

// Event reports the end of an attempt to the control loop.
type Event struct {
	Pool, Backend string
	Version       dhtable.Version
	Failed        bool
	FirstToken    time.Duration
	// Tokens and MaxTokens are the length of a whole answer and its bound.
	Tokens, MaxTokens int
	// Unreachable is set when the backend server could not be reached, or was
	// silent for too long.
	Unreachable bool
	// Answered is set when the backend server ended the answer itself, well or
	// badly, Class is the request's class and Between the mean time between
	// two events. They are known of HTTP requests only.
	Answered bool
	Class    string
	Between  time.Duration
}

// Router answers requests. Exported fields are set before use.
type Router struct {
	Timers   dhtimer.Service
	Group    *dhgroup.Group
	Log      *slog.Logger
	Metrics  *dhmetric.Metrics
	Answers  *dhanswer.Table
	Versions Versions
	Placer   Placer
	Credits  Credits
	Limiter  Limiter
	Retries  Retries
	Breakers Breakers
	Backoff  func(retry int) time.Duration
	Claims   Claimer
	Ledger   Ledger
	Planner  Planner
	Ratings  Ratings
	Engine   Engine
	// Passer, Lease and Random serve HTTP requests. A nil Lease never ends;
	// Random returns a number in [0, 1).
	Passer Passer
	Lease  Lease
	Random func() float64
	// AnswerMemory bounds the answers of HTTP requests that are not streams;
	// those that do not fit are passed on as they come.
	AnswerMemory dhlimit.Memory
	// VM and Zone name the entry VM.
	VM, Zone string
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// Report takes events of attempts; it must not block.
	Report func(Event)
	// NewRequestID returns an id for a request that has none.
	NewRequestID func() string

	snapshot atomic.Pointer[Snapshot]
	// started is the time of the first Publish, firstBackends that of the first
	// one with backend servers.
	started, firstBackends atomic.Pointer[time.Time]

	paces    paces
	gains    gains
	delays   delays
	sessions sessions
	holdOffs dhlimit.HoldOffs
	arrivals arrivals
}

// KeepSessions sets how long after a request its session is remembered, for
// HTTP requests. It is called before use.
func (r *Router) KeepSessions(d time.Duration) { r.sessions.keep = d }

// Publish makes s the snapshot that traffic reads.
func (r *Router) Publish(s *Snapshot) {
	now := r.Timers.Now()
	r.started.CompareAndSwap(nil, &now)
	if s.Backends.Len() > 0 {
		r.firstBackends.CompareAndSwap(nil, &now)
	}
	r.snapshot.Store(s)
}

// since returns the time since one of the router's first times; 0 before it.
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
