// Package dhcold limits the total load of all entry VMs on a cold backend server
// to what it can sustain.
//
// A credit permits one concurrent request on a cold backend server. Each credit
// belongs to one entry VM of the backend server's zone, its home. The home follows
// from the zone slots in the settings and a hash of the backend server's id, so
// that the total is bounded without messages, also during a network partition.
// Unused credits are lent to zone peers with leases:
//
//   - The borrower starts requests with a lent credit only during the lease,
//     which it counts from before it asked. It renews the lease while it needs
//     the credit; a lender that needs the credit itself does not renew it.
//   - The lender uses the credit again once the lease and the run time of the
//     longest cold request have passed, with an allowance for differences
//     between the rates of the clocks.
//   - A restarted VM waits equally long before it uses its home credits, because
//     it does not know which credits it had lent or used before.
//
// The number of zone slots may be changed only while all entry VMs of the zone are
// stopped or the zone is taken out, because the change assigns credits to other
// homes.
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

// Peers borrows credits from the other entry VMs of the zone.
type Peers interface {
	// Names returns the names of the peers, in a different order on each call.
	Names() []string
	// Borrow calls Lend on a peer. The borrower argument of Lend is this VM's
	// name and incarnation: requests from before a restart may still use credits
	// that the earlier incarnation borrowed, so the new one must not renew them.
	Borrow(ctx context.Context, peer, backend string, want int) (n int, lease time.Duration, err error)
}

// Credits tracks the credits with which one entry VM may use cold backend
// servers. Its exported fields are set before use. It is safe for use by several
// goroutines.
type Credits struct {
	Timers dhtimer.Service
	// Zone is this VM's zone. It has no home credits for other zones.
	Zone string
	// Slot is this VM's zone slot, from 0 to Slots-1; Slots is the number of
	// zone slots.
	Slot, Slots int
	// Peers lends credits; nil disables borrowing.
	Peers Peers
	// Lease is how long a borrower may start requests with a lent credit; 0
	// means 2 s.
	Lease time.Duration
	// MaxColdRun is the longest time that a request on a cold backend server may
	// run by this VM's clock; 0 means 30 s. The caller ends the request by then.
	MaxColdRun time.Duration
	// ClockAllowance is the largest relative error of a clock's rate; 0 means 0.01.
	ClockAllowance float64
	// MaxBackends bounds the number of backend servers; 0 means 4096.
	MaxBackends int

	mu        sync.Mutex
	started   time.Time
	byBackend map[string]*creditState
}

// creditState holds the credits of one backend server.
type creditState struct {
	backend *dhbackend.Backend
	home    int
	running int
	// coldSince is when this VM began to treat the backend server as cold.
	coldSince time.Time
	// lastShortage is when a request last found no credit; lastDemand is when a
	// request last asked for one.
	lastShortage, lastDemand time.Time
	// lent holds the unexpired loans to each borrower. It is unknown which of the
	// answers arrived, so the largest loan counts.
	lent map[string][]loan
	// borrowed holds the latest loan from each lender.
	borrowed     map[string]loan
	coldDetector detector
}

type loan struct {
	credits int
	until   time.Time
}

// lendDelay is how long after the beginning of a cold start no credits are lent.
// Without it, a VM could lend credits before its own demand is known and would
// miss them for a lease and the longest run.
const lendDelay = 200 * time.Millisecond

// demandWindow is how long a request that asked for a credit or found none counts
// as demand.
const demandWindow = time.Second

// Update sets the announced backend servers. Others are removed once they have no
// lent or borrowed credits and no running requests.
func (c *Credits) Update(backends []*dhbackend.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	present := make(map[string]bool, len(backends))
	for _, b := range backends {
		present[b.ID] = true
		r, ok := c.byBackend[b.ID]
		if !ok {
			if len(c.byBackend) >= cmp.Or(c.MaxBackends, 4096) {
				continue
			}
			r = &creditState{lent: make(map[string][]loan), borrowed: make(map[string]loan)}
			c.byBackend[b.ID] = r
		}
		if r.backend != nil && b.Incarnation != r.backend.Incarnation {
			r.coldDetector = detector{}
		}
		r.backend, r.home = b, c.home(b)
		r.observe(now)
	}
	for id, r := range c.byBackend {
		if !present[id] && r.running == 0 && r.totalLent(now) == 0 && r.totalBorrowed(now) == 0 {
			delete(c.byBackend, id)
		}
	}
}

// now returns the current time. The first call starts the wait after a restart.
func (c *Credits) now() time.Time {
	now := c.Timers.Now()
	if c.byBackend == nil {
		c.byBackend = make(map[string]*creditState)
		c.started = now
	}
	return now
}

// home returns the number of a backend server's credits that have their home on
// this VM.
func (c *Credits) home(b *dhbackend.Backend) int {
	if b.Zone != c.Zone || c.Slots <= 0 {
		return 0
	}
	position := (c.Slot + int(xxhash.Sum64String(b.ID)%uint64(c.Slots))) % c.Slots
	n := max(b.SustainableLoad, 0)
	if position < n%c.Slots {
		return n/c.Slots + 1
	}
	return n / c.Slots
}

// Acquire reports whether a request may run on a backend server; the caller calls
// release when the request has ended. Requests on a ready backend server are always
// permitted, on a cold one only with a credit, and on an unknown one never.
func (c *Credits) Acquire(id string) (release func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.byBackend[id]
	if !ok {
		return nil, false
	}
	if r.cold() {
		r.lastDemand = now
		if r.running >= c.available(r, now) {
			r.lastShortage = now
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

// Available reports whether Acquire would permit a request now. If not, the call
// counts as demand for credits.
func (c *Credits) Available(b *dhbackend.Backend) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.byBackend[b.ID]
	if !ok {
		return false
	}
	if !r.cold() || r.running < c.available(r, now) {
		return true
	}
	r.lastDemand, r.lastShortage = now, now
	return false
}

// MaxRun returns how long a request on a backend server may run, or 0 if there
// is no bound. The caller ends a request on a cold backend server by then.
func (c *Credits) MaxRun(id string) time.Duration {
	if !c.Cold(id) {
		return 0
	}
	return c.longest()
}

// Cold reports whether a backend server is treated as cold.
func (c *Credits) Cold(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.byBackend[id]
	return ok && r.cold()
}

// observe records the beginning and the end of a cold start.
func (r *creditState) observe(now time.Time) {
	if !r.cold() {
		r.coldSince = time.Time{}
	} else if r.coldSince.IsZero() {
		r.coldSince = now
	}
}

func (r *creditState) cold() bool { return r.backend.State != dhbackend.Ready || r.coldDetector.cold }

// available returns how many requests this VM may run on a cold backend server.
func (c *Credits) available(r *creditState, now time.Time) int {
	n := r.totalBorrowed(now)
	if c.ownsHome(now) {
		n += r.home - r.totalLent(now)
	}
	return n
}

// hold returns how long after it was lent or used a credit may still be in use by
// another VM, or by a request that this VM started before a restart.
func (c *Credits) hold() time.Duration {
	allowance := c.ClockAllowance
	if allowance <= 0 {
		allowance = 0.01
	}
	return time.Duration(float64(c.lease()+c.longest()) * (1 + 2*allowance))
}

func (c *Credits) lease() time.Duration   { return cmp.Or(c.Lease, 2*time.Second) }
func (c *Credits) longest() time.Duration { return cmp.Or(c.MaxColdRun, 30*time.Second) }

// ownsHome reports whether this VM has been up long enough to know which of its
// home credits are in use.
func (c *Credits) ownsHome(now time.Time) bool { return !now.Before(c.started.Add(c.hold())) }

// totalLent returns the number of credits that other VMs may be using.
func (r *creditState) totalLent(now time.Time) int {
	n := 0
	for borrower := range r.lent {
		n += r.lentTo(borrower, now)
	}
	return n
}

// lentTo returns the number of credits that a borrower may be using, and removes
// expired loans.
func (r *creditState) lentTo(borrower string, now time.Time) int {
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

// totalBorrowed returns the number of borrowed credits with which requests may
// start, and removes expired loans.
func (r *creditState) totalBorrowed(now time.Time) int {
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

// Lend lends home credits to a zone peer. Want is the total number that the borrower
// wants, including those it has already borrowed; it may use n credits for the
// lease, counted from when it asked. Each answer replaces the borrower's earlier
// ones. A borrower is one incarnation of a VM. Lend adds at most half of the unused
// credits, or all of them if no request here has asked for one for a second. If a
// request here has recently found none, nothing is lent or renewed.
func (c *Credits) Lend(id, borrower string, want int) (n int, lease time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r, ok := c.byBackend[id]
	if !ok || !c.ownsHome(now) || now.Sub(r.lastShortage) < demandWindow || !r.cold() || now.Sub(r.coldSince) < lendDelay {
		return 0, 0
	}
	unused := max(r.home-r.totalLent(now)-r.running, 0)
	if now.Sub(r.lastDemand) < demandWindow {
		unused /= 2
	}
	// If the number of home credits has shrunk, loans above it are not renewed.
	n = min(want, r.lentTo(borrower, now)+unused, r.home)
	if n <= 0 {
		return 0, 0
	}
	r.lent[borrower] = append(r.lent[borrower], loan{n, now.Add(c.hold())})
	return n, c.lease()
}

// Refill borrows credits for the cold backend servers on which requests recently
// found none, and renews borrowed credits. It sends one borrow request at a time
// and waits for each answer.
func (c *Credits) Refill(ctx context.Context) {
	if c.Peers == nil {
		return
	}
	for _, id := range c.backendsInDemand() {
		for _, peer := range c.Peers.Names() {
			want, ok := c.creditsToRequest(id, peer)
			if !ok {
				continue
			}
			asked := c.Timers.Now()
			n, lease, err := c.Peers.Borrow(ctx, peer, id, want)
			if err != nil || n <= 0 {
				continue
			}
			c.mu.Lock()
			if r, ok := c.byBackend[id]; ok {
				r.borrowed[peer] = loan{n, asked.Add(lease)}
			}
			c.mu.Unlock()
		}
	}
}

// backendsInDemand returns the ids of the backend servers for which this VM needs
// credits.
func (c *Credits) backendsInDemand() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var ids []string
	for id, r := range c.byBackend {
		// While a VM has borrowed credits, its requests may find no shortage
		// although they depend on the loan.
		demand := now.Sub(r.lastShortage) < demandWindow || (now.Sub(r.lastDemand) < demandWindow && r.totalBorrowed(now) > 0)
		if demand && r.cold() && r.backend.Zone == c.Zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// creditsToRequest returns the total number of credits to request from a peer. It
// returns false unless more are needed or at least half of the peer's lease is over.
func (c *Credits) creditsToRequest(id, peer string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.byBackend[id]
	if !ok {
		return 0, false
	}
	now := c.now()
	more := 0
	if now.Sub(r.lastShortage) < demandWindow {
		more = max(r.backend.SustainableLoad-max(c.available(r, now), r.running), 0)
	}
	l, borrowed := r.borrowed[peer]
	renew := borrowed && l.until.Sub(now) < c.lease()/2
	return l.credits + more, more > 0 || renew
}
