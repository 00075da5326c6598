package dhquarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// evidenceWindow is the time for which a crash is evidence.
	evidenceWindow = 3 * time.Minute
	// clearedBefore is the time before the first crash of a part within which an answer
	// clears it: while a whole pool crashes, nobody answers. A request is cleared by
	// answers after its crashes.
	clearedBefore = 5 * time.Second
	// aliveAfter is the time after a broken connection from which an announcement of the
	// same incarnation shows that the backend server did not crash.
	aliveAfter = 300 * time.Millisecond
	// suspectCrashes is the number of crashes from which a cause is suspected: entry
	// VMs are asked whether it was answered, and do not repeat requests with it.
	suspectCrashes = 2
	// settleTime is the time from the suspicion to the verdict, in which entry VMs
	// report answers.
	settleTime = 400 * time.Millisecond
	// maxSuspects bounds the causes that entry VMs are asked about, maxCharges those of
	// one kind.
	maxCharges  = 64
	maxSuspects = 2 * maxCharges
	// endedFor is how long entry VMs are asked about the last requests of a backend
	// server that ended, and maxEnded bounds these backend servers.
	endedFor = 2 * time.Second
	maxEnded = 64
	// trialKnown is how long a report that a suspected request was sent holds: several
	// watches.
	trialKnown = time.Second
	// maxRequests bounds the broken requests and maxCleared the answered parts that a
	// control VM keeps.
	maxRequests = 4096
	maxCleared  = 16384
	// passedOnFor is how long an observation is passed on to other control VMs, which
	// keep it: several of their watches, in case some fail. maxPassedOn bounds the
	// observations of each kind in an answer to a watch.
	passedOnFor = 3 * time.Second
	maxPassedOn = 1024
)

// Backends tells which backend servers there are.
type Backends interface {
	// Size returns the number of backend servers of a pool.
	Size(pool string) int
	// AnnouncedSince reports whether an incarnation of a backend server has announced
	// itself after a time.
	AnnouncedSince(id string, incarnation uint64, at time.Time) bool
}

// Investigation finds the causes of crashes of backend servers on a control VM. Its exported
// fields are set before use. It is safe for use by several goroutines.
type Investigation struct {
	Timers dhtimer.Service
	// Name is this VM's name.
	Name    string
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	mu       sync.Mutex
	requests map[requestKey]*observation
	// ends holds when connections to a backend server first broke.
	ends     map[backendKey]time.Time
	answered map[Cause]time.Time
	// direct holds when an entry VM last reported to this VM that a cause was answered.
	direct   map[Cause]time.Time
	verdicts Verdicts
	// charges is the newest evidence against the suspects.
	charges  []charge
	suspects map[Cause]suspect
	// trials holds when suspected requests were last reported as sent, by fingerprint.
	trials map[uint64]trial
	// fresh is set while there are observations that have not been evaluated.
	fresh  bool
	number uint64
}

// suspect tells since when a cause has been suspected, how many crashes have it in common,
// and when the newest was.
type suspect struct {
	since, crashed time.Time
	crashes        int
	// onTrial is set if an entry VM has sent the request and it has not ended.
	onTrial bool
}

// trial tells when a suspected request was last reported as sent, and whether an entry VM
// reported it to this VM.
type trial struct {
	at     time.Time
	direct bool
}

type requestKey struct {
	backend backendKey
	request uint64
}

// observation is a request that was at work on a backend server when its connection
// broke, or had ended there shortly before.
type observation struct {
	Request
	at    time.Time
	ran   time.Duration
	ended bool
	// direct is when an entry VM first reported it to this VM.
	direct time.Time
}

// MergeReport applies what an entry VM that watches this VM reports. It is passed on to
// the other control VMs. It reports whether entry VMs must hear of a change soon.
func (n *Investigation) MergeReport(r *dhpb.EntryReport) (changed bool) {
	if len(r.GetRequests())+len(r.GetAnswered())+len(r.GetVerdicts())+len(r.GetTrials()) == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	for _, fingerprint := range r.GetTrials() {
		n.addTrial(fingerprint, trial{now, true})
	}
	return n.merge(r.GetRequests(), r.GetAnswered(), r.GetVerdicts(), now, true)
}

// MergeState applies what another control VM knows; see MergeReport.
func (n *Investigation) MergeState(q *dhpb.QuarantineState) (changed bool) {
	if q == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	for _, s := range q.GetSuspects() {
		if s.GetOnTrial() {
			n.addTrial(s.GetId(), trial{now, false})
		}
	}
	return n.merge(q.GetRequests(), q.GetAnswered(), q.GetVerdicts(), now, false)
}

func (n *Investigation) addTrial(fingerprint uint64, t trial) {
	old, known := n.trials[fingerprint]
	if !known && len(n.trials) >= maxSuspects {
		return
	}
	if n.trials == nil {
		n.trials = make(map[uint64]trial)
	}
	t.direct = t.direct || (old.direct && t.at.Sub(old.at) <= trialKnown)
	n.trials[fingerprint] = t
}

func (n *Investigation) merge(requests []*dhpb.SuspectRequest, answered []*dhpb.AnsweredCause, verdicts []*dhpb.QuarantineVerdict, now time.Time, direct bool) (changed bool) {
	n.fresh = n.fresh || len(requests)+len(answered)+len(verdicts) > 0
	for _, m := range requests {
		changed = n.addRequest(m, now, direct) || changed
	}
	for _, m := range answered {
		n.addAnswer(CauseOf(m.GetCause()), now.Add(-max(m.GetAge().AsDuration(), 0)), direct)
	}
	for _, m := range verdicts {
		v := verdictOf(m, now)
		if n.verdicts.Merge(v, now) {
			logVerdict(n.Log, n.Metrics, v, now)
			changed = true
		}
	}
	if changed {
		n.number++
	}
	return changed
}

// addRequest adds an observation and reports whether it shows the end of another backend
// server.
func (n *Investigation) addRequest(m *dhpb.SuspectRequest, now time.Time, direct bool) (newEnd bool) {
	k := requestKey{backendKey{m.GetBackend(), m.GetIncarnation()}, m.GetRequest()}
	at := now.Add(-max(m.GetAge().AsDuration(), 0))
	reported := time.Time{}
	if direct {
		reported = now
	}
	if old := n.requests[k]; old != nil {
		if old.direct.IsZero() {
			old.direct = reported
		}
		return false
	}
	if m.GetPool() == "" || now.Sub(at) > evidenceWindow || !n.makeRoom(now) {
		return false
	}
	if n.requests == nil {
		n.requests, n.ends = make(map[requestKey]*observation), make(map[backendKey]time.Time)
	}
	parts := m.GetParts()
	r := Request{Pool: m.GetPool(), Parts: parts[:min(len(parts), maxParts)], Fingerprint: m.GetFingerprint()}
	if r.Fingerprint == 0 {
		r.Fingerprint = k.request // from a VM that does not tell it yet
	}
	n.requests[k] = &observation{Request: r, at: at, ran: max(m.GetRan().AsDuration(), 0), ended: m.GetEnded(), direct: reported}
	if m.GetEnded() {
		return false
	}
	old, known := n.ends[k.backend]
	if !known || at.Before(old) {
		n.ends[k.backend] = at
	}
	return !known
}

// makeRoom removes the older half of the evidence if the table is full, and reports
// whether there is room.
func (n *Investigation) makeRoom(now time.Time) bool {
	for age := evidenceWindow / 2; len(n.requests) >= maxRequests && age > time.Second; age /= 2 {
		for k, o := range n.requests {
			if now.Sub(o.at) > age {
				delete(n.requests, k)
			}
		}
	}
	return len(n.requests) < maxRequests
}

func (n *Investigation) addAnswer(c Cause, at time.Time, direct bool) {
	old, known := n.answered[c]
	if !c.Valid() || (!known && len(n.answered) >= maxCleared) {
		return
	}
	if n.answered == nil {
		n.answered, n.direct = make(map[Cause]time.Time), make(map[Cause]time.Time)
	}
	if at.After(old) {
		n.answered[c] = at
	}
	if direct {
		n.direct[c] = n.Timers.Now()
	}
}

// State returns what a caller of a watch learns, with the observations of the entry VMs
// that watch this VM if it is a control VM; nil if there is nothing.
func (n *Investigation) State(forControl bool) *dhpb.QuarantineState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.number == 0 && len(n.requests) == 0 {
		return nil
	}
	now := n.Timers.Now()
	m := &dhpb.QuarantineState{Number: n.number, Verdicts: n.verdicts.Messages(now)}
	for c, s := range n.suspects {
		k, t := c.message(), n.trials[c.ID]
		onTrial := c.Kind == WholeRequest && now.Sub(t.at) <= trialKnown && (t.direct || !forControl)
		m.Suspects = append(m.Suspects, &dhpb.QuarantineSuspect{
			Pool: k.GetPool(), Id: k.GetId(), Kind: k.GetKind(), OnTrial: onTrial, Crashes: uint32(s.crashes), SinceCrash: durationpb.New(now.Sub(s.crashed)),
		})
	}
	if !forControl {
		for k, at := range n.ends {
			if now.Sub(at) <= endedFor && len(m.Ended) < maxEnded {
				m.Ended = append(m.Ended, &dhpb.EndedBackend{Id: k.id, Incarnation: k.incarnation, Age: durationpb.New(now.Sub(at))})
			}
		}
		return m
	}
	for k, o := range n.requests {
		if now.Sub(o.direct) <= passedOnFor && len(m.Requests) < maxPassedOn {
			m.Requests = append(m.Requests, &dhpb.SuspectRequest{
				Pool: o.Pool, Backend: k.backend.id, Incarnation: k.backend.incarnation, Request: k.request, Age: durationpb.New(now.Sub(o.at)),
				Parts: o.Parts, Fingerprint: o.Fingerprint, Ran: durationpb.New(o.ran), Ended: o.ended,
			})
		}
	}
	for c, reported := range n.direct {
		if now.Sub(reported) <= passedOnFor && len(m.Answered) < maxPassedOn {
			m.Answered = append(m.Answered, &dhpb.AnsweredCause{Cause: c.message(), Age: durationpb.New(now.Sub(n.answered[c]))})
		}
	}
	return m
}

// Number returns a number that increases with each change of suspects and verdicts.
func (n *Investigation) Number() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.number
}

// Decide adds a verdict of an operator: it quarantines a cause for a time, or lifts its
// quarantine.
func (n *Investigation) Decide(c Cause, lift bool, remaining time.Duration, operator string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	v := Verdict{Cause: c, DecidedAt: now, Lifted: lift, Expires: now, DecidedBy: operator}
	if !lift {
		v.Expires = now.Add(min(remaining, maxRemaining))
	}
	if old, ok := n.verdicts.Get(c); ok && !v.DecidedAt.After(old.DecidedAt) {
		v.DecidedAt = old.DecidedAt.Add(time.Millisecond) // the clock of another VM is ahead
	}
	if n.verdicts.Merge(v, now) {
		logVerdict(n.Log, n.Metrics, v, now)
	}
	n.number++
}

// Messages returns all verdicts that are remembered as messages.
func (n *Investigation) Messages() []*dhpb.QuarantineVerdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.verdicts.Messages(n.Timers.Now())
}

// Verdicts returns all verdicts that are remembered.
func (n *Investigation) Verdicts() []Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.verdicts.All()
}

// Evaluate decides about the suspected causes, and reports whether suspects or verdicts
// have changed. A verdict waits for a delay that is longer the higher the rank of
// this VM, so that one VM decides.
func (n *Investigation) Evaluate(backends Backends, delay time.Duration) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Timers.Now()
	n.verdicts.Forget(now)
	n.forget(backends, now)
	if len(n.requests) == 0 && len(n.suspects) == 0 {
		return false
	}
	if n.fresh {
		n.fresh = false
		changed = n.suspectCauses(backends, now)
	}
	for _, c := range n.charges {
		if c.proved && now.Sub(n.suspects[c.cause].since) >= settleTime+delay {
			n.convict(c, now)
			changed, n.fresh = true, true // its crashes are explained from now on
		}
	}
	if changed {
		n.number++
	}
	return changed
}

// suspectCauses computes the charges and the suspects, and reports whether the suspects
// have changed.
func (n *Investigation) suspectCauses(backends Backends, now time.Time) (changed bool) {
	suspects := make(map[Cause]suspect)
	crashes := n.crashes()
	n.charges = append(n.partCharges(crashes, now), n.requestCharges(crashes, backends, now)...)
	for _, c := range n.charges {
		s, known := n.suspects[c.cause]
		if !known {
			s.since = now
			changed = true
			n.logCharge("cause of crashes suspected", c, len(crashes))
			n.Metrics.Count("quarantine", "suspected")
		}
		changed = changed || s.crashes != len(c.in)
		s.crashed, s.crashes = crashes[c.in[len(c.in)-1]].at, len(c.in)
		suspects[c.cause] = s
	}
	for c := range n.suspects {
		if _, still := suspects[c]; !still {
			changed = true
		}
	}
	n.suspects = suspects
	return changed
}

// forget removes observations that are old or whose backend server did not crash.
func (n *Investigation) forget(backends Backends, now time.Time) {
	for k, at := range n.ends {
		if now.Sub(at) > evidenceWindow || backends.AnnouncedSince(k.id, k.incarnation, at.Add(aliveAfter)) {
			delete(n.ends, k)
			n.fresh = true
		}
	}
	for k, o := range n.requests {
		if _, ended := n.ends[k.backend]; !ended || now.Sub(o.at) > evidenceWindow {
			delete(n.requests, k)
		}
	}
	for fingerprint, t := range n.trials {
		if now.Sub(t.at) > trialKnown {
			delete(n.trials, fingerprint)
		}
	}
	for c, at := range n.answered {
		if now.Sub(at) > evidenceWindow+clearedBefore {
			delete(n.answered, c)
			delete(n.direct, c)
		}
	}
}

// convict puts a cause into quarantine.
func (n *Investigation) convict(c charge, now time.Time) {
	slices.Sort(c.backends)
	c.backends = slices.Compact(c.backends)
	v := Verdict{
		Cause: c.cause, DecidedAt: now, Expires: now.Add(Term), Crashes: len(c.in), Requests: c.requests,
		Backends: c.backends[:min(len(c.backends), maxNamed)], DecidedBy: n.Name,
	}
	if old, ok := n.verdicts.Get(c.cause); ok && !v.DecidedAt.After(old.DecidedAt) {
		v.DecidedAt = old.DecidedAt.Add(time.Millisecond)
	}
	if n.verdicts.Merge(v, now) {
		logVerdict(n.Log, n.Metrics, v, now)
	}
}

func (n *Investigation) logCharge(text string, c charge, crashes int) {
	n.Log.Warn(text, slog.String("kind", c.cause.Kind.String()), slog.String("pool", c.cause.Pool), slog.String("id", FormatID(c.cause.ID)),
		slog.Int("crashes", len(c.in)), slog.Int("of", crashes), slog.Int("requests", c.requests), slog.Float64("by-chance", c.byChance),
		slog.Bool("convicted-before", c.convicted), slog.Any("backends", c.backends[:min(len(c.backends), maxNamed)]))
}
