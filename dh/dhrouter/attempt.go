package dhrouter

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

// attempts holds the state of a request across its attempts.
type attempts struct {
	*request
	claim *dhclaim.Claim
	// number is the number of the newest attempt, counted over all steps of a
	// cascade.
	number int32
	// dispatched is set once the claim is in state "dispatching", mayHaveRun once a
	// backend server may have received the request.
	dispatched, mayHaveRun bool
	// excluded holds the ids of the backend servers that are not tried again.
	excluded []string
	choice   dhversion.Choice
	// prefix holds the prefix hashes of the prompt for the chosen version.
	prefix []uint64
}

// contentHash returns a hash of the fields that must be equal in all requests
// with the same idempotency key.
func contentHash(req *dhpb.AskRequest) [32]byte {
	return sha256.Sum256([]byte(req.GetRoute() + "\x00" + req.GetPrompt()))
}

func (r *Router) versionInput(s *Snapshot, t *attempts, model string) dhversion.Input {
	return dhversion.Input{
		Tables: s.Tables, Account: t.account.Name, Route: t.route.Name, SessionID: t.GetSessionId(),
		Token: t.GetSessionToken(), Model: model, Holds: s.Holds, LeaseExpired: s.LeaseExpired,
		Loaded: func(v dhtable.Version) bool { return s.Backends.Loaded(t.route.Pool, v) },
	}
}

// generate produces an answer with one model. It retries within limits, but
// never if the request could run twice.
func (r *Router) generate(ctx context.Context, t *attempts, model string, a *dhanswer.Answer) error {
	choice, err := r.Versions.Choose(r.versionInput(r.Snapshot(), t, model))
	if err != nil {
		return err
	}
	t.choice, t.excluded, t.prefix = choice, nil, nil
	return r.deliver(ctx, &generation{attempts: t, router: r, answer: a}, r.MaxAttempts)
}

// generation is the exchange of a request of the connect interface.
type generation struct {
	*attempts
	router *Router
	answer *dhanswer.Answer
}

func (g *generation) pool() string { return g.route.Pool }

// placementRequest implements exchange.
func (g *generation) placementRequest(s *Snapshot) (dhplacement.Request, error) {
	if err := dhversion.Usable(g.router.versionInput(s, g.attempts, g.choice.Version.Model), g.choice); err != nil {
		return dhplacement.Request{}, err
	}
	if g.prefix == nil {
		g.prefix = dhengine.PrefixHashes(nil, g.choice.Version, g.GetPrompt())
	}
	return dhplacement.Request{
		Pool: g.route.Pool, Version: g.choice.Version, Prefix: g.prefix, PromptTokens: dhengine.PromptTokens(g.GetPrompt()),
		ZoneWeights: s.ZoneWeight, Exclude: g.excluded, Credit: g.router.Credits.Available,
	}, nil
}

// dispatch implements exchange.
func (g *generation) dispatch(ctx context.Context) error { return g.router.dispatch(ctx, g.attempts) }

// relay implements exchange.
func (g *generation) relay(ctx context.Context, p dhplacement.Placement) (time.Duration, error) {
	b := p.Backend
	g.number++
	g.answer.StartAttempt(g.number, g.choice.Version.Model, g.choice.Version.Name)
	bounded, cancel := g.router.withColdTimeout(ctx, b.ID)
	defer cancel()
	return g.router.relay(bounded, g.attempts, b, g.answer)
}

// finishAttempt implements exchange.
func (g *generation) finishAttempt(b *dhbackend.Backend, first time.Duration, err error) (Event, bool) {
	if err != nil {
		g.excluded = append(g.excluded, b.ID)
	}
	g.mayHaveRun = g.mayHaveRun || err == nil || dhcode.RanOf(err) != dhcode.NotRun
	_, tokens := g.answer.Len()
	e := Event{Pool: g.route.Pool, Backend: b.ID, Version: g.choice.Version, Failed: err != nil, FirstToken: first, Tokens: tokens}
	// A limit set by the caller is not a property of the version.
	if int(g.GetMaxTokens()) == g.route.MaxTokens {
		e.MaxTokens = g.route.MaxTokens
	}
	return e, true
}

// retryable implements exchange.
func (g *generation) retryable(ctx context.Context, err error) bool {
	return mayRetry(ctx, g.attempts, err)
}

// takeRetry implements exchange.
func (g *generation) takeRetry() error { return g.router.Retries.Retry(g.route.Pool) }

// retryDelay implements exchange.
func (g *generation) retryDelay(retry int, _ error) time.Duration {
	if text, _ := g.answer.Len(); text > 0 {
		// Part of the answer has been sent, so the rest must come from the same
		// version.
		g.choice.Pinned = true
	}
	return g.router.Backoff(retry)
}

// mayRetry reports whether another attempt after err can succeed and cannot make
// a keyed request run twice.
func mayRetry(ctx context.Context, t *attempts, err error) bool {
	if ctx.Err() != nil || (t.claim != nil && t.mayHaveRun) {
		return false
	}
	switch dhcode.Of(err) {
	case dhcode.BackendFailed, dhcode.StreamBroken, dhcode.Leaving, dhcode.QueueFull, dhcode.PoolFull:
		return true
	}
	return false
}

// withRan marks the refusal of a later attempt as "unknown" instead of "not run"
// if an earlier attempt of the request may have run.
func (t *attempts) withRan(err error) error {
	if t.mayHaveRun && dhcode.RanOf(err) == dhcode.NotRun {
		return dhcode.WithRan(err, dhcode.RanUnknown)
	}
	return err
}

// dispatch makes the claim of a keyed request durable before anything is sent.
func (r *Router) dispatch(ctx context.Context, t *attempts) error {
	if t.claim == nil || t.dispatched {
		return nil
	}
	if err := r.Claims.Dispatch(ctx, t.claim); err != nil {
		return err
	}
	t.dispatched = true
	// The tables may have changed while the claim was being written.
	return dhversion.Usable(r.versionInput(r.Snapshot(), t, t.choice.Version.Model), t.choice)
}

// withColdTimeout limits a request at a cold backend server to the duration of
// its credit.
func (r *Router) withColdTimeout(ctx context.Context, id string) (context.Context, context.CancelFunc) {
	limit := r.Credits.MaxRun(id)
	if limit <= 0 {
		return ctx, func() {}
	}
	return dhtimer.WithTimeout(ctx, r.Timers, limit)
}

// relay sends a request to a backend server and appends the received chunks to
// the answer. It returns the time to the first token.
func (r *Router) relay(ctx context.Context, t *attempts, b *dhbackend.Backend, a *dhanswer.Answer) (time.Duration, error) {
	offset, _ := a.Len()
	start := r.Timers.Now()
	stream, err := r.Engine.Generate(ctx, b.Address, &dhpb.GenerateRequest{
		RequestId: t.GetRequestId(), Attempt: t.number, Model: t.choice.Version.Model, Version: t.choice.Version.Name,
		Prompt: t.GetPrompt(), MaxTokens: t.GetMaxTokens(), Priority: int32(t.route.Priority), Offset: int64(offset),
		Deadline: durationpb.New(t.deadline - start.Sub(t.received)),
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	var first time.Duration
	last, whole := start, false
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && whole {
			return first, nil
		}
		if errors.Is(err, io.EOF) {
			return first, dhcode.Errorf(dhcode.StreamBroken, "the answer of backend server %q ended without its last chunk", b.ID)
		}
		if err == nil {
			err = a.Append(chunk)
		}
		if err != nil {
			return first, err
		}
		whole = whole || t.completes(chunk, a)
		now := r.Timers.Now()
		r.observeToken(t, last, now, first == 0)
		if first == 0 {
			first = max(now.Sub(start), 1)
		}
		last = now
	}
}

// completes reports whether a chunk is the last one of this attempt and its text
// ends at the end of the answer. The last chunk of another request does not
// complete the answer.
func (t *attempts) completes(c *dhpb.Chunk, a *dhanswer.Answer) bool {
	if !c.GetLast() || c.GetRequestId() != t.GetRequestId() || c.GetAttempt() != t.number {
		return false
	}
	end, _ := a.Len()
	return c.GetOffset()+int64(len(c.GetText())) == int64(end)
}

func (r *Router) observeToken(t *attempts, last, now time.Time, first bool) {
	if first {
		r.Metrics.Observe(dhmetric.FirstToken, t.account.Name, t.route.Class, now.Sub(t.received))
		return
	}
	r.Metrics.Observe(dhmetric.BetweenTokens, t.account.Name, t.route.Class, now.Sub(last))
}
