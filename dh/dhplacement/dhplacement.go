// Package dhplacement chooses the backend server for a request.
//
// A Placer estimates the load of each backend server from its last load report
// and from the requests that this entry VM itself has running there. The score
// of a candidate is the time that the request is expected to cost: waiting,
// decoding beside others, and prefill of the prompt tokens that are not in the
// prefix cache, plus a penalty for another availability zone. Only a random
// sample of the candidates and the last known holder of the prompt's prefix
// are scored, so that entry VMs that decide independently on the same lagging
// reports do not all choose the same backend server.
//
// The control goroutine calls Update with each new view; traffic calls Place,
// Begin and End concurrently. Place takes no lock unless its view is new.
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

// Settings weigh the parts of a score. All times are costs added to a score.
type Settings struct {
	// Sample is how many candidates are scored in the own zone and as many in
	// the other zones.
	Sample int
	// PerSequence is the time that a running request adds to each token of the
	// others, PerPrefillToken that of a prompt token outside the prefix cache.
	PerSequence, PerPrefillToken time.Duration
	// PerReadingToken is the time for which a request waits for each prompt token
	// that others have yet to read, by the slowest model.
	PerReadingToken time.Duration
	// PerWaiting is the time for which one more request waits for a slot.
	PerWaiting time.Duration
	// Spread is the uncertainty of an estimated load in requests; waiting is
	// expected to begin so far before the slots are full.
	Spread float64
	// Others is the weight of the delay that the request causes to those that run beside it.
	Others float64
	// OtherZone is the penalty of a backend server in another zone.
	OtherZone time.Duration
	// ReportHalfLife is the age at which a load report counts half; the rest
	// is the mean of the pool.
	ReportHalfLife time.Duration
	// ColdFactor multiplies the score of a backend server in a cold start and
	// ColdBase is added to it.
	ColdFactor float64
	ColdBase   time.Duration
	// PerFailure is the cost of a recent failure; failures count half after FailureHalfLife.
	PerFailure, FailureHalfLife time.Duration
	// MaxBlocks bounds the known prefix cache blocks per backend server.
	MaxBlocks int
	// LaneShare is the part of each zone's backend servers on which small
	// models run by preference; the others run large ones. A batch goes on at
	// the mean pace of its requests, so that a small model beside large ones
	// is about as slow as they are.
	LaneShare float64
	// OffLane is the penalty of a backend server of the other lane.
	OffLane time.Duration
}

// Defaults returns the settings that docs/MEASUREMENTS.md reports on.
func Defaults() Settings {
	return Settings{
		Sample: 5, PerSequence: 500 * time.Microsecond, PerPrefillToken: 60 * time.Microsecond,
		PerWaiting: 500 * time.Millisecond, Spread: 2, Others: 1.5, OtherZone: 100 * time.Millisecond,
		ReportHalfLife: 600 * time.Millisecond, ColdFactor: 3, ColdBase: 200 * time.Millisecond,
		PerFailure: time.Second, FailureHalfLife: 2 * time.Second, MaxBlocks: 1024,
	}
}

// BlockTokens is the number of prompt tokens that a prefix hash stands for
// beyond the hash before it.
const BlockTokens = 64

// DefaultMaxTokens applies to requests without a limit. Answers are expected
// to have expectedPercent of their limit.
const (
	DefaultMaxTokens = 256
	expectedPercent  = 60
)

// Lane groups models that run at about the same pace.
type Lane int

// The lanes.
const (
	AnyLane   Lane = iota // any
	SmallLane             // small
	LargeLane             // large
)

// Request is what a choice depends on.
type Request struct {
	Pool    string
	Version dhtable.Version
	// Prefix holds the hashes of the prompt's prefixes, the shortest first.
	Prefix []uint64
	// PrefixTokens holds the length of each prefix; without it each is
	// BlockTokens longer than the one before.
	PrefixTokens []int
	// Shared is the number of prefixes that other requests have too. The
	// backend server that is the home of the longest of them is scored as if
	// it held it.
	Shared       int
	PromptTokens int
	// Pace is how long the model reads a token against the slowest model of the
	// pool, from 0 to 1; 0 stands for 1.
	Pace float64
	// Lane is the lane of the request's model.
	Lane Lane
	// MaxTokens is the limit of the answer; DefaultMaxTokens when it is 0.
	MaxTokens int
	// ZoneWeights gives the share of requests that may use a zone: 0 for a
	// zone that is out, less than 1 while it ramps up. Other zones have 1.
	ZoneWeights map[string]float64
	// Exclude lists backend servers that have already failed the request.
	Exclude []string
	// Credit reports whether a credit for a backend server in a cold start is
	// available. Without it none is chosen.
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

// Placement is a choice.
type Placement struct {
	Backend *dhbackend.Backend
	// Cold is set when the request needs a credit of the backend server.
	Cold bool
	// CachedTokens is the expected number of prompt tokens in the prefix cache.
	CachedTokens int
	// Load is the estimated number of requests at the backend server, Wait the
	// estimated time in its queue.
	Load float64
	Wait time.Duration
	// Ahead is the number of weighed prompt tokens that the backend server is
	// expected to read before the first token: those of others and the request's own.
	Ahead int

	row *row
	// unread is the number of weighed prompt tokens that the request has to read.
	unread int64
	// reading is unread from Begin to the first token, then 0.
	reading *atomic.Int64
}

// Placer chooses backend servers for the requests of one entry VM. The
// exported fields are set before use.
type Placer struct {
	Timers dhtimer.Service
	// Zone is the entry VM's own availability zone.
	Zone     string
	Settings Settings
	Seed     uint64

	draws  atomic.Uint64
	index  atomic.Pointer[index]
	owners owners

	mu   sync.Mutex // guards rows and the building of an index
	rows map[string]*row
}

// Place chooses a backend server. Errors have the code no-backend when none
// has the version and pool-full when only those in a cold start without a
// credit have it; both state "not run".
func (p *Placer) Place(view *dhbackend.View, r Request) (Placement, error) {
	po := p.indexOf(view).pools[r.Pool]
	if po == nil || po.groups[r.Version] == nil {
		return Placement{}, dhcode.Errorf(dhcode.NoBackend, "no backend server of pool %q has version %q", r.Pool, r.Version)
	}
	c := choice{p: p, r: r, pool: po, group: po.groups[r.Version], now: p.Timers.Now(), random: random(p.Seed + p.draws.Add(1)*golden)}
	c.ramp = c.random.float()
	c.tokens = r.MaxTokens
	if c.tokens <= 0 {
		c.tokens = DefaultMaxTokens
	}
	c.tokens = c.tokens * expectedPercent / 100
	c.choose()
	if c.best.Backend == nil && c.ramp > 0 {
		// A zone that ramps up is better than none.
		c.ramp = 0
		c.choose()
	}
	if c.best.Backend == nil && c.refusedCold {
		return Placement{}, dhcode.Errorf(dhcode.PoolFull, "backend servers of pool %q with version %q are in a cold start without a free credit", r.Pool, r.Version)
	}
	if c.best.Backend == nil {
		return Placement{}, dhcode.Errorf(dhcode.NoBackend, "no usable backend server of pool %q has version %q", r.Pool, r.Version)
	}
	c.best.unread = int64(float64(c.uncached) * cmp.Or(r.Pace, 1))
	c.best.Ahead = c.reading + int(c.best.unread)
	return c.best, nil
}

// Begin counts a request that is sent to the backend server of a placement
// and expects its prefix in that server's cache.
func (p *Placer) Begin(pl *Placement, r Request) {
	pl.row.inFlight.Add(1)
	pl.reading = new(atomic.Int64)
	pl.reading.Store(pl.unread)
	pl.row.reading.Add(pl.unread)
	p.remember(pl.row, r.Prefix)
}

// FirstToken counts that a request has read its prompt. A request of which it is
// not called counts as reading until its end.
func (p *Placer) FirstToken(pl Placement) {
	pl.row.reading.Add(-pl.reading.Swap(0))
}

// End counts the end of a request. ok is false when the backend server failed it.
func (p *Placer) End(pl Placement, ok bool) {
	pl.row.inFlight.Add(-1)
	p.FirstToken(pl)
	if !ok {
		pl.row.fail(p.Timers.Now(), p.Settings.FailureHalfLife)
	}
}

// Load returns what this entry VM has placed on a backend server.
func (p *Placer) Load(backend string) dhbackend.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if row, ok := p.rows[backend]; ok {
		return row.load()
	}
	return dhbackend.Load{}
}

// choice is the state of one decision.
type choice struct {
	p         *Placer
	r         Request
	pool      *pool
	group     *group
	now       time.Time
	random    random
	ramp      float64
	tokens    int // expected length of the answer
	best      Placement
	bestScore time.Duration
	// uncached is the number of prompt tokens that the best candidate has to read.
	uncached int
	// reading is the number of weighed prompt tokens that others have yet to
	// read there.
	reading     int
	refusedCold bool
	// home is set while the home of the shared prefix is scored.
	home bool
}

func (c *choice) choose() {
	n := c.p.Settings.Sample
	others := 0
	for i := range c.group.zones {
		z := &c.group.zones[i]
		switch {
		case !c.open(i):
		case c.pool.zones[i].local:
			c.sample(z, n)
		default:
			others += len(z.rows)
		}
	}
	for i := range c.group.zones {
		if z := &c.group.zones[i]; !c.pool.zones[i].local && len(z.rows) > 0 && c.open(i) {
			// Each zone gets its share of the sample, rounded at random.
			share := float64(n*len(z.rows))/float64(others) + c.random.float()
			c.sample(z, int(share))
		}
	}
	c.scoreOwner()
	c.scoreHome()
	if c.best.Backend == nil {
		c.scoreAll()
	}
}

// open reports whether this request may use a zone.
func (c *choice) open(zone int) bool {
	w, ok := c.r.ZoneWeights[c.pool.zones[zone].name]
	return !ok || w >= 1 || (w > 0 && c.ramp < w)
}

// sample scores n different candidates of a zone.
func (c *choice) sample(z *zoneRows, n int) {
	if len(z.rows) <= n {
		for _, cand := range z.rows {
			c.score(cand)
		}
		return
	}
	// A random start and a stride that is coprime to the length visit
	// different candidates without memory.
	at := c.random.below(len(z.rows))
	stride := z.strides[c.random.below(len(z.strides))]
	for range n {
		c.score(z.rows[at])
		at = (at + stride) % len(z.rows)
	}
}

// scoreOwner scores the last known holder of the longest known prefix.
func (c *choice) scoreOwner() {
	cand := c.pool.byID[c.p.owners.longest(c.r.Prefix)]
	if cand != nil && c.open(cand.zone) && cand.backend.Has(c.r.Version) {
		c.score(cand)
	}
}

func (c *choice) scoreAll() {
	for i := range c.group.zones {
		if c.open(i) {
			for _, cand := range c.group.zones[i].rows {
				c.score(cand)
			}
		}
	}
}

// score compares a candidate with the best one so far.
func (c *choice) score(cand *candidate) {
	s := &c.p.Settings
	b := cand.backend
	if slices.Contains(c.r.Exclude, b.ID) || (c.r.Permit != nil && !c.r.Permit(b)) {
		return
	}
	cold := b.State == dhbackend.Cold
	if cold && (c.r.Credit == nil || !c.r.Credit(b)) {
		c.refusedCold = true
		return
	}
	load := cand.others + float64(cand.row.inFlight.Load())
	slots := float64(max(b.Slots, 1))
	matched := cand.row.match(c.r.Prefix)
	if c.home {
		matched = max(matched, c.r.Shared)
	}
	cached := c.r.tokens(matched)
	wait := scale(s.PerWaiting, excess(load+1-slots, s.Spread))
	running := min(load, slots)
	uncached := max(c.r.PromptTokens-cached, 0)
	prefill := scale(time.Duration(uncached)*s.PerPrefillToken, 1+s.Others*running)
	decode := scale(time.Duration(c.tokens)*s.PerSequence, (1+s.Others)*running)
	unread := cand.othersReading + float64(cand.row.reading.Load())
	reading := scale(s.PerReadingToken, unread)
	score := wait + reading + prefill + decode
	score += scale(s.PerFailure, cand.row.failures(c.now, s.FailureHalfLife))
	if cold {
		score = scale(score, s.ColdFactor) + s.ColdBase
	}
	if !c.pool.zones[cand.zone].local {
		score += s.OtherZone
	}
	if !c.inLane(cand) {
		score += s.OffLane
	}
	if c.best.Backend == nil || score < c.bestScore {
		c.bestScore = score
		c.best = Placement{Backend: b, Cold: cold, CachedTokens: cached, Load: load, Wait: wait, row: cand.row}
		c.uncached, c.reading = uncached, int(unread)
	}
}

// inLane reports whether a candidate runs models of the request's pace.
func (c *choice) inLane(cand *candidate) bool {
	return c.r.Lane == AnyLane || cand.lane == AnyLane || c.r.Lane == cand.lane
}

// excess returns the expected part of x above 0 when x is uncertain by spread.
func excess(x, spread float64) float64 {
	if spread <= 0 || x > 10*spread {
		return max(x, 0)
	}
	return spread * math.Log1p(math.Exp(x/spread))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
