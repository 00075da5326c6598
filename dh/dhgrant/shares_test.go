package dhgrant

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// suspendable is a clock that goes on while the VM's timers stand still.
type suspendable struct {
	timers    *dhtimer.Stepped
	suspended time.Duration
}

func (s *suspendable) Elapsed() time.Duration {
	return s.timers.Now().Sub(time.Unix(0, 0)) + s.suspended
}

type testShares struct {
	*Shares
	timers *dhtimer.Stepped
	clock  *suspendable
}

var limited = &dhbackend.Backend{ID: "b", Incarnation: 1}

// runShares runs f with the shares of entry VM "e0".
func runShares(t *testing.T, f func(s testShares)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := dhtimer.NewStepped()
		clock := &suspendable{timers: timers}
		f(testShares{&Shares{Timers: timers, Clock: clock, VM: "e0"}, timers, clock})
	})
}

// answer observes an answer, to a request sent now, that states a limit; a negative
// one stands for none.
func (s testShares) answer(limit float64) Change {
	o := Observation{Sent: s.timers.Now(), Answered: s.timers.Now().Add(time.Millisecond)}
	if limit >= 0 {
		o.Limit = perSecond(limit)
	}
	s.timers.Step(time.Millisecond)
	return s.Observe(limited.ID, limited.Incarnation, o)
}

// grant applies a table with a part of a limit for the VM, or for another one.
func (s testShares) grant(number uint64, limit float64, parts uint32, holder string) {
	s.Update(&dhpb.GrantTable{
		Id: &dhpb.GrantTableId{Token: 1, Number: number}, Remaining: durationpb.New(2 * time.Second),
		Grants: []*dhpb.RateGrant{{Limit: &dhpb.BackendLimit{Id: limited.ID, Incarnation: 1, PerSecond: &limit}, Parts: parts, Holders: []string{holder}}},
	}, s.clock.Elapsed())
}

// renew renews the table for another term.
func (s testShares) renew(number uint64) {
	s.Update(&dhpb.GrantTable{Id: &dhpb.GrantTableId{Token: 1, Number: number}, Remaining: durationpb.New(2 * time.Second), Unchanged: true}, s.clock.Elapsed())
}

// sends counts the requests that are permitted in a time, with as many attempts as
// possible. The table is renewed meanwhile.
func (s testShares) sends(number uint64, d time.Duration) int {
	n := 0
	for range int(d / (10 * time.Millisecond)) {
		s.renew(number)
		if s.Available(limited, 0.5) && s.Acquire(limited) {
			n++
		}
		s.timers.Step(10 * time.Millisecond)
	}
	return n
}

// Guards against a part that is used without a grant, after its term, for longer
// because the VM was suspended, or above its rate.
func TestSharePermitsWithinTheTerm(t *testing.T) {
	runShares(t, func(s testShares) {
		assert.Assert(t, s.Available(limited, 0.9) && s.Acquire(limited))
		assert.Equal(t, s.answer(10), Begun)
		assert.Assert(t, !s.Available(limited, 0) && !s.Acquire(limited))
		s.grant(1, 10, 2, "e0")
		got := s.sends(1, 10*time.Second)
		assert.Assert(t, got >= 49 && got <= 51, "%d requests in 10 s at 5 requests/s", got)
		s.timers.Step(2100 * time.Millisecond)
		assert.Assert(t, !s.Acquire(limited))
		s.renew(1)
		assert.Assert(t, !s.Acquire(limited), "the time without a grant was saved up")
		s.timers.Step(time.Second)
		assert.Assert(t, s.Available(limited, 0))
		s.clock.suspended += time.Second + time.Millisecond
		assert.Assert(t, !s.Acquire(limited))
		s.grant(2, 10, 2, "e1")
		s.timers.Step(time.Second)
		assert.Assert(t, !s.Acquire(limited))
		s.grant(1, 10, 2, "e0") // a late copy of the older table
		s.timers.Step(time.Second)
		assert.Assert(t, !s.Acquire(limited))
	})
}

// Guards against saved requests that are sent at once when a limit falls, and
// against a limit below one request in ten seconds that is never tried again.
func TestShareFollowsTheLimit(t *testing.T) {
	runShares(t, func(s testShares) {
		s.grant(1, 1000, 1, "e0")
		s.timers.Step(time.Second)
		s.renew(1)
		assert.Assert(t, s.Acquire(limited)) // fills the bucket
		assert.Equal(t, s.answer(2), Changed)
		got := s.sends(1, 4*time.Second)
		assert.Assert(t, got >= 7 && got <= 9, "%d requests in 4 s at 2 requests/s", got)
		assert.Equal(t, s.answer(0), Changed)
		got = s.sends(1, 40*time.Second)
		assert.Assert(t, got >= 3 && got <= 5, "%d requests in 40 s at a limit of 0", got)
	})
}

// Guards against a limit that lasts after its end, and against all requests
// returning at the moment of the end.
func TestShareReturnsGradually(t *testing.T) {
	runShares(t, func(s testShares) {
		s.answer(1)
		assert.Equal(t, s.answer(-1), Ended)
		assert.Assert(t, s.Available(limited, 0) && !s.Available(limited, 0.5))
		s.timers.Step(returnRamp / 2)
		assert.Assert(t, s.Available(limited, 0.5) && !s.Available(limited, 0.9))
		s.timers.Step(returnRamp / 2)
		assert.Assert(t, s.Available(limited, 1))
	})
	runShares(t, func(s testShares) { // another VM received the answer without a limit
		s.answer(1)
		s.grant(1, 1, 2, "e1")
		s.timers.Step(time.Second)
		ended := &dhpb.RateGrant{Limit: &dhpb.BackendLimit{Id: limited.ID, Incarnation: 1, SentAge: durationpb.New(0), AnsweredAge: durationpb.New(0)}}
		s.Update(&dhpb.GrantTable{Id: &dhpb.GrantTableId{Token: 1, Number: 2}, Remaining: durationpb.New(time.Second), Grants: []*dhpb.RateGrant{ended}}, s.clock.Elapsed())
		s.timers.Step(returnRamp)
		assert.Assert(t, s.Available(limited, 1))
		assert.Equal(t, len(s.Report()), 0)
		assert.Equal(t, s.answer(1), Begun)
		assert.Assert(t, !s.Available(limited, 0))
	})
}

// Guards against a limit known from a table only that blocks a backend server for
// ever after no VM reports it any more, and against one that is forgotten while the
// VM hears from no control VM.
func TestForgottenLimits(t *testing.T) {
	runShares(t, func(s testShares) {
		s.grant(1, 1, 2, "e1")
		s.timers.Step(time.Hour)
		assert.Assert(t, !s.Available(limited, 0))
		s.Update(nil, s.clock.Elapsed())
		assert.Assert(t, s.Available(limited, 0))
		s.answer(1)
		s.timers.Step(time.Hour)
		s.Update(nil, s.clock.Elapsed())
		assert.Assert(t, !s.Available(limited, 0), "the VM still reports this limit")
	})
}

// Guards against a limit of an earlier incarnation that an answer of the next one
// brings back.
func TestRestartedBackendHasNoLimit(t *testing.T) {
	runShares(t, func(s testShares) {
		s.grant(1, 1, 2, "e1")
		restarted := &dhbackend.Backend{ID: limited.ID, Incarnation: 2}
		assert.Assert(t, s.Available(restarted, 0))
		s.Observe(restarted.ID, 2, Observation{Sent: s.timers.Now().Add(-time.Second), Answered: s.timers.Now()})
		assert.Assert(t, s.Available(restarted, 0))
		assert.Equal(t, len(s.Report()), 0)
	})
}

// Guards against work for requests while no backend server states a limit.
func TestSharesCostNothingWithoutLimits(t *testing.T) {
	runShares(t, func(s testShares) {
		o := Observation{Sent: s.timers.Now(), Answered: s.timers.Now()}
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			s.Observe(limited.ID, 1, o)
			_ = s.Available(limited, 0.5) && s.Acquire(limited)
		}), 0.0)
		assert.Equal(t, len(s.Report()), 0)
		assert.Assert(t, s.Held() == nil)
	})
}
