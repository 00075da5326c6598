package dhquarantine

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// reportedFor is how long an entry VM reports a request that was at work on a backend
	// server that ended: several watches, in case some fail.
	reportedFor = 3 * time.Second
	// maxReported bounds the requests in a report, maxAnswered the answered causes.
	maxReported = 64
	maxAnswered = 512
	// answeredSlots is the size of the table of answered causes. A cause that shares its
	// slot with another may lose its entry, so that it is cleared by its next answer
	// only.
	answeredSlots = 8192
)

// Filter refuses the requests with a quarantined cause on an entry VM, and records what
// the control VMs need to find causes. Its exported fields are set before use. It is safe
// for use by several goroutines.
type Filter struct {
	Timers dhtimer.Service
	// VM is the name of this VM.
	VM      string
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	// active is set while there is a verdict, watched while causes are suspected, so
	// that requests take no lock otherwise.
	active, watched atomic.Bool

	mu       sync.Mutex
	verdicts Verdicts
	suspects map[Cause]suspect
	// onTrial holds the suspected requests that this VM has sent or is about to send.
	onTrial map[uint64]bool
	// atWork holds the runs that were at work on a backend server that ended.
	atWork   []observedRun
	recent   recentRuns
	answered []answeredSlot
}

// observedRun is a run that ended at a time: by a broken connection, or before that.
type observedRun struct {
	Run
	at time.Time
}

// answeredSlot holds when a cause was answered last, and when before that.
type answeredSlot struct {
	cause      Cause
	at, before time.Time
}

// Find returns the verdict that keeps a request from the backend servers of its pool. The
// verdict holds for a whole term from now on.
func (f *Filter) Find(r Request) (Verdict, bool) {
	if !f.active.Load() {
		return Verdict{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	for _, c := range r.causes() {
		v, ok := f.verdicts.Get(c)
		if !ok || !v.InForce(now) {
			continue
		}
		if later := now.Add(Term); later.After(v.Expires) {
			v = v.WithExpiry(later)
			f.verdicts.Merge(v, now)
		}
		return v, true
	}
	return Verdict{}, false
}

// Peek is Find without the effect that a request has on a verdict: it does not prolong it.
func (f *Filter) Peek(r Request) (Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	for _, c := range r.causes() {
		if v, ok := f.verdicts.Get(c); ok && v.InForce(now) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Suspected reports whether a request has a suspected cause.
func (f *Filter) Suspected(r Request) bool {
	if !f.watched.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(r.causes(), func(c Cause) bool {
		_, suspected := f.suspects[c]
		return suspected
	})
}

const (
	// trialPause is the time after its second crash for which a suspected request waits; it
	// doubles with each further crash, maxTrialDoublings times at most, and is up to twice
	// as long on some VMs, so that VMs that hold the same request send it one after the
	// other. A crash that follows soon is little evidence, as the requests that the first
	// one broke are sent again at the same time.
	trialPause        = time.Second
	maxTrialDoublings = 4
	// trialDelay is how long a suspected request waits in any case, if its time permits, so
	// that this VM learns of a crash that another VM has just seen under the same request.
	trialDelay = 700 * time.Millisecond
	// trialPoll is how soon a request asks again while the same one is on trial.
	trialPoll = 100 * time.Millisecond
)

// Trial reports whether a request may be sent now. A suspected request is sent to one
// backend server at a time, some time after its last crash, so that what happens next
// tells more; wait is how long it must wait at least. It arrived at a time and can wait no
// longer than the time longest. end must be called after the last attempt of a request that
// may be sent.
func (f *Filter) Trial(r Request, arrived time.Time, longest time.Duration) (end func(), wait time.Duration) {
	if !f.watched.Load() {
		return func() {}, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, suspected := f.suspects[Cause{Kind: WholeRequest, ID: r.Fingerprint}]
	if !suspected {
		return func() {}, 0
	}
	pause := trialPause << min(max(s.crashes-suspectCrashes, 0), maxTrialDoublings)
	pause += time.Duration(f.draw(s.crashed) * float64(pause))
	now := f.Timers.Now()
	if rest := max(pause-now.Sub(s.crashed), min(trialDelay, longest)-now.Sub(arrived)); rest > 0 {
		return nil, rest
	}
	if f.onTrial[r.Fingerprint] || s.onTrial {
		return nil, trialPoll
	}
	if f.onTrial == nil {
		f.onTrial = make(map[uint64]bool)
	}
	f.onTrial[r.Fingerprint] = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.onTrial, r.Fingerprint)
	}, 0
}

// draw returns a number in [0, 1) that differs between VMs and from crash to crash.
func (f *Filter) draw(crashed time.Time) float64 {
	hash := xxhash.Sum64String(f.VM + "\x00" + strconv.FormatInt(crashed.UnixMilli()/trialPause.Milliseconds(), 10))
	return float64(hash>>11) / (1 << 53)
}

// RecordProgress records that an answer went on after its first event, which clears the
// parts of the request.
func (f *Filter) RecordProgress(r Request) {
	if len(r.Parts) == 0 {
		return
	}
	r.Fingerprint = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setAnswered(r, f.Timers.Now())
}

// RecordEnd records the end of an attempt that may have run.
func (f *Filter) RecordEnd(r Run) {
	r.Parts = slices.Clone(r.Parts[:min(len(r.Parts), maxParts)])
	if r.Progressed && r.Outcome != Answered {
		r.Parts = nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	run := observedRun{r, f.Timers.Now()}
	switch {
	case r.Outcome == Broken:
		f.Metrics.Count("quarantine", "broken-request")
		f.addAtWork(run)
		f.recordBackendEnd(r.backend(), run.at)
		c := Cause{Kind: WholeRequest, ID: r.Fingerprint}
		if s, suspected := f.suspects[c]; suspected {
			s.crashed = run.at
			f.suspects[c] = s
		}
	case f.recent.ended(r.backend(), run.at):
		f.addAtWork(run)
	default:
		f.recent.add(run)
		if r.Outcome == Answered {
			f.setAnswered(r.Request, run.at)
		}
	}
}

// recordBackendEnd moves the runs that ended on a backend server shortly before it ended
// to those that were at work on it. Their answers no longer clear the requests.
func (f *Filter) recordBackendEnd(k backendKey, at time.Time) {
	for _, run := range f.recent.takeBefore(k, at) {
		f.addAtWork(run)
		c := Cause{Kind: WholeRequest, ID: run.Fingerprint}
		if s := f.slot(c); s.cause == c && s.at.Equal(run.at) {
			s.at = s.before
		}
	}
}

func (f *Filter) addAtWork(run observedRun) {
	if len(f.atWork) >= maxReported {
		f.atWork = slices.Delete(f.atWork, 0, 1)
	}
	f.atWork = append(f.atWork, run)
}

// setAnswered records that what a request has was answered.
func (f *Filter) setAnswered(r Request, at time.Time) {
	if f.answered == nil {
		f.answered = make([]answeredSlot, answeredSlots)
	}
	for _, c := range r.causes() {
		s := f.slot(c)
		if s.cause != c {
			*s = answeredSlot{cause: c}
		}
		s.at, s.before = at, s.at
	}
}

func (f *Filter) slot(c Cause) *answeredSlot {
	if f.answered == nil {
		return new(answeredSlot)
	}
	return &f.answered[(xxhash.Sum64String(c.Pool)^((c.ID+uint64(c.Kind))*0x9E3779B97F4A7C15))%answeredSlots]
}

// Report adds what this VM knows to a report for the control VMs.
func (f *Filter) Report(r *dhpb.EntryReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	f.atWork = slices.DeleteFunc(f.atWork, func(b observedRun) bool { return now.Sub(b.at) > reportedFor })
	f.verdicts.Forget(now)
	f.active.Store(len(f.verdicts.byCause) > 0)
	r.Verdicts = f.verdicts.Messages(now)
	for fingerprint := range f.onTrial {
		r.Trials = append(r.Trials, fingerprint)
	}
	asked := make(map[Cause]bool)
	for _, b := range f.atWork {
		r.Requests = append(r.Requests, &dhpb.SuspectRequest{
			Pool: b.Pool, Backend: b.Backend, Incarnation: b.Incarnation, Request: xxhash.Sum64String(b.ID),
			Age: durationpb.New(now.Sub(b.at)), Parts: b.Parts, Fingerprint: b.Fingerprint,
			Ran: durationpb.New(b.at.Sub(b.Began)), Ended: b.Outcome != Broken,
		})
		for _, c := range b.causes() {
			asked[c] = true
		}
	}
	for c := range f.suspects {
		asked[c] = true
	}
	for c := range asked {
		if s := f.slot(c); s.cause == c && !s.at.IsZero() && len(r.Answered) < maxAnswered {
			r.Answered = append(r.Answered, &dhpb.AnsweredCause{Cause: c.message(), Age: durationpb.New(now.Sub(s.at))})
		}
	}
}

// Update applies what a control VM knows; nil means that it knows of nothing.
func (f *Filter) Update(m *dhpb.QuarantineState) {
	if m == nil && !f.watched.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	suspects := make(map[Cause]suspect)
	for _, s := range m.GetSuspects() {
		c := suspectOf(s)
		crashed := now.Add(-max(s.GetSinceCrash().AsDuration(), 0))
		if old := f.suspects[c].crashed; old.After(crashed) {
			crashed = old
		}
		if len(suspects) < maxSuspects {
			suspects[c] = suspect{crashed: crashed, crashes: int(min(s.GetCrashes(), maxRequests)), onTrial: s.GetOnTrial()}
		}
	}
	f.suspects = suspects
	f.watched.Store(len(f.suspects) > 0)
	for _, b := range m.GetEnded() {
		f.recordBackendEnd(backendKey{b.GetId(), b.GetIncarnation()}, now.Add(-max(b.GetAge().AsDuration(), 0)))
	}
	for _, message := range m.GetVerdicts() {
		v := verdictOf(message, now)
		if f.verdicts.Merge(v, now) {
			logVerdict(f.Log, f.Metrics, v, now)
		}
	}
	f.active.Store(len(f.verdicts.byCause) > 0)
}

// logVerdict logs that a verdict has come into force or has been lifted.
func logVerdict(log *slog.Logger, metrics *dhmetric.Metrics, v Verdict, now time.Time) {
	text, label := "cause of crashes quarantined", "quarantined"
	if !v.InForce(now) {
		text, label = "quarantine lifted", "lifted"
	}
	metrics.Count("quarantine", label)
	log.Warn(text, slog.String("kind", v.Cause.Kind.String()), slog.String("pool", v.Cause.Pool), slog.String("id", FormatID(v.Cause.ID)),
		slog.Int("crashes", v.Crashes), slog.Int("requests", v.Requests), slog.Any("backends", v.Backends),
		slog.String("decided-by", v.DecidedBy), slog.Time("decided-at", v.DecidedAt), slog.Duration("remaining", v.Expires.Sub(now)))
}

// FormatID returns the id of a part or a request as it appears in log lines and on the
// platform.
func FormatID(id uint64) string { return fmt.Sprintf("%x", id) }
