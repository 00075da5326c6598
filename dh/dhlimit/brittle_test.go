package dhlimit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against shares of a brittle backend server that together are more than its slots,
// or that leave some of them to nobody (rule LIMIT).
func TestBrittleSharesAreTheSlots(t *testing.T) {
	for _, c := range []struct{ slots, vms int }{{4, 9}, {64, 9}, {64, 283}, {6, 8}, {9, 9}, {1, 1}, {0, 5}} {
		b := &dhlimit.Brittle{Timers: dhtimer.NewStepped()}
		b.Observe("p", 3, true)
		for server := range 5 {
			total := 0
			for rank := range c.vms {
				load := dhlimit.Load{Slots: c.slots, PerSecond: 1000}
				for b.Permits("p", fmt.Sprint("b", server), load, rank, c.vms) {
					load.Own++
					total++
				}
			}
			assert.Equal(t, total, c.slots, "%d slots, %d VMs", c.slots, c.vms)
		}
	}
}

// Guards against a VM that goes on sending to a brittle backend server that refuses, against
// one that never returns, and against a pool that stays brittle when it no longer says so.
func TestBrittleRests(t *testing.T) {
	timers := dhtimer.NewStepped()
	b := &dhlimit.Brittle{Timers: timers}
	free := dhlimit.Load{Slots: 64}
	full := dhlimit.Load{Slots: 64, Own: 64, All: 64}
	assert.Assert(t, b.Permits("p", "x", full, 0, 9), "not brittle")
	assert.Assert(t, b.Observe("p", 4, true) && !b.Observe("p", 4, true))
	assert.Assert(t, b.Permits("p", "x", free, 0, 9) && !b.Permits("p", "x", full, 0, 9) && b.Permits("q", "y", full, 0, 9))
	b.Refused("p", "x", 9)
	assert.Assert(t, !b.Permits("p", "x", free, 0, 9) && b.Permits("p", "z", free, 0, 9))
	timers.Step(4 * time.Second)
	assert.Assert(t, b.Permits("p", "x", free, 0, 9))
	assert.Assert(t, b.Observe("p", 0, false) && b.Permits("p", "x", full, 0, 9))
}
