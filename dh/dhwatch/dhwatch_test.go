package dhwatch_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwatch"
)

// source fakes control VMs that answer after the wait of a watch, or not at all.
type source struct {
	timers dhtimer.Service
	// age is the age of the last majority read of all control VMs. silent holds
	// those that do not answer.
	age    time.Duration
	silent map[string]bool
	// stale is a control VM whose last majority read is too old.
	stale string
	// controls is the list of control VMs in each response.
	controls []*dhpb.ControlRecord
	// calls and views count the calls and the full views by control VM.
	calls, views map[string]int
	// tries counts the calls with those that are not answered. failsAt is the number of a call
	// that a control VM does not answer.
	tries, failsAt map[string]int
	// stateAge is how old the state of the entry VM is, checks counts the calls of State.
	stateAge time.Duration
	checks   map[string]int
}

func (s *source) State(ctx context.Context, address string, _ *dhpb.ControlStateRequest) (*dhpb.ControlStateResponse, error) {
	s.checks[address]++
	if s.silent[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &dhpb.ControlStateResponse{Confirmed: true, ConfirmedAge: durationpb.New(s.age)}, nil
}

func (s *source) Watch(ctx context.Context, address string, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	s.tries[address]++
	if s.silent[address] {
		return nil, errors.New("connection refused")
	}
	if s.calls[address]++; s.calls[address] == s.failsAt[address] {
		return nil, errors.New("no answer")
	}
	if m.GetEpoch() == 0 {
		s.views[address]++
	} else if err := dhtimer.Sleep(ctx, s.timers, m.GetWait().AsDuration()); err != nil {
		return nil, err
	}
	age := s.age
	if address == s.stale {
		age = time.Minute
	}
	return &dhpb.ControlWatchResponse{Epoch: 7, Position: 1, Confirmed: true, ConfirmedAge: durationpb.New(age), Controls: s.controls}, nil
}

type clock struct{ timers dhtimer.Service }

func (c clock) Elapsed() time.Duration { return time.Duration(c.timers.Now().UnixNano()) }

// runFollower runs a follower with three control VMs as seeds for the duration d.
func runFollower(t *testing.T, d time.Duration, change func(s *source)) *source {
	t.Helper()
	var s *source
	synctest.Test(t, func(t *testing.T) {
		timers := dhtimer.NewStepped()
		s = &source{timers: timers, silent: map[string]bool{}, calls: map[string]int{}, views: map[string]int{}, checks: map[string]int{}, tries: map[string]int{}, failsAt: map[string]int{}}
		change(s)
		follower := &dhwatch.Follower{
			VM: "e0", Incarnation: 1, Zone: "z0", Seeds: []string{"c0", "c1", "c2"}, Source: s, Timers: timers,
			Log: slog.New(slog.DiscardHandler), Clock: clock{timers},
			Report:   func() *dhpb.EntryReport { return nil },
			Versions: func() (uint64, uint64) { return 1, 0 }, OnUpdate: func(dhwatch.Update) {},
			States: s, StateAge: func() time.Duration { return s.stateAge }, CheckAfter: time.Second, OnState: func(dhwatch.State) {},
		}
		group := dhgroup.New(t.Context())
		group.Go(follower.Run)
		group.Go(follower.RunChecks)
		end := timers.Now().Add(d)
		dhfake.Drive(timers, d, func() bool { return !timers.Now().Before(end) })
		group.Stop()
		dhfake.Drive(timers, time.Second, func() bool { return false })
		assert.NilError(t, group.Wait())
	})
	return s
}

// Guards against switching between control VMs that are all too busy for majority
// reads: entry VMs switched ten times per second, and the full views that each
// switch requires kept the control VMs busy, so that no entry VM accepted a key
// for 20 s.
func TestFollowerStaysWithStaleControlVM(t *testing.T) {
	s := runFollower(t, 2900*time.Millisecond, func(s *source) { s.age = 1500 * time.Millisecond })
	for _, address := range []string{"c0", "c1", "c2"} {
		assert.Equal(t, s.views[address], 1, address)
	}
}

// Guards against staying with a control VM that does not answer.
func TestFollowerLeavesUnresponsiveControlVM(t *testing.T) {
	s := runFollower(t, 2*time.Second, func(s *source) { s.silent["c0"], s.silent["c1"] = true, true })
	assert.Equal(t, s.views["c2"], 1)
	assert.Assert(t, s.calls["c2"] > 4)
}

// Guards against staying with a control VM in another zone after a start at which
// only three control VMs in other zones are known, or after a failure that caused
// a switch to them: more than half of 294 VMs kept watching a control VM in
// another zone, which costs traffic between zones and doubles the load of some
// control VMs.
func TestFollowerMovesToItsZone(t *testing.T) {
	controls := []*dhpb.ControlRecord{
		{Vm: "c0", Address: "c0", Zone: "z1"},
		{Vm: "c1", Address: "c1", Zone: "z2"},
		{Vm: "c2", Address: "c2", Zone: "z3"},
		{Vm: "c3", Address: "c3", Zone: "z0"},
	}
	s := runFollower(t, 20*time.Second, func(s *source) { s.controls = controls })
	assert.Assert(t, s.calls["c3"] > 40, "%v", s.calls)
	assert.Equal(t, s.views["c3"], 1)

	// A control VM in the same zone without a majority is tried rarely.
	s = runFollower(t, 20*time.Second, func(s *source) { s.controls, s.stale = controls, "c3" })
	assert.Assert(t, s.views["c3"] <= 8, "%v", s.views)
	assert.Assert(t, s.calls["c0"]+s.calls["c1"]+s.calls["c2"] > 40, "%v", s.calls)

	// One that no control VM has heard from recently is not tried.
	controls[3].Age = durationpb.New(time.Minute)
	s = runFollower(t, 20*time.Second, func(s *source) { s.controls = controls })
	assert.Equal(t, s.calls["c3"], 0)
}

// Guards against a return to control VMs that have been silent for long, one after the other,
// when the one that answers fails once.
func TestFollowerAvoidsSilentControlVMs(t *testing.T) {
	controls := []*dhpb.ControlRecord{
		{Vm: "c0", Address: "c0", Zone: "z0", Age: durationpb.New(time.Minute)},
		{Vm: "c1", Address: "c1", Zone: "z0", Age: durationpb.New(time.Minute)},
		{Vm: "c2", Address: "c2", Zone: "z1"},
		{Vm: "c3", Address: "c3", Zone: "z2"},
	}
	s := runFollower(t, 15*time.Second, func(s *source) {
		s.controls, s.silent["c0"], s.silent["c1"], s.failsAt["c2"] = controls, true, true, 20
	})
	assert.Assert(t, s.calls["c2"] >= 20 && s.calls["c3"] > 0, "%v", s.calls)
	assert.Assert(t, s.tries["c0"]+s.tries["c1"] <= 2, "%v", s.tries)
}

// Guards against checks on a calm day, and against so many of them while no control VM
// confirms the state, as when the majority is lost, that these have no time for it.
func TestChecksAreBounded(t *testing.T) {
	s := runFollower(t, 10*time.Second, func(s *source) { s.stateAge = time.Second })
	assert.Equal(t, len(s.checks), 0, "%v", s.checks)

	s = runFollower(t, 10*time.Second, func(s *source) { s.stateAge, s.silent["c1"] = time.Minute, true })
	total := s.checks["c0"] + s.checks["c1"] + s.checks["c2"]
	assert.Assert(t, total >= 3 && total <= 24, "%v", s.checks)
	assert.Assert(t, s.checks["c1"] <= 6, "one without an answer is asked again after the time-out: %v", s.checks)
}
