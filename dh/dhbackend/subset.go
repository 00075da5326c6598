package dhbackend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhtable"
)

// rendezvous returns the rendezvous hashing weight of an item for a VM, given
// the hashes of both.
func rendezvous(node, item uint64) uint64 {
	x := node*0x9e3779b97f4a7c15 ^ item
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset returns the backend servers that an entry VM keeps if it cannot keep
// all, sorted by id. For each pool and version these are the ones with the
// highest rendezvous weights: near of its own zone and far of all other zones
// together. Adding or removing a backend server changes as few others as possible.
func Subset(list []*Backend, node, zone string, near, far int) []*Backend {
	ids := newIndex(list).subset(node, zone, near, far)
	subset := make([]*Backend, 0, len(ids))
	for _, b := range list {
		if _, found := slices.BinarySearch(ids, b.ID); found {
			subset = append(subset, b)
		}
	}
	slices.SortFunc(subset, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return subset
}

// index groups backend servers by pool and version. It is built once for the
// subsets of many entry VMs.
type index struct {
	groups [][]indexEntry
}

type indexEntry struct {
	id, zone string
	hash     uint64
}

func newIndex(list []*Backend) *index {
	type key struct {
		pool    string
		version dhtable.Version
	}
	positions := make(map[key]int)
	x := new(index)
	for _, b := range list {
		for _, v := range versionsOf(b) {
			k := key{b.Pool, v}
			i, known := positions[k]
			if !known {
				i = len(x.groups)
				positions[k] = i
				x.groups = append(x.groups, nil)
			}
			x.groups[i] = append(x.groups[i], indexEntry{b.ID, b.Zone, xxhash.Sum64String(b.ID)})
		}
	}
	return x
}

// subset returns the sorted ids of the subset of an entry VM.
func (x *index) subset(node, zone string, near, far int) []string {
	hash := xxhash.Sum64String(node)
	ids := make([]string, 0, len(x.groups)*(near+far))
	for _, group := range x.groups {
		own, others := topWeights{limit: near}, topWeights{limit: far}
		for i := range group {
			weight := rendezvous(hash, group[i].hash)
			if group[i].zone == zone {
				own.add(weight, group[i].id)
			} else {
				others.add(weight, group[i].id)
			}
		}
		ids = append(append(ids, own.ids...), others.ids...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// topWeights keeps up to limit ids with the highest weights in descending order.
type topWeights struct {
	limit   int
	weights []uint64
	ids     []string
}

func (b *topWeights) add(weight uint64, id string) {
	n := len(b.ids)
	if n == b.limit {
		if n == 0 || weight <= b.weights[n-1] {
			return
		}
		n--
		b.weights, b.ids = b.weights[:n], b.ids[:n]
	}
	for n > 0 && b.weights[n-1] < weight {
		n--
	}
	b.weights, b.ids = slices.Insert(b.weights, n, weight), slices.Insert(b.ids, n, id)
}

// versionsOf returns the loaded versions, or a single zero version if none is loaded.
func versionsOf(b *Backend) []dhtable.Version {
	if len(b.Versions) == 0 {
		return []dhtable.Version{{}}
	}
	return b.Versions
}

// Summary aggregates the backend servers of a zone, pool and version for entry
// VMs that do not keep them individually. A backend server counts once for each
// version that it has loaded.
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
