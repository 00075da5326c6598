package dhrouter

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
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
