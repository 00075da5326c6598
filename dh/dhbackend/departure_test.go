package dhbackend_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// restored returns a registry that knows a departure from before a restart only.
func restored(d *dhpb.Departure) (*dhbackend.Registry, *dhtimer.Stepped) {
	l, timers := newLog()
	d.LeftAt = timers.Now().Add(-time.Hour).UnixMilli()
	l.Restore(d)
	return l, timers
}

// Guards against announcements and renewals that undo a leave of which only the departure
// is left, and against a departure that also ends what came after it.
func TestDepartureOrdersAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name                  string
		left                  uint64
		incarnation, sequence uint64
		usable                bool
	}{
		{"deregistered, late", math.MaxUint64, 100, 900, false},
		{"deregistered, earlier incarnation", math.MaxUint64, 99, 900, false},
		{"deregistered, next incarnation", math.MaxUint64, 101, 1, true},
		{"draining, late", 5, 100, 4, false},
		{"draining, same number", 5, 100, 5, false},
		{"draining, later announcement", 5, 100, 6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := restored(&dhpb.Departure{Id: "b1", Incarnation: 100, Sequence: c.left})
			change := announce(t, l, announcement("b1", "10.0.0.1:80", "ready", c.incarnation, c.sequence))
			assert.Equal(t, change.Departed, !c.usable)
			assert.Equal(t, len(usableStates(l)) == 1, c.usable)
			announce(t, l, announcement("b2", "10.0.0.1:80", "ready", c.incarnation, 1))
			assert.Equal(t, usableStates(l)["b2"], "ready", "another backend server at the address")
		})
	}
}

// Guards against a departure that is read after a late announcement was accepted and does
// not end it, and against a renewal that undoes it.
func TestDepartureEndsAcceptedAnnouncement(t *testing.T) {
	l, _ := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 4))
	_, position := l.Content(0)
	assert.Assert(t, l.Restore(&dhpb.Departure{Id: "b1", Incarnation: 100, Sequence: math.MaxUint64}).Content)
	assert.Equal(t, len(usableStates(l)), 0)
	assert.Assert(t, l.HasContent(position))
	assert.Assert(t, l.Renew(renewal("b1", 100, 9), "c1") == nil)
	assert.Equal(t, len(usableStates(l)), 0)
}

// Guards against a leave that is acknowledged though only this VM's memory holds it, and
// against durable writes for each announcement of a backend server that is leaving.
func TestDepartureIsMadeDurableOnce(t *testing.T) {
	l, timers := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 4))
	unsettled := func() int {
		timers.Step(time.Millisecond)
		return len(l.Unsettled(timers.Now(), 10))
	}
	for sequence := uint64(5); sequence < 8; sequence++ {
		announce(t, l, announcement("b1", "10.0.0.1:80", "leaving", 100, sequence))
		d, _ := l.Departure("b1")
		assert.Equal(t, d.Message.GetSequence(), uint64(5), "the first one that says so")
		assert.Assert(t, !d.Durable && unsettled() == 1)
	}
	d, _ := l.Departure("b1")
	l.MarkDurable(d.Message)
	l.Remove("b1", 100)
	d, _ = l.Departure("b1")
	assert.Assert(t, d.Durable && unsettled() == 0, "what left before is durable")
	assert.Assert(t, d.Since == 5 && d.Message.GetSequence() == math.MaxUint64)
	change, _ := l.Remove("b2", 7)
	assert.Assert(t, change.Left && unsettled() == 1, "not known to this VM")
	announce(t, l, announcement("b3", "10.0.0.3:80", "ready", 100, 4))
	timers.Step(5 * time.Second)
	assert.Assert(t, l.Expire())
	announce(t, l, announcement("b3", "10.0.0.3:80", "leaving", 100, 5))
	d, _ = l.Departure("b3")
	assert.Equal(t, d.Message.GetSequence(), uint64(5), "its announcements had stopped before")
}

// Guards against departures that are kept without a bound, or of which the newest are
// dropped.
func TestDeparturesAreBounded(t *testing.T) {
	l, timers := newLog()
	l.MaxDepartures = 100
	for i := range 1000 {
		timers.Step(time.Second)
		l.Remove(fmt.Sprint("b", i), 5)
		if i%10 == 0 {
			l.Expire()
		}
	}
	kept := 0
	for i := range 1000 {
		if _, held := l.Departure(fmt.Sprint("b", i)); held {
			kept++
		} else {
			assert.Assert(t, i < 910, "b%d is dropped", i)
		}
	}
	assert.Assert(t, kept > 90 && kept <= 100, "%d kept", kept)
	assert.Assert(t, len(l.Departures(0)) <= 71, "sent to VMs without a position")
}

// Guards against a watcher that misses a leave because it was away for longer than its
// record is kept.
func TestForgottenPositions(t *testing.T) {
	l, timers := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 4))
	_, position := l.Content(0)
	assert.Assert(t, l.Forgotten() <= position)
	l.Remove("b1", 100)
	timers.Step(2 * time.Minute)
	l.Expire()
	list, _ := l.Content(position)
	assert.Equal(t, len(list), 0)
	assert.Assert(t, l.Forgotten() > position)
	_, position = l.Content(0)
	assert.Assert(t, l.Forgotten() <= position)
}

// Guards against an entry VM that uses a backend server of which only the departure is
// sent.
func TestTableAppliesDepartures(t *testing.T) {
	table := dhbackend.Table{Lease: time.Hour, MaxBackends: 4}
	now := dhtimer.NewStepped().Now()
	row := func(incarnation, sequence uint64) *dhbackend.Backend {
		return &dhbackend.Backend{ID: "b1", Address: "10.0.0.1:80", Pool: "p", State: dhbackend.Ready, Incarnation: incarnation, Sequence: sequence, Seen: now}
	}
	assert.NilError(t, table.Announce(row(100, 4)))
	assert.Assert(t, !table.Depart(&dhpb.Departure{Id: "b1", Incarnation: 99, Sequence: math.MaxUint64}))
	assert.Assert(t, table.Depart(&dhpb.Departure{Id: "b1", Incarnation: 100, Sequence: 5}))
	assert.NilError(t, table.Announce(row(100, 5)))
	assert.Equal(t, table.View(now).Len(), 0)
	assert.NilError(t, table.Announce(row(101, 1)))
	assert.Equal(t, table.View(now).Len(), 1)
}
