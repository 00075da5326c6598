package dhsoak

import "time"

// The bound on the requests to a backend server that states a limit, from
// limitContact after it first stated it: in any limitWindow, limitFactor times what
// the limit allows, plus limitSlack, from VMs that have received an answer with the
// limit limitGrace before.
const (
	limitContact = settleTime
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitGrace   = 500 * time.Millisecond
)

// statedLimit is the request limit of a backend server.
type statedLimit struct {
	since time.Time
	// told is when each VM first received an answer with the limit.
	told     map[string]time.Time
	arrivals []limitedArrival
}

type limitedArrival struct {
	at    time.Time
	limit float64
}

// LimitStated records that a backend server begins its answer to a request, in
// which it may state a limit.
func (j *Checker) LimitStated(s backendRequest) {
	defer j.lock()()
	r := j.requests[s.id]
	if r == nil || !s.limited {
		return
	}
	l, now := j.limits[s.backend], j.Timers.Now()
	if l == nil {
		l = &statedLimit{since: now, told: make(map[string]time.Time)}
		j.limits[s.backend] = l
	}
	if l.told[r.entry].IsZero() {
		l.told[r.entry] = now
	}
}

// checkLimit checks a request to a backend server against the limit that the server
// states. The caller holds the lock. A VM under a fault is excused, and knows of the
// limit only from answers after the fault.
func (j *Checker) checkLimit(r *request, s backendRequest, now time.Time) {
	l := j.limits[s.backend]
	if l == nil {
		return
	}
	if !s.limited {
		delete(j.limits, s.backend)
		return
	}
	told := l.told[r.entry]
	if !told.IsZero() && j.disturbed(r.entry, told, now) {
		told = time.Time{}
		delete(l.told, r.entry)
	}
	if told.IsZero() || now.Sub(told) < limitGrace || now.Sub(l.since) < limitContact || j.disturbed(r.entry, now.Add(-settleTime), now) || j.disturbed(s.backend, now.Add(-settleTime), now) {
		return
	}
	l.arrivals = append(l.arrivals, limitedArrival{now, s.limit})
	for now.Sub(l.arrivals[0].at) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	highest := 0.0
	for _, a := range l.arrivals {
		highest = max(highest, a.limit)
	}
	if most := int(limitFactor*highest*limitWindow.Seconds() + limitSlack); len(l.arrivals) == most+1 {
		j.addViolation("limit", "backend server %s states a limit of %g requests/s and gets more than %d in %s", s.backend, highest, most, limitWindow)
	}
}
