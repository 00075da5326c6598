package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// drainTime is the time after an acknowledged leave in which requests may still arrive.
const drainTime = 2 * time.Second

// Guards against late announcements that make a backend server usable again at any moment of
// restarts of all control VMs, once together with the entry VMs: they arrive all the time.
func TestLateAnnouncementsAcrossRestarts(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.configure(3)
	leaving := f.addReplica("i-1", "app", "z0", "v1")
	f.addReplica("i-2", "app", "z1", "v1")
	f.waitUntil("both replicas serve", func() bool {
		for entry := range f.entries {
			f.sendRequest(t.Context(), entry, "GET", "/look/1", "key-1")
		}
		return leaving.arrivals.Load() > 0 && f.replicas[1].arrivals.Load() > 0
	})
	leaving.state.Store("gone")
	sequence := leaving.sequence.Load()
	f.waitUntil("the leave is acknowledged", func() bool {
		status, _ := f.call(1, "POST", "Instances.Deregister/"+leaving.id, fmt.Sprintf(`{"born":%d}`, leaving.born))
		return status == http.StatusOK
	})
	left := f.timers.Now()
	background := dhgroup.New(t.Context())
	defer func() { background.Stop(); _ = background.Wait() }() // failed calls are part of the test
	background.Go(func(ctx context.Context) error {
		for i := 0; dhtimer.Sleep(ctx, f.timers, 5*time.Millisecond) == nil; i++ {
			f.announceAt(i%len(f.controls), leaving, "ready", sequence)
		}
		return nil
	})
	var served atomic.Int64
	for i := range 6 {
		background.Go(func(ctx context.Context) error {
			for dhtimer.Sleep(ctx, f.timers, 10*time.Millisecond) == nil {
				if _, got := f.sendRequest(ctx, i%len(f.entries), "GET", "/look/1", "key-1"); got.status == http.StatusOK {
					served.Add(1)
				}
			}
			return nil
		})
	}
	f.killAll(f.controls)
	assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, drainTime-f.timers.Now().Sub(left)))
	before := leaving.arrivals.Load()
	for _, list := range [][]*platformProcess{f.controls, f.controls, slices.Concat(f.controls, f.entries), f.controls[:1]} {
		f.killAll(list)
		assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 1500*time.Millisecond))
	}
	f.waitUntil("requests are served", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return got.status == http.StatusOK
	})
	assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 4*time.Second)) // a complete view of a restarted control VM
	assert.Equal(t, leaving.arrivals.Load(), before, "%d requests served", served.Load())
	assert.Assert(t, served.Load() > 0)
}
