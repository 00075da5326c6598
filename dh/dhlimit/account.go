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
	// knownShare is the part of the known members by which a limit is always
	// divided. Sides of a partition then add up to at most 1/knownShare of it.
	knownShare = 0.75
	// tokenLease is how long lent tokens may be used, and by how much of the
	// rate they can add to a burst.
	tokenLease = time.Second
	// slotLease is how long a lent concurrency slot may start requests.
	slotLease = 5 * time.Second
	// leaseMargin covers the difference between two clocks' rates.
	leaseMargin = 1.02
	// idleAfter is when an account without requests is forgotten; its bucket
	// would be full again for every burst of at most a minute's worth.
	idleAfter = time.Minute
)

// Loan is a part of an account's limits that moves between VMs.
type Loan struct {
	Tokens int
	Slots  int
	// Lease is how long the borrower may start requests with Slots. Tokens
	// are valid for one second.
	Lease time.Duration
}

// account is one client account's share of its limits on this VM.
type account struct {
	limits  dhtable.Account
	members Members
	bucket  *rate.Limiter
	// slots is the share of the concurrency limit, running what is used of it.
	slots, running int
	lent, borrowed []slotLoan
	tokens         int
	tokensUntil    time.Time
	used           time.Time
	asking         chan struct{}
	pauseUntil     time.Time
}

type slotLoan struct {
	slots int
	until time.Time
}

// divisor returns by how many VMs a limit is divided.
func (m Members) divisor() int {
	return max(1, m.Alive, int(math.Ceil(knownShare*float64(m.Known))))
}

// share returns this VM's part of a whole number; the parts add up to it.
func (m Members) share(limit int) int {
	d := m.divisor()
	n := limit / d
	if m.Rank < limit%d {
		n++
	}
	return n
}

// refresh applies the limits in the tables and the membership.
func (a *account) refresh(limits dhtable.Account, m Members, now time.Time) {
	a.used = now
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

func (a *account) check(now time.Time, run time.Duration) error {
	if a.limits.Concurrency > 0 && a.running >= a.available(now) {
		err := dhcode.Errorf(dhcode.ConcurrencyLimited, "account %q already has %d requests on this VM", a.limits.Name, a.running)
		return dhcode.WithRetryAfter(err, max(run/time.Duration(max(a.running, 1)), 10*time.Millisecond))
	}
	if tokens := a.bucket.TokensAt(now); a.bucket.Limit() != rate.Inf && tokens < 1 && !a.hasTokens(now) {
		err := dhcode.Errorf(dhcode.RateLimited, "account %q exceeds its rate", a.limits.Name)
		return dhcode.WithRetryAfter(err, time.Duration((1-tokens)/float64(a.bucket.Limit())*float64(time.Second)))
	}
	return nil
}

func (a *account) hasTokens(now time.Time) bool { return a.tokens > 0 && now.Before(a.tokensUntil) }

// take uses a token and a concurrency slot, borrowed tokens last.
func (a *account) take(now time.Time) {
	a.running++
	if !a.bucket.AllowN(now, 1) && a.hasTokens(now) {
		a.tokens--
	}
}

// available returns how many requests may run now.
func (a *account) available(now time.Time) int {
	a.lent, a.borrowed = current(a.lent, now), current(a.borrowed, now)
	return a.slots - sum(a.lent) + sum(a.borrowed)
}

func current(loans []slotLoan, now time.Time) []slotLoan {
	kept := loans[:0]
	for _, l := range loans {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	return kept
}

func sum(loans []slotLoan) int {
	n := 0
	for _, l := range loans {
		n += l.slots
	}
	return n
}

func (a *account) idle(now time.Time) bool {
	return a.running == 0 && a.asking == nil && now.Sub(a.used) > idleAfter &&
		len(current(a.lent, now)) == 0 && len(current(a.borrowed, now)) == 0
}

// Lend gives a peer up to half of what this VM does not use of an account's limits.
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
	// What has been borrowed is not lent on, since its lease would start again.
	own := min(a.available(now), a.slots-sum(a.lent)) - a.running
	if n := min(want.Slots, (own+1)/2); n > 0 {
		given.Slots = n
		until := now.Add(time.Duration(float64(slotLease)*leaseMargin) + cmp.Or(l.MaxRun, time.Minute))
		a.lent = append(a.lent, slotLoan{n, until})
	}
	return given
}

// borrow asks a peer for more and reports whether it gave something. One
// question per account is under way at a time; others wait for its answer.
func (l *Limiter) borrow(ctx context.Context, a *account, r Request) bool {
	if l.Peers == nil {
		return false
	}
	l.mu.Lock()
	now := l.Timers.Now()
	if asking := a.asking; asking != nil {
		l.mu.Unlock()
		select {
		case <-asking:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if now.Before(a.pauseUntil) {
		l.mu.Unlock()
		return false
	}
	done := make(chan struct{})
	a.asking = done
	// Half a second's worth of the share is enough until the next question.
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
	a.asking = nil
	if err != nil || (loan.Tokens == 0 && loan.Slots == 0) {
		a.pauseUntil = l.Timers.Now().Add(cmp.Or(l.BorrowPause, 100*time.Millisecond))
		return false
	}
	// The lease counts from before the question.
	if loan.Tokens > 0 {
		if !a.hasTokens(now) {
			a.tokens = 0
		}
		a.tokens += loan.Tokens
		a.tokensUntil = now.Add(tokenLease)
	}
	if loan.Slots > 0 {
		a.borrowed = append(a.borrowed, slotLoan{loan.Slots, now.Add(loan.Lease)})
	}
	return true
}
