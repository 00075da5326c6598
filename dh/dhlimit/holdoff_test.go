package dhlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a longer pause that a shorter one cuts off, a leave that ends
// before its instance is gone, and one that holds for another instance.
func TestHoldOffs(t *testing.T) {
	now := time.Unix(1000, 0)
	var h HoldOffs
	assert.Assert(t, h.Of("b", 1).Permits(now, 0.99))

	h.Pause("b", 1, now, 3*time.Second)
	h.Pause("b", 1, now.Add(time.Second), time.Second)
	assert.Assert(t, !h.Of("b", 1).Permits(now.Add(2900*time.Millisecond), 0))
	assert.Assert(t, h.Of("b", 1).Permits(now.Add(3*time.Second), 0))
	assert.Assert(t, !h.Of("b", 1).Permits(now.Add(3*time.Second), 0.5))
	assert.Assert(t, h.Of("b", 1).Permits(now.Add(4*time.Second), 0.99))
	assert.Assert(t, h.Of("b", 2).Permits(now, 0.99)) // started again
	assert.Assert(t, h.Of("c", 1).Permits(now, 0.99))

	assert.Assert(t, h.Leave("b", 1, now))
	assert.Assert(t, !h.Leave("b", 1, now))
	assert.Assert(t, !h.Of("b", 1).Permits(now.Add(24*time.Hour), 0))
	assert.Assert(t, h.Of("b", 1).Ends().IsZero())
	assert.Assert(t, h.Of("b", 2).Permits(now, 0))
	h.Pause("b", 2, now, time.Second)
	assert.Assert(t, !h.Of("b", 1).Permits(now, 0))
	assert.Assert(t, h.Of("b", 2).Permits(now.Add(2*time.Second), 0.99))
	assert.Assert(t, h.Of("b", 3).Permits(now, 0))

	h.Pause("d", 1, now, 1<<62)
	assert.Assert(t, h.Of("d", 1).Permits(now.Add(2*maxHoldOff), 0.99))
}

// Guards against a table that grows with each backend server that ever left.
func TestHoldOffsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var h HoldOffs
	rows := make(map[string]HoldOff, maxHoldOffs)
	for i := range maxHoldOffs {
		rows[time.Duration(i).String()] = HoldOff{incarnation: 1}.WithLeaving(now)
	}
	h.rows.Store(&rows)
	h.Pause("b", 1, now.Add(leaveKept+time.Second), time.Second)
	assert.Equal(t, len(*h.rows.Load()), 1)
}

// Answers the pattern of entry VMs that a backend server turned away together
// and that come back together. The model is a server with 8 places, each taken
// for 100 ms, before VMs that would send it 60 requests/s together. It counts
// the requests of the first 100 ms after the pause, of those that waited for it
// too. All at once brings them within milliseconds, one trial a VM as many as
// there are VMs; the ramp brings what the server bears.
func TestRequestsReturnGraduallyAfterPause(t *testing.T) {
	const (
		rate    = 60.0 // requests/s of all VMs
		waiting = 40   // requests that prefer this server when the pause ends
		places  = 8
		pause   = 2 * time.Second
		step    = 10 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	for _, vms := range []int{6, 72} {
		first := map[string]int{}
		tried := make(map[int]bool)
		holdOff := HoldOff{incarnation: 1}.WithPause(start, pause)
		for at := time.Duration(0); at < 100*time.Millisecond; at += step {
			n := int(rate*step.Seconds() + random.Float64())
			if at == 0 {
				n += waiting
			}
			for range n {
				first["at once"]++
				if vm := random.IntN(vms); !tried[vm] {
					tried[vm] = true
					first["trials"]++
				}
				if holdOff.Permits(start.Add(pause+at), random.Float64()) {
					first["ramp"]++
				}
			}
		}
		t.Log(vms, "VMs, requests in the first 100 ms:", first)
		assert.Assert(t, first["at once"] > 4*places)
		assert.Assert(t, first["ramp"] <= places)
		assert.Assert(t, vms < places || first["trials"] > places)
	}
}
