package dhplacement

import (
	"math"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhbackend"
)

const (
	// meanTime is the time constant of the long-term means of reported loads. It spans
	// several reports of 0.2 to 0.3 s, and a slow server is still noticed within seconds.
	meanTime = 2 * time.Second
	// firstInterval is the time that the first report of a backend server counts for.
	firstInterval = 200 * time.Millisecond
	// baseMemory is the age at which a long-term mean without new reports has lost all
	// but 1/e of its difference from the pool.
	baseMemory = 10 * time.Second
	// residenceSamples is the number of requests over which a residence is averaged, and
	// minResidenceSamples the number from which it replaces the prior: 8 exponential
	// times give their mean within about a third.
	residenceSamples    = 64
	minResidenceSamples = 8
)

// residence is the mean time that requests, or their prompts until the first token,
// stay at the backend servers of a pool.
type residence struct {
	mu                sync.Mutex
	samples           float64
	mean, meanSquares float64 // seconds
}

func (r *residence) observe(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = min(r.samples+1, residenceSamples)
	x := max(d, 0).Seconds()
	r.mean += (x - r.mean) / r.samples
	r.meanSquares += (x*x - r.meanSquares) / r.samples
}

// estimate returns the time constant with which a set of requests is replaced by others.
// Requests of very different lengths are replaced more slowly than their mean says,
// because at any time most of those present are long ones.
func (r *residence) estimate(prior time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples < minResidenceSamples || r.mean <= 0 {
		return prior
	}
	return time.Duration(max(r.mean, r.meanSquares/(2*r.mean)) * float64(time.Second))
}

// poolResidence holds the residences of a pool by the lane of the backend servers, and the pace
// of requests without a prompt.
type poolResidence struct {
	requests, prefill [LargeLane + 1]residence
	pace              pace
}

// longTermMean is an exponentially weighted mean of reported loads and of their
// squared deviations.
type longTermMean struct {
	mean, variance float64
	// known is the share of the weights that reports have filled, from 0 to 1.
	known float64
}

func (m *longTermMean) add(x float64, interval time.Duration) {
	weight := 1 - math.Exp(-float64(interval)/float64(meanTime))
	m.known += weight * (1 - m.known)
	step := weight / m.known
	d := x - m.mean
	m.mean += step * d
	m.variance = (1 - step) * (m.variance + step*d*d)
}

// load is one kind of load (running requests or pending prefill) that other entry
// VMs have placed on a backend server.
type load struct {
	latest float64
	longTermMean
}

// othersState holds the reports on a backend server. Guarded by Placer.mu.
type othersState struct {
	reportedAt       time.Time
	running, prefill load
}

// add applies a load report unless it is already known.
func (o *othersState) add(b *dhbackend.Backend, own dhbackend.Load) {
	o.running.latest = max(float64(b.Running+b.Waiting-own.Running), 0)
	o.prefill.latest = max(float64(b.PendingPrefill-own.PendingPrefill), 0)
	at := b.Seen.Add(-b.ReportAge)
	if !at.After(o.reportedAt) {
		return
	}
	interval := firstInterval
	if !o.reportedAt.IsZero() {
		interval = at.Sub(o.reportedAt)
	}
	o.reportedAt = at
	o.running.add(o.running.latest, interval)
	o.prefill.add(o.prefill.latest, interval)
}

// level is a kind of load over all backend servers of a lane.
type level struct {
	stay time.Duration
	// mean is the mean of the long-term means, between their variance, and within the
	// mean variance of the reports of one backend server.
	mean, between, within float64
	servers               float64
	age                   time.Duration
}

func newLevel(loads []*load, stay, age time.Duration) level {
	l := level{stay: max(stay, 1), age: max(age, 0)}
	for _, m := range loads {
		l.servers += m.known
		l.mean += m.known * m.mean
		l.within += m.known * m.variance
	}
	if l.servers == 0 {
		return l
	}
	l.mean /= l.servers
	l.within /= l.servers
	for _, m := range loads {
		l.between += m.known * (m.mean - l.mean) * (m.mean - l.mean) / l.servers
	}
	// The means of equal servers differ by the error of a mean over meanTime of reports
	// that are correlated for a residence.
	l.between = max(l.between-l.error(1), 0)
	return l
}

// error returns the variance of a long-term mean around the true mean of its server.
func (l *level) error(known float64) float64 {
	correlated := min(float64(max(l.stay, firstInterval))/float64(2*meanTime), 1)
	return l.within * correlated / max(known, 1e-3)
}

// estimate returns the present load of a backend server, from its latest report of an age.
// The long-term mean is shrunk toward the mean of all servers as far as its difference
// may be chance. Of the latest deviation from it, the share remains that
// has not been replaced by other requests since.
func (l *level) estimate(m *load, age time.Duration) float64 {
	base := l.mean
	if l.between > 0 {
		base += (m.mean - l.mean) * l.between / (l.between + l.error(m.known)) * faded(age)
	}
	return max(base+(m.latest-base)*l.remaining(age), 0)
}

// remaining returns the share of the requests of a report of an age that have not ended.
func (l *level) remaining(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(l.stay))
}

// unknown returns the load that other entry VMs may have placed on a backend server in
// reaction to the same reports. Choices by the latest deviation take effect unseen for the age of a report:
// the requests placed per server in that time, as far as the report says something about
// the present. Choices by the long-term mean show in it only after meanTime, so that VMs
// that follow it more closely than this in turn overload and avoid a server. Without reports nothing
// remains that several VMs could react to.
func (l *level) unknown() float64 {
	age, remaining := float64(l.age), l.remaining(l.age)
	return l.mean * min(age/float64(l.stay)*remaining+age/float64(meanTime)*(1-remaining), 1) * faded(l.age)
}

// faded returns the share of a long-term mean's difference from the pool that counts at the age
// of its last report.
func faded(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(baseMemory))
}

// levels are the loads over the backend servers of a lane.
type levels struct {
	running, prefill level
	present          bool
}

// estimateLoads computes the estimated load by other entry VMs of each candidate.
func (po *pool) estimateLoads(r *poolResidence, s *Settings, now time.Time) {
	prior := time.Duration(float64(s.ReportHalfLife) / math.Ln2)
	var slots float64
	for i := range po.candidates {
		slots += float64(max(po.candidates[i].backend.Slots, 1)) / float64(len(po.candidates))
	}
	for lane := range po.levels {
		var running, prefill []*load
		var age time.Duration
		for i := range po.candidates {
			if c := &po.candidates[i]; c.lane == Lane(lane) {
				running, prefill = append(running, &c.state.others.running), append(prefill, &c.state.others.prefill)
				age += c.age(now)
			}
		}
		if len(running) == 0 {
			continue
		}
		age /= time.Duration(len(running))
		po.levels[lane] = levels{newLevel(running, r.requests[lane].estimate(prior), age), newLevel(prefill, r.prefill[lane].estimate(prior), age), true}
	}
	paceAnswers := r.pace.prior()
	for i := range po.candidates {
		c := &po.candidates[i]
		l, age := &po.levels[c.lane], c.age(now)
		c.othersLoad = l.running.estimate(&c.state.others.running, age)
		c.othersPrefill = l.prefill.estimate(&c.state.others.prefill, age)
		c.othersMean = c.state.others.running.mean
		c.logCapacity = math.Log(float64(max(c.backend.Slots, 1))/slots) + c.state.speed.estimate(now, paceAnswers)
	}
}

// estimateByHalfLife computes the estimated load by other entry VMs of each candidate from
// its latest report and the mean of the pool's.
func (po *pool) estimateByHalfLife(halfLife time.Duration, now time.Time) {
	running, prefill := 0.0, 0.0
	for i := range po.candidates {
		o := &po.candidates[i].state.others
		running += o.running.latest / float64(len(po.candidates))
		prefill += o.prefill.latest / float64(len(po.candidates))
	}
	for i := range po.candidates {
		c := &po.candidates[i]
		o := &c.state.others
		weight := math.Exp2(-float64(c.age(now)) / float64(max(halfLife, 1)))
		c.othersLoad = weight*o.running.latest + (1-weight)*running
		c.othersPrefill = weight*o.prefill.latest + (1-weight)*prefill
		c.othersMean = o.running.mean
	}
}

// age returns the age of the latest load report.
func (c *candidate) age(now time.Time) time.Duration {
	return max(now.Sub(c.backend.Seen)+c.backend.ReportAge, 0)
}

// levelsOf returns the loads of the lane of a request, or of another lane if the pool has
// no such lane.
func (po *pool) levelsOf(lane Lane) *levels {
	for _, l := range []Lane{lane, AnyLane, SmallLane, LargeLane} {
		if po.levels[l].present {
			return &po.levels[l]
		}
	}
	return &po.levels[AnyLane]
}

// minUncertainty decides between equal scores at random, also without data on others. A
// difference of a request costs more than 1000 times as much.
const minUncertainty = float64(time.Microsecond)

// uncertaintyOf returns the effect on the score of the load that other entry VMs may have
// placed since the reports.
func (c *decision) uncertaintyOf(known int) float64 {
	l := c.pool.levelsOf(c.r.Lane)
	running, prefill := l.running.unknown(), l.prefill.unknown()
	if c.p.Settings.Randomness <= 0 {
		return 0
	}
	if running == 0 && prefill == 0 {
		return minUncertainty
	}
	uncached := max(c.r.PromptTokens-c.r.tokens(known), 0)
	slots := float64(max(c.pool.candidates[0].backend.Slots, 1))
	least := c.cost(l.running.mean, l.prefill.mean, slots, uncached).total()
	most := c.cost(l.running.mean+running, l.prefill.mean+prefill, slots, uncached).total()
	return max(c.p.Settings.Randomness*float64(most-least), minUncertainty)
}

// perturbed returns the score of a candidate minus a random term. The candidate with the
// lowest result is then chosen with a probability in proportion to its slots times
// exp(-score/uncertainty). A candidate that is scored twice gets the same random term.
func (c *decision) perturbed(cand *candidate, score time.Duration) time.Duration {
	r := c.gumbel ^ random(cand.state.hash)
	gumbel := -math.Log(-math.Log(max(r.float(), 1e-16)))
	return score - time.Duration(c.uncertainty*(gumbel+cand.logCapacity))
}
