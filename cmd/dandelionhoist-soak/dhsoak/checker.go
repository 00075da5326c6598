package dhsoak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// Checker checks the guarantees against what callers, operators and backend
// servers observe. It is safe for concurrent use.
type Checker struct {
	Timers dhtimer.Service
	// Controls are the names of the control VMs.
	Controls []string

	mu         sync.Mutex
	requests   map[string]*request
	violations []string
	// arrivals holds the requests that reached each pool, for the retry budget.
	arrivals map[string][]arrival
	// sent holds the configurations by version, acknowledged the times at which
	// they were first acknowledged.
	sent         map[uint64]sentConfiguration
	acknowledged map[uint64]time.Time
	disturbances []disturbance
	// calmSince is when the calm phase began; zero before.
	calmSince time.Time
	// left holds when the leave of a backend server was acknowledged.
	left map[string]time.Time
	// evacuated holds when the evacuation of a zone was acknowledged in the calm phase.
	evacuated map[string]time.Time
	cold      map[string][]time.Time
	// limits holds the request limits that backend servers state.
	limits map[string]*statedLimit
	// causes holds the prompt parts and requests that crash backend servers.
	causes map[string]*crashCause
	// notices holds the leave and pause notices that backend servers have sent to VMs
	// in their answers.
	notices      map[vmBackend]*notices
	rollout      *rollout
	lostAnswers  int
	lateRequests int
	served       int
	// calmRequests counts the requests of the calm phase that every configuration
	// allows, calmServed those of them that were served.
	calmRequests, calmServed int
	// unserved counts the others by status; 0 stands for a connection that ended
	// without an answer.
	unserved map[int]int
}

// request is one request of a caller and what is known about its execution.
type request struct {
	id, method, path string
	// prompt lists the parts of its prompt; it is empty for a plain request.
	prompt     string
	body       uint64
	route      *routeInfo
	key, entry string
	sentAt     time.Time
	// arrived is true once a backend server has received the request, even if it
	// refused to run it.
	arrived bool
	runs    []run
	// sends holds when it was sent: a caller may come back with the id after a refusal.
	// earlierRuns counts the runs before the latest.
	sends       []time.Time
	earlierRuns int
	// failedAt is when one was last not served.
	failedAt time.Time
	// refusalStatus is the status of an answer that guarantees that the request has
	// not run; 0 without such an answer.
	refusalStatus int
	// cancelledAt is when the caller cancelled the request.
	cancelledAt time.Time
}

// run is one execution of a request by a backend server.
type run struct {
	backend, pool, zone, account, version string
	at                                    time.Time
	// seal and status are those of the backend server's answer.
	seal   string
	status int
	// leaving is true if the answer announces that the backend server leaves.
	leaving bool
	// met is true if a copy of an earlier answer preceded the answer, which is sound.
	met bool
}

type arrival struct {
	at      time.Time
	repeat  bool
	version string
}

type sentConfiguration struct {
	text   string
	keys   []string
	routes []string
	valid  bool
}

// vmBackend is a VM and a backend server that has answered it.
type vmBackend struct{ vm, backend string }

// notices holds the leave and pause notices of a backend server to a VM.
type notices struct {
	// leaving is when the backend server first announced that it leaves.
	leaving time.Time
	// paused is when it asked for a pause, until is the end of the pause, and
	// arrivals counts the requests of the VM during the pause.
	paused, until time.Time
	arrivals      int
}

type disturbance struct {
	vm       string
	from, to time.Time
}

// stopping returns the name under which disturbances list a VM that has received
// SIGTERM: the time bounds do not apply to it, but its requests still get answers.
func stopping(vm string) string { return "stopping " + vm }

// controlPlane is the name under which disturbances list the control VMs as a whole.
const controlPlane = "core"

func (j *Checker) init() {
	if j.requests == nil {
		j.requests, j.arrivals = make(map[string]*request), make(map[string][]arrival)
		j.sent, j.acknowledged = make(map[uint64]sentConfiguration), make(map[uint64]time.Time)
		j.unserved = make(map[int]int)
		j.notices = make(map[vmBackend]*notices)
		j.left, j.evacuated, j.cold = make(map[string]time.Time), make(map[string]time.Time), make(map[string][]time.Time)
		j.limits, j.causes = make(map[string]*statedLimit), make(map[string]*crashCause)
	}
}

// lock locks the checker and returns the function that unlocks it.
func (j *Checker) lock() func() {
	j.mu.Lock()
	j.init()
	return j.mu.Unlock
}

// addViolation records a broken guarantee. The caller holds the lock.
func (j *Checker) addViolation(rule, format string, args ...any) {
	j.violations = append(j.violations, rule+": "+fmt.Sprintf(format, args...))
}

func digest(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body) // never fails
	return h.Sum64()
}

// Sent records that a caller is about to send a request, or one again that was refused.
func (j *Checker) Sent(r *request) {
	defer j.lock()()
	r.sentAt = j.Timers.Now()
	r.sends, r.earlierRuns = append(r.sends, r.sentAt), len(r.runs)
	r.arrived, r.refusalStatus = false, 0
	j.requests[r.id] = r
}

// backendRequest is a request as a backend server received it.
type backendRequest struct {
	id, method, path, account, model string
	body                             uint64
	// keyForwarded is true if the caller's key was forwarded.
	keyForwarded bool
	// cold is true if the backend server is still cold.
	cold bool
	// refused is true if the backend server refuses to run the request.
	refused bool
	// leaving is true if the answer announces that the backend server leaves.
	leaving bool
	// met is true if a copy of an earlier answer precedes the answer, which will be sound.
	met bool
	// cause is the part or the path by which it crashes backend servers, or empty.
	cause string
	// limited is true if the answer states a limit of requests per second.
	limited                            bool
	limit                              float64
	backend, pool, zone, seal, version string
	// number is the count of requests that the backend server has run so far.
	number int
}

// Arrived records that a request reached a backend server, and that it runs there
// unless it is refused.
func (j *Checker) Arrived(s backendRequest) {
	defer j.lock()()
	now := j.Timers.Now()
	r := j.requests[s.id]
	if s.cold {
		j.coldArrival(s.backend, now)
	}
	if r == nil {
		if !s.refused {
			j.addViolation("unasked", "backend server %s runs request %q that no caller sent", s.backend, s.id)
		}
		return
	}
	j.checkNotices(r, s, now)
	j.checkLimit(r, s, now)
	j.checkCrashing(r, s, now)
	j.arrivals[s.pool] = append(j.arrivals[s.pool], arrival{at: now, repeat: r.arrived, version: s.version})
	r.arrived = true
	if s.refused {
		return
	}
	r.runs = append(r.runs, run{backend: s.backend, pool: s.pool, zone: s.zone, account: s.account, version: s.version, at: now, seal: s.seal, leaving: s.leaving, met: s.met})
	switch {
	case s.method != r.method || s.path != r.path || s.body != r.body:
		j.addViolation("unasked", "request %s runs on %s with method, path or body changed", r.id, s.backend)
	case s.account != accountName || s.keyForwarded:
		j.addViolation("unasked", "request %s runs on %s for client account %q, key passed on: %v", r.id, s.backend, s.account, s.keyForwarded)
	case s.pool != r.route.pool:
		j.addViolation("route", "request %s of route %s runs in pool %s", r.id, r.route.name, s.pool)
	case !slices.Contains(r.route.models, s.model):
		j.addViolation("unasked", "request %s runs with model %q, its route has %q", r.id, s.model, r.route.models)
	case !r.route.repeatable && len(r.runs) > 1:
		j.addViolation("twice", "request %s of route %s runs on %s and %s", r.id, r.route.name, r.runs[0].backend, s.backend)
	case len(r.runs)-r.earlierRuns > r.route.attempts:
		j.addViolation("budget", "request %s runs %d times, %d are allowed", r.id, len(r.runs)-r.earlierRuns, r.route.attempts)
	case r.refusalStatus != 0 && !r.route.repeatable:
		j.addViolation("refused", "request %s runs on %s after it was refused with %d", r.id, s.backend, r.refusalStatus)
	}
	j.checkConfiguration(r, s)
	j.checkRollback(r, s)
	j.checkTimes(r, s, now)
}

// checkConfiguration checks that the key and the route of a running request are in
// some configuration that may be in force.
func (j *Checker) checkConfiguration(r *request, s backendRequest) {
	if !j.allowedByAny(r.sentAt.Add(-keyBound), func(c sentConfiguration) bool { return slices.Contains(c.keys, r.key) }) {
		j.addViolation("revoked", "request %s, sent at %s, runs on %s with key %s of no configuration in force", r.id, r.entry, s.backend, r.key)
	}
	if bound, ok := j.applyBoundAt(r.entry, r.sentAt); ok && !j.allowedByAny(r.sentAt.Add(-bound), func(c sentConfiguration) bool { return slices.Contains(c.routes, r.route.name) }) {
		j.addViolation("config", "request %s runs on route %s, which is no longer there", r.id, r.route.name)
	}
}

// allowedByAny reports whether fits holds for any configuration that may be in
// force, given that those acknowledged before a time have taken effect.
func (j *Checker) allowedByAny(before time.Time, fits func(sentConfiguration) bool) bool {
	newest := j.newest(before)
	for version, c := range j.sent {
		if c.valid && version >= newest && fits(c) {
			return true
		}
	}
	return false
}

// newest returns the highest configuration version acknowledged before a time.
func (j *Checker) newest(before time.Time) uint64 {
	newest := uint64(0)
	for version, at := range j.acknowledged {
		if !at.After(before) {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkTimes checks the time bounds, if they apply to the VM of the request.
func (j *Checker) checkTimes(r *request, s backendRequest, now time.Time) {
	if !j.boundsApply(r.entry, now) {
		return
	}
	if at, ok := j.left[s.backend]; ok && now.Sub(at) > drainBound {
		j.addViolation("drain", "request %s reaches %s %v after its leave was acknowledged", r.id, s.backend, now.Sub(at))
	}
	if at, ok := j.evacuated[s.zone]; ok && now.Sub(at) > evacuateBound {
		j.addViolation("evacuation", "request %s reaches %s in zone %s %v after its evacuation was acknowledged", r.id, s.backend, s.zone, now.Sub(at))
	}
	if !r.cancelledAt.IsZero() && now.Sub(r.cancelledAt) > 500*time.Millisecond {
		if j.lateRequests++; j.lateRequests == maxLateRequests+1 {
			j.addViolation("gone", "request %s reaches %s %v after its caller has left, as %d others did", r.id, s.backend, now.Sub(r.cancelledAt), maxLateRequests)
		}
	}
}

// checkNotices checks that a VM sends no request to a backend server that has
// announced its leave or is in a pause that it asked for.
func (j *Checker) checkNotices(r *request, s backendRequest, now time.Time) {
	t := j.notices[vmBackend{r.entry, s.backend}]
	if t == nil {
		return
	}
	if !t.leaving.IsZero() && r.sentAt.Sub(t.leaving) > drainBound && !j.disturbed(r.entry, t.leaving, now) {
		j.addViolation("drain", "request %s, sent %v after %s told %s that it leaves, reaches it", r.id, r.sentAt.Sub(t.leaving), s.backend, r.entry)
	}
	if now.Sub(t.paused) <= pauseGrace || !now.Before(t.until) || j.disturbed(r.entry, t.paused, now) || j.disturbed(s.backend, t.paused.Add(-time.Second), now) {
		return
	}
	if t.arrivals++; t.arrivals == maxPauseRequests+1 {
		j.addViolation("budget", "request %s reaches %s %v after it asked %s for a pause of %v, as %d others did",
			r.id, s.backend, now.Sub(t.paused), r.entry, t.until.Sub(t.paused), maxPauseRequests)
	}
}

// recordLeaving records that a VM has forwarded an answer in which the backend
// server announces that it leaves.
func (j *Checker) recordLeaving(r *request, backend string) {
	if t := j.noticesTo(r, backend); t.leaving.IsZero() {
		t.leaving = j.Timers.Now()
	}
}

// PauseRequested records that a backend server has asked the VM of a request for a pause.
func (j *Checker) PauseRequested(id, backend string, pause time.Duration) {
	defer j.lock()()
	r, now := j.requests[id], j.Timers.Now()
	if r == nil {
		return
	}
	if t := j.noticesTo(r, backend); now.Add(pause).After(t.until) {
		t.paused, t.until, t.arrivals = now, now.Add(pause), 0
	}
}

// noticesTo returns the notices of a backend server to the VM of a request.
func (j *Checker) noticesTo(r *request, backend string) *notices {
	p := vmBackend{r.entry, backend}
	if j.notices[p] == nil {
		j.notices[p] = &notices{}
	}
	return j.notices[p]
}

func (j *Checker) coldArrival(backend string, now time.Time) {
	list := append(j.cold[backend], now)
	for now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	j.cold[backend] = list
	if most := int(coldPerSecond*coldOvershoot + coldSlack); len(list) == most+1 {
		j.addViolation("cold", "backend server %s gets more than %d requests in a second while it is cold", backend, most)
	}
}

// Finished records how a backend server answered its run of a request.
func (j *Checker) Finished(id, backend string, status int) {
	defer j.lock()()
	if r := j.requests[id]; r != nil {
		for i := range r.runs {
			if r.runs[i].backend == backend {
				r.runs[i].status = status
				j.countBadAnswer(r.runs[i])
			}
		}
	}
}

// outcome is the answer that a caller got, or how the request ended without one.
type outcome struct {
	status int
	seal   string
	id     string
	// body is what was received; complete is true if it ended without an error.
	body     string
	complete bool
	// cancelled is true if the caller cancelled the request.
	cancelled bool
	// closed is true if the connection ended before an answer.
	closed bool
}

// Answered records the end of a request, and reports whether the answer promises that it has
// not run.
func (j *Checker) Answered(r *request, o outcome) (refused bool) {
	defer j.lock()()
	now := j.Timers.Now()
	if o.cancelled {
		r.cancelledAt = now
		return false
	}
	ran := len(r.runs) > 0
	if r.route.always && r.key == keyAlways && !j.calmSince.IsZero() && r.sentAt.After(j.calmSince) {
		j.calmRequests++
		if o.complete && o.status == http.StatusOK {
			j.calmServed++
		} else {
			j.unserved[o.status]++
		}
	}
	i := slices.IndexFunc(r.runs, func(run run) bool { return run.seal == o.seal })
	if i >= 0 && r.runs[i].leaving {
		j.recordLeaving(r, r.runs[i].backend)
	}
	refused = o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable ||
		o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
	if o.status != http.StatusOK || !o.complete {
		r.failedAt = now
	}
	switch {
	case o.closed:
		// A closed connection does not say whether the request ran, but a VM
		// without faults must not leave a running request without an answer.
		if ran && !r.route.stream && !j.disturbed(r.entry, r.sentAt, now) {
			if j.lostAnswers++; j.lostAnswers == maxLostAnswers+1 {
				j.addViolation("lost", "request %s ran on %s and the connection to %s was closed without an answer, as %d others were", r.id, r.runs[0].backend, r.entry, maxLostAnswers)
			}
		}
	case refused:
		r.refusalStatus = o.status
		if ran && !r.route.repeatable {
			j.addViolation("refused", "request %s ran on %s and is answered with %d", r.id, r.runs[0].backend, o.status)
		}
	case o.id != "" && o.id != r.id:
		j.addViolation("mixed", "request %s gets the answer of %s", r.id, o.id)
	case o.status >= 200 && o.status < 300:
		j.checkSuccess(r, o, i)
	case o.seal != "" && (i < 0 || r.runs[i].status != o.status):
		j.addViolation("mixed", "request %s gets status %d with the seal of another answer", r.id, o.status)
	case o.status == http.StatusUnauthorized || o.status == http.StatusNotFound || o.status == http.StatusForbidden:
		if r.route.always && r.key == keyAlways {
			j.addViolation("denied", "request %s with a key and a route of all configurations gets %d from %s", r.id, o.status, r.entry)
		} else if bound, ok := j.applyBoundAt(r.entry, r.sentAt); ok && j.allowedByAll(r, bound) {
			j.addViolation("config", "request %s on route %s with key %s of all configurations in force gets %d", r.id, r.route.name, r.key, o.status)
		}
	}
	return refused
}

// allowedByAll reports whether every configuration that may be in force allows
// a request, given the time until an acknowledged one is in force.
func (j *Checker) allowedByAll(r *request, bound time.Duration) bool {
	newest := j.newest(r.sentAt.Add(-bound))
	for version, c := range j.sent {
		if c.valid && version >= newest && (!slices.Contains(c.keys, r.key) || !slices.Contains(c.routes, r.route.name)) {
			return false
		}
	}
	return newest > 0
}

func (j *Checker) checkSuccess(r *request, o outcome, i int) {
	switch {
	case i < 0:
		j.addViolation("mixed", "request %s succeeds with seal %q that no backend server gave it", r.id, o.seal)
	case !r.route.stream && o.complete && o.body != plainBody(r.runs[i].backend, r.id):
		j.addViolation("mixed", "request %s gets %d bytes that are not the body of %s", r.id, len(o.body), r.runs[i].backend)
	case r.route.stream:
		j.checkStream(r, o)
	}
	if o.complete {
		j.served++
		r.refusalStatus = 0
	}
}

// checkStream checks that the events of a stream are complete and in order.
func (j *Checker) checkStream(r *request, o outcome) {
	want := ""
	for n := 1; n <= lastEvent; n++ {
		want += event(r.id, n)
	}
	if len(o.body) > len(want) || want[:len(o.body)] != o.body {
		j.addViolation("order", "request %s gets a stream that is not the one made: %q", r.id, o.body)
		return
	}
	if o.complete && o.body != want {
		j.addViolation("order", "request %s gets a stream that ends as complete after %d of %d bytes", r.id, len(o.body), len(want))
	}
}

// ConfigurationSent records that a configuration is about to be sent.
func (j *Checker) ConfigurationSent(version uint64, c sentConfiguration) {
	defer j.lock()()
	if _, ok := j.sent[version]; !ok {
		j.sent[version] = c
	}
}

// ConfigurationAcknowledged records the answer to a configuration.
func (j *Checker) ConfigurationAcknowledged(version uint64, vm string, status int) {
	defer j.lock()()
	c := j.sent[version]
	_, before := j.acknowledged[version]
	switch {
	case status == http.StatusOK && !c.valid:
		j.addViolation("config", "invalid configuration %d is acknowledged by %s", version, vm)
	case status == http.StatusOK && !before:
		j.acknowledged[version] = j.Timers.Now()
	case status >= 400 && status < 500 && c.valid:
		j.addViolation("config", "valid configuration %d is refused by %s with %d", version, vm, status)
	}
}

// ReadBack records a configuration that a control VM returned to a call sent at
// sentAt.
func (j *Checker) ReadBack(version uint64, text, vm string, sentAt time.Time) {
	defer j.lock()()
	c, ok := j.sent[version]
	if !ok || !c.valid || c.text != text {
		j.addViolation("config", "%s returns configuration %d with a text other than the one sent under this number", vm, version)
	}
	if newest := j.newest(sentAt.Add(-applyBound)); version < newest {
		j.addViolation("config", "%s returns configuration %d after %d was acknowledged", vm, version, newest)
	}
}

// ReadFailed records that a control VM returned no configuration at the end of the run.
func (j *Checker) ReadFailed(vm string) {
	defer j.lock()()
	j.addViolation("lost", "%s returns no configuration at the end of the run", vm)
}

// RecordViolation records a violation or failure that was detected outside the
// checker.
func (j *Checker) RecordViolation(rule, format string, args ...any) {
	defer j.lock()()
	j.addViolation(rule, format, args...)
}

// LeaveAcknowledged records that the leave of a backend server was acknowledged, in any
// phase. It is checked only once the calm phase has settled.
func (j *Checker) LeaveAcknowledged(backend string) {
	defer j.lock()()
	j.left[backend] = j.Timers.Now()
}

// Evacuated records that the evacuation of a zone was acknowledged or ended.
func (j *Checker) Evacuated(zone string, out bool) {
	defer j.lock()()
	delete(j.evacuated, zone)
	if out && j.settled(j.Timers.Now()) {
		j.evacuated[zone] = j.Timers.Now()
	}
}

// Disturb records that a fault affects VMs, or controlPlane, from now until the
// returned function is called.
func (j *Checker) Disturb(vms ...string) func() {
	defer j.lock()()
	first := len(j.disturbances)
	for _, vm := range vms {
		j.disturbances = append(j.disturbances, disturbance{vm: vm, from: j.Timers.Now()})
	}
	return func() {
		defer j.lock()()
		for i := range vms {
			j.disturbances[first+i].to = j.Timers.Now()
		}
	}
}

// disturbed reports whether a fault affected a VM between two times.
func (j *Checker) disturbed(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(j.disturbances, func(d disturbance) bool {
		return d.vm == vm && !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
	})
}

// untouched reports whether no fault affected a VM between two times, and it was not stopping.
func (j *Checker) untouched(vm string, from, to time.Time) bool {
	return !j.disturbed(vm, from, to) && !j.disturbed(stopping(vm), from, to)
}

// settled reports whether the calm phase has begun and the control plane has been
// without faults for settleTime.
func (j *Checker) settled(now time.Time) bool {
	return !j.calmSince.IsZero() && !j.disturbed(controlPlane, now.Add(-settleTime), now)
}

// boundsApply reports whether the time bounds apply to a VM at a time.
func (j *Checker) boundsApply(vm string, now time.Time) bool {
	return j.settled(now) && j.untouched(vm, now.Add(-settleTime), now)
}

// applyBoundAt returns the time until an acknowledged configuration is in force at a VM, and
// whether there is one: beside faults of control VMs, it is longer, and most of them must have
// had none since.
func (j *Checker) applyBoundAt(vm string, now time.Time) (time.Duration, bool) {
	if j.boundsApply(vm, now) {
		return applyBound, true
	}
	const bound = applyBound + outerBound
	from := now.Add(-bound)
	sound := 0
	for _, name := range j.Controls {
		if j.untouched(name, from, now) {
			sound++
		}
	}
	return bound, 2*sound > len(j.Controls) && j.untouched(vm, from, now)
}

// startCalm begins the calm phase.
func (j *Checker) startCalm() {
	defer j.lock()()
	j.calmSince = j.Timers.Now()
}

func (j *Checker) servedAny() bool {
	defer j.lock()()
	return j.served > 0
}

// finish runs the checks that need the complete run and fills the report.
func (j *Checker) finish(report *Report) {
	defer j.lock()()
	j.checkBudget()
	j.checkExposure()
	for _, r := range j.requests {
		report.Requests++
		report.Runs += len(r.runs)
		report.Met += j.checkMet(r)
		report.Again += len(r.sends) - 1
	}
	if float64(j.calmServed) < minServedShare*float64(j.calmRequests) {
		j.addViolation("recover", "%d of %d requests are served after the recovery", j.calmServed, j.calmRequests)
	}
	report.Served, report.Calm, report.CalmServed, report.Violations = j.served, j.calmRequests, j.calmServed, j.violations
	report.Unserved = j.unserved
}

// checkMet checks that a request whose answer followed the copy of another is served, unless
// a fault comes between. It returns the number of such answers.
func (j *Checker) checkMet(r *request) (met int) {
	for _, run := range r.runs {
		if !run.met {
			continue
		}
		met++
		from := r.sentAt.Add(-settleTime)
		if run.status != http.StatusOK || run.at.Before(r.sentAt) || r.failedAt.Before(r.sentAt) ||
			!j.untouched(r.entry, from, r.failedAt) || j.disturbed(run.backend, from, r.failedAt) {
			continue
		}
		j.addViolation("copied", "request %s runs on %s, which sends copies before its answer, and %s does not pass it on", r.id, run.backend, r.entry)
	}
	return met
}

// checkBudget checks the number of retries to each pool in every retryWindow.
func (j *Checker) checkBudget() {
	for pool, list := range j.arrivals {
		var sent []time.Time
		for _, r := range j.requests {
			if r.route.pool == pool {
				sent = append(sent, r.sends...)
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		between := func(from, to time.Time) int {
			first, _ := slices.BinarySearchFunc(sent, from, time.Time.Compare)
			last, _ := slices.BinarySearchFunc(sent, to, time.Time.Compare)
			return last - first
		}
		first, repeats := 0, 0
		for _, a := range list {
			if !a.repeat {
				continue
			}
			for repeats++; a.at.Sub(list[first].at) >= retryWindow; first++ {
				if list[first].repeat {
					repeats--
				}
			}
			begin := a.at.Add(-retryWindow)
			requests := max(between(begin, a.at), between(begin.Add(-retryWindow), begin), between(begin.Add(-retryWindow/2), a.at.Add(-retryWindow/2)))
			if most := int(retryRatio*float64(requests)) + retrySlack; repeats > most {
				j.addViolation("budget", "pool %s gets %d repeats within %v for %d requests, %d are allowed", pool, repeats, retryWindow, requests, most)
				break
			}
		}
	}
}

// ProcessStopped records how a process exited after SIGTERM.
func (j *Checker) ProcessStopped(vm string, begin time.Time, status error) {
	defer j.lock()()
	if status != nil && !j.disturbed(vm, begin.Add(-time.Second), j.Timers.Now()) {
		j.addViolation("stop", "%s ends %v after SIGTERM with: %v", vm, j.Timers.Now().Sub(begin), status)
	}
}
