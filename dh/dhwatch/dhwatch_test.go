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

// source is control VMs that answer after the wait of a watch, or not at all.
type source struct {
	timers dhtimer.Service
	// age is the age of their last majority read, silent those that are gone.
	age    time.Duration
	silent map[string]bool
	// stale names one whose majority reads are old.
	stale string
	// controls is what they tell of each other.
	controls []*dhpb.ControlRecord
	// asked and views count calls and whole views by control VM.
	asked, views map[string]int
}

func (s *source) Watch(ctx context.Context, address string, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	if s.silent[address] {
		return nil, errors.New("connection refused")
	}
	s.asked[address]++
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

// follow runs a follower of three control VMs for a time.
func follow(t *testing.T, d time.Duration, change func(s *source)) *source {
	t.Helper()
	var s *source
	synctest.Test(t, func(t *testing.T) {
		timers := dhtimer.NewStepped()
		s = &source{timers: timers, silent: map[string]bool{}, asked: map[string]int{}, views: map[string]int{}}
		change(s)
		follower := &dhwatch.Follower{
			VM: "e0", Incarnation: 1, Zone: "z0", Seeds: []string{"c0", "c1", "c2"}, Source: s, Timers: timers,
			Log: slog.New(slog.DiscardHandler), Lease: &dhwatch.Lease{Clock: clock{timers}, For: time.Minute},
			Report:  func() *dhpb.EntryReport { return nil },
			Numbers: func() (uint64, uint64) { return 0, 0 }, Received: func(dhwatch.Update) {},
		}
		group := dhgroup.New(t.Context())
		group.Go(follower.Run)
		end := timers.Now().Add(d)
		dhfake.Drive(timers, d, func() bool { return !timers.Now().Before(end) })
		group.Stop()
		dhfake.Drive(timers, time.Second, func() bool { return false })
		assert.NilError(t, group.Wait())
	})
	return s
}

// Answers the pattern of control VMs that are all too busy to read from a
// majority: entry VMs went from one to the next ten times a second, and the
// whole views that each change costs kept the control VMs busy, so that no
// entry VM accepted a key for 20 s (found at stmaurice-coupe-large, scale-1).
func TestStaleControlVMsAreNotAskedInTurn(t *testing.T) {
	s := follow(t, 2900*time.Millisecond, func(s *source) { s.age = 1500 * time.Millisecond })
	for _, address := range []string{"c0", "c1", "c2"} {
		assert.Equal(t, s.views[address], 1, address)
	}
}

// Guards against an entry VM that stays with a control VM that is silent.
func TestSilentControlVMIsLeft(t *testing.T) {
	s := follow(t, 2*time.Second, func(s *source) { s.silent["c0"], s.silent["c1"] = true, true })
	assert.Equal(t, s.views["c2"], 1)
	assert.Assert(t, s.asked["c2"] > 4)
}

// Answers the pattern of a start at which entry VMs know three control VMs of
// other zones, or of a failure that drove them there: more than half of 294 VMs
// went on to watch another zone's control VM, which costs bytes between zones
// and loads some control VMs twice (found at stmaurice-coupe-large, trouble-1).
func TestEntryVMMovesToItsZone(t *testing.T) {
	controls := []*dhpb.ControlRecord{
		{Vm: "c0", Address: "c0", Zone: "z1"},
		{Vm: "c1", Address: "c1", Zone: "z2"},
		{Vm: "c2", Address: "c2", Zone: "z3"},
		{Vm: "c3", Address: "c3", Zone: "z0"},
	}
	s := follow(t, 20*time.Second, func(s *source) { s.controls = controls })
	assert.Assert(t, s.asked["c3"] > 40, "%v", s.asked)
	assert.Equal(t, s.views["c3"], 1)

	// One of the own zone without a majority is tried now and then only.
	s = follow(t, 20*time.Second, func(s *source) { s.controls, s.stale = controls, "c3" })
	assert.Assert(t, s.views["c3"] <= 8, "%v", s.views)
	assert.Assert(t, s.asked["c0"]+s.asked["c1"]+s.asked["c2"] > 40, "%v", s.asked)

	// One that nobody has heard lately is not tried.
	controls[3].Age = durationpb.New(time.Minute)
	s = follow(t, 20*time.Second, func(s *source) { s.controls = controls })
	assert.Equal(t, s.asked["c3"], 0)
}
