package dhquarantine

import (
	"fmt"
	"log/slog"
	"slices"
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
	// reportedFor is how long an entry VM reports a broken request: several watches, in
	// case some fail.
	reportedFor = 3 * time.Second
	// maxReported bounds the broken requests in a report, maxAnswered the answered
	// parts.
	maxReported = 64
	maxAnswered = 512
	// answeredSlots is the size of the table of answered parts. A part that shares its
	// slot with another may lose its entry, so that it is cleared by its next answer
	// only.
	answeredSlots = 8192
)

// Broken describes a request whose connection broke before its second event.
type Broken struct {
	Pool, Backend string
	Incarnation   uint64
	// Request is the id of the request.
	Request string
	// Parts are the parts of its prompt without the last one.
	Parts []uint64
}

// Filter refuses the requests with a quarantined part on an entry VM, and records what
// the control VMs need to find such parts. Its exported fields are set before use. It
// is safe for use by several goroutines.
type Filter struct {
	Timers  dhtimer.Service
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	// active is set while there is a verdict, watched while parts are suspected, so
	// that requests take no lock otherwise.
	active, watched atomic.Bool

	mu       sync.Mutex
	verdicts Verdicts
	suspects map[Part]bool
	broken   []brokenRequest
	answered []answeredSlot
}

type brokenRequest struct {
	Broken
	at time.Time
}

type answeredSlot struct {
	part Part
	at   time.Time
}

// Find returns the verdict that keeps a request with parts from the backend servers
// of a pool. The verdict holds for a whole term from now on.
func (f *Filter) Find(pool string, parts []uint64) (Verdict, bool) {
	if !f.active.Load() {
		return Verdict{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	for _, id := range parts {
		v, ok := f.verdicts.Get(Part{pool, id})
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

// Suspected reports whether a part of a request is suspected.
func (f *Filter) Suspected(pool string, parts []uint64) bool {
	if !f.watched.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(parts, func(id uint64) bool { return f.suspects[Part{pool, id}] })
}

// RecordBroken records a request whose connection broke before its second event.
func (f *Filter) RecordBroken(b Broken) {
	if len(b.Parts) == 0 {
		return
	}
	b.Parts = slices.Clone(b.Parts[:min(len(b.Parts), maxParts)])
	f.Metrics.Count("quarantine", "broken-request")
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.broken) >= maxReported {
		f.broken = slices.Delete(f.broken, 0, 1)
	}
	f.broken = append(f.broken, brokenRequest{b, f.Timers.Now()})
}

// RecordAnswer records that a request with parts went on after its first event, or
// was answered.
func (f *Filter) RecordAnswer(pool string, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered == nil {
		f.answered = make([]answeredSlot, answeredSlots)
	}
	now := f.Timers.Now()
	for _, id := range parts[:min(len(parts), maxParts)] {
		p := Part{pool, id}
		*f.slot(p) = answeredSlot{p, now}
	}
}

func (f *Filter) slot(p Part) *answeredSlot {
	return &f.answered[(xxhash.Sum64String(p.Pool)^(p.ID*0x9E3779B97F4A7C15))%answeredSlots]
}

// Report adds what this VM knows to a report for the control VMs.
func (f *Filter) Report(r *dhpb.EntryReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	f.broken = slices.DeleteFunc(f.broken, func(b brokenRequest) bool { return now.Sub(b.at) > reportedFor })
	f.verdicts.Forget(now)
	f.active.Store(len(f.verdicts.byPart) > 0)
	r.Verdicts = f.verdicts.Messages(now)
	asked := make(map[Part]bool)
	for _, b := range f.broken {
		r.Requests = append(r.Requests, &dhpb.SuspectRequest{
			Pool: b.Pool, Backend: b.Backend, Incarnation: b.Incarnation, Request: xxhash.Sum64String(b.Request),
			Age: durationpb.New(now.Sub(b.at)), Parts: b.Parts,
		})
		for _, id := range b.Parts {
			asked[Part{b.Pool, id}] = true
		}
	}
	for p := range f.suspects {
		asked[p] = true
	}
	if f.answered == nil {
		return
	}
	for p := range asked {
		if s := f.slot(p); s.part == p && len(r.Answered) < maxAnswered {
			r.Answered = append(r.Answered, &dhpb.AnsweredPart{Part: p.message(), Age: durationpb.New(now.Sub(s.at))})
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
	f.suspects = make(map[Part]bool)
	for _, s := range m.GetSuspects() {
		if len(f.suspects) < maxSuspects {
			f.suspects[partOf(s)] = true
		}
	}
	f.watched.Store(len(f.suspects) > 0)
	for _, message := range m.GetVerdicts() {
		v := verdictOf(message, now)
		if f.verdicts.Merge(v, now) {
			logVerdict(f.Log, f.Metrics, v, now)
		}
	}
	f.active.Store(len(f.verdicts.byPart) > 0)
}

// logVerdict logs that a verdict has come into force or has been lifted.
func logVerdict(log *slog.Logger, metrics *dhmetric.Metrics, v Verdict, now time.Time) {
	text, label := "prompt part quarantined", "quarantined"
	if !v.InForce(now) {
		text, label = "quarantine of prompt part lifted", "lifted"
	}
	metrics.Count("quarantine", label)
	log.Warn(text, slog.String("pool", v.Part.Pool), slog.String("part", FormatID(v.Part.ID)), slog.Int("crashes", v.Crashes),
		slog.Int("requests", v.Requests), slog.Any("backends", v.Backends), slog.String("decided-by", v.DecidedBy),
		slog.Time("decided-at", v.DecidedAt), slog.Duration("remaining", v.Expires.Sub(now)))
}

// FormatID returns the id of a part as it appears in log lines and on the platform.
func FormatID(id uint64) string { return fmt.Sprintf("%x", id) }
