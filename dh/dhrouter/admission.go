package dhrouter

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtimer"
)

// minReportedRefusals is the number of refusals per second by backend servers of a pool
// from which this VM tells the demands on the pool, so that the sums are known soon.
const minReportedRefusals = 0.5

// admission decides which HTTP requests go to a backend server while the demand on their
// pool exceeds what it can serve. The zero value is ready to use.
type admission struct {
	demands    dhlimit.Demands
	holds      dhlimit.Holds
	contention dhlimit.Contention
	waiters    dhlimit.Waiters
	// refusals tracks the requests that ended with a refusal by a backend server.
	refusals arrivals
}

// UpdateAdmission applies what is known about all VMs' use of the pools. It is called by
// one goroutine.
func (r *Router) UpdateAdmission(n dhlimit.News) {
	for _, c := range r.admission.contention.Update(r.Timers.Now(), n) {
		name, v := "ended", c.Verdict
		if v.Contended {
			name = "begun"
		}
		r.Metrics.Count("contended", name)
		r.Log.Info("contention of a pool has "+name, slog.String("pool", c.Pool), slog.Int("slots", v.Totals.Slots), slog.Int("running", v.Totals.Running),
			slog.Float64("occupancy", v.Occupancy), slog.Float64("demand", v.Demand), slog.Float64("capacity", v.Capacity),
			slog.Duration("hold", v.Hold), slog.Duration("backlog", v.Backlog), slog.Int("demands", len(n.Demands)))
	}
	now := r.Timers.Now()
	for _, pool := range r.admission.waiters.Pools() {
		room := dhlimit.Room(n.Totals[pool], r.admission.contention.Verdict(pool, now), r.vms(), r.Random())
		r.admission.waiters.Grant(pool, room)
	}
}

// vms returns the number of entry VMs.
func (r *Router) vms() int {
	if r.Place == nil {
		return 1
	}
	_, vms := r.Place()
	return vms
}

// Demands returns the demands on pools that may become contended, to be told to control
// VMs.
func (r *Router) Demands() []dhlimit.Demand {
	now := r.Timers.Now()
	refusals := r.admission.refusals.rates(now)
	return r.admission.demands.List(now, func(pool string) bool {
		return r.admission.contention.Verdict(pool, now) != nil || refusals[pool] >= minReportedRefusals
	})
}

// enterPool decides whether the request may be sent now. leave must be called with the
// result of its delivery. An error means that nothing was sent.
func (f *forward) enterPool(ctx context.Context) (leave func(err error), err error) {
	r, a := f.router, &f.router.admission
	entered := r.Timers.Now()
	hold := a.holds.Get(f.poolName, f.route.Name)
	a.demands.Add(f.poolName, f.account, f.rank, hold, entered)
	if v := a.contention.Verdict(f.poolName, entered); v != nil && v.Contended {
		if err := f.checkShare(ctx, v, entered); err != nil {
			return nil, err
		}
		entered = r.Timers.Now()
	}
	pool := f.poolName
	return func(err error) {
		now := r.Timers.Now()
		switch {
		case err == nil && len(f.excluded) == 0: // with the attempts of a cascade
			v := a.contention.Verdict(pool, now)
			a.holds.Observe(pool, f.route.Name, now.Sub(entered), v != nil, v != nil && v.Contended)
		case dhcode.Of(err) == dhcode.QueueFull:
			a.refusals.add(pool, now)
		}
	}, nil
}

// checkShare refuses a request to a contended pool if its account demands more than its
// share and no room appears within a short wait, or if no slot is expected before its time
// is over.
func (f *forward) checkShare(ctx context.Context, v *dhlimit.Verdict, now time.Time) error {
	r := f.router
	left := f.limit - now.Sub(f.received)
	outcome, after := v.Decide(f.poolName, f.account, f.rank, left, r.Random())
	var err error
	switch outcome {
	case dhlimit.Passes:
		r.Metrics.Count("admission", "passed")
		return nil
	case dhlimit.OverShare:
		if f.awaitRoom(ctx, v, now) {
			r.Metrics.Count("admission", "passed-after-wait")
			return nil
		}
		if ctx.Err() != nil {
			return withContextCode(ctx, dhcode.WithRan(dhcode.Wrap(dhcode.Cancelled, ctx.Err()), dhcode.NotRun))
		}
		r.Metrics.Count("admission", "over-share")
		err = dhcode.Errorf(dhcode.PoolContended, "%.0f of %d slots of pool %q are demanded, and %.0f%% of the requests of account %q with rank %d pass",
			v.Demand, v.Totals.Slots, f.poolName, 100*v.PassRate(f.poolName, f.account, f.rank), f.account, f.rank)
	case dhlimit.TooLate:
		r.Metrics.Count("admission", "too-late")
		err = dhcode.Errorf(dhcode.WaitTooLong, "pool %q: the expected wait of %s exceeds the %s left", f.poolName, v.Backlog.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	// Between half and one and a half times, so that callers do not return together.
	after = time.Duration((0.5 + r.Random()) * float64(after))
	return f.withRetryAfter(dhcode.WithRetryAfter(err, after))
}

// awaitRoom waits for room in the pool for a short time and reports whether the request may
// be sent.
func (f *forward) awaitRoom(ctx context.Context, v *dhlimit.Verdict, now time.Time) bool {
	r := f.router
	untilLate := f.firstEventTarget() - now.Sub(f.received)
	wait := dhlimit.RoomWait(untilLate)
	if wait == 0 {
		return false
	}
	waiters := &r.admission.waiters
	w, ok := waiters.Add(v, f.poolName, f.rank, v.PassRate(f.poolName, f.account, f.rank), now, wait, untilLate, r.vms())
	if !ok {
		return false
	}
	limited, cancel := dhtimer.WithTimeout(ctx, r.Timers, wait)
	defer cancel()
	select {
	case <-w.Passed():
	case <-limited.Done():
	}
	return !waiters.Remove(w) && ctx.Err() == nil
}

// Usable reports whether a backend server is in no hold-off and its circuit breaker is
// closed.
func (r *Router) Usable(b *dhbackend.Backend) bool {
	return r.holdOffs.Get(b.ID, b.Incarnation).Permits(r.Timers.Now(), 0) && !r.Breakers.Open(breakerOf(b))
}
