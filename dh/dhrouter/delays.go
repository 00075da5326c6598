package dhrouter

import (
	"math"
	"sync"
	"time"
)

const (
	// delayHalfLife is the half-life of a delay that gets no new observations, so
	// that a model that is no longer used because it was slow is tried again.
	delayHalfLife = 2 * time.Second
	// delayWeight is the weight of one answer in the moving average.
	delayWeight = 0.2
	// maxDelays bounds the number of tracked pairs of pool and model.
	maxDelays = 256
)

// delays tracks a moving average of the time to the first event by pool and
// model. The zero value is ready to use. It is safe for concurrent use.
type delays struct {
	mu   sync.Mutex
	rows map[delayKey]delay
}

type delayKey struct{ pool, model string }

type delay struct {
	expected time.Duration
	at       time.Time
}

// observe records the time to the first event of an answer, or the time that
// passed without one.
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
	before := row.decayed(now)
	d.rows[k] = delay{before + time.Duration(delayWeight*float64(taken-before)), now}
}

// expected returns the expected delay of the next answer; 0 if nothing is known.
func (d *delays) expected(pool, model string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[delayKey{pool, model}].decayed(now)
}

func (d delay) decayed(now time.Time) time.Duration {
	return time.Duration(float64(d.expected) * math.Exp2(-float64(now.Sub(d.at))/float64(delayHalfLife)))
}
