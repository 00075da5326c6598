package dhlimit

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// busyOccupancy is the occupancy from which the demands on a pool are told, so that
	// the sums are known when the pool is full. Nothing is refused below it.
	busyOccupancy = 0.5
	// fullOccupancy is the occupancy from which a pool is contended: then requests wait
	// at its backend servers. It stays contended until the occupancy is below
	// freeOccupancy, so that it does not change with each sum.
	fullOccupancy, freeOccupancy = 1.0, 0.9
	// occupancyTimeConstant is the time constant of the moving average of the occupancy.
	// One sum mixes reports of the last 0.3 s and is noisy in a small pool.
	occupancyTimeConstant = 500 * time.Millisecond
	// minFullSums is the number of sums in succession that must show a full pool of short
	// requests. After one, a burst may be over: backend servers of 30 ms per request empty
	// full queues in 150 ms.
	minFullSums = 2
	// minQueue and maxQueue bound how many requests per slot are to wait under contention.
	// With 0.25 instead of 1.5 for all pools, 2 to 4 in 100 of the slots of a plain pool
	// stayed free in the model; plain backend servers have a queue of 4 per slot.
	minQueue, maxQueue = 0.2, 1.5
	// maxCapacity is the part of the slots that requests may demand while fewer wait. It is
	// above 1, since the time that a request holds a slot is measured at this VM and is a
	// little too long; with 1.2, 2 in 100 requests were refused by full plain backend
	// servers in the model, instead of 1.
	maxCapacity = 1.1
	// minCapacity is the least part of the slots that requests may demand while too many
	// wait, so that the queue is gone within the time of a few requests. minShortCapacity is
	// the same if requests are too short for the sums to tell how many wait.
	minCapacity, minShortCapacity = 0.5, 0.9
	// sumsTTL is how long sums are used. Without newer ones a VM refuses nothing by share.
	sumsTTL = 1500 * time.Millisecond
	// minRetryPassRate limits the hint to return to a multiple of the time for which a
	// slot is held.
	minRetryPassRate = 0.2
	// maxReturn is the longest hint to return: demand changes within seconds.
	maxReturn = 3 * time.Second
)

// PoolTotals are totals over the backend servers of a pool that could serve. Running
// includes requests that wait there, of all VMs, 0.4 to 0.7 s ago.
type PoolTotals struct{ Slots, Running int }

func (t PoolTotals) occupancy() float64 { return float64(t.Running) / float64(max(t.Slots, 1)) }

// Verdict is what a VM knows about a pool of which at least half of the slots are taken.
// It is immutable.
type Verdict struct {
	Totals PoolTotals
	// Occupancy is the moving average of running and waiting requests per slot. Demand
	// is the number of slots that the requests of all VMs demand, Capacity how many they
	// get.
	Occupancy, Demand, Capacity float64
	// Target is the occupancy that is aimed at under contention.
	Target float64
	// Contended is set if requests are refused by share.
	Contended bool
	// Backlog is the expected time until a slot is free for a request that is sent now,
	// Hold the mean time that a request holds one.
	Backlog, Hold time.Duration

	at time.Time
	// rates holds the pass rates of accounts and ranks; those that are not listed pass.
	rates map[demandKey]float64
}

// Contention judges which pools are contended. The zero value is ready to use. Update is
// called by one goroutine, Verdict by several.
type Contention struct {
	verdicts atomic.Pointer[map[string]*Verdict]
	// occupancy holds the moving averages by pool, full the number of sums in succession
	// that showed a full pool.
	occupancy map[string]float64
	full      map[string]int
	updated   time.Time
}

// News is what a VM has learned about all VMs' use of the pools.
type News struct {
	Totals map[string]PoolTotals
	// Demands are sums over all VMs; Summed is set if the control VM sums them.
	Demands []Demand
	Summed  bool
	// Weight returns the weight of an account.
	Weight func(account string) float64
	// MaxWait is by pool how long requests may wait for a slot without being late.
	MaxWait map[string]time.Duration
}

// Change tells that a pool has become contended, or no longer is.
type Change struct {
	Pool    string
	Verdict *Verdict
}

// Update judges all pools by the newest totals and sums.
func (c *Contention) Update(now time.Time, n News) []Change {
	weight := 1.0
	if !c.updated.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(c.updated))/float64(occupancyTimeConstant))
	}
	c.updated = now
	before := c.all()
	occupancy := make(map[string]float64, len(n.Totals))
	full := make(map[string]int)
	verdicts := make(map[string]*Verdict)
	byPool := make(map[string][]Demand)
	for _, d := range n.Demands {
		byPool[d.Pool] = append(byPool[d.Pool], d)
	}
	var changes []Change
	for pool, totals := range n.Totals {
		if totals.Slots <= 0 {
			continue
		}
		average := totals.occupancy()
		if old, known := c.occupancy[pool]; known {
			average = old + weight*(average-old)
		}
		occupancy[pool] = average
		if totals.occupancy() >= fullOccupancy {
			full[pool] = c.full[pool] + 1
		}
		if max(average, totals.occupancy()) < busyOccupancy {
			continue
		}
		v := &Verdict{Totals: totals, Occupancy: average, at: now}
		if n.Summed {
			v.judge(byPool[pool], n.Weight, n.MaxWait[pool], full[pool], before[pool] != nil && before[pool].Contended)
		}
		verdicts[pool] = v
		if v.Contended != (before[pool] != nil && before[pool].Contended) {
			changes = append(changes, Change{pool, v})
		}
	}
	for pool, v := range before {
		if v.Contended && verdicts[pool] == nil {
			changes = append(changes, Change{pool, &Verdict{Totals: n.Totals[pool], Occupancy: occupancy[pool], at: now}})
		}
	}
	c.occupancy, c.full = occupancy, full
	c.verdicts.Store(&verdicts)
	return changes
}

// judge decides whether the pool is contended and who passes.
func (v *Verdict) judge(demands []Demand, weight func(account string) float64, maxWait time.Duration, full int, contended bool) {
	perSecond := 0.0
	for _, d := range demands {
		v.Demand += d.Slots
		perSecond += d.PerSecond
	}
	if perSecond <= 0 || v.Demand <= 0 {
		return
	}
	v.Hold = time.Duration(v.Demand / perSecond * float64(time.Second))
	least := minCapacity
	if v.Hold < shortHold {
		least = minShortCapacity
	} else {
		v.Occupancy = v.Totals.occupancy() // requests stay longer than the sums are old
	}
	slots := float64(v.Totals.Slots)
	v.Target = 1 + min(max(float64(maxWait)/float64(v.Hold), minQueue), maxQueue)
	v.Capacity = slots * min(max(v.Target/v.Occupancy, least), maxCapacity)
	enough := fullOccupancy
	if contended {
		enough = freeOccupancy
	}
	if min(v.Occupancy, v.Totals.occupancy()) < enough || v.Demand <= v.Capacity {
		return
	}
	if v.Hold < shortHold && !contended && full < minFullSums {
		return
	}
	v.Contended = true
	v.Backlog = time.Duration(max(float64(v.Totals.Running)/slots-1, 0) * float64(v.Hold))
	v.rates = passRates(demands, weight, v.Capacity)
}

func (c *Contention) all() map[string]*Verdict {
	if p := c.verdicts.Load(); p != nil {
		return *p
	}
	return nil
}

// Verdict returns what is known about a pool; nil if less than half of its slots are
// taken, or if there is no news.
func (c *Contention) Verdict(pool string, now time.Time) *Verdict {
	v := c.all()[pool]
	if v == nil || now.Sub(v.at) > sumsTTL {
		return nil
	}
	return v
}

// Outcome is the decision about a request.
type Outcome int

const (
	// Passes lets the request go to a backend server.
	Passes Outcome = iota
	// OverShare refuses it because its account demands more than its share.
	OverShare
	// TooLate refuses it because no slot is expected before its time is over.
	TooLate
)

// PassRate returns the share of the requests of an account and rank that pass.
func (v *Verdict) PassRate(pool, account string, rank int) float64 {
	if rate, listed := v.rates[demandKey{pool, account, rank}]; listed {
		return rate
	}
	return 1
}

// Decide decides about a request with the random number draw in [0, 1) and a time left.
// An account's requests are refused at random, so that each of its sessions, prompts and
// sizes is refused equally often. For a refused request, after is when to return.
func (v *Verdict) Decide(pool, account string, rank int, left time.Duration, draw float64) (o Outcome, after time.Duration) {
	if !v.Contended {
		return Passes, 0
	}
	rate := v.PassRate(pool, account, rank)
	switch {
	case draw >= rate:
		after = time.Duration(float64(max(v.Backlog, v.Hold)) / max(rate, minRetryPassRate))
		return OverShare, min(after, maxReturn)
	case v.Hold >= shortHold && v.Backlog >= left && draw >= minPassRatio*rate:
		// Some pass, since backend servers serve urgent ranks before others.
		return TooLate, min(v.Backlog, maxReturn)
	}
	return Passes, 0
}
