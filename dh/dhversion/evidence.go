package dhversion

import (
	"cmp"
	"math"
	"slices"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// Evidence counts answers and bad answers per version, merges the counts of
// other VMs and puts rollouts on hold. It is not safe for concurrent use; only
// the control goroutine uses it.
//
// Counters are keyed by VM, incarnation, pool, model, version and the revision
// at which the model's latest rollout began. A repeated rollout therefore
// starts from zero, and the stable version is measured by its answers since the
// rollout began.
type Evidence struct {
	// VM and Incarnation identify the counters of this VM.
	VM          string
	Incarnation uint64
	// MaxCounters and MaxHolds limit the number of stored counters and holds; 0
	// means 4096 and 1024. Entries beyond the limit are dropped, which makes the
	// test less powerful but keeps it valid.
	MaxCounters, MaxHolds int
	// FalseHolds is the accepted probability of ever putting a rollout on hold
	// that is no worse than the stable version; 0 means 0.001.
	FalseHolds float64

	rollouts rollouts
	counters map[counterKey]count
	totals   map[totalKey]count
	holds    map[versionKey]uint64
	tests    map[versionKey]*rolloutTest
	dropped  int64
	snapshot *Holds
}

type counterKey struct {
	vm          string
	incarnation uint64
	versionKey
	rollout uint64
}

// totalKey is the key of the counters summed over all VMs. With these totals,
// the cost of Tick does not depend on the number of VMs.
type totalKey struct {
	versionKey
	rollout uint64
}

type count struct{ answers, bad, rated, low int64 }

func (c count) plus(d count) count {
	return count{c.answers + d.answers, c.bad + d.bad, c.rated + d.rated, c.low + d.low}
}

func (c count) minus(d count) count {
	return count{c.answers - d.answers, c.bad - d.bad, c.rated - d.rated, c.low - d.low}
}

// max returns the later of two states of the same counter, whose fields only
// increase.
func (c count) max(d count) count {
	return count{max(c.answers, d.answers), max(c.bad, d.bad), max(c.rated, d.rated), max(c.low, d.low)}
}

func (c count) valid() bool {
	return 0 <= c.bad && c.bad <= c.answers && 0 <= c.low && c.low <= c.rated
}

// Rate holds the totals counted for a version.
type Rate struct {
	Answers, Bad int64
	// Rated is the number of rated answers, Low the number of those rated low.
	Rated, Low int64
	// Held is true while the version's rollout is on hold.
	Held bool
}

// Observe applies newer tables. It calls fetch for the revisions since the
// last call of Observe or, on the first call, since the start of the rollouts.
// Fetch returns false if it does not know a revision, and may be nil. Observe
// may be called again with the same tables once more of the history is known.
func (e *Evidence) Observe(t *dhtable.Tables, fetch func(revision uint64) (*dhtable.Tables, bool)) {
	if !e.rollouts.observe(t, fetch) {
		return
	}
	for k := range e.tests {
		if _, ok := e.rollouts.starts[k]; !ok {
			delete(e.tests, k)
		}
	}
	for k := range e.counters {
		if e.beforeCurrentRollouts(k) {
			e.addToTotal(k, count{}.minus(e.counters[k]))
			delete(e.counters, k)
		}
	}
	e.publish()
}

// beforeCurrentRollouts reports whether a counter belongs to a rollout that
// precedes all current rollouts of its model.
func (e *Evidence) beforeCurrentRollouts(k counterKey) bool {
	first, ok := uint64(0), false
	for r, b := range e.rollouts.starts {
		if r.pool != k.pool || r.version.Model != k.version.Model {
			continue
		}
		if !b.exact {
			return false
		}
		if !ok || b.revision < first {
			first, ok = b.revision, true
		}
	}
	return ok && k.rollout < first
}

// epoch returns the revision at which the latest rollout of a model began, or 0
// if the model has no rollout.
func (e *Evidence) epoch(pool, model string) uint64 {
	last := uint64(0)
	for k, b := range e.rollouts.starts {
		if k.pool == pool && k.version.Model == model {
			last = max(last, b.revision)
		}
	}
	return last
}

// Count adds answers that this VM served, bad of which were bad.
func (e *Evidence) Count(pool string, v dhtable.Version, answers, bad int64) {
	e.count(pool, v, count{answers: answers, bad: bad})
}

// CountRatings adds ratings of answers that this VM served, low of which were
// low. Versions may be rated at different rates, because the test compares the
// share of low ratings among the rated answers.
func (e *Evidence) CountRatings(pool string, v dhtable.Version, rated, low int64) {
	e.count(pool, v, count{rated: rated, low: low})
}

func (e *Evidence) count(pool string, v dhtable.Version, c count) {
	k := counterKey{e.VM, e.Incarnation, versionKey{pool, v}, e.epoch(pool, v.Model)}
	e.setCounter(k, e.counters[k].plus(c))
}

func (e *Evidence) setCounter(k counterKey, c count) {
	if e.counters == nil {
		e.counters = make(map[counterKey]count)
		e.totals = make(map[totalKey]count)
	}
	old, ok := e.counters[k]
	if !ok && len(e.counters) >= cmp.Or(e.MaxCounters, 4096) {
		e.dropped++
		return
	}
	e.counters[k] = c
	e.addToTotal(k, c.minus(old))
}

func (e *Evidence) addToTotal(k counterKey, c count) {
	t := totalKey{k.versionKey, k.rollout}
	sum := e.totals[t].plus(c)
	if sum == (count{}) {
		delete(e.totals, t)
		return
	}
	e.totals[t] = sum
}

// Dropped returns the number of counters and holds dropped because of
// MaxCounters and MaxHolds.
func (e *Evidence) Dropped() int64 { return e.dropped }

// Counters returns all counters in sorted order, to be sent by gossip.
func (e *Evidence) Counters() []*dhpb.VersionCounter {
	list := make([]*dhpb.VersionCounter, 0, len(e.counters))
	for k, c := range e.counters {
		list = append(list, &dhpb.VersionCounter{
			Vm: k.vm, Incarnation: k.incarnation, Pool: k.pool, Model: k.version.Model, Version: k.version.Name,
			Answers: c.answers, Bad: c.bad, Rated: c.rated, Low: c.low, RolloutRevision: k.rollout,
		})
	}
	slices.SortFunc(list, compareCounters)
	return list
}

func compareCounters(a, b *dhpb.VersionCounter) int {
	return cmp.Or(
		cmp.Compare(a.GetPool(), b.GetPool()),
		cmp.Compare(a.GetModel(), b.GetModel()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetVm(), b.GetVm()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetRolloutRevision(), b.GetRolloutRevision()),
	)
}

// HoldRecords returns all holds in sorted order, to be sent by gossip.
func (e *Evidence) HoldRecords() []*dhpb.Hold {
	list := make([]*dhpb.Hold, 0, len(e.holds))
	for k, revision := range e.holds {
		list = append(list, &dhpb.Hold{Pool: k.pool, Model: k.version.Model, Version: k.version.Name, Revision: revision})
	}
	slices.SortFunc(list, compareHolds)
	return list
}

func compareHolds(a, b *dhpb.Hold) int {
	return cmp.Or(
		cmp.Compare(a.GetPool(), b.GetPool()),
		cmp.Compare(a.GetModel(), b.GetModel()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
	)
}

// Merge applies a gossip message from another VM. Counters only increase, so
// repeated and reordered messages have no effect. Inconsistent counters and
// those of this VM's current incarnation are ignored.
func (e *Evidence) Merge(counters []*dhpb.VersionCounter, holds []*dhpb.Hold) {
	for _, m := range counters {
		v := dhtable.Version{Model: m.GetModel(), Name: m.GetVersion()}
		k := counterKey{m.GetVm(), m.GetIncarnation(), versionKey{m.GetPool(), v}, m.GetRolloutRevision()}
		own := k.vm == e.VM && k.incarnation == e.Incarnation
		c := count{m.GetAnswers(), m.GetBad(), m.GetRated(), m.GetLow()}
		if own || !c.valid() || e.beforeCurrentRollouts(k) {
			continue
		}
		old := e.counters[k]
		if c = c.max(old); c != old {
			e.setCounter(k, c)
		}
	}
	for _, m := range holds {
		v := dhtable.Version{Model: m.GetModel(), Name: m.GetVersion()}
		e.addHold(versionKey{m.GetPool(), v}, m.GetRevision())
	}
	e.publish()
}

// addHold stores a hold and keeps only the highest revision per version. A hold
// covers every rollout that began at or before its revision, so the highest one
// includes the lower ones.
func (e *Evidence) addHold(k versionKey, revision uint64) {
	if e.holds == nil {
		e.holds = make(map[versionKey]uint64)
	}
	old, ok := e.holds[k]
	if !ok && len(e.holds) >= cmp.Or(e.MaxHolds, 1024) && !e.evictHold() {
		e.dropped++
		return
	}
	e.holds[k] = max(old, revision)
}

// evictHold removes one hold of a version that the tables no longer list, and
// reports whether there was one.
func (e *Evidence) evictHold() bool {
	if e.rollouts.tables == nil {
		return false
	}
	for k := range e.holds {
		if _, ok := e.rollouts.tables.Entry(k.pool, k.version); !ok {
			delete(e.holds, k)
			return true
		}
	}
	return false
}

// Holds returns the current snapshot of the rollouts on hold.
func (e *Evidence) Holds() *Holds { return e.snapshot }

func (e *Evidence) publish() {
	held := make(map[versionKey]bool)
	for k, b := range e.rollouts.starts {
		if revision, ok := e.holds[k]; ok && b.covers(revision) {
			held[k] = true
		}
	}
	e.snapshot = &Holds{held: held}
}

// Tick tests every rollout that is not yet on hold and returns the new holds.
func (e *Evidence) Tick() []*dhpb.Hold {
	var found []*dhpb.Hold
	for k, b := range e.rollouts.starts {
		if e.snapshot.held[k] || !e.worse(k, b) {
			continue
		}
		e.addHold(k, b.revision)
		found = append(found, &dhpb.Hold{Pool: k.pool, Model: k.version.Model, Version: k.version.Name, Revision: b.revision})
	}
	if len(found) > 0 {
		e.publish()
		slices.SortFunc(found, compareHolds)
	}
	return found
}

// worse updates the test of a rollout against the stable versions of its model
// and reports whether the rollout must be put on hold.
func (e *Evidence) worse(k versionKey, b rolloutStart) bool {
	t, ok := e.tests[k]
	if !ok || t.start != b {
		t = newRolloutTest(b)
		if e.tests == nil {
			e.tests = make(map[versionKey]*rolloutTest)
		}
		e.tests[k] = t
	}
	var stable count
	for _, entry := range e.rollouts.tables.Pools[k.pool].Models[k.version.Model].Versions {
		if entry.Stage == dhtable.Stable {
			stable = stable.plus(e.sum(versionKey{k.pool, entry.Version}, b))
		}
	}
	alpha := e.FalseHolds
	if alpha <= 0 {
		alpha = 0.001
	}
	return t.update(stable, e.sum(k, b)) >= math.Log(1/alpha)
}

func (e *Evidence) sum(k versionKey, b rolloutStart) count {
	var s count
	for t, n := range e.totals {
		if t.versionKey == k && (!b.exact || t.rollout >= b.revision) {
			s = s.plus(n)
		}
	}
	return s
}

// Rate returns the totals of a version over all VMs. If the model has a rollout,
// counting starts at the beginning of that rollout.
func (e *Evidence) Rate(pool string, v dhtable.Version) Rate {
	k := versionKey{pool, v}
	c := e.sum(k, rolloutStart{})
	return Rate{Answers: c.answers, Bad: c.bad, Rated: c.rated, Low: c.low, Held: e.snapshot.Held(pool, v)}
}
