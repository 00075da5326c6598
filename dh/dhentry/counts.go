package dhentry

import (
	"sync"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
)

const (
	// slowFactor is how many times its usual pace an answer takes that counts
	// as slow. Load alone stays below it.
	slowFactor = 3
	// paceWeight is the part by which one answer moves the usual pace.
	paceWeight = 1.0 / 16
	// minPaces is how many answers make a usual pace.
	minPaces = 8
	// maxPaces bounds the classes and models whose pace is known.
	maxPaces = 256
)

// counts are this VM's answers by pool and version while a rollout is in
// progress. It is safe for use by several goroutines.
type counts struct {
	vm          string
	incarnation uint64

	mu sync.Mutex
	// rollouts are those in progress, by pool.
	rollouts map[string]*dhpb.RolloutRecord
	rows     map[countKey]*dhpb.VersionCounter
	paces    map[paceKey]*pace
}

type countKey struct {
	pool, release string
	number        uint64
}

// paceKey names what takes about the same time.
type paceKey struct{ pool, class, model string }

// pace is the usual time to the first event and between two events.
type pace struct {
	first, between time.Duration
	count          int
}

func newCounts(vm string, incarnation uint64) *counts {
	return &counts{
		vm: vm, incarnation: incarnation, rollouts: make(map[string]*dhpb.RolloutRecord),
		rows: make(map[countKey]*dhpb.VersionCounter), paces: make(map[paceKey]*pace),
	}
}

// setRollouts starts counting for new rollouts and forgets ended ones.
func (c *counts) setRollouts(o *dhpb.Operations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.rollouts)
	for _, r := range o.GetRollouts() {
		switch r.GetState() {
		case dhpb.RolloutState_ROLLOUT_STATE_TRIAL, dhpb.RolloutState_ROLLOUT_STATE_SHIFT:
			c.rollouts[r.GetPool()] = r
		}
	}
	for k := range c.rows {
		if c.rollouts[k.pool].GetNumber() != k.number {
			delete(c.rows, k)
		}
	}
}

// add counts the end of an attempt. Broken connections say nothing about a
// version, since crashes come with any.
func (c *counts) add(e dhrouter.Event) {
	if !e.Answered {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rollout := c.rollouts[e.Pool]
	onTarget := rollout != nil && e.Version.Name == rollout.GetTarget()
	slow, timed := c.judge(e, onTarget)
	if rollout == nil {
		return
	}
	k := countKey{e.Pool, e.Version.Name, rollout.GetNumber()}
	row := c.rows[k]
	if row == nil {
		row = &dhpb.VersionCounter{Vm: c.vm, Incarnation: c.incarnation, Pool: e.Pool, Version: e.Version.Name, RolloutRevision: rollout.GetNumber()}
		c.rows[k] = row
	}
	row.Answers++
	if e.Failed {
		row.Bad++
	}
	if timed {
		row.Rated++
	}
	if slow {
		row.Low++
	}
}

// judge compares an answer with the usual pace of its class and model, and
// lets answers of other versions than a target move that.
func (c *counts) judge(e dhrouter.Event, onTarget bool) (slow, timed bool) {
	if e.Failed || e.FirstToken <= 0 {
		return false, false
	}
	k := paceKey{e.Pool, e.Class, e.Version.Model}
	p := c.paces[k]
	if p == nil {
		if len(c.paces) >= maxPaces {
			return false, false
		}
		p = &pace{}
		c.paces[k] = p
	}
	if p.count >= minPaces {
		timed = true
		slow = e.FirstToken > slowFactor*p.first || (p.between > 0 && e.Between > slowFactor*p.between)
	}
	if !onTarget {
		p.add(e)
	}
	return slow, timed
}

func (p *pace) add(e dhrouter.Event) {
	p.count++
	weight := max(paceWeight, 1/float64(p.count))
	p.first += time.Duration(weight * float64(e.FirstToken-p.first))
	if e.Between > 0 {
		p.between += time.Duration(weight * float64(e.Between-p.between))
	}
}

// counters returns the counters of the rollouts in progress.
func (c *counts) counters() []*dhpb.VersionCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*dhpb.VersionCounter, 0, len(c.rows))
	for _, row := range c.rows {
		list = append(list, &dhpb.VersionCounter{
			Vm: row.Vm, Incarnation: row.Incarnation, Pool: row.Pool, Version: row.Version, RolloutRevision: row.RolloutRevision,
			Answers: row.Answers, Bad: row.Bad, Rated: row.Rated, Low: row.Low,
		})
	}
	return list
}
