package dhcontrol_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhfake"
)

// applyBound is the time within which an acknowledged document must be in force at all entry
// VMs that reach the control VMs.
const applyBound = 2 * time.Second

// everywhere returns a function that reports whether something holds for all entry VMs.
func (c *cluster) everywhere(holds func(entry string) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(slices.Collect(maps.Keys(c.entries)), func(entry string) bool { return !holds(entry) })
	}
}

// runApply runs f with ten control VMs, three of them in zone z0, and five entry VMs in that
// zone. Acknowledge puts the next document in force through a control VM of another zone.
func runApply(t *testing.T, f func(c *cluster, zone []string, acknowledge func())) {
	t.Helper()
	runCluster(t, func(c *cluster) {
		c.zones, c.tolerated = make(map[string]string), 2
		zone, version := []string{"c0", "c3", "c6"}, uint64(5)
		for i := 3; i < 10; i++ {
			name := fmt.Sprint("c", i)
			c.zones[name] = fmt.Sprint("z", min(i, 8)%3)
			c.startControl(name, false)
		}
		c.waitFor(3*time.Second, "the first document", func() bool { return c.replace("c1", version) == nil })
		for i := range 5 {
			name := fmt.Sprint("e", i)
			c.zones[name] = "z0"
			c.startEntry(name)
		}
		c.advance(15 * time.Second) // the entry VMs move to the control VMs of their zone
		f(c, zone, func() {
			version++
			assert.NilError(c.t, c.replace("c1", version))
			acknowledged := c.timers.Now()
			inForce := dhfake.Drive(c.timers, 5*applyBound, c.everywhere(func(entry string) bool { return c.version(entry) >= version }))
			took := c.timers.Now().Sub(acknowledged)
			assert.Check(c.t, inForce && took <= applyBound, "document %d: in force %t %s after its acknowledgement", version, inForce, took)
		})
	})
}

// Guards against an entry VM that handles requests by an old document because the control VMs
// of its zone fall silent, and each delays the call of the next.
func TestDocumentIsInForceDespiteSilentControlVMs(t *testing.T) {
	runApply(t, func(c *cluster, zone []string, acknowledge func()) {
		for range 4 {
			c.network.Partition(zone)
			acknowledge()
			c.advance(3 * time.Second)
			c.network.Partition()
			c.advance(15 * time.Second)
		}
	})
}

// Guards against requests to a backend server whose leave has been acknowledged, from entry
// VMs that do not hear of it because the control VMs of their zone fall silent.
func TestLeaveIsKnownDespiteSilentControlVMs(t *testing.T) {
	runApply(t, func(c *cluster, zone []string, _ func()) {
		for i := range 3 {
			id := fmt.Sprint("b", i)
			c.announce("c1", id, "ready", 1)
			c.waitFor(2*time.Second, "the backend server at all entry VMs", c.everywhere(func(entry string) bool { return c.backendCount(entry) == 1 }))
			c.network.Partition(zone)
			c.announce("c1", id, "leaving", 2)
			acknowledged := c.timers.Now()
			known := dhfake.Drive(c.timers, 5*applyBound, c.everywhere(func(entry string) bool { return c.backendCount(entry) == 0 }))
			took := c.timers.Now().Sub(acknowledged)
			assert.Check(t, known && took <= applyBound, "leave of %s: known %t %s after its acknowledgement", id, known, took)
			c.network.Partition()
			c.advance(15 * time.Second)
		}
	})
}

// Guards against an entry VM that handles requests by an old document because the answers to
// its calls come late, over a link with much traffic, and are not used.
func TestDocumentIsInForceOverSlowLink(t *testing.T) {
	runApply(t, func(c *cluster, _ []string, acknowledge func()) {
		for name := range c.entries {
			c.network.Delay(name, 400*time.Millisecond)
		}
		c.advance(3 * time.Second)
		for range 4 {
			acknowledge()
			c.advance(time.Second)
		}
	})
}
