package dhrouter

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against a delay that never decays, so that a recovered model is not
// used again.
func TestDelaysDecay(t *testing.T) {
	var d delays
	now := time.Now()
	for range 20 {
		d.observe("p", "large", 4*time.Second, now)
	}
	assert.Assert(t, d.expected("p", "large", now) > 3*time.Second)
	assert.Assert(t, d.expected("p", "large", now.Add(10*time.Second)) < 200*time.Millisecond)
	assert.Equal(t, d.expected("p", "small", now), time.Duration(0))
}

// Guards against escalation to the large model while a burst of long prompts
// overloads it, where answers come late and delay the others.
func TestOverloadKeepsUncertainAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text(event1), events, confidence(20)))
		for range 20 {
			f.delays.observe("p", "large", 2*time.Second, f.timers.Now())
		}
		w, _, err := f.ask(t, "plan")
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), event1)
		assert.Equal(t, len(f.transport.sent), 1)
		f.timers.Step(10 * time.Second)
		_, _, err = f.ask(t, "plan")
		assert.NilError(t, err)
		assert.Equal(t, f.transport.sent[len(f.transport.sent)-1].Model, "large")
	})
}

// Guards against requests that are refused after all VMs restart at once, by a
// VM that receives its tables a moment later.
func TestRequestsWaitForStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, strings.NewReader("done")))
		ready := f.Snapshot()
		var table dhbackend.Table
		f.Publish(&Snapshot{Backends: table.View(f.timers.Now())})
		f.timers.After(400*time.Millisecond, func(time.Time) {
			f.Publish(&Snapshot{Tables: ready.Tables, Backends: table.View(f.timers.Now())})
		})
		f.timers.After(900*time.Millisecond, func(time.Time) { f.Publish(ready) })
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)

		f.Publish(&Snapshot{Backends: table.View(f.timers.Now())})
		start := f.timers.Now()
		_, _, err = f.ask(t, "look")
		assert.Equal(t, dhcode.Of(err), dhcode.NoTables)
		assert.Assert(t, f.timers.Now().Sub(start) <= maxStartupWait+startupPollInterval)
		f.timers.Step(5 * time.Second)
		start = f.timers.Now()
		_, _, err = f.ask(t, "look")
		assert.Equal(t, dhcode.Of(err), dhcode.NoTables)
		assert.Equal(t, f.timers.Now(), start)
		_, err = f.Forward(cancelled(t), &Message{ID: "r1", Host: "h", Path: "/look/1"}, nil)
		assert.Assert(t, err != nil)
	})
}

// delayedLease becomes valid at a given time.
type delayedLease struct {
	timers dhtimer.Service
	at     time.Time
}

func (l delayedLease) Valid() bool { return !l.timers.Now().Before(l.at) }

func (l delayedLease) ConfirmedWithin(time.Duration) bool { return l.Valid() }

// Guards against refusals after a loss of all VMs. Entry VMs and control VMs
// start together, and entry VMs refused requests for half a second that they
// could serve a moment later, because the lease was not yet confirmed or the few
// backend servers that had announced themselves were full.
func TestRequestsWaitForLeaseAndBackends(t *testing.T) {
	for _, c := range []struct {
		name            string
		lease, complete time.Duration
		least, atMost   time.Duration
		route           string
	}{
		{name: "lease", lease: 300 * time.Millisecond, least: 300 * time.Millisecond, atMost: 400 * time.Millisecond, route: "look"},
		{name: "public", lease: time.Hour, atMost: time.Millisecond, route: "public"},
		{name: "view", complete: 400 * time.Millisecond, least: 400 * time.Millisecond, atMost: 500 * time.Millisecond, route: "look"},
		{name: "late view", complete: time.Hour, least: partialViewWait, atMost: partialViewWait + startupPollInterval, route: "look"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestRouter(t, reply(200, strings.NewReader("done")))
				start := f.timers.Now()
				f.setLease(delayedLease{f.timers, start.Add(c.lease)})
				whole := f.Snapshot()
				f.Publish(&Snapshot{Tables: whole.Tables, Lease: whole.Lease, Backends: whole.Backends, Partial: c.complete > 0})
				f.timers.After(c.complete, func(time.Time) { f.Publish(whole) })
				_, _, err := f.ask(t, c.route)
				assert.NilError(t, err)
				took := f.timers.Now().Sub(start)
				assert.Assert(t, took >= c.least && took <= c.atMost, "%s", took)
			})
		})
	}
}

// Guards against long waits and refusals after a loss of all VMs, when callers
// that arrived during the outage send at once. Each request waited as long as
// the first one for more backend servers, so that all answers with a short
// objective were late; and orders were refused while the only known backend
// servers were in a zone that is out of service.
func TestStartupWaitIsBounded(t *testing.T) {
	partial := func(f *testRouter) *Snapshot {
		return &Snapshot{Tables: f.Snapshot().Tables, Backends: f.Snapshot().Backends, Partial: true}
	}
	// took sends a request some time after the start and returns how long the
	// answer took.
	took := func(t *testing.T, f *testRouter, after time.Duration) time.Duration {
		f.timers.Step(after)
		start := f.timers.Now()
		_, _, err := f.ask(t, "look")
		assert.NilError(t, err)
		return f.timers.Now().Sub(start)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done")))
		f.Publish(partial(f))
		assert.Equal(t, took(t, f, partialViewWait), time.Duration(0))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done")))
		s := partial(f)
		s.Tables = testTables()
		route, _ := s.Tables.FindRoute("h", "/look/1")
		route.Objective = 300 * time.Millisecond
		f.Publish(s)
		waited := took(t, f, 0)
		assert.Assert(t, waited > 0 && waited <= 90*time.Millisecond+startupPollInterval, "%v", waited)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newTestRouter(t, reply(200, text("done")))
		whole, out := f.Snapshot(), partial(f)
		out.ZoneWeight = map[string]float64{"a": 0}
		f.Publish(out)
		f.timers.After(partialViewWait+time.Second/2, func(time.Time) { f.Publish(whole) })
		waited := took(t, f, partialViewWait)
		assert.Assert(t, waited >= time.Second/2 && waited <= time.Second/2+startupPollInterval, "%v", waited)
	})
}

func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
