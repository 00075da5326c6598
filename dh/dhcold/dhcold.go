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
//     counted from before it asked.
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
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

// Peers asks the other entry VMs of the zone for credits.
type Peers interface {
	// Borrow returns how many credits a peer lent and for how long.
	Borrow(ctx context.Context, backend string, want int) (n int, lease time.Duration, err error)
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
	// short is set when a request found no credit since the last Refill.
	short    bool
	wanted   time.Time
	lent     []loan
	borrowed []loan
	turned   detector
}

type loan struct {
	credits int
	until   time.Time
}

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
			if len(c.rows) >= orDefault(c.MaxBackends, 4096) {
				continue
			}
			r = &row{}
			c.rows[b.ID] = r
		}
		if r.backend != nil && b.Incarnation != r.backend.Incarnation {
			r.turned = detector{}
		}
		r.backend, r.home = b, c.home(b)
	}
	for id, r := range c.rows {
		r.lent, r.borrowed = current(r.lent, now), current(r.borrowed, now)
		if !present[id] && r.running == 0 && len(r.lent) == 0 && len(r.borrowed) == 0 {
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
			r.short = true
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

// Cold reports whether a backend server is treated as cold.
func (c *Credits) Cold(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rows[id]
	return ok && r.cold()
}

func (r *row) cold() bool { return r.backend.State != dhbackend.Ready || r.turned.cold }

// available returns how many requests this VM may run on a cold backend server.
func (c *Credits) available(r *row, now time.Time) int {
	r.lent, r.borrowed = current(r.lent, now), current(r.borrowed, now)
	n := sum(r.borrowed)
	if !now.Before(c.started.Add(c.hold())) {
		n += r.home - sum(r.lent)
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

func (c *Credits) lease() time.Duration   { return durationOr(c.Lease, 2*time.Second) }
func (c *Credits) longest() time.Duration { return durationOr(c.Longest, 30*time.Second) }

// Lend gives a zone peer credits that this VM does not use: half of them, or
// all when no request has wanted one for a second.
func (c *Credits) Lend(id string, want int) (n int, lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.rows[id]
	if !ok || now.Before(c.started.Add(c.hold())) {
		return 0, 0
	}
	r.lent = current(r.lent, now)
	unused := r.home - sum(r.lent) - r.running
	if now.Sub(r.wanted) < time.Second {
		unused /= 2
	}
	if n = min(want, unused); n <= 0 {
		return 0, 0
	}
	r.lent = append(r.lent, loan{n, now.Add(c.hold())})
	return n, c.lease()
}

// Refill borrows credits for the backend servers on which a request found
// none since the last call, and renews borrowed credits that are in use. It
// waits for peers, one question at a time.
func (c *Credits) Refill(ctx context.Context) {
	if c.Peers == nil {
		return
	}
	for id, want := range c.wants() {
		asked := c.Timers.Now()
		n, lease, err := c.Peers.Borrow(ctx, id, want)
		if err != nil || n <= 0 {
			continue
		}
		c.mu.Lock()
		if r, ok := c.rows[id]; ok {
			r.borrowed = append(r.borrowed, loan{n, asked.Add(lease)})
		}
		c.mu.Unlock()
	}
}

// wants returns how many credits to ask for by backend server.
func (c *Credits) wants() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	wants := make(map[string]int)
	for id, r := range c.rows {
		if r.short && r.cold() && r.backend.Zone == c.Zone {
			if n := r.backend.SustainableLoad - max(c.available(r, now), r.running); n > 0 {
				wants[id] = n
			}
		}
		r.short = false
	}
	return wants
}

func current(loans []loan, now time.Time) []loan {
	kept := loans[:0]
	for _, l := range loans {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	return kept
}

func sum(loans []loan) int {
	n := 0
	for _, l := range loans {
		n += l.credits
	}
	return n
}

func orDefault(n, d int) int {
	if n > 0 {
		return n
	}
	return d
}

func durationOr(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
