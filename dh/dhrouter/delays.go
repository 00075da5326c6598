package dhrouter

import (
	"math"
	"sync"
	"time"
)

const (
	// delayHalfLife is how fast a delay is forgotten without news, so that a
	// model that is no longer asked for is tried again.
	delayHalfLife = 2 * time.Second
	// delayWeight is the part by which one answer moves the expected delay.
	delayWeight = 0.2
	// maxDelays bounds the pools and models whose delay is known.
	maxDelays = 256
)

// delays follow the time to the first event by pool and model. The zero value
// is ready; it is safe for use by several goroutines.
type delays struct {
	mu   sync.Mutex
	rows map[delayKey]delay
}

type delayKey struct{ pool, model string }

type delay struct {
	expected time.Duration
	at       time.Time
}

// observe notes the time to the first event of an answer, or for how long
// there was none.
func (d *delays) observe(pool, model string, taken time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := delayKey{pool, model}
	row, known := d.rows[k]
	if !known {
		if len(d.rows) >= maxDelays {
			return
		}
		if d.rows == nil {
			d.rows = make(map[delayKey]delay)
		}
	}
	before := row.after(now)
	d.rows[k] = delay{before + time.Duration(delayWeight*float64(taken-before)), now}
}

// expected returns the delay of the next answer; 0 when nothing is known.
func (d *delays) expected(pool, model string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[delayKey{pool, model}].after(now)
}

func (d delay) after(now time.Time) time.Duration {
	return time.Duration(float64(d.expected) * math.Exp2(-float64(now.Sub(d.at))/float64(delayHalfLife)))
}
