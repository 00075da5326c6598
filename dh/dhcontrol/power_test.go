package dhcontrol_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

var powerSeeds = flag.Uint64("power-seeds", 1, "seeds of each case of TestPowerLossWithLostDisks")

// The platform's CatchUpS, until which a machine that is back counts as lost, and its RecoveryS.
const catchUpTime, recoveryTime = 4 * time.Second, 12 * time.Second

// powerCluster is a cluster whose VMs lose power while changes are made.
type powerCluster struct {
	*cluster
	random          *rand.Rand
	names, entryVMs []string
	mu              sync.Mutex
	// number is that of the last change, settled holds those that were acknowledged. The
	// remainder of a number by 4 tells the kind of the change.
	number  uint64
	settled []uint64
	// document is the highest version that was acknowledged or read.
	document uint64
}

func (p *powerCluster) upTo(ms int) time.Duration { return time.Duration(p.random.IntN(ms * 1e6)) }

// wipeDisk gives a VM an empty disk, whose syncs take time and whose unsynced data is torn.
func (p *powerCluster) wipeDisk(name string) {
	random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
	p.disks[name] = &dhdisk.Memory{BeforeSync: func() {
		_ = dhtimer.Sleep(context.Background(), p.timers, time.Duration(random.IntN(4e6))) // never cancelled
	}}
	p.disks[name].Set(dhdisk.Faults{TornZeros: random.IntN(2) == 0, Torn: func(unsynced int) int { return random.IntN(unsynced + 1) }})
}

// change makes a change through a control VM and notes it if it is acknowledged.
func (p *powerCluster) change(ctx context.Context, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	n, key, vm := p.number, strconv.FormatUint(p.number, 10), p.controls[p.names[random.IntN(len(p.names))]]
	p.mu.Unlock()
	err := []func() error{
		func() error { return vm.Replace(ctx, n, []byte(key)) },
		func() error { return vm.TakeOut(ctx, key) },
		func() error { return vm.StartRollout(ctx, key, "v2", time.Hour) },
		func() error { return vm.Leave(ctx, key, 1) },
	}[n%4]()
	if p.mu.Lock(); err == nil {
		p.settled = append(p.settled, n)
	}
}

// check fails the test if an entry VM serves without a change that was acknowledged.
func (p *powerCluster) check(time.Time) {
	for _, name := range p.entryVMs {
		s := p.entries[name].Router().Snapshot()
		for _, n := range p.settled {
			key := strconv.FormatUint(n, 10)
			_, out := s.ZoneWeight[key]
			_, rollout := s.Rollouts[key]
			inForce := s.Tables == nil || []bool{p.version(name) >= n, out, rollout, !p.usable(name, key)}[n%4]
			assert.Assert(p.t, inForce, "change %d of kind %d on %s", n, n%4, name)
		}
	}
}

// announceLeft announces the backend servers that left, late.
func (p *powerCluster) announceLeft() {
	for _, n := range p.settled {
		if n%4 == 3 {
			p.announce(p.names[p.random.IntN(len(p.names))], strconv.FormatUint(n, 10), "ready", 1)
		}
	}
}

// reads reports whether a control VM returns the document. It must not be older than one before.
func (p *powerCluster) reads(name string) bool {
	text, err := p.read(name)
	if version, _ := strconv.ParseUint(text, 10, 64); err == nil {
		assert.Assert(p.t, version >= p.document && version <= p.number, "%s returns %q, not %d", name, text, p.document)
		p.document = version
	}
	return err == nil
}

// voters returns the newest set on a disk and whether it is complete and its voters run.
func (p *powerCluster) voters() (set dhquorum.VoterSet, whole bool) {
	ids := map[string]string{}
	for _, name := range p.names {
		if v, err := p.controls[name].Voter(); err == nil {
			if ids[name] = v.Status().ID; v.Status().Set.Epoch > set.Epoch {
				set = v.Status().Set
			}
		}
	}
	dead := slices.ContainsFunc(set.Voters, func(m dhquorum.Member) bool { return ids[m.Address] != m.ID })
	return set, !dead && !set.Joint() && len(set.Voters) == 2*p.tolerated+1
}

// losePower takes the power of all VMs, and the disks of the first lost ones of names. Of these,
// wiped have lost theirs shortly before too. A VM may be cut off until the others are back.
func (p *powerCluster) losePower(names []string, wiped, lost int, cutOff bool) {
	changes := dhgroup.New(p.t.Context())
	for range 4 {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
		changes.Go(func(ctx context.Context) error {
			for dhtimer.Sleep(ctx, p.timers, time.Duration(random.IntN(200e6))) == nil {
				p.change(ctx, random)
			}
			return nil
		})
	}
	p.waitFor(catchUpTime, "an acknowledgement", func() bool { return len(p.settled) > 0 })
	p.advance(p.upTo(2500))
	for _, name := range names[:wiped] {
		p.crash(name)
		p.wipeDisk(name)
		p.restartAll(p.upTo(500), name)
		p.advance(p.upTo(1500))
	}
	away := ""
	if cutOff {
		away = names[wiped+p.random.IntN(len(names)-wiped)]
		p.network.Partition([]string{away})
		p.advance(p.upTo(5000))
	}
	if target := len(p.settled) + 1 + p.random.IntN(3); p.random.IntN(2) == 0 {
		dhfake.Drive(p.timers, time.Second, func() bool { return len(p.settled) >= target })
	}
	before, _ := p.voters()
	all := slices.Concat(p.entryVMs, names)
	p.crash(all...)
	changes.Stop()
	p.advance(0)
	p.network.Set(dhfake.Faults{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond})
	for _, n := range p.settled {
		p.document = max(p.document, n*(1-min(n%4, 1)))
	}
	for i, name := range names[:lost] {
		if i >= wiped || p.random.IntN(2) == 0 {
			p.wipeDisk(name)
		}
	}
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		if name != away {
			p.restartAll(p.upTo(150), name)
		}
	}
	defer p.timers.Subscribe(20*time.Millisecond, p.check)()
	if p.announceLeft(); cutOff {
		for range p.random.IntN(4) {
			p.reads(names[p.random.IntN(len(names))])
		}
		p.network.Partition()
		p.restartAll(p.upTo(150), away)
		p.announceLeft()
	}
	back := p.timers.Now()
	for _, name := range slices.Concat(names, names) {
		p.waitFor(recoveryTime, "the document on "+name, func() bool { return p.reads(name) })
	}
	p.advance(catchUpTime - p.timers.Now().Sub(back))
	set, whole := p.voters()
	assert.Assert(p.t, whole && set.Epoch >= before.Epoch, "voters %+v, before %+v", set, before)
	p.announceLeft()
	state := func(name string) string {
		s := p.entries[name].Router().Snapshot()
		return fmt.Sprint(p.version(name), s.ZoneWeight, slices.Sorted(maps.Keys(s.Rollouts)), s.Backends.Len())
	}
	p.waitFor(recoveryTime-p.timers.Now().Sub(back), "the same state on all entry VMs", func() bool {
		// A change that was not acknowledged may come into force late, for all.
		return p.version("e0") >= p.document && state("e0") == state("e1") && state("e1") == state("e2")
	})
}

// Guards against acknowledged changes that are lost or undone when all VMs lose power at the
// moment at which as many disks are lost as is tolerated, and again with other disks.
func TestPowerLossWithLostDisks(t *testing.T) {
	for _, c := range []struct {
		name                  string
		vms, tolerated, wiped int
		cutOff, growing       bool
	}{
		{name: "steady", vms: 3, tolerated: 1},
		{name: "steady, two disks", vms: 5, tolerated: 2},
		{name: "voter being replaced", vms: 3, tolerated: 1, wiped: 1},
		{name: "voter being replaced, two disks", vms: 5, tolerated: 2, wiped: 1},
		{name: "two voters being replaced", vms: 6, tolerated: 2, wiped: 2},
		{name: "cut off", vms: 3, tolerated: 1, cutOff: true},
		{name: "spare joins", vms: 4, tolerated: 1, cutOff: true},
		{name: "spare joins, two disks", vms: 6, tolerated: 2, cutOff: true},
		{name: "voters being added", vms: 5, tolerated: 2, growing: true},
	} {
		for seed := range *powerSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				runCluster(t, func(cluster *cluster) {
					p := &powerCluster{cluster: cluster, random: rand.New(rand.NewPCG(seed, 0)), entryVMs: []string{"e0", "e1", "e2"}}
					p.tolerated = c.tolerated
					p.network.Set(dhfake.Faults{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond, Loss: 0.05 * float64(p.random.IntN(2))})
					p.crash(p.seeds...)
					for i := range c.vms {
						p.names = append(p.names, fmt.Sprint("c", i))
						p.wipeDisk(p.names[i])
						p.startControl(p.names[i], true)
					}
					for _, name := range p.entryVMs {
						p.startEntry(name)
					}
					names, lost := slices.Clone(p.names), 0 // VMs that have just started count as lost
					p.random.Shuffle(c.vms, func(i, j int) { names[i], names[j] = names[j], names[i] })
					if !c.growing {
						p.advance(catchUpTime)
						lost = c.tolerated
					}
					p.losePower(names, c.wiped, lost, c.cutOff)
					p.losePower(append(names[c.tolerated:], names[:c.tolerated]...), c.wiped, c.tolerated, c.cutOff)
				})
			})
		}
	}
}
