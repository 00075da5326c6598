package dhentry

import (
	"math"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
)

const (
	// slowFirstFactor is the multiple of the usual time to the first event above
	// which an answer counts as slow, slowPaceFactor that of the usual time between
	// two events, which varies less with prompts, caches and load.
	slowFirstFactor = 2.5
	slowPaceFactor  = 1.5
	// minSlowdown is how far above the usual time an answer must be at least to count
	// as slow. Smaller differences come from the scheduling of processes, and no
	// caller notices them.
	minSlowdown = 5 * time.Millisecond
	// baselineWeight is the weight of one answer in the moving average of the
	// baseline.
	baselineWeight = 1.0 / 16
	// minBaselineSamples is the number of answers after which a baseline is used.
	minBaselineSamples = 8
	// maxBaselines bounds the number of baselines kept.
	maxBaselines = 256
	// maxClasses bounds the classes that are counted apart for a version during a
	// rollout. The others are counted together.
	maxClasses = 16
)

// counts counts the answers that this VM received, by pool and version, while a
// rollout is in progress. It is safe for concurrent use.
type counts struct {
	vm          string
	incarnation uint64
	// pathsBroken reports whether this VM's own paths to backend servers have been broken
	// since a time; nil means that they have not.
	pathsBroken func(since time.Time) bool

	mu sync.Mutex
	// rollouts holds the rollouts in progress by pool.
	rollouts  map[string]*dhpb.RolloutRecord
	rows      map[countKey]*dhpb.VersionCounter
	baselines map[baselineKey]*baseline
	broken    brokenAnswers
}

type countKey struct {
	pool, release, class string
	number               uint64
}

// baselineKey groups answers with similar latencies.
type baselineKey struct{ pool, class, model string }

// baseline holds the usual time to the first event and between two events.
type baseline struct{ first, between average }

// average is a moving average of the logarithms of durations. A few very slow
// answers raise it far less than they would raise the mean.
type average struct {
	log   float64
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	a.log += max(baselineWeight, 1/float64(a.count)) * (math.Log(float64(d)) - a.log)
}

// slow reports whether a duration is above the average by more than a factor and by
// more than minSlowdown, and whether the average is based on enough answers to tell.
func (a *average) slow(d time.Duration, factor float64) (slow, known bool) {
	usual := math.Exp(a.log)
	return float64(d) > max(usual*factor, usual+float64(minSlowdown)), a.count >= minBaselineSamples
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

// add counts the end of an attempt at a time. Attempts after a failure of the same
// request are ignored: they are no independent evidence. An attempt whose time ran out
// counts as a slow answer, one whose answer broke off as a failure once the backend
// server has shown that it did not crash.
func (c *counts) add(e dhrouter.Event, now time.Time) {
	if (!e.Answered && !e.OutOfTime && !e.BrokeOff) || e.AfterFailure {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rollout := c.rollouts[e.Pool]
	if rollout == nil {
		return
	}
	if e.BrokeOff {
		c.broken.add(e, rollout.GetNumber(), now)
		return
	}
	c.countBroken(c.broken.answered(backendKey{e.Backend, e.Incarnation}, now))
	if e.OutOfTime && c.ownFault(now) {
		return
	}
	row := c.row(e.Pool, e.Version.Name, e.Class, rollout)
	if e.OutOfTime {
		row.Rated++
		row.Low++
		return
	}
	row.Answers++
	if e.Failed {
		row.Bad++
	}
}

// pathSettleTime is the time before a path is found broken in which connections may have
// broken or hung for the same reason.
const pathSettleTime = 3 * time.Second

// ownFault reports whether what happened at a time may be due to this VM's paths.
func (c *counts) ownFault(at time.Time) bool {
	return c.pathsBroken != nil && c.pathsBroken(at.Add(-pathSettleTime))
}

// countBroken counts broken answers as failures.
func (c *counts) countBroken(list []brokenAnswer) {
	for _, b := range list {
		rollout := c.rollouts[b.event.Pool]
		if rollout.GetNumber() != b.rollout || c.ownFault(b.at) {
			continue
		}
		row := c.row(b.event.Pool, b.event.Version.Name, b.event.Class, rollout)
		row.Answers++
		row.Bad++
	}
}

// observe counts the broken answers of backend servers that are still listed.
func (c *counts) observe(view *dhbackend.View, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countBroken(c.broken.listed(view, now))
}

// addSpeed counts the speed of an answer. Answers of versions other than the
// rollout's target update the baseline of their class and model.
func (c *counts) addSpeed(s dhrouter.Speed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := baselineKey{s.Pool, s.Class, s.Version.Model}
	p := c.baselines[k]
	if p == nil {
		if len(c.baselines) >= maxBaselines {
			return
		}
		p = &baseline{}
		c.baselines[k] = p
	}
	usual, d, factor := &p.first, s.FirstToken, slowFirstFactor
	if s.MeanEventInterval > 0 {
		usual, d, factor = &p.between, s.MeanEventInterval, slowPaceFactor
	}
	slow, known := usual.slow(d, factor)
	rollout := c.rollouts[s.Pool]
	if rollout == nil || s.Version.Name != rollout.GetTarget() {
		usual.add(d)
	}
	if rollout == nil || !known {
		return
	}
	row, low := c.row(s.Pool, s.Version.Name, s.Class, rollout), int64(0)
	if slow {
		low = 1
	}
	if s.MeanEventInterval > 0 {
		row.Paced++
		row.SlowPaced += low
	} else {
		row.Rated++
		row.Low += low
	}
}

// row returns the counters of a version and class during a rollout.
func (c *counts) row(pool, release, class string, rollout *dhpb.RolloutRecord) *dhpb.VersionCounter {
	k := countKey{pool, release, class, rollout.GetNumber()}
	if c.rows[k] == nil && c.classes(k) >= maxClasses {
		k.class = ""
	}
	row := c.rows[k]
	if row == nil {
		row = &dhpb.VersionCounter{Vm: c.vm, Incarnation: c.incarnation, Pool: pool, Version: release, Class: k.class, RolloutRevision: rollout.GetNumber()}
		c.rows[k] = row
	}
	return row
}

// classes returns the number of classes that are counted for the version of a key.
func (c *counts) classes(k countKey) int {
	n := 0
	for other := range c.rows {
		if other.pool == k.pool && other.release == k.release && other.number == k.number {
			n++
		}
	}
	return n
}

// counters returns the counters of the rollouts in progress.
func (c *counts) counters() []*dhpb.VersionCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*dhpb.VersionCounter, 0, len(c.rows))
	for _, row := range c.rows {
		list = append(list, &dhpb.VersionCounter{
			Vm: row.Vm, Incarnation: row.Incarnation, Pool: row.Pool, Version: row.Version, Class: row.Class, RolloutRevision: row.RolloutRevision,
			Answers: row.Answers, Bad: row.Bad, Rated: row.Rated, Low: row.Low, Paced: row.Paced, SlowPaced: row.SlowPaced,
		})
	}
	return list
}
