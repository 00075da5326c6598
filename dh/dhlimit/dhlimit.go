// Package dhlimit decides which requests run now, wait or are refused.
//
// A Limiter applies each client account's rate and concurrency limit, split
// over the entry VMs with borrowing, and then a weighted fair queue per pool.
// A request that cannot be answered within its deadline is refused at once
// with a code that says "not run" and with the time after which a retry has a
// chance. Budget bounds retries and hedges, Breakers stop traffic to failing
// backend servers, HoldOffs keep it from those that asked for none, and Backoff
// spaces retries.
//
// # Usage
//
//	limiter := &dhlimit.Limiter{Timers: timers, Peers: peers}
//	limiter.SetMembers(dhlimit.Members{Alive: 9, Known: 9, Rank: 2}) // on each membership change
//	limiter.SetSlots("atelier-llm", 40)                              // each tick
//	limiter.Tick()                                                   // each tick, after SetSlots
//	release, err := limiter.Admit(ctx, dhlimit.Request{Account: account, Pool: "atelier-llm", Deadline: left})
//	if err != nil {
//		return err // not run
//	}
//	defer release()
//
// # Shares of a limit
//
// Each VM applies limit / max(alive, 3/4 of known) to itself. While members
// are partitioned, the sum over all sides is therefore at most 4/3 of the
// limit. Apart from that, a burst below the number of VMs counts as one
// request per VM, and lent tokens can add one second's worth of the rate.
package dhlimit

import (
	"cmp"
	"context"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Request is what admission depends on.
type Request struct {
	Account     dhtable.Account
	Class, Pool string
	// Priority orders an account's requests; higher runs first.
	Priority int
	// Deadline is the time left to the caller.
	Deadline time.Duration
	// Run is how long the request will probably run; 0 means what the
	// requests of its class took lately.
	Run time.Duration
}

// Members is what a VM's share of the limits depends on.
type Members struct {
	// Alive is the number of entry VMs that this VM sees, itself included.
	Alive int
	// Known also counts those that are unreachable but did not leave.
	Known int
	// Rank is this VM's place among the known ones, sorted by name, from 0.
	Rank int
}

// Peers asks other entry VMs for limits that they do not use.
type Peers interface {
	// Borrow returns what a peer gave up, which may be less than wanted.
	Borrow(ctx context.Context, account string, want Loan) (Loan, error)
}

// Limiter admits requests. Its exported fields are set before use. It is safe
// for use by several goroutines.
type Limiter struct {
	Timers dhtimer.Service
	// Peers lend unused limits; nil means none do.
	Peers Peers
	// MaxQueue bounds each pool's queue; 0 means 1024.
	MaxQueue int
	// MaxAccounts and MaxPools bound the tables; 0 means 4096 and 256.
	MaxAccounts, MaxPools int
	// BorrowTimeout bounds the question to a peer, 0 means 20 ms; after a
	// fruitless one the account asks no peer for BorrowPause, 0 means 100 ms.
	BorrowTimeout, BorrowPause time.Duration
	// MaxRun is the longest time that a request may run; 0 means 60 s. A
	// lender does not use a lent concurrency slot for that long after its lease.
	MaxRun time.Duration
	// DefaultRun is assumed for a class that no request of has ended; 0 means 1 s.
	DefaultRun time.Duration

	mu       sync.Mutex
	members  Members
	accounts map[string]*account
	pools    map[string]*pool
}

// SetMembers sets what this VM's share of the limits depends on.
func (l *Limiter) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
}

// SetSlots sets how many requests of this VM the pool's backend servers can
// run at once. It is called each tick; a freed slot is used again between ticks.
func (l *Limiter) SetSlots(name string, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pool(name); p != nil {
		p.slots = slots
		p.grant(l.Timers.Now())
	}
}

// Tick refuses waiting requests that can no longer be answered in time and
// forgets idle accounts.
func (l *Limiter) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Timers.Now()
	for _, p := range l.pools {
		p.refuseLate(now)
	}
	for name, a := range l.accounts {
		if a.idle(now) {
			delete(l.accounts, name)
		}
	}
}

// Admit returns when the request may run, or why it must not. The caller calls
// release when the request has ended. Errors state that the request did not
// run and carry rate-limited, concurrency-limited, queue-full, wait-too-long,
// pool-full, deadline-past, table-full, cancelled or deadline-exceeded.
func (l *Limiter) Admit(ctx context.Context, r Request) (release func(), err error) {
	if r.Deadline <= 0 {
		return nil, dhcode.Errorf(dhcode.DeadlinePast, "the deadline has passed")
	}
	w, a, err := l.enter(r)
	if code := dhcode.Of(err); (code == dhcode.RateLimited || code == dhcode.ConcurrencyLimited) && l.borrow(ctx, a, r) {
		w, a, err = l.enter(r)
	}
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		l.abandon(w, notRun(context.Cause(ctx)))
	}
	if w.err != nil {
		l.leave(a)
		return nil, w.err
	}
	if ctx.Err() != nil {
		l.release(w, a, false)
		return nil, notRun(context.Cause(ctx))
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(w, a, true) }) }, nil
}

// enter checks the account's limits and puts the request into the pool's
// queue, or grants it a slot at once.
func (l *Limiter) enter(r Request) (*waiter, *account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Timers.Now()
	a, p := l.account(r.Account), l.pool(r.Pool)
	if a == nil || p == nil {
		return nil, nil, dhcode.Errorf(dhcode.TableFull, "too many client accounts or pools are in use")
	}
	a.refresh(r.Account, l.members, now)
	if err := a.check(now, p.run(r)); err != nil {
		return nil, a, err
	}
	w, err := p.enter(r, now, cmp.Or(l.MaxQueue, 1024))
	if err != nil {
		return nil, a, err
	}
	a.take(now)
	return w, a, nil
}

// abandon takes a waiting request out of the queue, unless it has been decided.
func (l *Limiter) abandon(w *waiter, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.decided:
	default:
		w.pool.remove(w)
		w.refuse(err)
	}
}

func (l *Limiter) leave(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.running--
}

func (l *Limiter) release(w *waiter, a *account, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.running--
	w.pool.release(w, l.Timers.Now(), ran)
}

// PoolState is what Pool reports.
type PoolState struct {
	Slots, Running, Waiting int
	// Run is the mean time that requests run.
	Run time.Duration
}

// Pool returns the state of a pool's queue on this VM.
func (l *Limiter) Pool(name string) PoolState {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[name]
	if !ok {
		return PoolState{}
	}
	return PoolState{Slots: p.slots, Running: p.running, Waiting: p.queued, Run: p.all.mean}
}

func (l *Limiter) account(of dhtable.Account) *account {
	a, ok := l.accounts[of.Name]
	if !ok && len(l.accounts) < cmp.Or(l.MaxAccounts, 4096) {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{}
		l.accounts[of.Name] = a
	}
	return a
}

func (l *Limiter) pool(name string) *pool {
	p, ok := l.pools[name]
	if !ok && len(l.pools) < cmp.Or(l.MaxPools, 256) {
		if l.pools == nil {
			l.pools = make(map[string]*pool)
		}
		p = newPool(name, cmp.Or(l.DefaultRun, time.Second))
		l.pools[name] = p
	}
	return p
}

func notRun(err error) error {
	code := dhcode.Of(err)
	if code == dhcode.Internal {
		code = dhcode.Cancelled
	}
	return dhcode.WithRan(dhcode.Wrap(code, err), dhcode.NotRun)
}
