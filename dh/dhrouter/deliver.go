package dhrouter

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtimer"
)

// exchange is the part of a request's delivery that depends on the interface by
// which the request came. deliver decides where and how often the request is
// sent.
type exchange interface {
	// pool names the pool whose retry budget the request uses.
	pool() string
	// placementRequest returns what the next attempt requires of a backend server.
	// It checks the request against the newest snapshot and returns an error if no
	// further attempt is allowed.
	placementRequest(s *Snapshot) (dhplacement.Request, error)
	// dispatch runs immediately before the first byte is sent. It makes durable
	// whatever must be durable before the send, or returns why nothing may be sent:
	// errNewTables if the request must be placed again.
	dispatch(ctx context.Context) error
	// relay sends the request to a backend server and relays the answer. It returns
	// the time to the first token, or 0 if there was none.
	relay(ctx context.Context, p dhplacement.Placement) (first time.Duration, err error)
	// finishAttempt records the result of relay. It returns the event to report
	// about the backend server; ok is false if there is nothing to report.
	finishAttempt(b *dhbackend.Backend, first time.Duration, err error) (e Event, ok bool)
	// retryable reports whether another attempt after err can succeed and is safe.
	retryable(ctx context.Context, err error) bool
	// takeRetry takes one attempt from the retry budget.
	takeRetry() error
	// retryDelay returns the time to wait before the next attempt.
	retryDelay(retry int, err error) time.Duration
}

// deliver makes up to maxAttempts attempts within the retry budget.
func (r *Router) deliver(ctx context.Context, x exchange, maxAttempts int) error {
	r.Retries.RecordAttempt(x.pool())
	for retry := 0; ; retry++ {
		err := r.attempt(ctx, x)
		for errors.Is(err, errNewTables) {
			err = r.attempt(ctx, x) // nothing was sent
		}
		if err == nil || retry+1 >= maxAttempts || !x.retryable(ctx, err) || x.takeRetry() != nil {
			return err
		}
		if pause := x.retryDelay(retry, err); pause > 0 && dhtimer.Sleep(ctx, r.Timers, pause) != nil {
			return err
		}
	}
}

// attempt places a request on one backend server and relays its answer.
func (r *Router) attempt(ctx context.Context, x exchange) error {
	s := r.Snapshot()
	req, err := x.placementRequest(s)
	if err != nil {
		return err
	}
	place, err := r.place(s, req)
	if err != nil {
		return err
	}
	if err := x.dispatch(ctx); err != nil {
		r.Breakers.Cancel(breakerOf(place.Backend))
		place.done(nil)
		return err
	}
	first, err := x.relay(ctx, place.Placement)
	place.done(err)
	r.recordAttempt(ctx, x, place.Backend, first, err)
	return err
}

// recordAttempt updates the circuit breaker and the cold-start credits after an
// attempt and reports its event.
func (r *Router) recordAttempt(ctx context.Context, x exchange, b *dhbackend.Backend, first time.Duration, err error) {
	e, ok := x.finishAttempt(b, first, err)
	if !ok || (err != nil && ctx.Err() != nil) {
		// The result does not show whether the backend server is healthy.
		r.Breakers.Cancel(breakerOf(b))
		if ok && e.OutOfTime {
			r.Report(e)
		}
		return
	}
	if e.Unreachable {
		r.Breakers.Trip(breakerOf(b))
	} else {
		r.Breakers.End(breakerOf(b), err == nil)
	}
	if first > 0 {
		r.Credits.FirstToken(b.ID, first)
	}
	r.Report(e)
}

// breakerOf names the breaker of an incarnation of a backend server: one that has started
// again is another one, though its id may be the same.
func breakerOf(b *dhbackend.Backend) string {
	if b.Incarnation == 0 {
		return b.ID
	}
	return b.ID + "@" + strconv.FormatUint(b.Incarnation, 10)
}

// reservation is the placement of an attempt. done must be called once, when the
// attempt has ended.
type reservation struct {
	dhplacement.Placement
	done func(err error)
}

// place chooses a backend server whose circuit breaker and rate limit permit the
// attempt and, during a cold start, acquires a credit.
func (r *Router) place(s *Snapshot, req dhplacement.Request) (reservation, error) {
	for {
		p, err := r.placePermitted(s, req)
		if err != nil {
			return reservation{}, err
		}
		id := p.Backend.ID
		release, ok := r.Credits.Acquire(id)
		breaker := breakerOf(p.Backend)
		if ok && r.Breakers.Begin(breaker) {
			if r.RateLimits != nil && !r.RateLimits.Acquire(p.Backend) {
				r.Breakers.Cancel(breaker)
				release()
				req.Exclude = append(slices.Clone(req.Exclude), id)
				continue
			}
			r.Placer.Begin(&p, req)
			return reservation{Placement: p, done: func(err error) {
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
