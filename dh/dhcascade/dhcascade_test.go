package dhcascade_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcascade"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

var twoModels = dhcascade.Request{Class: "c", Target: 0.8, Candidates: []dhcascade.Candidate{{Version: pine, Cost: 1}, {Version: oak, Cost: 10}}}

func newPlanner(random float64) (*dhcascade.Planner, *dhtimer.Stepped) {
	timers := dhtimer.NewStepped()
	return &dhcascade.Planner{Timers: timers, Random: func() float64 { return random }}, timers
}

// addRatings gives both models ratings. The ratings of pine's answers equal their
// signals.
func addRatings(p *dhcascade.Planner, r dhcascade.Request, low, high float64) {
	for i := range 400 {
		s := dhcascade.Signal{Value: low, Known: true}
		if i%2 == 0 {
			s.Value = high
		}
		p.Escalate(r, 0, s)
		p.Rate(dhcascade.Rating{Class: "c", Version: pine, Signal: s, Score: s.Value})
		p.Rate(dhcascade.Rating{Class: "c", Version: oak, Score: 0.97})
		if s.Value == low {
			p.Rate(dhcascade.Rating{Class: "c", Version: oak, From: pine, FromSignal: s, Score: 0.95})
		}
	}
}

// Guards against a cheap model that answers without ratings, without a
// target or with stale ratings, and against the escalation of good answers.
func TestPlannerFollowsRatings(t *testing.T) {
	p, timers := newPlanner(0.99)
	assert.Equal(t, p.Start(twoModels), 1, "no ratings")
	addRatings(p, twoModels, 0.25, 0.95)
	timers.Step(time.Second)
	assert.Equal(t, p.Start(twoModels), 0)
	escalates := func(signal float64) bool {
		_, ok := p.Escalate(twoModels, 0, dhcascade.Signal{Value: signal, Known: true})
		return ok
	}
	assert.Assert(t, !escalates(0.95))
	p.Random = func() float64 { return 0.05 }
	assert.Assert(t, escalates(0.25))
	p.Random = func() float64 { return 0.99 }
	untargeted := twoModels
	untargeted.Target = 0
	assert.Equal(t, p.Start(untargeted), 1)
	unreachable := twoModels
	unreachable.Target = 0.99
	assert.Equal(t, p.Start(unreachable), 1)
	sensitive := twoModels
	sensitive.LatencySensitive = true
	p.Start(sensitive)
	_, ok := p.Escalate(sensitive, 0, dhcascade.Signal{Value: 0.25, Known: true})
	assert.Assert(t, !ok, "half of the answers would escalate")
	assert.Equal(t, p.Estimate("c", oak).Mean > 0.9, true)

	timers.Step(9 * time.Minute)
	assert.Equal(t, p.Start(twoModels), 0, "the last estimates are used for 10 minutes")
	timers.Step(2 * time.Minute)
	assert.Equal(t, p.Start(twoModels), 1)
	next, ok := p.Escalate(twoModels, 0, dhcascade.Signal{Value: 0.95, Known: true})
	assert.Assert(t, ok && next == 1)
}

// Guards against estimates that stay near the old mean after a shift.
func TestEstimatesFollowAShift(t *testing.T) {
	p, _ := newPlanner(0.99)
	for range 500 {
		p.Rate(dhcascade.Rating{Class: "c", Version: pine, Score: 0.9})
	}
	for range 60 {
		p.Rate(dhcascade.Rating{Class: "c", Version: pine, Score: 0.4})
	}
	mean := p.Estimate("c", pine).Mean
	// Exponential decay alone gives 0.73.
	assert.Assert(t, mean < 0.6, "%.2f", mean)
}

// rater fails while down is set.
type rater struct {
	down  bool
	calls int
}

func (r *rater) Rate(context.Context, dhcascade.Sample) (float64, error) {
	r.calls++
	if r.down {
		return 0, errors.New("down")
	}
	return 2, nil
}

// Guards against more calls of the rating service than the limit, against
// requests that wait for it, and against scores that are out of range or come
// from a failed call.
func TestSamplerIsBounded(t *testing.T) {
	p, timers := newPlanner(0)
	r := &rater{down: true}
	s := dhcascade.NewSampler(timers, p, r, 5, 4)
	sample := dhcascade.Sample{Rating: dhcascade.Rating{Class: "c", Version: pine}}
	offer := func() int {
		n := 0
		for range 100 {
			if s.Offer(sample) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, offer(), 4, "the queue is full")
	group := dhgroup.New(context.Background())
	group.Go(s.Run)
	for range 4 {
		timers.Step(time.Second)
		for range 1000 {
			runtime.Gosched()
		}
	}
	assert.Equal(t, p.Estimate("c", pine).Ratings, 0.0)
	group.Stop()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
	r.down, r.calls = false, 0
	group = dhgroup.New(context.Background())
	group.Go(s.Run)
	timers.Step(time.Second)
	assert.Assert(t, offer() <= 5, "the rate limit")
	for p.Estimate("c", pine).Ratings == 0 {
		runtime.Gosched()
	}
	assert.Equal(t, p.Estimate("c", pine).Mean, 1.0)
	group.Stop()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
}
