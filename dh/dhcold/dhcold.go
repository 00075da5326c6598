// Package dhcold limits the load on cold backend servers to what they can
// sustain, summed over all entry VMs.
//
// A credit permits one concurrent request on a cold backend server. Each
// credit has a home among the entry VMs of the backend server's zone, given
// by the zone slots in the settings and rotated by a hash of the backend
// server, so that the sum is bounded without messages, also in a partition.
// Unused credits are lent to zone peers with leases:
//
//   - The borrower starts requests on a lent credit only during the lease,
//     counted from before it asked. It renews the lease while it needs the
//     credit; a lender that needs the credit itself does not renew it.
//   - The lender uses the credit again after the lease and the longest cold
//     request, with an allowance for the clocks' rates.
//   - A restarted VM waits that long too, because it does not know what it
//     lent or started before.
//
// The number of zone slots must be changed with all entry VMs of the zone
// stopped or the zone taken out, because the homes move with it.
//
// # Usage
//
//	credits := &dhcold.Credits{Timers: timers, Zone: "mrc-a", Slot: 1, Slots: 3, Peers: peers}
//	credits.Update(backends)      // each tick, with the announced backend servers
//	credits.Refill(ctx)           // each tick, on a goroutine that may wait for peers
//	release, ok := credits.Acquire(id)
//	credits.FirstToken(id, taken) // after each first token
package dhcold

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

// Peers asks the other entry VMs of the zone for credits.
type Peers interface {
	// Names returns the peers in an order that varies.
	Names() []string
	// Borrow calls Lend on a peer. The borrower is this VM's name and
	// incarnation: requests from before a restart may still use what the
	// earlier incarnation borrowed, so that this must not be renewed.
	Borrow(ctx context.Context, peer, backend string, want int) (n int, lease time.Duration, err error)
}

// Credits are one entry VM's permissions to use cold backend servers. Its
// exported fields are set before use. It is safe for use by several goroutines.
type Credits struct {
	Timers dhtimer.Service
	// Zone is this VM's zone. It has no home credits for other zones.
	Zone string
	// Slot is this VM's zone slot, from 0 to Slots-1.
	Slot, Slots int
	// Peers lend credits; nil means none do.
	Peers Peers
	// Lease is how long a lent credit may start requests; 0 means 2 s.
	Lease time.Duration
	// Longest is the longest time that a cold request may run, measured by
	// this VM; 0 means 30 s. The caller ends it by then.
	Longest time.Duration
	// ClockAllowance is the largest relative error of a clock's rate; 0 means 0.01.
	ClockAllowance float64
	// MaxBackends bounds the table; 0 means 4096.
	MaxBackends int

	mu      sync.Mutex
	started time.Time
	rows    map[string]*row
}

// row is what is known of one backend server.
type row struct {
	backend *dhbackend.Backend
	home    int
	running int
	// coldSince is when this VM began to treat the backend server as cold.
	coldSince time.Time
	// short is when a request last found no credit, wanted when one last asked.
	short, wanted time.Time
	// lent holds the unexpired answers to each borrower. Which of them
	// arrived is not known, so the largest counts.
	lent map[string][]loan
	// borrowed holds the latest answer of each lender.
	borrowed map[string]loan
	turned   detector
}

type loan struct {
	credits int
	until   time.Time
}

// settle is how long after the begin of a cold start nothing is lent, so that
// each VM's demand shows before its credits are gone for a lease and a run.
const settle = 200 * time.Millisecond

// recently is how long a request without a credit counts as demand.
const recently = time.Second

// Update applies the announced backend servers and forgets the others once
// nothing of theirs is lent, borrowed or running.
func (c *Credits) Update(backends []*dhbackend.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	present := make(map[string]bool, len(backends))
	for _, b := range backends {
		present[b.ID] = true
		r, ok := c.rows[b.ID]
		if !ok {
			if len(c.rows) >= cmp.Or(c.MaxBackends, 4096) {
				continue
			}
			r = &row{lent: make(map[string][]loan), borrowed: make(map[string]loan)}
			c.rows[b.ID] = r
		}
		if r.backend != nil && b.Incarnation != r.backend.Incarnation {
			r.turned = detector{}
		}
		r.backend, r.home = b, c.home(b)
		r.observe(now)
	}
	for id, r := range c.rows {
		if !present[id] && r.running == 0 && r.out(now) == 0 && r.in(now) == 0 {
			delete(c.rows, id)
		}
	}
}

// now returns the time. The first call starts the wait after a restart.
func (c *Credits) now() time.Time {
	now := c.Timers.Now()
	if c.rows == nil {
		c.rows = make(map[string]*row)
		c.started = now
	}
	return now
}

// home returns this VM's part of a backend server's credits.
func (c *Credits) home(b *dhbackend.Backend) int {
	if b.Zone != c.Zone || c.Slots <= 0 {
		return 0
	}
	turn := (c.Slot + int(xxhash.Sum64String(b.ID)%uint64(c.Slots))) % c.Slots
	n := max(b.SustainableLoad, 0)
	if turn < n%c.Slots {
		return n/c.Slots + 1
	}
	return n / c.Slots
}

// Acquire permits a request on a backend server until release is called. A
// ready backend server always permits it, a cold one with a credit only, and
// an unknown one never.
func (c *Credits) Acquire(id string) (release func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.rows[id]
	if !ok {
		return nil, false
	}
	if r.cold() {
		r.wanted = now
		if r.running >= c.available(r, now) {
			r.short = now
			return nil, false
		}
	}
	r.running++
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			r.running--
		})
	}, true
}

// Available reports whether Acquire would permit a request now. A refusal
// counts as demand for credits.
func (c *Credits) Available(b *dhbackend.Backend) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.rows[b.ID]
	if !ok {
		return false
	}
	if !r.cold() || r.running < c.available(r, now) {
		return true
	}
	r.wanted, r.short = now, now
	return false
}

// LongestRun returns how long a request on a backend server may run, or 0 for
// no bound. The caller ends a request on a cold one by then.
func (c *Credits) LongestRun(id string) time.Duration {
	if !c.Cold(id) {
		return 0
	}
	return c.longest()
}

// Cold reports whether a backend server is treated as cold.
func (c *Credits) Cold(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rows[id]
	return ok && r.cold()
}

// observe notes the begin of a cold start.
func (r *row) observe(now time.Time) {
	if !r.cold() {
		r.coldSince = time.Time{}
	} else if r.coldSince.IsZero() {
		r.coldSince = now
	}
}

func (r *row) cold() bool { return r.backend.State != dhbackend.Ready || r.turned.cold }

// available returns how many requests this VM may run on a cold backend server.
func (c *Credits) available(r *row, now time.Time) int {
	n := r.in(now)
	if c.ownsHome(now) {
		n += r.home - r.out(now)
	}
	return n
}

// hold returns how long a credit may be in use by another VM, or by this one
// before a restart, from when it was given.
func (c *Credits) hold() time.Duration {
	allowance := c.ClockAllowance
	if allowance <= 0 {
		allowance = 0.01
	}
	return time.Duration(float64(c.lease()+c.longest()) * (1 + 2*allowance))
}

func (c *Credits) lease() time.Duration   { return cmp.Or(c.Lease, 2*time.Second) }
func (c *Credits) longest() time.Duration { return cmp.Or(c.Longest, 30*time.Second) }

// ownsHome reports whether this VM knows that nobody else uses its home
// credits, other than those in its table.
func (c *Credits) ownsHome(now time.Time) bool { return !now.Before(c.started.Add(c.hold())) }

// out returns how many credits other VMs may be using.
func (r *row) out(now time.Time) int {
	n := 0
	for borrower := range r.lent {
		n += r.outTo(borrower, now)
	}
	return n
}

// outTo returns how many credits a borrower may be using, and drops expired answers.
func (r *row) outTo(borrower string, now time.Time) int {
	loans, n := r.lent[borrower], 0
	kept := loans[:0]
	for _, l := range loans {
		if now.Before(l.until) {
			kept = append(kept, l)
			n = max(n, l.credits)
		}
	}
	r.lent[borrower] = kept
	if len(kept) == 0 {
		delete(r.lent, borrower)
	}
	return n
}

// in returns how many borrowed credits may start requests.
func (r *row) in(now time.Time) int {
	n := 0
	for lender, l := range r.borrowed {
		if !now.Before(l.until) {
			delete(r.borrowed, lender)
			continue
		}
		n += l.credits
	}
	return n
}

// Lend answers a zone peer that wants to use the given number of this VM's
// home credits in all: n of them, for the lease from when it asked. The
// answer replaces the borrower's earlier ones; a borrower is one incarnation
// of a VM. New credits are half of the
// unused ones, or all when no request here has wanted one for a second; when
// requests here find none, nothing is lent or renewed.
func (c *Credits) Lend(id, borrower string, want int) (n int, lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.rows[id]
	if !ok || !c.ownsHome(now) || now.Sub(r.short) < recently || !r.cold() || now.Sub(r.coldSince) < settle {
		return 0, 0
	}
	unused := max(r.home-r.out(now)-r.running, 0)
	if now.Sub(r.wanted) < recently {
		unused /= 2
	}
	// A shrunken home does not renew what it no longer has.
	n = min(want, r.outTo(borrower, now)+unused, r.home)
	if n <= 0 {
		return 0, 0
	}
	r.lent[borrower] = append(r.lent[borrower], loan{n, now.Add(c.hold())})
	return n, c.lease()
}

// Refill borrows credits for the cold backend servers on which requests found
// none lately, and renews what is borrowed. It waits for peers, one question
// at a time.
func (c *Credits) Refill(ctx context.Context) {
	if c.Peers == nil {
		return
	}
	for _, id := range c.wants() {
		for _, peer := range c.Peers.Names() {
			want, ok := c.wantFrom(id, peer)
			if !ok {
				continue
			}
			asked := c.Timers.Now()
			n, lease, err := c.Peers.Borrow(ctx, peer, id, want)
			if err != nil || n <= 0 {
				continue
			}
			c.mu.Lock()
			if r, ok := c.rows[id]; ok {
				r.borrowed[peer] = loan{n, asked.Add(lease)}
			}
			c.mu.Unlock()
		}
	}
}

// wants returns the backend servers on which this VM needs credits.
func (c *Credits) wants() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var ids []string
	for id, r := range c.rows {
		// Borrowed credits in use hide the demand until they end.
		demand := now.Sub(r.short) < recently || (now.Sub(r.wanted) < recently && r.in(now) > 0)
		if demand && r.cold() && r.backend.Zone == c.Zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// wantFrom returns how many credits to ask a peer for in all, if it is to be
// asked: when more are needed, or when half of its lease is over.
func (c *Credits) wantFrom(id, peer string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rows[id]
	if !ok {
		return 0, false
	}
	now := c.now()
	more := 0
	if now.Sub(r.short) < recently {
		more = max(r.backend.SustainableLoad-max(c.available(r, now), r.running), 0)
	}
	l, borrowed := r.borrowed[peer]
	renew := borrowed && l.until.Sub(now) < c.lease()/2
	return l.credits + more, more > 0 || renew
}
