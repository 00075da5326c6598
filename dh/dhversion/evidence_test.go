package dhversion_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhversion"
)

func fetchFrom(history ...*dhtable.Tables) func(uint64) (*dhtable.Tables, bool) {
	return func(revision uint64) (*dhtable.Tables, bool) {
		for _, t := range history {
			if t.Revision == revision {
				return t, true
			}
		}
		return nil, false
	}
}

func holdOf(t testing.TB, now *dhtable.Tables) *dhversion.Holds {
	t.Helper()
	e := evidence("a", now)
	addFailingRollout(e)
	assert.Equal(t, len(e.Tick()), 1)
	return e.Holds()
}

// addFailingRollout counts failed answers of the rollout once the rate of the
// stable version is known.
func addFailingRollout(e *dhversion.Evidence) {
	e.Count("p", oakV1, 900, 9)
	e.Tick()
	e.Count("p", oakV1, 100, 1)
	e.Count("p", oakV2, 20, 20)
}

func evidence(vm string, now *dhtable.Tables) *dhversion.Evidence {
	e := &dhversion.Evidence{VM: vm, Incarnation: 1}
	e.Observe(now, fetchFrom(now))
	return e
}

// Guards against counts that are lost, duplicated or reset when gossip is
// repeated, reordered or sent by a restarted VM, and against a hold that is not
// propagated to other VMs.
func TestEvidenceIsMergedOnce(t *testing.T) {
	now := rollout(t, 1, 5)
	a, b := evidence("a", now), evidence("b", now)
	a.Count("p", oakV1, 500, 5)
	old := a.Counters()
	b.Merge(old, nil)
	assert.Equal(t, len(b.Tick()), 0)
	a.Count("p", oakV1, 500, 5)
	a.Count("p", oakV2, 10, 10)
	b.Merge(a.Counters(), nil)
	b.Merge(old, nil)
	b.Merge(a.Counters(), nil)
	a.Merge(old, nil)
	restarted := &dhversion.Evidence{VM: "a", Incarnation: 2}
	restarted.Observe(now, fetchFrom(now))
	restarted.Count("p", oakV2, 10, 10)
	b.Merge(restarted.Counters(), nil)
	b.Merge([]*dhpb.VersionCounter{{Vm: "liar", Pool: "p", Model: "oak", Version: "v1", Answers: 1, Bad: 5}}, nil)
	assert.Equal(t, a.Rate("p", oakV1), dhversion.Rate{Answers: 1000, Bad: 10})
	assert.Equal(t, b.Rate("p", oakV1), dhversion.Rate{Answers: 1000, Bad: 10})
	assert.Equal(t, b.Rate("p", oakV2), dhversion.Rate{Answers: 20, Bad: 20})
	b.Merge([]*dhpb.VersionCounter{{Vm: "c", Pool: "p", Model: "oak", Version: "v1", RolloutRevision: 1, Rated: 1, Low: 2}}, nil)
	assert.Equal(t, len(b.Tick()), 1)
	assert.Equal(t, len(b.Tick()), 0, "a hold is reported once")
	a.Merge(nil, b.HoldRecords())
	assert.Assert(t, a.Holds().Held("p", oakV2) && a.Rate("p", oakV2).Held)
}

// Guards against holds or counts of an earlier rollout that stop a later rollout
// of the same version, and against a hold that is lost in a restart.
func TestHoldsBelongToOneRollout(t *testing.T) {
	r1, r2 := rollout(t, 1, 5), rollout(t, 2, 10)
	r3 := tables(t, 3, "all", stages("stable", 100, "withdrawn", 0))
	r4, r5 := rollout(t, 4, 5), rollout(t, 5, 6)
	e := evidence("a", r1)
	addFailingRollout(e)
	holds := e.Tick()
	assert.Equal(t, holds[0].GetRevision(), uint64(1))
	e.Observe(r2, nil)
	assert.Assert(t, e.Holds().Held("p", oakV2), "a changed share does not end the hold")
	e.Observe(r3, nil)
	assert.Assert(t, !e.Holds().Held("p", oakV2))
	old := e.Counters()
	e.Observe(r4, nil)
	e.Merge(old, holds)
	assert.Assert(t, !e.Holds().Held("p", oakV2))
	assert.Equal(t, e.Rate("p", oakV2), dhversion.Rate{})
	assert.Equal(t, len(e.Tick()), 0)

	fresh := &dhversion.Evidence{VM: "b", Incarnation: 1}
	fresh.Observe(r2, fetchFrom(r1))
	fresh.Merge(nil, holds)
	assert.Assert(t, fresh.Holds().Held("p", oakV2), "the start of the rollout follows from the history")
	fresh.Observe(r5, fetchFrom(r4, r3))
	assert.Assert(t, !fresh.Holds().Held("p", oakV2))
	unknown := &dhversion.Evidence{VM: "c", Incarnation: 1}
	unknown.Observe(r5, nil)
	unknown.Merge(nil, holds)
	assert.Assert(t, unknown.Holds().Held("p", oakV2), "without history, a hold applies")
	unknown.Observe(r5, fetchFrom(r4, r3))
	assert.Assert(t, !unknown.Holds().Held("p", oakV2))
}

// Guards against unbounded memory use when gossip contains arbitrary unknown names.
func TestEvidenceIsBounded(t *testing.T) {
	e := evidence("a", rollout(t, 1, 5))
	e.MaxCounters, e.MaxHolds = 3, 2
	for i := range uint64(10) {
		name := string(rune('a' + i))
		e.Merge([]*dhpb.VersionCounter{{Vm: name, Pool: "p", Model: "oak", Version: "v1", Answers: 1, RolloutRevision: 1}},
			[]*dhpb.Hold{{Pool: name, Model: "oak", Version: "v1", Revision: 1}})
	}
	e.Merge(nil, []*dhpb.Hold{{Pool: "p", Model: "oak", Version: "v2", Revision: 1}})
	assert.Equal(t, len(e.Counters()), 3)
	assert.Equal(t, len(e.HoldRecords()), 2)
	assert.Equal(t, e.Dropped(), int64(7))
	assert.Assert(t, e.Holds().Held("p", oakV2), "unknown names do not evict a hold in force")
}
