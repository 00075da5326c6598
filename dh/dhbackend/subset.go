package dhbackend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhtable"
)

// rendezvous returns the weight of an item for a node.
func rendezvous(node, item string) uint64 {
	x := xxhash.Sum64String(node)*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(item)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset returns the backend servers that an entry VM holds when it cannot
// hold all, sorted by id: of each pool and version, those with the highest
// rendezvous weights, near of its own zone and far of all other zones
// together. A change of the list changes only what it has to.
func Subset(list []*Backend, node, zone string, near, far int) []*Backend {
	type key struct {
		near    bool
		pool    string
		version dhtable.Version
	}
	groups := make(map[key][]*Backend)
	weights := make(map[string]uint64, len(list))
	for _, b := range list {
		weights[b.ID] = rendezvous(node, b.ID)
		for _, v := range versionsOf(b) {
			k := key{near: b.Zone == zone, pool: b.Pool, version: v}
			groups[k] = append(groups[k], b)
		}
	}
	chosen := make(map[string]*Backend)
	for k, group := range groups {
		slices.SortFunc(group, func(a, b *Backend) int {
			return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
		})
		count := far
		if k.near {
			count = near
		}
		for _, b := range group[:min(count, len(group))] {
			chosen[b.ID] = b
		}
	}
	subset := make([]*Backend, 0, len(chosen))
	for _, b := range chosen {
		subset = append(subset, b)
	}
	slices.SortFunc(subset, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return subset
}

// versionsOf returns the loaded versions, or one without a name when none is loaded.
func versionsOf(b *Backend) []dhtable.Version {
	if len(b.Versions) == 0 {
		return []dhtable.Version{{}}
	}
	return b.Versions
}

// Summary is what an entry VM knows of the backend servers of a zone that it
// does not hold. A backend server counts for each version it has loaded.
type Summary struct {
	Zone, Pool            string
	Version               dhtable.Version
	Count, Slots, Running int
}

// Summaries returns the summaries of the view, sorted by zone, pool and version.
func (v *View) Summaries() []Summary {
	type key struct {
		zone, pool string
		version    dhtable.Version
	}
	sums := make(map[key]*Summary)
	for _, b := range v.byID {
		for _, version := range versionsOf(b) {
			k := key{b.Zone, b.Pool, version}
			s := sums[k]
			if s == nil {
				s = &Summary{Zone: b.Zone, Pool: b.Pool, Version: version}
				sums[k] = s
			}
			s.Count++
			s.Slots += b.Slots
			s.Running += b.Running
		}
	}
	list := make([]Summary, 0, len(sums))
	for _, s := range sums {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Version.Model, b.Version.Model), cmp.Compare(a.Version.Name, b.Version.Name))
	})
	return list
}
