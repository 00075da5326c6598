package dhgrant

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhpb"
)

const (
	// clockAllowance is the largest relative error of the rate of a VM's clock, and
	// publishMargin the time until a new table has replaced the previous one.
	clockAllowance = 0.02
	publishMargin  = 100 * time.Millisecond
	// maxParts bounds the number of parts of all limits together.
	maxParts = 40_000
	// rotationPeriod is how long a VM keeps a part while all backend servers of
	// the pool are limited and another VM with requests has no part.
	rotationPeriod = 5 * time.Second
)

// VM is an entry VM that may hold parts.
type VM struct {
	Name string
	// Rates are its requests per second by pool.
	Rates map[string]float64
	// Held identifies the grant table that it holds.
	Held *dhpb.GrantTableId
}

// Backend is an announced backend server.
type Backend struct {
	ID, Pool    string
	Incarnation uint64
}

// Allocator divides limits among entry VMs. Each limit of n requests per second
// has n + 1 parts, rounded down: a VM may be late by one request for each of its
// parts, so that more parts would not keep the sum. An Allocator is used for one
// term of a grantor and only by one goroutine.
type Allocator struct {
	// Term is how long a copy of a table may be used after it was handed out.
	Term time.Duration
	// Token is the fencing token of the grantor.
	Token uint64
	// LastNumber is the number of the last table that an earlier Allocator has made with
	// the token. The tables go on from it, since VMs tell tables apart by their numbers.
	LastNumber uint64

	divisions map[string]*division
	table     *dhpb.GrantTable
	// lastHeld is when each VM was last granted a part.
	lastHeld map[string]time.Time
}

// division is the state of one limit.
type division struct {
	backend Backend
	limit   Limit
	parts   int
	// holders holds since when each VM has a part, vacated the VMs whose part was
	// taken.
	holders map[string]time.Time
	vacated map[string]vacancy
}

// vacancy is a part that was taken from a VM. The VM may use it until it holds the
// table with a number, and at most until a time.
type vacancy struct {
	number uint64
	until  time.Time
}

func (d *division) unit() float64 { return math.Max(d.limit.PerSecond, minRate) / float64(d.parts) }

// Allocate returns the table that divides the limits now. The same table is
// returned as long as its content does not change.
func (a *Allocator) Allocate(now time.Time, limits *Limits, backends []Backend, vms []VM) *dhpb.GrantTable {
	if a.divisions == nil {
		a.divisions, a.lastHeld = make(map[string]*division), make(map[string]time.Time)
	}
	pools := poolsOf(backends, limits)
	a.update(now, limits, pools, vms)
	for _, p := range pools {
		p.assign(a, now, vms)
	}
	return a.publish(now, limits)
}

// pool is the part of an allocation that concerns one pool.
type pool struct {
	name    string
	limited []Backend
	// all is the number of backend servers, with and without a limit.
	all int
	// assigned is the rate that each VM holds.
	assigned map[string]float64
}

func poolsOf(backends []Backend, limits *Limits) []*pool {
	byName := make(map[string]*pool)
	for _, b := range backends {
		p := byName[b.Pool]
		if p == nil {
			p = &pool{name: b.Pool, assigned: make(map[string]float64)}
			byName[b.Pool] = p
		}
		p.all++
		if limits.Get(b.ID).Stated {
			p.limited = append(p.limited, b)
		}
	}
	list := slices.Collect(maps.Values(byName))
	for _, p := range list {
		slices.SortFunc(p.limited, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(list, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	return list
}

// update creates and removes divisions, and takes parts from VMs that are gone and
// those that exceed the number of parts.
func (a *Allocator) update(now time.Time, limits *Limits, pools []*pool, vms []VM) {
	alive := make(map[string]VM, len(vms))
	for _, vm := range vms {
		alive[vm.Name] = vm
	}
	maps.DeleteFunc(a.lastHeld, func(vm string, _ time.Time) bool { return alive[vm].Name == "" })
	limited := 0
	for _, p := range pools {
		limited += len(p.limited)
	}
	present := make(map[string]bool, limited)
	for _, p := range pools {
		for _, b := range p.limited {
			present[b.ID] = true
			d := a.divisions[b.ID]
			if d == nil || d.backend.Incarnation != b.Incarnation {
				d = &division{holders: make(map[string]time.Time), vacated: make(map[string]vacancy)}
				a.divisions[b.ID] = d
			}
			d.backend, d.limit = b, limits.Get(b.ID)
			d.parts = max(int(min(d.limit.PerSecond+1, float64(len(vms)), float64(maxParts/limited))), 1)
			a.vacate(d, now, alive)
		}
	}
	maps.DeleteFunc(a.divisions, func(id string, _ *division) bool { return !present[id] })
}

func (a *Allocator) vacate(d *division, now time.Time, alive map[string]VM) {
	maps.DeleteFunc(d.vacated, func(vm string, v vacancy) bool {
		held := alive[vm].Held
		return !now.Before(v.until) || (held.GetToken() == a.Token && held.GetNumber() >= v.number)
	})
	for vm := range d.holders {
		if alive[vm].Name == "" {
			a.take(d, vm, now)
		}
	}
	for len(d.holders) > d.parts {
		a.take(d, d.newest(), now)
	}
}

// take takes a part from a VM.
func (a *Allocator) take(d *division, vm string, now time.Time) {
	delete(d.holders, vm)
	d.vacated[vm] = vacancy{
		number: a.nextNumber(),
		until:  now.Add(time.Duration(float64(a.Term)*(1+2*clockAllowance)) + publishMargin),
	}
}

// nextNumber returns the number of the next table.
func (a *Allocator) nextNumber() uint64 {
	if a.table == nil {
		return a.LastNumber + 1
	}
	return a.table.GetId().GetNumber() + 1
}

// newest returns the VM that has held its part for the shortest time, oldest the
// one that has held it for the longest.
func (d *division) newest() string { return d.pick(func(a, b time.Time) bool { return a.After(b) }) }
func (d *division) oldest() string { return d.pick(time.Time.Before) }

func (d *division) pick(better func(a, b time.Time) bool) string {
	best := ""
	for vm, since := range d.holders {
		if best == "" || better(since, d.holders[best]) || (since.Equal(d.holders[best]) && vm < best) {
			best = vm
		}
	}
	return best
}

// assign grants the free parts of a pool to the VMs that hold the least for their
// requests.
func (p *pool) assign(a *Allocator, now time.Time, vms []VM) {
	for _, b := range p.limited {
		d := a.divisions[b.ID]
		for vm := range d.holders {
			p.assigned[vm] += d.unit()
		}
	}
	for _, b := range p.limited {
		d := a.divisions[b.ID]
		for len(d.holders)+len(d.vacated) < d.parts {
			vm, ok := p.neediest(a, d, vms)
			if !ok {
				break
			}
			d.holders[vm.Name], a.lastHeld[vm.Name] = now, now
			p.assigned[vm.Name] += d.unit()
		}
	}
	p.rotate(a, now, vms)
}

// neediest returns the VM without a part of d that should get the next one: of the
// VMs without any part of the pool, the one that has waited for the longest, and
// otherwise the one with the smallest rate for its requests. VMs without requests
// to the pool rank last.
func (p *pool) neediest(a *Allocator, d *division, vms []VM) (best VM, ok bool) {
	type rank struct {
		idle, served bool
		lastHeld     time.Time
		score        float64
		hash         uint64
	}
	less := func(x, y rank) bool {
		switch {
		case x.idle != y.idle:
			return y.idle
		case x.served != y.served:
			return y.served
		case !x.served && !x.lastHeld.Equal(y.lastHeld):
			return x.lastHeld.Before(y.lastHeld)
		case x.score != y.score:
			return x.score < y.score
		}
		return x.hash < y.hash
	}
	var bestRank rank
	for _, vm := range vms {
		_, holds := d.holders[vm.Name]
		if _, vacated := d.vacated[vm.Name]; holds || vacated {
			continue
		}
		r := rank{
			idle: vm.Rates[p.name] == 0, served: p.assigned[vm.Name] > 0, lastHeld: a.lastHeld[vm.Name],
			hash: xxhash.Sum64String(vm.Name + "\x00" + d.backend.ID),
		}
		r.score = (p.assigned[vm.Name] + d.unit()) / max(vm.Rates[p.name], 1e-6)
		if !ok || less(r, bestRank) {
			best, bestRank, ok = vm, r, true
		}
	}
	return best, ok
}

// rotate takes one part from the VM that has held it for the longest, if a VM with
// requests has none and no backend server of the pool is free of a limit.
func (p *pool) rotate(a *Allocator, now time.Time, vms []VM) {
	starved := slices.ContainsFunc(vms, func(vm VM) bool { return vm.Rates[p.name] > 0 && p.assigned[vm.Name] == 0 })
	if len(p.limited) < p.all || !starved {
		return
	}
	for _, b := range p.limited {
		d := a.divisions[b.ID]
		if vm := d.oldest(); vm != "" && now.Sub(d.holders[vm]) >= rotationPeriod {
			a.take(d, vm, now)
			return
		}
	}
}

// publish builds the table and gives it the next number if its content changed.
func (a *Allocator) publish(now time.Time, limits *Limits) *dhpb.GrantTable {
	t := &dhpb.GrantTable{Id: &dhpb.GrantTableId{Token: a.Token, Number: a.nextNumber()}}
	for id, row := range limits.byBackend {
		g := &dhpb.RateGrant{Limit: row.record(id, now)}
		if d := a.divisions[id]; d != nil {
			g.Parts, g.Holders = uint32(d.parts), slices.Sorted(maps.Keys(d.holders))
		}
		t.Grants = append(t.Grants, g)
	}
	slices.SortFunc(t.Grants, func(a, b *dhpb.RateGrant) int { return cmp.Compare(a.GetLimit().GetId(), b.GetLimit().GetId()) })
	if a.table != nil && slices.EqualFunc(a.table.GetGrants(), t.GetGrants(), sameGrant) {
		return a.table
	}
	a.table = t
	return t
}

// sameGrant reports whether two grants differ at most in the ages of their limits.
func sameGrant(a, b *dhpb.RateGrant) bool {
	la, lb := a.GetLimit(), b.GetLimit()
	return la.GetId() == lb.GetId() && la.GetIncarnation() == lb.GetIncarnation() && proto.Equal(&dhpb.BackendLimit{PerSecond: la.PerSecond}, &dhpb.BackendLimit{PerSecond: lb.PerSecond}) &&
		a.GetParts() == b.GetParts() && slices.Equal(a.GetHolders(), b.GetHolders())
}
