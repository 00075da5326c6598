package dhcold_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against a burst of requests to the idle backend servers of a zone that is
// taken back in. They may have become cold while no control VM received their
// announcements. The fault occurred in simulations of core-and-cut.toml with the
// seeds 386685185194 and 265431065427.
func TestRatesBoundReturnedZones(t *testing.T) {
	timers := dhtimer.NewStepped()
	r := &dhcold.Rates{Timers: timers, VM: "vm"}
	backends := []*dhbackend.Backend{{ID: "b1", Zone: "a", Pool: "p", State: dhbackend.Ready}, {ID: "b2", Zone: "b", Pool: "p", State: dhbackend.Ready}}
	bound := dhcold.Bound{PerSecond: map[string]float64{"p": 10}, Overshoot: 1.5, Slack: 5, VMs: 1, ReturnedZones: map[string]bool{"a": true}}
	taken := func(id string) (n int) {
		for range 100 {
			if _, ok := r.Acquire(id); ok {
				n++
			}
		}
		return n
	}
	r.Update(backends, bound)
	timers.Step(3 * time.Second)
	assert.Assert(t, taken("b1") <= 20)
	assert.Equal(t, taken("b2"), 100)
	bound.ReturnedZones = nil
	r.Update(backends, bound)
	assert.Equal(t, taken("b1"), 100)
}

// Guards against a cold backend server getting more requests in any second than the
// bound, summed over few or many entry VMs that all send as many as they may.
func TestRatesBoundTotal(t *testing.T) {
	for _, vms := range []int{1, 9, 70, 300} {
		timers := dhtimer.NewStepped()
		bound := dhcold.Bound{PerSecond: map[string]float64{"p": 10}, Overshoot: 1.5, Slack: 5, VMs: vms}
		backends := []*dhbackend.Backend{{ID: "b1", Pool: "p", State: dhbackend.Cold}, {ID: "b2", Pool: "p", State: dhbackend.Ready}}
		var all []*dhcold.Rates
		for i := range vms {
			r := &dhcold.Rates{Timers: timers, VM: fmt.Sprint("vm", i)}
			r.Update(backends, bound)
			_, ok := r.Acquire("b1")
			assert.Assert(t, !ok, "a VM that has just started is not counted by the others")
			all = append(all, r)
		}
		timers.Step(3 * time.Second)
		var sent []time.Time
		for range 300 {
			for _, r := range all {
				if _, ok := r.Acquire("b1"); ok {
					sent = append(sent, timers.Now())
				}
				_, ok := r.Acquire("b2")
				assert.Assert(t, ok)
			}
			timers.Step(10 * time.Millisecond)
		}
		assert.Assert(t, len(sent) > 0, "%d VMs send nothing", vms)
		for i := range sent {
			in := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < time.Second {
					in++
				}
			}
			assert.Assert(t, in <= 20, "%d VMs send %d in a second", vms, in)
		}
	}
}
