package dhrouter

import (
	"math"
	"sync"
	"time"
)

// arrivalTimeConstant is the time constant of the moving average of arrivals.
const arrivalTimeConstant = 2 * time.Second

// arrivals tracks the request rate by pool. The zero value is ready to use. It
// is safe for concurrent use.
type arrivals struct {
	mu   sync.Mutex
	rows map[string]arrivalRow
}

// arrivalRow is an exponentially weighted moving average. weight is the number
// of requests at time at, each discounted by its age.
type arrivalRow struct {
	weight float64
	at     time.Time
}

func (r arrivalRow) decayed(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(arrivalTimeConstant))
}

func (a *arrivals) add(pool string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rows == nil {
		a.rows = make(map[string]arrivalRow)
	}
	a.rows[pool] = arrivalRow{a.rows[pool].decayed(now) + 1, now}
}

// Arrivals returns the rate of HTTP requests by pool, in requests per second.
func (r *Router) Arrivals() map[string]float64 {
	return r.arrivals.rates(r.Timers.Now())
}

// rates returns the rate by pool, per second.
func (a *arrivals) rates(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	rates := make(map[string]float64, len(a.rows))
	for pool, row := range a.rows {
		rates[pool] = row.decayed(now) / arrivalTimeConstant.Seconds()
	}
	return rates
}
