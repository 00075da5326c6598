package dhversion

import "math"

// The prior of a bad-answer rate is Beta(priorBad, priorGood), with most of
// its weight on small rates, where both versions of a sound rollout lie.
const (
	priorBad  = 0.5
	priorGood = 2.0
)

// logMixture returns the logarithm of the probability of a sequence with bad
// of n answers bad, averaged over the prior of the rate.
func logMixture(bad, n float64) float64 {
	return logBeta(bad+priorBad, n-bad+priorGood) - logBeta(priorBad, priorGood)
}

func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// logLikelihood returns the logarithm of the probability of a sequence with
// bad of n answers bad at the given rate in (0, 1).
func logLikelihood(bad, n, rate float64) float64 {
	return bad*math.Log(rate) + (n-bad)*math.Log1p(-rate)
}

// upperRate returns an upper confidence bound of a rate that holds at all
// times together with probability 1-delta: the largest rate whose likelihood
// ratio against the mixture has not fallen to delta.
func upperRate(bad, n, delta float64) float64 {
	const most = 1 - 1e-9
	floor := logMixture(bad, n) + math.Log(delta)
	low, high := max(bad/max(n, 1), 1e-9), most
	if low >= most || logLikelihood(bad, n, most) > floor {
		return most
	}
	for range 50 {
		mid := (low + high) / 2
		if logLikelihood(bad, n, mid) > floor {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// logEvidence returns the logarithm of the mixture likelihood ratio against
// every rate up to the given one. If the true rate is at most that, the ratio
// ever reaches 1/alpha with a probability of at most alpha, whenever the test
// stops (Ville's inequality for the martingale that the ratio is).
func logEvidence(bad, n, rate float64) float64 {
	if n == 0 || bad/n <= rate {
		return 0
	}
	return logMixture(bad, n) - logLikelihood(bad, n, rate)
}
