// Package dhpool brings pools to the replicas that the tables ask for, by
// orders to backend servers.
//
// Plan is a pure function of tables and backend servers: a VM that takes over
// after an interruption plans anew from what is loaded and continues. Only the
// holder of a pool's order lease sends orders. Loads go through the weight
// store's rate, the most needed first.
//
// # Usage
//
//	manager := &dhpool.Manager{Timers: timers, Orders: client, Lease: leaseOf, Store: store}
//	manager.Tick(ctx, snapshotTables, view) // each second
package dhpool

import (
	"cmp"
	"maps"
	"slices"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtable"
)

//go:generate ../../bin/stringer -type=Kind -linecomment

// Kind is what an order asks for.
type Kind int

// The kinds of orders.
const (
	Load   Kind = iota // load
	Unload             // unload
)

// Order asks a backend server to load or unload a version.
type Order struct {
	Kind    Kind
	Backend *dhbackend.Backend
	Version dhtable.Version
	// Need is the part of the wanted replicas that is missing, 0 for an unload.
	Need float64
}

// keepFree is the part of a version's slots that stays free after an unload,
// so that the rest can carry its traffic.
const keepFree = 0.3

// Plan returns the orders that a pool needs, loads first, the most needed
// first. MaxVersions bounds the versions on one backend server.
func Plan(t *dhtable.Tables, pool string, backends []*dhbackend.Backend, maxVersions int) []Order {
	p := planner{maxVersions: maxVersions, loaded: make(map[dhtable.Version][]*dhbackend.Backend), count: make(map[string]int)}
	for _, b := range backends {
		if b.State == dhbackend.Leaving {
			continue
		}
		p.backends = append(p.backends, b)
		p.count[b.ID] = len(b.Versions)
		for _, v := range b.Versions {
			p.loaded[v] = append(p.loaded[v], b)
		}
	}
	models := t.Pools[pool].Models
	for _, name := range slices.Sorted(maps.Keys(models)) {
		for _, e := range models[name].Versions {
			p.version(t, e)
		}
	}
	slices.SortStableFunc(p.loads, func(a, b Order) int { return cmp.Compare(b.Need, a.Need) })
	return append(p.loads, p.unloads...)
}

type planner struct {
	maxVersions    int
	backends       []*dhbackend.Backend
	loaded         map[dhtable.Version][]*dhbackend.Backend
	count          map[string]int
	loads, unloads []Order
}

func (p *planner) version(t *dhtable.Tables, e dhtable.VersionEntry) {
	want := e.Replicas
	if e.Stage == dhtable.Withdrawn {
		want = 0
	}
	have := p.loaded[e.Version]
	switch {
	case len(have) < want:
		p.load(t, e.Version, want)
	case len(have) > want && e.Stage != dhtable.Draining:
		p.unload(e.Version, want, e.Stage == dhtable.Withdrawn)
	}
}

// load chooses backend servers for the missing replicas: those with the fewest
// versions, spread over availability zones, outside zones that are out.
func (p *planner) load(t *dhtable.Tables, v dhtable.Version, want int) {
	have := p.loaded[v]
	inZone := make(map[string]int)
	for _, b := range have {
		inZone[b.Zone]++
	}
	for missing := want - len(have); missing > 0; missing-- {
		var best *dhbackend.Backend
		for _, b := range p.backends {
			if b.Has(v) || p.planned(v, b) || p.count[b.ID] >= p.maxVersions || t.ZoneOut(b.Zone) {
				continue
			}
			if best == nil || p.better(b, best, inZone) {
				best = b
			}
		}
		if best == nil {
			return
		}
		p.count[best.ID]++
		inZone[best.Zone]++
		p.loads = append(p.loads, Order{Kind: Load, Backend: best, Version: v, Need: float64(missing) / float64(want)})
	}
}

func (p *planner) planned(v dhtable.Version, b *dhbackend.Backend) bool {
	return slices.ContainsFunc(p.loads, func(o Order) bool { return o.Version == v && o.Backend == b })
}

func (p *planner) better(a, b *dhbackend.Backend, inZone map[string]int) bool {
	if p.count[a.ID] != p.count[b.ID] {
		return p.count[a.ID] < p.count[b.ID]
	}
	return inZone[a.Zone] < inZone[b.Zone]
}

// unload drops replicas beyond the wanted number as long as the others can
// carry the version's traffic. A withdrawn version gets no new work, so its
// idle replicas are dropped whatever the others carry.
func (p *planner) unload(v dhtable.Version, want int, withdrawn bool) {
	have := slices.Clone(p.loaded[v])
	slices.SortStableFunc(have, func(a, b *dhbackend.Backend) int { return cmp.Compare(a.Running, b.Running) })
	slots, running := 0, 0
	for _, b := range have {
		slots += b.Slots
		running += b.Running + b.Waiting
	}
	for _, b := range have[:len(have)-want] {
		slots -= b.Slots
		idle := b.Running+b.Waiting == 0
		if withdrawn && !idle {
			continue
		}
		if !withdrawn && float64(running) > float64(slots)*(1-keepFree) {
			return
		}
		p.unloads = append(p.unloads, Order{Kind: Unload, Backend: b, Version: v})
	}
}
