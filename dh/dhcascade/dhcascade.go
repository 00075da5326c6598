// Package dhcascade chooses the model that a request starts on and whether an
// answer is good enough, at the lowest expected cost that meets the route's
// quality target.
//
// A Planner keeps, per class and version, the mean rating with its
// uncertainty, also by the quick quality signal that an answer may carry.
// Ratings come from a Sampler, which rates a bounded sample of the answers
// with a slow, noisy and sometimes unavailable service. Old ratings are
// forgotten exponentially.
//
// # Usage
//
//	planner := &dhcascade.Planner{Timers: timers}
//	r := dhcascade.Request{Class: route.Class, Target: route.QualityTarget, Candidates: candidates}
//	at := planner.Start(r)               // index of the candidate that answers first
//	next, ok := planner.Escalate(r, at, signal) // after its answer
//	sampler.Offer(sample)                // after each answer, also of those that are escalated
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

// Candidate is a model of the cascade with the version that would answer.
type Candidate struct {
	Version dhtable.Version
	// Cost is the expected cost of an answer.
	Cost float64
}

// Request is what a decision depends on.
type Request struct {
	Class string
	// Target is the wanted mean rating; 0 means that the last candidate answers.
	Target float64
	// LatencySensitive avoids chains that will probably escalate.
	LatencySensitive bool
	// Candidates are the allowed models in cascade order, the cheapest first.
	Candidates []Candidate
}

// Signal is a quick estimate of an answer's quality in [0, 1].
type Signal struct {
	Value float64
	Known bool
}

// Planner decides on starts and escalations. Its exported fields are set
// before use. It is safe for use by several goroutines.
type Planner struct {
	Timers dhtimer.Service
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
	// Confidence is the number of standard errors by which the expected
	// rating exceeds the target; 0 means 1.65 (95%, one-sided).
	Confidence float64
	// Explore is the part of requests that start on a cheaper candidate than
	// planned, so that its estimates stay current; 0 means 0.01.
	Explore float64
	// Memory is about how many ratings an estimate remembers; 0 means 150.
	Memory float64
	// Stale is how long the estimates are used without new ratings; 0 means
	// 10 minutes. Then the last candidate answers.
	Stale time.Duration
	// LikelyEscalation is the probability of an escalation above which a chain
	// is not used for latency-sensitive requests; 0 means 0.2.
	LikelyEscalation float64
	// MaxCells and MaxPlans bound the tables; 0 means 4096 and 1024.
	MaxCells, MaxPlans int

	mu    sync.Mutex
	rated time.Time
	cells map[cellKey]*cell
	lines map[cellKey]*line
	seen  map[cellKey]*signals
	plans map[string]*plan
}

// cellKey names an estimate: of first answers when From is zero, otherwise of
// answers that followed one of From with a signal in the bin.
type cellKey struct {
	class         string
	version, from dhtable.Version
	bin           int
}

// planAge is how long a plan is used before it is made anew.
const planAge = time.Second

// Start returns the index of the candidate that answers first.
func (p *Planner) Start(r Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(r.Candidates) - 1
	if last <= 0 || r.Target <= 0 || p.stale() {
		return max(last, 0)
	}
	plan := p.plan(r)
	at := plan.from
	if p.random() < plan.direct {
		at = plan.to
	}
	// Latency-sensitive requests are spared, unless nothing is known.
	if at > 0 && p.random() < p.explore(r, at-1) {
		return at - 1
	}
	return at
}

// Escalate returns the candidate that answers next, or false when the answer
// of candidate at is good enough. It is called after each first answer.
func (p *Planner) Escalate(r Request, at int, s Signal) (next int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(r.Candidates) - 1
	if at >= last || r.Target <= 0 {
		return 0, false
	}
	bin := binOf(s)
	p.signals(r.Class, r.Candidates[at].Version).see(bin, signalMemory)
	if p.stale() {
		return last, true
	}
	plan := p.plan(r)
	if at >= plan.to {
		return 0, false
	}
	doubtful := p.cell(cellKey{class: r.Class, version: r.Candidates[at].Version, bin: bin}).low(p.confidence()) < r.Target
	if at != plan.from {
		// The request explores; its answer counts only if it is probably good.
		return plan.to, doubtful
	}
	if p.random() < plan.escalate[bin] {
		return plan.to, true
	}
	// A chain is planned only once it is known what escalation gains.
	after := p.cell(cellKey{r.Class, r.Candidates[plan.to].Version, r.Candidates[at].Version, allBins})
	return plan.to, doubtful && after.weight < fewRatings && p.random() < 0.25
}

// Rating is the rating of an answer.
type Rating struct {
	Class   string
	Version dhtable.Version
	Signal  Signal
	// From and FromSignal are the answer before it in the cascade, if any.
	From       dhtable.Version
	FromSignal Signal
	// Score is in [0, 1].
	Score float64
}

// Rate adds a rating to the estimates.
func (p *Planner) Rate(r Rating) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rated = p.Timers.Now()
	if r.From != (dhtable.Version{}) {
		p.cell(cellKey{r.Class, r.Version, r.From, binOf(r.FromSignal)}).rate(r.Score, p.memory())
		p.cell(cellKey{r.Class, r.Version, r.From, allBins}).rate(r.Score, p.memory())
		if r.FromSignal.Known {
			p.line(r.Class, r.Version, r.From).rate(r.FromSignal.Value, r.Score, p.memory())
		}
		return
	}
	if r.Signal.Known {
		p.line(r.Class, r.Version, r.From).rate(r.Signal.Value, r.Score, p.memory())
	}
	p.cell(cellKey{class: r.Class, version: r.Version, bin: binOf(r.Signal)}).rate(r.Score, p.memory())
	p.cell(cellKey{class: r.Class, version: r.Version, bin: allBins}).rate(r.Score, p.memory())
}

// Estimate is what the planner knows of a version's first answers.
type Estimate struct {
	Mean, Error float64
	// Ratings is the weight of the remembered ratings.
	Ratings float64
}

// Estimate returns the mean rating of a version's first answers of a class.
func (p *Planner) Estimate(class string, v dhtable.Version) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cells[cellKey{class: class, version: v, bin: allBins}]
	if !ok {
		c = &cell{}
	}
	return Estimate{Mean: c.mean(), Error: c.standardError(), Ratings: c.weight}
}

func (p *Planner) stale() bool {
	stale := p.Stale
	if stale <= 0 {
		stale = 10 * time.Minute
	}
	return p.rated.IsZero() || p.Timers.Now().Sub(p.rated) > stale
}

// explore returns the probability of starting on a cheaper candidate. It is
// higher while little is known of the candidate or of what follows it.
func (p *Planner) explore(r Request, at int) float64 {
	direct := p.cell(cellKey{class: r.Class, version: r.Candidates[at].Version, bin: allBins})
	after := p.cell(cellKey{r.Class, r.Candidates[len(r.Candidates)-1].Version, r.Candidates[at].Version, allBins})
	if direct.weight < fewRatings || (!r.LatencySensitive && after.weight < fewRatings) {
		return 0.1
	}
	if r.LatencySensitive {
		return 0
	}
	if p.Explore > 0 {
		return p.Explore
	}
	return 0.01
}

// Sample reports whether an answer should be rated: always when its estimate
// has few ratings, else a fifth of the time.
func (p *Planner) Sample(r Rating) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cell(cellKey{r.Class, r.Version, r.From, allBins}).weight < fewRatings || p.random() < 0.2
}

// plan returns the plan of a request, which is kept for a second.
func (p *Planner) plan(r Request) *plan {
	var b strings.Builder
	b.WriteString(r.Class)
	for _, c := range r.Candidates {
		b.WriteString(" " + c.Version.String())
	}
	key := b.String()
	now := p.Timers.Now()
	old, ok := p.plans[key]
	if ok && now.Sub(old.made) < planAge && old.target == r.Target && old.sensitive == r.LatencySensitive {
		return old
	}
	made := p.makePlan(r)
	made.made, made.target, made.sensitive = now, r.Target, r.LatencySensitive
	if p.plans == nil {
		p.plans = make(map[string]*plan)
	}
	if !ok && len(p.plans) >= cmp.Or(p.MaxPlans, 1024) {
		clear(p.plans)
	}
	p.plans[key] = made
	return made
}

// cell returns an estimate. When the table is full, a new one is not kept.
func (p *Planner) cell(k cellKey) *cell {
	c, ok := p.cells[k]
	if !ok {
		c = &cell{}
		if p.cells == nil {
			p.cells = make(map[cellKey]*cell)
		}
		if len(p.cells) < cmp.Or(p.MaxCells, 4096) {
			p.cells[k] = c
		}
	}
	return c
}

func (p *Planner) signals(class string, v dhtable.Version) *signals {
	k := cellKey{class: class, version: v, bin: allBins}
	s, ok := p.seen[k]
	if !ok {
		s = &signals{}
		if p.seen == nil {
			p.seen = make(map[cellKey]*signals)
		}
		if len(p.seen) < cmp.Or(p.MaxCells, 4096) {
			p.seen[k] = s
		}
	}
	return s
}

// line returns the regression of a version's ratings on the signals of its
// own answers, or of those of the answers before it.
func (p *Planner) line(class string, v, from dhtable.Version) *line {
	k := cellKey{class, v, from, allBins}
	l, ok := p.lines[k]
	if !ok {
		l = &line{}
		if p.lines == nil {
			p.lines = make(map[cellKey]*line)
		}
		if len(p.lines) < cmp.Or(p.MaxCells, 4096) {
			p.lines[k] = l
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
	if p.Memory > 0 {
		return p.Memory
	}
	return 150
}

func (p *Planner) confidence() float64 {
	if p.Confidence > 0 {
		return p.Confidence
	}
	return 1.65
}
