package dhcascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhtable"
)

const (
	// signalBins is the number of equal bins of the interval [0, 1]. Answers
	// without a signal have an additional bin.
	signalBins = 10
	// signalMemory is the approximate number of recent answers in a distribution
	// of signals. It is larger than the memory of ratings because signals cost
	// nothing.
	signalMemory = 500
	allBins      = -1
	// priorWeight is the weight, in ratings, of the prior mean in the estimate of a bin.
	priorWeight = 40
	// minVariance is the minimum variance of ratings. Without it, a few equal
	// ratings would give a standard error of 0.
	minVariance = 0.01
	// fastMemory is the memory in ratings of the fast mean, which detects shifts.
	// A shift is detected if it differs from the slow mean by more than
	// shiftErrors of its standard errors.
	fastMemory  = 40
	shiftErrors = 3.5
	// minEscalatedRatings is the minimum number of ratings after an escalation for
	// which a chain is planned.
	minEscalatedRatings = 15
	// minRatings is the number of ratings below which an estimate is explored
	// and each of its answers is sampled for rating.
	minRatings = 60
)

func binOf(s Signal) int {
	if !s.Known {
		return signalBins
	}
	return min(max(int(s.Value*signalBins), 0), signalBins-1)
}

// meanEstimate estimates a mean rating with exponentially decaying weights.
type meanEstimate struct {
	weight, sum, squares float64
	// fast is a mean with the shorter memory fastMemory.
	fast float64
}

// signalCounts is the distribution over the bins of the signals of a version's
// first answers, rated or not, with exponentially decaying counts.
type signalCounts [signalBins + 1]float64

// observe counts an answer and decays the counts of older ones.
func (s *signalCounts) observe(bin int, memory float64) {
	for i := range s {
		s[i] *= 1 - 1/memory
	}
	s[bin]++
}

func (c *meanEstimate) add(score, memory float64) {
	keep := 1 - 1/memory
	c.weight, c.sum, c.squares = c.weight*keep+1, c.sum*keep+score, c.squares*keep+score*score
	if c.weight < fastMemory {
		c.fast = c.mean()
		return
	}
	c.fast += (score - c.fast) / fastMemory
	// An exponential mean with memory n has the variance of a mean of 2*n ratings.
	variance := max(c.squares/c.weight-c.mean()*c.mean(), minVariance)
	if c.weight > 2*fastMemory && math.Abs(c.fast-c.mean()) > shiftErrors*math.Sqrt(variance/(2*fastMemory)) {
		// After a shift, restart from the fast mean so that only recent ratings count.
		c.sum, c.squares = c.fast*fastMemory, (variance+c.fast*c.fast)*fastMemory
		c.weight = fastMemory
	}
}

func (c *meanEstimate) mean() float64 {
	if c.weight == 0 {
		return 0
	}
	return c.sum / c.weight
}

// standardError returns the standard error of the mean. With fewer than two
// ratings it is 0.5, the largest for a mean in [0, 1].
func (c *meanEstimate) standardError() float64 {
	if c.weight < 2 {
		return 0.5
	}
	m := c.mean()
	return math.Sqrt(max(c.squares/c.weight-m*m, minVariance) / c.weight)
}

func (c *meanEstimate) lowerBound(confidence float64) float64 {
	return c.mean() - confidence*c.standardError()
}

// shrunk returns the mean shrunk towards a prior mean, and its standard error.
func (c *meanEstimate) shrunk(prior, priorError float64) (mean, deviation float64) {
	mean = (c.sum + priorWeight*prior) / (c.weight + priorWeight)
	variance := 0.05
	if c.weight >= 5 {
		m := c.mean()
		variance = max(c.squares/c.weight-m*m, minVariance)
	}
	part := priorWeight / (c.weight + priorWeight)
	return mean, math.Hypot(part*priorError, (1-part)*math.Sqrt(variance/max(c.weight, 1)))
}

// linearRegression regresses ratings on signals with exponentially decaying
// weights. It needs fewer ratings than a separate estimate for each bin.
type linearRegression struct{ n, x, xx, y, xy, yy float64 }

func (l *linearRegression) add(signal, score, memory float64) {
	for _, v := range []*float64{&l.n, &l.x, &l.xx, &l.y, &l.xy, &l.yy} {
		*v *= 1 - 1/memory
	}
	l.n++
	l.x += signal
	l.xx += signal * signal
	l.y += score
	l.xy += signal * score
	l.yy += score * score
}

// predict returns the mean rating at a signal and its standard error. A weak
// prior keeps the slope near 0 while the signals hardly vary.
func (l *linearRegression) predict(signal float64) (mean, deviation float64) {
	if l.n < 2 {
		return 0, 0.5
	}
	mx, my := l.x/l.n, l.y/l.n
	sxx := l.xx - l.n*mx*mx + 0.1
	slope := (l.xy - l.n*mx*my) / sxx
	variance := max((l.yy-l.n*my*my-slope*slope*sxx)/l.n, minVariance)
	d := signal - mx
	return min(max(my+slope*d, 0), 1), math.Sqrt(variance * (1/l.n + d*d/sxx))
}

// plan describes how requests of a class are answered. A fraction starts directly
// on candidate to. The others start on candidate from and escalate to candidate
// to with a probability that depends on the signal.
type plan struct {
	from, to         int
	directFraction   float64
	escalate         [signalBins + 1]float64
	cost             float64
	plannedAt        time.Time
	target           float64
	latencySensitive bool
}

// makePlan returns the cheapest plan that meets the target with the required
// confidence, or one that uses only the last candidate if none meets it.
func (p *Planner) makePlan(r Request) *plan {
	last := len(r.Candidates) - 1
	best := &plan{from: last, to: last, cost: r.Candidates[last].Cost}
	for from := range last {
		for to := from + 1; to <= last; to++ {
			for _, made := range []*plan{p.mixedPlan(r, from, to), p.chainPlan(r, from, to)} {
				if made != nil && made.cost < best.cost {
					best = made
				}
			}
		}
	}
	return best
}

// mixedPlan returns a plan that starts the smallest sufficient fraction of the
// requests, in steps of 1/20, on the better candidate, or nil if none suffices.
func (p *Planner) mixedPlan(r Request, from, to int) *plan {
	cheap := p.estimateFor(estimateKey{class: r.Class, version: r.Candidates[from].Version, bin: allBins})
	better := p.estimateFor(estimateKey{class: r.Class, version: r.Candidates[to].Version, bin: allBins})
	for i := range 21 {
		part := float64(i) / 20
		mean := (1-part)*cheap.mean() + part*better.mean()
		deviation := math.Hypot((1-part)*cheap.standardError(), part*better.standardError())
		if mean-p.confidence()*deviation >= r.Target {
			cost := (1-part)*r.Candidates[from].Cost + part*r.Candidates[to].Cost
			return &plan{from: from, to: to, directFraction: part, cost: cost}
		}
	}
	return nil
}

// binOption holds the estimates for a bin of signals in a chain: the fraction of
// answers in the bin, and the mean ratings with and without escalation.
type binOption struct {
	bin                       int
	fraction                  float64
	kept, keptError           float64
	escalated, escalatedError float64
}

// chainPlan returns a plan that starts all requests on the cheaper candidate and
// escalates those with the largest expected gain until the target is met, or nil
// if it cannot be met.
func (p *Planner) chainPlan(r Request, from, to int) *plan {
	options := p.chainOptions(r, from, to)
	if options == nil {
		return nil
	}
	made := &plan{from: from, to: to, cost: r.Candidates[from].Cost}
	// The errors of the bins' first answers are independent. Those of answers
	// after an escalation come from a single regression and are fully correlated,
	// so their standard errors add up.
	mean, variance, commonError, escalations := 0.0, 0.0, 0.0, 0.0
	for _, o := range options {
		mean += o.fraction * o.kept
		variance += o.fraction * o.fraction * o.keptError * o.keptError
	}
	meetsTarget := func(mean, variance, common float64) bool {
		return mean-p.confidence()*math.Sqrt(max(variance, 0)+common*common) >= r.Target
	}
	for _, o := range options {
		if meetsTarget(mean, variance, commonError) {
			break
		}
		gain := o.fraction * (o.escalated - o.kept)
		varianceChange := -o.fraction * o.fraction * o.keptError * o.keptError
		errorChange := o.fraction * o.escalatedError
		// Escalate the smallest sufficient fraction of the bin, in steps of a tenth.
		for i := 1; i <= 10; i++ {
			part := float64(i) / 10
			made.escalate[o.bin] = part
			if meetsTarget(mean+part*gain, variance+part*varianceChange, commonError+part*errorChange) {
				break
			}
		}
		part := made.escalate[o.bin]
		mean += part * gain
		variance += part * varianceChange
		commonError += part * errorChange
		escalations += part * o.fraction
	}
	if !meetsTarget(mean, variance, commonError) || (r.LatencySensitive && escalations > p.maxEscalation()) {
		return nil
	}
	made.cost += escalations * r.Candidates[to].Cost
	return made
}

// chainOptions returns the bins of a chain in descending order of the gain of an
// escalation, or nil if there are too few ratings.
func (p *Planner) chainOptions(r Request, from, to int) []binOption {
	cheap, better := r.Candidates[from].Version, r.Candidates[to].Version
	cheapMean := p.estimateFor(estimateKey{class: r.Class, version: cheap, bin: allBins})
	betterMean := p.estimateFor(estimateKey{class: r.Class, version: better, bin: allBins})
	known := p.estimateFor(estimateKey{r.Class, better, cheap, allBins})
	if cheapMean.weight < 10 || betterMean.weight < 10 || known.weight < minEscalatedRatings {
		return nil
	}
	seen := p.signalCountsFor(r.Class, cheap)
	first, after := p.regressionFor(r.Class, cheap, dhtable.Version{}), p.regressionFor(r.Class, better, cheap)
	var options []binOption
	total := 0.0
	for bin := range signalBins + 1 {
		if seen[bin] == 0 {
			continue
		}
		total += seen[bin]
		o := binOption{bin: bin, fraction: seen[bin]}
		c := p.estimateFor(estimateKey{class: r.Class, version: cheap, bin: bin})
		if bin == signalBins {
			o.kept, o.keptError = c.shrunk(cheapMean.mean(), cheapMean.standardError())
			o.escalated, o.escalatedError = p.escalatedEstimate(r.Class, from, to, bin, r).shrunk(betterMean.mean(), 0.1)
		} else {
			signal := (float64(bin) + 0.5) / signalBins
			mean, deviation := first.predict(signal)
			o.kept, o.keptError = c.shrunk(mean, deviation)
			o.escalated, o.escalatedError = after.predict(signal)
		}
		options = append(options, o)
	}
	if total == 0 {
		return nil
	}
	for i := range options {
		options[i].fraction /= total
	}
	slices.SortStableFunc(options, func(a, b binOption) int {
		return cmp.Compare(b.escalated-b.kept, a.escalated-a.kept)
	})
	return options
}

func (p *Planner) escalatedEstimate(class string, from, to, bin int, r Request) *meanEstimate {
	c, ok := p.estimates[estimateKey{class, r.Candidates[to].Version, r.Candidates[from].Version, bin}]
	if !ok {
		return &meanEstimate{}
	}
	return c
}

func (p *Planner) maxEscalation() float64 {
	if p.LikelyEscalation > 0 {
		return p.LikelyEscalation
	}
	return 0.2
}
