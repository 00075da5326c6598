// Package dhfake is the fake network and clock that the state tests share,
// next to dhdisk.Memory. It is not part of any program.
//
// All time is that of a dhtimer.Stepped. A run is repeatable: the fate of the
// n-th message between two nodes follows from the seed alone.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		timers := dhtimer.NewStepped()
//		network := dhfake.NewNetwork(timers, seed)
//		defer network.Stop()
//		network.Set(dhfake.Faults{Loss: 0.05, Duplicate: 0.05, MinDelay: time.Millisecond, MaxDelay: 9 * time.Millisecond})
//		a := network.Start("a", handler)
//		... goroutines that call a.Send(ctx, "b", message) ...
//		dhfake.Drive(timers, time.Minute, func() bool { return done })
//	})
package dhfake

import (
	"testing/synctest"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// Drive steps from timer to timer until done returns true, and reports whether
// it did within limit. Before each step, and before done is asked, all other
// goroutines of the synctest bubble have come to rest.
func Drive(timers *dhtimer.Stepped, limit time.Duration, done func() bool) bool {
	end := timers.Now().Add(limit)
	for {
		synctest.Wait()
		if done() {
			return true
		}
		if timers.Now().After(end) || !timers.Next() {
			return false
		}
	}
}

// Clock is a timer service that runs faster or slower than another one.
type Clock struct {
	base  dhtimer.Service
	rate  float64
	start time.Time
}

// NewClock returns a clock that advances by rate for each unit of base.
func NewClock(base dhtimer.Service, rate float64) *Clock {
	return &Clock{base: base, rate: rate, start: base.Now()}
}

func (c *Clock) own(t time.Time) time.Time {
	return c.start.Add(time.Duration(float64(t.Sub(c.start)) * c.rate))
}

func (c *Clock) onBase(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.rate)
}

// Now implements dhtimer.Service.
func (c *Clock) Now() time.Time { return c.own(c.base.Now()) }

// Subscribe implements dhtimer.Service.
func (c *Clock) Subscribe(period time.Duration, f func(now time.Time)) func() {
	return c.base.Subscribe(c.onBase(period), func(now time.Time) { f(c.own(now)) })
}

// After implements dhtimer.Service.
func (c *Clock) After(d time.Duration, f func(now time.Time)) func() {
	return c.base.After(c.onBase(d), func(now time.Time) { f(c.own(now)) })
}
