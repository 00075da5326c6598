package dhlimit

import (
	"cmp"
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// knownFraction is the fraction of the known members that the divisor of a
	// limit never falls below. During a partition, the shares of all sides add
	// up to at most 1/knownFraction of the limit.
	knownFraction = 0.75
	// tokenLease is how long a borrower may use lent tokens. Lent tokens can
	// raise a burst by at most the rate times tokenLease.
	tokenLease = time.Second
	// slotLease is how long a borrower may start requests in a lent
	// concurrency slot.
	slotLease = 5 * time.Second
	// leaseMargin lengthens the lender's lease to cover the difference between
	// the rates of two clocks.
	leaseMargin = 1.02
	// accountIdleTimeout is how long an account without requests is kept. After
	// that, its bucket would be full again if its burst is at most one minute's
	// worth of the rate.
	accountIdleTimeout = time.Minute
)

// Loan is the part of an account's limits that one VM lends to another.
type Loan struct {
	Tokens int
	Slots  int
	// Lease is how long the borrower may start requests with Slots. Tokens
	// are valid for one second.
	Lease time.Duration
}

// account holds the state of one client account's limits on this VM.
type account struct {
	limits  dhtable.Account
	members Members
	bucket  *rate.Limiter
	// slots is this VM's share of the concurrency limit; running is the number
	// of requests that run or wait.
	slots, running      int
	lent, borrowed      []slotLoan
	borrowedTokens      int
	borrowedTokensUntil time.Time
	lastUsed            time.Time
	borrowDone          chan struct{}
	borrowPauseUntil    time.Time
}

type slotLoan struct {
	slots int
	until time.Time
}

// divisor returns the number of VMs that a limit is divided by.
func (m Members) divisor() int {
	return max(1, m.Alive, int(math.Ceil(knownFraction*float64(m.Known))))
}

// share returns this VM's share of an integer limit. The shares of divisor VMs
// add up to the limit.
func (m Members) share(limit int) int {
	d := m.divisor()
	n := limit / d
	if m.Rank < limit%d {
		n++
	}
	return n
}

// refresh applies new limits from the tables and a new membership.
func (a *account) refresh(limits dhtable.Account, m Members, now time.Time) {
	a.lastUsed = now
	if a.bucket != nil && a.members == m && a.limits.RequestsPerSecond == limits.RequestsPerSecond &&
		a.limits.Burst == limits.Burst && a.limits.Concurrency == limits.Concurrency {
		return
	}
	a.limits, a.members = limits, m
	a.slots = m.share(limits.Concurrency)
	limit, burst := rate.Inf, 0
	if limits.RequestsPerSecond > 0 {
		limit = rate.Limit(limits.RequestsPerSecond / float64(m.divisor()))
		burst = limits.Burst
		if burst == 0 {
			burst = int(math.Ceil(limits.RequestsPerSecond))
		}
		burst = max(1, m.share(burst))
	}
	if a.bucket == nil {
		a.bucket = rate.NewLimiter(limit, burst)
		return
	}
	a.bucket.SetLimitAt(now, limit)
	a.bucket.SetBurstAt(now, burst)
}

func (a *account) checkLimits(now time.Time, expectedRun time.Duration) error {
	if a.limits.Concurrency > 0 && a.running >= a.available(now) {
		err := dhcode.Errorf(dhcode.ConcurrencyLimited, "account %q already has %d requests on this VM", a.limits.Name, a.running)
		return dhcode.WithRetryAfter(err, max(expectedRun/time.Duration(max(a.running, 1)), 10*time.Millisecond))
	}
	if tokens := a.bucket.TokensAt(now); a.bucket.Limit() != rate.Inf && tokens < 1 && !a.hasBorrowedTokens(now) {
		err := dhcode.Errorf(dhcode.RateLimited, "account %q exceeds its rate", a.limits.Name)
		return dhcode.WithRetryAfter(err, time.Duration((1-tokens)/float64(a.bucket.Limit())*float64(time.Second)))
	}
	return nil
}

func (a *account) hasBorrowedTokens(now time.Time) bool {
	return a.borrowedTokens > 0 && now.Before(a.borrowedTokensUntil)
}

// take uses a concurrency slot and a token. Borrowed tokens are used only when
// the bucket is empty.
func (a *account) take(now time.Time) {
	a.running++
	if !a.bucket.AllowN(now, 1) && a.hasBorrowedTokens(now) {
		a.borrowedTokens--
	}
}

// available returns the number of concurrency slots that this VM may use now.
func (a *account) available(now time.Time) int {
	a.lent, a.borrowed = unexpired(a.lent, now), unexpired(a.borrowed, now)
	return a.slots - totalSlots(a.lent) + totalSlots(a.borrowed)
}

func unexpired(loans []slotLoan, now time.Time) []slotLoan {
	kept := loans[:0]
	for _, l := range loans {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	return kept
}

func totalSlots(loans []slotLoan) int {
	n := 0
	for _, l := range loans {
		n += l.slots
	}
	return n
}

func (a *account) idle(now time.Time) bool {
	return a.running == 0 && a.borrowDone == nil && now.Sub(a.lastUsed) > accountIdleTimeout &&
		len(unexpired(a.lent, now)) == 0 && len(unexpired(a.borrowed, now)) == 0
}

// Lend lends a peer up to half of the part of an account's limits that this VM
// does not use.
func (l *Limiter) Lend(limits dhtable.Account, want Loan) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Timers.Now()
	a := l.account(limits)
	if a == nil {
		return Loan{}
	}
	a.refresh(limits, l.members, now)
	given := Loan{Lease: slotLease}
	if n := min(want.Tokens, int(a.bucket.TokensAt(now)/2)); n > 0 && a.bucket.AllowN(now, n) {
		given.Tokens = n
	}
	// Borrowed slots are not lent on, because that would start a new lease.
	lendable := min(a.available(now), a.slots-totalSlots(a.lent)) - a.running
	if n := min(want.Slots, (lendable+1)/2); n > 0 {
		given.Slots = n
		until := now.Add(time.Duration(float64(slotLease)*leaseMargin) + cmp.Or(l.MaxRun, time.Minute))
		a.lent = append(a.lent, slotLoan{n, until})
	}
	return given
}

// borrow asks a peer for tokens or slots and reports whether the account's
// limits should be checked again. Each account has at most one borrow request
// in flight; other callers wait until it ends.
func (l *Limiter) borrow(ctx context.Context, a *account, r Request) bool {
	if l.Peers == nil {
		return false
	}
	l.mu.Lock()
	now := l.Timers.Now()
	if inFlight := a.borrowDone; inFlight != nil {
		l.mu.Unlock()
		select {
		case <-inFlight:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if now.Before(a.borrowPauseUntil) {
		l.mu.Unlock()
		return false
	}
	done := make(chan struct{})
	a.borrowDone = done
	// Half a second's worth of the rate lasts until the next borrow request.
	want := Loan{}
	if a.bucket.Limit() != rate.Inf && a.bucket.TokensAt(now) < 1 {
		want.Tokens = max(1, int(float64(a.bucket.Limit())/2))
	}
	if a.limits.Concurrency > 0 && a.running >= a.available(now) {
		want.Slots = max(1, a.slots/2)
	}
	l.mu.Unlock()

	askCtx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.BorrowTimeout, 20*time.Millisecond))
	loan, err := l.Peers.Borrow(askCtx, r.Account.Name, want)
	cancel()

	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	a.borrowDone = nil
	if err != nil || (loan.Tokens == 0 && loan.Slots == 0) {
		a.borrowPauseUntil = l.Timers.Now().Add(cmp.Or(l.BorrowPause, 100*time.Millisecond))
		return false
	}
	// The lease is counted from before the borrow request was sent, so that it
	// never ends later here than at the lender.
	if loan.Tokens > 0 {
		if !a.hasBorrowedTokens(now) {
			a.borrowedTokens = 0
		}
		a.borrowedTokens += loan.Tokens
		a.borrowedTokensUntil = now.Add(tokenLease)
	}
	if loan.Slots > 0 {
		a.borrowed = append(a.borrowed, slotLoan{loan.Slots, now.Add(loan.Lease)})
	}
	return true
}
