package dhrouter

import (
	"context"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtimer"
)

// exchange is a request's conversation with backend servers, as the front by
// which it came defines it. deliver decides where and how often it takes place.
type exchange interface {
	// pool names the pool whose retry budget the request uses.
	pool() string
	// wants returns what the next attempt needs of a backend server. It decides
	// anew on the newest snapshot, or returns why there must be no attempt.
	wants(s *Snapshot) (dhplacement.Request, error)
	// dispatch is the last step before the first byte is sent: it makes durable
	// what must be so, or returns why nothing must be sent.
	dispatch(ctx context.Context) error
	// relay sends the request to a backend server and passes the answer on. It
	// returns the time to the first token, or 0 when there was none.
	relay(ctx context.Context, p dhplacement.Placement) (first time.Duration, err error)
	// ended notes the result of relay. It returns what to report of the backend
	// server, and whether there is anything to report.
	ended(b *dhbackend.Backend, first time.Duration, err error) (e Event, ok bool)
	// again reports whether another attempt after err can help and is safe.
	again(ctx context.Context, err error) bool
	// spend takes another attempt from the retry budget.
	spend() error
	// pause returns the time to wait before another attempt.
	pause(retry int, err error) time.Duration
}

// deliver makes up to most attempts within the retry budget.
func (r *Router) deliver(ctx context.Context, x exchange, most int) error {
	r.Retries.First(x.pool())
	for retry := 0; ; retry++ {
		err := r.attempt(ctx, x)
		if err == nil || retry+1 >= most || !x.again(ctx, err) || x.spend() != nil {
			return err
		}
		if pause := x.pause(retry, err); pause > 0 && dhtimer.Sleep(ctx, r.Timers, pause) != nil {
			return err
		}
	}
}

// attempt places a request on one backend server and relays its answer.
func (r *Router) attempt(ctx context.Context, x exchange) error {
	s := r.Snapshot()
	req, err := x.wants(s)
	if err != nil {
		return err
	}
	place, err := r.place(s, req)
	if err != nil {
		return err
	}
	if err := x.dispatch(ctx); err != nil {
		r.Breakers.Cancel(place.Backend.ID)
		place.done(nil)
		return err
	}
	first, err := x.relay(ctx, place.Placement)
	place.done(err)
	r.ended(ctx, x, place.Backend, first, err)
	return err
}

// ended records the end of an attempt.
func (r *Router) ended(ctx context.Context, x exchange, b *dhbackend.Backend, first time.Duration, err error) {
	e, ok := x.ended(b, first, err)
	if !ok || (err != nil && ctx.Err() != nil) {
		// It says nothing about the backend server.
		r.Breakers.Cancel(b.ID)
		return
	}
	if e.Unreachable {
		r.Breakers.Trip(b.ID)
	} else {
		r.Breakers.End(b.ID, err == nil)
	}
	if first > 0 {
		r.Credits.FirstToken(b.ID, first)
	}
	r.Report(e)
}

// place is where an attempt runs. Done is called once when it has ended.
type place struct {
	dhplacement.Placement
	done func(err error)
}

// place chooses a backend server whose circuit breaker permits the attempt
// and, in a cold start, takes a credit.
func (r *Router) place(s *Snapshot, req dhplacement.Request) (place, error) {
	for {
		p, err := r.choose(s, req)
		if err != nil {
			return place{}, err
		}
		id := p.Backend.ID
		release, ok := r.Credits.Acquire(id)
		if ok && r.Breakers.Begin(id) {
			r.Placer.Begin(&p, req)
			return place{Placement: p, done: func(err error) {
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
