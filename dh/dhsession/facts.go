package dhsession

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Facts are what callers, backend servers, operators and the ledger saw.
type Facts struct {
	Replies    []*Reply
	Asked      []*Reply
	Executions []*Execution
	Edits      []*Edit
	Bills      []*dhpb.Bill

	timers     dhtimer.Service
	start      time.Time
	mu         sync.Mutex
	lines      []line
	tables     map[uint64]*dhtable.Tables
	states     []vmState
	silences   []silence
	partitions []partition
	seen       []seen
	engines    map[string]*Backend
	voters     []string
}

// Execution is a request that a VM sent to a backend server.
type Execution struct {
	VM, Engine, Zone, Pool string
	RequestID              string
	Attempt                int32
	Version                dhtable.Version
	Prompt                 string
	MaxTokens              int
	Offset                 int64
	Kind                   dhtable.PoolKind
	Sent                   time.Time
	// Arrived is zero when the request did not reach the backend server.
	Arrived time.Time
	// Length is the end of the answer that the backend server sent last;
	// Whole is set when it was marked as the last chunk.
	Length int64
	Whole  bool
	// Refused is set when the backend server stated that it did not run the request.
	Refused bool
	Code    dhcode.Code
}

// Edit is an operator's edit and its answer.
type Edit struct {
	ID, VM   string
	Base     uint64
	Text     string
	Sent, At time.Time
	Revision uint64
	Code     dhcode.Code
}

type line struct {
	at   time.Time
	text string
}

type vmEvent int

const (
	vmStarted vmEvent = iota
	vmCrashed
	vmStopping
	vmEnded
)

type vmState struct {
	vm    string
	at    time.Time
	event vmEvent
}

// silence begins when why is set and ends when it is empty.
type silence struct {
	engine, why string
	at          time.Time
}

type partition struct {
	at    time.Time
	sides map[string]int
}

// seen is the newest revision that a VM shows to operators.
type seen struct {
	vm       string
	at       time.Time
	revision uint64
}

func newFacts(timers dhtimer.Service) *Facts {
	return &Facts{
		timers: timers, start: timers.Now(), tables: make(map[uint64]*dhtable.Tables),
		engines: make(map[string]*Backend),
	}
}

// note adds a line to the golden text.
func (f *Facts) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, line{f.timers.Now(), fmt.Sprintf(format, args...)})
}

// Lines returns the golden text without the lines that contain one of skip.
// Lines of one time are sorted.
func (f *Facts) Lines(skip []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, l := range f.lines {
		if slices.ContainsFunc(skip, func(s string) bool { return strings.Contains(l.text, s) }) {
			continue
		}
		out = append(out, fmt.Sprintf("%7.2f %s", l.at.Sub(f.start).Seconds(), l.text))
	}
	slices.Sort(out)
	return out
}

func (f *Facts) vm(name string, event vmEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states = append(f.states, vmState{name, f.timers.Now(), event})
}

func (f *Facts) partition(sides [][]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := partition{at: f.timers.Now(), sides: make(map[string]int)}
	for i, side := range sides {
		for _, name := range side {
			p.sides[name] = i + 1
		}
	}
	f.partitions = append(f.partitions, p)
}

func (f *Facts) silent(engine, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences = append(f.silences, silence{engine, why, f.timers.Now()})
}

func (f *Facts) revision(vm string, revision uint64, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, seen{vm, f.timers.Now(), revision})
	if revision == 0 || f.tables[revision] != nil {
		return
	}
	// The operator did not get the answer to this edit.
	if t, err := dhtable.Parse("revision", text); err == nil {
		f.tables[revision] = t.WithRevision(revision)
	}
}

func (f *Facts) asked(r *Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Asked = append(f.Asked, r)
}

// Open returns the number of calls that have not ended.
func (f *Facts) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.Asked) - len(f.Replies)
}

func (f *Facts) replied(r *Reply) {
	f.mu.Lock()
	f.Replies = append(f.Replies, r)
	f.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "caller %s@%s", r.ID, r.VM)
	if r.Resumed {
		fmt.Fprintf(&b, " resumed-at=%d", r.From)
	}
	if r.Complete {
		fmt.Fprintf(&b, " complete %s bytes=%d chunks=%d text=%q", r.Version, len(r.Text), r.Chunks, abridge(r.Text))
	} else {
		fmt.Fprintf(&b, " %s ran=%s", r.Code, r.Ran)
		if r.Lost {
			b.WriteString(" connection-lost")
		}
		if r.RetryAfter > 0 {
			fmt.Fprintf(&b, " retry-after=%s", r.RetryAfter.Round(time.Millisecond))
		}
		if r.Text != "" {
			fmt.Fprintf(&b, " bytes=%d chunks=%d", len(r.Text), r.Chunks)
		}
	}
	if r.Gap {
		b.WriteString(" gap")
	}
	if r.Moved {
		b.WriteString(" session-moved")
	}
	if r.Replayed {
		b.WriteString(" replayed")
	}
	f.note("%s", b.String())
}

// abridge keeps the golden text short; lengths and texts are checked in full.
func abridge(s string) string {
	if len(s) <= 24 {
		return s
	}
	return s[:12] + "..." + s[len(s)-6:]
}

func (f *Facts) sent(vm string, b *Backend, req *dhpb.GenerateRequest) *Execution {
	x := &Execution{
		VM: vm, Engine: b.ID, Zone: b.Zone, Pool: b.Pool, RequestID: req.GetRequestId(), Attempt: req.GetAttempt(),
		Version: dhtable.Version{Model: req.GetModel(), Name: req.GetVersion()}, Prompt: req.GetPrompt(),
		MaxTokens: int(req.GetMaxTokens()), Offset: req.GetOffset(), Kind: b.Kind, Sent: f.timers.Now(),
	}
	f.mu.Lock()
	f.Executions = append(f.Executions, x)
	f.mu.Unlock()
	return x
}

func (f *Facts) arrived(x *Execution, b *Backend) {
	f.mu.Lock()
	x.Arrived = f.timers.Now()
	f.mu.Unlock()
	f.note("engine %s runs %s attempt=%d %s offset=%d for %s", b.ID, x.RequestID, x.Attempt, x.Version, x.Offset, x.VM)
}

func (f *Facts) emitted(x *Execution, c *dhpb.Chunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.Length = c.GetOffset() + int64(len(c.GetText()))
	x.Whole = x.Whole || c.GetLast()
}

func (f *Facts) finished(x *Execution, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.Code = dhcode.Of(err)
	x.Refused = err != nil && dhcode.RanOf(err) == dhcode.NotRun
}

func (f *Facts) edited(e *Edit) {
	f.mu.Lock()
	f.Edits = append(f.Edits, e)
	if e.Code == dhcode.OK {
		if t, err := dhtable.Parse("edit", []byte(e.Text)); err == nil && f.tables[e.Revision] == nil {
			f.tables[e.Revision] = t.WithRevision(e.Revision)
		}
	}
	f.mu.Unlock()
	f.note("operator %s@%s base=%d %s revision=%d", e.ID, e.VM, e.Base, e.Code, e.Revision)
}

func (f *Facts) billed(bills []*dhpb.Bill, complete bool) {
	f.mu.Lock()
	f.Bills = bills
	f.mu.Unlock()
	bills = slices.Clone(bills)
	slices.SortFunc(bills, func(a, b *dhpb.Bill) int { return strings.Compare(a.GetRequestId(), b.GetRequestId()) })
	for _, b := range bills {
		f.note("bill %s %s %s %s/%s tokens=%d cost=%g revision=%d", b.GetRequestId(), b.GetAccount(), b.GetRoute(),
			b.GetModel(), b.GetVersion(), b.GetTokens(), b.GetCost(), b.GetRevision())
	}
	f.note("bills complete=%t", complete)
}

// logger returns a logger whose lines become part of the golden text until down is closed.
func (f *Facts) logger(vm string, down <-chan struct{}) *slog.Logger {
	return slog.New(slog.NewTextHandler(&logWriter{f, vm, down}, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey || a.Key == slog.LevelKey || a.Key == "took" {
				return slog.Attr{}
			}
			return a
		},
	}))
}

type logWriter struct {
	facts *Facts
	vm    string
	down  <-chan struct{}
}

// Write implements io.Writer.
func (l *logWriter) Write(p []byte) (int, error) {
	select {
	case <-l.down:
	default:
		l.facts.note("log %s %s", l.vm, strings.TrimSpace(string(p)))
	}
	return len(p), nil
}
