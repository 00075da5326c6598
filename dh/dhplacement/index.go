package dhplacement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtable"
)

// splitmixIncrement is the increment of splitmix64: 2^64 divided by the golden ratio.
const splitmixIncrement = 0x9e3779b97f4a7c15

// random is the state of a splitmix64 generator. Each decision has its own, so
// that decisions share no lock and a run is reproducible from its seed.
type random uint64

func (r *random) next() uint64 {
	*r += splitmixIncrement
	x := uint64(*r)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *random) float() float64 { return float64(r.next()>>11) / (1 << 53) }

func (r *random) below(n int) int { return int(r.next()>>33) % n }

// index holds the candidates of one view by pool and version. It is immutable.
type index struct {
	view  *dhbackend.View
	pools map[string]*pool
	// previous is the index of the preceding view, kept for requests that still
	// use that view, so that its index is not rebuilt.
	previous *index
}

// pool holds a pool's candidates and their groups by version.
type pool struct {
	candidates []candidate
	byID       map[string]*candidate
	zones      []zone
	groups     map[dhtable.Version]*group
	// levels holds the loads over all candidates of a lane.
	levels    [LargeLane + 1]levels
	residence *poolResidence
}

type zone struct {
	name  string
	local bool
}

// group holds the candidates that have loaded a version, indexed by the zones of the pool.
type group struct {
	zones  []zoneCandidates
	byLane groupZones
}

type zoneCandidates struct {
	members []*candidate
	// strides are coprime to len(members).
	strides []int
}

// candidate is a backend server with the estimated load that the other entry
// VMs have placed on it.
type candidate struct {
	backend    *dhbackend.Backend
	state      *backendState
	zone       int
	lane       Lane
	othersLoad float64
	// othersMean is the long-term mean of the load that the other entry VMs have placed.
	othersMean float64
	// othersPrefill is the number of prompt tokens of other entry VMs' requests,
	// weighted by pace, that the backend server has yet to prefill.
	othersPrefill float64
	// logCapacity is the logarithm of the number of slots and of the speed, relative to the mean of the pool.
	logCapacity float64
	report      serverReport
}

// Update builds the index of a view. The control goroutine calls it for each
// new view before publishing the view; Place calls it for a view without an index.
func (p *Placer) Update(view *dhbackend.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.index.Load(); old != nil && old.view == view {
		return
	}
	now := p.Timers.Now()
	ix := &index{view: view, pools: make(map[string]*pool)}
	if p.states == nil {
		p.states = make(map[string]*backendState)
		p.residences = make(map[string]*poolResidence)
	}
	for _, state := range p.states {
		state.present = false
	}
	for _, name := range view.Pools() {
		if p.residences[name] == nil {
			p.residences[name] = &poolResidence{}
		}
		ix.pools[name] = p.newPool(view.Pool(name), p.residences[name], now)
		p.addZoneLoads(name, ix.pools[name], now)
	}
	for id, state := range p.states {
		// Keep the state while requests are running, so that their end is counted.
		if !state.present && state.inFlight.Load() == 0 {
			delete(p.states, id)
			p.owners.forget(id)
		}
	}
	if old := p.index.Load(); old != nil {
		ix.previous = &index{view: old.view, pools: old.pools}
	}
	p.index.Store(ix)
}

func (p *Placer) indexOf(view *dhbackend.View) *index {
	for {
		ix := p.index.Load()
		switch {
		case ix != nil && ix.view == view:
			return ix
		case ix != nil && ix.previous != nil && ix.previous.view == view:
			return ix.previous
		}
		p.Update(view)
	}
}

func (p *Placer) newPool(backends []*dhbackend.Backend, residence *poolResidence, now time.Time) *pool {
	po := &pool{
		candidates: make([]candidate, len(backends)), byID: make(map[string]*candidate, len(backends)),
		groups: make(map[dhtable.Version]*group), residence: residence,
	}
	for i, b := range backends {
		c := &po.candidates[i]
		*c = candidate{backend: b, state: p.refreshState(b, now), zone: po.zone(b.Zone, p.Zone)}
		c.state.others.add(b, c.state.loadAt(b.Seen.Add(-b.ReportAge)))
		po.byID[b.ID] = c
	}
	po.assignLanes(p.Settings.LaneShare)
	if p.Settings.Randomness > 0 {
		po.estimateLoads(residence, &p.Settings, now)
	} else {
		po.estimateByHalfLife(p.Settings.ReportHalfLife, now)
	}
	for i := range po.candidates {
		c := &po.candidates[i]
		for _, v := range c.backend.Versions {
			g := po.groups[v]
			if g == nil {
				g = &group{zones: make([]zoneCandidates, len(po.zones))}
				po.groups[v] = g
			}
			z := &g.zones[c.zone]
			z.members = append(z.members, c)
		}
	}
	for _, g := range po.groups {
		for i := range g.zones {
			g.zones[i].strides = coprimes(len(g.zones[i].members))
		}
	}
	return po
}

// assignLanes assigns a share of the backend servers of each zone and release
// to the small lane and the others to the large lane. It orders them by the hash
// of their id, so that all entry VMs assign the same lanes. A backend server
// that is alone in its zone and release has no lane.
func (po *pool) assignLanes(share float64) {
	if share <= 0 {
		return
	}
	type laneKey struct {
		zone    int
		release string
	}
	members := make(map[laneKey][]*candidate)
	for i := range po.candidates {
		c := &po.candidates[i]
		at := laneKey{c.zone, c.backend.Release}
		members[at] = append(members[at], c)
	}
	for _, list := range members {
		if len(list) < 2 {
			continue
		}
		slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.state.hash, b.state.hash) })
		small := max(int(math.Round(share*float64(len(list)))), 1)
		for i, c := range list {
			c.lane = LargeLane
			if i < small {
				c.lane = SmallLane
			}
		}
	}
}

// zone returns the index of a zone and adds the zone if it is new.
func (po *pool) zone(name, own string) int {
	for i := range po.zones {
		if po.zones[i].name == name {
			return i
		}
	}
	po.zones = append(po.zones, zone{name: name, local: name == own})
	return len(po.zones) - 1
}

// maxStrides bounds the number of strides kept for the candidates of a zone.
const maxStrides = 16

// coprimes returns the smallest numbers that are coprime to n, at most maxStrides.
func coprimes(n int) []int {
	list := make([]int, 0, maxStrides)
	for i := 1; i <= max(n-1, 1) && len(list) < maxStrides; i++ {
		if gcd(i, n) == 1 {
			list = append(list, i)
		}
	}
	return list
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// historyPeriod and historyLength cover the maximum age of a load report in
// use, which is the lease plus the report lag and the gossip delay.
const (
	historyPeriod = 100 * time.Millisecond
	historyLength = 64
)

// backendState holds what this entry VM itself has observed of a backend server.
type backendState struct {
	id       string
	hash     uint64 // of the id
	inFlight atomic.Int64
	// pendingPrefill is the number of prompt tokens of this entry VM's requests,
	// weighted by pace, that the backend server has yet to prefill.
	pendingPrefill atomic.Int64
	cachedBlocks   blockSet
	speed          speed

	// Guarded by Placer.mu.
	present     bool
	incarnation uint64
	history     [historyLength]loadSample
	newest      int
	others      othersState

	failMu       sync.Mutex
	failedAt     time.Time
	failureCount float64
	hasFailures  atomic.Bool
}

type loadSample struct {
	at   time.Time
	load dhbackend.Load
}

func (p *Placer) refreshState(b *dhbackend.Backend, now time.Time) *backendState {
	r, ok := p.states[b.ID]
	if !ok {
		r = &backendState{id: b.ID, hash: xxhash.Sum64String(b.ID), incarnation: b.Incarnation}
		r.cachedBlocks.limit = p.Settings.MaxBlocks
		p.states[b.ID] = r
	}
	if r.incarnation != b.Incarnation {
		r.incarnation = b.Incarnation
		r.cachedBlocks.clear()
		r.others = othersState{}
	}
	r.present = true
	if now.Sub(r.history[r.newest].at) >= historyPeriod {
		r.newest = (r.newest + 1) % historyLength
		r.history[r.newest] = loadSample{now, r.load()}
	}
	return r
}

func (r *backendState) load() dhbackend.Load {
	return dhbackend.Load{Running: int(r.inFlight.Load()), PendingPrefill: int(r.pendingPrefill.Load())}
}

// loadAt returns the load that this entry VM had placed at a time, from the
// newest sample that is not later.
func (r *backendState) loadAt(at time.Time) dhbackend.Load {
	for i := range historyLength {
		s := r.history[(r.newest-i+historyLength)%historyLength]
		if s.at.IsZero() {
			break
		}
		if !s.at.After(at) {
			return s.load
		}
	}
	return dhbackend.Load{}
}

func (r *backendState) fail(now time.Time, halfLife time.Duration) {
	r.failMu.Lock()
	defer r.failMu.Unlock()
	r.failureCount = decay(r.failureCount, now.Sub(r.failedAt), halfLife) + 1
	r.failedAt = now
	r.hasFailures.Store(true)
}

// failures returns the number of failures with exponential decay.
func (r *backendState) failures(now time.Time, halfLife time.Duration) float64 {
	if !r.hasFailures.Load() {
		return 0
	}
	r.failMu.Lock()
	defer r.failMu.Unlock()
	return decay(r.failureCount, now.Sub(r.failedAt), halfLife)
}

func decay(value float64, age, halfLife time.Duration) float64 {
	if halfLife <= 0 || value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
