// Package dhlog writes structured log lines without ever delaying the program:
// lines go through a bounded buffer, and each kind of line has a budget.
//
// # Usage
//
//	writer := &dhlog.Writer{Out: os.Stdout, Timers: timers}
//	group.Go(writer.Run)
//	log := slog.New(dhlog.New(slog.NewTextHandler(writer, nil), timers))
//
// A kind is the message of a line. Lines of level Warn and above, which failed
// requests have, use a budget of their own, so that successful requests never
// take it. What was left out is counted and said in a line of its own.
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
	// flushPeriod bounds how old a buffered line gets.
	flushPeriod = 200 * time.Millisecond
	// defaultLines and defaultWarnings are lines a second of one kind: enough
	// for every request of a small entry VM, and for its log to stay under
	// 100 KB a second when it is flooded.
	defaultLines    = 100
	defaultWarnings = 200
	// maxKinds bounds the kinds that are counted apart.
	maxKinds = 256
)

// Writer is a buffered io.Writer that drops what does not fit. Exported fields
// are set before use.
type Writer struct {
	Out    io.Writer
	Timers dhtimer.Service
	// BufferBytes bounds what waits to be written; 0 means 256 KiB.
	BufferBytes int

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
}

// Write implements io.Writer. It never waits for Out.
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

// Dropped returns how many lines did not fit into the buffer.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes buffered lines until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	for dhtimer.Sleep(ctx, w.Timers, flushPeriod) == nil {
		w.Flush()
	}
	w.Flush()
	return nil
}

// chunkBytes is the size of one write. Pipes take up to so much at once, and
// some readers of logs cut off longer ones.
const chunkBytes = 4 << 10

// chunkLen returns the length of the lines at the start of data that fit into
// one write; a longer line is written alone.
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

// Flush writes what is buffered. Only one goroutine may call it at a time.
func (w *Writer) Flush() {
	w.mu.Lock()
	data := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	for rest := data; len(rest) > 0; {
		n := chunkLen(rest)
		if _, err := w.Out.Write(rest[:n]); err != nil {
			break // there is nowhere to report it
		}
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = data[:0]
	w.mu.Unlock()
}

// Handler is a slog.Handler that bounds the lines of each kind. Exported
// fields are set before use.
type Handler struct {
	Next   slog.Handler
	Timers dhtimer.Service
	// Lines and Warnings are the lines a second of one kind below and from
	// level Warn on; 0 means 100 and 200.
	Lines, Warnings int

	shared *budgets
}

type budgets struct {
	mu     sync.Mutex
	second time.Time
	kinds  map[string]*kind
}

type kind struct{ lines, left int }

// New returns a Handler with default budgets.
func New(next slog.Handler, timers dhtimer.Service) *Handler {
	return &Handler{Next: next, Timers: timers, shared: &budgets{kinds: make(map[string]*kind)}}
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
	ok, left := h.shared.take(h.Timers.Now(), name, limit)
	for kind, lines := range left {
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

// take reports whether a line may be written. In a new second it also returns
// how many lines of each kind were left out in the last one.
func (b *budgets) take(now time.Time, name string, limit int) (ok bool, left map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) >= time.Second {
		for n, k := range b.kinds {
			if k.left > 0 {
				if left == nil {
					left = make(map[string]int)
				}
				left[n] = k.left
			}
		}
		clear(b.kinds)
		b.second = now
	}
	k := b.kinds[name]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			return false, left
		}
		k = &kind{}
		b.kinds[name] = k
	}
	if k.lines >= limit {
		k.left++
		return false, left
	}
	k.lines++
	return true, left
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
