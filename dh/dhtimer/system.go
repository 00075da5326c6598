package dhtimer

import (
	"sync"
	"time"
)

// System is a Service that uses the operating system's monotonic clock.
type System struct{}

// NewSystem returns the system's timer service.
func NewSystem() System { return System{} }

// Now implements Service.
func (System) Now() time.Time { return time.Now() }

// Subscribe implements Service. The period restarts when f returns, so ticks
// that fall due while f runs are skipped.
func (System) Subscribe(period time.Duration, f func(now time.Time)) func() {
	var (
		mu      sync.Mutex
		stopped bool
		timer   *time.Timer
	)
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(period, func() {
		f(time.Now())
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(period)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// After implements Service.
func (System) After(d time.Duration, f func(now time.Time)) func() {
	timer := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { timer.Stop() }
}
