package dhlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against retries that exceed a tenth of the load, hedges of requests
// that must not run twice, and hedges that use up the retry budget.
func TestBudget(t *testing.T) {
	var b dhlimit.Budget
	retries := 0
	for range 1000 {
		b.RecordAttempt("p")
		if b.Retry("p") == nil {
			retries++
		}
	}
	assert.Equal(t, retries, 100)
	for range 1000 {
		b.RecordAttempt("p")
	}
	assert.Assert(t, !b.Hedge("p", false))
	hedges := 0
	for b.Hedge("p", true) {
		hedges++
	}
	retries = 0
	for b.Retry("p") == nil {
		retries++
	}
	assert.Equal(t, hedges, 6)
	assert.Equal(t, retries, 4)
	err := b.Retry("p")
	assert.Equal(t, dhcode.Of(err), dhcode.RetryBudgetSpent)
	assert.Equal(t, dhcode.RanOf(err), dhcode.RanUnknown)
	low := dhlimit.Backoff{Random: func() float64 { return 0 }}
	assert.Equal(t, low.Delay(0), 25*time.Millisecond)
	assert.Equal(t, low.Delay(100), time.Second)
}

// Guards against a breaker that never closes again because all requests of its backend
// server must not be repeated (incident BUDGET, whole requests).
func TestBreakerClosesForRequestsThatRunOnce(t *testing.T) {
	timers := dhtimer.NewStepped()
	b := &dhlimit.Breakers{Timers: timers, Backoff: dhlimit.Backoff{Random: func() float64 { return 0.5 }}}
	b.Trip("x")
	timers.Step(time.Second)
	assert.Assert(t, !b.Closed("x"), "a request that may be repeated goes first")
	timers.Step(time.Second)
	assert.Assert(t, b.Closed("x") && b.Begin("x") && !b.Closed("x"))
	b.End("x", true)
	assert.Assert(t, b.Closed("x"))
}

// Guards against a breaker that does not open, that lets several trials
// through, or that never closes again.
func TestBreaker(t *testing.T) {
	timers := dhtimer.NewStepped()
	b := &dhlimit.Breakers{Timers: timers, Backoff: dhlimit.Backoff{Random: func() float64 { return 0.5 }}}
	for range 5 {
		assert.Assert(t, b.Begin("x"))
		b.End("x", false)
	}
	assert.Assert(t, b.Open("x") && !b.Begin("x") && !b.Open("y"))
	timers.Step(time.Second)
	assert.Assert(t, !b.Open("x") && b.Begin("x") && !b.Begin("x") && b.Open("x"))
	b.End("x", false)
	timers.Step(time.Second)
	assert.Assert(t, b.Open("x"), "a failed trial doubles the time")
	timers.Step(time.Second)
	assert.Assert(t, b.Begin("x"))
	b.Cancel("x")
	assert.Assert(t, b.Begin("x"), "a cancelled trial makes room for another")
	b.End("x", true)
	assert.Assert(t, b.Begin("x") && b.Begin("x"))
	for i := range 20 {
		b.End("y", i%2 == 0)
	}
	assert.Assert(t, b.Open("y"), "every second attempt fails")
}
