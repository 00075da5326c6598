package dhrouter

import (
	"context"
	"errors"
	"syscall"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhtimer"
)

// Quarantine keeps requests with certain causes from backend servers, and is told what is
// needed to find such causes.
type Quarantine interface {
	// Find returns the verdict that keeps a request from the backend servers of its pool.
	Find(r dhquarantine.Request) (dhquarantine.Verdict, bool)
	// Peek is Find without an effect on the verdict.
	Peek(r dhquarantine.Request) (dhquarantine.Verdict, bool)
	// Suspected reports whether a cause that the request has is suspected.
	Suspected(r dhquarantine.Request) bool
	// Trial reports whether a request may be sent now, or how long it must wait at least.
	// The request arrived at a time and can wait no longer than the time longest. end must
	// be called after the last attempt of a request that may be sent.
	Trial(r dhquarantine.Request, arrived time.Time, longest time.Duration) (end func(), wait time.Duration)
	// RecordProgress records that an answer went on after its first event.
	RecordProgress(r dhquarantine.Request)
	// RecordEnd records the end of an attempt that may have run.
	RecordEnd(r dhquarantine.Run)
}

// maxEarlyBreaks is the number of backend servers whose connection to a request with a
// prompt may break before the second event. The request may be the cause, so that a third
// backend server is not risked; one that was at work beside the cause is usually answered
// by the second.
const maxEarlyBreaks = 2

const (
	// maxTrialWait and trialWaitFraction, a fraction of the time for the complete answer,
	// bound how long a suspected request waits until it may be sent; trialPollInterval is
	// the longest time between two checks.
	maxTrialWait      = 2 * time.Second
	trialWaitFraction = 0.25
	trialPollInterval = 100 * time.Millisecond
)

// crashSuspicion is the state of a request that concerns what it may do to backend servers.
type crashSuspicion struct {
	// parts are the ids of all parts but the last, which belongs to the request.
	parts []uint64
	// identity is the fingerprint of the request, or 0 as long as nothing has asked for it.
	identity uint64
	// connectionLost is set if the connection to the attempt's backend server broke.
	connectionLost      bool
	breaks, earlyBreaks int
}

// setParts sets the parts of the request's prompt.
func (f *forward) setParts() {
	n := len(f.message.Prompt)
	if n > 0 && len(f.message.Unordered) == 0 {
		n--
	}
	if f.router.Quarantine == nil || n+len(f.message.Unordered) == 0 {
		return
	}
	f.parts = make([]uint64, 0, n+len(f.message.Unordered))
	for _, p := range f.message.Prompt[:n] {
		f.parts = append(f.parts, p.ID)
	}
	f.parts = append(f.parts, f.message.Unordered...)
}

// fingerprint identifies the request among those that come again.
func (f *forward) fingerprint() uint64 {
	if m := f.message; f.identity == 0 {
		f.identity = dhquarantine.Fingerprint(f.account, m.Method, m.Host, m.Target, m.Body)
	}
	return f.identity
}

// causes returns what the quarantine needs to know of the request.
func (f *forward) causes() dhquarantine.Request {
	return dhquarantine.Request{Pool: f.poolName, Parts: f.parts, Fingerprint: f.fingerprint()}
}

// checkQuarantine refuses the request if it or one of its parts is in quarantine.
func (f *forward) checkQuarantine() error {
	if f.router.Quarantine == nil {
		return nil
	}
	v, ok := f.router.Quarantine.Find(f.causes())
	if !ok {
		return nil
	}
	return f.quarantined(v)
}

// quarantined returns the error of a request with a quarantined cause.
func (f *forward) quarantined(v dhquarantine.Verdict) error {
	id := dhquarantine.FormatID(v.Cause.ID)
	err := dhcode.Errorf(dhcode.PromptQuarantined, "prompt part %s is in quarantine: %d backend servers of pool %q ended under %d requests with it",
		id, v.Crashes, f.poolName, v.Requests)
	if v.Cause.Kind == dhquarantine.WholeRequest {
		err = dhcode.Errorf(dhcode.RequestQuarantined, "request %s is in quarantine: it was at work in %d crashes of backend servers", id, v.Crashes)
	}
	return dhcode.WithRetryAfter(err, v.Expires.Sub(f.router.Timers.Now()))
}

// awaitTrial waits until the request may be sent, if it is suspected of crashing backend
// servers, for a bounded time. end must be called after the last attempt.
func (f *forward) awaitTrial(ctx context.Context) (end func(), err error) {
	if f.router.Quarantine == nil {
		return func() {}, nil
	}
	longest := min(maxTrialWait, time.Duration(trialWaitFraction*float64(f.limit)))
	for {
		end, wait := f.router.Quarantine.Trial(f.causes(), f.received, longest)
		if wait <= 0 {
			return end, nil
		}
		if f.router.Timers.Now().Add(wait).Sub(f.received) > longest {
			err := dhcode.Errorf(dhcode.RequestQuarantined, "request %s is suspected of crashing backend servers, so it is sent to one at a time",
				dhquarantine.FormatID(f.fingerprint()))
			return nil, f.withRetryAfter(dhcode.WithRetryAfter(err, wait))
		}
		if dhtimer.Sleep(ctx, f.router.Timers, min(wait, trialPollInterval)) != nil {
			return nil, withContextCode(ctx, dhcode.WithRan(dhcode.Wrap(dhcode.Cancelled, ctx.Err()), dhcode.NotRun))
		}
	}
}

// recordLost records that the connection to the backend server broke. Silence, bytes without
// end, answers to other requests and the end of the request are no signs of a crash.
func (f *forward) recordLost(err error) {
	f.connectionLost = !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, ErrEndless) && !errors.Is(err, ErrOtherAnswer) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// recordEnd records the end of an attempt that may have run on a backend server.
func (f *forward) recordEnd(b *dhbackend.Backend) {
	if f.router.Quarantine == nil {
		return
	}
	outcome := dhquarantine.Left
	switch {
	case f.connectionLost && !f.callerGone:
		outcome = dhquarantine.Broken
		f.breaks++
		if f.events <= 1 && len(f.parts) > 0 {
			f.earlyBreaks++
		}
	case f.answered:
		outcome = dhquarantine.Answered
	}
	f.router.Quarantine.RecordEnd(dhquarantine.Run{
		Request: f.causes(), Backend: b.ID, Incarnation: b.Incarnation, ID: f.message.ID, Began: f.sentAt, Outcome: outcome,
		Progressed: f.events > 1,
	})
}

// mayCrashOthers reports whether the request may be the cause of the ends of backend
// servers, so that it must not be sent to another one.
func (f *forward) mayCrashOthers() bool {
	return f.earlyBreaks >= maxEarlyBreaks || (f.breaks > 0 && f.suspected())
}

// suspected reports whether the request or one of its parts is suspected of crashing
// backend servers.
func (f *forward) suspected() bool {
	return f.router.Quarantine != nil && f.router.Quarantine.Suspected(f.causes())
}
