package dhsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhtimer"
)

// history feeds a judge on a stepped clock.
type history struct {
	*Judge
	timers *dhtimer.Stepped
}

func newHistory() history {
	timers := dhtimer.NewStepped()
	return history{&Judge{Timers: timers}, timers}
}

// configuration sends a configuration and acknowledges it.
func (h history) configuration(version uint64, keys ...string) {
	c := sentConfiguration{text: "text", keys: append(keys, keyAlways), valid: true}
	for _, r := range routes {
		c.routes = append(c.routes, r.name)
	}
	h.Ordered(version, c)
	h.Acknowledged(version, "control-0", http.StatusOK)
}

// ask sends a request on a route.
func (h history) ask(route int, key string) *request {
	r := &request{id: "r-1", method: http.MethodPost, path: "/p", body: 7, route: routes[route], key: key, entry: "entry-0"}
	h.Sent(r)
	return r
}

// arrive lets a request run on a backend server.
func (h history) arrive(r *request, backend string, change func(*seen)) {
	s := seen{
		id: r.id, method: r.method, path: r.path, body: r.body, account: accountName, model: r.route.models[0],
		backend: backend, pool: r.route.pool, zone: "zone-0", seal: "seal-" + backend,
	}
	if change != nil {
		change(&s)
	}
	h.Arrived(s)
	h.Finished(r.id, backend, http.StatusOK)
}

// good is the answer of a backend server.
func good(r *request, backend string) outcome {
	o := outcome{status: http.StatusOK, seal: "seal-" + backend, id: r.id, whole: true}
	if !r.route.stream {
		o.body = plainBody(backend, r.id)
		return o
	}
	for n := 1; n <= lastEvent; n++ {
		o.body += event(r.id, n)
	}
	return o
}

// settle begins the calm span and lets the contact bound pass.
func (h history) settle() {
	h.calm()
	h.timers.Step(contactBound + time.Second)
}

// The routes of the tests, by their place in routes.
const (
	plan = iota
	talk
	order
	look
)

// Guards against a check that notices nothing: each row breaks one promise.
func TestJudgeNoticesBreaks(t *testing.T) {
	for name, row := range map[string]struct {
		rule string
		play func(h history)
	}{
		"request that nobody sent": {"unasked", func(h history) {
			h.Arrived(seen{id: "none", backend: "b", pool: poolPlain})
		}},
		"changed body": {"unasked", func(h history) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *seen) { s.body++ })
		}},
		"changed path": {"unasked", func(h history) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *seen) { s.path += "x" })
		}},
		"other client account": {"unasked", func(h history) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *seen) { s.account = "other" })
		}},
		"key passed on": {"unasked", func(h history) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *seen) { s.keyShown = true })
		}},
		"other model": {"unasked", func(h history) {
			h.arrive(h.ask(talk, keyAlways), "b", func(s *seen) { s.model = models[1] })
		}},
		"other pool": {"route", func(h history) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *seen) { s.pool = poolEngine })
		}},
		"order runs twice": {"twice", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.arrive(r, "c", nil)
		}},
		"too many attempts": {"budget", func(h history) {
			r := h.ask(look, keyAlways)
			for range r.route.attempts + 1 {
				h.arrive(r, "b", nil)
			}
		}},
		"too many repeats": {"budget", func(h history) {
			r := h.ask(plan, keyAlways)
			for range retrySlack + 3 {
				h.arrive(r, "b", func(s *seen) { s.refused = true })
			}
		}},
		"refused after it ran": {"refused", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
		}},
		"runs after it was refused": {"refused", func(h history) {
			r := h.ask(order, keyAlways)
			h.Answered(r, outcome{status: http.StatusTooManyRequests})
			h.arrive(r, "b", nil)
		}},
		"success without a seal": {"mixed", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := good(r, "b")
			o.seal = ""
			h.Answered(r, o)
		}},
		"other body": {"mixed", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := good(r, "b")
			o.body = o.body[1:]
			h.Answered(r, o)
		}},
		"other answer": {"mixed", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := good(r, "b")
			o.id = "other"
			h.Answered(r, o)
		}},
		"seal with another status": {"mixed", func(h history) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.Answered(r, outcome{status: http.StatusInternalServerError, seal: "seal-b", id: r.id})
		}},
		"event twice": {"order", func(h history) {
			r := h.ask(plan, keyAlways)
			h.arrive(r, "b", nil)
			o := good(r, "b")
			o.body = event(r.id, 1) + o.body
			h.Answered(r, o)
		}},
		"stream ends as complete too early": {"order", func(h history) {
			r := h.ask(plan, keyAlways)
			h.arrive(r, "b", nil)
			o := good(r, "b")
			o.body = event(r.id, 1)
			h.Answered(r, o)
		}},
		"answers lost": {"lost", func(h history) {
			for range lostAllowed + 1 {
				r := h.ask(order, keyAlways)
				h.arrive(r, "b", nil)
				h.Answered(r, outcome{closed: true})
			}
		}},
		"revoked key runs": {"revoked", func(h history) {
			h.configuration(1, "key-1")
			h.configuration(2)
			h.timers.Step(keyBound + time.Millisecond)
			h.arrive(h.ask(order, "key-1"), "b", nil)
		}},
		"unknown key runs": {"revoked", func(h history) {
			h.arrive(h.ask(order, keyUnknown), "b", nil)
		}},
		"key and route of all configurations refused": {"denied", func(h history) {
			h.Answered(h.ask(order, keyAlways), outcome{status: http.StatusNotFound})
		}},
		"new key refused": {"config", func(h history) {
			h.settle()
			h.configuration(2, "key-2")
			h.timers.Step(applyBound + time.Millisecond)
			h.Answered(h.ask(order, "key-2"), outcome{status: http.StatusUnauthorized})
		}},
		"removed route runs": {"config", func(h history) {
			h.settle()
			h.Ordered(2, sentConfiguration{text: "text", keys: []string{keyAlways}, routes: []string{"look"}, valid: true})
			h.Acknowledged(2, "control-0", http.StatusOK)
			h.timers.Step(applyBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"invalid configuration acknowledged": {"config", func(h history) {
			h.Ordered(2, sentConfiguration{})
			h.Acknowledged(2, "control-0", http.StatusOK)
		}},
		"valid configuration refused": {"config", func(h history) {
			h.configuration(2)
			h.Acknowledged(2, "control-1", http.StatusConflict)
		}},
		"older configuration read": {"config", func(h history) {
			h.configuration(2)
			h.timers.Step(applyBound + time.Millisecond)
			h.ReadBack(1, "text", "control-0", h.timers.Now())
		}},
		"other content read": {"config", func(h history) {
			h.configuration(2)
			h.ReadBack(2, "other", "control-0", h.timers.Now())
		}},
		"configuration gone": {"lost", func(h history) { h.Unread("control-0") }},
		"request after a leave": {"drain", func(h history) {
			h.settle()
			h.Left("b")
			h.timers.Step(drainBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"request to a zone that is out": {"evacuation", func(h history) {
			h.settle()
			h.Evacuated("zone-0", true)
			h.timers.Step(evacuateBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"requests of callers that have left": {"gone", func(h history) {
			h.settle()
			for range lateAllowed + 1 {
				r := h.ask(look, keyAlways)
				h.Answered(r, outcome{left: true})
				h.timers.Step(time.Second)
				h.arrive(r, "b", nil)
			}
		}},
		"cold backend server overrun": {"cold", func(h history) {
			for range int(coldPerSecond*coldOvershoot+coldSlack) + 1 {
				h.arrive(h.ask(look, keyAlways), "b", func(s *seen) { s.cold = true })
			}
		}},
		"leaving backend server that gets a request": {"drain", func(h history) {
			r := h.ask(look, keyAlways)
			h.arrive(r, "b", func(s *seen) { s.leaving = true })
			h.Answered(r, good(r, "b"))
			h.timers.Step(drainBound + time.Millisecond)
			r = h.ask(look, keyAlways)
			h.arrive(r, "b", nil)
		}},
		"backend server that gets requests in its pause": {"budget", func(h history) {
			r := h.ask(look, keyAlways)
			h.arrive(r, "b", func(s *seen) { s.refused = true })
			h.ToldPause(r.id, "b", pauseAsked)
			h.timers.Step(pauseGrace + time.Millisecond)
			for i := range pauseAllowed + 1 {
				r := h.ask(look, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *seen) { s.refused = true })
			}
		}},
		"bad version exposed": {"exposure", func(h history) {
			h.RolloutOrdered(poolEngine, true)
			const requests = 40 // of which 36 are allowed
			for i := range requests {
				r := h.ask(plan, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *seen) { s.version = versionNew })
			}
		}},
		"bad version after its proof": {"exposure", func(h history) {
			h.settle()
			h.RolloutOrdered(poolEngine, false)
			for i := range badAnswers {
				r := h.ask(plan, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *seen) { s.version = versionNew })
				h.Finished(r.id, "b", http.StatusInternalServerError)
			}
			h.timers.Step(rollbackBound + time.Millisecond)
			h.arrive(h.ask(plan, keyAlways), "b", func(s *seen) { s.version = versionNew })
		}},
		"bad version completed": {"rollout", func(h history) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusOK, `{"State":"completed","Target":"v2"}`)
		}},
		"other rollout told": {"rollout", func(h history) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusOK, `{"State":"in_progress","Target":"v1"}`)
		}},
		"rollout forgotten": {"rollout", func(h history) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutAcknowledged()
			h.timers.Step(applyBound + time.Millisecond)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusNotFound, "")
		}},
		"process that ends with an error after SIGTERM": {"stop", func(h history) {
			h.Stopped("entry-0", h.timers.Now(), http.ErrAbortHandler)
		}},
		"nothing served after the recovery": {"recover", func(h history) {
			h.settle()
			h.Answered(h.ask(order, keyAlways), outcome{status: http.StatusServiceUnavailable})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.configuration(1)
			row.play(h)
			var report Report
			h.finish(&report)
			assert.Assert(t, len(report.Violations) > 0)
			for _, v := range report.Violations {
				assert.Assert(t, strings.HasPrefix(v, row.rule+":"), v)
			}
		})
	}
}

// Guards against a check that sees a break where there is none.
func TestJudgeAcceptsSoundRun(t *testing.T) {
	h := newHistory()
	h.configuration(1, "key-1")
	for route := range routes {
		r := h.ask(route, "key-1")
		h.arrive(r, "b", nil)
		h.Answered(r, good(r, "b"))
	}
	retried := h.ask(look, keyAlways)
	h.arrive(retried, "b", nil)
	h.arrive(retried, "c", nil)
	h.Answered(retried, good(retried, "c"))
	killed := h.Disturb("entry-0")
	for range lostAllowed + 1 {
		r := h.ask(order, keyAlways)
		h.arrive(r, "b", nil)
		h.Answered(r, outcome{closed: true})
	}
	h.Stopped("entry-0", h.timers.Now(), http.ErrAbortHandler)
	killed()
	h.settle()
	h.configuration(2)
	h.timers.Step(keyBound - time.Millisecond)
	late := h.ask(order, "key-1")
	h.arrive(late, "b", nil)
	h.Answered(late, good(late, "b"))
	h.Answered(h.ask(order, "key-1"), outcome{status: http.StatusUnauthorized})
	served := h.ask(look, keyAlways)
	h.arrive(served, "b", nil)
	h.Answered(served, good(served, "b"))
	h.ReadBack(2, "text", "control-0", h.timers.Now())
	var report Report
	h.finish(&report)
	assert.DeepEqual(t, report.Violations, []string(nil))
	assert.Equal(t, report.CalmServed, 1)
}

// Guards against a series that differs between two runs of a seed, loses two
// disks, or lasts longer than the storm.
func TestFaultsOfSeed(t *testing.T) {
	const storm = 10 * time.Second
	for seed := range uint64(200) {
		draw := func() (Size, []fault) {
			random := rand.New(rand.NewPCG(seed, seed))
			size := Size{}.with(random)
			return size, drawFaults(random, size, storm)
		}
		size, list := draw()
		again, repeated := draw()
		assert.Equal(t, size, again)
		assert.Equal(t, len(list), len(repeated))
		wiped := 0
		for i, f := range list {
			assert.Equal(t, f, repeated[i])
			assert.Assert(t, f.at+f.lasts <= storm, f.String())
			if f.kind == wipeDisk {
				wiped++
			}
		}
		assert.Assert(t, wiped <= 1)
	}
}
