package dhlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a short pause that ends an earlier, longer one, a leave that
// expires while its instance still runs, and a leave that applies to another
// instance.
func TestHoldOffs(t *testing.T) {
	now := time.Unix(1000, 0)
	var h HoldOffs
	assert.Assert(t, h.Get("b", 1).Permits(now, 0.99))

	h.RecordPause("b", 1, now, 3*time.Second)
	h.RecordPause("b", 1, now.Add(time.Second), time.Second)
	assert.Assert(t, !h.Get("b", 1).Permits(now.Add(2900*time.Millisecond), 0))
	assert.Assert(t, h.Get("b", 1).Permits(now.Add(3*time.Second), 0))
	assert.Assert(t, !h.Get("b", 1).Permits(now.Add(3*time.Second), 0.5))
	assert.Assert(t, h.Get("b", 1).Permits(now.Add(4*time.Second), 0.99))
	assert.Assert(t, h.Get("b", 2).Permits(now, 0.99)) // started again
	assert.Assert(t, h.Get("c", 1).Permits(now, 0.99))

	assert.Assert(t, h.RecordLeave("b", 1, now))
	assert.Assert(t, !h.RecordLeave("b", 1, now))
	assert.Assert(t, !h.Get("b", 1).Permits(now.Add(24*time.Hour), 0))
	assert.Assert(t, h.Get("b", 1).Ends().IsZero())
	assert.Assert(t, h.Get("b", 2).Permits(now, 0))
	h.RecordPause("b", 2, now, time.Second)
	assert.Assert(t, !h.Get("b", 1).Permits(now, 0))
	assert.Assert(t, h.Get("b", 2).Permits(now.Add(2*time.Second), 0.99))
	assert.Assert(t, h.Get("b", 3).Permits(now, 0))

	h.RecordPause("d", 1, now, 1<<62)
	assert.Assert(t, h.Get("d", 1).Permits(now.Add(2*maxHoldOff), 0.99))
}

// Guards against a table that keeps an entry for every backend server that ever left.
func TestHoldOffsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var h HoldOffs
	rows := make(map[string]HoldOff, maxHoldOffs)
	for i := range maxHoldOffs {
		rows[time.Duration(i).String()] = HoldOff{incarnation: 1}.WithLeaving(now)
	}
	h.byBackend.Store(&rows)
	h.RecordPause("b", 1, now.Add(leaveRetention+time.Second), time.Second)
	assert.Equal(t, len(*h.byBackend.Load()), 1)
}

// Guards against entry VMs that a backend server refused at the same time and
// that return at the same time. The model is a backend server with 8 slots, each
// in use for 100 ms per request, and VMs that together send it 60 requests/s. The
// test counts the requests of the first 100 ms after the pause, including those
// that waited for its end. Without a limit they all arrive within milliseconds,
// and with one trial per VM as many arrive as there are VMs; with the ramp only
// as many as the server can take.
func TestRequestsReturnGraduallyAfterPause(t *testing.T) {
	const (
		rate    = 60.0 // requests/s of all VMs
		waiting = 40   // requests that prefer this server when the pause ends
		slots   = 8
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
		assert.Assert(t, first["at once"] > 4*slots)
		assert.Assert(t, first["ramp"] <= slots)
		assert.Assert(t, vms < slots || first["trials"] > slots)
	}
}
