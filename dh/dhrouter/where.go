package dhrouter

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhplacement"
)

// WhereQuery describes a request whose destination an operator asks for.
type WhereQuery struct {
	// Message is the request. Its key is not used: Account names the client account.
	Message *Message
	// Route names the route; if it is empty, host and path of the message select it.
	Route, Account string
	// Bytes is the length of the body.
	Bytes int
}

// Where states where a request would be sent now, and why.
type Where struct {
	Route, Pool, Model string
	Rank               int
	// OnTarget is set if the request runs on the target of a rollout.
	OnTarget bool
	// Refused is the error that the caller would get; Explanation.Candidates may say more.
	Refused     error
	Explanation dhplacement.Explanation
}

// whereDraw stands for the random number by which requests return to backend servers after a pause or a
// limit: Where answers for the median request.
const whereDraw = 0.5

// Where returns where a request would be sent now. It sends nothing and changes no state.
func (r *Router) Where(q WhereQuery) (Where, error) {
	s := r.Snapshot()
	if s.Tables == nil {
		return Where{}, dhcode.Errorf(dhcode.NoTables, "no tables are in force yet")
	}
	f := &forward{router: r, message: q.Message, received: r.Timers.Now()}
	if err := f.assume(s, q); err != nil {
		return Where{}, err
	}
	rollout := s.Rollouts[f.poolName]
	w := Where{Route: f.route.Name, Pool: f.poolName, Model: f.model, Rank: f.rank, OnTarget: f.onRolloutTarget(rollout)}
	if r.Quarantine != nil {
		if v, ok := r.Quarantine.Peek(f.causes()); ok {
			w.Refused = f.quarantined(v)
		}
	}
	var err error
	request := f.placement(s)
	request.Bytes = q.Bytes
	w.Explanation, err = r.explainPlacement(s, request, whereDraw)
	if dhcode.Of(err) == dhcode.NoBackend {
		// A request that nothing permits is tried again as the first to return.
		w.Explanation, err = r.explainPlacement(s, request, 0)
	}
	if w.Refused == nil {
		w.Refused = err
	}
	for i := range w.Explanation.Candidates {
		c := &w.Explanation.Candidates[i]
		switch {
		case c.Refused == dhplacement.RefusedPermit || c.Refused == dhplacement.RefusedExcluded:
			c.Refused = f.refusal(c.Backend, s)
		case c.Refused == "" && r.Breakers.Open(breakerOf(c.Backend)):
			c.Refused = breakerOpen // place would exclude it if it were chosen
		}
	}
	return w, nil
}

// assume sets what admit finds out about a request, without a key and without counting it.
func (f *forward) assume(s *Snapshot, q WhereQuery) error {
	if route, ok := s.Tables.Routes[q.Route]; ok {
		f.route = &route
	} else if f.route, ok = s.Tables.FindRoute(q.Message.Host, q.Message.Path); !ok || q.Route != "" {
		return dhcode.Errorf(dhcode.RouteUnknown, "no route is named %q, or none of host %q begins path %q", q.Route, q.Message.Host, q.Message.Path)
	}
	f.rank = f.route.Priority
	if q.Account != "" {
		account, ok := s.Tables.Accounts[q.Account]
		if !ok {
			return dhcode.Errorf(dhcode.UnknownKey, "no client account is named %q", q.Account)
		}
		f.account = account.Name
		if account.Rank != nil {
			f.rank = *account.Rank
		}
	}
	f.targetPoint = float64(xxhash.Sum64String(q.Message.ID)>>11) / (1 << 53)
	f.poolName, f.limit = f.route.Target(f.targetPoint), f.route.Deadline
	if f.session = q.Message.Session; f.session == "" {
		f.session = q.Message.ID
	}
	f.setParts()
	if q.Message.AnyModel && len(f.route.Cascade) > 0 {
		f.setModel(f.route.Cascade[0])
	} else {
		f.setModel(q.Message.Model)
	}
	return nil
}

// explainPlacement explains what place would do: backend servers with an open circuit breaker are
// excluded one after the other as they are chosen.
func (r *Router) explainPlacement(s *Snapshot, req dhplacement.Request, draw float64) (dhplacement.Explanation, error) {
	now := r.Timers.Now()
	permit := req.Permit
	var d denials
	req.Permit = func(b *dhbackend.Backend) bool {
		return (permit == nil || permit(b)) && r.permits(b, now, draw, &d)
	}
	for {
		e, err := r.Placer.Explain(s.Backends, req)
		switch {
		case dhcode.Of(err) == dhcode.NoBackend && d.limited && draw == 0:
			return e, dhcode.Errorf(dhcode.PoolRateLimited, "the backend servers of pool %q that could serve the request permit no request of this VM now", req.Pool)
		case dhcode.Of(err) == dhcode.NoBackend && d.any() && draw == 0:
			return e, r.deniedError(req.Pool, now, d)
		}
		if err != nil || !r.Breakers.Open(breakerOf(e.Placement.Backend)) {
			return e, err
		}
		req.Exclude = append(slices.Clone(req.Exclude), e.Placement.Backend.ID)
	}
}

const breakerOpen = "its circuit breaker is open"

// refusal returns why the router does not permit a request on a backend server.
func (f *forward) refusal(b *dhbackend.Backend, s *Snapshot) string {
	r, now := f.router, f.router.Timers.Now()
	rollout := s.Rollouts[f.poolName]
	on := f.onRolloutTarget(rollout)
	hold := r.holdOffs.Get(b.ID, b.Incarnation)
	switch {
	case slices.Contains(rollout.Excluded, b.Release):
		return fmt.Sprintf("release %q failed its rollout", b.Release)
	case !rollout.Permits(b.Release, on) && on:
		return fmt.Sprintf("the request runs on the target %q of the rollout", rollout.Target)
	case !rollout.Permits(b.Release, on):
		return fmt.Sprintf("the request does not run on release %q during the rollout", b.Release)
	case r.Breakers.Open(breakerOf(b)) || (!f.repeatable() && !r.Breakers.Closed(breakerOf(b))):
		return breakerOpen
	case !hold.Permits(now, whereDraw):
		if end := hold.Ends(); end.After(now) {
			return fmt.Sprintf("asked for a pause, which ends in %s", end.Sub(now).Round(time.Millisecond))
		}
		return "leaves, or its pause has just ended"
	case !r.hasRoom(b):
		return "is brittle and has no room for requests of this VM"
	case r.RateLimits != nil && !r.RateLimits.Available(b, whereDraw):
		wait, limit := r.RateLimits.Wait(b)
		return fmt.Sprintf("limits all VMs to %s requests/s; the part of this VM permits one in %s", limit, wait.Round(time.Millisecond))
	}
	return dhplacement.RefusedPermit
}
