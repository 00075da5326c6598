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

// harness feeds events to a checker on a stepped clock.
type harness struct {
	*Checker
	timers *dhtimer.Stepped
}

func newHarness() harness {
	timers := dhtimer.NewStepped()
	return harness{&Checker{Timers: timers, Controls: []string{controlName(0), controlName(1), controlName(2)}}, timers}
}

// configuration sends a configuration with all routes and acknowledges it.
func (h harness) configuration(version uint64, keys ...string) {
	const none = -1
	h.configurationWithout(none, version, keys...)
}

// configurationWithout sends a configuration without a route and acknowledges it.
func (h harness) configurationWithout(route int, version uint64, keys ...string) {
	c := sentConfiguration{text: "text", keys: append(keys, keyAlways), valid: true}
	for i, r := range routes {
		if i != route {
			c.routes = append(c.routes, r.name)
		}
	}
	h.ConfigurationSent(version, c)
	h.ConfigurationAcknowledged(version, "control-0", http.StatusOK)
}

// ask sends a request on a route.
func (h harness) ask(route int, key string) *request {
	r := &request{id: "r-1", method: http.MethodPost, path: "/p", body: 7, route: routes[route], key: key, entry: "entry-0"}
	h.Sent(r)
	return r
}

// arrive records that a request ran on a backend server.
func (h harness) arrive(r *request, backend string, change func(*backendRequest)) {
	s := backendRequest{
		id: r.id, method: r.method, path: r.path, body: r.body, account: accountName, model: r.route.models[0],
		backend: backend, pool: r.route.pool, zone: "zone-0", seal: "seal-" + backend,
	}
	if change != nil {
		change(&s)
	}
	h.Arrived(s)
	h.Finished(r.id, backend, http.StatusOK)
}

// completeAnswer returns the complete answer of a backend server.
func completeAnswer(r *request, backend string) outcome {
	o := outcome{status: http.StatusOK, seal: "seal-" + backend, id: r.id, complete: true}
	if !r.route.stream {
		o.body = plainBody(backend, r.id)
		return o
	}
	for n := 1; n <= lastEvent; n++ {
		o.body += event(r.id, n)
	}
	return o
}

// settle begins the calm phase and advances the clock until the time bounds apply.
func (h harness) settle() {
	h.startCalm()
	h.timers.Step(settleTime + time.Second)
}

// Indexes of the tests' routes in routes.
const (
	plan = iota
	talk
	order
	look
)

// Guards against a check that detects nothing: each case violates one guarantee.
func TestCheckerDetectsViolations(t *testing.T) {
	for name, row := range map[string]struct {
		rule string
		run  func(h harness)
	}{
		"request that nobody sent": {"unasked", func(h harness) {
			h.Arrived(backendRequest{id: "none", backend: "b", pool: poolPlain})
		}},
		"changed body": {"unasked", func(h harness) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *backendRequest) { s.body++ })
		}},
		"changed path": {"unasked", func(h harness) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *backendRequest) { s.path += "x" })
		}},
		"other client account": {"unasked", func(h harness) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *backendRequest) { s.account = "other" })
		}},
		"key passed on": {"unasked", func(h harness) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *backendRequest) { s.keyForwarded = true })
		}},
		"other model": {"unasked", func(h harness) {
			h.arrive(h.ask(talk, keyAlways), "b", func(s *backendRequest) { s.model = models[1] })
		}},
		"other pool": {"route", func(h harness) {
			h.arrive(h.ask(order, keyAlways), "b", func(s *backendRequest) { s.pool = poolEngine })
		}},
		"order runs twice": {"twice", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.arrive(r, "c", nil)
		}},
		"too many attempts": {"budget", func(h harness) {
			r := h.ask(look, keyAlways)
			for range r.route.attempts + 1 {
				h.arrive(r, "b", nil)
			}
		}},
		"too many repeats": {"budget", func(h harness) {
			r := h.ask(plan, keyAlways)
			for range retrySlack + 3 {
				h.arrive(r, "b", func(s *backendRequest) { s.refused = true })
			}
		}},
		"refused after it ran": {"refused", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
		}},
		"runs after it was refused": {"refused", func(h harness) {
			r := h.ask(order, keyAlways)
			h.Answered(r, outcome{status: http.StatusTooManyRequests})
			h.arrive(r, "b", nil)
		}},
		"comes again after a refusal and runs twice": {"twice", func(h harness) {
			r := h.ask(order, keyAlways)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
			h.Sent(r)
			h.arrive(r, "b", nil)
			h.arrive(r, "c", nil)
		}},
		"comes again after a refusal, runs and is refused": {"refused", func(h harness) {
			r := h.ask(order, keyAlways)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
			h.Sent(r)
			h.arrive(r, "b", nil)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
		}},
		"comes again after a refusal with too many attempts": {"budget", func(h harness) {
			r := h.ask(look, keyAlways)
			h.Answered(r, outcome{status: http.StatusServiceUnavailable})
			h.Sent(r)
			for range r.route.attempts + 1 {
				h.arrive(r, "b", nil)
			}
		}},
		"not served after the copy of another answer": {"copied", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", func(s *backendRequest) { s.met = true })
			h.Answered(r, outcome{status: http.StatusBadGateway})
		}},
		"success without a seal": {"mixed", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := completeAnswer(r, "b")
			o.seal = ""
			h.Answered(r, o)
		}},
		"other body": {"mixed", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := completeAnswer(r, "b")
			o.body = o.body[1:]
			h.Answered(r, o)
		}},
		"other answer": {"mixed", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			o := completeAnswer(r, "b")
			o.id = "other"
			h.Answered(r, o)
		}},
		"seal with another status": {"mixed", func(h harness) {
			r := h.ask(order, keyAlways)
			h.arrive(r, "b", nil)
			h.Answered(r, outcome{status: http.StatusInternalServerError, seal: "seal-b", id: r.id})
		}},
		"event twice": {"order", func(h harness) {
			r := h.ask(plan, keyAlways)
			h.arrive(r, "b", nil)
			o := completeAnswer(r, "b")
			o.body = event(r.id, 1) + o.body
			h.Answered(r, o)
		}},
		"stream ends as complete too early": {"order", func(h harness) {
			r := h.ask(plan, keyAlways)
			h.arrive(r, "b", nil)
			o := completeAnswer(r, "b")
			o.body = event(r.id, 1)
			h.Answered(r, o)
		}},
		"answers lost": {"lost", func(h harness) {
			for range maxLostAnswers + 1 {
				r := h.ask(order, keyAlways)
				h.arrive(r, "b", nil)
				h.Answered(r, outcome{closed: true})
			}
		}},
		"revoked key runs": {"revoked", func(h harness) {
			h.configuration(1, "key-1")
			h.configuration(2)
			h.timers.Step(keyBound + time.Millisecond)
			h.arrive(h.ask(order, "key-1"), "b", nil)
		}},
		"unknown key runs": {"revoked", func(h harness) {
			h.arrive(h.ask(order, keyUnknown), "b", nil)
		}},
		"key and route of all configurations refused": {"denied", func(h harness) {
			h.Answered(h.ask(order, keyAlways), outcome{status: http.StatusNotFound})
		}},
		"new key refused": {"config", func(h harness) {
			h.settle()
			h.configuration(2, "key-2")
			h.timers.Step(applyBound + time.Millisecond)
			h.Answered(h.ask(order, "key-2"), outcome{status: http.StatusUnauthorized})
		}},
		"removed route runs": {"config", func(h harness) {
			h.settle()
			h.configurationWithout(order, 2)
			h.timers.Step(applyBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"removed route runs beside a fault of a control VM": {"config", func(h harness) {
			defer h.Disturb("control-1", controlPlane)()
			h.configurationWithout(order, 2)
			h.timers.Step(applyBound + outerBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"new key refused beside a fault of a control VM": {"config", func(h harness) {
			defer h.Disturb("control-1", controlPlane)()
			h.configuration(2, "key-2")
			h.timers.Step(applyBound + outerBound + time.Millisecond)
			h.Answered(h.ask(order, "key-2"), outcome{status: http.StatusUnauthorized})
		}},
		"invalid configuration acknowledged": {"config", func(h harness) {
			h.ConfigurationSent(2, sentConfiguration{})
			h.ConfigurationAcknowledged(2, "control-0", http.StatusOK)
		}},
		"valid configuration refused": {"config", func(h harness) {
			h.configuration(2)
			h.ConfigurationAcknowledged(2, "control-1", http.StatusConflict)
		}},
		"older configuration read": {"config", func(h harness) {
			h.configuration(2)
			h.timers.Step(applyBound + time.Millisecond)
			h.ReadBack(1, "text", "control-0", h.timers.Now())
		}},
		"other content read": {"config", func(h harness) {
			h.configuration(2)
			h.ReadBack(2, "other", "control-0", h.timers.Now())
		}},
		"configuration gone": {"lost", func(h harness) { h.ReadFailed("control-0") }},
		"request after a leave": {"drain", func(h harness) {
			h.settle()
			h.LeaveAcknowledged("b")
			h.timers.Step(drainBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"request after a leave in the storm": {"drain", func(h harness) {
			h.LeaveAcknowledged("b")
			h.settle()
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"request to a zone that is out": {"evacuation", func(h harness) {
			h.settle()
			h.Evacuated("zone-0", true)
			h.timers.Step(evacuateBound + time.Millisecond)
			h.arrive(h.ask(order, keyAlways), "b", nil)
		}},
		"requests of callers that have left": {"gone", func(h harness) {
			h.settle()
			for range maxLateRequests + 1 {
				r := h.ask(look, keyAlways)
				h.Answered(r, outcome{cancelled: true})
				h.timers.Step(time.Second)
				h.arrive(r, "b", nil)
			}
		}},
		"cold backend server overrun": {"cold", func(h harness) {
			for range int(coldPerSecond*coldOvershoot+coldSlack) + 1 {
				h.arrive(h.ask(look, keyAlways), "b", func(s *backendRequest) { s.cold = true })
			}
		}},
		"limited backend server overrun": {"limit", func(h harness) {
			limited := func(s *backendRequest) { s.limited, s.limit = true, 1 }
			for i := range int(limitFactor*limitWindow.Seconds()+limitSlack) + 2 {
				r := h.ask(look, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", limited)
				if i == 0 {
					h.LimitStated(backendRequest{id: r.id, backend: "b", limited: true, limit: 1})
					h.timers.Step(limitContact)
				}
			}
		}},
		"prompt part that crashes backend servers": {"crash", func(h harness) {
			h.settle()
			for range partCrashes {
				h.Crashed("bad0001")
			}
			h.timers.Step(crashContact + time.Millisecond)
			for i := range crashAllowed + 1 {
				r := h.ask(plan, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *backendRequest) { s.cause = "bad0001" })
			}
		}},
		"request that comes again and crashes backend servers": {"crash", func(h harness) {
			h.settle()
			for range requestCrashes {
				h.Crashed("/look/deadly0001")
			}
			h.timers.Step(crashContact + time.Millisecond)
			for i := range crashAllowed + 1 {
				r := h.ask(look, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *backendRequest) { s.cause = "/look/deadly0001" })
			}
		}},
		"leaving backend server that gets a request": {"drain", func(h harness) {
			r := h.ask(look, keyAlways)
			h.arrive(r, "b", func(s *backendRequest) { s.leaving = true })
			h.Answered(r, completeAnswer(r, "b"))
			h.timers.Step(drainBound + time.Millisecond)
			r = h.ask(look, keyAlways)
			h.arrive(r, "b", nil)
		}},
		"backend server that gets requests in its pause": {"budget", func(h harness) {
			r := h.ask(look, keyAlways)
			h.arrive(r, "b", func(s *backendRequest) { s.refused = true })
			h.PauseRequested(r.id, "b", requestedPause)
			h.timers.Step(pauseGrace + time.Millisecond)
			for i := range maxPauseRequests + 1 {
				r := h.ask(look, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *backendRequest) { s.refused = true })
			}
		}},
		"bad version exposed": {"exposure", func(h harness) {
			h.RolloutOrdered(poolEngine, true)
			const requests = 40 // of which 36 are allowed
			for i := range requests {
				r := h.ask(plan, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *backendRequest) { s.version = versionNew })
			}
		}},
		"bad version after the rollback bound": {"exposure", func(h harness) {
			h.settle()
			h.RolloutOrdered(poolEngine, false)
			for i := range badAnswerThreshold {
				r := h.ask(plan, keyAlways)
				r.id = fmt.Sprint(i)
				h.Sent(r)
				h.arrive(r, "b", func(s *backendRequest) { s.version = versionNew })
				h.Finished(r.id, "b", http.StatusInternalServerError)
			}
			h.timers.Step(rollbackBound + time.Millisecond)
			h.arrive(h.ask(plan, keyAlways), "b", func(s *backendRequest) { s.version = versionNew })
		}},
		"bad version completed": {"rollout", func(h harness) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusOK, `{"State":"completed","Target":"v2"}`)
		}},
		"other rollout returned": {"rollout", func(h harness) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusOK, `{"State":"in_progress","Target":"v1"}`)
		}},
		"rollout forgotten": {"rollout", func(h harness) {
			h.RolloutOrdered(poolEngine, true)
			h.RolloutAcknowledged()
			h.timers.Step(applyBound + time.Millisecond)
			h.RolloutRead("control-0", h.timers.Now(), http.StatusNotFound, "")
		}},
		"process that ends with an error after SIGTERM": {"stop", func(h harness) {
			h.ProcessStopped("entry-0", h.timers.Now(), http.ErrAbortHandler)
		}},
		"nothing served after the recovery": {"recover", func(h harness) {
			h.settle()
			h.Answered(h.ask(order, keyAlways), outcome{status: http.StatusServiceUnavailable})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.configuration(1)
			row.run(h)
			var report Report
			h.finish(&report)
			assert.Assert(t, len(report.Violations) > 0)
			for _, v := range report.Violations {
				assert.Assert(t, strings.HasPrefix(v, row.rule+":"), v)
			}
		})
	}
}

// Guards against false positives: a run that keeps all guarantees has no violations.
func TestCheckerAcceptsCorrectRun(t *testing.T) {
	h := newHarness()
	h.configuration(1, "key-1")
	for route := range routes {
		r := h.ask(route, "key-1")
		h.arrive(r, "b", nil)
		h.Answered(r, completeAnswer(r, "b"))
	}
	retried := h.ask(look, keyAlways)
	h.arrive(retried, "b", nil)
	h.arrive(retried, "c", nil)
	h.Answered(retried, completeAnswer(retried, "c"))
	again := h.ask(order, keyAlways)
	h.Answered(again, outcome{status: http.StatusServiceUnavailable})
	h.Sent(again)
	h.arrive(again, "b", func(s *backendRequest) { s.met = true })
	h.Answered(again, completeAnswer(again, "b"))
	killed := h.Disturb("entry-0")
	for range maxLostAnswers + 1 {
		r := h.ask(order, keyAlways)
		h.arrive(r, "b", nil)
		h.Answered(r, outcome{closed: true})
	}
	h.ProcessStopped("entry-0", h.timers.Now(), http.ErrAbortHandler)
	killed()
	h.settle()
	h.configuration(2)
	h.timers.Step(keyBound - time.Millisecond)
	late := h.ask(order, "key-1")
	h.arrive(late, "b", nil)
	h.Answered(late, completeAnswer(late, "b"))
	h.Answered(h.ask(order, "key-1"), outcome{status: http.StatusUnauthorized})
	served := h.ask(look, keyAlways)
	h.arrive(served, "b", nil)
	h.Answered(served, completeAnswer(served, "b"))
	h.ReadBack(2, "text", "control-0", h.timers.Now())
	var report Report
	h.finish(&report)
	assert.DeepEqual(t, report.Violations, []string(nil))
	assert.Equal(t, report.CalmServed, 1)
}

// Guards against false positives of the bound beside faults of control VMs: it holds for VMs
// without a fault, while most control VMs have had none since the acknowledgement.
func TestApplyBoundBesideFaults(t *testing.T) {
	for name, c := range map[string]struct {
		disturbed []string
		after     time.Duration
	}{
		"most control VMs":    {[]string{controlName(1), controlName(2), controlPlane}, applyBound + outerBound},
		"the entry VM":        {[]string{"entry-0"}, applyBound + outerBound},
		"the entry VM stops":  {[]string{stopping("entry-0")}, applyBound + outerBound},
		"within the bound":    {[]string{controlName(1), controlPlane}, applyBound + outerBound - 2*time.Millisecond},
		"several, in between": {[]string{controlName(0), stopping(controlName(1))}, applyBound + outerBound},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.configuration(1)
			h.configurationWithout(order, 2)
			h.timers.Step(time.Millisecond)
			h.Disturb(c.disturbed...)()
			h.timers.Step(c.after)
			h.arrive(h.ask(order, keyAlways), "b", nil)
			assert.DeepEqual(t, h.violations, []string(nil))
		})
	}
}

// Guards against faults that differ between two runs of a seed, wipe two disks, or
// last longer than the storm.
func TestFaultsOfSeed(t *testing.T) {
	const storm = 10 * time.Second
	for seed := range uint64(200) {
		draw := func() (Size, []fault) {
			random := rand.New(rand.NewPCG(seed, seed))
			size := Size{}.withRandomDefaults(random)
			return size, generateFaults(random, size, storm)
		}
		size, list := draw()
		again, repeated := draw()
		assert.Equal(t, size, again)
		assert.Equal(t, len(list), len(repeated))
		wiped := 0
		for i, f := range list {
			assert.Equal(t, f, repeated[i])
			assert.Assert(t, f.start+f.duration <= storm, f.String())
			if f.kind == wipeDisk {
				wiped++
			}
		}
		assert.Assert(t, wiped <= 1)
	}
}
