package dhrouter

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// maxIDBytes bounds the length of request ids, idempotency keys and session ids.
const maxIDBytes = 256

// request is a validated request.
type request struct {
	*dhpb.AskRequest
	account  dhtable.Account
	route    dhtable.Route
	kind     dhtable.PoolKind
	received time.Time
	deadline time.Duration
	hash     uint64
}

// keyed reports whether the request must run at most once.
func (q *request) keyed() bool { return !q.route.Repeatable }

// Start begins to answer a request, or joins an earlier one with the same id
// that this VM is running or whose answer it keeps. An error means that the
// request was refused before any work. The refusal of a request with an
// idempotency key is not marked "not run", since an earlier attempt with the key
// may have run.
func (r *Router) Start(account dhtable.Account, req *dhpb.AskRequest) (answer *dhanswer.Answer, joined bool, err error) {
	q, err := r.check(account, req)
	if err != nil {
		r.logRefused(account.Name, req, err)
		if req.GetIdempotencyKey() != "" {
			err = dhcode.WithRan(err, dhcode.RanUnknown)
		}
		return nil, false, withDefaultRetryAfter(err)
	}
	answer, joined, err = r.Answers.Create(account.Name, q.GetRequestId(), q.hash)
	if err != nil {
		r.logRefused(account.Name, req, err)
		if q.keyed() {
			err = dhcode.WithRan(err, dhcode.RanUnknown)
		}
		return nil, false, withDefaultRetryAfter(err)
	}
	if joined {
		return answer, true, nil
	}
	ctx, cancel := context.WithCancel(r.Group.Context())
	// A keyed request continues when its answer has no reader, since its outcome
	// must be recorded.
	answer.SetCancel(cancel, !q.keyed())
	r.Group.Go(func(context.Context) error {
		defer cancel()
		r.run(ctx, q, answer)
		return nil
	})
	return answer, false, nil
}

// check validates a request and fills in its defaults.
func (r *Router) check(account dhtable.Account, req *dhpb.AskRequest) (*request, error) {
	s := r.Snapshot()
	if s.Tables == nil {
		return nil, dhcode.Errorf(dhcode.NoTables, "no tables are in force yet")
	}
	if s.Leaving {
		return nil, dhcode.Errorf(dhcode.Leaving, "entry VM %q is leaving", r.VM)
	}
	if !s.Tables.RouteAllowed(account.Name, req.GetRoute()) {
		return nil, dhcode.Errorf(dhcode.RouteNotAllowed, "account %q may not use route %q", account.Name, req.GetRoute())
	}
	route := s.Tables.Routes[req.GetRoute()]
	if err := checkFields(req, route); err != nil {
		return nil, err
	}
	q := &request{
		AskRequest: req, account: account, route: route, kind: s.Tables.Pools[route.Pool].Kind,
		received: r.Timers.Now(), deadline: route.Deadline, hash: fingerprint(req),
	}
	if req.GetDeadline() != nil {
		q.deadline = min(q.deadline, req.GetDeadline().AsDuration())
	}
	if q.deadline <= 0 {
		return nil, dhcode.Errorf(dhcode.DeadlinePast, "the deadline is %s past", -q.deadline)
	}
	if q.RequestId == "" {
		q.RequestId = r.NewRequestID()
	}
	if q.SessionId == "" && q.SessionToken == "" {
		// Every version choice for this request must yield the same version.
		q.SessionId = r.NewRequestID()
	}
	if q.MaxTokens == 0 || int(q.MaxTokens) > route.MaxTokens {
		q.MaxTokens = int32(route.MaxTokens)
	}
	return q, nil
}

func checkFields(req *dhpb.AskRequest, route dhtable.Route) error {
	for _, name := range []string{req.GetRequestId(), req.GetIdempotencyKey(), req.GetSessionId()} {
		if len(name) > maxIDBytes {
			return dhcode.Errorf(dhcode.RequestMalformed, "an id has %d bytes, at most %d are accepted", len(name), maxIDBytes)
		}
	}
	if req.GetMaxTokens() < 0 || req.GetPrompt() == "" {
		return dhcode.Errorf(dhcode.RequestMalformed, "the request needs a prompt and max_tokens that is not negative")
	}
	if !route.Repeatable && req.GetIdempotencyKey() == "" {
		return dhcode.Errorf(dhcode.IdempotencyKeyNeeded, "route %q is not repeatable and needs an idempotency key", route.Name)
	}
	return nil
}

// fingerprint returns a hash of a request's content without its id, session
// token and deadline.
func fingerprint(req *dhpb.AskRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{req.GetRoute(), req.GetPrompt(), req.GetIdempotencyKey()} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// Answer returns the answer of a request that is running or whose answer is
// still kept.
func (r *Router) Answer(account, requestID string) (*dhanswer.Answer, bool) {
	return r.Answers.Get(account, requestID)
}

// Cancel stops a running request. It returns false if there is none.
func (r *Router) Cancel(account, requestID string) bool {
	a, ok := r.Answers.Get(account, requestID)
	return ok && a.Cancel()
}
