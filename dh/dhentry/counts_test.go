package dhentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
)

// trialOfV2 returns a rollout to version v2 in its trial.
func trialOfV2() *dhpb.Operations {
	return &dhpb.Operations{Rollouts: []*dhpb.RolloutRecord{{Pool: "p", Target: "v2", Number: 3, State: dhpb.RolloutState_ROLLOUT_STATE_TRIAL}}}
}

// addSpeeds counts the first event of an answer and the pace of its stream.
func addSpeeds(c *counts, release string, first, interval time.Duration) {
	for _, s := range []dhrouter.Speed{{FirstToken: first}, {MeanEventInterval: interval}} {
		s.Pool, s.Class, s.Version = "p", "plan", dhtable.Version{Model: "m", Name: release}
		c.addSpeed(s)
	}
}

// Guards against slow answers of a rollout's target that are not counted: because
// their streams have not ended, or because a few very slow answers of the other
// versions raised the usual times (scenario hasty, EXPOSURE).
func TestSlowAnswersOfTargetAreCounted(t *testing.T) {
	c := newCounts("e0", 1)
	for i := range 30 {
		first, interval := 100*time.Millisecond, 40*time.Millisecond
		if i%10 == 9 {
			first, interval = 20*first, 20*interval
		}
		addSpeeds(c, "v1", first, interval)
	}
	c.setRollouts(trialOfV2())
	addSpeeds(c, "v1", 100*time.Millisecond, 40*time.Millisecond)
	addSpeeds(c, "v2", 600*time.Millisecond, 150*time.Millisecond)
	addSpeeds(c, "v2", 120*time.Millisecond, 45*time.Millisecond)
	counted := map[string]*dhpb.VersionCounter{}
	for _, row := range c.counters() {
		counted[row.GetVersion()] = row
	}
	assert.Equal(t, counted["v2"].GetRated(), int64(2))
	assert.Equal(t, counted["v2"].GetLow(), int64(1))
	assert.Equal(t, counted["v2"].GetPaced(), int64(2))
	assert.Equal(t, counted["v2"].GetSlowPaced(), int64(1))
	assert.Equal(t, counted["v1"].GetRated(), int64(1))
	assert.Equal(t, counted["v1"].GetLow()+counted["v1"].GetSlowPaced(), int64(0))
}

// Guards against a good version that is withdrawn because its streams, of microseconds
// between events, are some microseconds slower while the machine is busy.
func TestUnnoticeableDelaysAreNotSlow(t *testing.T) {
	c := newCounts("e0", 1)
	for range 30 {
		addSpeeds(c, "v1", 300*time.Microsecond, 50*time.Microsecond)
	}
	c.setRollouts(trialOfV2())
	for _, d := range []time.Duration{100 * time.Microsecond, time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond} {
		addSpeeds(c, "v2", d, d)
	}
	row := c.counters()[0]
	assert.Equal(t, row.GetRated(), int64(4))
	assert.Equal(t, row.GetLow(), int64(1))
	assert.Equal(t, row.GetPaced(), int64(4))
	assert.Equal(t, row.GetSlowPaced(), int64(1))
}

// Guards against a good version that is withdrawn because one request, which every
// version fails, was tried again and counted for each attempt.
func TestFailuresOfOneRequestCountOnce(t *testing.T) {
	c := newCounts("e0", 1)
	c.setRollouts(trialOfV2())
	e := dhrouter.Event{Pool: "p", Version: dhtable.Version{Name: "v2"}, Answered: true, Failed: true}
	c.add(e, time.Time{})
	e.AfterFailure = true
	c.add(e, time.Time{})
	row := c.counters()[0]
	assert.Equal(t, row.GetAnswers(), int64(1))
	assert.Equal(t, row.GetBad(), int64(1))
}

// Guards against a bad version that is completed because its answers break off, which
// counted for nothing, and against crashes that count against a version (incident
// EXPOSURE).
func TestBrokenAnswersOfLivingBackendsCount(t *testing.T) {
	start := time.Unix(1000, 0)
	key := dhrouter.Event{Pool: "p", Backend: "b1", Incarnation: 7, Version: dhtable.Version{Name: "v2"}}
	broken, answered := key, key
	broken.BrokeOff, broken.Failed, answered.Answered = true, true, true
	view := func(incarnation uint64) *dhbackend.View {
		table := dhbackend.Table{Lease: time.Hour, MaxBackends: 8}
		assert.NilError(t, table.Announce(&dhbackend.Backend{ID: "b1", Pool: "p", Address: "a", Incarnation: incarnation, Seen: start}))
		return table.View(start)
	}
	none := (&dhbackend.Table{Lease: time.Hour, MaxBackends: 8}).View(start)
	for _, c := range []struct {
		name         string
		then         func(c *counts)
		answers, bad int64
	}{
		{"it answers later", func(c *counts) { c.add(answered, start.Add(time.Second)) }, 2, 1},
		{"an answer that was on its way", func(c *counts) { c.add(answered, start.Add(time.Millisecond)) }, 1, 0},
		{"it stays listed", func(c *counts) { c.observe(view(7), start.Add(listedTime)) }, 1, 1},
		{"not listed for long enough", func(c *counts) { c.observe(view(7), start.Add(listedTime/2)) }, 0, 0},
		{"it restarted", func(c *counts) { c.observe(view(8), start.Add(time.Second)); c.observe(view(8), start.Add(listedTime)) }, 0, 0},
		{"it is gone", func(c *counts) { c.observe(none, start.Add(listedTime)) }, 0, 0},
	} {
		counts := newCounts("e0", 1)
		counts.setRollouts(trialOfV2())
		counts.add(broken, start)
		c.then(counts)
		var total dhpb.VersionCounter
		for _, row := range counts.counters() {
			total.Answers += row.GetAnswers()
			total.Bad += row.GetBad()
		}
		assert.Equal(t, total.GetAnswers(), c.answers, c.name)
		assert.Equal(t, total.GetBad(), c.bad, c.name)
	}
}
