package dhedit

import (
	"context"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// LeaseDuration is the default duration of the tables lease.
const LeaseDuration = 3 * time.Second

// Lease is the tables lease of one VM: while it is valid, no revision that was
// decided longer ago than the lease is unknown to this VM.
type Lease struct {
	Timers dhtimer.Service
	// Duration is how long answers from a majority of voters stay valid, counted
	// from the time at which the request was sent.
	Duration time.Duration

	mu   sync.Mutex
	held bool
	sent time.Time
}

// Refresh calls queryVoters, which must return nil only after answers from a
// majority of voters have been applied, and renews the lease from the time before
// that call.
func (l *Lease) Refresh(ctx context.Context, queryVoters func(ctx context.Context) error) error {
	sent := l.Timers.Now()
	if err := queryVoters(ctx); err != nil {
		return err
	}
	l.Renew(sent)
	return nil
}

// Renew extends the lease from the time at which the request was sent. Answers to
// older requests have no effect.
func (l *Lease) Renew(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || sent.After(l.sent) {
		l.held, l.sent = true, sent
	}
}

// Valid reports whether the lease has not expired at now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && now.Sub(l.sent) < l.Duration
}
