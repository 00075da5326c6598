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

// golden is 2^64 divided by the golden ratio, the increment of splitmix64.
const golden = 0x9e3779b97f4a7c15

// random is the state of a splitmix64 generator. Each decision has its own, so
// that decisions share no lock and a seed repeats a run.
type random uint64

func (r *random) next() uint64 {
	*r += golden
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
	// previous serves decisions that still use the view before, so that they
	// do not build its index again.
	previous *index
}

// pool holds a pool's candidates and their groups by version.
type pool struct {
	candidates []candidate
	byID       map[string]*candidate
	zones      []zone
	groups     map[dhtable.Version]*group
}

type zone struct {
	name  string
	local bool
}

// group holds the candidates with a version, in the order of the pool's zones.
type group struct {
	zones []zoneRows
}

type zoneRows struct {
	rows []*candidate
	// strides are coprime to len(rows).
	strides []int
}

// candidate is a backend server with the estimated load that other entry VMs
// have placed on it.
type candidate struct {
	backend *dhbackend.Backend
	row     *row
	zone    int
	lane    Lane
	others  float64
	// othersReading is what the requests of other entry VMs have yet to read.
	othersReading float64
}

// Update prepares decisions on a view. The control goroutine calls it for each
// new view before it publishes it; Place does so for a view it does not know.
func (p *Placer) Update(view *dhbackend.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.index.Load(); old != nil && old.view == view {
		return
	}
	now := p.Timers.Now()
	ix := &index{view: view, pools: make(map[string]*pool)}
	if p.rows == nil {
		p.rows = make(map[string]*row)
	}
	for _, row := range p.rows {
		row.present = false
	}
	for _, name := range view.Pools() {
		ix.pools[name] = p.newPool(view.Pool(name), now)
	}
	for id, row := range p.rows {
		// A row stays while requests run there, so that their end is counted.
		if !row.present && row.inFlight.Load() == 0 {
			delete(p.rows, id)
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

func (p *Placer) newPool(backends []*dhbackend.Backend, now time.Time) *pool {
	po := &pool{
		candidates: make([]candidate, len(backends)), byID: make(map[string]*candidate, len(backends)),
		groups: make(map[dhtable.Version]*group),
	}
	mean, meanReading := 0.0, 0.0
	for i, b := range backends {
		c := &po.candidates[i]
		*c = candidate{backend: b, row: p.row(b, now), zone: po.zone(b.Zone, p.Zone)}
		own := c.row.loadAt(b.Seen.Add(-b.ReportAge))
		c.others = max(float64(b.Running+b.Waiting-own.Running), 0)
		c.othersReading = max(float64(b.Reading-own.Reading), 0)
		mean += c.others / float64(len(backends))
		meanReading += c.othersReading / float64(len(backends))
		po.byID[b.ID] = c
	}
	for i := range po.candidates {
		c := &po.candidates[i]
		age := now.Sub(c.backend.Seen) + c.backend.ReportAge
		weight := math.Exp2(-float64(age) / float64(max(p.Settings.ReportHalfLife, 1)))
		c.others = weight*c.others + (1-weight)*mean
		c.othersReading = weight*c.othersReading + (1-weight)*meanReading
		for _, v := range c.backend.Versions {
			g := po.groups[v]
			if g == nil {
				g = &group{zones: make([]zoneRows, len(po.zones))}
				po.groups[v] = g
			}
			z := &g.zones[c.zone]
			z.rows = append(z.rows, c)
		}
	}
	po.assignLanes(p.Settings.LaneShare)
	for _, g := range po.groups {
		for i := range g.zones {
			g.zones[i].strides = coprimes(len(g.zones[i].rows))
		}
	}
	return po
}

// assignLanes gives the small lane its share of the backend servers of each
// zone and release, in an order that all entry VMs agree on. A single backend
// server has no lane.
func (po *pool) assignLanes(share float64) {
	if share <= 0 {
		return
	}
	type place struct {
		zone    int
		release string
	}
	members := make(map[place][]*candidate)
	for i := range po.candidates {
		c := &po.candidates[i]
		at := place{c.zone, c.backend.Release}
		members[at] = append(members[at], c)
	}
	for _, list := range members {
		if len(list) < 2 {
			continue
		}
		slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.row.hash, b.row.hash) })
		small := max(int(math.Round(share*float64(len(list)))), 1)
		for i, c := range list {
			c.lane = LargeLane
			if i < small {
				c.lane = SmallLane
			}
		}
	}
}

// zone returns the index of a zone, which it adds when it is new.
func (po *pool) zone(name, own string) int {
	for i := range po.zones {
		if po.zones[i].name == name {
			return i
		}
	}
	po.zones = append(po.zones, zone{name: name, local: name == own})
	return len(po.zones) - 1
}

// maxStrides bounds the strides of a zone's candidates.
const maxStrides = 16

// coprimes returns the smallest numbers coprime to n.
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

// historyPeriod and historyLength cover the age of the oldest load report in
// use: lease plus report lag and gossip.
const (
	historyPeriod = 100 * time.Millisecond
	historyLength = 64
)

// row is what this entry VM knows of a backend server by itself.
type row struct {
	id       string
	hash     uint64 // of the id
	inFlight atomic.Int64
	// reading is the number of weighed prompt tokens that own requests have yet to read.
	reading atomic.Int64
	known   blockSet

	// Guarded by Placer.mu.
	present     bool
	incarnation uint64
	history     [historyLength]sampleAt
	newest      int

	failMu   sync.Mutex
	failedAt time.Time
	failed   float64
	anyFail  atomic.Bool
}

type sampleAt struct {
	at   time.Time
	load dhbackend.Load
}

func (p *Placer) row(b *dhbackend.Backend, now time.Time) *row {
	r, ok := p.rows[b.ID]
	if !ok {
		r = &row{id: b.ID, hash: xxhash.Sum64String(b.ID), incarnation: b.Incarnation}
		r.known.limit = p.Settings.MaxBlocks
		p.rows[b.ID] = r
	}
	if r.incarnation != b.Incarnation {
		r.incarnation = b.Incarnation
		r.known.clear()
	}
	r.present = true
	if now.Sub(r.history[r.newest].at) >= historyPeriod {
		r.newest = (r.newest + 1) % historyLength
		r.history[r.newest] = sampleAt{now, r.load()}
	}
	return r
}

func (r *row) load() dhbackend.Load {
	return dhbackend.Load{Running: int(r.inFlight.Load()), Reading: int(r.reading.Load())}
}

// loadAt returns the own load at a time, from the newest sample before it.
func (r *row) loadAt(at time.Time) dhbackend.Load {
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

func (r *row) fail(now time.Time, halfLife time.Duration) {
	r.failMu.Lock()
	defer r.failMu.Unlock()
	r.failed = decay(r.failed, now.Sub(r.failedAt), halfLife) + 1
	r.failedAt = now
	r.anyFail.Store(true)
}

// failures returns the number of failures, each halved per half-life.
func (r *row) failures(now time.Time, halfLife time.Duration) float64 {
	if !r.anyFail.Load() {
		return 0
	}
	r.failMu.Lock()
	defer r.failMu.Unlock()
	return decay(r.failed, now.Sub(r.failedAt), halfLife)
}

func decay(value float64, age, halfLife time.Duration) float64 {
	if halfLife <= 0 || value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
