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

// Guards against a request that waits behind prompts which others have yet to
// read, while a backend server with as many requests has read them all.
func TestPlaceAvoidsUnreadPrompts(t *testing.T) {
	unread := ready("a1", "a", 2)
	unread.Reading = 12000
	f := newFixture(unread, ready("a2", "a", 2))
	f.Settings.PerReadingToken = 100 * time.Microsecond
	assert.Equal(t, f.shares(t, 50, Request{PromptTokens: 100})["a2"], 50)

	f = newFixture(ready("a1", "a", 0), ready("a2", "a", 1))
	f.Settings.PerReadingToken = 100 * time.Microsecond
	r := Request{Pool: "p", Version: oak, PromptTokens: 12000, Pace: 0.5}
	own, err := f.Place(f.view, r)
	assert.NilError(t, err)
	f.Begin(&own, r)
	assert.Equal(t, own.Backend.ID, "a1")
	assert.Equal(t, f.Load("a1"), dhbackend.Load{Running: 1, Reading: 6000})
	assert.Equal(t, f.shares(t, 50, Request{PromptTokens: 100})["a2"], 50)
	f.FirstToken(own)
	assert.Equal(t, f.Load("a1"), dhbackend.Load{Running: 1})
	f.End(own, true)
	assert.Equal(t, f.Load("a1"), dhbackend.Load{})
	f.Begin(&own, r)
	f.End(own, false)
	assert.Equal(t, f.Load("a1").Reading, 0)
}

// longPrompts plays long prompts that arrive at random at half of what the
// backend servers can read, with long answers, and returns the 95th percentile
// of the time to the first token. A backend server reads one prompt after the other.
func longPrompts(t *testing.T, seed uint64, perReadingToken time.Duration) time.Duration {
	const (
		servers  = 8
		tick     = 10 * time.Millisecond
		read     = 300 * time.Millisecond
		answer   = 2 * time.Second
		requests = 600
		gap      = 2 * read / servers
	)
	var list []*dhbackend.Backend
	for i := range servers {
		list = append(list, ready(fmt.Sprint("a", i), "a", 0))
	}
	f := newFixture(list...)
	f.Settings.Sample, f.Settings.PerReadingToken = servers, perReadingToken
	random := rand.New(rand.NewPCG(seed, 1))
	type waiting struct {
		Placement
		came time.Time
		left time.Duration
	}
	queues := make(map[string][]*waiting)
	var delays []time.Duration
	next := f.timers.Now()
	for begun := 0; len(delays) < requests; f.timers.Step(tick) {
		now := f.timers.Now()
		for ; begun < requests && !next.After(now); begun++ {
			r := Request{Pool: "p", Version: oak, PromptTokens: 12000, MaxTokens: 400}
			pl, err := f.Place(f.view, r)
			assert.NilError(t, err)
			f.Begin(&pl, r)
			queues[pl.Backend.ID] = append(queues[pl.Backend.ID], &waiting{pl, now, read})
			next = next.Add(time.Duration(random.ExpFloat64() * float64(gap)))
		}
		for id, queue := range queues {
			if len(queue) == 0 {
				continue
			}
			if queue[0].left -= tick; queue[0].left > 0 {
				continue
			}
			done := queue[0]
			queues[id] = queue[1:]
			f.FirstToken(done.Placement)
			delays = append(delays, now.Sub(done.came))
			f.timers.After(answer, func(time.Time) { f.End(done.Placement, true) })
		}
	}
	slices.Sort(delays)
	return delays[len(delays)*95/100]
}

// Answers the pattern of long prompts with long answers: the number of requests
// at a backend server does not tell how many prompts it has yet to read, so that
// placement by it alone lets some wait behind two or three others.
func TestLongPromptsWaitLess(t *testing.T) {
	const seeds = 5
	var without, with time.Duration
	for seed := range uint64(seeds) {
		without += longPrompts(t, seed, 0) / seeds
		with += longPrompts(t, seed, 160*time.Microsecond) / seeds
	}
	t.Logf("95th percentile of the first token: %v by requests alone, %v with unread prompts", without, with)
	assert.Assert(t, float64(with) < 0.8*float64(without), "%v, was %v", with, without)
}
