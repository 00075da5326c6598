package dhlimit

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
)

// Budget bounds the load that retries and hedges add, per pool. Each first
// attempt earns a part of a retry. It is safe for use by several goroutines.
type Budget struct {
	// Ratio is the accepted extra load; 0 means 0.1.
	Ratio float64
	// Max bounds what is saved up, so that a quiet time does not allow a
	// storm of retries later; 0 means 10.
	Max float64

	mu     sync.Mutex
	earned map[string]float64
	limits map[string]float64
}

// SetMax sets Max for one pool. A pool with more traffic may save up more
// where the accepted extra load is counted over a window.
func (b *Budget) SetMax(pool string, most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits == nil {
		b.limits = make(map[string]float64)
	}
	if _, known := b.limits[pool]; known || len(b.limits) < maxBudgets {
		b.limits[pool] = most
	}
}

// First counts a first attempt.
func (b *Budget) First(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = 0.1
	}
	if b.earned == nil {
		b.earned = make(map[string]float64)
	}
	if _, ok := b.earned[pool]; !ok && len(b.earned) >= maxBudgets {
		return
	}
	b.earned[pool] = min(b.earned[pool]+ratio, b.max(pool))
}

const maxBudgets = 256

func (b *Budget) max(pool string) float64 {
	if most, ok := b.limits[pool]; ok {
		return most
	}
	if b.Max > 0 {
		return b.Max
	}
	return 10
}

// Retry spends one retry, or returns the code retry-budget-spent. The first
// attempt may have run, so the error does not say "not run".
func (b *Budget) Retry(pool string) error {
	if !b.spend(pool, 1) {
		return dhcode.Errorf(dhcode.RetryBudgetSpent, "the retry budget of pool %q is spent", pool)
	}
	return nil
}

// Hedge spends one hedge and reports whether it is permitted: only repeatable
// requests are hedged, and only from the upper half of the budget, so that
// hedges leave retries enough.
func (b *Budget) Hedge(pool string, repeatable bool) bool {
	return repeatable && b.spendFrom(pool, 2)
}

// spendFrom spends one retry if at least one part in so many of the bound is left.
func (b *Budget) spendFrom(pool string, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(pool, max(1, b.max(pool)/part))
}

func (b *Budget) spend(pool string, least float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(pool, least)
}

func (b *Budget) take(pool string, least float64) bool {
	// Ten times 0.1 add up to slightly less than 1.
	if b.earned[pool] < least-1e-9 {
		return false
	}
	b.earned[pool]--
	return true
}

// Backoff spaces retries.
type Backoff struct {
	// Base is the mean delay before the first retry, 0 means 50 ms; Max
	// bounds the delay, 0 means 2 s.
	Base, Max time.Duration
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
}

// Delay returns the delay before a retry, counted from 0. It is drawn from
// 0.5 to 1.5 times the doubled delay, so that retries of many VMs spread.
func (b Backoff) Delay(retry int) time.Duration {
	d := cmp.Or(b.Base, 50*time.Millisecond)
	limit := cmp.Or(b.Max, 2*time.Second)
	for range min(retry, 30) {
		d = min(2*d, limit)
	}
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(float64(min(d, limit)) * (0.5 + random()))
}
