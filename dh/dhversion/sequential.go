package dhversion

import "math"

// ratios are the alternatives of the test: how many times as many answers of
// the rollout are bad. The least one is a tolerance, since a rollout that is
// worse by less than half of it loses the bet.
var ratios = [...]float64{2, 4, 10, 40}

// The stable rate is estimated as if priorAnswers had been seen before, of
// which priorBad were bad.
const (
	priorBad     = 0.5
	priorAnswers = 25
	maxRate      = 0.98
)

// A block in which the rollout gave more than aloneFactor times as many answers
// as the stable version tells little by comparison, as once all sessions have
// moved. It is judged by the stable rate so far, as if aloneBad more answers had
// been bad, and has aloneAnswers of the rollout at least.
const (
	aloneFactor  = 4
	aloneAnswers = 10
	aloneBad     = 1.5
)

// rolloutTest tests whether a rollout has a higher rate of bad answers or of
// low ratings than the stable version.
//
// For each block of new answers and each ratio it takes the likelihood ratio
// of "the rollout's rate is ratio times the stable one" against "both have
// the pooled rate". With the rates chosen before the block is seen, the
// expectation of this is at most 1 whenever the rollout's rate is at most the
// stable one, whatever that is. The mean over ratios of the products over
// blocks is thus a nonnegative supermartingale, which ever reaches 1/alpha
// with probability alpha at most, whenever the test stops. Blocks that the
// rollout has nearly for itself have no such bound: what fails for all looks
// like its fault.
type rolloutTest struct {
	began        began
	answers, low stream
}

func newRolloutTest(b began) *rolloutTest { return &rolloutTest{began: b} }

// update takes the totals of both versions and returns the logarithm of the
// evidence against the rollout.
func (t *rolloutTest) update(stable, rollout count) float64 {
	t.answers.update(sample{stable.answers, stable.bad, rollout.answers, rollout.bad}, true)
	t.low.update(sample{stable.rated, stable.low, rollout.rated, rollout.low}, false)
	return logMean(append(t.answers.evidence[:], t.low.evidence[:]...))
}

// stream is the test of answers or of ratings.
type stream struct {
	seen     sample
	evidence [len(ratios)]float64
}

// sample counts answers and bad ones of both versions.
type sample struct{ stable, stableBad, rollout, rolloutBad int64 }

// update bets on the answers since the last block. The stable rate is
// estimated from the answers before. A block needs answers of both versions, or
// enough of the rollout where it may be judged alone: a version that has just got
// all sessions may be slow for a while, since its caches are empty, but it must
// not fail.
func (s *stream) update(total sample, mayBeAlone bool) {
	b := sample{
		total.stable - s.seen.stable, total.stableBad - s.seen.stableBad,
		total.rollout - s.seen.rollout, total.rolloutBad - s.seen.rolloutBad,
	}
	alone := mayBeAlone && b.rollout > aloneFactor*b.stable
	switch {
	case alone && b.rollout < aloneAnswers && b.stable >= 0:
		return // until there is more to judge by
	case !alone && b.stable == 0 && b.stableBad == 0 && b.rollout > 0:
		return
	}
	stable := (float64(s.seen.stableBad) + priorBad) / (float64(s.seen.stable) + priorAnswers)
	s.seen = total
	// Counts shrink when a counter is dropped; the block is then not used.
	if b.rollout <= 0 || b.stable < 0 || (b.stable == 0 && !alone) || b.rolloutBad < 0 || b.stableBad < 0 || b.rolloutBad > b.rollout || b.stableBad > b.stable {
		return
	}
	if alone {
		s.judgeAlone(b, total)
		return
	}
	for i, ratio := range ratios {
		rollout := min(ratio*stable, max(maxRate, stable))
		pooled := (float64(b.stable)*stable + float64(b.rollout)*rollout) / float64(b.stable+b.rollout)
		s.evidence[i] += logLikelihood(b.stableBad, b.stable, stable) +
			logLikelihood(b.rolloutBad, b.rollout, rollout) -
			logLikelihood(b.stableBad+b.rolloutBad, b.stable+b.rollout, pooled)
	}
}

// judgeAlone bets on the answers of the rollout against the stable rate so far.
func (s *stream) judgeAlone(b, total sample) {
	stable := (float64(total.stableBad) + priorBad + aloneBad) / (float64(total.stable) + priorAnswers)
	for i, ratio := range ratios {
		rollout := min(ratio*stable, max(maxRate, stable))
		s.evidence[i] += logLikelihood(b.rolloutBad, b.rollout, rollout) - logLikelihood(b.rolloutBad, b.rollout, stable)
	}
}

// logLikelihood returns the logarithm of the probability of a sequence with
// bad of n answers bad at the given rate in (0, 1).
func logLikelihood(bad, n int64, rate float64) float64 {
	return float64(bad)*math.Log(rate) + float64(n-bad)*math.Log1p(-rate)
}

// logMean returns the logarithm of the mean of the numbers with the given logarithms.
func logMean(logs []float64) float64 {
	most := math.Inf(-1)
	for _, l := range logs {
		most = max(most, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(logs)))
}
