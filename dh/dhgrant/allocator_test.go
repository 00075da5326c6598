package dhgrant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhpb"
)

// fleet is the input of an allocator: backend servers b0, b1, ... of pool "p" and
// entry VMs e0, e1, ... with one request per second each.
type fleet struct {
	limits   Limits
	backends []Backend
	vms      []VM
}

func newFleet(vms int, limits ...float64) *fleet {
	f := &fleet{}
	for i, n := range limits {
		id := fmt.Sprint("b", i)
		f.backends = append(f.backends, Backend{ID: id, Pool: "p", Incarnation: 1})
		f.limits.Observe(id, 1, at(0, 1, n), start)
	}
	for i := range vms {
		f.vms = append(f.vms, VM{Name: fmt.Sprint("e", i), Rates: map[string]float64{"p": 1}})
	}
	return f
}

func (f *fleet) allocate(a *Allocator, now time.Time) *dhpb.GrantTable {
	return a.Allocate(now, &f.limits, f.backends, f.vms)
}

func holdersOf(t *dhpb.GrantTable, id string) []string {
	for _, g := range t.GetGrants() {
		if g.GetLimit().GetId() == id {
			return g.GetHolders()
		}
	}
	return nil
}

// Guards against a part that two VMs may use at the same time: it is granted again
// only when its VM holds the newer table or all copies of the older one have
// expired.
func TestPartIsGrantedOnce(t *testing.T) {
	const term = 2 * time.Second
	a := &Allocator{Term: term, Token: 7}
	f := newFleet(2, 0.5)
	first := f.allocate(a, after(0))
	assert.Equal(t, len(holdersOf(first, "b0")), 1)
	assert.Equal(t, first.GetGrants()[0].GetParts(), uint32(1))
	holder := holdersOf(first, "b0")[0]
	all := f.vms
	f.vms = slices.DeleteFunc(slices.Clone(all), func(vm VM) bool { return vm.Name == holder })

	second := f.allocate(a, after(1))
	assert.Equal(t, len(holdersOf(second, "b0")), 0)
	assert.Assert(t, CompareTables(second.GetId(), first.GetId()) > 0)
	f.vms = all // it reports again, with the old table
	for i := range f.vms {
		f.vms[i].Held = first.GetId()
	}
	assert.Equal(t, f.allocate(a, after(1).Add(term)), second)
	third := f.allocate(a, after(1).Add(term+time.Second))
	assert.Equal(t, len(holdersOf(third, "b0")), 1)

	// A VM that holds the newer table does not use the part any more.
	f.vms = slices.DeleteFunc(slices.Clone(all), func(vm VM) bool { return vm.Name == holdersOf(third, "b0")[0] })
	fourth := f.allocate(a, after(10))
	assert.Equal(t, len(holdersOf(fourth, "b0")), 0)
	f.vms = all
	for i := range f.vms {
		f.vms[i].Held = &dhpb.GrantTableId{Token: 6, Number: fourth.GetId().GetNumber()}
	}
	assert.Equal(t, f.allocate(a, after(10.1)), fourth)
	for i := range f.vms {
		f.vms[i].Held = fourth.GetId()
	}
	assert.Equal(t, len(holdersOf(f.allocate(a, after(10.2)), "b0")), 1)
}

// Guards against more parts than the sum of the limit bears, and against parts of
// VMs that are gone or of an earlier incarnation, over random changes of limits,
// backend servers and VMs.
func TestAllocationsKeepTheSum(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		vms := []int{1, 13, 49, 72, 283}[random.IntN(5)]
		f := newFleet(vms, 1, 0.2, 3, 40, 1e9)
		all := f.vms
		a := &Allocator{Term: 2 * time.Second}
		now := start
		for step := range 200 {
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			if random.IntN(5) == 0 {
				id := random.IntN(len(f.backends))
				o := Observation{Limit: perSecond(float64(random.IntN(20)) / 4), Sent: now, Answered: now}
				f.limits.Observe(f.backends[id].ID, f.backends[id].Incarnation, o, now)
			}
			if random.IntN(20) == 0 {
				f.backends[random.IntN(len(f.backends))].Incarnation++
			}
			f.limits.Retain(now, func(id string, incarnation uint64) bool {
				return slices.ContainsFunc(f.backends, func(b Backend) bool { return b.ID == id && b.Incarnation == incarnation })
			})
			f.vms = slices.DeleteFunc(slices.Clone(all), func(VM) bool { return random.IntN(8) == 0 })
			table := f.allocate(a, now)
			for _, g := range table.GetGrants() {
				parts, limit := int(g.GetParts()), g.GetLimit().GetPerSecond()
				assert.Assert(t, parts >= 1 && float64(parts) <= limit+1, "seed %d, step %d: %v", seed, step, g)
				assert.Assert(t, len(g.GetHolders()) <= parts, "seed %d, step %d: %v", seed, step, g)
				for _, vm := range g.GetHolders() {
					assert.Assert(t, slices.ContainsFunc(f.vms, func(v VM) bool { return v.Name == vm }), "seed %d, step %d: %v", seed, step, g)
				}
			}
		}
	}
}

// Guards against a table that grows without bound and against one that changes
// although nothing else does: each change is sent to every VM.
func TestTableIsStable(t *testing.T) {
	a := &Allocator{Term: time.Second}
	f := newFleet(72, 1, 2, 3)
	f.backends = append(f.backends, Backend{ID: "free", Pool: "p", Incarnation: 1})
	table := f.allocate(a, after(0))
	for i := range 100 {
		f.limits.Observe("b1", 1, at(float64(i), float64(i+1), 2), after(float64(i+1)))
		assert.Equal(t, f.allocate(a, after(float64(i+1))), table)
	}
	f.limits.Observe("b1", 1, at(200, 201, -1), after(201))
	ended := f.allocate(a, after(201))
	assert.Equal(t, ended.GetId().GetNumber(), table.GetId().GetNumber()+1)
	assert.Equal(t, len(holdersOf(ended, "b1")), 0)
	assert.Equal(t, len(GrantsOf(ended, "e1")), 3)
}
