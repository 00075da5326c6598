package dhcontrol

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgrant"
	"dandelionhoist.example/dh/dhlease"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// grantTerm is how long a copy of the grant table may be used after the grantor
	// handed it out: several watches of the VMs that pass it on.
	grantTerm = 2 * time.Second
	// grantorLease is the duration of the grantor's lease. It is renewed early
	// enough that the grantor can always hand out whole terms.
	grantorLease       = 3500 * time.Millisecond
	grantorRenewPeriod = 600 * time.Millisecond
	// grantorRetryPeriod is the time between two attempts of another control VM
	// to become the grantor.
	grantorRetryPeriod = 700 * time.Millisecond
	// allocatePeriod is the time between two allocations.
	allocatePeriod = 200 * time.Millisecond
	// grantorRegister names the lease of the grantor among the registers.
	grantorRegister = "rate-limits"
	// entrySilence is how long an entry VM that does not report keeps its parts. Its
	// copy of the table has expired by then.
	entrySilence = grantTerm
)

// grantor holds the rate limits that entry VMs report and the table that divides
// them. It is safe for concurrent use.
type grantor struct {
	control *Control
	lease   *dhlease.Holder

	mu sync.Mutex
	// direct holds the observations of the entry VMs that watch this VM, all those
	// of all entry VMs.
	direct, all dhgrant.Limits
	// table is the newest known table. It expires at a time by the clock of this
	// VM if another VM is the grantor.
	table   *dhpb.GrantTable
	own     bool
	expires time.Duration
}

func newGrantor(c *Control) *grantor {
	return &grantor{control: c, lease: &dhlease.Holder{
		Registers: c.proposer, Timers: suspendedTimers{c.Timers, c.Clock}, Pool: grantorRegister, Name: c.Name, Lease: grantorLease,
	}}
}

// suspendedTimers is a timer service whose time includes the time during which the
// VM is suspended.
type suspendedTimers struct {
	dhtimer.Service
	clock dhgrant.Clock
}

// Now implements dhtimer.Service.
func (s suspendedTimers) Now() time.Time { return time.Unix(0, int64(s.clock.Elapsed())) }

// merge applies observations of entry VMs. They are direct if this VM received
// them from an entry VM. Only those are passed on, so that the age of an
// observation does not change on its way around.
func (g *grantor) merge(list []*dhpb.BackendLimit, direct bool, from string) {
	if len(list) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.control.Timers.Now()
	for _, r := range list {
		if direct {
			g.direct.Merge(r, now)
		}
		if change := g.all.Merge(r, now); change != dhgrant.Unchanged {
			g.control.Metrics.Count("rate-limit", change.String())
			g.control.Log.Info("rate limit of backend server", slog.String("backend", r.GetId()), slog.Uint64("incarnation", r.GetIncarnation()),
				slog.String("change", change.String()), slog.String("limit", g.all.Get(r.GetId()).String()), slog.String("from", from))
		}
	}
}

// needed reports whether this VM knows of a limit.
func (g *grantor) needed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.all.Len() > 0
}

// records returns the observations of the entry VMs that watch this VM.
func (g *grantor) records() []*dhpb.BackendLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.direct.Records(g.control.Timers.Now())
}

// follow adopts a table that another control VM handed out in response to a call
// that was sent at a time by this VM's clock.
func (g *grantor) follow(t *dhpb.GrantTable, sent time.Duration) {
	if t == nil {
		return
	}
	g.mu.Lock()
	expires := sent + t.GetRemaining().AsDuration()
	changed := false
	switch order := compareTables(t, g.table); {
	case order < 0, order > 0 && t.GetUnchanged():
	case order > 0:
		g.table, g.own, g.expires, changed = t, false, expires, true
	case !g.own:
		g.expires = max(g.expires, expires)
	}
	g.mu.Unlock()
	if changed {
		g.control.notify()
	}
}

func compareTables(a, b *dhpb.GrantTable) int { return dhgrant.CompareTables(a.GetId(), b.GetId()) }

// current returns the table and how long a copy may be used that is handed out
// now, or nil if there is no valid table.
func (g *grantor) current() (*dhpb.GrantTable, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := g.expires - g.control.Clock.Elapsed()
	if g.own {
		remaining = min(g.ownRemaining(), grantTerm)
	}
	if g.table == nil || remaining <= 0 {
		return nil, 0
	}
	return g.table, remaining
}

// ownRemaining returns how long this VM remains the grantor.
func (g *grantor) ownRemaining() time.Duration {
	now := g.lease.Timers.Now()
	if token, ok := g.lease.MayOrder(now, false); !ok || token != g.table.GetId().GetToken() {
		return 0
	}
	return g.lease.Remaining(now)
}

// handOut returns the table for a caller that holds the given one, with all holders
// for a control VM and with the caller's own parts for an entry VM.
func (g *grantor) handOut(m *dhpb.ControlWatchRequest) *dhpb.GrantTable {
	t, remaining := g.current()
	if t == nil {
		return nil
	}
	out := &dhpb.GrantTable{Id: t.GetId(), Remaining: durationpb.New(remaining)}
	switch {
	case dhgrant.CompareTables(t.GetId(), m.GetGrants()) == 0:
		out.Unchanged = true
	case m.GetControl() != nil:
		out.Grants = t.GetGrants()
	default:
		out.Grants = dhgrant.GrantsOf(t, m.GetVm())
	}
	return out
}

// outdated reports whether a caller holds another table than this VM.
func (g *grantor) outdated(m *dhpb.ControlWatchRequest) bool {
	t, _ := g.current()
	return t != nil && dhgrant.CompareTables(t.GetId(), m.GetGrants()) > 0
}

// held identifies the table that this VM holds for the calls to other control VMs.
func (g *grantor) held() *dhpb.GrantTableId {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.GetId()
}

// run divides the limits while this VM is the grantor, and otherwise tries to
// become the grantor while there are limits.
func (g *grantor) run(ctx context.Context) error {
	c := g.control
	var allocator *dhgrant.Allocator
	var renewed, tried, needed time.Time
	for dhtimer.Sleep(ctx, c.Timers, allocatePeriod) == nil {
		now := c.Timers.Now()
		if !g.retain(now) {
			needed = time.Time{}
			if allocator != nil && now.Sub(renewed) < grantorLease {
				g.release(ctx)
			}
			allocator = nil
			continue
		}
		if needed.IsZero() {
			needed = now
		}
		token, granting := g.lease.MayOrder(g.lease.Timers.Now(), false)
		switch {
		case granting && allocator == nil:
			allocator = &dhgrant.Allocator{Term: grantTerm, Token: token, LastNumber: g.lastNumber(token)}
			c.Log.Info("grantor of rate limits", slog.Uint64("token", token))
		case !granting && allocator != nil:
			allocator = nil
			c.Log.Warn("no longer grantor of rate limits")
		}
		switch {
		case granting:
			g.allocate(now, allocator)
			if now.Sub(renewed) >= grantorRenewPeriod {
				renewed = now
				g.extend(ctx, g.lease.Renew)
			}
		case now.Sub(needed) >= time.Duration(c.rank())*rankDelay && now.Sub(tried) >= grantorRetryPeriod:
			tried = now
			if g.extend(ctx, func(ctx context.Context) error { _, err := g.lease.Acquire(ctx); return err }) {
				renewed = now
			}
		}
	}
	return nil
}

// lastNumber returns the number of the newest table with a token, or 0. A lease that has
// ended and that its holder renews before another VM takes it keeps its token.
func (g *grantor) lastNumber(token uint64) uint64 {
	if id := g.held(); id.GetToken() == token {
		return id.GetNumber()
	}
	return 0
}

// extend acquires or renews the lease and reports whether it succeeded.
func (g *grantor) extend(ctx context.Context, f func(context.Context) error) bool {
	ctx, cancel := dhtimer.WithTimeout(ctx, g.control.Timers, quorumTimeout)
	defer cancel()
	err := f(ctx)
	if err != nil && dhcode.Of(err) != dhcode.LeaseHeldElsewhere {
		g.control.Log.Warn("lease of the grantor not extended", slog.String("error", err.Error()))
	}
	return err == nil
}

// release gives up the lease. The table is empty for longer than any copy lasts by
// then, because ended limits are kept that long.
func (g *grantor) release(ctx context.Context) {
	g.control.Log.Info("no rate limits are left to grant")
	g.extend(ctx, g.lease.Release)
}

// retain removes the observations of backend servers that are gone, and reports
// whether any are left.
func (g *grantor) retain(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all.Len() == 0 && g.direct.Len() == 0 {
		return false
	}
	incarnations := make(map[string]uint64)
	for _, b := range g.control.registry.Backends() {
		incarnations[b.ID] = b.Incarnation
	}
	keep := func(id string, incarnation uint64) bool {
		present, ok := incarnations[id]
		return ok && present <= incarnation
	}
	g.direct.Retain(now, keep)
	g.all.Retain(now, keep)
	return g.all.Len() > 0
}

// allocate publishes the table that divides the limits now.
func (g *grantor) allocate(now time.Time, a *dhgrant.Allocator) {
	c := g.control
	var backends []dhgrant.Backend
	for _, b := range c.registry.Backends() {
		backends = append(backends, dhgrant.Backend{ID: b.ID, Pool: b.Pool, Incarnation: b.Incarnation})
	}
	vms := c.entries.holders(entrySilence)
	g.mu.Lock()
	t := a.Allocate(now, &g.all, backends, vms)
	changed := !g.own || compareTables(t, g.table) != 0
	g.table, g.own = t, true
	g.mu.Unlock()
	if changed {
		c.Metrics.Count("rate-limit", "granted")
		c.Log.Info("rate limits granted", slog.Uint64("token", t.GetId().GetToken()), slog.Uint64("number", t.GetId().GetNumber()),
			slog.Any("holders", dhgrant.Holders(t)), slog.Int("entry-vms", len(vms)))
		c.notify()
	}
}
