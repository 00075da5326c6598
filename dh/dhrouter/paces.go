package dhrouter

import (
	"sync"
	"time"
)

const (
	// paceWeight is the part by which one answer moves the pace of its model.
	// Paces hardly change, and a VM of a large deployment sees few answers.
	paceWeight = 0.1
	// paceBaseTokens stand for what a first event takes beside reading: round
	// trips, and the tokens that the event holds.
	paceBaseTokens = 1000
	// maxPaces bounds the pools and models whose pace is known.
	maxPaces = 256
)

// paces follow how long a backend server takes to read a prompt token, by pool
// and model. The zero value is ready; it is safe for use by several goroutines.
type paces struct {
	mu   sync.Mutex
	rows map[delayKey]time.Duration
}

// observe notes the time to the first event of an answer with so many prompt
// tokens ahead of it.
func (p *paces) observe(pool, model string, ahead int, taken time.Duration) {
	pace := taken / time.Duration(ahead+paceBaseTokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	k := delayKey{pool, model}
	old, known := p.rows[k]
	switch {
	case known:
		p.rows[k] = old + time.Duration(paceWeight*float64(pace-old))
	case len(p.rows) < maxPaces:
		if p.rows == nil {
			p.rows = make(map[delayKey]time.Duration)
		}
		p.rows[k] = pace
	}
}

// expected returns the time to a first event with so many prompt tokens ahead
// of it; 0 when nothing is known of the model.
func (p *paces) expected(pool, model string, ahead int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[delayKey{pool, model}] * time.Duration(ahead+paceBaseTokens)
}
