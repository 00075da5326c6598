package dhcontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhpb"
)

// drainTime is the time after the acknowledgement of a leave in which entry VMs may still use
// the backend server.
const drainTime = 2 * time.Second

// restartAll crashes VMs at the same moment and starts them again after a pause. Disks
// keep what was synced.
func (c *cluster) restartAll(pause time.Duration, names ...string) {
	c.crash(names...)
	c.advance(pause)
	for _, name := range names {
		if c.entries[name] != nil {
			c.startEntry(name)
			continue
		}
		c.startControl(name, false)
	}
}

func (c *cluster) usable(entry, id string) bool {
	_, ok := c.entries[entry].Router().Snapshot().Backends.Get(id)
	return ok
}

// usesNext reports whether a backend server is usable in its second incarnation.
func (c *cluster) usesNext(entry, id string) bool {
	b, ok := c.entries[entry].Router().Snapshot().Backends.Get(id)
	return ok && b.Incarnation == 2
}

// leave deregisters a backend server and requires the acknowledgement within the limit of
// a backend server's call.
func (c *cluster) leave(name, id string, incarnation uint64) {
	c.t.Helper()
	began := c.timers.Now()
	assert.NilError(c.t, c.call(func(ctx context.Context) error { return c.controls[name].Leave(ctx, id, incarnation) }))
	assert.Assert(c.t, c.timers.Now().Sub(began) < time.Second)
}

// waitLeft waits until no entry VM uses a backend server.
func (c *cluster) waitLeft(id string) {
	c.t.Helper()
	c.waitFor(drainTime, "the leave", func() bool { return !c.usable("e1", id) && !c.usable("e2", id) })
}

// neverUsable fails the test if an entry VM finds a backend server usable within a time.
func (c *cluster) neverUsable(d time.Duration, id string, entries ...string) {
	c.t.Helper()
	for end := c.timers.Now().Add(d); c.timers.Now().Before(end); c.advance(50 * time.Millisecond) {
		for _, e := range entries {
			assert.Assert(c.t, !c.usable(e, id), "%s is usable on %s again", id, e)
		}
	}
}

// startDepartureCluster starts two entry VMs, a document and the backend servers b0 and
// b1, which b1 announces every second to all control VMs.
func (c *cluster) startDepartureCluster() {
	c.startEntry("e1")
	c.startEntry("e2")
	c.waitFor(3*time.Second, "the first document", func() bool { return c.replace("c0", 5) == nil })
	c.advance(4 * time.Second)
	c.announceWhileUp(c.network.Start("backends", nil).Group(), "b1", func() (uint64, string, bool) { return 1, "ready", true })
	c.announce("c0", "b0", "ready", 3)
	c.waitFor(time.Second, "the backend servers", func() bool { return c.usable("e1", "b0") && c.usable("e2", "b0") })
}

// wipe replaces the disk of a control VM by an empty one.
func (c *cluster) wipe(name string) { delete(c.disks, name) }

// Guards against an acknowledged leave that the control VMs forget when they restart, so
// that a late announcement makes the backend server usable again.
func TestLeaveOutlivesControlVMs(t *testing.T) {
	say := map[string]func(c *cluster){
		"deregistered": func(c *cluster) { c.leave("c1", "b0", 1) },
		"draining":     func(c *cluster) { c.announce("c1", "b0", "leaving", 5) },
		"draining, then deregistered": func(c *cluster) {
			c.announce("c1", "b0", "leaving", 5)
			c.advance(time.Second)
			c.announce("c2", "b0", "leaving", 6)
			c.leave("c0", "b0", 1)
		},
	}
	lose := map[string]func(c *cluster){
		"all at once":           func(c *cluster) { c.restartAll(700*time.Millisecond, "c0", "c1", "c2") },
		"all at once and entry": func(c *cluster) { c.restartAll(700*time.Millisecond, "c0", "c1", "c2", "e1", "e2") },
		"twice": func(c *cluster) {
			c.restartAll(200*time.Millisecond, "c0", "c1", "c2")
			c.advance(300 * time.Millisecond)
			c.restartAll(500*time.Millisecond, "c0", "c1", "c2")
		},
		"in turn": func(c *cluster) {
			for _, name := range c.seeds {
				c.restartAll(500*time.Millisecond, name)
				c.advance(4 * time.Second)
			}
		},
		"the disk of the one that acknowledged": func(c *cluster) {
			c.crash("c0", "c1", "c2")
			c.wipe("c1")
			c.advance(500 * time.Millisecond)
			for _, name := range c.seeds {
				c.startControl(name, false)
			}
		},
		"after minutes": func(c *cluster) {
			c.advance(4 * time.Minute)
			c.restartAll(500*time.Millisecond, "c0", "c1", "c2")
		},
	}
	for how, f := range say {
		for what, g := range lose {
			t.Run(how+"/"+what, func(t *testing.T) {
				t.Parallel()
				runCluster(t, func(c *cluster) {
					c.startDepartureCluster()
					f(c)
					g(c)
					c.waitLeft("b0")
					// The late announcement comes to a VM that has just started, to one that has
					// been up for a while and to both others.
					for sequence := uint64(1); sequence <= 4; sequence++ {
						c.announce(c.seeds[sequence%3], "b0", "ready", sequence)
						c.neverUsable(1500*time.Millisecond, "b0", "e1", "e2")
					}
					c.waitFor(5*time.Second, "the other backend server", func() bool { return c.usable("e1", "b1") && c.usable("e2", "b1") })
				})
			})
		}
	}
}

// Guards against a leave that is acknowledged by a control VM that does not know the
// backend server, and then forgotten.
func TestLeaveOfUnknownBackend(t *testing.T) {
	for _, what := range []string{"just started", "cut off before"} {
		t.Run(what, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.startDepartureCluster()
				if what == "just started" {
					c.restartAll(500*time.Millisecond, "c0", "c1", "c2")
					c.advance(300 * time.Millisecond)
				} else {
					c.announce("c0", "b0", "ready", 4)
				}
				c.leave("c2", "b0", 1)
				c.neverUsable(100*time.Millisecond, "none", "e1")
				c.waitFor(time.Second, "the leave", func() bool { return !c.usable("e1", "b0") && !c.usable("e2", "b0") })
				c.announce("c0", "b0", "ready", 5)
				c.neverUsable(6*time.Second, "b0", "e1", "e2")
				c.announce("c1", "b0", "ready", 1, func(r *dhpb.BackendRecord) { r.Incarnation = 2 })
				c.waitFor(time.Second, "the next incarnation", func() bool { return c.usable("e1", "b0") })
			})
		})
	}
}

// contactTime is the time after a cut within which VMs are in touch again.
const contactTime = 3 * time.Second

// Guards against VMs that come back from a cut and use a backend server that left meanwhile,
// or make others use it by their records of it.
func TestLeaveDuringCut(t *testing.T) {
	cuts := map[string][][]string{
		"a control VM and its entry VM": {{"c0", "c1", "e1", "backends"}, {"c2", "e2"}},
		"an entry VM":                   {{"c0", "c1", "c2", "e1", "backends"}, {"e2"}},
	}
	for name, groups := range cuts {
		for _, lasts := range []time.Duration{8 * time.Second, 150 * time.Second} {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s restart=%v", name, lasts, restart), func(t *testing.T) {
					t.Parallel()
					runCluster(t, func(c *cluster) {
						c.startDepartureCluster()
						c.network.Partition(groups...)
						c.advance(time.Second)
						c.leave("c0", "b0", 1)
						c.announce("c2", "b0", "ready", 4)
						c.advance(lasts)
						if restart {
							c.restartAll(500*time.Millisecond, "c0", "c1")
							c.advance(time.Second)
						}
						c.network.Partition()
						c.waitFor(contactTime, "the leave", func() bool { return !c.usable("e1", "b0") && !c.usable("e2", "b0") })
						for sequence := uint64(5); sequence < 8; sequence++ {
							c.announce(c.seeds[sequence%3], "b0", "ready", sequence)
							c.neverUsable(2*time.Second, "b0", "e1", "e2")
						}
						c.waitFor(time.Second, "the other backend server", func() bool { return c.usable("e1", "b1") && c.usable("e2", "b1") })
					})
				})
			}
		}
	}
}

// Guards against a departure that also ends the next incarnation under the id, or another
// backend server at the address, or that delays their use.
func TestSuccessorIsUsedAtOnce(t *testing.T) {
	successors := map[string]func(r *dhpb.BackendRecord){
		"same id":      func(r *dhpb.BackendRecord) { r.Incarnation, r.Sequence = 2, 1 },
		"same address": func(r *dhpb.BackendRecord) { r.Id, r.Incarnation, r.Sequence = "b2", 2, 1 },
	}
	for name, change := range successors {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s restart=%v", name, restart), func(t *testing.T) {
				runCluster(t, func(c *cluster) {
					c.startDepartureCluster()
					c.leave("c1", "b0", 1)
					if restart {
						c.restartAll(500*time.Millisecond, "c0", "c1", "c2")
						c.waitFor(time.Second, "a control VM that serves", func() bool { _, err := c.read("c0"); return err == nil })
					}
					r := &dhpb.BackendRecord{Id: "b0"}
					change(r)
					used := func() bool { return c.usesNext("e1", r.Id) && c.usesNext("e2", r.Id) }
					c.announce("c0", "b0", "ready", 1, change)
					c.waitFor(time.Second, "the successor", used)
					c.leave("c2", "b0", 1) // late, of the one before
					c.announce("c1", "b0", "ready", 9)
					for range 40 {
						assert.Assert(t, used())
						c.advance(50 * time.Millisecond)
						c.announce("c0", "b0", "ready", r.Sequence+1, change, func(n *dhpb.BackendRecord) { r.Sequence++; n.Sequence = r.Sequence })
					}
				})
			})
		}
	}
}

// Guards against a leave that a minority of the control VMs acknowledges, and against a
// leave without an incarnation that is acknowledged and not kept.
func TestLeaveThatCannotBeKept(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startDepartureCluster()
		c.crash("c0", "c1")
		err := c.call(func(ctx context.Context) error { return c.controls["c2"].Leave(ctx, "b0", 1) })
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
		c.waitFor(time.Second, "the leave where it is known", func() bool { return !c.usable("e1", "b0") || !c.usable("e2", "b0") })
		err = c.call(func(ctx context.Context) error {
			return c.controls["c2"].Announce(ctx, &dhpb.BackendRecord{
				Id: "b1", Address: "b1:80", Zone: "z0", Pool: "p", State: "leaving", Incarnation: 1, Sequence: 1000, Versions: []*dhpb.LoadedVersion{{}},
			})
		})
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
		c.startControl("c0", false)
		err = c.call(func(ctx context.Context) error { return c.controls["c0"].Leave(ctx, "b9", 0) })
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
		c.advance(5 * time.Second)
		assert.NilError(t, c.call(func(ctx context.Context) error { return c.controls["c0"].Leave(ctx, "b9", 0) }))
	})
}

// Guards against a leave whose acknowledgement waits for a disk that is full.
func TestLeaveWithFullDisk(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startDepartureCluster()
		c.disks["c1"].Set(dhdisk.Faults{Capacity: 1})
		c.leave("c1", "b0", 1)
		c.disks["c1"].Set(dhdisk.Faults{})
		c.restartAll(500*time.Millisecond, "c0", "c1", "c2")
		c.waitLeft("b0")
		c.announce("c1", "b0", "ready", 4)
		c.neverUsable(5*time.Second, "b0", "e1", "e2")
	})
}

// Guards against acknowledged leaves that are undone under random crashes, cuts and late
// announcements, and against successors that are not used.
func TestLeavesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, func(c *cluster) { leaveUnderFaults(c, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func leaveUnderFaults(c *cluster, random *rand.Rand) {
	c.startDepartureCluster()
	// ended holds the incarnations that have deregistered, acknowledged or not: they do not go on.
	left, lives, ended := map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	announce := func(id string, incarnation, sequence uint64, state string) error {
		return c.call(func(ctx context.Context) error {
			return c.controls[c.seeds[random.IntN(3)]].Announce(ctx, &dhpb.BackendRecord{
				Id: id, Address: id + ":80", Zone: "z0", Pool: "p", State: state, Slots: 4, Incarnation: incarnation, Sequence: sequence, Versions: []*dhpb.LoadedVersion{{}},
			})
		})
	}
	for step := range uint64(60) {
		id := fmt.Sprint("r", random.IntN(6))
		switch random.IntN(8) {
		case 0:
			names := slices.Clone(c.seeds)
			random.Shuffle(3, func(i, j int) { names[i], names[j] = names[j], names[i] })
			c.restartAll(time.Duration(random.IntN(800))*time.Millisecond, names[:1+random.IntN(3)]...)
		case 1:
			c.network.Set(dhfake.Faults{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond, Loss: 0.1 * float64(random.IntN(2))})
		case 2, 3:
			if lives[id] == left[id] || lives[id] == ended[id] {
				lives[id] = 10 + step
			}
			_ = announce(id, lives[id], 10+step, "ready") // a backend server goes on with its next one
		case 4, 5:
			if lives[id] > left[id] && announce(id, lives[id], 10+step, "leaving") == nil {
				left[id] = lives[id]
			}
		case 6:
			if lives[id] > left[id] {
				ended[id] = lives[id]
				if c.call(func(ctx context.Context) error { return c.controls[c.seeds[random.IntN(3)]].Leave(ctx, id, lives[id]) }) == nil {
					left[id] = lives[id]
				}
			}
		case 7:
			if left[id] > 0 {
				_ = announce(id, left[id], 1+uint64(random.IntN(9)), "ready") // late
			}
		}
		c.advance(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	c.network.Set(dhfake.Faults{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond})
	c.advance(6 * time.Second)
	for id, incarnation := range left {
		_ = announce(id, incarnation, 9, "ready") // late
	}
	c.advance(2 * time.Second)
	for id, incarnation := range lives {
		if incarnation > left[id] && incarnation == ended[id] {
			incarnation = 100 // its successor
			lives[id] = incarnation
		}
		if incarnation > left[id] {
			assert.NilError(c.t, announce(id, incarnation, 1000, "ready"))
		}
	}
	c.advance(time.Second)
	for id, incarnation := range lives {
		for _, e := range []string{"e1", "e2"} {
			assert.Equal(c.t, c.usable(e, id), incarnation > left[id], "%s on %s", id, e)
		}
	}
}

// Guards against leaves that each cost more syncs than the two rounds of a register, and
// against registers that grow with the number of leaves.
func TestCostOfLeaves(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startDepartureCluster()
		c.advance(3 * time.Second) // the registers that are read periodically are settled
		const leaves = 300
		syncs, sent := c.disks["c0"].Syncs(), c.network.Sent()
		began := c.timers.Now()
		for i := range leaves {
			c.announce(c.seeds[i%3], fmt.Sprint("n", i), "ready", 1)
			c.announce(c.seeds[i%3], fmt.Sprint("n", i), "leaving", 2)
			c.leave(c.seeds[(i+1)%3], fmt.Sprint("n", i), 1)
		}
		perLeave := float64(c.disks["c0"].Syncs()-syncs) / leaves
		bytes := 0
		for _, file := range c.disks["c0"].Image() {
			bytes += len(file)
		}
		t.Logf("%d leaves in %s: %.2f syncs and %.1f messages a leave, %d bytes on disk", leaves, c.timers.Now().Sub(began), perLeave, float64(c.network.Sent()-sent)/leaves, bytes)
		// One sync for each round; what another VM asks again is only read.
		assert.Assert(t, perLeave < 2.5, "%.2f syncs a leave", perLeave)
	})
}
