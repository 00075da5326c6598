package dhlimit

import (
	"cmp"
	"math/bits"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// Breakers holds one circuit breaker per backend server and stops traffic to
// backend servers that fail. It is safe for use by several goroutines.
type Breakers struct {
	Timers dhtimer.Service
	// Failures is the number of consecutive failed attempts that open a
	// breaker; twice as many failures among the last 20 attempts open it too.
	// 0 means 5.
	Failures int
	// Backoff is how long a breaker stays open before a trial; each failed
	// trial counts as a retry. The zero value means from 1 s to 30 s.
	Backoff Backoff
	// MaxBackends bounds the number of breakers; 0 means 8192. Backend servers
	// without a breaker are always permitted.
	MaxBackends int

	mu        sync.Mutex
	byBackend map[string]*breaker
}

type breaker struct {
	// history has one bit per attempt, the newest in the lowest bit; 1 is a failure.
	history             uint32
	consecutiveFailures int
	open                bool
	openUntil           time.Time
	trialRunning        bool
	failedTrials        int
	lastUsed            time.Time
}

// historyMask masks the last 20 attempts in a history.
const historyMask = 1<<20 - 1

// Open reports whether a backend server's breaker permits no attempt now. It
// changes no state, so placement can call it for every candidate.
func (b *Breakers) Open(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byBackend[id]
	return ok && r.open && (r.trialRunning || b.Timers.Now().Before(r.openUntil))
}

// Begin reports whether an attempt may start. Once an open breaker's delay is
// over, one trial is permitted. Each permitted attempt must be followed by End,
// Trip or Cancel.
func (b *Breakers) Begin(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byBackend[id]
	if !ok || !r.open {
		return true
	}
	if r.trialRunning || b.Timers.Now().Before(r.openUntil) {
		return false
	}
	r.trialRunning = true
	return true
}

// End records the result of an attempt. Cancelled attempts say nothing about
// the backend server and end with Cancel instead.
func (b *Breakers) End(id string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timers.Now()
	r := b.getOrCreate(id, now)
	if r == nil {
		return
	}
	r.history = r.history << 1 & historyMask
	if ok {
		r.consecutiveFailures = 0
		if r.open && r.trialRunning {
			*r = breaker{lastUsed: now}
		}
		return
	}
	r.history |= 1
	r.consecutiveFailures++
	switch {
	case r.open && r.trialRunning:
		r.failedTrials++
		b.trip(r, now)
	case !r.open && (r.consecutiveFailures >= b.failures() || bits.OnesCount32(r.history) >= 2*b.failures()):
		b.trip(r, now)
	}
}

// Trip opens a breaker at once. It is for attempts that could not reach the
// backend server, because further attempts would not reach it either.
func (b *Breakers) Trip(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timers.Now()
	r := b.getOrCreate(id, now)
	if r == nil || (r.open && !r.trialRunning) {
		return
	}
	if r.open {
		r.failedTrials++
	}
	r.history = r.history<<1&historyMask | 1
	b.trip(r, now)
}

// awaitedTrialTime is how long an open breaker waits for a trial by a request that may be
// repeated.
const awaitedTrialTime = time.Second

// Closed reports whether a backend server's breaker is closed. Requests that must not be
// repeated need a closed breaker, so that they do not serve as trials. They do if no other
// request has tried for awaitedTrialTime: a pool may serve no other requests.
func (b *Breakers) Closed(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.byBackend[id]
	return !ok || !r.open || (!r.trialRunning && b.Timers.Now().Sub(r.openUntil) >= awaitedTrialTime)
}

// Cancel ends an attempt without a result.
func (b *Breakers) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.byBackend[id]; ok {
		r.trialRunning = false
	}
}

func (b *Breakers) failures() int { return cmp.Or(b.Failures, 5) }

func (b *Breakers) trip(r *breaker, now time.Time) {
	backoff := b.Backoff
	backoff.Base, backoff.Max = cmp.Or(backoff.Base, time.Second), cmp.Or(backoff.Max, 30*time.Second)
	r.open, r.trialRunning, r.openUntil = true, false, now.Add(backoff.Delay(r.failedTrials))
}

// getOrCreate returns a backend server's breaker and creates it if needed. When the
// table is full, breakers that have not been used for a minute are removed; if
// there are none, getOrCreate returns nil.
func (b *Breakers) getOrCreate(id string, now time.Time) *breaker {
	r, ok := b.byBackend[id]
	if !ok {
		if b.byBackend == nil {
			b.byBackend = make(map[string]*breaker)
		}
		if len(b.byBackend) >= cmp.Or(b.MaxBackends, 8192) && !b.removeUnused(now) {
			return nil
		}
		r = &breaker{}
		b.byBackend[id] = r
	}
	r.lastUsed = now
	return r
}

func (b *Breakers) removeUnused(now time.Time) bool {
	n := len(b.byBackend)
	for id, r := range b.byBackend {
		if now.Sub(r.lastUsed) > time.Minute {
			delete(b.byBackend, id)
		}
	}
	return len(b.byBackend) < n
}
