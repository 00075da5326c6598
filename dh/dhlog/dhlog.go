// Package dhlog writes structured log lines without blocking the caller: lines
// go through a bounded buffer, and each kind of line is rate-limited.
//
// # Usage
//
//	writer := &dhlog.Writer{Out: os.Stdout, Timers: timers}
//	group.Go(writer.Run)
//	log := slog.New(dhlog.New(slog.NewTextHandler(writer, nil), timers))
//
// The kind of a line is its message. Lines of level Warn and above, which report
// failed requests, have a separate limit, so that lines of successful requests
// cannot use it up. Suppressed lines are counted, and a summary line reports the
// count of each kind.
package dhlog

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

const (
	// defaultBufferBytes holds about a thousand lines.
	defaultBufferBytes = 256 << 10
	// flushPeriod is the maximum time that a line stays in the buffer.
	flushPeriod = 200 * time.Millisecond
	// defaultLines and defaultWarnings are limits in lines per second for each
	// kind. They cover every request of a small entry VM and keep its log below
	// 100 KB per second under overload.
	defaultLines    = 100
	defaultWarnings = 200
	// maxKinds is the maximum number of kinds counted in one second. Lines of
	// further kinds are discarded without being counted.
	maxKinds = 256
)

// Writer is a buffered io.Writer that drops lines when its buffer is full.
// Exported fields must be set before use.
type Writer struct {
	Out    io.Writer
	Timers dhtimer.Service
	// BufferBytes is the maximum size of the unwritten data; 0 means 256 KiB.
	BufferBytes int

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
}

// Write implements io.Writer. It never blocks on Out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > cmp.Or(w.BufferBytes, defaultBufferBytes) {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run flushes the buffer periodically until ctx is done, and then a last time.
func (w *Writer) Run(ctx context.Context) error {
	for dhtimer.Sleep(ctx, w.Timers, flushPeriod) == nil {
		w.Flush()
	}
	w.Flush()
	return nil
}

// chunkBytes is the maximum size of one write to Out, except for a longer line.
// Pipes accept writes up to this size atomically, and some log collectors
// truncate longer writes.
const chunkBytes = 4 << 10

// chunkLen returns the length of the whole lines at the start of data that fit
// into one write. A line longer than chunkBytes is written by itself.
func chunkLen(data []byte) int {
	if len(data) <= chunkBytes {
		return len(data)
	}
	if n := bytes.LastIndexByte(data[:chunkBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1
	}
	return len(data)
}

// Flush writes the buffered lines to Out. Calls must not overlap.
func (w *Writer) Flush() {
	w.mu.Lock()
	data := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	for rest := data; len(rest) > 0; {
		n := chunkLen(rest)
		if _, err := w.Out.Write(rest[:n]); err != nil {
			break // the log itself failed, so the error cannot be logged
		}
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = data[:0]
	w.mu.Unlock()
}

// Handler is a slog.Handler that limits the lines per second of each kind.
// Exported fields must be set before use.
type Handler struct {
	Next   slog.Handler
	Timers dhtimer.Service
	// Lines and Warnings are the limits in lines per second for each kind: Lines
	// below level Warn, Warnings from Warn on. 0 means 100 and 200 respectively.
	Lines, Warnings int

	shared *budgets
}

// budgets holds the line counts of the current one-second window. Handlers that
// are derived by WithAttrs and WithGroup share it.
type budgets struct {
	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]*lineCounts
}

// lineCounts counts the written and the suppressed lines of one kind.
type lineCounts struct{ written, suppressed int }

// New returns a Handler with the default limits.
func New(next slog.Handler, timers dhtimer.Service) *Handler {
	return &Handler{Next: next, Timers: timers, shared: &budgets{counts: make(map[string]*lineCounts)}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.Next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	limit := cmp.Or(h.Lines, defaultLines)
	name := r.Message
	if r.Level >= slog.LevelWarn {
		limit = cmp.Or(h.Warnings, defaultWarnings)
		name += "/warn"
	}
	ok, suppressed := h.shared.take(h.Timers.Now(), name, limit)
	for kind, lines := range suppressed {
		summary := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		summary.AddAttrs(slog.String("kind", kind), slog.Int("lines", lines))
		if err := h.Next.Handle(ctx, summary); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.Next.Handle(ctx, r)
}

// take reports whether a line of the kind name may be written. At the start of a
// new one-second window it also returns the number of suppressed lines of each
// kind in the previous window.
func (b *budgets) take(now time.Time, name string, limit int) (ok bool, suppressed map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.windowStart) >= time.Second {
		for n, k := range b.counts {
			if k.suppressed > 0 {
				if suppressed == nil {
					suppressed = make(map[string]int)
				}
				suppressed[n] = k.suppressed
			}
		}
		clear(b.counts)
		b.windowStart = now
	}
	k := b.counts[name]
	if k == nil {
		if len(b.counts) >= maxKinds {
			return false, suppressed
		}
		k = &lineCounts{}
		b.counts[name] = k
	}
	if k.written >= limit {
		k.suppressed++
		return false, suppressed
	}
	k.written++
	return true, suppressed
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.Next = h.Next.WithAttrs(attrs)
	return &c
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	c := *h
	c.Next = h.Next.WithGroup(name)
	return &c
}
