package dhcascade

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhtable"
)

const (
	// signalBins divide [0, 1]; answers without a signal have their own bin.
	signalBins = 10
	// signalMemory is how many answers the distribution of signals remembers.
	// Signals cost nothing, so that these are more than ratings.
	signalMemory = 500
	allBins      = -1
	// priorWeight is how many ratings of a bin the line through all bins counts for.
	priorWeight = 40
	// leastVariance keeps a few equal ratings from looking certain.
	leastVariance = 0.01
	// fastMemory is that of the mean that shows a shift, and shiftErrors by
	// how many of its standard errors it must differ from the slow one.
	fastMemory  = 40
	shiftErrors = 3.5
	// leastGain is the fewest ratings after an escalation that a chain is planned with.
	leastGain = 15
	// fewRatings is below which an estimate needs every rating it can get.
	fewRatings = 60
)

func binOf(s Signal) int {
	if !s.Known {
		return signalBins
	}
	return min(max(int(s.Value*signalBins), 0), signalBins-1)
}

// cell is an estimate of a mean rating with exponential forgetting.
type cell struct {
	weight, sum, squares float64
	// fast is a mean with a short memory.
	fast float64
}

// signals is the distribution of the signals of a version's first answers,
// rated or not.
type signals [signalBins + 1]float64

// see adds an answer and forgets old ones.
func (s *signals) see(bin int, memory float64) {
	for i := range s {
		s[i] *= 1 - 1/memory
	}
	s[bin]++
}

func (c *cell) rate(score, memory float64) {
	keep := 1 - 1/memory
	c.weight, c.sum, c.squares = c.weight*keep+1, c.sum*keep+score, c.squares*keep+score*score
	if c.weight < fastMemory {
		c.fast = c.mean()
		return
	}
	c.fast += (score - c.fast) / fastMemory
	// The variance of an exponential mean over n is that of n*2 ratings.
	variance := max(c.squares/c.weight-c.mean()*c.mean(), leastVariance)
	if c.weight > 2*fastMemory && math.Abs(c.fast-c.mean()) > shiftErrors*math.Sqrt(variance/(2*fastMemory)) {
		// After a shift only the newest ratings count.
		c.sum, c.squares = c.fast*fastMemory, (variance+c.fast*c.fast)*fastMemory
		c.weight = fastMemory
	}
}

func (c *cell) mean() float64 {
	if c.weight == 0 {
		return 0
	}
	return c.sum / c.weight
}

// standardError is that of the mean; an unknown mean in [0, 1] has the largest.
func (c *cell) standardError() float64 {
	if c.weight < 2 {
		return 0.5
	}
	m := c.mean()
	return math.Sqrt(max(c.squares/c.weight-m*m, leastVariance) / c.weight)
}

func (c *cell) low(confidence float64) float64 { return c.mean() - confidence*c.standardError() }

// shrunk returns mean and standard error with a prior mean.
func (c *cell) shrunk(prior, priorError float64) (mean, deviation float64) {
	mean = (c.sum + priorWeight*prior) / (c.weight + priorWeight)
	variance := 0.05
	if c.weight >= 5 {
		m := c.mean()
		variance = max(c.squares/c.weight-m*m, leastVariance)
	}
	part := priorWeight / (c.weight + priorWeight)
	return mean, math.Hypot(part*priorError, (1-part)*math.Sqrt(variance/max(c.weight, 1)))
}

// line is a regression of ratings on signals with exponential forgetting. It
// needs fewer ratings than an estimate for each bin.
type line struct{ n, x, xx, y, xy, yy float64 }

func (l *line) rate(signal, score, memory float64) {
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

// at returns the mean rating at a signal and its standard error. A weak prior
// keeps the slope at 0 while the signals hardly differ.
func (l *line) at(signal float64) (mean, deviation float64) {
	if l.n < 2 {
		return 0, 0.5
	}
	mx, my := l.x/l.n, l.y/l.n
	sxx := l.xx - l.n*mx*mx + 0.1
	slope := (l.xy - l.n*mx*my) / sxx
	variance := max((l.yy-l.n*my*my-slope*slope*sxx)/l.n, leastVariance)
	d := signal - mx
	return min(max(my+slope*d, 0), 1), math.Sqrt(variance * (1/l.n + d*d/sxx))
}

// plan is how requests of a class are answered: a part starts directly on
// candidate to, the others on candidate from, and escalate to candidate to
// with a probability that depends on the signal.
type plan struct {
	from, to  int
	direct    float64
	escalate  [signalBins + 1]float64
	cost      float64
	made      time.Time
	target    float64
	sensitive bool
}

// makePlan returns the cheapest plan that meets the target with the wanted
// confidence, or the last candidate when none is known to.
func (p *Planner) makePlan(r Request) *plan {
	last := len(r.Candidates) - 1
	best := &plan{from: last, to: last, cost: r.Candidates[last].Cost}
	for from := range last {
		for to := from + 1; to <= last; to++ {
			for _, made := range []*plan{p.mixed(r, from, to), p.chained(r, from, to)} {
				if made != nil && made.cost < best.cost {
					best = made
				}
			}
		}
	}
	return best
}

// mixed starts a part of the requests on the better candidate.
func (p *Planner) mixed(r Request, from, to int) *plan {
	cheap := p.cell(cellKey{class: r.Class, version: r.Candidates[from].Version, bin: allBins})
	better := p.cell(cellKey{class: r.Class, version: r.Candidates[to].Version, bin: allBins})
	for i := range 21 {
		part := float64(i) / 20
		mean := (1-part)*cheap.mean() + part*better.mean()
		deviation := math.Hypot((1-part)*cheap.standardError(), part*better.standardError())
		if mean-p.confidence()*deviation >= r.Target {
			cost := (1-part)*r.Candidates[from].Cost + part*r.Candidates[to].Cost
			return &plan{from: from, to: to, direct: part, cost: cost}
		}
	}
	return nil
}

// option is a bin of signals in a chain.
type option struct {
	bin                      int
	part                     float64
	stay, stayError          float64
	escalated, escalateError float64
}

// chained starts all requests on the cheaper candidate and escalates those
// with the largest expected gain until the target is met.
func (p *Planner) chained(r Request, from, to int) *plan {
	options := p.options(r, from, to)
	if options == nil {
		return nil
	}
	made := &plan{from: from, to: to, cost: r.Candidates[from].Cost}
	// The errors of the bins' own answers are independent, those after an
	// escalation come from one line and add up.
	mean, variance, common, escalations := 0.0, 0.0, 0.0, 0.0
	for _, o := range options {
		mean += o.part * o.stay
		variance += o.part * o.part * o.stayError * o.stayError
	}
	enough := func(mean, variance, common float64) bool {
		return mean-p.confidence()*math.Sqrt(max(variance, 0)+common*common) >= r.Target
	}
	for _, o := range options {
		if enough(mean, variance, common) {
			break
		}
		gain := o.part * (o.escalated - o.stay)
		change := -o.part * o.part * o.stayError * o.stayError
		slack := o.part * o.escalateError
		// The smallest part of the bin that is enough, in tenths.
		for i := 1; i <= 10; i++ {
			part := float64(i) / 10
			made.escalate[o.bin] = part
			if enough(mean+part*gain, variance+part*change, common+part*slack) {
				break
			}
		}
		part := made.escalate[o.bin]
		mean += part * gain
		variance += part * change
		common += part * slack
		escalations += part * o.part
	}
	if !enough(mean, variance, common) || (r.LatencySensitive && escalations > p.likely()) {
		return nil
	}
	made.cost += escalations * r.Candidates[to].Cost
	return made
}

// options returns the bins of a chain, the largest gain first, or nil when
// too little is known of the cheaper candidate.
func (p *Planner) options(r Request, from, to int) []option {
	cheap, better := r.Candidates[from].Version, r.Candidates[to].Version
	cheapMean := p.cell(cellKey{class: r.Class, version: cheap, bin: allBins})
	betterMean := p.cell(cellKey{class: r.Class, version: better, bin: allBins})
	known := p.cell(cellKey{r.Class, better, cheap, allBins})
	if cheapMean.weight < 10 || betterMean.weight < 10 || known.weight < leastGain {
		return nil
	}
	seen := p.signals(r.Class, cheap)
	first, after := p.line(r.Class, cheap, dhtable.Version{}), p.line(r.Class, better, cheap)
	var options []option
	total := 0.0
	for bin := range signalBins + 1 {
		if seen[bin] == 0 {
			continue
		}
		total += seen[bin]
		o := option{bin: bin, part: seen[bin]}
		c := p.cell(cellKey{class: r.Class, version: cheap, bin: bin})
		if bin == signalBins {
			o.stay, o.stayError = c.shrunk(cheapMean.mean(), cheapMean.standardError())
			o.escalated, o.escalateError = p.escalatedCell(r.Class, from, to, bin, r).shrunk(betterMean.mean(), 0.1)
		} else {
			signal := (float64(bin) + 0.5) / signalBins
			mean, deviation := first.at(signal)
			o.stay, o.stayError = c.shrunk(mean, deviation)
			o.escalated, o.escalateError = after.at(signal)
		}
		options = append(options, o)
	}
	if total == 0 {
		return nil
	}
	for i := range options {
		options[i].part /= total
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(b.escalated-b.stay, a.escalated-a.stay)
	})
	return options
}

func (p *Planner) escalatedCell(class string, from, to, bin int, r Request) *cell {
	c, ok := p.cells[cellKey{class, r.Candidates[to].Version, r.Candidates[from].Version, bin}]
	if !ok {
		return &cell{}
	}
	return c
}

func (p *Planner) likely() float64 {
	if p.LikelyEscalation > 0 {
		return p.LikelyEscalation
	}
	return 0.2
}
