package dhrouter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
)

func leaving(in *Inbound) { in.Leaving = true }

func pausing(d time.Duration) func(in *Inbound) {
	return func(in *Inbound) { in.Status, in.NotRun, in.Sealed, in.Pause = 503, true, false, d }
}

// sentTo returns the ids of the backend servers in the order of the sends.
func (f *testRouter) sentTo() []string {
	var ids []string
	for _, o := range f.transport.sent {
		ids = append(ids, o.Backend.ID)
	}
	return ids
}

// Guards against a request that is sent to a backend server after it announced
// that it is leaving or while it asked for a pause: as a first attempt, as a
// retry, to resume a stream, to escalate to a larger model, and within a
// session.
func TestHeldOffBackendGetsNoRequests(t *testing.T) {
	plain, stream := reply(200, text("done")), reply(200, text(event1+event2), events)
	type answer = func(context.Context, *Outbound) (*Inbound, error)
	for _, c := range []struct {
		name, route string
		first       answer
		then        []answer
	}{
		{"first attempts after an answer", "look", reply(200, text("done"), leaving), []answer{plain}},
		{"first attempts after a failure", "look", reply(500, text(""), leaving), []answer{plain}},
		{"first attempts after a refusal", "look", reply(503, text(""), notRun, leaving), []answer{plain}},
		{"first attempts in a pause", "look", reply(503, text(""), pausing(time.Hour)), []answer{plain}},
		{"orders in a pause", "order", reply(503, text(""), pausing(time.Hour)), []answer{plain}},
		{"retries", "look", reply(200, text("done"), leaving), []answer{failWith(dhcode.RanUnknown), plain}},
		{"retries in a pause", "look", reply(503, text(""), pausing(time.Hour)), []answer{failWith(dhcode.RanUnknown), plain}},
		{"resumed streams", "plan", reply(200, resetAfter(event1), events, leaving), []answer{stream}},
		{"larger models", "plan", reply(200, text(event1), events, confidence(1), leaving), []answer{stream}},
		{"streams in a session", "plan", reply(200, text(event1+event2), events, leaving), []answer{stream}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestRouter(t, append([]answer{c.first}, c.then...)...)
				for range 12 {
					_, _, _ = f.ask(t, c.route, func(m *Message) { m.Session = "s" }) // only the destinations are checked
				}
				sent := f.sentTo()
				assert.Assert(t, len(sent) >= 12)
				assert.Assert(t, !slices.Contains(sent[1:], sent[0]), "%v", sent)
			})
		})
	}
}

// Guards against a pause that outlasts its end, and against a hold-off that
// applies to a new instance with the same id.
func TestHoldOffEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(503, text(""), pausing(2*time.Second)), reply(200, text("done")))
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)
		f.timers.Step(time.Minute)
		for range 20 {
			_, _, err = f.ask(t, "look")
			assert.NilError(t, err)
		}
		assert.Assert(t, slices.Contains(f.sentTo()[2:], f.sentTo()[0]))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done"), leaving))
		var table dhbackend.Table
		table.Lease, table.MaxBackends = time.Hour, 8
		b := *f.Snapshot().Backends.Pool("p")[0]
		assert.NilError(t, table.Announce(&b))
		f.Publish(&Snapshot{Tables: testTables(), Backends: table.View(f.timers.Now())})
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)
		_, _, err = f.ask(t, "look")
		assert.Equal(t, dhcode.Of(err), dhcode.PoolHeldOff)

		again := b
		again.Incarnation++
		assert.NilError(t, table.Announce(&again))
		f.Publish(&Snapshot{Tables: testTables(), Backends: table.View(f.timers.Now())})
		_, _, err = f.ask(t, "look")
		assert.NilError(t, err)
	})
}

// Guards against a request that waits or is sent when all backend servers of a
// pool are leaving or asked for a pause. It must be refused at once as not run,
// with a retry-after hint of the end of the first pause, within the time that
// callers wait.
func TestAllBackendsHeldOff(t *testing.T) {
	for _, c := range []struct {
		name        string
		change      func(in *Inbound)
		least, most time.Duration
	}{
		{"leaving", leaving, minRetryAfter, minRetryAfter + retryAfterJitter},
		{"short pauses", pausing(2 * time.Second), 2 * time.Second, 2*time.Second + minRetryAfter + retryAfterJitter},
		{"long pauses", pausing(time.Hour), 5 * time.Second, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestRouter(t, reply(503, text(""), notRun, c.change))
				_, _, err := f.ask(t, "order")
				assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
				assert.Equal(t, len(f.transport.sent), 3)
				start := f.timers.Now()
				_, begun, err := f.ask(t, "order")
				assert.Equal(t, dhcode.Of(err), dhcode.PoolHeldOff)
				assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
				assert.Assert(t, !begun && f.timers.Now().Equal(start))
				assert.Equal(t, len(f.transport.sent), 3)
				after := dhcode.RetryAfterOf(err)
				assert.Assert(t, after >= c.least && after <= c.most, "%v", after)
			})
		})
	}
}

// Guards against jitter that is added twice to a retry-after hint, so that
// callers stay away for longer than the bound.
func TestRetryAfterJitterIsAddedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done")))
		f.Random = func() float64 { return 0.9 }
		f.setLease(&expiringLease{})
		f.timers.Step(startupPeriod + time.Second)
		_, _, first := f.ask(t, "look")
		f.setLease(&expiringLease{checks: 2}) // valid on arrival and at admission
		_, _, late := f.ask(t, "look")
		for _, err := range []error{first, late} {
			assert.Equal(t, dhcode.Of(err), dhcode.TablesLeaseLapsed)
			assert.Assert(t, dhcode.RetryAfterOf(err) <= minRetryAfter+retryAfterJitter, "%v", err)
		}
	})
}

// Guards against a hold-off or a breaker failure recorded for a backend server
// whose address now belongs to another one, which sent the answer.
func TestMovedAnswerSetsNoHoldOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(421, text(""), moved, leaving), reply(200, text("done")))
		f.Breakers = &dhlimit.Breakers{Timers: f.timers, Backoff: dhlimit.Backoff{Base: time.Millisecond}}
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)
		f.timers.Step(time.Minute)
		for range 20 {
			_, _, err = f.ask(t, "look")
			assert.NilError(t, err)
		}
		assert.Assert(t, slices.Contains(f.sentTo()[1:], f.sentTo()[0]))
	})
}
