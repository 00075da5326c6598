package main

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhworkload"
)

// load sends one workload. Exported fields are set before run.
type load struct {
	Timers   dhtimer.Service
	Workload dhworkload.Workload
	Options  dhworkload.Options
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// InFlight bounds the requests in flight.
	InFlight int
	// Break is the share of streams that are broken and resumed.
	Break float64
	// Routers are the servers, with the key of each account.
	Routers map[string][]dhpbconnect.RouterServiceClient
	// Operators are the servers with an operator's key; without it there are none.
	Operators []dhpbconnect.OperatorServiceClient
	// CheckText checks the text of a complete answer; nil checks nothing.
	CheckText textCheck

	sessions sessionTable
}

// sessionTable holds what callers know about their sessions.
type sessionTable struct {
	mu       sync.Mutex
	sessions map[string]sessionState
}

// sessionState is a session token and the versions of the answers that led to it.
type sessionState struct {
	token    string
	versions map[string]string
}

func (t *sessionTable) get(id string) sessionState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[id]
}

// put stores the state after an answer to a request that was sent in the state before.
func (t *sessionTable) put(id string, before sessionState, a answer) {
	versions := maps.Clone(before.versions)
	if versions == nil {
		versions = make(map[string]string)
	}
	versions[a.Model] = a.Version
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions == nil {
		t.sessions = make(map[string]sessionState)
	}
	t.sessions[id] = sessionState{token: a.SessionToken, versions: versions}
}

// run sends requests for the duration and waits for their answers.
func (l *load) run(ctx context.Context) *report {
	report := newReport(l.Workload)
	generator := dhworkload.NewGenerator(l.Workload, l.Options)
	random := rand.New(rand.NewPCG(l.Options.Seed, 1))
	slots := make(chan struct{}, l.InFlight)
	group := dhgroup.New(ctx)
	start := l.Timers.Now()
	for {
		r := generator.Next()
		if r.At > l.Duration {
			break
		}
		planned := start.Add(r.At)
		if d := planned.Sub(l.Timers.Now()); d > 0 && dhtimer.Sleep(ctx, l.Timers, d) != nil {
			break
		}
		c := l.newCall(r, planned, random)
		select {
		case slots <- struct{}{}:
		default:
			report.notSent(r.Class)
			continue
		}
		group.Go(func(ctx context.Context) error {
			defer func() { <-slots }()
			c.do(ctx, report)
			return nil
		})
	}
	_ = group.Wait()
	report.checkOrders()
	l.checkRefusedOrders(context.WithoutCancel(ctx), report)
	return report
}

// newCall draws what the caller of a request does.
func (l *load) newCall(r dhworkload.Request, planned time.Time, random *rand.Rand) *call {
	before := l.sessions.get(r.Session)
	c := &call{
		load: l, request: r, planned: planned, before: before, breakAt: -1,
		routers: l.Routers[r.Account],
		ask: &dhpb.AskRequest{
			Route: r.Class, Prompt: r.Prompt(), RequestId: r.ID, IdempotencyKey: r.Key, SessionId: r.Session,
			SessionToken: before.token, MaxTokens: int32(r.AnswerTokens),
		},
	}
	c.server = random.IntN(len(c.routers))
	c.resendNow = random.IntN(2) == 0
	// The number of chunks is not known; early and late breaks are equally likely on a logarithmic scale.
	at := int(math.Pow(float64(r.AnswerTokens), random.Float64()))
	if random.Float64() < l.Break && !r.Unary {
		c.breakAt = at
	}
	return c
}
