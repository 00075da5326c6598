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

// run answers a request on its own goroutine and ends its answer.
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
	err = withHint(withCause(ctx, err))
	now := r.Timers.Now()
	if err != nil {
		r.refused(q.account.Name, q.AskRequest, err)
		// The request may be sent again with the same id.
		r.Answers.Remove(q.account.Name, q.GetRequestId())
	} else {
		r.answered(q, result, now)
	}
	a.Finish(result, err, now)
}

// withCause replaces the code of an error that is due to the end of the
// request's deadline or to its cancellation.
func withCause(ctx context.Context, err error) error {
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

// retryHint is the hint of a refusal whose cause gives none. Within it
// announcements change what this VM can use.
const retryHint = time.Second

// withHint adds a retry-after hint to an error that another try may avoid.
func withHint(err error) error {
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
	return dhcode.WithRetryAfter(err, retryHint)
}

// answerKeyed answers a request that must run at most once.
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

// finishClaim stores the outcome. The answer is whole and billed, so a failure
// to store it is logged and tried again later; until then a resend is told that
// the request is in progress.
func (r *Router) finishClaim(ctx context.Context, t *attempts, result *dhpb.AskResponse) error {
	r.settle(context.WithoutCancel(ctx), t, "outcome not stored", func(ctx context.Context) error {
		return r.Claims.Finish(ctx, t.claim, dhcode.OK, result)
	})
	return nil
}

// settle writes the end of a claim. When no majority of voters answers, it goes
// on in the background, so that the claim does not stay in progress for ever.
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

// endClaim settles a claim whose request failed. "Not run" is only said once
// the claim is closed.
func (r *Router) endClaim(ctx context.Context, t *attempts, cause error) error {
	ctx, cancel := dhtimer.WithTimeout(context.WithoutCancel(ctx), r.Timers, settleTimeout)
	defer cancel()
	if !t.mayHaveRun {
		if err := r.Claims.Close(ctx, t.claim); err != nil {
			return dhcode.WithRan(dhcode.Wrap(dhcode.OutcomeUnknown, cause), dhcode.RanUnknown)
		}
		return dhcode.WithRan(cause, dhcode.NotRun)
	}
	r.settle(ctx, t, "claim not broken", func(ctx context.Context) error { return r.Claims.Break(ctx, t.claim) })
	return dhcode.WithRan(dhcode.Wrap(dhcode.OutcomeUnknown, cause), dhcode.RanUnknown)
}

const (
	// settleTimeout bounds the settling of a claim after the request has failed.
	settleTimeout = 5 * time.Second
	// settlePeriod and settleTries are how often a claim that could not be
	// settled is tried again: for about half an hour, since each try may take
	// as long as the quorum timeout.
	settlePeriod = time.Second
	settleTries  = 600
)

// answerOnce admits a request, makes its answer and bills it.
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

// BillID identifies a bill. Request ids are chosen by callers, so they are
// unique only per account.
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

// answered logs and counts a whole answer.
func (r *Router) answered(q *request, result *dhpb.AskResponse, now time.Time) {
	took := now.Sub(q.received)
	r.Metrics.Observe(dhmetric.WholeAnswer, q.account.Name, q.route.Class, took)
	r.Metrics.Count("answered", q.route.Name)
	r.Log.Info("answered", slog.String("request", result.GetRequestId()), slog.String("account", q.account.Name),
		slog.String("route", q.route.Name), slog.String("version", result.GetModel()+"/"+result.GetVersion()),
		slog.Int("tokens", int(result.GetTokens())), slog.Duration("took", took), slog.Bool("replayed", result.GetReplayed()))
}

// refused logs and counts a request that got no answer.
func (r *Router) refused(account string, req *dhpb.AskRequest, err error) {
	code := dhcode.Of(err)
	r.Metrics.Count("refused", code.String())
	r.Log.Info("refused", slog.String("request", req.GetRequestId()), slog.String("account", account),
		slog.String("route", req.GetRoute()), slog.String("code", code.String()),
		slog.String("ran", dhcode.RanOf(err).String()), slog.String("error", err.Error()))
}
