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

// History records what callers, backend servers, operators and the ledger observed.
type History struct {
	Replies    []*Reply
	Asked      []*Reply
	Executions []*Execution
	Edits      []*Edit
	Bills      []*dhpb.Bill

	timers          dhtimer.Service
	start           time.Time
	mu              sync.Mutex
	lines           []line
	tables          map[uint64]*dhtable.Tables
	states          []vmState
	outages         []outage
	partitions      []partition
	revisionSamples []revisionSample
	engines         map[string]*Backend
	voters          []string
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
	// Arrived is zero if the request did not reach the backend server.
	Arrived time.Time
	// Length is the offset of the end of the last chunk that the backend server
	// sent. Whole is set once it sent a chunk marked as the last one.
	Length int64
	Whole  bool
	// Refused is set if the backend server reported that it did not run the request.
	Refused bool
	Code    dhcode.Code
}

// Edit is an operator's edit of the tables and the response to it.
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

// outage is the beginning of a time in which a backend server is unavailable or,
// if reason is empty, its end.
type outage struct {
	engine, reason string
	at             time.Time
}

type partition struct {
	at    time.Time
	sides map[string]int
}

// revisionSample is the newest revision that a VM reported to operators at a time.
type revisionSample struct {
	vm       string
	at       time.Time
	revision uint64
}

func newHistory(timers dhtimer.Service) *History {
	return &History{
		timers: timers, start: timers.Now(), tables: make(map[uint64]*dhtable.Tables),
		engines: make(map[string]*Backend),
	}
}

// addLine appends a line to the golden text.
func (h *History) addLine(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, line{h.timers.Now(), fmt.Sprintf(format, args...)})
}

// Lines returns the sorted lines of the golden text, without those that contain
// one of the strings in skip.
func (h *History) Lines(skip []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, l := range h.lines {
		if slices.ContainsFunc(skip, func(s string) bool { return strings.Contains(l.text, s) }) {
			continue
		}
		out = append(out, fmt.Sprintf("%7.2f %s", l.at.Sub(h.start).Seconds(), l.text))
	}
	slices.Sort(out)
	return out
}

func (h *History) recordVM(name string, event vmEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states = append(h.states, vmState{name, h.timers.Now(), event})
}

func (h *History) recordPartition(sides [][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := partition{at: h.timers.Now(), sides: make(map[string]int)}
	for i, side := range sides {
		for _, name := range side {
			p.sides[name] = i + 1
		}
	}
	h.partitions = append(h.partitions, p)
}

func (h *History) recordOutage(engine, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages = append(h.outages, outage{engine, reason, h.timers.Now()})
}

func (h *History) recordRevision(vm string, revision uint64, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisionSamples = append(h.revisionSamples, revisionSample{vm, h.timers.Now(), revision})
	if revision == 0 || h.tables[revision] != nil {
		return
	}
	// No operator received the response to the edit of this revision.
	if t, err := dhtable.Parse("revision", text); err == nil {
		h.tables[revision] = t.WithRevision(revision)
	}
}

func (h *History) recordCall(r *Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Asked = append(h.Asked, r)
}

// Open returns the number of calls that have not ended.
func (h *History) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.Asked) - len(h.Replies)
}

func (h *History) recordReply(r *Reply) {
	h.mu.Lock()
	h.Replies = append(h.Replies, r)
	h.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "caller %s@%s", r.ID, r.VM)
	if r.Resumed {
		fmt.Fprintf(&b, " resumed-at=%d", r.From)
	}
	if r.Complete {
		fmt.Fprintf(&b, " complete %s bytes=%d chunks=%d text=%q", r.Version, len(r.Text), r.Chunks, abbreviate(r.Text))
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
	h.addLine("%s", b.String())
}

// abbreviate shortens answers in the golden text. Check compares them in full.
func abbreviate(s string) string {
	if len(s) <= 24 {
		return s
	}
	return s[:12] + "..." + s[len(s)-6:]
}

func (h *History) recordDispatch(vm string, b *Backend, req *dhpb.GenerateRequest) *Execution {
	x := &Execution{
		VM: vm, Engine: b.ID, Zone: b.Zone, Pool: b.Pool, RequestID: req.GetRequestId(), Attempt: req.GetAttempt(),
		Version: dhtable.Version{Model: req.GetModel(), Name: req.GetVersion()}, Prompt: req.GetPrompt(),
		MaxTokens: int(req.GetMaxTokens()), Offset: req.GetOffset(), Kind: b.Kind, Sent: h.timers.Now(),
	}
	h.mu.Lock()
	h.Executions = append(h.Executions, x)
	h.mu.Unlock()
	return x
}

func (h *History) recordArrival(x *Execution, b *Backend) {
	h.mu.Lock()
	x.Arrived = h.timers.Now()
	h.mu.Unlock()
	h.addLine("engine %s runs %s attempt=%d %s offset=%d for %s", b.ID, x.RequestID, x.Attempt, x.Version, x.Offset, x.VM)
}

func (h *History) recordChunk(x *Execution, c *dhpb.Chunk) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.Length = c.GetOffset() + int64(len(c.GetText()))
	x.Whole = x.Whole || c.GetLast()
}

func (h *History) recordEnd(x *Execution, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.Code = dhcode.Of(err)
	x.Refused = err != nil && dhcode.RanOf(err) == dhcode.NotRun
}

func (h *History) recordEdit(e *Edit) {
	h.mu.Lock()
	h.Edits = append(h.Edits, e)
	if e.Code == dhcode.OK {
		if t, err := dhtable.Parse("edit", []byte(e.Text)); err == nil && h.tables[e.Revision] == nil {
			h.tables[e.Revision] = t.WithRevision(e.Revision)
		}
	}
	h.mu.Unlock()
	h.addLine("operator %s@%s base=%d %s revision=%d", e.ID, e.VM, e.Base, e.Code, e.Revision)
}

func (h *History) recordBills(bills []*dhpb.Bill, complete bool) {
	h.mu.Lock()
	h.Bills = bills
	h.mu.Unlock()
	bills = slices.Clone(bills)
	slices.SortFunc(bills, func(a, b *dhpb.Bill) int { return strings.Compare(a.GetRequestId(), b.GetRequestId()) })
	for _, b := range bills {
		h.addLine("bill %s %s %s %s/%s tokens=%d cost=%g revision=%d", b.GetRequestId(), b.GetAccount(), b.GetRoute(),
			b.GetModel(), b.GetVersion(), b.GetTokens(), b.GetCost(), b.GetRevision())
	}
	h.addLine("bills complete=%t", complete)
}

// logger returns a logger whose lines are added to the golden text until down is
// closed.
func (h *History) logger(vm string, down <-chan struct{}) *slog.Logger {
	return slog.New(slog.NewTextHandler(&logWriter{h, vm, down}, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey || a.Key == slog.LevelKey || a.Key == "took" {
				return slog.Attr{}
			}
			return a
		},
	}))
}

type logWriter struct {
	history *History
	vm      string
	down    <-chan struct{}
}

// Write implements io.Writer.
func (l *logWriter) Write(p []byte) (int, error) {
	select {
	case <-l.down:
	default:
		l.history.addLine("log %s %s", l.vm, strings.TrimSpace(string(p)))
	}
	return len(p), nil
}
