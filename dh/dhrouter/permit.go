package dhrouter

import (
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgrant"
	"dandelionhoist.example/dh/dhplacement"
)

// placePermitted places a request on a backend server that is not in a hold-off
// and whose rate limit, if any, permits it. A backend server whose pause or limit
// has just ended receives a fraction of the requests, or all of them if no other
// one is available.
func (r *Router) placePermitted(s *Snapshot, req dhplacement.Request) (dhplacement.Placement, error) {
	now := r.Timers.Now()
	draw := 0.0
	if r.Random != nil {
		draw = r.Random()
	}
	permit := req.Permit
	var d denials
	req.Permit = func(b *dhbackend.Backend) bool {
		return (permit == nil || permit(b)) && r.permits(b, now, draw, &d)
	}
	p, err := r.Placer.Place(s.Backends, req)
	if d.limited {
		r.Metrics.Count("rate-limit", "held-back")
	}
	if err == nil || !d.any() {
		return p, err
	}
	draw, d = 0, denials{}
	p, err = r.Placer.Place(s.Backends, req)
	if !d.any() || dhcode.Of(err) != dhcode.NoBackend {
		return p, err
	}
	return dhplacement.Placement{}, r.deniedError(req.Pool, now, d)
}

// denials collects why the candidates of a placement were not permitted.
type denials struct {
	heldOff, limited, full bool
	// pauseEnd is the end of the first pause.
	pauseEnd time.Time
	// limitWait is the shortest wait for a backend server with a rate limit, limiting
	// that backend server and limit its limit.
	limitWait time.Duration
	limiting  string
	limit     dhgrant.Limit
}

func (d *denials) any() bool { return d.heldOff || d.limited || d.full }

// permits reports whether hold-off and rate limit of a backend server permit a
// request with the random number draw.
func (r *Router) permits(b *dhbackend.Backend, now time.Time, draw float64, d *denials) bool {
	h := r.holdOffs.Get(b.ID, b.Incarnation)
	if !h.Permits(now, draw) {
		d.heldOff = true
		if end := h.Ends(); d.pauseEnd.IsZero() || (!end.IsZero() && end.Before(d.pauseEnd)) {
			d.pauseEnd = end
		}
		return false
	}
	if !r.hasRoom(b) {
		d.full = true
		return false
	}
	if r.RateLimits == nil || r.RateLimits.Available(b, draw) {
		return true
	}
	if wait, limit := r.RateLimits.Wait(b); !d.limited || wait < d.limitWait {
		d.limitWait, d.limiting, d.limit = wait, b.ID, limit
	}
	d.limited = true
	return false
}

// deniedError returns the error of a request that no backend server permits.
func (r *Router) deniedError(pool string, now time.Time, d denials) error {
	if d.limited {
		spread := 1.0
		if r.Random != nil {
			spread += r.Random() // callers do not all return at once
		}
		err := dhcode.Errorf(dhcode.PoolRateLimited, "the backend servers of pool %q that could serve the request permit no request of this VM now; the first to do so is %q, which limits all VMs to %s requests/s",
			pool, d.limiting, d.limit)
		return dhcode.WithRetryAfter(err, time.Duration(spread*float64(d.limitWait)))
	}
	if d.full && !d.heldOff {
		return dhcode.Errorf(dhcode.PoolFull, "the backend servers of pool %q that could serve the request are brittle and have no room for requests of this VM now", pool)
	}
	err := dhcode.Errorf(dhcode.PoolHeldOff, "all backend servers of pool %q that could serve the request leave or asked for a pause", pool)
	if !d.pauseEnd.IsZero() {
		err = dhcode.WithRetryAfter(err, d.pauseEnd.Sub(now))
	}
	return err
}
