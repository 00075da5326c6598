package dhrouter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// tokens makes a request's prompt so long.
func tokens(n int) func(m *Message) { return func(m *Message) { m.PromptTokens = n } }

// Guards against one pace for all models, and against an expectation that one
// slow backend server changes much.
func TestPaces(t *testing.T) {
	var p paces
	assert.Equal(t, p.expected("p", "large", 5000), time.Duration(0))
	for range 10 {
		p.observe("p", "large", 9000, time.Second)
	}
	p.observe("p", "small", 9000, 100*time.Millisecond)
	assert.Equal(t, p.expected("p", "large", 19_000), 2*time.Second)
	assert.Equal(t, p.expected("p", "small", 19_000), 200*time.Millisecond)
	p.observe("p", "large", 9000, 2*time.Second)
	assert.Assert(t, p.expected("p", "large", 9000) < 1200*time.Millisecond)
}

// Answers the pattern of long prompts whose unsure answer was dropped for one of
// the large model that came later than wanted, and was worth a tenth (at
// stmaurice-coupe-large these lost most of the credit): the answer is kept when
// the larger model would read too long, unless it is hardly ever right.
func TestUnsureAnswerIsKeptWhenTheNextIsLate(t *testing.T) {
	for _, c := range []struct {
		tokens, confidence, sends int
	}{{60_000, 30, 1}, {60_000, 5, 2}, {5_000, 30, 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := newForwarder(t, reply(200, text(event1), events, confidence(c.confidence)), reply(200, text(event2), events))
			f.paces.observe("p", "large", 9000, 500*time.Millisecond)
			w, _, err := f.ask(t, "plan", tokens(c.tokens))
			assert.NilError(t, err)
			assert.Equal(t, len(f.passer.sent), c.sends)
			assert.Equal(t, w.Body.String(), []string{event1, event2}[c.sends-1])
		})
	}
}

// Answers the pattern of backend servers that have crashed or hang: a short
// prompt is not awaited as long as a long one may take.
func TestFirstEventIsAwaitedAsExpected(t *testing.T) {
	hang := func(ctx context.Context, _ *Outbound) (*Inbound, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	for _, c := range []struct {
		tokens        int
		least, atMost time.Duration
	}{{1000, time.Second, 1500 * time.Millisecond}, {60_000, 2 * time.Second, 2500 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			f := newForwarder(t, hang, reply(200, text(event1+event2), events))
			f.paces.observe("p", "small", 9000, 200*time.Millisecond)
			start := f.timers.Now()
			_, _, err := f.ask(t, "plan", tokens(c.tokens))
			assert.NilError(t, err)
			took := f.timers.Now().Sub(start)
			assert.Assert(t, took >= c.least && took <= c.atMost, "%s", took)
		})
	}
}
