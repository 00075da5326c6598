// Package dhlimit decides which requests run now, wait or are refused.
//
// A Limiter applies each client account's rate and concurrency limit, which the
// entry VMs divide among themselves and lend to each other, and then a weighted
// fair queue per pool. A request that cannot be answered within its deadline is
// refused at once with a code that says "not run" and with the time after which
// a retry may succeed. Budget bounds retries and hedges, Breakers stop traffic
// to failing backend servers, HoldOffs stop traffic to backend servers that
// asked for a pause or leave, and Backoff computes the delays between retries.
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
// Each VM applies limit / max(alive, 3/4 of known) to itself. During a network
// partition, the sum over all sides is therefore at most 4/3 of the limit. In
// addition, each VM permits a burst of at least one request, so a burst below
// the number of VMs counts as one request per VM, and lent tokens can add one
// second's worth of the rate.
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

// Request holds the properties of a request that admission depends on.
type Request struct {
	Account     dhtable.Account
	Class, Pool string
	// Priority orders an account's requests; a higher priority runs first.
	Priority int
	// Deadline is the time left until the caller's deadline.
	Deadline time.Duration
	// ExpectedRun is the expected run time of the request; 0 means the mean run time
	// of recent requests of its class.
	ExpectedRun time.Duration
}

// Members describes the membership of the entry VMs, which determines a VM's
// share of the limits.
type Members struct {
	// Alive is the number of entry VMs that this VM can reach, itself included.
	Alive int
	// Known is Alive plus the number of VMs that are unreachable but have not left.
	Known int
	// Rank is this VM's index among the known VMs sorted by name.
	Rank int
}

// Peers borrows unused parts of limits from other entry VMs.
type Peers interface {
	// Borrow returns what a peer lends, which may be less than wanted.
	Borrow(ctx context.Context, account string, want Loan) (Loan, error)
}

// Limiter admits requests. Its exported fields are set before use. It is safe
// for use by several goroutines.
type Limiter struct {
	Timers dhtimer.Service
	// Peers lends unused limits; nil disables borrowing.
	Peers Peers
	// MaxQueue bounds each pool's queue; 0 means 1024.
	MaxQueue int
	// MaxAccounts and MaxPools bound the number of accounts and pools; 0 means
	// 4096 and 256.
	MaxAccounts, MaxPools int
	// BorrowTimeout bounds a borrow request to a peer; 0 means 20 ms. After an
	// unsuccessful one, the account sends no other for BorrowPause; 0 means
	// 100 ms.
	BorrowTimeout, BorrowPause time.Duration
	// MaxRun is the longest time that a request may run; 0 means 60 s. A lender
	// uses a lent concurrency slot again only MaxRun after the lease has ended.
	MaxRun time.Duration
	// DefaultRun is the assumed mean run time until the first request of a
	// pool has ended; 0 means 1 s.
	DefaultRun time.Duration

	mu       sync.Mutex
	members  Members
	accounts map[string]*account
	pools    map[string]*pool
}

// SetMembers sets the membership that determines this VM's share of the limits.
func (l *Limiter) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
}

// SetSlots sets how many requests of this VM the pool's backend servers can
// run concurrently. It is called on each tick; between ticks, the slot of an
// ended request is granted to the next one.
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

// Admit waits until the request may run, or returns an error if it must not.
// The caller calls release when the request has ended. Errors state that the
// request did not run and carry one of the codes rate-limited, concurrency-limited,
// queue-full, wait-too-long, pool-full, deadline-past, table-full, cancelled or
// deadline-exceeded.
func (l *Limiter) Admit(ctx context.Context, r Request) (release func(), err error) {
	if r.Deadline <= 0 {
		return nil, dhcode.Errorf(dhcode.DeadlinePast, "the deadline has passed")
	}
	w, a, err := l.enqueue(r)
	if code := dhcode.Of(err); (code == dhcode.RateLimited || code == dhcode.ConcurrencyLimited) && l.borrow(ctx, a, r) {
		w, a, err = l.enqueue(r)
	}
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		l.cancelWait(w, notRun(context.Cause(ctx)))
	}
	if w.err != nil {
		l.releaseAccount(a)
		return nil, w.err
	}
	if ctx.Err() != nil {
		l.release(w, a, false)
		return nil, notRun(context.Cause(ctx))
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(w, a, true) }) }, nil
}

// enqueue checks the account's limits and adds the request to the pool's queue,
// or grants it a slot at once.
func (l *Limiter) enqueue(r Request) (*waiter, *account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Timers.Now()
	a, p := l.account(r.Account), l.pool(r.Pool)
	if a == nil || p == nil {
		return nil, nil, dhcode.Errorf(dhcode.TableFull, "too many client accounts or pools are in use")
	}
	a.refresh(r.Account, l.members, now)
	if err := a.checkLimits(now, p.expectedRun(r)); err != nil {
		return nil, a, err
	}
	w, err := p.enqueue(r, now, cmp.Or(l.MaxQueue, 1024))
	if err != nil {
		return nil, a, err
	}
	a.take(now)
	return w, a, nil
}

// cancelWait removes a waiting request from the queue, unless it was already
// granted or refused.
func (l *Limiter) cancelWait(w *waiter, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.decided:
	default:
		w.pool.remove(w)
		w.refuse(err)
	}
}

func (l *Limiter) releaseAccount(a *account) {
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

// PoolState is the state of a pool's queue on this VM.
type PoolState struct {
	Slots, Running, Waiting int
	// MeanRun is the mean run time of requests.
	MeanRun time.Duration
}

// Pool returns the state of a pool's queue on this VM.
func (l *Limiter) Pool(name string) PoolState {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[name]
	if !ok {
		return PoolState{}
	}
	return PoolState{Slots: p.slots, Running: p.running, Waiting: p.queued, MeanRun: p.overall.mean}
}

func (l *Limiter) account(limits dhtable.Account) *account {
	a, ok := l.accounts[limits.Name]
	if !ok && len(l.accounts) < cmp.Or(l.MaxAccounts, 4096) {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{}
		l.accounts[limits.Name] = a
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
