package dhrouter

import (
	"sync"
	"time"
)

const (
	// paceKept is the part of what is known of a model that counts beside one
	// more answer: some fifty answers, since paces hardly change and a VM of a
	// large deployment sees few.
	paceKept = 0.98
	// minPaceAnswers is how many answers tell how the time grows with the prompt.
	minPaceAnswers = 4
	// maxPaces bounds the pools and models whose pace is known.
	maxPaces = 256
)

// paces follow the time to the first event by pool and model, as a line over
// the prompt tokens ahead of it: a first event takes some time however short its
// prompt is. The zero value is ready; it is safe for use by several goroutines.
type paces struct {
	mu   sync.Mutex
	rows map[delayKey]line
}

// line holds the sums of a least-squares fit, in seconds and thousands of tokens.
type line struct{ n, x, y, xx, xy float64 }

// observe notes the time to the first event of an answer with so many prompt
// tokens ahead of it.
func (p *paces) observe(pool, model string, ahead int, taken time.Duration) {
	x, y := float64(ahead)/1000, taken.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := delayKey{pool, model}
	l, known := p.rows[k]
	if !known && len(p.rows) >= maxPaces {
		return
	}
	if p.rows == nil {
		p.rows = make(map[delayKey]line)
	}
	p.rows[k] = line{
		paceKept*l.n + 1, paceKept*l.x + x, paceKept*l.y + y, paceKept*l.xx + x*x, paceKept*l.xy + x*y,
	}
}

// expected returns the time to a first event with so many prompt tokens ahead
// of it; 0 when too little is known of the model.
func (p *paces) expected(pool, model string, ahead int) time.Duration {
	p.mu.Lock()
	l := p.rows[delayKey{pool, model}]
	p.mu.Unlock()
	if l.n <= minPaceAnswers-1 {
		return 0
	}
	return time.Duration(l.at(float64(ahead)/1000) * float64(time.Second))
}

// at returns the fitted value. The line does not fall, and is not below 0 at 0.
func (l line) at(x float64) float64 {
	mean := l.y / l.n
	spread := l.xx - l.x*l.x/l.n
	if spread <= 0 {
		return mean
	}
	slope := max((l.xy-l.x*l.y/l.n)/spread, 0)
	base := mean - slope*l.x/l.n
	if base < 0 {
		base, slope = 0, l.xy/l.xx
	}
	return base + slope*x
}
