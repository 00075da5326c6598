package dhedit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhquorum"
)

// interleaved is a register store that runs other edits before and after its
// operations, and makes some operations fail, lose their answers or take effect
// late.
type interleaved struct {
	dhquorum.Memory
	rng       *rand.Rand
	depth     int
	other     func()
	late      []func()
	overwrite bool // violate the rule that a revision is set once
}

func (r *interleaved) interrupt() {
	if r.depth < 4 && r.rng.IntN(4) == 0 {
		r.depth++
		r.other()
		r.depth--
	}
	if len(r.late) > 0 && r.rng.IntN(3) == 0 {
		apply := r.late[0]
		r.late = r.late[1:]
		apply()
	}
}

func (r *interleaved) Update(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	r.interrupt()
	defer r.interrupt()
	apply := func() ([]byte, error) { return r.Memory.Update(ctx, key, f) }
	if r.overwrite && strings.HasPrefix(key, "revision/") && r.rng.IntN(4) == 0 {
		return r.Memory.Update(ctx, key, func([]byte) ([]byte, error) { return f(nil) })
	}
	unreachable := dhcode.Errorf(dhcode.QuorumUnreachable, "no quorum")
	switch r.rng.IntN(10) {
	case 0:
		return nil, unreachable
	case 1:
		_, _ = apply()
		return nil, unreachable
	case 2:
		r.late = append(r.late, func() { _, _ = apply() })
		return nil, unreachable
	}
	return apply()
}

// answers records the answers to each edit.
type answers struct {
	won  map[string]uint64
	lost map[string]dhedit.Conflict
	err  error
}

func (a *answers) add(id string, revision uint64, err error) {
	var conflict *dhedit.Conflict
	switch {
	case err == nil:
		if first, ok := a.won[id]; ok && first != revision {
			a.err = fmt.Errorf("edit %s won revisions %d and %d", id, first, revision)
		}
		a.won[id] = revision
	case errors.As(err, &conflict):
		if first, ok := a.lost[id]; ok && first != *conflict {
			a.err = fmt.Errorf("edit %s lost to %v and to %v", id, first, *conflict)
		}
		a.lost[id] = *conflict
	case dhcode.Of(err) != dhcode.EditUnknown:
		a.err = fmt.Errorf("edit %s: %w", id, err)
	}
}

// check verifies from the recorded answers alone that every edit has one answer
// and every revision one winner, and that each losing edit was answered with the
// winner.
func (a *answers) check(newest uint64) error {
	winners := make(map[uint64]string)
	for id, revision := range a.won {
		if other, ok := winners[revision]; ok {
			return fmt.Errorf("edits %s and %s won revision %d", id, other, revision)
		}
		if _, ok := a.lost[id]; ok {
			return fmt.Errorf("edit %s won and lost", id)
		}
		winners[revision] = id
	}
	for id, c := range a.lost {
		if winners[c.Revision] != c.EditID {
			return fmt.Errorf("edit %s lost revision %d to %s, but %q won", id, c.Revision, c.EditID, winners[c.Revision])
		}
	}
	if len(winners) != int(newest) {
		return fmt.Errorf("%d edits won %d revisions", len(winners), newest)
	}
	return a.err
}

// Guards against two winners, two answers to one edit or a wrong winner in a
// conflict, under races, resends, lost answers and late writes. The second round
// violates the rule that a revision is set once, which the check must detect.
func TestSchedules(t *testing.T) {
	for _, overwrite := range []bool{false, true} {
		caught, revisions := 0, uint64(0)
		for seed := range uint64(200) {
			newest, err := editSchedule(t, seed, overwrite)
			revisions += newest
			if !overwrite {
				assert.NilError(t, err, "seed %d", seed)
			}
			if err != nil {
				caught++
			}
		}
		t.Logf("overwrite %v: %d of 200 seeds caught, %d revisions", overwrite, caught, revisions)
		assert.Equal(t, caught > 0, overwrite)
	}
}

func editSchedule(t *testing.T, seed uint64, overwrite bool) (uint64, error) {
	rng := rand.New(rand.NewPCG(seed, 5))
	store := &interleaved{rng: rng, overwrite: overwrite}
	editors := []*dhedit.Editor{newEditor(store), newEditor(store), newEditor(store)}
	got := &answers{won: make(map[string]uint64), lost: make(map[string]dhedit.Conflict)}
	var sent []dhedit.Edit
	store.other = func() {
		e := editors[rng.IntN(len(editors))]
		var next dhedit.Edit
		if len(sent) > 0 && rng.IntN(3) == 0 {
			next = sent[rng.IntN(len(sent))] // a resend
		} else {
			id := fmt.Sprint(len(sent))
			next = dhedit.Edit{ID: id, Base: e.Revisions.NewestNumber(), Author: "ines", Text: []byte(`{"format": 1} // ` + id + "\n")}
			sent = append(sent, next)
		}
		revision, err := e.Edit(t.Context(), next)
		got.add(next.ID, revision, err)
	}
	for range 12 {
		store.other()
		if rng.IntN(3) == 0 {
			_, _ = dhedit.CatchUp(t.Context(), store, editors[rng.IntN(3)].Revisions)
		}
	}
	for _, apply := range store.late {
		apply()
	}
	last := newEditor(&store.Memory)
	for _, e := range sent {
		revision, err := last.Edit(t.Context(), e)
		got.add(e.ID, revision, err)
	}
	newest, err := dhedit.CatchUp(t.Context(), &store.Memory, last.Revisions)
	assert.NilError(t, err)
	return newest, got.check(newest)
}
