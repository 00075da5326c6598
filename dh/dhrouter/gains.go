package dhrouter

import "sync"

const (
	// gainKept is the part of what is known of a pair of models that counts
	// beside one more answer: some fifty answers.
	gainKept = 0.98
	// defaultGain is the gain of a model of which too little is known, in points
	// of confidence, and defaultGainAnswers how many answers it counts for. The
	// middle one of three models gained 15 to 16 points where it was measured.
	defaultGain        = 15
	defaultGainAnswers = 4
	// leastConfidence and mostConfidence are the ends of the scale. An answer
	// there gives a bound of the gain only.
	leastConfidence, mostConfidence = 0, 100
	// maxGains bounds the pairs of models that are known.
	maxGains = 1024
)

// gains follow by how many points of confidence the answer of a larger model
// exceeds that of a smaller one to the same request. The zero value is ready; it
// is safe for use by several goroutines.
type gains struct {
	mu   sync.Mutex
	rows map[gainKey]gain
}

// gainKey is a pool, a model whose answer was dropped and the one that made the next.
type gainKey struct{ pool, from, to string }

// gain holds a weighed number of answers and the sum of their gains.
type gain struct{ n, sum float64 }

// observe notes the confidence of two models in their answers to a request.
func (g *gains) observe(k gainKey, from, to int) {
	if from <= leastConfidence || to <= leastConfidence || from >= mostConfidence || to >= mostConfidence {
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
		row = gain{defaultGainAnswers, defaultGainAnswers * defaultGain}
	}
	if g.rows == nil {
		g.rows = make(map[gainKey]gain)
	}
	g.rows[k] = gain{gainKept*row.n + 1, gainKept*row.sum + float64(to-from)}
}

// expected returns the gain of the next answer.
func (g *gains) expected(k gainKey) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if row, known := g.rows[k]; known {
		return row.sum / row.n
	}
	return defaultGain
}
