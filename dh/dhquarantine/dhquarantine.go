// Package dhquarantine finds what crashes the backend servers that begin to run a
// request, and keeps requests with this cause away from all of them. A cause is a part of
// prompts, which different requests share, or a whole request that comes again.
//
// A backend server that crashes takes the requests of several entry VMs with it, of
// which at most one is the cause. Each entry VM sees only its own broken
// connections, so what crashes have in common is found where the observations meet,
// on the control VMs:
//
//   - A Filter on each entry VM records the requests that were at work on a backend
//     server when their connection broke or shortly before, and which causes were
//     answered: a complete answer clears a request, and the second event its parts.
//   - An Investigation on each control VM merges the observations of all entry VMs. A
//     cause gets a Verdict if nobody has answered it meanwhile and if it explains the
//     crashes: a part that most recent crashes of different requests have in common, or
//     a request that by chance would hardly have been at work in all of them.
//   - Verdicts travel back with the watches. Every VM that knows of one passes it on,
//     so it outlives restarts and needs no majority.
//
// Of a part and a request that explain the same crashes, the request is the cause: sound
// requests share the part. A part is the cause only if other requests with it crash
// backend servers as well.
//
// A verdict ends when no request with its cause has come for a term. For a while
// afterwards, one crash suffices for the next verdict about it.
//
// The last part of a prompt belongs to one request or session and is never
// considered. All tables have fixed sizes. Without crashes, an entry VM only notes what
// was answered in a table of fixed size, and watches carry nothing.
//
// # Usage
//
//	filter := &dhquarantine.Filter{Timers: timers, Log: log, Metrics: metrics}
//	if v, ok := filter.Find(request); ok { ... } // before each send: refuse the request
//	filter.RecordProgress(request)               // at the second event
//	filter.RecordEnd(dhquarantine.Run{...})      // after each attempt that may have run
//
//	investigation := &dhquarantine.Investigation{Timers: timers, Name: name, Log: log, Metrics: metrics}
//	investigation.MergeReport(report)
//	investigation.Evaluate(backends, delay) // periodically
package dhquarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
)

// Kind tells what a Cause is.
type Kind uint8

//go:generate ../../bin/stringer -type=Kind -linecomment

// The kinds of causes.
const (
	PromptPart   Kind = iota // part
	WholeRequest             // request
)

// Cause identifies what may crash backend servers: a part of the prompts of a pool's
// requests, or a whole request of any pool by its fingerprint.
type Cause struct {
	Kind Kind
	// Pool is empty for a whole request.
	Pool string
	ID   uint64
}

// CauseOf returns the cause that a message identifies.
func CauseOf(m *dhpb.QuarantineCause) Cause {
	if m.GetKind() == dhpb.CauseKind_CAUSE_KIND_REQUEST {
		return Cause{Kind: WholeRequest, ID: m.GetId()}
	}
	return Cause{Pool: m.GetPool(), ID: m.GetId()}
}

func suspectOf(m *dhpb.QuarantineSuspect) Cause {
	return CauseOf(&dhpb.QuarantineCause{Pool: m.GetPool(), Id: m.GetId(), Kind: m.GetKind()})
}

// Valid reports whether the cause identifies anything.
func (c Cause) Valid() bool {
	if c.Kind == WholeRequest {
		return c.ID != 0
	}
	return c.Pool != ""
}

func (c Cause) compare(d Cause) int {
	return cmp.Or(cmp.Compare(c.Kind, d.Kind), cmp.Compare(c.Pool, d.Pool), cmp.Compare(c.ID, d.ID))
}

func (c Cause) message() *dhpb.QuarantineCause {
	m := &dhpb.QuarantineCause{Pool: c.Pool, Id: c.ID}
	if c.Kind == WholeRequest {
		m.Kind = dhpb.CauseKind_CAUSE_KIND_REQUEST
	}
	return m
}

// Request is what the quarantine needs to know of a request.
type Request struct {
	Pool string
	// Parts are the parts of its prompt without the last one.
	Parts []uint64
	// Fingerprint identifies the whole request; see Fingerprint.
	Fingerprint uint64
}

// causes returns what may be the cause if the request crashes a backend server.
func (r Request) causes() []Cause {
	list := make([]Cause, 0, len(r.Parts)+1)
	if r.Fingerprint != 0 {
		list = append(list, Cause{Kind: WholeRequest, ID: r.Fingerprint})
	}
	for _, id := range r.Parts[:min(len(r.Parts), maxParts)] {
		list = append(list, Cause{Pool: r.Pool, ID: id})
	}
	return list
}

const (
	// Term is how long a verdict holds after the last request with its cause.
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

// Verdict keeps requests with a cause from backend servers. A Verdict is immutable.
type Verdict struct {
	Cause Cause
	// DecidedAt is the wall clock of the VM that decided. The newest verdict about a
	// cause holds.
	DecidedAt time.Time
	// Lifted is set if an operator has lifted the verdict.
	Lifted bool
	// Expires is when the verdict ends, by the clock of this VM.
	Expires time.Time
	// Crashes is the number of crashes behind the verdict, Requests that of the
	// different requests with the cause that were at work. Backends names some of the backend
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
		Cause: v.Cause.message(), DecidedAt: v.DecidedAt.UnixMilli(), Lifted: v.Lifted, Remaining: durationpb.New(v.Expires.Sub(now)),
		Crashes: uint32(v.Crashes), Requests: uint32(v.Requests), Backends: v.Backends, DecidedBy: v.DecidedBy,
	}
}

func verdictOf(m *dhpb.QuarantineVerdict, now time.Time) Verdict {
	remaining := min(max(m.GetRemaining().AsDuration(), -probation), maxRemaining)
	return Verdict{
		Cause: CauseOf(m.GetCause()), DecidedAt: time.UnixMilli(m.GetDecidedAt()), Lifted: m.GetLifted(), Expires: now.Add(remaining),
		Crashes: int(m.GetCrashes()), Requests: int(m.GetRequests()), Backends: m.GetBackends()[:min(len(m.GetBackends()), maxNamed)],
		DecidedBy: m.GetDecidedBy(),
	}
}

// maxRemaining bounds the time for which a verdict may still hold.
const maxRemaining = 24 * time.Hour

// Verdicts holds the newest verdict about each cause. The zero value is empty and
// ready to use.
type Verdicts struct{ byCause map[Cause]Verdict }

// Merge adds a verdict and reports whether it changes what is in force.
func (s *Verdicts) Merge(v Verdict, now time.Time) (changed bool) {
	old, known := s.byCause[v.Cause]
	switch {
	case !v.Cause.Valid(), v.DecidedAt.Sub(now) > maxRemaining:
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
	if s.byCause == nil {
		s.byCause = make(map[Cause]Verdict)
	}
	s.byCause[v.Cause] = v
	return old.InForce(now) != v.InForce(now)
}

// makeRoom removes the verdict that ended first if the table is full, and reports
// whether there is room.
func (s *Verdicts) makeRoom(now time.Time) bool {
	if len(s.byCause) < maxVerdicts {
		return true
	}
	var first Verdict
	for _, v := range s.byCause {
		if !v.InForce(now) && (!first.Cause.Valid() || v.Expires.Before(first.Expires)) {
			first = v
		}
	}
	delete(s.byCause, first.Cause)
	return len(s.byCause) < maxVerdicts
}

// Get returns the newest verdict about a cause.
func (s *Verdicts) Get(c Cause) (Verdict, bool) {
	v, ok := s.byCause[c]
	return v, ok
}

// Forget removes the verdicts that ended longer ago than they are remembered.
func (s *Verdicts) Forget(now time.Time) {
	for c, v := range s.byCause {
		if now.Sub(v.Expires) > probation {
			delete(s.byCause, c)
		}
	}
}

// All returns the verdicts ordered by cause.
func (s *Verdicts) All() []Verdict {
	list := make([]Verdict, 0, len(s.byCause))
	for _, v := range s.byCause {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return a.Cause.compare(b.Cause)
	})
	return list
}

// Messages returns the verdicts as messages, or nil if there are none.
func (s *Verdicts) Messages(now time.Time) []*dhpb.QuarantineVerdict {
	if len(s.byCause) == 0 {
		return nil
	}
	var list []*dhpb.QuarantineVerdict
	for _, v := range s.All() {
		list = append(list, v.message(now))
	}
	return list
}
