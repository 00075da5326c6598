package dhentry

import (
	"sync"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
)

const (
	// slowFactor is the multiple of the baseline latency above which an answer
	// counts as slow. Load alone does not raise the latency that far.
	slowFactor = 3
	// baselineWeight is the weight of one answer in the moving average of the
	// baseline.
	baselineWeight = 1.0 / 16
	// minBaselineSamples is the number of answers after which a baseline is used.
	minBaselineSamples = 8
	// maxBaselines bounds the number of baselines kept.
	maxBaselines = 256
)

// counts counts the answers that this VM received, by pool and version, while a
// rollout is in progress. It is safe for concurrent use.
type counts struct {
	vm          string
	incarnation uint64

	mu sync.Mutex
	// rollouts holds the rollouts in progress by pool.
	rollouts  map[string]*dhpb.RolloutRecord
	rows      map[countKey]*dhpb.VersionCounter
	baselines map[baselineKey]*baseline
}

type countKey struct {
	pool, release string
	number        uint64
}

// baselineKey groups answers with similar latencies.
type baselineKey struct{ pool, class, model string }

// baseline is the moving average of the time to the first event and between two
// events.
type baseline struct {
	first, between time.Duration
	count          int
}

func newCounts(vm string, incarnation uint64) *counts {
	return &counts{
		vm: vm, incarnation: incarnation, rollouts: make(map[string]*dhpb.RolloutRecord),
		rows: make(map[countKey]*dhpb.VersionCounter), baselines: make(map[baselineKey]*baseline),
	}
}

// setRollouts starts counting for new rollouts and deletes the counters of
// completed or reverted ones.
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

// add counts the end of an attempt. Attempts without an answer are ignored: a
// broken connection is no evidence against a version, since a backend server of
// any version may crash.
func (c *counts) add(e dhrouter.Event) {
	if !e.Answered {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rollout := c.rollouts[e.Pool]
	onTarget := rollout != nil && e.Version.Name == rollout.GetTarget()
	slow, timed := c.classify(e, onTarget)
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

// classify compares the latency of an answer with the baseline of its class and
// model. Answers of versions other than the rollout's target update the baseline.
func (c *counts) classify(e dhrouter.Event, onTarget bool) (slow, timed bool) {
	if e.Failed || e.FirstToken <= 0 {
		return false, false
	}
	k := baselineKey{e.Pool, e.Class, e.Version.Model}
	p := c.baselines[k]
	if p == nil {
		if len(c.baselines) >= maxBaselines {
			return false, false
		}
		p = &baseline{}
		c.baselines[k] = p
	}
	if p.count >= minBaselineSamples {
		timed = true
		slow = e.FirstToken > slowFactor*p.first || (p.between > 0 && e.MeanEventInterval > slowFactor*p.between)
	}
	if !onTarget {
		p.add(e)
	}
	return slow, timed
}

func (p *baseline) add(e dhrouter.Event) {
	p.count++
	weight := max(baselineWeight, 1/float64(p.count))
	p.first += time.Duration(weight * float64(e.FirstToken-p.first))
	if e.MeanEventInterval > 0 {
		p.between += time.Duration(weight * float64(e.MeanEventInterval-p.between))
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
