// Package dhpool orders backend servers to load and unload versions until each
// version of a pool has the number of replicas that the tables ask for.
//
// Plan is a pure function of the tables and backend servers, so that a VM that takes
// over after an interruption plans again from the versions that are loaded and
// continues. Only the holder of a pool's order lease sends orders. Loads are subject
// to the rate limit of the weight store, and the most needed are sent first.
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

// Kind is the kind of an order.
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
	// Need is the fraction of the wanted replicas that is missing; 0 for an unload.
	Need float64
}

// keepFree is the fraction of a version's slots that must be free after an unload,
// so that the remaining replicas can carry its traffic.
const keepFree = 0.3

// Plan returns the orders that a pool needs: first the loads, the most needed first,
// and then the unloads. MaxVersions bounds the versions on one backend server.
func Plan(t *dhtable.Tables, pool string, backends []*dhbackend.Backend, maxVersions int) []Order {
	p := planner{maxVersions: maxVersions, loaded: make(map[dhtable.Version][]*dhbackend.Backend), versionCount: make(map[string]int)}
	for _, b := range backends {
		if b.State == dhbackend.Leaving {
			continue
		}
		p.backends = append(p.backends, b)
		p.versionCount[b.ID] = len(b.Versions)
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
	versionCount   map[string]int
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

// load chooses backend servers for the missing replicas. It prefers those with the
// fewest versions, then availability zones with the fewest replicas, and skips zones
// that are taken out.
func (p *planner) load(t *dhtable.Tables, v dhtable.Version, want int) {
	have := p.loaded[v]
	inZone := make(map[string]int)
	for _, b := range have {
		inZone[b.Zone]++
	}
	for missing := want - len(have); missing > 0; missing-- {
		var best *dhbackend.Backend
		for _, b := range p.backends {
			if b.Has(v) || p.planned(v, b) || p.versionCount[b.ID] >= p.maxVersions || t.ZoneOut(b.Zone) {
				continue
			}
			if best == nil || p.preferred(b, best, inZone) {
				best = b
			}
		}
		if best == nil {
			return
		}
		p.versionCount[best.ID]++
		inZone[best.Zone]++
		p.loads = append(p.loads, Order{Kind: Load, Backend: best, Version: v, Need: float64(missing) / float64(want)})
	}
}

func (p *planner) planned(v dhtable.Version, b *dhbackend.Backend) bool {
	return slices.ContainsFunc(p.loads, func(o Order) bool { return o.Version == v && o.Backend == b })
}

func (p *planner) preferred(a, b *dhbackend.Backend, inZone map[string]int) bool {
	if p.versionCount[a.ID] != p.versionCount[b.ID] {
		return p.versionCount[a.ID] < p.versionCount[b.ID]
	}
	return inZone[a.Zone] < inZone[b.Zone]
}

// unload removes replicas beyond the wanted number as long as the others can carry
// the version's traffic. A withdrawn version gets no new requests, so its idle
// replicas are removed regardless of the load on the others.
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
