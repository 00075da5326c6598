package dhrouter

import (
	"sync"
	"time"
)

const (
	// fitDecay is the factor by which earlier answers of a model are discounted
	// with each new one; the fit covers about fifty answers. Latencies hardly
	// change, and one VM of a large deployment sees few answers.
	fitDecay = 0.98
	// minFitAnswers is the number of answers needed to estimate how the time grows
	// with the prompt.
	minFitAnswers = 4
	// maxFits bounds the number of tracked pairs of pool and model.
	maxFits = 256
)

// latencyFits estimates the time to the first event by pool and model as a
// linear function of the prompt tokens that must be processed first. The
// constant term is the time that even a very short prompt takes. The zero value
// is ready to use. It is safe for concurrent use.
type latencyFits struct {
	mu   sync.Mutex
	rows map[delayKey]latencyFit
}

// latencyFit holds the sums of a least-squares fit, in seconds and thousands of
// tokens.
type latencyFit struct{ n, x, y, xx, xy float64 }

// observe records the time to the first event of an answer with the given number
// of prompt tokens ahead of it.
func (p *latencyFits) observe(pool, model string, ahead int, taken time.Duration) {
	x, y := float64(ahead)/1000, taken.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := delayKey{pool, model}
	l, known := p.rows[k]
	if !known && len(p.rows) >= maxFits {
		return
	}
	if p.rows == nil {
		p.rows = make(map[delayKey]latencyFit)
	}
	p.rows[k] = latencyFit{
		fitDecay*l.n + 1, fitDecay*l.x + x, fitDecay*l.y + y, fitDecay*l.xx + x*x, fitDecay*l.xy + x*y,
	}
}

// expected returns the expected time to a first event with the given number of
// prompt tokens ahead of it; 0 if too little is known of the model.
func (p *latencyFits) expected(pool, model string, ahead int) time.Duration {
	p.mu.Lock()
	l := p.rows[delayKey{pool, model}]
	p.mu.Unlock()
	if l.n <= minFitAnswers-1 {
		return 0
	}
	return time.Duration(l.at(float64(ahead)/1000) * float64(time.Second))
}

// at returns the fitted value at x. The slope and the value at 0 are never
// negative.
func (l latencyFit) at(x float64) float64 {
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
