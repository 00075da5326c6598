package dhrouter

import "sync"

const (
	// gainDecay is the factor by which earlier answers of a pair of models are
	// discounted with each new one; the average covers about fifty answers.
	gainDecay = 0.98
	// defaultGain is the initial estimate of a gain, in points of confidence, and
	// defaultGainWeight the number of answers that it counts as. The middle one of
	// three models gains 15 to 16 points.
	defaultGain       = 15
	defaultGainWeight = 4
	// minConfidence and maxConfidence are the ends of the confidence scale. An
	// answer at either end yields only a bound on the gain.
	minConfidence, maxConfidence = 0, 100
	// maxGains bounds the number of tracked pairs of models.
	maxGains = 1024
)

// gains estimates by how many points the confidence of a larger model exceeds
// that of a smaller one for the same request. The zero value is ready to use. It
// is safe for concurrent use.
type gains struct {
	mu   sync.Mutex
	rows map[gainKey]gain
}

// gainKey identifies a pool, the model whose answer was dropped and the model
// that answered next.
type gainKey struct{ pool, from, to string }

// gain holds the discounted number of answers and the discounted sum of their
// gains.
type gain struct{ n, sum float64 }

// observe records the confidence of two models in their answers to the same
// request.
func (g *gains) observe(k gainKey, from, to int) {
	if from <= minConfidence || to <= minConfidence || from >= maxConfidence || to >= maxConfidence {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	row, known := g.rows[k]
	switch {
	case known:
	case len(g.rows) >= maxGains:
		return
	default:
		row = gain{defaultGainWeight, defaultGainWeight * defaultGain}
	}
	if g.rows == nil {
		g.rows = make(map[gainKey]gain)
	}
	g.rows[k] = gain{gainDecay*row.n + 1, gainDecay*row.sum + float64(to-from)}
}

// expected returns the estimated gain of the next answer.
func (g *gains) expected(k gainKey) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if row, known := g.rows[k]; known {
		return row.sum / row.n
	}
	return defaultGain
}
