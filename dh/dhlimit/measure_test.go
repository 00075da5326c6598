package dhlimit

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	measure   = flag.Bool("measure", false, "run the measurements")
	firstSeed = flag.Uint64("first-seed", 1000, "first seed of the measurements; below 1000 for tuning")
)

// The queueing model: a pool of 160 slots divided among 9 VMs, and ten accounts,
// two of which request far more than their share.
const (
	modelVMs           = 9
	modelSlots         = 160
	modelAccounts      = 10
	modelHeavyAccounts = 2
	modelTick          = 10 * time.Millisecond
	modelDuration      = 150 * time.Second
	modelWarmUp        = 30 * time.Second
	// longestWait is how long before the end the last counted requests arrive,
	// so that all of them are granted or refused.
	longestWait = 20 * time.Second
)

type class struct {
	name     string
	priority int
	mean     time.Duration
	deadline time.Duration
	fraction float64
}

var classes = []class{
	{"plan", 5, 6 * time.Second, 20 * time.Second, 0.3},
	{"question", 3, 1500 * time.Millisecond, 5 * time.Second, 0.7},
}

// modelRequest is one request of the model.
type modelRequest struct {
	account int
	class   class
	run     time.Duration
	arrived time.Duration
	retries int
	vm      int
	waiter  *waiter
	limits  *account
	started time.Duration
	until   time.Duration
	late    bool
}

// policy decides when a request starts; the test compares several policies.
type policy interface {
	// offer submits a request and returns the retry-after if it is refused.
	offer(a *modelRequest, now time.Duration) (refused bool, retryAfter time.Duration)
	// started returns the waiting requests that start now and those that are refused.
	started(now time.Duration) (start, refused []*modelRequest)
	ended(a *modelRequest, now time.Duration)
}

type result struct {
	good, wasted, possible time.Duration
	served, asked          [2]int // accounts within their share, others
	refusals, retries      [2]int
}

type events []*modelRequest

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].until < e[j].until }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(*modelRequest)) }
func (e *events) Pop() any {
	old := *e
	a := old[len(old)-1]
	*e = old[:len(old)-1]
	return a
}

// simulate runs a policy under the given load, which is a multiple of the capacity.
func simulate(p policy, load float64, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 3))
	mean := 0.0
	for _, c := range classes {
		mean += c.fraction * c.mean.Seconds()
	}
	total := load * modelSlots / mean // requests/s
	// The accounts within their share request 4% of the capacity each.
	lightRate := 0.04 * modelSlots / mean
	heavyRate := (total - lightRate*(modelAccounts-modelHeavyAccounts)) / modelHeavyAccounts
	r := result{}
	var running, retrying events
	begin := func(a *modelRequest, now time.Duration) {
		a.until = min(now+a.run, a.arrived+a.class.deadline)
		a.late = now+a.run > a.arrived+a.class.deadline
		a.started = now
		heap.Push(&running, a)
	}
	refuse := func(a *modelRequest, now, after time.Duration) {
		group := group(a)
		r.refusals[group]++
		if a.retries < 2 && now+after < a.arrived+a.class.deadline {
			a.retries++
			r.retries[group]++
			a.until = now + time.Duration(float64(after)*(1+0.2*random.Float64()))
			heap.Push(&retrying, a)
		}
	}
	offer := func(a *modelRequest, now time.Duration) {
		if rejected, after := p.offer(a, now); rejected {
			refuse(a, now, after)
		}
	}
	for now := time.Duration(0); now < modelDuration; now += modelTick {
		for len(running) > 0 && running[0].until <= now {
			a := heap.Pop(&running).(*modelRequest)
			r.add(a)
			p.ended(a, now)
		}
		for len(retrying) > 0 && retrying[0].until <= now {
			offer(heap.Pop(&retrying).(*modelRequest), now)
		}
		for account := range modelAccounts {
			rate := lightRate
			if account < modelHeavyAccounts {
				rate = heavyRate
			}
			for range poisson(random, rate*modelTick.Seconds()) {
				c := classes[0]
				if random.Float64() > c.fraction {
					c = classes[1]
				}
				a := &modelRequest{account: account, class: c, arrived: now, vm: random.IntN(modelVMs)}
				// Half of the mean run time is fixed and half is random; the bound models max-tokens.
				a.run = time.Duration(float64(c.mean) * min(0.5+0.5*random.ExpFloat64(), 3))
				if a.counted() {
					r.asked[group(a)]++
				}
				offer(a, now)
			}
		}
		start, refused := p.started(now)
		for _, a := range start {
			begin(a, now)
		}
		for _, a := range refused {
			refuse(a, now, dhcode.RetryAfterOf(a.waiter.err))
		}
	}
	for _, a := range running {
		r.add(a)
	}
	r.possible = time.Duration(min(load, 1) * modelSlots * float64(modelDuration-modelWarmUp))
	return r
}

// add counts the run time of a request between the warm-up and the end.
func (r *result) add(a *modelRequest) {
	spent := max(min(a.until, modelDuration)-max(a.started, modelWarmUp), 0)
	if a.late {
		r.wasted += spent
		return
	}
	r.good += spent
	if a.counted() {
		r.served[group(a)]++
	}
}

func (a *modelRequest) counted() bool {
	return a.arrived >= modelWarmUp && a.arrived < modelDuration-longestWait
}

func group(a *modelRequest) int {
	if a.account < modelHeavyAccounts {
		return 1
	}
	return 0
}

func poisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, random.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= random.Float64()
	}
	return n
}

// limiters is the policy that this package implements, with one Limiter per VM.
type limiters struct {
	timers   *dhtimer.Stepped
	vms      []*Limiter
	waiting  []*modelRequest
	lastStep time.Duration
}

func newLimiters() *limiters {
	p := &limiters{timers: dhtimer.NewStepped()}
	for vm := range modelVMs {
		l := &Limiter{Timers: p.timers}
		l.SetMembers(Members{Alive: modelVMs, Known: modelVMs, Rank: vm})
		slots := modelSlots / modelVMs
		if vm < modelSlots%modelVMs {
			slots++
		}
		l.SetSlots("p", slots)
		p.vms = append(p.vms, l)
	}
	return p
}

func (p *limiters) offer(a *modelRequest, now time.Duration) (bool, time.Duration) {
	p.timers.Step(now - p.lastStep)
	p.lastStep = now
	w, limits, err := p.vms[a.vm].enqueue(Request{
		Account: dhtable.Account{Name: fmt.Sprint("account-", a.account), Weight: 1},
		Class:   a.class.name, Pool: "p", Priority: a.class.priority, Deadline: a.arrived + a.class.deadline - now,
	})
	if err != nil {
		return true, dhcode.RetryAfterOf(err)
	}
	a.waiter, a.limits = w, limits
	p.waiting = append(p.waiting, a)
	return false, 0
}

func (p *limiters) started(now time.Duration) (start, refused []*modelRequest) {
	if now%(100*time.Millisecond) == 0 {
		for _, l := range p.vms {
			l.Tick()
		}
	}
	kept := p.waiting[:0]
	for _, a := range p.waiting {
		select {
		case <-a.waiter.decided:
			if a.waiter.err != nil {
				p.vms[a.vm].releaseAccount(a.limits)
				refused = append(refused, a)
			} else {
				start = append(start, a)
			}
		default:
			kept = append(kept, a)
		}
	}
	p.waiting = kept
	return start, refused
}

func (p *limiters) ended(a *modelRequest, now time.Duration) {
	p.timers.Step(now - p.lastStep)
	p.lastStep = now
	p.vms[a.vm].release(a.waiter, a.limits, true)
}

// fifo is the baseline policy: one bounded FIFO queue per VM. If drop is set, it
// drops requests whose deadline has passed.
type fifo struct {
	length  int
	drop    bool
	free    [modelVMs]int
	waiting [modelVMs][]*modelRequest
}

func newFIFO(length int, drop bool) *fifo {
	p := &fifo{length: length, drop: drop}
	for vm := range modelVMs {
		p.free[vm] = modelSlots / modelVMs
		if vm < modelSlots%modelVMs {
			p.free[vm]++
		}
	}
	return p
}

func (p *fifo) offer(a *modelRequest, _ time.Duration) (bool, time.Duration) {
	if len(p.waiting[a.vm]) >= p.length {
		return true, time.Second
	}
	p.waiting[a.vm] = append(p.waiting[a.vm], a)
	return false, 0
}

func (p *fifo) started(now time.Duration) (start, refused []*modelRequest) {
	for vm := range modelVMs {
		for p.free[vm] > 0 && len(p.waiting[vm]) > 0 {
			a := p.waiting[vm][0]
			p.waiting[vm] = p.waiting[vm][1:]
			if p.drop && now >= a.arrived+a.class.deadline {
				continue
			}
			p.free[vm]--
			start = append(start, a)
		}
	}
	return start, nil
}

func (p *fifo) ended(a *modelRequest, _ time.Duration) { p.free[a.vm]++ }

// Measures goodput relative to capacity, and guards against overload that wastes
// slots on late answers or starves accounts within their share.
func TestMeasureOverload(t *testing.T) {
	seeds := 1
	if *measure {
		seeds = 10
	}
	policies := []struct {
		name string
		make func() policy
	}{
		{"limiter", func() policy { return newLimiters() }},
		{"fifo of 16, drops late", func() policy { return newFIFO(16, true) }},
		{"fifo of 1024, drops late", func() policy { return newFIFO(1024, true) }},
		{"no queue", func() policy { return newFIFO(1, true) }},
	}
	for _, load := range []float64{0.8, 1.2, 2} {
		for _, c := range policies {
			var sum result
			for seed := range uint64(seeds) {
				r := simulate(c.make(), load, *firstSeed+seed)
				sum.good += r.good
				sum.wasted += r.wasted
				sum.possible += r.possible
				for g := range 2 {
					sum.served[g] += r.served[g]
					sum.asked[g] += r.asked[g]
					sum.refusals[g] += r.refusals[g]
				}
			}
			goodput := float64(sum.good) / float64(sum.possible)
			wasted := float64(sum.wasted) / float64(sum.good+sum.wasted)
			inShare := float64(sum.served[0]) / float64(sum.asked[0])
			t.Logf("load %.1f %-25s goodput %5.1f%% of what is possible, work for late answers %4.1f%%, served within share %5.1f%%, others %5.1f%%",
				load, c.name, 100*goodput, 100*wasted, 100*inShare, 100*float64(sum.served[1])/float64(sum.asked[1]))
			if c.name == "limiter" && load == 2 {
				assert.Assert(t, goodput >= 0.95 && wasted < 0.02 && inShare > 0.97)
			}
		}
	}
}
