package dhlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHoldOff bounds a pause that a backend server asks for. It is far above
	// the seconds that one needs to recover, and keeps a faulty answer from
	// taking a backend server out for good.
	maxHoldOff = time.Hour
	// maxReturnRamp bounds the time in which requests come back after a pause.
	// Entry VMs that were turned away together would otherwise return together.
	maxReturnRamp = time.Second
	// maxHoldOffs bounds the table. When it is full, pauses that are over are
	// forgotten, and leaves after leaveKept: servers are gone within minutes.
	maxHoldOffs = 8192
	leaveKept   = 10 * time.Minute
)

// HoldOff is what one instance of a backend server has asked for in its answers.
// It is immutable.
type HoldOff struct {
	incarnation uint64
	leaving     bool
	// from is when the newest request to be left alone came.
	from, until time.Time
}

// WithLeaving returns a hold-off that lasts until the instance is gone.
func (h HoldOff) WithLeaving(now time.Time) HoldOff {
	h.leaving, h.from = true, now
	return h
}

// WithPause returns a hold-off that lasts at least from now for d. An earlier
// pause that ends later stays.
func (h HoldOff) WithPause(now time.Time, d time.Duration) HoldOff {
	if until := now.Add(min(d, maxHoldOff)); until.After(h.until) {
		h.from, h.until = now, until
	}
	return h
}

// Ends returns when the pause ends. It is zero when the backend server leaves.
func (h HoldOff) Ends() time.Time {
	if h.leaving {
		return time.Time{}
	}
	return h.until
}

// Permits reports whether a request may be sent at a time. After a pause the
// part of the requests that may, by their draw in [0, 1), grows to all of them;
// a draw of 0 may as soon as the pause has ended.
func (h HoldOff) Permits(now time.Time, draw float64) bool {
	if h.leaving || now.Before(h.until) {
		return false
	}
	ramp := min(h.until.Sub(h.from), maxReturnRamp)
	return now.Sub(h.until) >= time.Duration(draw*float64(ramp))
}

// over reports whether a hold-off may be forgotten.
func (h HoldOff) over(now time.Time) bool {
	return h.Permits(now, 1) || (h.leaving && now.Sub(h.from) > leaveKept)
}

// HoldOffs are the hold-offs of backend servers that this VM knows. The zero
// value is ready; it is safe for use by several goroutines, and reads take no lock.
type HoldOffs struct {
	mu   sync.Mutex // serializes changes
	rows atomic.Pointer[map[string]HoldOff]
}

// Of returns the hold-off of an instance; the zero value permits everything.
// Another start under the same id is another instance.
func (t *HoldOffs) Of(id string, incarnation uint64) HoldOff {
	rows := t.rows.Load()
	if rows == nil {
		return HoldOff{}
	}
	if h := (*rows)[id]; h.incarnation >= incarnation {
		return h
	}
	return HoldOff{}
}

// Leave notes that an instance leaves and reports whether that is new.
func (t *HoldOffs) Leave(id string, incarnation uint64, now time.Time) bool {
	if t.Of(id, incarnation).leaving {
		return false
	}
	t.change(id, incarnation, now, func(h HoldOff) HoldOff { return h.WithLeaving(now) })
	return true
}

// Pause notes that an instance wants no request for d from now on.
func (t *HoldOffs) Pause(id string, incarnation uint64, now time.Time, d time.Duration) {
	t.change(id, incarnation, now, func(h HoldOff) HoldOff { return h.WithPause(now, d) })
}

func (t *HoldOffs) change(id string, incarnation uint64, now time.Time, with func(HoldOff) HoldOff) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make(map[string]HoldOff)
	if old := t.rows.Load(); old != nil {
		rows = maps.Clone(*old)
	}
	h := rows[id]
	if h.incarnation < incarnation {
		h = HoldOff{incarnation: incarnation}
	}
	rows[id] = with(h)
	if len(rows) > maxHoldOffs {
		maps.DeleteFunc(rows, func(other string, h HoldOff) bool { return other != id && h.over(now) })
	}
	t.rows.Store(&rows)
}
