package dhlimit

import (
	"cmp"
	"math/bits"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// Breakers stop traffic to backend servers that fail. They are safe for use
// by several goroutines.
type Breakers struct {
	Timers dhtimer.Service
	// Failures is how many attempts in a row, or half of how many of the last
	// 20, must fail to open a breaker; 0 means 5.
	Failures int
	// Backoff is how long a breaker stays open; each failed trial counts as a
	// retry. The zero value means from 1 s to 30 s.
	Backoff Backoff
	// MaxBackends bounds the table; 0 means 8192. Others are always permitted.
	MaxBackends int

	mu   sync.Mutex
	rows map[string]*breaker
}

type breaker struct {
	// history has one bit per attempt, the newest in the lowest; 1 is a failure.
	history uint32
	row     int
	open    bool
	until   time.Time
	trial   bool
	trials  int
	used    time.Time
}

const breakerWindow = 1<<20 - 1

// Open reports whether a backend server should get no attempt now. It does
// not change the state and serves placement.
func (b *Breakers) Open(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[id]
	return ok && r.open && (r.trial || b.Timers.Now().Before(r.until))
}

// Begin reports whether an attempt may start. After an open breaker's time
// one trial is permitted. Each permitted attempt needs an End.
func (b *Breakers) Begin(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[id]
	if !ok || !r.open {
		return true
	}
	if r.trial || b.Timers.Now().Before(r.until) {
		return false
	}
	r.trial = true
	return true
}

// End counts the end of an attempt. Cancelled attempts say nothing about the
// backend server and are ended with Cancel.
func (b *Breakers) End(id string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timers.Now()
	r := b.row(id, now)
	if r == nil {
		return
	}
	r.history = r.history << 1 & breakerWindow
	if ok {
		r.row = 0
		if r.open && r.trial {
			*r = breaker{used: now}
		}
		return
	}
	r.history |= 1
	r.row++
	switch {
	case r.open && r.trial:
		r.trials++
		b.trip(r, now)
	case !r.open && (r.row >= b.failures() || bits.OnesCount32(r.history) >= 2*b.failures()):
		b.trip(r, now)
	}
}

// Trip opens a breaker at once: the attempt did not reach the backend server,
// so that others would not either.
func (b *Breakers) Trip(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timers.Now()
	r := b.row(id, now)
	if r == nil || (r.open && !r.trial) {
		return
	}
	if r.open {
		r.trials++
	}
	r.history = r.history<<1&breakerWindow | 1
	b.trip(r, now)
}

// Closed reports whether a backend server has not failed lately. Requests that
// must not be repeated are no trials.
func (b *Breakers) Closed(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[id]
	return !ok || !r.open
}

// Cancel ends an attempt without a result.
func (b *Breakers) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rows[id]; ok {
		r.trial = false
	}
}

func (b *Breakers) failures() int { return cmp.Or(b.Failures, 5) }

func (b *Breakers) trip(r *breaker, now time.Time) {
	backoff := b.Backoff
	backoff.Base, backoff.Max = cmp.Or(backoff.Base, time.Second), cmp.Or(backoff.Max, 30*time.Second)
	r.open, r.trial, r.until = true, false, now.Add(backoff.Delay(r.trials))
}

// row returns a backend server's breaker. A full table gives up one that has
// not been used for a minute.
func (b *Breakers) row(id string, now time.Time) *breaker {
	r, ok := b.rows[id]
	if !ok {
		if b.rows == nil {
			b.rows = make(map[string]*breaker)
		}
		if len(b.rows) >= cmp.Or(b.MaxBackends, 8192) && !b.forget(now) {
			return nil
		}
		r = &breaker{}
		b.rows[id] = r
	}
	r.used = now
	return r
}

func (b *Breakers) forget(now time.Time) bool {
	n := len(b.rows)
	for id, r := range b.rows {
		if now.Sub(r.used) > time.Minute {
			delete(b.rows, id)
		}
	}
	return len(b.rows) < n
}
