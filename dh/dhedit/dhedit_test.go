package dhedit_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

// registers is a register store that counts updates and can fail the next
// operation on a key with a given prefix, before or after it is applied.
type registers struct {
	dhquorum.Memory
	mu      sync.Mutex
	updates int
	lose    string // prefix of keys whose next update is applied but returns an error
	refuse  string // prefix of keys whose next update or read fails without effect
}

func (r *registers) take(prefix *string, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *prefix == "" || !strings.HasPrefix(key, *prefix) {
		return false
	}
	*prefix = ""
	return true
}

func (r *registers) Update(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	r.mu.Lock()
	r.updates++
	r.mu.Unlock()
	if r.take(&r.refuse, key) {
		return nil, dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	}
	value, err := r.Memory.Update(ctx, key, f)
	if r.take(&r.lose, key) {
		return nil, dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	}
	return value, err
}

func (r *registers) Read(ctx context.Context, key string) ([]byte, error) {
	if r.take(&r.refuse, key) {
		return nil, dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	}
	return r.Memory.Read(ctx, key)
}

func tablesText(t *testing.T, share int) []byte {
	t.Helper()
	data, err := os.ReadFile("../dhtable/testdata/tringles.json")
	assert.NilError(t, err)
	s := strings.Replace(string(data), `"share": 95`, fmt.Sprintf(`"share": %d`, share), 1)
	return []byte(strings.Replace(s, `"share": 5`, fmt.Sprintf(`"share": %d`, 100-share), 1))
}

func newEditor(store dhedit.Register) *dhedit.Editor {
	return &dhedit.Editor{Registers: store, Revisions: &dhedit.Revisions{Timers: dhtimer.NewStepped()}}
}

func newEdit(t *testing.T, id string, base uint64) dhedit.Edit {
	return dhedit.Edit{ID: id, Base: base, Author: "author of " + id, Text: tablesText(t, 90)}
}

// decideUpTo creates the revisions up to n through e.
func decideUpTo(t *testing.T, e *dhedit.Editor, n uint64) {
	t.Helper()
	for base := e.Revisions.NewestNumber(); base < n; base++ {
		_, err := e.Edit(t.Context(), newEdit(t, fmt.Sprintf("edit-%d", base+1), base))
		assert.NilError(t, err)
	}
}

// Guards against two edits that win the same revision, and against a losing edit
// whose answer does not identify the winner.
func TestOperatorsRace(t *testing.T) {
	store := &registers{}
	const operators = 12
	revisions, errs := make([]uint64, operators), make([]error, operators)
	group := dhgroup.New(t.Context())
	for i := range operators {
		group.Go(func(ctx context.Context) error {
			revisions[i], errs[i] = newEditor(store).Edit(ctx, newEdit(t, fmt.Sprint(i), 0))
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	winner := -1
	for i, err := range errs {
		if err == nil {
			assert.Equal(t, winner, -1, "edits %d and %d won", winner, i)
			assert.Equal(t, revisions[i], uint64(1))
			winner = i
		}
	}
	assert.Assert(t, winner >= 0)
	for i, err := range errs {
		if i == winner {
			continue
		}
		var conflict *dhedit.Conflict
		assert.Equal(t, dhcode.Of(err), dhcode.EditConflict)
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, *conflict, dhedit.Conflict{EditID: fmt.Sprint(winner), Author: fmt.Sprintf("author of %d", winner), Revision: 1})
	}
}

// Guards against an edit whose answer changes when it is resent: through
// another editor, after later revisions, after compaction, or with other
// content under the same id.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	for _, lost := range []string{"edit/", "revision/"} {
		store := &registers{lose: lost}
		first := newEdit(t, "first", 0)
		_, err := newEditor(store).Edit(t.Context(), first)
		assert.Equal(t, dhcode.Of(err), dhcode.EditUnknown)

		checkResend := func() {
			t.Helper()
			other := newEditor(store)
			revision, err := other.Edit(t.Context(), first)
			assert.NilError(t, err)
			assert.Equal(t, revision, uint64(1))
			_, err = other.Edit(t.Context(), newEdit(t, "loser", 0))
			assert.Equal(t, dhcode.Of(err), dhcode.EditConflict)
			reused := first
			reused.Text = tablesText(t, 80)
			_, err = other.Edit(t.Context(), reused)
			assert.Equal(t, dhcode.Of(err), dhcode.EditIDReused)
		}
		checkResend()
		e := newEditor(store)
		_, err = dhedit.CatchUp(t.Context(), store, e.Revisions)
		assert.NilError(t, err)
		decideUpTo(t, e, 3)
		checkResend()
		decideUpTo(t, e, dhedit.KeepTables+70)
		for range 2 {
			assert.NilError(t, e.Compact(t.Context()))
		}
		value, err := store.Read(t.Context(), "revision/70")
		assert.NilError(t, err)
		assert.Assert(t, len(value) < 200, "%d bytes are left of a compacted revision", len(value))
		value, err = store.Read(t.Context(), "revision/71")
		assert.NilError(t, err)
		assert.Assert(t, len(value) > 500)
		checkResend()
	}
}

// Guards against an edit that is reported as rejected although it may be in force.
func TestNoQuorumGivesEditUnknown(t *testing.T) {
	store := &registers{}
	decideUpTo(t, newEditor(store), 1)
	for _, key := range []string{"revision/1", "edit/", "revision/2"} {
		store.refuse = key
		_, err := newEditor(store).Edit(t.Context(), newEdit(t, "second", 1))
		assert.Equal(t, dhcode.Of(err), dhcode.EditUnknown, key)
	}
	revision, err := newEditor(store).Edit(t.Context(), newEdit(t, "second", 1))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(2))
}

// Guards against a rejected edit that reserves its id or a revision.
func TestRefusedEditsWriteNothing(t *testing.T) {
	store := &registers{}
	for code, e := range map[dhcode.Code]dhedit.Edit{
		dhcode.TablesInvalid:       {ID: "a", Text: []byte(`{"format": 2}`)},
		dhcode.RequestMalformed:    {Text: tablesText(t, 90)},
		dhcode.BaseRevisionUnknown: newEdit(t, "a", 7),
	} {
		_, err := newEditor(store).Edit(t.Context(), e)
		assert.Equal(t, dhcode.Of(err), code)
	}
	assert.Equal(t, store.updates, 0)
}

// Guards against a restarted VM that misses the newest revision, reverts to an
// older one, or reads every intermediate revision.
func TestCatchUp(t *testing.T) {
	store := &registers{}
	e := newEditor(store)
	for n := range uint64(70) {
		decideUpTo(t, e, n)
		for _, known := range []uint64{0, n / 2, n} {
			revisions := &dhedit.Revisions{Timers: dhtimer.NewStepped()}
			if known > 0 {
				r, err := dhedit.FromMessage(e.Revisions.Fetch(known))
				assert.NilError(t, err)
				assert.Assert(t, revisions.Apply(r))
			}
			got, err := dhedit.CatchUp(t.Context(), store, revisions)
			assert.NilError(t, err)
			assert.Equal(t, got, n, "from %d", known)
			assert.Equal(t, revisions.NewestNumber(), n)
			assert.NilError(t, dhedit.Backfill(t.Context(), store, revisions, 1000))
			assert.DeepEqual(t, revisions.History(1000), e.Revisions.History(1000))
		}
	}
	old, err := dhedit.FromMessage(e.Revisions.Fetch(5))
	assert.NilError(t, err)
	assert.Assert(t, !e.Revisions.Apply(old))
	assert.Equal(t, e.Revisions.NewestNumber(), uint64(69))
}

// Guards against kept tables and headers that grow without bound.
func TestRevisionsAreBounded(t *testing.T) {
	store := &registers{}
	timers := dhtimer.NewStepped()
	e := newEditor(store)
	e.Revisions.Timers = timers
	decideUpTo(t, e, 150)
	assert.Assert(t, !e.Revisions.Fetch(50).GetFound())
	assert.Equal(t, e.Revisions.Fetch(50).GetHeader().GetEditId(), "edit-50")
	assert.Assert(t, e.Revisions.Fetch(51).GetFound())
	timers.Step(dhedit.KeepHeaders + time.Second)
	decideUpTo(t, e, 151)
	assert.Equal(t, len(e.Revisions.History(1000)), 1)
}

// Guards against a lease that starts when the answer arrives instead of when the
// request is sent.
func TestLeaseStartsWhenRequestIsSent(t *testing.T) {
	timers := dhtimer.NewStepped()
	lease := dhedit.Lease{Timers: timers, Duration: dhedit.LeaseDuration}
	assert.Assert(t, !lease.Valid(timers.Now()))
	assert.NilError(t, lease.Refresh(t.Context(), func(context.Context) error {
		timers.Step(2 * time.Second)
		return nil
	}))
	old := timers.Now()
	assert.Assert(t, lease.Valid(old.Add(999*time.Millisecond)))
	assert.Assert(t, !lease.Valid(old.Add(time.Second)))
	lease.Renew(old)
	lease.Renew(old.Add(-time.Hour))
	assert.Assert(t, lease.Valid(old.Add(2*time.Second)))
}
