package dhversion

import "math"

// ratios are the alternative hypotheses of the test: the rate of bad answers of
// the rollout as a multiple of the stable rate. The lowest ratio sets the
// tolerance, because the evidence decreases for a rollout that is worse by less
// than half of it.
var ratios = [...]float64{2, 4, 10, 40}

// The estimate of the stable rate includes a prior of priorAnswers answers, of
// which priorBad are bad. maxRate limits the rates of the alternatives.
const (
	priorBad     = 0.5
	priorAnswers = 25
	maxRate      = 0.98
)

// A block is unpaired if the rollout has more than unpairedFactor times as many
// answers as the stable version, as happens once all sessions have moved. It has
// too few stable answers for a comparison, so it is tested against the stable
// rate so far, which is estimated with unpairedPriorBad additional bad answers. It
// must contain at least unpairedMinAnswers answers of the rollout.
const (
	unpairedFactor     = 4
	unpairedMinAnswers = 5
	unpairedPriorBad   = 1.5
)

// unpaired is how a kind of counts is tested in unpaired blocks: a version counts
// as good if its rate is at most tolerance times the stable rate, up to
// maxTolerated. Unpaired blocks are not tested if the tolerance is 0.
type unpaired struct{ tolerance float64 }

// maxTolerated is the highest rate of bad answers that counts as good because of a
// tolerance.
const maxTolerated = 0.5

// nullRate returns the highest rate of bad answers that counts as good.
func (u unpaired) nullRate(stable float64) float64 {
	return max(min(u.tolerance*stable, maxTolerated), stable)
}

// rolloutTest tests whether a rollout has a higher rate of bad answers or of
// low ratings than the stable version.
//
// For each block of new answers and each ratio, it computes the likelihood
// ratio of "the rollout's rate is ratio times the stable rate" to "both versions
// have the pooled rate". The rates are chosen before the block is seen, so the
// expectation of the likelihood ratio is at most 1 whenever the rollout's rate
// is at most the stable rate, whatever that rate is. The mean over the ratios of
// the products over the blocks is thus a nonnegative supermartingale: it ever
// reaches 1/alpha with probability at most alpha, whenever the test stops. This
// bound does not hold for unpaired blocks, in which a failure that affects all
// versions counts against the rollout.
type rolloutTest struct {
	start        rolloutStart
	answers, low sequentialTest
}

func newRolloutTest(b rolloutStart) *rolloutTest { return &rolloutTest{start: b} }

// update takes the totals of both versions and returns the logarithm of the
// evidence against the rollout.
func (t *rolloutTest) update(stable, rollout count) float64 {
	t.answers.update(sample{stable.answers, stable.bad, rollout.answers, rollout.bad}, unpaired{1})
	t.low.update(sample{stable.rated, stable.low, rollout.rated, rollout.low}, unpaired{})
	return logMean(append(t.answers.evidence[:], t.low.evidence[:]...))
}

// sequentialTest is the test of one kind of counts: answers or ratings. The
// evidence field holds one cumulative log-likelihood ratio per alternative hypothesis.
type sequentialTest struct {
	seen     sample
	evidence [len(ratios)]float64
}

// sample holds the numbers of answers and of bad answers of both versions.
type sample struct{ stable, stableBad, rollout, rolloutBad int64 }

// update adds the block of answers since the last one to the evidence, using the
// stable rate estimated from the answers before the block. A block needs answers
// of both versions or, unless unpaired blocks are ignored, enough answers of the
// rollout.
func (s *sequentialTest) update(total sample, u unpaired) {
	b := sample{
		total.stable - s.seen.stable, total.stableBad - s.seen.stableBad,
		total.rollout - s.seen.rollout, total.rolloutBad - s.seen.rolloutBad,
	}
	alone := u.tolerance > 0 && b.rollout > unpairedFactor*b.stable
	switch {
	case alone && b.rollout < unpairedMinAnswers && b.stable >= 0:
		return // wait for more answers
	case !alone && b.stable == 0 && b.stableBad == 0 && b.rollout > 0:
		return
	}
	stable := (float64(s.seen.stableBad) + priorBad) / (float64(s.seen.stable) + priorAnswers)
	s.seen = total
	// Totals decrease when a counter is dropped; such a block is ignored.
	if b.rollout <= 0 || b.stable < 0 || (b.stable == 0 && !alone) || b.rolloutBad < 0 || b.stableBad < 0 || b.rolloutBad > b.rollout || b.stableBad > b.stable {
		return
	}
	if alone {
		s.updateUnpaired(b, total, u)
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

// updateUnpaired tests the rollout's answers of a block against the stable rate so far.
func (s *sequentialTest) updateUnpaired(b, total sample, u unpaired) {
	stable := u.nullRate((float64(total.stableBad) + priorBad + unpairedPriorBad) / (float64(total.stable) + priorAnswers))
	for i, ratio := range ratios {
		rollout := min(ratio*stable, max(maxRate, stable))
		s.evidence[i] += logLikelihood(b.rolloutBad, b.rollout, rollout) - logLikelihood(b.rolloutBad, b.rollout, stable)
	}
}

// logLikelihood returns the logarithm of the probability of a given sequence of n
// answers, bad of which are bad, at a rate of bad answers in (0, 1).
func logLikelihood(bad, n int64, rate float64) float64 {
	return float64(bad)*math.Log(rate) + float64(n-bad)*math.Log1p(-rate)
}

// logMean returns the logarithm of the mean of the numbers whose logarithms are
// given. It subtracts the largest one first to avoid overflow.
func logMean(logs []float64) float64 {
	largest := math.Inf(-1)
	for _, l := range logs {
		largest = max(largest, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(logs)))
}
