package dhrouter

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"slices"
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

// attempts is the state of a request while it is tried.
type attempts struct {
	*request
	claim *dhclaim.Claim
	// number of the newest attempt, over all steps of a cascade.
	number int32
	// dispatched is set once the claim is dispatching, mayHaveRun once a
	// backend server may have got the request.
	dispatched, mayHaveRun bool
	// failed are the backend servers that are not tried again.
	failed []string
	choice dhversion.Choice
	// prefix holds the hashes of the prompt for the chosen version.
	prefix []uint64
}

// contentHash covers what makes a keyed request the same one.
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

// generate makes an answer with one model. It tries again, within bounds, as
// long as that cannot make a request run twice.
func (r *Router) generate(ctx context.Context, t *attempts, model string, a *dhanswer.Answer) error {
	choice, err := r.Versions.Choose(r.versionInput(r.Snapshot(), t, model))
	if err != nil {
		return err
	}
	t.choice, t.failed, t.prefix = choice, nil, nil
	r.Retries.First(t.route.Pool)
	for retry := 0; ; retry++ {
		err := r.attempt(ctx, t, a)
		if err == nil || retry+1 >= r.MaxAttempts || !mayRetry(ctx, t, err) {
			return err
		}
		if r.Retries.Retry(t.route.Pool) != nil {
			return err
		}
		if text, _ := a.Len(); text > 0 {
			// The answer has begun, so it goes on with its version.
			t.choice.Pinned = true
		}
		if dhtimer.Sleep(ctx, r.Timers, r.Backoff(retry)) != nil {
			return err
		}
	}
}

// mayRetry reports whether another attempt after err can help and cannot make
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

// attempt places a request on one backend server and relays its answer.
func (r *Router) attempt(ctx context.Context, t *attempts, a *dhanswer.Answer) error {
	s := r.Snapshot()
	if err := dhversion.Usable(r.versionInput(s, t, t.choice.Version.Model), t.choice); err != nil {
		return err
	}
	place, err := r.place(s, t)
	if err != nil {
		return err
	}
	if err := r.dispatch(ctx, t); err != nil {
		r.Breakers.Cancel(place.backend.ID)
		place.done(nil)
		return err
	}
	t.number++
	a.StartAttempt(t.number, t.choice.Version.Model, t.choice.Version.Name)
	bounded, cancel := r.bound(ctx, place.backend.ID)
	first, err := r.relay(bounded, t, place.backend, a)
	cancel()
	place.done(err)
	r.ended(ctx, t, place.backend, a, first, err)
	return err
}

// withRan keeps the refusal of a later attempt from saying "not run" of a
// request whose earlier attempt may have run.
func (t *attempts) withRan(err error) error {
	if t.mayHaveRun && dhcode.RanOf(err) == dhcode.NotRun {
		return dhcode.WithRan(err, dhcode.RanUnknown)
	}
	return err
}

// ended records the end of an attempt that was sent.
func (r *Router) ended(ctx context.Context, t *attempts, b *dhbackend.Backend, a *dhanswer.Answer, first time.Duration, err error) {
	if err != nil {
		t.failed = append(t.failed, b.ID)
	}
	t.mayHaveRun = t.mayHaveRun || err == nil || dhcode.RanOf(err) != dhcode.NotRun
	if err != nil && ctx.Err() != nil {
		r.Breakers.Cancel(b.ID)
		return
	}
	r.Breakers.End(b.ID, err == nil)
	if first > 0 {
		r.Credits.FirstToken(b.ID, first)
	}
	_, tokens := a.Len()
	e := Event{Pool: t.route.Pool, Backend: b.ID, Version: t.choice.Version, Failed: err != nil, FirstToken: first, Tokens: tokens}
	// A bound that the caller chose says nothing about the version.
	if int(t.GetMaxTokens()) == t.route.MaxTokens {
		e.MaxTokens = t.route.MaxTokens
	}
	r.Report(e)
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
	// The tables may have changed while the claim was written.
	return dhversion.Usable(r.versionInput(r.Snapshot(), t, t.choice.Version.Model), t.choice)
}

// bound ends a request at a cold backend server when its credit ends.
func (r *Router) bound(ctx context.Context, id string) (context.Context, context.CancelFunc) {
	longest := r.Credits.LongestRun(id)
	if longest <= 0 {
		return ctx, func() {}
	}
	return dhtimer.WithTimeout(ctx, r.Timers, longest)
}

// place is where an attempt runs. Done is called once when it has ended.
type place struct {
	backend *dhbackend.Backend
	done    func(err error)
}

// place chooses a backend server whose circuit breaker permits the attempt
// and, in a cold start, takes a credit.
func (r *Router) place(s *Snapshot, t *attempts) (place, error) {
	if t.prefix == nil {
		t.prefix = dhengine.PrefixHashes(nil, t.choice.Version, t.GetPrompt())
	}
	req := dhplacement.Request{
		Pool: t.route.Pool, Version: t.choice.Version, Prefix: t.prefix, PromptTokens: dhengine.PromptTokens(t.GetPrompt()),
		ZoneWeights: s.ZoneWeight, Exclude: t.failed, Credit: r.Credits.Available,
	}
	for {
		p, err := r.Placer.Place(s.Backends, req)
		if err != nil {
			return place{}, err
		}
		id := p.Backend.ID
		release, ok := r.Credits.Acquire(id)
		if ok && r.Breakers.Begin(id) {
			r.Placer.Begin(p, req)
			return place{backend: p.Backend, done: func(err error) {
				release()
				r.Placer.End(p, err == nil)
			}}, nil
		}
		if ok {
			release()
		}
		req.Exclude = append(slices.Clone(req.Exclude), id)
	}
}

// relay calls a backend server and appends its chunks to the answer. It
// returns the time to the first token.
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

// completes reports whether a chunk is the last one of this attempt and its
// text ends where the answer does. A last chunk of another request ends nothing.
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
