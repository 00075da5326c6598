package dhrouter

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// run processes a request on its own goroutine and completes its answer.
func (r *Router) run(ctx context.Context, q *request, a *dhanswer.Answer) {
	ctx, cancel := dhtimer.WithTimeout(ctx, r.Timers, q.deadline)
	defer cancel()
	var result *dhpb.AskResponse
	var err error
	if q.keyed() {
		result, err = r.answerKeyed(ctx, q, a)
	} else {
		result, err = r.answerOnce(ctx, &attempts{request: q}, a)
	}
	err = withDefaultRetryAfter(withContextCode(ctx, err))
	now := r.Timers.Now()
	if err != nil {
		r.logRefused(q.account.Name, q.AskRequest, err)
		// The caller may send the request again with the same id.
		r.Answers.Remove(q.account.Name, q.GetRequestId())
	} else {
		r.logAnswered(q, result, now)
	}
	a.Finish(result, err, now)
}

// withContextCode replaces the code of an error caused by the request's deadline
// or its cancellation.
func withContextCode(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	ran := dhcode.RanOf(err)
	switch dhcode.Of(err) {
	case dhcode.OutcomeUnknown, dhcode.InProgress, dhcode.BillNotSafe:
		return err
	}
	code := dhcode.Cancelled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		code = dhcode.DeadlineExceeded
	}
	return dhcode.WithRan(dhcode.Wrap(code, err), ran)
}

// defaultRetryAfter is the retry-after hint of a refusal whose cause states
// none. Within this time, announcements update the backend servers that this VM
// can use.
const defaultRetryAfter = time.Second

// withDefaultRetryAfter adds a retry-after hint to an error that a retry may
// avoid.
func withDefaultRetryAfter(err error) error {
	if err == nil || dhcode.RetryAfterOf(err) > 0 {
		return err
	}
	code := dhcode.Of(err)
	switch code {
	case dhcode.ClosedNotRun, dhcode.DeadlinePast, dhcode.DeadlineExceeded, dhcode.Cancelled:
		return err
	}
	if class := code.Class(); class != dhcode.ClassUnavailable && class != dhcode.ClassUnknown {
		return err
	}
	return dhcode.WithRetryAfter(err, defaultRetryAfter)
}

// answerKeyed processes a request that must run at most once.
func (r *Router) answerKeyed(ctx context.Context, q *request, a *dhanswer.Answer) (*dhpb.AskResponse, error) {
	if r.Snapshot().LeaseExpired {
		err := dhcode.Errorf(dhcode.OutcomeUnknown, "no majority of voters is reachable from entry VM %q", r.VM)
		return nil, dhcode.WithRan(err, dhcode.RanUnknown)
	}
	claim, status, err := r.Claims.Take(ctx, dhclaim.Request{
		Account: q.account.Name, Key: q.GetIdempotencyKey(), ID: q.GetRequestId(), Hash: contentHash(q.AskRequest),
	})
	if err != nil {
		return nil, err
	}
	if status != nil {
		return replay(status)
	}
	t := &attempts{request: q, claim: claim}
	result, err := r.answerOnce(ctx, t, a)
	if err == nil {
		return result, r.finishClaim(ctx, t, result)
	}
	return nil, r.endClaim(ctx, t, err)
}

// replay returns the stored outcome of an earlier attempt.
func replay(status *dhclaim.Status) (*dhpb.AskResponse, error) {
	if status.Code != dhcode.OK {
		return nil, dhcode.WithRan(dhcode.Errorf(status.Code, "request %q ended with an error", status.RequestID), dhcode.DidRun)
	}
	answer := status.Answer
	answer.Replayed = true
	return answer, nil
}

// finishClaim stores the outcome. The answer is already complete and billed, so
// a failed write is logged and retried later; until it succeeds, a repeated
// request is told that the first one is in progress.
func (r *Router) finishClaim(ctx context.Context, t *attempts, result *dhpb.AskResponse) error {
	r.settle(context.WithoutCancel(ctx), t, "outcome not stored", func(ctx context.Context) error {
		return r.Claims.Finish(ctx, t.claim, dhcode.OK, result)
	})
	return nil
}

// settle writes the final state of a claim. If no majority of voters answers, it
// retries in the background, so that the claim does not stay in progress
// forever.
func (r *Router) settle(ctx context.Context, t *attempts, failure string, write func(ctx context.Context) error) {
	err := write(ctx)
	if err == nil {
		return
	}
	r.Log.Warn(failure, slog.String("request", t.GetRequestId()), slog.String("error", err.Error()))
	r.Group.Go(func(ctx context.Context) error {
		for tries := 0; tries < settleTries && dhcode.Of(err) == dhcode.OutcomeUnknown; tries++ {
			if dhtimer.Sleep(ctx, r.Timers, settlePeriod) != nil {
				return nil
			}
			err = write(ctx)
		}
		return nil
	})
}

// endClaim settles the claim of a failed request. The error is marked "not run"
// only after the claim has been closed.
func (r *Router) endClaim(ctx context.Context, t *attempts, cause error) error {
	ctx, cancel := dhtimer.WithTimeout(context.WithoutCancel(ctx), r.Timers, settleTimeout)
	defer cancel()
	if !t.mayHaveRun {
		if err := r.Claims.Close(ctx, t.claim); err != nil {
			return dhcode.WithRan(dhcode.Wrap(dhcode.OutcomeUnknown, cause), dhcode.RanUnknown)
		}
		return dhcode.WithRan(cause, dhcode.NotRun)
	}
	r.settle(ctx, t, "claim not marked broken", func(ctx context.Context) error { return r.Claims.Break(ctx, t.claim) })
	return dhcode.WithRan(dhcode.Wrap(dhcode.OutcomeUnknown, cause), dhcode.RanUnknown)
}

const (
	// settleTimeout limits the time to settle a claim after the request has failed.
	settleTimeout = 5 * time.Second
	// settlePeriod is the pause between retries to settle a claim and settleTries
	// their maximum number. The retries last for about half an hour, since each may
	// take as long as the quorum timeout.
	settlePeriod = time.Second
	settleTries  = 600
)

// answerOnce admits a request, generates its answer and bills it.
func (r *Router) answerOnce(ctx context.Context, t *attempts, a *dhanswer.Answer) (*dhpb.AskResponse, error) {
	release, err := r.admit(ctx, t.request)
	if err != nil {
		return nil, err
	}
	defer release()
	r.Metrics.Observe(dhmetric.QueueTime, t.account.Name, t.route.Class, r.Timers.Now().Sub(t.received))
	result, err := r.cascade(ctx, t, a)
	if err != nil {
		return nil, t.withRan(err)
	}
	bill := r.bill(t.request, result)
	if err := r.Ledger.Put(context.WithoutCancel(ctx), bill); err != nil {
		t.mayHaveRun = true
		return nil, dhcode.WithRan(dhcode.Wrap(dhcode.BillNotSafe, err), dhcode.DidRun)
	}
	return result, nil
}

func (r *Router) admit(ctx context.Context, q *request) (func(), error) {
	if len(r.Snapshot().Backends.Pool(q.route.Pool)) == 0 {
		err := dhcode.Errorf(dhcode.NoBackend, "no backend server of pool %q is known", q.route.Pool)
		return nil, dhcode.WithRetryAfter(err, time.Second)
	}
	return r.Limiter.Admit(ctx, dhlimit.Request{
		Account: q.account, Class: q.route.Class, Pool: q.route.Pool, Priority: q.route.Priority,
		Deadline: q.deadline - r.Timers.Now().Sub(q.received),
	})
}

// BillID returns the id of a bill. It includes the account because callers
// choose request ids, which are therefore unique only within an account.
func BillID(account, requestID string) string { return account + "/" + requestID }

func (r *Router) bill(q *request, result *dhpb.AskResponse) *dhpb.Bill {
	tables := r.Snapshot().Tables
	cost := tables.Pools[q.route.Pool].Models[result.GetModel()].CostPer1000Tokens
	return &dhpb.Bill{
		RequestId: BillID(q.account.Name, result.GetRequestId()), Account: q.account.Name, Route: q.route.Name,
		Model: result.GetModel(), Version: result.GetVersion(), Tokens: result.GetTokens(),
		Cost: cost * float64(result.GetTokens()) / 1000, Revision: tables.Revision, IdempotencyKey: q.GetIdempotencyKey(),
	}
}

// logAnswered logs and counts a completed answer.
func (r *Router) logAnswered(q *request, result *dhpb.AskResponse, now time.Time) {
	took := now.Sub(q.received)
	r.Metrics.Observe(dhmetric.WholeAnswer, q.account.Name, q.route.Class, took)
	r.Metrics.Count("answered", q.route.Name)
	r.Log.Info("answered", slog.String("request", result.GetRequestId()), slog.String("account", q.account.Name),
		slog.String("route", q.route.Name), slog.String("version", result.GetModel()+"/"+result.GetVersion()),
		slog.Int("tokens", int(result.GetTokens())), slog.Duration("took", took), slog.Bool("replayed", result.GetReplayed()))
}

// logRefused logs and counts a request that got no answer.
func (r *Router) logRefused(account string, req *dhpb.AskRequest, err error) {
	code := dhcode.Of(err)
	r.Metrics.Count("refused", code.String())
	r.Log.Info("refused", slog.String("request", req.GetRequestId()), slog.String("account", account),
		slog.String("route", req.GetRoute()), slog.String("code", code.String()),
		slog.String("ran", dhcode.RanOf(err).String()), slog.String("error", err.Error()))
}
