package dhquarantine

import (
	"slices"
	"time"
)

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes of attempts.
const (
	// Broken means that the connection broke before the answer was complete.
	Broken Outcome = iota
	// Left means that the router or the caller ended the attempt.
	Left
	// Answered means that the backend server completed its answer, whatever it was.
	Answered
)

// Run is an attempt that may have run on a backend server.
type Run struct {
	Request
	Backend     string
	Incarnation uint64
	// ID is the id of the request; one that comes again has another id.
	ID      string
	Began   time.Time
	Outcome Outcome
	// Progressed is set if the answer went on after its first event, which a part that
	// crashes backend servers does not let it.
	Progressed bool
}

func (r Run) backend() backendKey { return backendKey{r.Backend, r.Incarnation} }

// backendKey identifies one incarnation of a backend server.
type backendKey struct {
	id          string
	incarnation uint64
}

const (
	// endedWithin is the time before the end of a backend server within which a run must
	// have ended there to be a possible cause: a backend server may crash while it cleans
	// up after a request that was answered or left.
	endedWithin = time.Second
	// maxRecent bounds the recent runs that a VM keeps, maxEnds the ended backend servers.
	maxRecent = 256
	maxEnds   = 256
)

// recentRuns holds the runs of the last endedWithin that did not end by a broken
// connection, and when backend servers ended. The zero value is empty and ready to use.
type recentRuns struct {
	runs []observedRun
	ends map[backendKey]time.Time
}

// add adds a run that has just ended.
func (r *recentRuns) add(run observedRun) {
	old := 0
	for old < len(r.runs) && (run.at.Sub(r.runs[old].at) > reportedFor || len(r.runs)-old >= maxRecent) {
		old++
	}
	r.runs = append(slices.Delete(r.runs, 0, old), run)
}

// ended reports whether a backend server has just ended. An answer that completes later
// shows that it is alive.
func (r *recentRuns) ended(k backendKey, now time.Time) bool {
	at, ok := r.ends[k]
	return ok && now.Sub(at) <= aliveAfter
}

// takeBefore records that a backend server has ended at a time, and removes and returns
// the runs that ended there within endedWithin before.
func (r *recentRuns) takeBefore(k backendKey, at time.Time) (taken []observedRun) {
	if _, known := r.ends[k]; !known {
		r.addEnd(k, at)
	}
	r.runs = slices.DeleteFunc(r.runs, func(run observedRun) bool {
		if run.backend() != k || at.Sub(run.at) > endedWithin {
			return false
		}
		taken = append(taken, run)
		return true
	})
	return taken
}

func (r *recentRuns) addEnd(k backendKey, at time.Time) {
	for old, ended := range r.ends {
		if at.Sub(ended) > 2*reportedFor {
			delete(r.ends, old)
		}
	}
	if r.ends == nil {
		r.ends = make(map[backendKey]time.Time)
	}
	if len(r.ends) < maxEnds {
		r.ends[k] = at
	}
}
