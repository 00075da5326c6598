package dhplacement

import (
	"math"
	"sync"
	"time"
)

const (
	// speedHalfLife is the age at which an answer counts half. It spans several answers of
	// a plain backend server to one entry VM (0.7 to 3 per second), and a server that was
	// slow for a moment soon gets its share again.
	speedHalfLife = 4 * time.Second
	// speedVariance is the variance of the logarithm of the speeds of a pool's servers: 0.7, 0.7
	// and 1.7 differ from their mean by about 0.4.
	speedVariance = 0.4 * 0.4
	// maxSlowness bounds the effect of a single slow answer: a lost packet costs 200 ms,
	// 7 times an order. maxSpeed bounds that of a fast one, so that a server that
	// answers errors quickly gets at most twice its share.
	maxSlowness = 3
	maxSpeed    = 2
	// speedSamples is the number of answers over which the pace of a pool is averaged.
	speedSamples = 64
)

// pace is the mean logarithm of the time that requests take at the backend servers of a pool.
type pace struct {
	mu                      sync.Mutex
	samples, mean, variance float64
}

// observe adds a request's time and returns the logarithm of its ratio to the mean.
func (p *pace) observe(took time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := math.Log(max(took, time.Microsecond).Seconds())
	p.samples = min(p.samples+1, speedSamples)
	d := x - p.mean
	p.mean += d / p.samples
	p.variance += (d*d*(1-1/p.samples) - p.variance) / p.samples
	return x - p.mean
}

// prior returns the number of answers for which the speed of the pool counts: one, and
// more where the times of equal servers differ more than their speeds.
func (p *pace) prior() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.variance/speedVariance
}

// speed is the logarithm of a backend server's speed relative to its pool, as a mean of
// answers with exponential decay.
type speed struct {
	mu           sync.Mutex
	at           time.Time
	sum, answers float64
}

// observe adds an answer that took exp(ratio) times as long as the mean.
func (s *speed) observe(ratio float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.at)
	s.sum = decay(s.sum, age, speedHalfLife) - max(min(ratio, math.Log(maxSlowness)), -math.Log(maxSpeed))
	s.answers = decay(s.answers, age, speedHalfLife) + 1
	s.at = now
}

// estimate returns the logarithm of the relative speed; 0 if no recent answers are known. The
// speed of the pool counts as prior answers.
func (s *speed) estimate(now time.Time, prior float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.at)
	return decay(s.sum, age, speedHalfLife) / (decay(s.answers, age, speedHalfLife) + prior)
}
