package dhplacement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
)

// Guards against placing a request behind prompts whose prefill is pending while
// another backend server with as many requests has no pending prefill.
func TestPlaceAvoidsUnreadPrompts(t *testing.T) {
	unread := ready("a1", "a", 2)
	unread.PendingPrefill = 12000
	f := newFixture(unread, ready("a2", "a", 2))
	f.Settings.PerPendingPrefillToken = 100 * time.Microsecond
	assert.Equal(t, f.countPlacements(t, 50, Request{PromptTokens: 100})["a2"], 50)

	f = newFixture(ready("a1", "a", 0), ready("a2", "a", 1))
	f.Settings.PerPendingPrefillToken = 100 * time.Microsecond
	r := Request{Pool: "p", Version: oak, PromptTokens: 12000, RelativePrefillTime: 0.5}
	own, err := f.Place(f.view, r)
	assert.NilError(t, err)
	f.Begin(&own, r)
	assert.Equal(t, own.Backend.ID, "a1")
	assert.Equal(t, f.Load("a1"), dhbackend.Load{Running: 1, PendingPrefill: 6000})
	assert.Equal(t, f.countPlacements(t, 50, Request{PromptTokens: 100})["a2"], 50)
	f.FirstToken(own)
	assert.Equal(t, f.Load("a1"), dhbackend.Load{Running: 1})
	f.End(own, true)
	assert.Equal(t, f.Load("a1"), dhbackend.Load{})
	f.Begin(&own, r)
	f.End(own, false)
	assert.Equal(t, f.Load("a1").PendingPrefill, 0)
}

// simulateLongPrompts simulates long prompts with long answers that arrive at
// random at half of the backend servers' prefill capacity, and returns the 95th
// percentile of the time to first token. A backend server prefills one prompt
// at a time.
func simulateLongPrompts(t *testing.T, seed uint64, perPendingPrefillToken time.Duration) time.Duration {
	const (
		servers      = 8
		tick         = 10 * time.Millisecond
		prefillTime  = 300 * time.Millisecond
		answer       = 2 * time.Second
		requests     = 600
		meanInterval = 2 * prefillTime / servers
	)
	var list []*dhbackend.Backend
	for i := range servers {
		list = append(list, ready(fmt.Sprint("a", i), "a", 0))
	}
	f := newFixture(list...)
	f.Settings.Sample, f.Settings.PerPendingPrefillToken = servers, perPendingPrefillToken
	random := rand.New(rand.NewPCG(seed, 1))
	type queued struct {
		Placement
		arrived   time.Time
		remaining time.Duration
	}
	queues := make(map[string][]*queued)
	var delays []time.Duration
	next := f.timers.Now()
	for started := 0; len(delays) < requests; f.timers.Step(tick) {
		now := f.timers.Now()
		for ; started < requests && !next.After(now); started++ {
			r := Request{Pool: "p", Version: oak, PromptTokens: 12000, MaxTokens: 400}
			pl, err := f.Place(f.view, r)
			assert.NilError(t, err)
			f.Begin(&pl, r)
			queues[pl.Backend.ID] = append(queues[pl.Backend.ID], &queued{pl, now, prefillTime})
			next = next.Add(time.Duration(random.ExpFloat64() * float64(meanInterval)))
		}
		for id, queue := range queues {
			if len(queue) == 0 {
				continue
			}
			if queue[0].remaining -= tick; queue[0].remaining > 0 {
				continue
			}
			done := queue[0]
			queues[id] = queue[1:]
			f.FirstToken(done.Placement)
			delays = append(delays, now.Sub(done.arrived))
			f.timers.After(answer, func(time.Time) { f.End(done.Placement, true) })
		}
	}
	slices.Sort(delays)
	return delays[len(delays)*95/100]
}

// Guards against long times to first token with long prompts and long answers:
// the number of requests at a backend server does not show how many prompts it
// has yet to prefill, so that placement by this number alone lets some requests
// wait behind two or three others.
func TestLongPromptsWaitLess(t *testing.T) {
	const seeds = 5
	var without, with time.Duration
	for seed := range uint64(seeds) {
		without += simulateLongPrompts(t, seed, 0) / seeds
		with += simulateLongPrompts(t, seed, 160*time.Microsecond) / seeds
	}
	t.Logf("95th percentile of the first token: %v by requests alone, %v with unread prompts", without, with)
	assert.Assert(t, float64(with) < 0.8*float64(without), "%v, was %v", with, without)
}
