package dhrouter

import (
	"context"
	"errors"
	"syscall"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhquarantine"
)

// Quarantine keeps requests with certain prompt parts from backend servers, and is told
// what is needed to find such parts.
type Quarantine interface {
	// Find returns the verdict that keeps a request with parts from the backend
	// servers of a pool.
	Find(pool string, parts []uint64) (dhquarantine.Verdict, bool)
	// Suspected reports whether a part is suspected.
	Suspected(pool string, parts []uint64) bool
	// RecordBroken records a request whose connection broke before its second event.
	RecordBroken(b dhquarantine.Broken)
	// RecordAnswer records that a request went on after its first event, or was
	// answered.
	RecordAnswer(pool string, parts []uint64)
}

// maxEarlyBreaks is the number of backend servers whose connection to a request may
// break before the second event. The request may be the cause, so that a third backend
// server is not risked; one that was at work beside the cause is usually answered by
// the second.
const maxEarlyBreaks = 2

// promptParts is the state of a request that concerns the parts of its prompt.
type promptParts struct {
	// parts are the ids of all parts but the last, which belongs to the request.
	parts []uint64
	// connectionLost is set if the connection to the attempt's backend server broke.
	connectionLost bool
	earlyBreaks    int
	partsAnswered  bool
	// identity is the fingerprint of the request, or 0 as long as nothing has asked for it.
	identity uint64
}

// fingerprint identifies the request among those that come again.
func (f *forward) fingerprint() uint64 {
	if m := f.message; f.identity == 0 {
		f.identity = dhquarantine.Fingerprint(f.account, m.Method, m.Host, m.Target, m.Body)
	}
	return f.identity
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

// checkQuarantine refuses the request if one of its parts is in quarantine.
func (f *forward) checkQuarantine() error {
	if len(f.parts) == 0 {
		return nil
	}
	v, ok := f.router.Quarantine.Find(f.poolName, f.parts)
	if !ok {
		return nil
	}
	err := dhcode.Errorf(dhcode.PromptQuarantined, "prompt part %s is in quarantine: %d backend servers of pool %q ended under %d requests with it",
		dhquarantine.FormatID(v.Part.ID), v.Crashes, f.poolName, v.Requests)
	return dhcode.WithRetryAfter(err, v.Expires.Sub(f.router.Timers.Now()))
}

// recordLost records that the connection to the backend server broke. Silence and the
// end of the request are no signs of a crash.
func (f *forward) recordLost(err error) {
	f.connectionLost = !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// recordBreak records the end of an attempt whose connection broke before its second
// event.
func (f *forward) recordBreak(backend string, incarnation uint64) {
	if !f.connectionLost || f.events > 1 || len(f.parts) == 0 || f.callerGone {
		return
	}
	f.earlyBreaks++
	f.router.Quarantine.RecordBroken(dhquarantine.Broken{
		Pool: f.poolName, Backend: backend, Incarnation: incarnation, Request: f.message.ID, Parts: f.parts,
	})
}

// mayCrashOthers reports whether the request may be the cause of the ends of backend
// servers, so that it must not be sent to another one.
func (f *forward) mayCrashOthers() bool {
	return f.earlyBreaks >= maxEarlyBreaks || (f.earlyBreaks > 0 && f.router.Quarantine.Suspected(f.poolName, f.parts))
}

// recordPartsAnswered clears the parts of the request.
func (f *forward) recordPartsAnswered() {
	if len(f.parts) > 0 && !f.partsAnswered {
		f.partsAnswered = true
		f.router.Quarantine.RecordAnswer(f.poolName, f.parts)
	}
}
