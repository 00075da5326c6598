package dhrouter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhlimit"
)

const (
	// slowWriteTime is how long a write to a caller blocks until its answer is read ahead.
	// It is well below the seconds after which backend servers cut off an answer that is
	// not read, and between one and two of them pass until reading ahead begins.
	slowWriteTime = 500 * time.Millisecond
	// maxReadAheadBytes bounds what is read ahead of a slow caller: eight seconds of a
	// stream of 100 events of 300 bytes per second.
	maxReadAheadBytes = 256 << 10
	// readAheadStep is how much memory a read-ahead takes at a time.
	readAheadStep = 16 << 10
)

// readAhead reads an answer, ahead of its caller while writes to that block, so that the
// backend server is not left unread. Up to maxReadAheadBytes are held per answer, within the
// memory for all of them; beyond, the backend server has to wait. Without a slow caller it
// only passes reads on. Read and write are called by one goroutine.
type readAhead struct {
	from     io.Reader
	forward  *forward
	watch    *watchdog
	memory   *dhlimit.Memory
	stopTime func()

	// writingSince is when the present write to the caller began, in Unix nanoseconds, or 0.
	writingSince atomic.Int64

	mu      sync.Mutex
	changed sync.Cond
	// pumping is set once a goroutine reads. data holds what it has read, within reserved
	// bytes of memory, and err how its reads ended.
	pumping        bool
	data           []byte
	reserved       int64
	err            error
	full, released bool
}

// readAhead returns a reader of an answer. release must be called when it is not used any
// more, before the body is closed.
func (f *forward) readAhead(from io.Reader, watch *watchdog) *readAhead {
	r := &readAhead{from: from, forward: f, watch: watch, memory: &f.router.AnswerMemory}
	r.changed.L = &r.mu
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTime = f.router.Timers.After(slowWriteTime, r.check)
	return r
}

// write calls a function that writes to the caller.
func (r *readAhead) write(now time.Time, f func() error) error {
	r.writingSince.Store(now.UnixNano())
	err := f()
	r.writingSince.Store(0)
	return err
}

// check begins to read ahead if a write blocks. A silence meanwhile is not that of the
// backend server.
func (r *readAhead) check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	r.stopTime = r.forward.router.Timers.After(slowWriteTime, r.check)
	since := r.writingSince.Load()
	blocked := time.Duration(now.UnixNano() - since)
	if since == 0 || blocked < slowWriteTime {
		return
	}
	r.watch.progress(now)
	if !r.pumping && r.grow() {
		r.pumping = true
		r.forward.router.Metrics.Count("read-ahead", "begun")
		r.forward.router.Log.Info("reading ahead of a slow caller", slog.String("request", r.forward.message.ID),
			slog.String("backend", r.forward.backend.ID), slog.Duration("blocked", blocked))
		r.forward.router.Group.Go(func(context.Context) error { r.pump(); return nil })
	}
}

// grow reserves another step of memory, and reports whether one was left.
func (r *readAhead) grow() bool {
	if r.reserved >= maxReadAheadBytes || !r.memory.Reserve(readAheadStep) {
		return false
	}
	r.reserved += readAheadStep
	return true
}

// pump reads until the end of the answer.
func (r *readAhead) pump() {
	chunk := make([]byte, readAheadStep)
	for {
		room, ok := r.awaitRoom()
		if !ok {
			return
		}
		n, err := r.from.Read(chunk[:min(room, len(chunk))])
		if !r.add(chunk[:n], err) {
			return
		}
	}
}

// awaitRoom waits until more can be held, and returns how much. ok is false after release.
func (r *readAhead) awaitRoom() (room int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.released && len(r.data) >= int(r.reserved) && !r.grow() {
		if !r.full {
			r.full = true
			r.forward.router.Metrics.Count("read-ahead", "full")
		}
		r.changed.Wait()
	}
	return int(r.reserved) - len(r.data), !r.released
}

// add appends what was read, and reports whether more is to be read.
func (r *readAhead) add(data []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return false
	}
	if len(r.data)+len(data) > cap(r.data) {
		r.data = append(make([]byte, 0, r.reserved), r.data...)
	}
	r.data, r.err = append(r.data, data...), err
	r.changed.Broadcast()
	return err == nil
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.pumping {
		// check begins to pump only while writingSince is set, so not during this read.
		r.mu.Unlock()
		return r.from.Read(p)
	}
	defer r.mu.Unlock()
	for len(r.data) == 0 && r.err == nil && !r.released {
		r.changed.Wait()
	}
	if r.released {
		return 0, errors.New("the answer is not read any more")
	}
	if len(r.data) == 0 {
		return 0, r.err
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	if len(r.data) == 0 && r.reserved > readAheadStep {
		r.data = nil
		r.memory.Release(r.reserved - readAheadStep)
		r.reserved = readAheadStep
	}
	r.changed.Broadcast()
	return n, nil
}

// release ends reading ahead and returns its memory. A read in progress ends when the body
// is closed.
func (r *readAhead) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.stopTime()
	r.memory.Release(r.reserved)
	r.reserved, r.data = 0, nil
	r.changed.Broadcast()
}
