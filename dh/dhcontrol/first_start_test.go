package dhcontrol_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhtimer"
)

// startFirst starts VMs for the first time, one after the other, on disks whose syncs take
// time.
func (c *cluster) startFirst(names ...string) {
	const startGap, syncTime = 10 * time.Millisecond, 3 * time.Millisecond
	for _, name := range names {
		c.disks[name] = &dhdisk.Memory{BeforeSync: func() {
			_ = dhtimer.Sleep(context.Background(), c.timers, syncTime) // never cancelled
		}}
		c.startControl(name, true)
		c.advance(startGap)
	}
}

// begun reports whether a VM has written to its disk.
func (c *cluster) begun(name string) bool { return len(c.disks[name].Image()) > 0 }

// voterSetExists reports whether a voter serves in a set.
func (c *cluster) voterSetExists() bool {
	for _, name := range c.seeds {
		if v, err := c.controls[name].Voter(); err == nil && v.Status().Set.Serving() {
			return true
		}
	}
	return false
}

// Guards against a system that never takes a configuration because all control VMs are killed,
// or lose power, during their first start, before the first voter set was made (review case 9).
func TestInterruptedFirstStartIsFinished(t *testing.T) {
	for _, losesPower := range []bool{false, true} {
		for after := time.Duration(0); ; after += 2 * time.Millisecond {
			whole := false
			t.Run(fmt.Sprintf("loses power %v, after %v", losesPower, after), func(t *testing.T) {
				runCluster(t, func(c *cluster) {
					c.crash(c.seeds...)
					c.startFirst(c.seeds...)
					c.advance(after)
					whole = c.voterSetExists()
					for _, name := range c.seeds {
						c.nodes[name].Crash()
						if losesPower {
							c.disks[name].Crash()
						}
					}
					assert.Assert(t, c.begun("c0"))
					for _, name := range c.seeds {
						c.startControl(name, false)
					}
					end := c.timers.Now().Add(recoveryTime)
					for c.replace("c0", 1) != nil {
						assert.Assert(t, c.timers.Now().Before(end), "no configuration is acknowledged")
						c.advance(100 * time.Millisecond)
					}
					text, err := c.read("c2")
					assert.NilError(t, err)
					assert.Equal(t, text, "1")
				})
			})
			if whole || t.Failed() {
				assert.Assert(t, after > 0 || t.Failed(), "the first set is made at once")
				break
			}
		}
	}
}

// Guards against a second voter set that is created beside the one in service: by VMs that do
// not have their disks since the first start, or that are none of the first voters, after the
// first voters were replaced and have lost their disks.
func TestOnlyFirstVotersFinishFirstStart(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.crash(c.seeds...)
		c.startFirst("c0", "c1", "c2", "c3")
		c.nodes["c3"].Crash() // before it has learned of a set
		c.waitFor(recoveryTime, "the first set", func() bool { return c.voterSetExists() })
		assert.Assert(t, c.begun("c3"))
		for _, name := range c.seeds {
			c.nodes[name].Crash()
			c.disks[name].Restore(nil)
			c.startControl(name, false)
		}
		c.startControl("c3", false)
		created := dhfake.Drive(c.timers, recoveryTime, c.voterSetExists)
		assert.Assert(t, !created, "a second set was created")
	})
}
