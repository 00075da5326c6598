package dhentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
)

// Guards against slow answers of a rollout's target that are not counted: because
// their streams have not ended, or because a few very slow answers of the other
// versions raised the usual times (scenario hasty, EXPOSURE).
func TestSlowAnswersOfTargetAreCounted(t *testing.T) {
	c := newCounts("e0", 1)
	speed := func(release string, s dhrouter.Speed) {
		s.Pool, s.Class, s.Version = "p", "plan", dhtable.Version{Model: "m", Name: release}
		c.addSpeed(s)
	}
	both := func(release string, first, interval time.Duration) {
		speed(release, dhrouter.Speed{FirstToken: first})
		speed(release, dhrouter.Speed{MeanEventInterval: interval})
	}
	for i := range 30 {
		first, interval := 100*time.Millisecond, 40*time.Millisecond
		if i%10 == 9 {
			first, interval = 20*first, 20*interval
		}
		both("v1", first, interval)
	}
	c.setRollouts(&dhpb.Operations{Rollouts: []*dhpb.RolloutRecord{{Pool: "p", Target: "v2", Number: 3, State: dhpb.RolloutState_ROLLOUT_STATE_TRIAL}}})
	both("v1", 100*time.Millisecond, 40*time.Millisecond)
	both("v2", 600*time.Millisecond, 150*time.Millisecond)
	both("v2", 120*time.Millisecond, 45*time.Millisecond)
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

// Guards against a good version that is withdrawn because one request, which every
// version fails, was tried again and counted for each attempt.
func TestFailuresOfOneRequestCountOnce(t *testing.T) {
	c := newCounts("e0", 1)
	c.setRollouts(&dhpb.Operations{Rollouts: []*dhpb.RolloutRecord{{Pool: "p", Target: "v2", Number: 3, State: dhpb.RolloutState_ROLLOUT_STATE_TRIAL}}})
	e := dhrouter.Event{Pool: "p", Version: dhtable.Version{Name: "v2"}, Answered: true, Failed: true}
	c.add(e)
	e.AfterFailure = true
	c.add(e)
	row := c.counters()[0]
	assert.Equal(t, row.GetAnswers(), int64(1))
	assert.Equal(t, row.GetBad(), int64(1))
}
