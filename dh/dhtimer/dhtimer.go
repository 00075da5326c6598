// Package dhtimer is the timer service: the only source of time in dandelionhoist.
//
// Components subscribe to ticks and read the current time from a Service, so
// that tests can run the same code on a stepped clock. Timestamps of different
// VMs are never compared.
//
// # Usage
//
//	timers := dhtimer.NewSystem()
//	cancel := timers.Subscribe(100*time.Millisecond, func(now time.Time) { ... })
//	defer cancel()
//
// Tests use NewStepped and advance the time with Step.
package dhtimer

import (
	"context"
	"time"
)

// Service provides the current time, periodic callbacks and timers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe calls f every period until cancel is called. Calls of one
	// subscription do not overlap.
	Subscribe(period time.Duration, f func(now time.Time)) (cancel func())
	// After calls f once after d, unless cancel is called first.
	After(d time.Duration, f func(now time.Time)) (cancel func())
}

// Sleep waits until d has elapsed on s and returns nil, or until ctx is done and
// returns the error of ctx.
func Sleep(ctx context.Context, s Service, d time.Duration) error {
	done := make(chan struct{})
	cancel := s.After(d, func(time.Time) { close(done) })
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled when d has elapsed on s, with
// context.DeadlineExceeded as its cause.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelCtx := context.WithCancelCause(ctx)
	cancelTimer := s.After(d, func(time.Time) { cancelCtx(context.DeadlineExceeded) })
	return ctx, func() {
		cancelTimer()
		cancelCtx(context.Canceled)
	}
}
