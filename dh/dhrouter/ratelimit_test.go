package dhrouter

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgrant"
)

// limiting states a limit of n requests/s; a negative n states one that cannot be
// read.
func limiting(n float64) func(in *Inbound) {
	return func(in *Inbound) {
		in.RateLimit, in.InvalidRateLimit = dhgrant.Limit{Stated: n >= 0, PerSecond: max(n, 0)}, n < 0
	}
}

// permissive tracks limits and permits every request.
type permissive struct{ *dhgrant.Shares }

func (permissive) Available(*dhbackend.Backend, float64) bool { return true }
func (permissive) Acquire(*dhbackend.Backend) bool            { return true }

type fixedClock time.Duration

func (c fixedClock) Elapsed() time.Duration { return time.Duration(c) }

// Guards against a limit of which the log does not say when it began, changed or
// ended and on which request's answer, and against an answer that ends a limit
// although the backend server may not have sent it.
func TestRateLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := text("done")
		f := newTestRouter(
			t, reply(200, done), reply(200, done, limiting(3)), reply(200, done, limiting(3)), reply(200, done, limiting(2)), reply(200, done, limiting(-1)),
			reply(421, done, moved), reply(200, done, func(in *Inbound) { in.Sealed = false }), reply(200, done),
		)
		var log strings.Builder
		f.Log = slog.New(slog.NewTextHandler(&log, nil))
		f.RateLimits = permissive{&dhgrant.Shares{Timers: f.timers, Clock: fixedClock(0)}}
		f.useOneBackend(t)
		for i := range 8 {
			_, _, _ = f.ask(t, "look", func(m *Message) { m.ID = fmt.Sprint("r", i+1) }) // only the log is checked
			f.timers.Step(10 * time.Minute)
		}
		var lines []string
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, "rate limit") {
				_, line, _ = strings.Cut(strings.TrimSpace(line), "msg=")
				lines = append(lines, line)
			}
		}
		assert.DeepEqual(t, lines, []string{
			`"rate limit of backend server" backend=b0 incarnation=0 change=begun limit=3 request=r2`,
			`"rate limit of backend server" backend=b0 incarnation=0 change=changed limit=2 request=r4`,
			`"rate limit of backend server not read" backend=b0 request=r5 limit=none`,
			`"rate limit of backend server" backend=b0 incarnation=0 change=ended limit=none request=r8`,
		})
	})
}

// useOneBackend leaves one backend server in the pool.
func (f *testRouter) useOneBackend(t *testing.T) {
	t.Helper()
	table := dhbackend.Table{Lease: time.Hour, MaxBackends: 1}
	assert.NilError(t, table.Announce(f.Snapshot().Backends.Pool("p")[0]))
	f.Publish(&Snapshot{Tables: testTables(), Backends: table.View(f.timers.Now())})
}

// Guards against a refusal that waits, promises too little or does not lead to the
// limit behind it, and against callers that all return at the same time.
func TestRateLimitedPoolRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done"), limiting(0.5)))
		f.RateLimits = &dhgrant.Shares{Timers: f.timers, Clock: fixedClock(0)}
		f.useOneBackend(t)
		_, _, err := f.ask(t, "order")
		assert.NilError(t, err)
		start := f.timers.Now()
		seen := map[time.Duration]bool{}
		for _, draw := range []float64{0, 0.3, 0.9} {
			f.Random = func() float64 { return draw }
			_, begun, err := f.ask(t, "order")
			assert.Equal(t, dhcode.Of(err), dhcode.PoolRateLimited)
			assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
			assert.ErrorContains(t, err, `"b0", which limits all VMs to 0.5 requests/s`)
			after := dhcode.RetryAfterOf(err)
			assert.Assert(t, after >= 2*time.Second && after <= 4*time.Second+minRetryAfter+retryAfterJitter, "%v", after)
			assert.Assert(t, !begun && f.timers.Now().Equal(start) && !seen[after])
			seen[after] = true
		}
		assert.Equal(t, len(f.transport.sent), 1)
	})
}

// Guards against an unsure answer that is dropped although no backend server may
// get the request of the larger model.
func TestUnsureAnswerIsKeptUnderRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text(event1+event2), events, confidence(1), limiting(1)))
		f.RateLimits = &dhgrant.Shares{Timers: f.timers, Clock: fixedClock(0)}
		f.useOneBackend(t)
		w, _, err := f.ask(t, "plan")
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), event1+event2)
		assert.Equal(t, len(f.transport.sent), 1)
	})
}

// Guards against a send that does not count against the limit: a retry, a resumed
// stream, an answer of a larger model or a request of a session. One request is
// permitted for each of the three backend servers.
func TestEachSendCountsAgainstTheLimit(t *testing.T) {
	type answer = func(context.Context, *Outbound) (*Inbound, error)
	for name, c := range map[string]struct {
		route   string
		answers []answer
	}{
		"retries":        {"look", []answer{failWith(dhcode.RanUnknown)}},
		"refusals":       {"look", []answer{reply(503, text(""), notRun)}},
		"resumed stream": {"plan", []answer{reply(200, resetAfter(event1), events)}},
		"larger model":   {"plan", []answer{reply(200, text(event1), events, confidence(1))}},
		"session":        {"look", []answer{reply(200, text("done"))}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestRouter(t, c.answers...)
				counted := &countedLimits{left: map[string]int{"b0": 1, "b1": 1, "b2": 1}}
				f.RateLimits = counted
				for range 6 {
					_, _, _ = f.ask(t, c.route, func(m *Message) { m.Session = "s" }) // only the sends are checked
				}
				assert.Equal(t, len(f.transport.sent), 3)
			})
		})
	}
}

// countedLimits permits a number of requests to each backend server.
type countedLimits struct{ left map[string]int }

func (c *countedLimits) Observe(string, uint64, dhgrant.Observation) dhgrant.Change {
	return dhgrant.Unchanged
}
func (c *countedLimits) Available(b *dhbackend.Backend, _ float64) bool { return c.left[b.ID] > 0 }
func (c *countedLimits) Wait(*dhbackend.Backend) (time.Duration, dhgrant.Limit) {
	return time.Second, dhgrant.Limit{Stated: true, PerSecond: 1}
}

func (c *countedLimits) Acquire(b *dhbackend.Backend) bool {
	c.left[b.ID]--
	return c.left[b.ID] >= 0
}
