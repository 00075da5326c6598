// Package dhplacement chooses the backend server for a request.
//
// A Placer estimates the load of each backend server from its last load report
// and from the requests that this entry VM itself is running there. The score
// of a candidate is the time that the request is expected to cost: queueing,
// decoding in a batch with other requests, and prefill of the prompt tokens
// that are not in the prefix cache. Whether other availability zones are used is
// decided before (zone.go). Only a random sample of the candidates, the last known owner of the
// prompt's prefix and the rendezvous candidate of its shared prefix are scored.
// The choice among them is random as far as requests that other entry VMs have
// placed since the reports can change the scores, so that entry VMs that decide
// independently on the same outdated reports do not all choose the same backend server.
//
// The control goroutine calls Update with each new view; request goroutines
// call Place, Begin and End concurrently. Place takes no lock unless its view
// is new.
//
// # Usage
//
//	placer := &dhplacement.Placer{Timers: timers, Zone: "mrc-a", Settings: dhplacement.Defaults()}
//	placer.Update(view)
//	p, err := placer.Place(view, dhplacement.Request{Pool: "atelier-llm", Version: v, Prefix: hashes, PromptTokens: n})
//	placer.Begin(&p, request)
//	placer.FirstToken(p)
//	defer placer.End(p, ok)
package dhplacement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Settings are the weights of the terms of a score. All durations are costs
// added to a score, except the half-lives.
type Settings struct {
	// Sample is the number of candidates scored in the entry VM's own zone, and
	// again in all other zones together.
	Sample int
	// PerSequence is the time that a running request adds to each decoded token
	// of the other requests. PerPrefillToken is the prefill time of a prompt
	// token that is not in the prefix cache.
	PerSequence, PerPrefillToken time.Duration
	// PerPendingPrefillToken is the time that a request waits for each pending prefill
	// token of other requests, at the pace of the slowest model.
	PerPendingPrefillToken time.Duration
	// PerWaiting is the time that a request waits for a slot per request in excess
	// of the slots.
	PerWaiting time.Duration
	// LoadUncertainty is the uncertainty of an estimated load in requests. Queueing is
	// expected to begin about this many requests before the slots are full.
	LoadUncertainty float64
	// OthersDelayWeight is the weight of the delay that the request causes to the other
	// running requests.
	OthersDelayWeight float64
	// OtherZone is the time that a request loses on the way to another zone and back.
	OtherZone time.Duration
	// OtherZonePerKilobyte is the delay that is worth as much as 1000 bytes between zones.
	OtherZonePerKilobyte time.Duration
	// OtherZoneMinGain is how much faster than its price a request must be elsewhere to
	// leave the zone. If it is 0, candidates of all zones always compete.
	OtherZoneMinGain time.Duration
	// ReportHalfLife is the age at which a load report has a weight of one half; the
	// remaining weight goes to the mean of the pool. With Randomness it applies until
	// the residence of requests is known, and the remaining weight goes to the long-term mean.
	ReportHalfLife time.Duration
	// Randomness multiplies the difference of scores that is decided at random because other
	// entry VMs may have placed requests since the reports. With 0 nothing is, and
	// the estimate depends on ReportHalfLife alone: where reports are older than a second and
	// affinity saves less than a few requests' load, this kept more prompts cached.
	Randomness float64
	// ColdFactor multiplies the score of a backend server in a cold start and
	// ColdBase is added to it.
	ColdFactor float64
	ColdBase   time.Duration
	// PerFailure is the cost of a recent failure. It halves every FailureHalfLife.
	PerFailure, FailureHalfLife time.Duration
	// MaxBlocks bounds the known prefix cache blocks per backend server.
	MaxBlocks int
	// LaneShare is the fraction of each zone's backend servers that are preferred
	// for small models; the others are preferred for large models. A batch
	// progresses at the mean pace of its requests, so that a small model in a
	// batch with large ones is about as slow as they are.
	LaneShare float64
	// OffLane is the penalty of a backend server of the other lane.
	OffLane time.Duration
}

// Defaults returns the settings that docs/MEASUREMENTS.md measures.
func Defaults() Settings {
	return Settings{
		Sample: 5, PerSequence: 500 * time.Microsecond, PerPrefillToken: 60 * time.Microsecond,
		PerWaiting: 500 * time.Millisecond, LoadUncertainty: 2, OthersDelayWeight: 1.5, OtherZone: 100 * time.Millisecond,
		ReportHalfLife: 600 * time.Millisecond, ColdFactor: 3, ColdBase: 200 * time.Millisecond,
		PerFailure: time.Second, FailureHalfLife: 2 * time.Second, MaxBlocks: 1024,
	}
}

// BlockTokens is the number of prompt tokens in a block: each prefix hash covers
// one block more than the previous hash.
const BlockTokens = 64

// DefaultMaxTokens applies to requests without a limit. The expected length of
// an answer is expectedAnswerPercent of its limit.
const (
	DefaultMaxTokens      = 256
	expectedAnswerPercent = 60
)

// Lane identifies a group of models that run at about the same pace.
type Lane int

// AnyLane has no preference; the other lanes prefer backend servers of their own lane.
const (
	AnyLane   Lane = iota // any
	SmallLane             // small
	LargeLane             // large
)

// Request holds the properties of a request that its placement depends on.
type Request struct {
	Pool    string
	Version dhtable.Version
	// Prefix holds the hashes of the prompt's prefixes, the shortest first.
	Prefix []uint64
	// PrefixTokens holds the length of each prefix; without it each is
	// BlockTokens longer than the one before.
	PrefixTokens []int
	// Shared is the number of prefixes that the request has in common with other
	// requests. The rendezvous candidate of the longest of them is scored as if
	// it had that prefix in its cache.
	Shared       int
	PromptTokens int
	// RelativePrefillTime is the model's prefill time per token relative to the slowest model of
	// the pool, from 0 to 1; 0 means 1.
	RelativePrefillTime float64
	// Lane is the lane of the request's model.
	Lane Lane
	// Bytes is the size of the request; 0 means an estimate by PromptTokens.
	Bytes int
	// Target is the time left for the first event or the whole answer; 0 means that it is not known.
	Target time.Duration
	// MaxTokens is the limit of the answer; 0 means DefaultMaxTokens.
	MaxTokens int
	// ZoneWeights gives the share of requests that may use a zone: 0 for a
	// zone out of service, less than 1 while it ramps up. Zones that are not
	// listed have 1.
	ZoneWeights map[string]float64
	// Exclude lists backend servers that have already failed the request.
	Exclude []string
	// Credit reports whether a credit for a backend server in a cold start is
	// available. If it is nil, backend servers in a cold start are not chosen.
	Credit func(b *dhbackend.Backend) bool
	// Permit reports whether the request may use a backend server; nil permits all.
	Permit func(b *dhbackend.Backend) bool
}

// tokens returns the length of the first n prefixes.
func (r *Request) tokens(n int) int {
	if n == 0 || len(r.PrefixTokens) < n {
		return n * BlockTokens
	}
	return r.PrefixTokens[n-1]
}

// Placement is the chosen backend server with the estimates behind the choice.
type Placement struct {
	Backend *dhbackend.Backend
	// Cold is set when the request needs a credit of the backend server.
	Cold bool
	// CachedTokens is the expected number of prompt tokens in the prefix cache.
	CachedTokens int
	// Load is the estimated number of requests at the backend server. Wait is the
	// estimated time in its queue.
	Load float64
	Wait time.Duration
	// OthersMean is the long-term mean of the load by other entry VMs in the latest reports, and
	// Residence the time that requests stay at such a backend server. Uncertainty is
	// the difference of scores that is decided at random. Randomized is set if a
	// candidate with a lower score was passed over.
	OthersMean             float64
	Residence, Uncertainty time.Duration
	Randomized             bool
	// PrefillAhead is the number of prompt tokens, weighted by pace, that the backend
	// server is expected to prefill before the first token: those of other
	// requests and the request's own.
	PrefillAhead int
	// ZoneReason is why the request stays in the zone or leaves it, ZoneShare the
	// fraction of such requests that leave, ZoneGain how much faster they are expected to be
	// then and ZonePrice what it costs.
	ZoneReason          ZoneReason
	ZoneShare           float64
	ZoneGain, ZonePrice time.Duration

	state     *backendState
	residence *poolResidence
	lane      Lane
	began     time.Time
	// plain is set for a request without a model or without a prompt. Only its time tells the speed of a backend
	// server; the time of others depends on the length of their answers.
	plain bool
	// prefillTokens is the number of uncached prompt tokens, weighted by pace.
	prefillTokens int64
	// pendingPrefill is prefillTokens from Begin to the first token, then 0.
	pendingPrefill *atomic.Int64
}

// Placer chooses backend servers for the requests of one entry VM. The
// exported fields are set before use.
type Placer struct {
	Timers dhtimer.Service
	// Zone is the entry VM's own availability zone.
	Zone     string
	Settings Settings
	Seed     uint64

	decisions atomic.Uint64
	index     atomic.Pointer[index]
	owners    owners

	mu     sync.Mutex // guards states, residences and the building of an index
	states map[string]*backendState
	// residences holds the residence of requests by pool.
	residences map[string]*poolResidence
}

// Place chooses a backend server. It fails with the code no-backend when no
// usable backend server has the version, and with pool-full when one has it but
// is in a cold start without a free credit. Both errors state "not run".
func (p *Placer) Place(view *dhbackend.View, r Request) (Placement, error) {
	placement, _, err := p.decide(view, r, p.decisions.Add(1), nil)
	return placement, err
}

// decide makes the decision with a number; rec, if it is not nil, records the candidates.
func (p *Placer) decide(view *dhbackend.View, r Request, number uint64, rec *recorder) (Placement, zoneChoice, error) {
	po := p.indexOf(view).pools[r.Pool]
	if po == nil || po.groups[r.Version] == nil {
		return Placement{}, zoneChoice{}, dhcode.Errorf(dhcode.NoBackend, "no backend server of pool %q has version %q", r.Pool, r.Version)
	}
	c := decision{p: p, r: r, pool: po, group: po.groups[r.Version], now: p.Timers.Now(), random: random(p.Seed + number*splitmixIncrement), recorder: rec}
	c.ramp = c.random.float()
	c.answerTokens = r.MaxTokens
	if c.answerTokens <= 0 {
		c.answerTokens = DefaultMaxTokens
	}
	c.answerTokens = c.answerTokens * expectedAnswerPercent / 100
	c.owner, c.known = c.p.owners.longest(r.Prefix)
	c.gumbel = c.random
	c.uncertainty = c.uncertaintyOf(max(c.known, r.Shared))
	c.choose()
	if c.best.Backend == nil && c.ramp > 0 {
		// No other zone has a candidate: use one that is ramping up.
		c.ramp = 0
		c.choose()
	}
	if rec != nil {
		c.addOthers()
	}
	if c.best.Backend == nil && c.refusedCold {
		return Placement{}, c.zone, dhcode.Errorf(dhcode.PoolFull, "backend servers of pool %q with version %q are in a cold start without a free credit", r.Pool, r.Version)
	}
	if c.best.Backend == nil {
		return Placement{}, c.zone, dhcode.Errorf(dhcode.NoBackend, "no usable backend server of pool %q has version %q", r.Pool, r.Version)
	}
	c.noteZone()
	c.best.prefillTokens = int64(float64(c.uncached) * cmp.Or(r.RelativePrefillTime, 1))
	c.best.PrefillAhead = c.pendingPrefill + int(c.best.prefillTokens)
	c.best.residence = po.residence
	c.best.Residence, c.best.Uncertainty = po.levels[c.best.lane].running.stay, time.Duration(c.uncertainty)
	c.best.Randomized = c.chosenScore > c.lowestScore
	return c.best, c.zone, nil
}

// Begin counts a request that is sent to the backend server of a placement and
// records its prefix as cached there.
func (p *Placer) Begin(pl *Placement, r Request) {
	pl.began, pl.plain = p.Timers.Now(), r.Version.Model == "" || r.PromptTokens == 0
	pl.state.inFlight.Add(1)
	pl.pendingPrefill = new(atomic.Int64)
	pl.pendingPrefill.Store(pl.prefillTokens)
	pl.state.pendingPrefill.Add(pl.prefillTokens)
	p.remember(pl.state, r.Prefix)
}

// FirstToken records that the prefill of a request is complete. Without this
// call the prefill counts as pending until End.
func (p *Placer) FirstToken(pl Placement) {
	if p.finishPrefill(pl) && pl.residence != nil {
		pl.residence.prefill[pl.lane].observe(p.Timers.Now().Sub(pl.began))
	}
}

// finishPrefill subtracts the pending prefill of a request. It returns false if the request had none.
func (p *Placer) finishPrefill(pl Placement) bool {
	tokens := pl.pendingPrefill.Swap(0)
	pl.state.pendingPrefill.Add(-tokens)
	return tokens > 0
}

// End counts the end of a request. ok is false when the backend server caused
// it to fail.
func (p *Placer) End(pl Placement, ok bool) {
	pl.state.inFlight.Add(-1)
	p.finishPrefill(pl)
	now := p.Timers.Now()
	if !ok {
		pl.state.fail(now, p.Settings.FailureHalfLife)
	} else if pl.residence != nil {
		took := now.Sub(pl.began)
		pl.residence.requests[pl.lane].observe(took)
		if pl.plain {
			pl.state.speed.observe(pl.residence.pace.observe(took), now)
		}
	}
}

// Load returns the load that this entry VM has placed on a backend server.
func (p *Placer) Load(backend string) dhbackend.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, ok := p.states[backend]; ok {
		return state.load()
	}
	return dhbackend.Load{}
}

// decision is the state of one call of Place.
type decision struct {
	p            *Placer
	r            Request
	pool         *pool
	group        *group
	now          time.Time
	random       random
	ramp         float64
	answerTokens int // expected length of the answer
	best         Placement
	// bestScore is the perturbed score of the best candidate.
	bestScore time.Duration
	// chosenScore is the score of the best candidate and lowestScore the lowest of all scores.
	chosenScore, lowestScore time.Duration
	// owner is the owner of the longest known prefix. uncertainty is the effect of unknown
	// load on a score in nanoseconds; gumbel is the seed of the random terms of scores.
	owner       string
	known       int
	uncertainty float64
	gumbel      random
	// uncached is the number of prompt tokens that are not in the prefix cache of
	// the best candidate.
	uncached int
	// pendingPrefill is the number of prompt tokens of other requests, weighted
	// by pace, that the best candidate has yet to prefill.
	pendingPrefill int
	refusedCold    bool
	// rendezvous is set while the rendezvous candidate of the shared prefix is scored.
	rendezvous bool
	// private is set while the owner of a prefix that only this request's session has is scored.
	// Other entry VMs do not react to that prefix, so that the choice of its owner needs no
	// random term.
	private  bool
	zone     zoneChoice
	recorder *recorder // nil unless the decision is explained
}

func (c *decision) choose() {
	n := c.p.Settings.Sample
	c.decideZone()
	others := 0
	for i := range c.group.zones {
		z := &c.group.zones[i]
		switch {
		case !c.zoneAllowed(i):
		case c.pool.zones[i].local:
			if !c.zone.leave {
				c.sample(z, n)
			}
		case c.samplesZone(i) || !c.zone.open:
			others += len(z.members)
		}
	}
	c.openZones()
	for i := range c.group.zones {
		if z := &c.group.zones[i]; !c.pool.zones[i].local && len(z.members) > 0 && c.zoneAllowed(i) && c.samplesZone(i) {
			// Each zone gets a part of the sample in proportion to its
			// candidates, rounded up or down at random.
			share := float64(n*len(z.members))/float64(others) + c.random.float()
			c.sample(z, int(share))
		}
	}
	c.scoreRendezvous()
	c.scoreOwner()
	if c.best.Backend == nil {
		c.scoreAll()
	}
}

// zoneAllowed reports whether this request may use a zone.
func (c *decision) zoneAllowed(zone int) bool {
	w, ok := c.r.ZoneWeights[c.pool.zones[zone].name]
	return !ok || w >= 1 || (w > 0 && c.ramp < w)
}

// sample scores n distinct candidates of a zone, or all if there are fewer.
func (c *decision) sample(z *zoneCandidates, n int) {
	if len(z.members) <= n {
		for _, cand := range z.members {
			c.score(cand)
		}
		return
	}
	// A random start and a stride that is coprime to the length visit
	// distinct candidates without recording which were visited.
	at := c.random.below(len(z.members))
	stride := z.strides[c.random.below(len(z.strides))]
	for range n {
		c.score(z.members[at])
		at = (at + stride) % len(z.members)
	}
}

// scoreOwner scores the owner of the longest known prefix.
func (c *decision) scoreOwner() {
	cand := c.pool.byID[c.owner]
	if cand != nil && c.zoneAllowed(cand.zone) && cand.backend.Has(c.r.Version) {
		c.private = c.known > c.r.Shared
		c.score(cand)
		c.private = false
	}
}

func (c *decision) scoreAll() {
	for i := range c.group.zones {
		if c.zoneAllowed(i) {
			for _, cand := range c.group.zones[i].members {
				c.score(cand)
			}
		}
	}
}

// score computes the score of a candidate and keeps the candidate if it is the
// best so far.
func (c *decision) score(cand *candidate) {
	s := &c.p.Settings
	b := cand.backend
	if slices.Contains(c.r.Exclude, b.ID) {
		c.recorder.refuse(b, RefusedExcluded)
		return
	}
	if c.r.Permit != nil && !c.r.Permit(b) {
		c.zone.restricted = true
		c.recorder.refuse(b, RefusedPermit)
		return
	}
	cold := b.State == dhbackend.Cold
	if cold && (c.r.Credit == nil || !c.r.Credit(b)) {
		c.refusedCold = true
		c.recorder.refuse(b, RefusedCold)
		return
	}
	load := cand.othersLoad + float64(cand.state.inFlight.Load())
	slots := float64(max(b.Slots, 1))
	matched := cand.state.match(c.r.Prefix)
	if c.rendezvous {
		matched = max(matched, c.r.Shared)
	}
	cached := c.r.tokens(matched)
	uncached := max(c.r.PromptTokens-cached, 0)
	pendingTokens := cand.othersPrefill + float64(cand.state.pendingPrefill.Load())
	terms := c.cost(load, pendingTokens, slots, uncached)
	score := terms.total()
	score += scale(s.PerFailure, cand.state.failures(c.now, s.FailureHalfLife))
	if cold {
		score = scale(score, s.ColdFactor) + s.ColdBase
	}
	if !c.pool.zones[cand.zone].local {
		score += c.otherZoneCost()
	}
	if !c.inLane(cand) {
		score += s.OffLane
	}
	if c.recorder != nil {
		c.explain(cand, CandidateExplanation{Backend: b, Score: score, Wait: terms.wait, PrefillWait: terms.prefillWait, Prefill: terms.prefill, Decode: terms.decode, Load: load, CachedTokens: cached, Cold: cold})
	}
	if c.best.Backend == nil || score < c.lowestScore {
		c.lowestScore = score
	}
	perturbed := c.perturbed(cand, score)
	better := perturbed < c.bestScore
	if c.private {
		better = score < c.chosenScore
	}
	if c.best.Backend == nil || better {
		c.bestScore, c.chosenScore = perturbed, score
		c.best = Placement{Backend: b, Cold: cold, CachedTokens: cached, Load: load, Wait: terms.wait, OthersMean: cand.othersMean, state: cand.state, lane: cand.lane}
		c.uncached, c.pendingPrefill = uncached, int(pendingTokens)
	}
}

// costTerms are the parts of the time that a request is expected to cost.
type costTerms struct{ wait, prefillWait, prefill, decode time.Duration }

func (t costTerms) total() time.Duration { return t.wait + t.prefillWait + t.prefill + t.decode }

// cost returns the time that the request is expected to cost at a backend server with a load.
func (c *decision) cost(load, pendingTokens, slots float64, uncached int) costTerms {
	s := &c.p.Settings
	running := min(load, slots)
	return costTerms{
		wait:        scale(s.PerWaiting, excess(load+1-slots, s.LoadUncertainty)),
		prefillWait: scale(s.PerPendingPrefillToken, pendingTokens),
		prefill:     scale(time.Duration(uncached)*s.PerPrefillToken, 1+s.OthersDelayWeight*running),
		decode:      scale(time.Duration(c.answerTokens)*s.PerSequence, (1+s.OthersDelayWeight)*running),
	}
}

// inLane reports whether a candidate's lane suits the request's model.
func (c *decision) inLane(cand *candidate) bool {
	return c.r.Lane == AnyLane || cand.lane == AnyLane || c.r.Lane == cand.lane
}

// excess returns a smooth approximation (softplus) of max(x, 0) for an x that
// is uncertain by spread.
func excess(x, spread float64) float64 {
	if spread <= 0 || x > 10*spread {
		return max(x, 0)
	}
	return spread * math.Log1p(math.Exp(x/spread))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
