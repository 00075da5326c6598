package dhbackend_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

func newLog() (*dhbackend.Registry, *dhtimer.Stepped) {
	timers := dhtimer.NewStepped()
	return &dhbackend.Registry{Timers: timers, Lease: 4 * time.Second, KeepLeaving: time.Minute, MaxBackends: 8}, timers
}

func announcement(id, address, state string, incarnation, sequence uint64) *dhpb.BackendRecord {
	return &dhpb.BackendRecord{Id: id, Address: address, Pool: "p", State: state, Incarnation: incarnation, Sequence: sequence}
}

func announce(t *testing.T, l *dhbackend.Registry, r *dhpb.BackendRecord) dhbackend.Change {
	t.Helper()
	c, err := l.Announce(r)
	assert.NilError(t, err)
	return c
}

// renewals returns the renewals after a position.
func renewals(l *dhbackend.Registry, position uint64, receivesFrom func(source string) bool) []*dhpb.BackendRenewal {
	list, _ := l.Renewals(position, receivesFrom)
	return list
}

func usableStates(l *dhbackend.Registry) map[string]string {
	all := map[string]string{}
	for _, b := range l.Backends() {
		all[b.ID] = b.State.String()
	}
	return all
}

// Guards against a backend server that a delayed announcement adds again: an
// announcement of the incarnation that left, of an earlier incarnation with the
// same id, or of one whose address a later incarnation uses.
func TestLateAnnouncementDoesNotRestoreBackend(t *testing.T) {
	l, timers := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 5))
	assert.Assert(t, announce(t, l, announcement("b1", "10.0.0.1:80", "leaving", 100, 6)).Left)
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 4))
	assert.DeepEqual(t, usableStates(l), map[string]string{})
	l.Remove("b1", 100)
	timers.Step(30 * time.Second)
	l.Expire()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 9))
	assert.DeepEqual(t, usableStates(l), map[string]string{})

	announce(t, l, announcement("b1", "10.0.0.1:80", "cold", 200, 1))
	assert.DeepEqual(t, usableStates(l), map[string]string{"b1": "cold"})
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 10))
	assert.DeepEqual(t, usableStates(l), map[string]string{"b1": "cold"})

	announce(t, l, announcement("b2", "10.0.0.1:80", "ready", 300, 1))
	assert.DeepEqual(t, usableStates(l), map[string]string{"b2": "ready"})
	l.Remove("b2", 299) // of an earlier incarnation
	assert.DeepEqual(t, usableStates(l), map[string]string{"b2": "ready"})
}

// Guards against a backend server that stays removed after a network partition
// from which no announcements arrived, and against one that is kept although its
// announcements no longer arrive.
func TestExpiryAndReturn(t *testing.T) {
	l, timers := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 5))
	timers.Step(3 * time.Second)
	assert.Assert(t, !l.Expire())
	timers.Step(2 * time.Second)
	assert.Assert(t, l.Expire())
	assert.DeepEqual(t, usableStates(l), map[string]string{})
	c := announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 6))
	assert.Assert(t, c.Content)
	assert.DeepEqual(t, usableStates(l), map[string]string{"b1": "ready"})

	old := announcement("b2", "10.0.0.2:80", "ready", 100, 1)
	old.AnnouncementAge = durationpb.New(5 * time.Second)
	announce(t, l, old)
	assert.Assert(t, l.Expire())
}

func receivesFromNone(string) bool { return false }

func renewal(id string, incarnation, sequence uint64) *dhpb.BackendRenewal {
	return &dhpb.BackendRenewal{Id: id, Incarnation: incarnation, Sequence: sequence}
}

// Guards against renewals that every control VM forwards to every other, so that
// their number grows with the square of the number of control VMs, and against
// two control VMs that cannot reach each other and miss renewals that a third
// one could forward.
func TestRenewalsAreForwardedOnce(t *testing.T) {
	l, _ := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 1))
	_, position := l.Content(0)
	l.Renew(renewal("b1", 100, 2), "c1")
	assert.Equal(t, len(renewals(l, position, func(source string) bool { return source == "c1" })), 0)
	assert.Equal(t, len(renewals(l, position, receivesFromNone)), 1)
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 3))
	assert.Equal(t, len(renewals(l, position, func(string) bool { return true })), 1)
}

// Guards against a renewal that adds a backend server that has left or another
// incarnation of it, and against one that does not end an expiry.
func TestRenewalsRenewOnly(t *testing.T) {
	l, timers := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 1))
	assert.Assert(t, l.Renew(renewal("b1", 100, 3), "c1") == nil)
	timers.Step(3 * time.Second)
	assert.Assert(t, l.Renew(renewal("b1", 100, 2), "c1") == nil, "late")
	assert.Assert(t, l.Renew(renewal("b1", 99, 9), "c1") == nil, "another start")
	timers.Step(2 * time.Second)
	assert.Assert(t, l.Expire())
	assert.DeepEqual(t, usableStates(l), map[string]string{})
	returned := l.Renew(renewal("b1", 100, 4), "c1")
	assert.Equal(t, returned.GetState(), "ready")
	assert.DeepEqual(t, usableStates(l), map[string]string{"b1": "ready"})

	announce(t, l, announcement("b1", "10.0.0.1:80", "leaving", 100, 5))
	assert.Assert(t, l.Renew(renewal("b1", 100, 6), "c1") == nil)
	assert.DeepEqual(t, usableStates(l), map[string]string{})
	l.Remove("b1", 100)
	assert.Assert(t, l.Renew(renewal("b1", 100, 7), "c1") == nil)
	assert.DeepEqual(t, usableStates(l), map[string]string{})
}

// Guards against watchers that miss a change or receive every announcement.
func TestPositions(t *testing.T) {
	l, _ := newLog()
	announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 1))
	records, position := l.Content(0)
	assert.Equal(t, len(records), 1)
	assert.Assert(t, !announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 2)).Content)
	records, _ = l.Content(position)
	assert.Equal(t, len(records), 0)
	assert.Equal(t, len(renewals(l, position, receivesFromNone)), 1)
	_, position = l.Content(position)
	assert.Equal(t, len(renewals(l, position, receivesFromNone)), 0)
	announce(t, l, announcement("b1", "10.0.0.1:80", "leaving", 100, 3))
	records, _ = l.Content(position)
	assert.Equal(t, records[0].GetState(), "leaving")
}

// Guards against malformed announcements that stop the registry instead of being
// refused, and against a registry that grows without bound.
func TestLogRefuses(t *testing.T) {
	l, _ := newLog()
	_, err := l.Announce(announcement("b1", "", "ready", 1, 1))
	assert.Equal(t, dhcode.Of(err), dhcode.RequestMalformed)
	for i := range 9 {
		_, err = l.Announce(announcement(string(rune('a'+i)), "10.0.0.1:80", "ready", 1, 1))
	}
	assert.Equal(t, dhcode.Of(err), dhcode.TableFull)
}

// Guards against an entry VM that keeps a backend server whose record expired at
// the control VM without a new sequence.
func TestTableTakesExpiredRecord(t *testing.T) {
	table := dhbackend.Table{Lease: time.Hour, MaxBackends: 8}
	now := time.Now()
	ready := &dhbackend.Backend{ID: "b1", Pool: "p", State: dhbackend.Ready, Incarnation: 1, Sequence: 7, Seen: now}
	assert.NilError(t, table.Announce(ready))
	left := *ready
	left.State = dhbackend.Leaving
	assert.NilError(t, table.Announce(&left))
	assert.Equal(t, table.View(now).Len(), 0)
	assert.NilError(t, table.Announce(ready))
	assert.Equal(t, table.View(now).Len(), 0)
	table.Retain(func(string) bool { return false })
	_, ok := table.Get("b1")
	assert.Assert(t, !ok)
}

// Guards against a backend server that gets requests again after it announced that
// it leaves: on one control VM its lease had ended shortly before, which the others
// knew, so that its leave changed nothing for them and came back to the first one as
// a renewal of the state before (scenario cold-and-silent --vary --seed 963960140557,
// DRAIN).
func TestLeaveAfterExpiryIsNoRenewal(t *testing.T) {
	first, timers := newLog()
	second := &dhbackend.Registry{Timers: timers, Lease: 4 * time.Second, KeepLeaving: time.Minute, MaxBackends: 8}
	for _, l := range []*dhbackend.Registry{first, second} {
		announce(t, l, announcement("b1", "10.0.0.1:80", "ready", 100, 24))
	}
	timers.Step(5 * time.Second)
	assert.Assert(t, first.Expire())
	records, _ := first.Content(1)
	assert.Equal(t, len(records), 1)
	_, err := second.AddForwarded(records[0], "first")
	assert.NilError(t, err)
	_, position := second.Content(0)

	announce(t, second, announcement("b1", "10.0.0.1:80", "leaving", 100, 29))
	list, leaving := second.Renewals(position, receivesFromNone)
	for _, n := range list {
		first.Renew(n, "second")
	}
	for _, r := range leaving {
		_, err := first.AddForwarded(r, "second")
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, usableStates(first), map[string]string{})
	announce(t, first, announcement("b1", "10.0.0.1:80", "ready", 100, 28)) // delayed
	assert.DeepEqual(t, usableStates(first), map[string]string{})
}
