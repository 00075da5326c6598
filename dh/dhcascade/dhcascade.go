// Package dhcascade chooses the model that a request starts on and whether an
// answer is good enough, at the lowest expected cost that meets the route's
// quality target.
//
// A Planner estimates the mean rating and its standard error for each class and
// version, overall and by the quick quality signal that an answer may carry.
// Ratings come from a Sampler, which has a bounded sample of the answers rated
// by a slow, noisy and sometimes unavailable service. The weight of old ratings
// decays exponentially.
//
// # Usage
//
//	planner := &dhcascade.Planner{Timers: timers}
//	r := dhcascade.Request{Class: route.Class, Target: route.QualityTarget, Candidates: candidates}
//	at := planner.Start(r)               // index of the candidate that answers first
//	next, ok := planner.Escalate(r, at, signal) // after its answer
//	sampler.Offer(sample)                // after each answer, including those that are escalated
package dhcascade

import (
	"cmp"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Candidate is a model of the cascade: the version that would answer and its cost.
type Candidate struct {
	Version dhtable.Version
	// Cost is the expected cost of an answer.
	Cost float64
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Class string
	// Target is the target mean rating; 0 means that the last candidate answers.
	Target float64
	// LatencySensitive excludes chains that are likely to escalate.
	LatencySensitive bool
	// Candidates are the allowed models in cascade order, the cheapest first.
	Candidates []Candidate
}

// Signal is a quick estimate of an answer's quality in [0, 1].
type Signal struct {
	Value float64
	Known bool
}

// Planner chooses the first candidate and decides on escalations. Its exported
// fields are set before use. It is safe for concurrent use.
type Planner struct {
	Timers dhtimer.Service
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
	// Confidence is the number of standard errors by which the expected
	// rating must exceed the target; 0 means 1.65 (95%, one-sided).
	Confidence float64
	// ExploreFraction is the fraction of requests that start on a cheaper candidate than
	// planned, so that its estimates stay current; 0 means 0.01.
	ExploreFraction float64
	// RatingMemory is the approximate number of recent ratings that an estimate is based
	// on; 0 means 150.
	RatingMemory float64
	// MaxRatingAge is how long estimates are used without new ratings; 0 means
	// 10 minutes. Afterwards the last candidate answers.
	MaxRatingAge time.Duration
	// LikelyEscalation is the probability of an escalation above which a chain
	// is not used for latency-sensitive requests; 0 means 0.2.
	LikelyEscalation float64
	// MaxEstimates bounds each table of estimates and MaxPlans the table of plans;
	// 0 means 4096 and 1024.
	MaxEstimates, MaxPlans int

	mu               sync.Mutex
	lastRating       time.Time
	estimates        map[estimateKey]*meanEstimate
	regressions      map[estimateKey]*linearRegression
	signalsByVersion map[estimateKey]*signalCounts
	plans            map[string]*plan
}

// estimateKey identifies an estimate. If from is zero, it is an estimate of first
// answers whose signal is in the bin. Otherwise it is an estimate of answers
// after an escalation from a version whose signal was in the bin.
type estimateKey struct {
	class         string
	version, from dhtable.Version
	bin           int
}

// planLifetime is how long a plan is used before it is recomputed.
const planLifetime = time.Second

// Start returns the index of the candidate that answers first.
func (p *Planner) Start(r Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(r.Candidates) - 1
	if last <= 0 || r.Target <= 0 || p.stale() {
		return max(last, 0)
	}
	plan := p.planFor(r)
	at := plan.from
	if p.random() < plan.directFraction {
		at = plan.to
	}
	// Latency-sensitive requests explore only while there are too few ratings.
	if at > 0 && p.random() < p.explore(r, at-1) {
		return at - 1
	}
	return at
}

// Escalate returns the candidate that answers next, or false if the answer of
// candidate at is used. It must be called after each first answer.
func (p *Planner) Escalate(r Request, at int, s Signal) (next int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(r.Candidates) - 1
	if at >= last || r.Target <= 0 {
		return 0, false
	}
	bin := binOf(s)
	p.signalCountsFor(r.Class, r.Candidates[at].Version).observe(bin, signalMemory)
	if p.stale() {
		return last, true
	}
	plan := p.planFor(r)
	if at >= plan.to {
		return 0, false
	}
	doubtful := p.estimateFor(estimateKey{class: r.Class, version: r.Candidates[at].Version, bin: bin}).lowerBound(p.confidence()) < r.Target
	if at != plan.from {
		// The request is exploring; its answer is used only if it probably meets
		// the target.
		return plan.to, doubtful
	}
	if p.random() < plan.escalate[bin] {
		return plan.to, true
	}
	// A chain is planned only when there are ratings of answers after an
	// escalation, so escalate a quarter of the doubtful answers to collect them.
	after := p.estimateFor(estimateKey{r.Class, r.Candidates[plan.to].Version, r.Candidates[at].Version, allBins})
	return plan.to, doubtful && after.weight < minRatings && p.random() < 0.25
}

// Rating is the rating of an answer.
type Rating struct {
	Class   string
	Version dhtable.Version
	Signal  Signal
	// From and FromSignal are the version and the signal of the previous answer in
	// the cascade, if any.
	From       dhtable.Version
	FromSignal Signal
	// Score is in [0, 1].
	Score float64
}

// Rate adds a rating to the estimates.
func (p *Planner) Rate(r Rating) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRating = p.Timers.Now()
	if r.From != (dhtable.Version{}) {
		p.estimateFor(estimateKey{r.Class, r.Version, r.From, binOf(r.FromSignal)}).add(r.Score, p.memory())
		p.estimateFor(estimateKey{r.Class, r.Version, r.From, allBins}).add(r.Score, p.memory())
		if r.FromSignal.Known {
			p.regressionFor(r.Class, r.Version, r.From).add(r.FromSignal.Value, r.Score, p.memory())
		}
		return
	}
	if r.Signal.Known {
		p.regressionFor(r.Class, r.Version, r.From).add(r.Signal.Value, r.Score, p.memory())
	}
	p.estimateFor(estimateKey{class: r.Class, version: r.Version, bin: binOf(r.Signal)}).add(r.Score, p.memory())
	p.estimateFor(estimateKey{class: r.Class, version: r.Version, bin: allBins}).add(r.Score, p.memory())
}

// Estimate is the planner's estimate of the mean rating of a version's first answers.
type Estimate struct {
	Mean, Error float64
	// Ratings is the total weight of the ratings, which decays as new ones arrive.
	Ratings float64
}

// Estimate returns the estimated mean rating of a version's first answers in a class.
func (p *Planner) Estimate(class string, v dhtable.Version) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.estimates[estimateKey{class: class, version: v, bin: allBins}]
	if !ok {
		c = &meanEstimate{}
	}
	return Estimate{Mean: c.mean(), Error: c.standardError(), Ratings: c.weight}
}

func (p *Planner) stale() bool {
	stale := p.MaxRatingAge
	if stale <= 0 {
		stale = 10 * time.Minute
	}
	return p.lastRating.IsZero() || p.Timers.Now().Sub(p.lastRating) > stale
}

// explore returns the probability of starting on the cheaper candidate at. It is
// higher while the candidate or the escalation from it has few ratings.
func (p *Planner) explore(r Request, at int) float64 {
	direct := p.estimateFor(estimateKey{class: r.Class, version: r.Candidates[at].Version, bin: allBins})
	after := p.estimateFor(estimateKey{r.Class, r.Candidates[len(r.Candidates)-1].Version, r.Candidates[at].Version, allBins})
	if direct.weight < minRatings || (!r.LatencySensitive && after.weight < minRatings) {
		return 0.1
	}
	if r.LatencySensitive {
		return 0
	}
	if p.ExploreFraction > 0 {
		return p.ExploreFraction
	}
	return 0.01
}

// Sample reports whether an answer should be rated: always if its estimate has
// few ratings, otherwise with a probability of one fifth.
func (p *Planner) Sample(r Rating) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimateFor(estimateKey{r.Class, r.Version, r.From, allBins}).weight < minRatings || p.random() < 0.2
}

// planFor returns the plan for a request and caches it for a second.
func (p *Planner) planFor(r Request) *plan {
	var b strings.Builder
	b.WriteString(r.Class)
	for _, c := range r.Candidates {
		b.WriteString(" " + c.Version.String())
	}
	key := b.String()
	now := p.Timers.Now()
	old, ok := p.plans[key]
	if ok && now.Sub(old.plannedAt) < planLifetime && old.target == r.Target && old.latencySensitive == r.LatencySensitive {
		return old
	}
	made := p.makePlan(r)
	made.plannedAt, made.target, made.latencySensitive = now, r.Target, r.LatencySensitive
	if p.plans == nil {
		p.plans = make(map[string]*plan)
	}
	if !ok && len(p.plans) >= cmp.Or(p.MaxPlans, 1024) {
		clear(p.plans)
	}
	p.plans[key] = made
	return made
}

// estimateFor returns the estimate with a key and creates it if necessary. If the
// table is full, the new estimate is not stored.
func (p *Planner) estimateFor(k estimateKey) *meanEstimate {
	c, ok := p.estimates[k]
	if !ok {
		c = &meanEstimate{}
		if p.estimates == nil {
			p.estimates = make(map[estimateKey]*meanEstimate)
		}
		if len(p.estimates) < cmp.Or(p.MaxEstimates, 4096) {
			p.estimates[k] = c
		}
	}
	return c
}

func (p *Planner) signalCountsFor(class string, v dhtable.Version) *signalCounts {
	k := estimateKey{class: class, version: v, bin: allBins}
	s, ok := p.signalsByVersion[k]
	if !ok {
		s = &signalCounts{}
		if p.signalsByVersion == nil {
			p.signalsByVersion = make(map[estimateKey]*signalCounts)
		}
		if len(p.signalsByVersion) < cmp.Or(p.MaxEstimates, 4096) {
			p.signalsByVersion[k] = s
		}
	}
	return s
}

// regressionFor returns the regression of a version's ratings on the signals of
// its own answers, or on the signals of the previous answers if from is set.
func (p *Planner) regressionFor(class string, v, from dhtable.Version) *linearRegression {
	k := estimateKey{class, v, from, allBins}
	l, ok := p.regressions[k]
	if !ok {
		l = &linearRegression{}
		if p.regressions == nil {
			p.regressions = make(map[estimateKey]*linearRegression)
		}
		if len(p.regressions) < cmp.Or(p.MaxEstimates, 4096) {
			p.regressions[k] = l
		}
	}
	return l
}

func (p *Planner) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}

func (p *Planner) memory() float64 {
	if p.RatingMemory > 0 {
		return p.RatingMemory
	}
	return 150
}

func (p *Planner) confidence() float64 {
	if p.Confidence > 0 {
		return p.Confidence
	}
	return 1.65
}
