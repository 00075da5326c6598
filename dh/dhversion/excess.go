package dhversion

import "math"

// minFailureExcess is the smallest difference to the usual rate of failures at which
// a version counts as bad, minSlowExcess the same for slow answers, whose rate also
// depends on load and caches.
const (
	minFailureExcess = 0.1
	minSlowExcess    = 0.2
)

// maxUsualFailures is the highest usual rate of failures. Above it, backend servers
// of the other versions are in trouble, which does not excuse the target.
const maxUsualFailures = 0.15

// highestUsualRate is above the usual rates that are considered.
const highestUsualRate = 0.97

// usualRates are the rates among which the usual rate lies, in steps of about a
// tenth, since the evidence depends on their ratio.
var usualRates = func() (rates []float64) {
	for r := 0.0025; r < highestUsualRate; r *= 1.09 {
		rates = append(rates, r)
	}
	return rates
}()

// excess states two hypotheses about the rate of bad answers of a rollout's target:
// it is at most what usual returns for the usual rate, or it exceeds this by at least
// least.
type excess struct {
	usual func(rate float64) float64
	least float64
}

// partPenalty is subtracted from the evidence of a part of the answers that is judged
// by itself beside that of all answers. Classes share it: the more there are, the more
// often one of them has many bad answers by chance.
var partPenalty = math.Log(8)

func cappedRate(rate float64) float64 { return min(rate, maxUsualFailures) }

// evidence returns the logarithm of the likelihood ratio of both hypotheses: positive
// if the target is more likely bad than sound, 0 without answers of the target. The
// usual rate is not known: both likelihoods are means over usualRates, weighted by
// the answers of the other versions.
func (x excess) evidence(s sample) float64 {
	if s.rollout <= 0 || s.rolloutBad < 0 || s.rolloutBad > s.rollout || s.stableBad < 0 || s.stableBad > s.stable {
		return 0
	}
	sound, bad := make([]float64, len(usualRates)), make([]float64, len(usualRates))
	for i, rate := range usualRates {
		weight := logLikelihood(s.stableBad, s.stable, rate)
		usual := x.usual(rate)
		sound[i] = weight + logLikelihood(s.rolloutBad, s.rollout, usual)
		bad[i] = weight + logLikelihood(s.rolloutBad, s.rollout, x.exceeding(usual))
	}
	return logMean(bad) - logMean(sound)
}

// exceeding returns the rate of a version that exceeds a usual rate, which is the usual
// rate itself if that leaves no room: where nearly all answers are bad, more of them
// prove nothing.
func (x excess) exceeding(usual float64) float64 {
	if usual+x.least > 1 {
		return usual
	}
	return min(usual+x.least, maxRate)
}

// kind is a kind of counts with the hypotheses about it.
type kind struct {
	excess
	sample func(before, target Counts) sample
}

// kindsOf returns the kinds of counts. Only the first tokens of streams depend on
// caches.
func kindsOf(before Counts) []kind {
	cold := unpaired{loadTolerance}
	if before.Paced > 0 {
		cold = unpaired{coldTolerance}
	}
	return []kind{
		{excess{cappedRate, minFailureExcess}, func(b, t Counts) sample { return sample{b.Answers, b.Bad, t.Answers, t.Bad} }},
		{excess{cold.nullRate, minSlowExcess}, func(b, t Counts) sample { return sample{b.Timed, b.Slow, t.Timed, t.Slow} }},
		{excess{unpaired{loadTolerance}.nullRate, minSlowExcess}, func(b, t Counts) sample { return sample{b.Paced, b.SlowPaced, t.Paced, t.SlowPaced} }},
	}
}

// excessEvidence returns the highest evidence of an excess among the kinds of counts
// that the target has: the sum over the classes, each with a usual rate of its own,
// or that of one class, in case the target is bad for one class only.
func excessEvidence(before, target ClassCounts) float64 {
	highest, counted := 0.0, false
	for _, k := range kindsOf(before.Total()) {
		sum, most, classes := 0.0, math.Inf(-1), 0
		for class, counts := range target {
			s := k.sample(before[class], counts)
			if s.rollout > 0 {
				e := k.evidence(s)
				sum, most, classes = sum+e, max(most, e), classes+1
			}
		}
		if classes == 0 {
			continue
		}
		if e := max(sum, most-partPenalty-math.Log(float64(classes))); !counted || e > highest {
			highest, counted = e, true
		}
	}
	return highest
}
