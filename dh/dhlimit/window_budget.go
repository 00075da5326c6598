package dhlimit

import (
	"cmp"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtimer"
)

// budgetBuckets is the number of intervals into which a WindowBudget divides its
// window. Each one costs 16 bytes for a pool, and rounding takes a fraction of about
// 2/budgetBuckets from the permitted retries.
const budgetBuckets = 100

const defaultBudgetWindow = 10 * time.Second

// WindowBudget bounds the retries of each pool in a sliding window: in the window that
// ends with a retry, to a ratio of its requests and a number beyond that. All retries
// that the bound permits can be used, whether failures are frequent or come in bursts.
// It is safe for use by several goroutines. The exported fields are set before use.
type WindowBudget struct {
	Timers dhtimer.Service
	// Ratio is the number of retries permitted per request, Window the length of the
	// window in which both are counted; 0 means 10 s.
	Ratio  float64
	Window time.Duration

	mu    sync.Mutex
	slack float64
	pools map[string]*budgetWindow
}

// budgetWindow holds the counts of the newest intervals. The one at the index newest is
// current, and number is its number since the zero time.
type budgetWindow struct {
	counts [budgetBuckets + 1]budgetCount
	newest int
	number int64
}

type budgetCount struct{ requests, retries int }

// SetSlack sets the number of retries in a window beyond the ratio.
func (b *WindowBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// RecordAttempt records a request.
func (b *WindowBudget) RecordAttempt(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.window(pool); w != nil {
		w.counts[w.newest].requests++
	}
}

// Retry spends one retry, or returns an error with the code retry-budget-spent. The
// first attempt may have run, so the error does not say "not run".
func (b *WindowBudget) Retry(pool string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool)
	if w == nil || float64(w.retries()+1) > b.Ratio*float64(w.requests())+b.slack {
		return dhcode.Errorf(dhcode.RetryBudgetSpent, "the retry budget of pool %q is spent", pool)
	}
	w.counts[w.newest].retries++
	return nil
}

// window returns the counts of a pool up to now, or nil if too many pools are counted.
func (b *WindowBudget) window(pool string) *budgetWindow {
	number := b.Timers.Now().UnixNano() / int64(cmp.Or(b.Window, defaultBudgetWindow)/budgetBuckets)
	w, known := b.pools[pool]
	switch {
	case !known && len(b.pools) >= maxBudgetPools:
		return nil
	case !known:
		if b.pools == nil {
			b.pools = make(map[string]*budgetWindow)
		}
		w = &budgetWindow{number: number}
		b.pools[pool] = w
	}
	for range min(number-w.number, int64(len(w.counts))) {
		w.newest = (w.newest + 1) % len(w.counts)
		w.counts[w.newest] = budgetCount{}
	}
	w.number = max(w.number, number)
	return w
}

// retries returns the retries of a period that is longer than a window by up to one
// interval, so that no window has more.
func (w *budgetWindow) retries() (n int) {
	for _, c := range w.counts {
		n += c.retries
	}
	return n
}

// requests returns the requests of a period that is shorter than a window by up to one
// interval, so that no window has fewer.
func (w *budgetWindow) requests() (n int) {
	for _, c := range w.counts {
		n += c.requests
	}
	return n - w.counts[(w.newest+1)%len(w.counts)].requests
}
