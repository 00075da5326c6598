package dhlease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlease"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

const lease = 10 * time.Second

// fault is a deliberate violation of a protocol rule.
type fault int

const (
	noFault fault = iota
	ignoreFencing
	ignoreClockRate
)

// simulation consists of VMs whose clocks run at different rates, and real time.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	fault         fault
	store         dhquorum.Memory
	clocks        []*dhtimer.Stepped
	rates         []float64
	holders       []*dhlease.Holder
	delayedWrites []func()
	lossy         bool
	overlaps      int
	highestToken  uint64 // highest token of an order to a backend server that ignores tokens
	orders        int
}

func newSimulation(t *testing.T, rates ...float64) *simulation {
	w := &simulation{t: t, rates: rates}
	for i := range rates {
		w.clocks = append(w.clocks, dhtimer.NewStepped())
		w.holders = append(w.holders, &dhlease.Holder{
			Registers: w, Timers: w.clocks[i], Pool: "atelier-llm", Name: fmt.Sprintf("vm-%d", i), Lease: lease,
		})
	}
	return w
}

// advance advances real time and sends an order whenever a VM may.
func (w *simulation) advance(d time.Duration) {
	const coarse, fine = 50 * time.Millisecond, 5 * time.Millisecond
	tick := coarse
	if d < coarse {
		tick = fine
	}
	for ; d > 0; d -= tick {
		for i, c := range w.clocks {
			c.Step(time.Duration(float64(tick) * w.rates[i]))
		}
		allowed := 0
		for i, h := range w.holders {
			token, ok := h.MayOrder(w.clocks[i].Now(), w.fault == ignoreFencing)
			if !ok {
				continue
			}
			allowed++
			w.orders++
			if token < w.highestToken {
				w.overlaps++
			}
			w.highestToken = max(w.highestToken, token)
		}
		if allowed > 1 {
			w.overlaps++
		}
	}
}

func (w *simulation) Update(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	if w.fault == ignoreClockRate {
		f = shortenLease(f)
	}
	if !w.lossy {
		return w.store.Update(ctx, key, f)
	}
	apply := func() ([]byte, error) { return w.store.Update(ctx, key, f) }
	w.advance(time.Duration(w.rng.IntN(100)) * time.Millisecond)
	if len(w.delayedWrites) > 0 && w.rng.IntN(3) == 0 {
		w.delayedWrites[0]()
		w.delayedWrites = w.delayedWrites[1:]
	}
	unreachable := dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	switch w.rng.IntN(10) {
	case 0:
		return nil, unreachable
	case 1:
		_, _ = apply()
		return nil, unreachable
	case 2:
		w.delayedWrites = append(w.delayedWrites, func() { _, _ = apply() })
		return nil, unreachable
	}
	value, err := apply()
	w.advance(time.Duration(w.rng.IntN(100)) * time.Millisecond)
	return value, err
}

func (w *simulation) Read(ctx context.Context, key string) ([]byte, error) {
	return w.store.Read(ctx, key)
}

// shortenLease stores leases without the allowance for clock rates.
func shortenLease(f func([]byte) ([]byte, error)) func([]byte) ([]byte, error) {
	return func(old []byte) ([]byte, error) {
		value, err := f(old)
		v := &dhpb.OrderLease{}
		if err != nil || proto.Unmarshal(value, v) != nil {
			return value, err
		}
		if v.LeaseMs == lease.Milliseconds() {
			v.LeaseMs = v.LeaseMs * 99 / 101
		}
		return proto.Marshal(v)
	}
}

func (w *simulation) acquire(i int) (uint64, dhcode.Code) {
	token, err := w.holders[i].Acquire(w.t.Context())
	return token, dhcode.Of(err)
}

// Guards against two VMs that at the same time send orders to a backend server
// that ignores tokens, and against an older holder's order after a newer one's:
// with clocks 1% fast and slow, lost responses, delayed writes, releases and
// early take-overs. Schedules with an injected fault must be detected.
func TestSchedules(t *testing.T) {
	for name, broken := range map[string]fault{"none": noFault, "ignore the fence": ignoreFencing, "ignore the clock rate": ignoreClockRate} {
		caught, orders := 0, 0
		for seed := range uint64(200) {
			w := newSimulation(t, 0.99, 1.01, 1)
			w.rng, w.fault, w.lossy = rand.New(rand.NewPCG(seed, 4)), broken, true
			for _, h := range w.holders {
				h.HolderStopped = func(string) bool { return seed%2 == 0 && w.rng.IntN(20) == 0 }
			}
			w.run()
			if broken == noFault {
				assert.Equal(t, w.overlaps, 0, "seed %d", seed)
			}
			if w.overlaps > 0 {
				caught++
			}
			orders += w.orders
		}
		t.Logf("fault %q: %d of 200 seeds caught, %d ticks with orders", name, caught, orders)
		assert.Equal(t, caught > 0, broken != noFault, name)
		assert.Assert(t, orders > 10_000)
	}
}

func (w *simulation) run() {
	renewing := -1
	for range 150 {
		w.advance(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
		i := w.rng.IntN(len(w.holders))
		h := w.holders[i]
		switch n := w.rng.IntN(20); {
		case n == 0:
			_ = h.Release(w.t.Context())
		case n == 1:
			renewing = i // the others stop renewing, as if paused
		case h.Valid(w.clocks[i].Now()):
			if renewing == i || renewing < 0 {
				_ = h.Renew(w.t.Context())
			}
		default:
			// Close to the end of a lease, tries to acquire it every 5 ms.
			_, err := h.Acquire(w.t.Context())
			if wait := dhcode.RetryAfterOf(err); wait > 0 && wait < time.Second {
				w.lossy = false
				w.advance(wait - 20*time.Millisecond)
				for range 10 {
					w.advance(5 * time.Millisecond)
					_, _ = w.acquire(i)
				}
				w.lossy = true
			}
		}
	}
}

// Guards against a lease that is measured from the response, and against a
// holder that continues after its lease has ended or was taken over.
func TestLeaseEnds(t *testing.T) {
	w := newSimulation(t, 1, 1)
	token, code := w.acquire(0)
	assert.Equal(t, code, dhcode.OK)
	assert.Equal(t, token, uint64(1))
	_, code = w.acquire(1)
	assert.Equal(t, code, dhcode.LeaseHeldElsewhere)
	w.advance(lease - time.Second)
	assert.Assert(t, w.holders[0].Valid(w.clocks[0].Now()))
	w.advance(time.Second)
	assert.Assert(t, !w.holders[0].Valid(w.clocks[0].Now()))
	_, code = w.acquire(1)
	assert.Equal(t, code, dhcode.LeaseHeldElsewhere, "the other clock may be slow")
	w.advance(lease * 3 / 100)
	token, code = w.acquire(1)
	assert.Equal(t, code, dhcode.OK)
	assert.Equal(t, token, uint64(2))
	assert.Equal(t, dhcode.Of(w.holders[0].Renew(t.Context())), dhcode.FencingTokenOld)
	_, ok := w.holders[1].MayOrder(w.clocks[1].Now(), false)
	assert.Assert(t, ok, "the older lease has certainly ended")
}

// Guards against a wait that is too short for a slow holder and a fast successor.
func TestClocksAtTheLimit(t *testing.T) {
	w := newSimulation(t, 0.99, 1.01)
	for _, h := range w.holders {
		h.Lease = 10 * time.Minute
	}
	_, _ = w.acquire(0)
	_, _ = w.acquire(1)
	w.advance(10 * time.Minute)
	for code := dhcode.LeaseHeldElsewhere; code != dhcode.OK; _, code = w.acquire(1) {
		w.advance(5 * time.Millisecond)
	}
	assert.Equal(t, w.overlaps, 0)
	assert.Assert(t, !w.holders[0].Valid(w.clocks[0].Now()))
	assert.Assert(t, w.holders[1].Valid(w.clocks[1].Now()))
}

// Guards against a wait after a release, and against orders after one.
func TestRelease(t *testing.T) {
	w := newSimulation(t, 1, 1)
	_, _ = w.acquire(0)
	assert.NilError(t, w.holders[0].Release(t.Context()))
	assert.Assert(t, !w.holders[0].Valid(w.clocks[0].Now()))
	token, code := w.acquire(1)
	assert.Equal(t, code, dhcode.OK)
	assert.Equal(t, token, uint64(2))
	_, ok := w.holders[1].MayOrder(w.clocks[1].Now(), false)
	assert.Assert(t, ok)
}

// Guards against orders to backend servers that ignore tokens while an older
// lease, which is two take-overs back and longer than the others, may not have
// ended.
func TestEarlyTakeOver(t *testing.T) {
	w := newSimulation(t, 1, 1, 1)
	w.holders[0].Lease = 4 * lease
	for i, h := range w.holders {
		h.HolderStopped = func(string) bool { return true }
		token, code := w.acquire(i)
		assert.Equal(t, code, dhcode.OK)
		assert.Equal(t, token, uint64(i+1))
	}
	assert.NilError(t, w.holders[2].Release(t.Context()))
	last := w.holders[1]
	token, code := w.acquire(1)
	assert.Equal(t, code, dhcode.OK)
	assert.Equal(t, token, uint64(4))
	for range 8 {
		_, ok := last.MayOrder(w.clocks[1].Now(), false)
		assert.Assert(t, !ok)
		_, ok = last.MayOrder(w.clocks[1].Now(), true)
		assert.Assert(t, ok)
		w.advance(lease / 2)
		assert.NilError(t, last.Renew(t.Context()))
	}
	w.advance(lease / 5)
	_, ok := last.MayOrder(w.clocks[1].Now(), false)
	assert.Assert(t, ok)
	assert.NilError(t, last.Renew(t.Context()))
	assert.NilError(t, last.Release(t.Context()))
	_, _ = w.acquire(0)
	_, ok = w.holders[0].MayOrder(w.clocks[0].Now(), false)
	assert.Assert(t, ok, "the register tells the next holder that older leases have ended")
}
