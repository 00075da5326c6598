package dhrouter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// promptTokens sets the length of a request's prompt.
func promptTokens(n int) func(m *Message) { return func(m *Message) { m.PromptTokens = n } }

// observeLinear records answers that take 100 ms plus a fixed time per thousand
// tokens.
func (p *latencyFits) observeLinear(model string, perThousand time.Duration) {
	for _, tokens := range []int{500, 1000, 4000, 12_000, 600} {
		p.observe("p", model, tokens, 100*time.Millisecond+perThousand*time.Duration(tokens)/1000)
	}
}

// Guards against estimates for long prompts that are extrapolated from short
// ones, whose time is mostly not prefill, against one fit shared by all models,
// and against an estimate that one answer changes much.
func TestLatencyFits(t *testing.T) {
	near := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got > want*9/10 && got < want*11/10, "%v, want %v", got, want)
	}
	var p latencyFits
	assert.Equal(t, p.expected("p", "large", 5000), time.Duration(0))
	p.observe("p", "large", 500, time.Second)
	assert.Equal(t, p.expected("p", "large", 5000), time.Duration(0), "after one answer")
	p = latencyFits{}
	p.observeLinear("large", 50*time.Millisecond)
	p.observeLinear("small", 4*time.Millisecond)
	near(p.expected("p", "large", 30_000), 1600*time.Millisecond)
	near(p.expected("p", "large", 500), 125*time.Millisecond)
	near(p.expected("p", "small", 30_000), 220*time.Millisecond)
	for range 40 {
		p.observe("p", "large", 2000, 200*time.Millisecond)
	}
	p.observe("p", "large", 2000, 2*time.Second)
	assert.Assert(t, p.expected("p", "large", 2000) < 300*time.Millisecond)
}

// Guards against low-confidence answers to long prompts that are dropped for an
// answer of the large model that comes after the target time, when it is worth a
// tenth. The answer must be kept if the larger model's prefill would take too
// long, unless it is hardly ever correct.
func TestUncertainAnswerIsKeptWhenEscalationIsLate(t *testing.T) {
	for _, c := range []struct {
		objective                 time.Duration
		tokens, confidence, sends int
	}{
		{2 * time.Second, 60_000, 30, 1},
		{2 * time.Second, 60_000, 5, 2},
		{2 * time.Second, 5_000, 30, 2},
		{0, 60_000, 30, 2}, // without an objective, the target is 8 of the 20 s
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, reply(200, text(event1), events, confidence(c.confidence)), reply(200, text(event2), events))
			route, _ := f.Snapshot().Tables.FindRoute("h", "/plan/")
			route.Objective = c.objective
			f.latencyFits.observeLinear("large", 50*time.Millisecond)
			w, _, err := f.ask(t, "plan", promptTokens(c.tokens))
			assert.NilError(t, err)
			assert.Equal(t, len(f.transport.sent), c.sends)
			assert.Equal(t, w.Body.String(), []string{event1, event2}[c.sends-1])
		})
	}
}

// Guards against requests with short prompts that wait for a crashed or hanging
// backend server as long as a long prompt may take.
func TestFirstEventTimeoutFollowsFit(t *testing.T) {
	hang := func(ctx context.Context, _ *Outbound) (*Inbound, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	for _, c := range []struct {
		tokens        int
		least, atMost time.Duration
	}{{1000, time.Second, 1500 * time.Millisecond}, {60_000, 2 * time.Second, 2500 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestRouter(t, hang, reply(200, text(event1+event2), events))
			f.latencyFits.observeLinear("small", 20*time.Millisecond)
			start := f.timers.Now()
			_, _, err := f.ask(t, "plan", promptTokens(c.tokens))
			assert.NilError(t, err)
			took := f.timers.Now().Sub(start)
			assert.Assert(t, took >= c.least && took <= c.atMost, "%s", took)
		})
	}
}
