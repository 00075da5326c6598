package dhlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHoldOff bounds the pause that a backend server can ask for. It is far
	// longer than the seconds that a backend server needs to recover, and
	// prevents a faulty answer from excluding a backend server permanently.
	maxHoldOff = time.Hour
	// maxReturnRamp bounds the time over which traffic is ramped up after a
	// pause. Without the ramp, entry VMs that were refused at the same time
	// would all return at the same time.
	maxReturnRamp = time.Second
	// maxHoldOffs bounds the table. When it is full, pauses that are over are
	// removed, and leave notices older than leaveRetention, since a leaving
	// backend server stops within minutes.
	maxHoldOffs    = 8192
	leaveRetention = 10 * time.Minute
)

// HoldOff records that one instance of a backend server has asked for a pause or
// announced that it leaves. It is immutable.
type HoldOff struct {
	incarnation uint64
	leaving     bool
	// from is when the latest pause or leave was recorded; until is when the
	// pause ends.
	from, until time.Time
}

// WithLeaving returns a hold-off that permits no request to the instance again.
func (h HoldOff) WithLeaving(now time.Time) HoldOff {
	h.leaving, h.from = true, now
	return h
}

// WithPause returns a hold-off that lasts at least until d from now. An earlier
// pause that ends later is kept.
func (h HoldOff) WithPause(now time.Time, d time.Duration) HoldOff {
	if until := now.Add(min(d, maxHoldOff)); until.After(h.until) {
		h.from, h.until = now, until
	}
	return h
}

// Ends returns when the pause ends, or the zero time if the backend server is
// leaving.
func (h HoldOff) Ends() time.Time {
	if h.leaving {
		return time.Time{}
	}
	return h.until
}

// Permits reports whether a request may be sent at the given time. Draw is the
// request's random number in [0, 1). After a pause, the permitted fraction of
// requests rises linearly from 0 to 1; a request with a draw of 0 is permitted
// as soon as the pause has ended.
func (h HoldOff) Permits(now time.Time, draw float64) bool {
	if h.leaving || now.Before(h.until) {
		return false
	}
	ramp := min(h.until.Sub(h.from), maxReturnRamp)
	return now.Sub(h.until) >= time.Duration(draw*float64(ramp))
}

// expired reports whether a hold-off can be removed from the table.
func (h HoldOff) expired(now time.Time) bool {
	return h.Permits(now, 1) || (h.leaving && now.Sub(h.from) > leaveRetention)
}

// HoldOffs is the table of the hold-offs of backend servers that this VM knows.
// The zero value is ready for use. It is safe for use by several goroutines, and
// reads take no lock.
type HoldOffs struct {
	mu        sync.Mutex // serializes changes
	byBackend atomic.Pointer[map[string]HoldOff]
}

// Get returns the hold-off of an instance, or the zero value, which permits every
// request. A restart under the same id is a new instance.
func (t *HoldOffs) Get(id string, incarnation uint64) HoldOff {
	rows := t.byBackend.Load()
	if rows == nil {
		return HoldOff{}
	}
	if h := (*rows)[id]; h.incarnation >= incarnation {
		return h
	}
	return HoldOff{}
}

// RecordLeave records that an instance leaves and reports whether it was not yet recorded.
func (t *HoldOffs) RecordLeave(id string, incarnation uint64, now time.Time) bool {
	if t.Get(id, incarnation).leaving {
		return false
	}
	t.update(id, incarnation, now, func(h HoldOff) HoldOff { return h.WithLeaving(now) })
	return true
}

// RecordPause records that an instance accepts no requests for d from now.
func (t *HoldOffs) RecordPause(id string, incarnation uint64, now time.Time, d time.Duration) {
	t.update(id, incarnation, now, func(h HoldOff) HoldOff { return h.WithPause(now, d) })
}

func (t *HoldOffs) update(id string, incarnation uint64, now time.Time, apply func(HoldOff) HoldOff) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make(map[string]HoldOff)
	if old := t.byBackend.Load(); old != nil {
		rows = maps.Clone(*old)
	}
	h := rows[id]
	if h.incarnation < incarnation {
		h = HoldOff{incarnation: incarnation}
	}
	rows[id] = apply(h)
	if len(rows) > maxHoldOffs {
		maps.DeleteFunc(rows, func(other string, h HoldOff) bool { return other != id && h.expired(now) })
	}
	t.byBackend.Store(&rows)
}
