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

// Judge checks the promises from what callers, operators and backend servers
// see. It is safe for concurrent use.
type Judge struct {
	Timers dhtimer.Service

	mu         sync.Mutex
	requests   map[string]*request
	violations []string
	// arrivals at each pool, for the retry budget.
	arrivals map[string][]arrival
	// sent holds the configurations by number, acknowledged the times at which
	// they were first acknowledged.
	sent         map[uint64]sentConfiguration
	acknowledged map[uint64]time.Time
	disturbances []disturbance
	// calmSince is when the calm span began; zero before.
	calmSince time.Time
	// left holds when the leave of a backend server was acknowledged in the calm span.
	left map[string]time.Time
	// evacuated holds when the evacuation of a zone was acknowledged in the calm span.
	evacuated map[string]time.Time
	cold      map[string][]time.Time
	// told holds what backend servers have told VMs in their answers.
	told    map[pair]*told
	rollout *rollout
	lost    int
	late    int
	served  int
	// calmRequests and calmServed are the requests of the calm span that every
	// configuration allows.
	calmRequests, calmServed int
	// unserved counts the statuses of the others; 0 is a connection that ended.
	unserved map[int]int
}

// request is one attempt of a caller.
type request struct {
	id, method, path string
	body             uint64
	route            *routeInfo
	key, entry       string
	sentAt           time.Time
	// arrived tells that a backend server has got the request, run or not.
	arrived bool
	runs    []run
	// promise is a status that says that the request has not run.
	promise int
	// left is when the caller closed the connection on purpose.
	left time.Time
}

// run is a request that a backend server has begun to work on.
type run struct {
	backend, pool, zone, account, version string
	at                                    time.Time
	// seal and status are what the backend server answered with.
	seal   string
	status int
	// leaving tells that the answer says that the backend server leaves.
	leaving bool
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

// pair is a VM and a backend server that has answered it.
type pair struct{ vm, backend string }

// told is what a backend server has told a VM.
type told struct {
	// leaving is when it first said that it leaves.
	leaving time.Time
	// paused is when it asked for a pause, until is its end, and arrivals counts
	// the requests of the VM in it.
	paused, until time.Time
	arrivals      int
}

type disturbance struct {
	vm       string
	from, to time.Time
}

// stopping stands for a VM that has got SIGTERM in disturbances: it is not in
// touch, but its requests still get their answers.
func stopping(vm string) string { return "stopping " + vm }

// core stands for all control VMs in disturbances.
const core = "core"

func (j *Judge) init() {
	if j.requests == nil {
		j.requests, j.arrivals = make(map[string]*request), make(map[string][]arrival)
		j.sent, j.acknowledged = make(map[uint64]sentConfiguration), make(map[uint64]time.Time)
		j.unserved = make(map[int]int)
		j.told = make(map[pair]*told)
		j.left, j.evacuated, j.cold = make(map[string]time.Time), make(map[string]time.Time), make(map[string][]time.Time)
	}
}

// lock locks the judge for a method.
func (j *Judge) lock() func() {
	j.mu.Lock()
	j.init()
	return j.mu.Unlock
}

// violate notes a broken promise. The caller holds the lock.
func (j *Judge) violate(rule, format string, args ...any) {
	j.violations = append(j.violations, rule+": "+fmt.Sprintf(format, args...))
}

func digest(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body) // never fails
	return h.Sum64()
}

// Sent records that a caller is about to send a request.
func (j *Judge) Sent(r *request) {
	defer j.lock()()
	r.sentAt = j.Timers.Now()
	j.requests[r.id] = r
}

// seen is a request as it reached a backend server.
type seen struct {
	id, method, path, account, model string
	body                             uint64
	// keyShown tells that the caller's key was passed on.
	keyShown bool
	// cold tells that the backend server is cold.
	cold bool
	// refused tells that the backend server says that it does not run the request.
	refused bool
	// leaving tells that the answer says that the backend server leaves.
	leaving                            bool
	backend, pool, zone, seal, version string
	// number counts the runs of the backend server.
	number int
}

// Arrived records a request at a backend server, and that it runs unless it is refused.
func (j *Judge) Arrived(s seen) {
	defer j.lock()()
	now := j.Timers.Now()
	r := j.requests[s.id]
	if s.cold {
		j.coldArrival(s.backend, now)
	}
	if r == nil {
		if !s.refused {
			j.violate("unasked", "backend server %s runs request %q that no caller sent", s.backend, s.id)
		}
		return
	}
	j.checkTold(r, s, now)
	j.arrivals[s.pool] = append(j.arrivals[s.pool], arrival{at: now, repeat: r.arrived, version: s.version})
	r.arrived = true
	if s.refused {
		return
	}
	r.runs = append(r.runs, run{backend: s.backend, pool: s.pool, zone: s.zone, account: s.account, version: s.version, at: now, seal: s.seal, leaving: s.leaving})
	switch {
	case s.method != r.method || s.path != r.path || s.body != r.body:
		j.violate("unasked", "request %s runs on %s with method, path or body changed", r.id, s.backend)
	case s.account != accountName || s.keyShown:
		j.violate("unasked", "request %s runs on %s for client account %q, key passed on: %v", r.id, s.backend, s.account, s.keyShown)
	case s.pool != r.route.pool:
		j.violate("route", "request %s of route %s runs in pool %s", r.id, r.route.name, s.pool)
	case !slices.Contains(r.route.models, s.model):
		j.violate("unasked", "request %s runs with model %q, its route has %q", r.id, s.model, r.route.models)
	case !r.route.repeatable && len(r.runs) > 1:
		j.violate("twice", "request %s of route %s runs on %s and %s", r.id, r.route.name, r.runs[0].backend, s.backend)
	case len(r.runs) > r.route.attempts:
		j.violate("budget", "request %s runs %d times, %d are allowed", r.id, len(r.runs), r.route.attempts)
	case r.promise != 0 && !r.route.repeatable:
		j.violate("refused", "request %s runs on %s after it was refused with %d", r.id, s.backend, r.promise)
	}
	j.checkConfiguration(r, s)
	j.checkRollback(r, s)
	j.checkTimes(r, s, now)
}

// checkConfiguration checks that a key and a route that run may be in force.
func (j *Judge) checkConfiguration(r *request, s seen) {
	if !j.allowed(r.sentAt.Add(-keyBound), func(c sentConfiguration) bool { return slices.Contains(c.keys, r.key) }) {
		j.violate("revoked", "request %s, sent at %s, runs on %s with key %s of no configuration in force", r.id, r.entry, s.backend, r.key)
	}
	if j.inTouch(r.entry, r.sentAt) && !j.allowed(r.sentAt.Add(-applyBound), func(c sentConfiguration) bool { return slices.Contains(c.routes, r.route.name) }) {
		j.violate("config", "request %s runs on route %s, which is no longer there", r.id, r.route.name)
	}
}

// allowed reports whether a configuration that may be in force, when those
// acknowledged before a time have taken effect, fits.
func (j *Judge) allowed(before time.Time, fits func(sentConfiguration) bool) bool {
	newest := j.newest(before)
	for version, c := range j.sent {
		if c.valid && version >= newest && fits(c) {
			return true
		}
	}
	return false
}

// newest is the highest configuration that was acknowledged before a time.
func (j *Judge) newest(before time.Time) uint64 {
	newest := uint64(0)
	for version, at := range j.acknowledged {
		if !at.After(before) {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkTimes checks the bounds that hold for VMs in touch.
func (j *Judge) checkTimes(r *request, s seen, now time.Time) {
	if !j.inTouch(r.entry, now) {
		return
	}
	if at, ok := j.left[s.backend]; ok && now.Sub(at) > drainBound {
		j.violate("drain", "request %s reaches %s %v after its leave was acknowledged", r.id, s.backend, now.Sub(at))
	}
	if at, ok := j.evacuated[s.zone]; ok && now.Sub(at) > evacuateBound {
		j.violate("evacuation", "request %s reaches %s in zone %s %v after its evacuation was acknowledged", r.id, s.backend, s.zone, now.Sub(at))
	}
	if !r.left.IsZero() && now.Sub(r.left) > 500*time.Millisecond {
		if j.late++; j.late == lateAllowed+1 {
			j.violate("gone", "request %s reaches %s %v after its caller has left, as %d others did", r.id, s.backend, now.Sub(r.left), lateAllowed)
		}
	}
}

// checkTold checks that a VM sends a backend server nothing after it has said
// that it leaves, or while it wants no request.
func (j *Judge) checkTold(r *request, s seen, now time.Time) {
	t := j.told[pair{r.entry, s.backend}]
	if t == nil {
		return
	}
	if !t.leaving.IsZero() && r.sentAt.Sub(t.leaving) > drainBound && !j.disturbed(r.entry, t.leaving, now) {
		j.violate("drain", "request %s, sent %v after %s told %s that it leaves, reaches it", r.id, r.sentAt.Sub(t.leaving), s.backend, r.entry)
	}
	if now.Sub(t.paused) <= pauseGrace || !now.Before(t.until) || j.disturbed(r.entry, t.paused, now) || j.disturbed(s.backend, t.paused.Add(-time.Second), now) {
		return
	}
	if t.arrivals++; t.arrivals == pauseAllowed+1 {
		j.violate("budget", "request %s reaches %s %v after it asked %s for a pause of %v, as %d others did",
			r.id, s.backend, now.Sub(t.paused), r.entry, t.until.Sub(t.paused), pauseAllowed)
	}
}

// toldLeaving records that a VM has passed on an answer that says that its
// backend server leaves.
func (j *Judge) toldLeaving(r *request, backend string) {
	if t := j.toldTo(r, backend); t.leaving.IsZero() {
		t.leaving = j.Timers.Now()
	}
}

// ToldPause records that a backend server has asked the VM of a request for a pause.
func (j *Judge) ToldPause(id, backend string, pause time.Duration) {
	defer j.lock()()
	r, now := j.requests[id], j.Timers.Now()
	if r == nil {
		return
	}
	if t := j.toldTo(r, backend); now.Add(pause).After(t.until) {
		t.paused, t.until, t.arrivals = now, now.Add(pause), 0
	}
}

// toldTo returns what a backend server has told the VM of a request.
func (j *Judge) toldTo(r *request, backend string) *told {
	p := pair{r.entry, backend}
	if j.told[p] == nil {
		j.told[p] = &told{}
	}
	return j.told[p]
}

func (j *Judge) coldArrival(backend string, now time.Time) {
	list := append(j.cold[backend], now)
	for now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	j.cold[backend] = list
	if most := int(coldPerSecond*coldOvershoot + coldSlack); len(list) == most+1 {
		j.violate("cold", "backend server %s gets more than %d requests in a second while it is cold", backend, most)
	}
}

// Finished records how a backend server answered its run of a request.
func (j *Judge) Finished(id, backend string, status int) {
	defer j.lock()()
	if r := j.requests[id]; r != nil {
		for i := range r.runs {
			if r.runs[i].backend == backend {
				r.runs[i].status = status
				j.countBad(r.runs[i])
			}
		}
	}
}

// outcome is what a caller got.
type outcome struct {
	status int
	seal   string
	id     string
	// body is the whole body; whole tells that it ended as complete.
	body  string
	whole bool
	// left tells that the caller closed the connection on purpose.
	left bool
	// closed tells that the connection ended before an answer.
	closed bool
}

// Answered records the end of a request.
func (j *Judge) Answered(r *request, o outcome) {
	defer j.lock()()
	now := j.Timers.Now()
	if o.left {
		r.left = now
		return
	}
	ran := len(r.runs) > 0
	if r.route.always && r.key == keyAlways && !j.calmSince.IsZero() && r.sentAt.After(j.calmSince) {
		j.calmRequests++
		if o.whole && o.status == http.StatusOK {
			j.calmServed++
		} else {
			j.unserved[o.status]++
		}
	}
	i := slices.IndexFunc(r.runs, func(run run) bool { return run.seal == o.seal })
	if i >= 0 && r.runs[i].leaving {
		j.toldLeaving(r, r.runs[i].backend)
	}
	promised := o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable ||
		o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
	switch {
	case o.closed:
		// A closed connection promises nothing, but a VM that nothing has met
		// must not leave a running request without an answer.
		if ran && !r.route.stream && !j.disturbed(r.entry, r.sentAt, now) {
			if j.lost++; j.lost == lostAllowed+1 {
				j.violate("lost", "request %s ran on %s and the connection to %s was closed without an answer, as %d others were", r.id, r.runs[0].backend, r.entry, lostAllowed)
			}
		}
	case promised:
		r.promise = o.status
		if ran && !r.route.repeatable {
			j.violate("refused", "request %s ran on %s and is answered with %d", r.id, r.runs[0].backend, o.status)
		}
	case o.id != "" && o.id != r.id:
		j.violate("mixed", "request %s gets the answer of %s", r.id, o.id)
	case o.status >= 200 && o.status < 300:
		j.checkSuccess(r, o, i)
	case o.seal != "" && (i < 0 || r.runs[i].status != o.status):
		j.violate("mixed", "request %s gets status %d with the seal of another answer", r.id, o.status)
	case o.status == http.StatusUnauthorized || o.status == http.StatusNotFound || o.status == http.StatusForbidden:
		if r.route.always && r.key == keyAlways {
			j.violate("denied", "request %s with a key and a route of all configurations gets %d from %s", r.id, o.status, r.entry)
		} else if j.inTouch(r.entry, r.sentAt) && j.certain(r) {
			j.violate("config", "request %s on route %s with key %s of all configurations in force gets %d", r.id, r.route.name, r.key, o.status)
		}
	}
}

// certain reports whether every configuration that may be in force allows a request.
func (j *Judge) certain(r *request) bool {
	newest := j.newest(r.sentAt.Add(-applyBound))
	for version, c := range j.sent {
		if c.valid && version >= newest && (!slices.Contains(c.keys, r.key) || !slices.Contains(c.routes, r.route.name)) {
			return false
		}
	}
	return newest > 0
}

func (j *Judge) checkSuccess(r *request, o outcome, i int) {
	switch {
	case i < 0:
		j.violate("mixed", "request %s succeeds with seal %q that no backend server gave it", r.id, o.seal)
	case !r.route.stream && o.whole && o.body != plainBody(r.runs[i].backend, r.id):
		j.violate("mixed", "request %s gets %d bytes that are not the body of %s", r.id, len(o.body), r.runs[i].backend)
	case r.route.stream:
		j.checkStream(r, o)
	}
	if o.whole {
		j.served++
		r.promise = 0
	}
}

// checkStream checks that the pieces of a stream follow each other.
func (j *Judge) checkStream(r *request, o outcome) {
	want := ""
	for n := 1; n <= lastEvent; n++ {
		want += event(r.id, n)
	}
	if len(o.body) > len(want) || want[:len(o.body)] != o.body {
		j.violate("order", "request %s gets a stream that is not the one made: %q", r.id, o.body)
		return
	}
	if o.whole && o.body != want {
		j.violate("order", "request %s gets a stream that ends as complete after %d of %d bytes", r.id, len(o.body), len(want))
	}
}

// Ordered records that a configuration is about to be sent.
func (j *Judge) Ordered(version uint64, c sentConfiguration) {
	defer j.lock()()
	if _, ok := j.sent[version]; !ok {
		j.sent[version] = c
	}
}

// Acknowledged records the answer to a configuration.
func (j *Judge) Acknowledged(version uint64, vm string, status int) {
	defer j.lock()()
	c := j.sent[version]
	_, before := j.acknowledged[version]
	switch {
	case status == http.StatusOK && !c.valid:
		j.violate("config", "invalid configuration %d is acknowledged by %s", version, vm)
	case status == http.StatusOK && !before:
		j.acknowledged[version] = j.Timers.Now()
	case status >= 400 && status < 500 && c.valid:
		j.violate("config", "valid configuration %d is refused by %s with %d", version, vm, status)
	}
}

// ReadBack records a configuration that was read from a control VM by a call sent at a time.
func (j *Judge) ReadBack(version uint64, text, vm string, sentAt time.Time) {
	defer j.lock()()
	c, ok := j.sent[version]
	if !ok || !c.valid || c.text != text {
		j.violate("config", "%s tells configuration %d, which is not what was sent under this number", vm, version)
	}
	if newest := j.newest(sentAt.Add(-applyBound)); version < newest {
		j.violate("config", "%s tells configuration %d after %d was acknowledged", vm, version, newest)
	}
}

// Unread records that no configuration could be read at the end.
func (j *Judge) Unread(vm string) {
	defer j.lock()()
	j.violate("lost", "%s tells no configuration at the end of the run", vm)
}

// Broken records a broken promise that a part of the soak has seen itself.
func (j *Judge) Broken(rule, format string, args ...any) {
	defer j.lock()()
	j.violate(rule, format, args...)
}

// Left records that the leave of a backend server was acknowledged; it counts in the calm span.
func (j *Judge) Left(backend string) {
	defer j.lock()()
	if j.settled(j.Timers.Now()) {
		j.left[backend] = j.Timers.Now()
	}
}

// Evacuated records that the evacuation of a zone was acknowledged, or taken back.
func (j *Judge) Evacuated(zone string, out bool) {
	defer j.lock()()
	delete(j.evacuated, zone)
	if out && j.settled(j.Timers.Now()) {
		j.evacuated[zone] = j.Timers.Now()
	}
}

// Disturb records that a fault meets a VM, or core, from now on until the
// returned function is called.
func (j *Judge) Disturb(vms ...string) func() {
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

// disturbed reports whether a fault met a VM between two times.
func (j *Judge) disturbed(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(j.disturbances, func(d disturbance) bool {
		return d.vm == vm && !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
	})
}

// settled reports whether the calm span has lasted for the contact bound.
func (j *Judge) settled(now time.Time) bool {
	return !j.calmSince.IsZero() && !j.disturbed(core, now.Add(-contactBound), now)
}

// inTouch reports whether the bounds hold for a VM at a time.
func (j *Judge) inTouch(vm string, now time.Time) bool {
	from := now.Add(-contactBound)
	return j.settled(now) && !j.disturbed(vm, from, now) && !j.disturbed(stopping(vm), from, now)
}

// calm begins the calm span.
func (j *Judge) calm() {
	defer j.lock()()
	j.calmSince = j.Timers.Now()
}

func (j *Judge) servedAny() bool {
	defer j.lock()()
	return j.served > 0
}

// finish checks what can only be judged as a whole and fills the report.
func (j *Judge) finish(report *Report) {
	defer j.lock()()
	j.checkBudget()
	j.checkExposure()
	for _, r := range j.requests {
		report.Requests++
		report.Runs += len(r.runs)
	}
	if float64(j.calmServed) < servedPart*float64(j.calmRequests) {
		j.violate("recover", "%d of %d requests are served after the recovery", j.calmServed, j.calmRequests)
	}
	report.Served, report.Calm, report.CalmServed, report.Violations = j.served, j.calmRequests, j.calmServed, j.violations
	report.Unserved = j.unserved
}

// checkBudget checks the repeats to each pool in every window.
func (j *Judge) checkBudget() {
	for pool, list := range j.arrivals {
		var sent []time.Time
		for _, r := range j.requests {
			if r.route.pool == pool {
				sent = append(sent, r.sentAt)
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
				j.violate("budget", "pool %s gets %d repeats within %v for %d requests, %d are allowed", pool, repeats, retryWindow, requests, most)
				break
			}
		}
	}
}

// Stopped records how a process ended after SIGTERM.
func (j *Judge) Stopped(vm string, begin time.Time, status error) {
	defer j.lock()()
	if status != nil && !j.disturbed(vm, begin.Add(-time.Second), j.Timers.Now()) {
		j.violate("stop", "%s ends %v after SIGTERM with: %v", vm, j.Timers.Now().Sub(begin), status)
	}
}
