package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// oldProgram is the environment variable with the path of an earlier build of the daemon.
const oldProgram = "DANDELIONHOISTD_OLD_PROGRAM"

// exchange stops a process as planned and starts it with a program; an empty one stands for
// the present build.
func (f *fleet) exchange(program string, list ...*platformProcess) {
	f.t.Helper()
	for _, p := range list {
		assert.NilError(f.t, p.command.Process.Signal(syscall.SIGTERM))
		<-p.exited
		p.program = program
		f.start(p)
		assert.NilError(f.t, dhtimer.Sleep(f.t.Context(), f.timers, time.Second))
	}
}

// killAll kills processes at once and starts them again.
func (f *fleet) killAll(list []*platformProcess) {
	f.t.Helper()
	for _, p := range list {
		assert.NilError(f.t, p.command.Process.Kill())
	}
	for _, p := range list {
		<-p.exited
		f.start(p)
	}
}

// Guards against an earlier build that does not understand what the present one says or
// writes, or the other way round, while VMs are exchanged one after the other and back:
// documents, leaves and requests that may run once. It needs an earlier build.
func TestExchangeOfPrograms(t *testing.T) {
	old := os.Getenv(oldProgram)
	if old == "" {
		t.Skip(oldProgram + " names no earlier build")
	}
	for _, controlsFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("control VMs first ", controlsFirst), func(t *testing.T) {
			f := newFleet(t, 3, 2)
			f.exchange(old, slices.Concat(f.controls, f.entries)...)
			f.configure(3)
			var leaving []*replica
			for i := range 6 {
				leaving = append(leaving, f.addReplica(fmt.Sprint("i-", i), "app", fmt.Sprint("z", i%2), "v1"))
			}
			f.waitUntil("the pool serves", func() bool {
				_, a := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
				_, b := f.sendRequest(t.Context(), 1, "GET", "/look/1", "key-1")
				return a.status == http.StatusOK && b.status == http.StatusOK
			})
			var orders sync.Map
			var served, all atomic.Int64
			traffic := dhgroup.New(t.Context())
			defer func() { traffic.Stop(); _ = traffic.Wait() }() // its requests do not fail the test
			for i := range 8 {
				traffic.Go(func(ctx context.Context) error {
					for dhtimer.Sleep(ctx, f.timers, 20*time.Millisecond) == nil {
						id, got := f.sendRequest(ctx, i%2, "GET", "/order/1", "key-1")
						orders.Store(id, true)
						if all.Add(1); got.status == http.StatusOK {
							served.Add(1)
						}
					}
					return nil
				})
			}
			// leave deregisters a replica, which goes on serving, and returns its last
			// announcement but one, which arrives late.
			leave := func(r *replica, draining bool) (late func()) {
				r.state.Store("gone")
				sequence := r.sequence.Add(1)
				f.waitUntil("the leave is acknowledged", func() bool {
					if draining {
						return f.announce(int(all.Load())%3, r, "draining") == http.StatusOK
					}
					status, _ := f.call(int(all.Load())%3, "POST", "Instances.Deregister/"+r.id, fmt.Sprintf(`{"born":%d}`, r.born))
					return status == http.StatusOK
				})
				return func() { f.announceAt(0, r, "ready", sequence); f.announceAt(1, r, "ready", sequence) }
			}
			first, second := f.controls, f.entries
			if !controlsFirst {
				first, second = second, first
			}
			f.exchange("", first[:1]...)
			lates := []func(){leave(leaving[0], false), leave(leaving[1], true)}
			f.configure(10)
			f.exchange("", first[1:]...)
			f.exchange("", second...)
			f.configure(17)
			lates = append(lates, leave(leaving[2], false), leave(leaving[3], true))
			assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 2*time.Second))
			f.killAll(f.controls)
			for _, late := range lates {
				f.waitUntil("a control VM answers", func() bool { status, _ := f.call(0, "GET", "Config.Read", ""); return status == http.StatusOK })
				late()
			}
			assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 4*time.Second))
			before := make([]int64, 4)
			for i, r := range leaving[:4] {
				before[i] = r.arrivals.Load()
			}
			assert.NilError(t, dhtimer.Sleep(t.Context(), f.timers, 2*time.Second))
			for i, r := range leaving[:4] {
				assert.Equal(t, r.arrivals.Load(), before[i], "%s gets requests after its leave", r.id)
			}
			f.exchange(old, slices.Concat(first, second)...) // back
			f.waitUntil("the configuration is read back", func() bool {
				_, text := f.call(0, "GET", "Config.Read", "")
				return text == testConfiguration(17, `"key-1"`)
			})
			f.waitUntil("requests are served", func() bool {
				_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
				return got.status == http.StatusOK
			})
			orders.Range(func(id, _ any) bool {
				assert.Assert(t, f.executions(id.(string)) <= 1, "%s ran %d times", id, f.executions(id.(string)))
				return true
			})
			t.Logf("%d of %d orders served", served.Load(), all.Load())
			assert.Assert(t, 10*served.Load() > 9*all.Load())
		})
	}
}
