package dhrouter

import (
	"math"
	"sync"
	"time"
)

// arrivalPeriod is the time over which arrivals are averaged.
const arrivalPeriod = 2 * time.Second

// arrivals follow the requests a second by pool. The zero value is ready; it
// is safe for use by several goroutines.
type arrivals struct {
	mu   sync.Mutex
	rows map[string]arrivalRow
}

// arrivalRow is an exponential average: weight is the number of requests, each
// counting less with its age.
type arrivalRow struct {
	weight float64
	at     time.Time
}

func (r arrivalRow) after(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(arrivalPeriod))
}

func (a *arrivals) add(pool string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rows == nil {
		a.rows = make(map[string]arrivalRow)
	}
	a.rows[pool] = arrivalRow{a.rows[pool].after(now) + 1, now}
}

// Arrivals returns the HTTP requests a second by pool.
func (r *Router) Arrivals() map[string]float64 {
	now := r.Timers.Now()
	r.arrivals.mu.Lock()
	defer r.arrivals.mu.Unlock()
	rates := make(map[string]float64, len(r.arrivals.rows))
	for pool, row := range r.arrivals.rows {
		rates[pool] = row.after(now) / arrivalPeriod.Seconds()
	}
	return rates
}
