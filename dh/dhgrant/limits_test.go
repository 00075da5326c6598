package dhgrant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func perSecond(n float64) Limit { return Limit{Stated: true, PerSecond: n} }

// at returns an observation of an answer to a request; both times are in seconds
// after start.
func at(sent, answered, limit float64) Observation {
	o := Observation{Sent: after(sent), Answered: after(answered)}
	if limit >= 0 {
		o.Limit = perSecond(limit)
	}
	return o
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a limit that an answer to an earlier request lifts or raises,
// and against one that outlasts its incarnation.
func TestNewestObservationHolds(t *testing.T) {
	const none = -1
	type step struct {
		incarnation uint64
		o           Observation
		change      Change
		limit       Limit
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"nothing is recorded without a limit", []step{{1, at(0, 1, none), Unchanged, Limit{}}}},
		{"a limit begins, changes and ends", []step{
			{1, at(0, 1, 2), Begun, perSecond(2)},
			{1, at(1, 2, 2), Unchanged, perSecond(2)},
			{1, at(2, 3, 5), Changed, perSecond(5)},
			{1, at(3, 4, 0), Changed, perSecond(0)},
			{1, at(4, 5, none), Ended, Limit{}},
			{1, at(5, 6, 1), Begun, perSecond(1)},
		}},
		{"answers to requests sent before the limit was known do not end it", []step{
			{1, at(1, 2, 1), Begun, perSecond(1)},
			{1, at(0, 5, none), Unchanged, perSecond(1)},
			{1, at(1.5, 6, 7), Unchanged, perSecond(1)},
			{1, at(2, 6, none), Ended, Limit{}},
		}},
		{"the lower of two limits of unknown order holds", []step{
			{1, at(0, 4, 8), Begun, perSecond(8)},
			{1, at(1, 2, 3), Changed, perSecond(3)},
		}},
		{"an older observation does not return", []step{
			{1, at(0, 1, 1), Begun, perSecond(1)},
			{1, at(2, 3, none), Ended, Limit{}},
			{1, at(0, 1, 1), Unchanged, Limit{}},
		}},
		{"a new incarnation has no limit", []step{
			{1, at(0, 1, 1), Begun, perSecond(1)},
			{2, at(0, 1.5, none), Ended, Limit{}},
			{1, at(2, 3, 1), Begun, perSecond(1)},
		}},
		{"an earlier incarnation does not count", []step{
			{2, at(0, 1, 4), Begun, perSecond(4)},
			{1, at(2, 3, 1), Unchanged, perSecond(4)},
			{1, at(4, 5, none), Unchanged, perSecond(4)},
			{3, at(5, 6, 9), Changed, perSecond(9)},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Limits
			for i, s := range c.steps {
				assert.Equal(t, l.Observe("b", s.incarnation, s.o, s.o.Answered), s.change, "step %d", i)
				assert.Equal(t, l.Get("b"), s.limit, "step %d", i)
			}
		})
	}
}

// Guards against tables that grow with every backend server that ever stated a
// limit.
func TestLimitsAreBounded(t *testing.T) {
	var l Limits
	for i := range maxLimits + 10 {
		l.Observe(time.Duration(i).String(), 1, at(0, 1, 1), start)
	}
	assert.Equal(t, len(l.byBackend), maxLimits)
	l.Retain(start, func(id string, incarnation uint64) bool { return id == "1ns" && incarnation == 1 })
	assert.Equal(t, len(l.byBackend), 1)
	l.Observe("1ns", 1, at(2, 3, -1), after(3))
	l.Retain(after(3+endedRetention.Seconds()), func(string, uint64) bool { return true })
	assert.Equal(t, len(l.byBackend), 1)
	l.Retain(after(4+endedRetention.Seconds()), func(string, uint64) bool { return true })
	assert.Equal(t, len(l.byBackend), 0)
}
