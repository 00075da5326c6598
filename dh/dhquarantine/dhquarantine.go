// Package dhquarantine finds parts of prompts that crash the backend servers which
// begin to answer them, and keeps requests with such a part away from all of them.
//
// A backend server that crashes takes the requests of several entry VMs with it, of
// which at most one is the cause. Each entry VM sees only its own broken
// connections, so what crashes have in common is found where the observations meet,
// on the control VMs:
//
//   - A Filter on each entry VM records the requests that were at work on a backend
//     server when their connection broke, and which parts of prompts were answered. A
//     request that went on after its first event is not a suspect, and its parts are
//     cleared.
//   - An Investigation on each control VM merges the observations of all entry VMs. A
//     part that most recent crashes have in common, and that nobody has answered
//     since shortly before the first of them, gets a Verdict.
//   - Verdicts travel back with the watches. Every VM that knows of one passes it on,
//     so it outlives restarts and needs no majority.
//
// A verdict ends when no request with its part has come for a term. For a while
// afterwards, one crash suffices for the next verdict about the part.
//
// The last part of a prompt belongs to one request or session and is never
// considered. All tables have fixed sizes. Without crashes, an entry VM only notes
// answered parts in a table of fixed size, and watches carry nothing.
//
// # Usage
//
//	filter := &dhquarantine.Filter{Timers: timers, Log: log, Metrics: metrics}
//	if v, ok := filter.Find(pool, parts); ok { ... } // before each send: refuse the request
//	filter.RecordBroken(dhquarantine.Broken{...})      // a connection broke before the second event
//	filter.RecordAnswer(pool, parts)                   // the second event, or a complete answer
//
//	investigation := &dhquarantine.Investigation{Timers: timers, Name: name, Log: log, Metrics: metrics}
//	investigation.Merge(report.GetRequests(), report.GetAnswered(), report.GetVerdicts(), true)
//	investigation.Evaluate(backends, delay) // periodically
package dhquarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
)

// Part identifies a part of the prompts of a pool's requests.
type Part struct {
	Pool string
	ID   uint64
}

func partOf(m *dhpb.PromptPart) Part { return Part{m.GetPool(), m.GetId()} }

func (p Part) message() *dhpb.PromptPart { return &dhpb.PromptPart{Pool: p.Pool, Id: p.ID} }

const (
	// Term is how long a verdict holds after the last request with its part.
	Term = time.Minute
	// probation is how long a verdict that has ended or was lifted is remembered.
	probation = 10 * time.Minute
	// maxVerdicts bounds the verdicts that a VM keeps.
	maxVerdicts = 256
	// maxParts bounds the parts of one request that are considered.
	maxParts = 64
	// maxNamed bounds the backend servers that a verdict names.
	maxNamed = 8
)

// Verdict keeps requests with a part from backend servers. A Verdict is immutable.
type Verdict struct {
	Part Part
	// DecidedAt is the wall clock of the VM that decided. The newest verdict about a
	// part holds.
	DecidedAt time.Time
	// Lifted is set if an operator has lifted the verdict.
	Lifted bool
	// Expires is when the verdict ends, by the clock of this VM.
	Expires time.Time
	// Crashes is the number of crashes behind the verdict, Requests that of the
	// requests with the part that were at work. Backends names some of the backend
	// servers, DecidedBy the control VM or the operator.
	Crashes, Requests int
	Backends          []string
	DecidedBy         string
}

// WithExpiry returns the verdict with another end.
func (v Verdict) WithExpiry(at time.Time) Verdict {
	v.Expires = at
	return v
}

// InForce reports whether the verdict holds at a time.
func (v Verdict) InForce(now time.Time) bool { return !v.Lifted && now.Before(v.Expires) }

// settles returns the time up to which crashes are no further evidence: they led to the
// verdict, happened before all VMs knew of it, or are what an operator lifted it for.
func (v Verdict) settles() time.Time {
	if v.Lifted {
		return v.DecidedAt
	}
	return v.Expires
}

func (v Verdict) message(now time.Time) *dhpb.QuarantineVerdict {
	return &dhpb.QuarantineVerdict{
		Part: v.Part.message(), DecidedAt: v.DecidedAt.UnixMilli(), Lifted: v.Lifted, Remaining: durationpb.New(v.Expires.Sub(now)),
		Crashes: uint32(v.Crashes), Requests: uint32(v.Requests), Backends: v.Backends, DecidedBy: v.DecidedBy,
	}
}

func verdictOf(m *dhpb.QuarantineVerdict, now time.Time) Verdict {
	remaining := min(max(m.GetRemaining().AsDuration(), -probation), maxRemaining)
	return Verdict{
		Part: partOf(m.GetPart()), DecidedAt: time.UnixMilli(m.GetDecidedAt()), Lifted: m.GetLifted(), Expires: now.Add(remaining),
		Crashes: int(m.GetCrashes()), Requests: int(m.GetRequests()), Backends: m.GetBackends()[:min(len(m.GetBackends()), maxNamed)],
		DecidedBy: m.GetDecidedBy(),
	}
}

// maxRemaining bounds the time for which a verdict may still hold.
const maxRemaining = 24 * time.Hour

// Verdicts holds the newest verdict about each part. The zero value is empty and
// ready to use.
type Verdicts struct{ byPart map[Part]Verdict }

// Merge adds a verdict and reports whether it changes what is in force.
func (s *Verdicts) Merge(v Verdict, now time.Time) (changed bool) {
	old, known := s.byPart[v.Part]
	switch {
	case v.Part.Pool == "", v.DecidedAt.Sub(now) > maxRemaining:
		return false // no VM's clock is that far ahead
	case !known && !s.makeRoom(now):
		return false
	case known && v.DecidedAt.Before(old.DecidedAt):
		return false
	case known && v.DecidedAt.Equal(old.DecidedAt):
		// The same verdict on another way: the later end is that of a newer request,
		// and a lifted verdict stays lifted.
		v.Lifted = v.Lifted || old.Lifted
		if old.Expires.After(v.Expires) {
			v.Expires = old.Expires
		}
	}
	if s.byPart == nil {
		s.byPart = make(map[Part]Verdict)
	}
	s.byPart[v.Part] = v
	return old.InForce(now) != v.InForce(now)
}

// makeRoom removes the verdict that ended first if the table is full, and reports
// whether there is room.
func (s *Verdicts) makeRoom(now time.Time) bool {
	if len(s.byPart) < maxVerdicts {
		return true
	}
	var first Verdict
	for _, v := range s.byPart {
		if !v.InForce(now) && (first.Part.Pool == "" || v.Expires.Before(first.Expires)) {
			first = v
		}
	}
	delete(s.byPart, first.Part)
	return len(s.byPart) < maxVerdicts
}

// Get returns the newest verdict about a part.
func (s *Verdicts) Get(p Part) (Verdict, bool) {
	v, ok := s.byPart[p]
	return v, ok
}

// Forget removes the verdicts that ended longer ago than they are remembered.
func (s *Verdicts) Forget(now time.Time) {
	for p, v := range s.byPart {
		if now.Sub(v.Expires) > probation {
			delete(s.byPart, p)
		}
	}
}

// All returns the verdicts ordered by part.
func (s *Verdicts) All() []Verdict {
	list := make([]Verdict, 0, len(s.byPart))
	for _, v := range s.byPart {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Part.Pool, b.Part.Pool), cmp.Compare(a.Part.ID, b.Part.ID))
	})
	return list
}

// Messages returns the verdicts as messages, or nil if there are none.
func (s *Verdicts) Messages(now time.Time) []*dhpb.QuarantineVerdict {
	if len(s.byPart) == 0 {
		return nil
	}
	var list []*dhpb.QuarantineVerdict
	for _, v := range s.All() {
		list = append(list, v.message(now))
	}
	return list
}
