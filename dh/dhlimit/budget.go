package dhlimit

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
)

// Budget bounds the load that retries and hedges add to each pool. Each first
// attempt earns a fraction of a retry. It is safe for use by several goroutines.
type Budget struct {
	// Ratio is the number of retries and hedges permitted per first attempt;
	// 0 means 0.1.
	Ratio float64
	// Max bounds the number of retries that a pool can accumulate, so that a
	// period without failures does not permit a burst of retries later; 0
	// means 10.
	Max float64

	mu        sync.Mutex
	balances  map[string]float64
	maxByPool map[string]float64
}

// SetMax sets Max for one pool. If the permitted extra load is counted over a
// window, a pool with more traffic may accumulate more retries.
func (b *Budget) SetMax(pool string, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxByPool == nil {
		b.maxByPool = make(map[string]float64)
	}
	if _, known := b.maxByPool[pool]; known || len(b.maxByPool) < maxBudgetPools {
		b.maxByPool[pool] = limit
	}
}

// RecordAttempt records a first attempt, which earns Ratio of a retry.
func (b *Budget) RecordAttempt(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = 0.1
	}
	if b.balances == nil {
		b.balances = make(map[string]float64)
	}
	if _, ok := b.balances[pool]; !ok && len(b.balances) >= maxBudgetPools {
		return
	}
	b.balances[pool] = min(b.balances[pool]+ratio, b.max(pool))
}

// maxBudgetPools bounds the number of pools in a Budget.
const maxBudgetPools = 256

func (b *Budget) max(pool string) float64 {
	if limit, ok := b.maxByPool[pool]; ok {
		return limit
	}
	if b.Max > 0 {
		return b.Max
	}
	return 10
}

// Retry spends one retry, or returns an error with the code retry-budget-spent.
// The first attempt may have run, so the error does not say "not run".
func (b *Budget) Retry(pool string) error {
	if !b.spend(pool, 1) {
		return dhcode.Errorf(dhcode.RetryBudgetSpent, "the retry budget of pool %q is spent", pool)
	}
	return nil
}

// Hedge spends one hedge and reports whether it is permitted. Only repeatable
// requests are hedged, and only while the budget is at least half full, so that
// hedges leave enough for retries.
func (b *Budget) Hedge(pool string, repeatable bool) bool {
	return repeatable && b.spendAbove(pool, 2)
}

// spendAbove spends one retry if at least max/divisor retries are left.
func (b *Budget) spendAbove(pool string, divisor float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdraw(pool, max(1, b.max(pool)/divisor))
}

func (b *Budget) spend(pool string, minBalance float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdraw(pool, minBalance)
}

func (b *Budget) withdraw(pool string, minBalance float64) bool {
	// The tolerance is needed because adding 0.1 ten times gives slightly less
	// than 1.
	if b.balances[pool] < minBalance-1e-9 {
		return false
	}
	b.balances[pool]--
	return true
}

// Backoff computes randomized exponential delays between retries.
type Backoff struct {
	// Base is the mean delay before the first retry, 0 means 50 ms; Max
	// bounds the delay, 0 means 2 s.
	Base, Max time.Duration
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
}

// Delay returns the delay before the given retry; the first retry is 0. The base
// delay is doubled for each earlier retry and multiplied by a random factor from
// 0.5 to 1.5, so that the retries of many VMs do not coincide.
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
