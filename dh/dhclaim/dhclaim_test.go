package dhclaim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

const seeds = 200

// Guards against a request that runs twice, or that runs although the caller
// was told "not run", under crashes, lost responses, delayed writes and
// take-overs.
func TestSchedules(t *testing.T) {
	runs := 0
	for seed := range uint64(seeds) {
		s := runSchedule(seed, noFault)
		assert.NilError(t, s.check(), "seed %d", seed)
		runs += s.runs["key-0"] + s.runs["key-1"]
	}
	t.Logf("%d requests ran in %d seeds", runs, seeds)
	assert.Assert(t, runs > seeds, "too few requests ran to exercise the checks")
}

// Guards against a checker that accepts a faulty protocol: each injected fault
// must be detected, also by the linearizability check alone.
func TestBrokenRulesAreCaught(t *testing.T) {
	for name, injected := range map[string]fault{
		"dispatch without claim": dispatchWithoutClaim, "ignore the attempt": ignoreAttempt, "close without register": closeWithoutRegister,
	} {
		caught, notLinearizable := 0, 0
		for seed := range uint64(seeds) {
			s := runSchedule(seed, injected)
			if s.check() != nil {
				caught++
			}
			s.runs = nil
			if s.check() != nil {
				notLinearizable++
			}
		}
		t.Logf("%s: detected in %d of %d seeds, by the linearizability check alone in %d", name, caught, seeds, notLinearizable)
		assert.Assert(t, caught > 0 && notLinearizable > 0, name)
	}
}

type testEnv struct {
	store  dhquorum.Memory
	timers *dhtimer.Stepped
	gone   map[string]bool
}

func newTestEnv() *testEnv {
	return &testEnv{timers: dhtimer.NewStepped(), gone: make(map[string]bool)}
}

func (w *testEnv) vm(owner string) *Claims {
	return &Claims{
		Registers: &w.store, Timers: w.timers, Owner: owner,
		OwnerStopped: func(owner string) bool { return w.gone[owner] },
	}
}

func request(key string) Request {
	return Request{Account: "crew-east", Key: key, ID: "request-1", Hash: [32]byte{1}}
}

func take(t *testing.T, c *Claims, r Request) *Claim {
	t.Helper()
	claim, status, err := c.Take(t.Context(), r)
	assert.NilError(t, err)
	assert.Assert(t, status == nil && claim != nil)
	return claim
}

func codeOfTake(t *testing.T, c *Claims, r Request) dhcode.Code {
	t.Helper()
	_, _, err := c.Take(t.Context(), r)
	return dhcode.Of(err)
}

// Guards against an owner that dispatches, finishes or closes its attempt after
// another VM has taken the claim over.
func TestOldAttemptLoses(t *testing.T) {
	w := newTestEnv()
	a, b := w.vm("a"), w.vm("b")
	first := take(t, a, request("k"))
	assert.Equal(t, codeOfTake(t, b, request("k")), dhcode.InProgress)
	w.timers.Step(TakeOverAfter)
	second := take(t, b, request("k"))
	assert.Equal(t, second.Attempt(), uint64(2))
	assert.Equal(t, dhcode.Of(a.Dispatch(t.Context(), first)), dhcode.InProgress)
	assert.NilError(t, b.Dispatch(t.Context(), second))
	assert.Assert(t, b.Dispatch(t.Context(), second) != nil, "a claim was dispatched twice")

	// A late Finish of the old attempt must fail, even without the local check.
	answer := &dhpb.AskResponse{Text: "cut list"}
	assert.Equal(t, dhcode.Of(a.Finish(t.Context(), first, dhcode.OK, answer)), dhcode.Internal)
	first.dispatched = true
	assert.Equal(t, dhcode.Of(a.Finish(t.Context(), first, dhcode.OK, answer)), dhcode.InProgress)
	assert.Equal(t, dhcode.Of(a.Close(t.Context(), first)), dhcode.InProgress)

	assert.NilError(t, b.Finish(t.Context(), second, dhcode.OK, answer))
	_, status, err := a.Take(t.Context(), request("k"))
	assert.NilError(t, err)
	assert.Equal(t, status.Answer.GetText(), "cut list")
	other := request("k")
	other.Hash = [32]byte{2}
	assert.Equal(t, codeOfTake(t, a, other), dhcode.KeyReused)
}

// Guards against an owner that crashes between two steps and leaves a key that
// stays unusable or a request that runs a second time.
func TestCrashBetweenSteps(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(c *Claims, claim *Claim)
		want  dhcode.Code
	}{
		{"taken", func(*Claims, *Claim) {}, dhcode.OK},
		{"dispatched", func(c *Claims, claim *Claim) { _ = c.Dispatch(context.Background(), claim) }, dhcode.OutcomeUnknown},
		{"broken", func(c *Claims, claim *Claim) {
			_ = c.Dispatch(context.Background(), claim)
			_ = c.Break(context.Background(), claim)
		}, dhcode.OutcomeUnknown},
		{"closed", func(c *Claims, claim *Claim) { _ = c.Close(context.Background(), claim) }, dhcode.ClosedNotRun},
	} {
		w := newTestEnv()
		a, b := w.vm("a"), w.vm("b")
		c.steps(a, take(t, a, request("k")))
		w.gone["a"] = true
		assert.Equal(t, codeOfTake(t, b, request("k")), c.want, c.name)
		assert.Equal(t, codeOfTake(t, w.vm("c"), request("k")) == dhcode.OK, false, c.name)
	}
}

// Guards against more than one dispatch when several VMs take the same key
// concurrently.
func TestConcurrentResends(t *testing.T) {
	w := newTestEnv()
	owners := make([]bool, 16)
	group := dhgroup.New(t.Context())
	for i := range owners {
		group.Go(func(ctx context.Context) error {
			c := w.vm(fmt.Sprint(i / 2))
			claim, _, err := c.Take(ctx, request("k"))
			owners[i] = err == nil && c.Dispatch(ctx, claim) == nil
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	dispatched := 0
	for _, ok := range owners {
		if ok {
			dispatched++
		}
	}
	assert.Equal(t, dispatched, 1)
}

// Guards against a stored answer that is truncated or larger than
// MaxAnswerBytes.
func TestLargeAnswers(t *testing.T) {
	w := newTestEnv()
	a := w.vm("a")
	for size, want := range map[int]dhcode.Code{MaxAnswerBytes / 2: dhcode.OK, MaxAnswerBytes + 1: dhcode.AnswerNotKept} {
		r := request(fmt.Sprint(size))
		claim := take(t, a, r)
		assert.NilError(t, a.Dispatch(t.Context(), claim))
		text := strings.Repeat("x", size)
		assert.NilError(t, a.Finish(t.Context(), claim, dhcode.OK, &dhpb.AskResponse{Text: text}))
		status, err := a.Outcome(t.Context(), r.Account, r.Key)
		assert.NilError(t, err)
		assert.Equal(t, status.State, Done)
		assert.Equal(t, status.Code, want)
		assert.Assert(t, status.Answer == nil || status.Answer.GetText() == text)
		assert.Equal(t, codeOfTake(t, a, r), want)
	}
}

// Guards against a key that can be taken again after its claim has expired: with
// and without an issue time, before and after compaction by the voters, and on a
// VM with an old reading of the retention clock.
func TestExpiredKeysStayExpired(t *testing.T) {
	w := newTestEnv()
	a, b := w.vm("a"), w.vm("b")
	keys := []string{"plain", fmt.Sprintf("t%d-k", w.timers.Now().Unix()), fmt.Sprintf("t%d-future", w.timers.Now().Add(time.Hour).Unix())}
	for _, key := range keys {
		claim := take(t, a, request(key))
		assert.NilError(t, a.Dispatch(t.Context(), claim))
		assert.NilError(t, a.Finish(t.Context(), claim, dhcode.OK, &dhpb.AskResponse{Text: "answer"}))
	}
	advanceHours := func(hours int) {
		for range hours * 6 {
			w.timers.Step(10 * time.Minute)
			assert.NilError(t, a.Maintain(t.Context()))
		}
	}
	advanceHours(23)
	for _, key := range keys {
		_, status, err := b.Take(t.Context(), request(key))
		assert.NilError(t, err)
		assert.Equal(t, status.Answer.GetText(), "answer", key)
	}
	advanceHours(4)
	clock, err := w.store.Read(t.Context(), ClockKey)
	assert.NilError(t, err)
	dropped := 0
	for _, compacted := range []bool{false, true} {
		for _, key := range keys {
			register := registerKey("crew-east", key)
			if compacted {
				_, _ = w.store.Update(t.Context(), register, func(old []byte) ([]byte, error) {
					kept, keep := Compact(register, old, clock, 0)
					assert.Assert(t, len(kept) < 30)
					if !keep {
						dropped++
					}
					return kept, nil
				})
			}
			assert.Equal(t, codeOfTake(t, b, request(key)), dhcode.KeyExpired, "%s, compacted %v", key, compacted)
			_, err := b.Outcome(t.Context(), "crew-east", key)
			assert.Equal(t, dhcode.Of(err), dhcode.KeyExpired, key)
		}
	}
	assert.Equal(t, dropped, 2)
}

// pausedRegister calls pause once, before the next update of a claim is applied.
type pausedRegister struct {
	Register
	pause func()
}

func (p *pausedRegister) Update(ctx context.Context, key string, f func([]byte) ([]byte, error)) ([]byte, error) {
	if pause := p.pause; pause != nil && key != ClockKey {
		p.pause = nil
		pause()
	}
	return p.Register.Update(ctx, key, f)
}

// Guards against a VM that is paused between reading the retention clock and
// writing the claim until the voters have deleted the claim, and that then takes
// the key as unused or dispatches the deleted attempt.
func TestPausedOwnerFindsKeyExpired(t *testing.T) {
	for _, key := range []string{"plain", fmt.Sprintf("t%d-k", dhtimer.NewStepped().Now().Unix())} {
		w := newTestEnv()
		a, b := w.vm("a"), w.vm("b")
		paused := &pausedRegister{Register: &w.store}
		a.Registers = paused
		first := take(t, a, request(key))
		w.timers.Step(TakeOverAfter)
		assert.Equal(t, codeOfTake(t, b, request(key)), dhcode.InProgress)
		w.timers.Step(TakeOverAfter)
		second := take(t, b, request(key))
		assert.NilError(t, b.Dispatch(t.Context(), second))
		assert.NilError(t, b.Finish(t.Context(), second, dhcode.OK, nil))
		assert.Equal(t, dhcode.Of(a.Close(t.Context(), first)), dhcode.InProgress)
		paused.pause = func() {
			for range 27 * 6 {
				w.timers.Step(10 * time.Minute)
				assert.NilError(t, b.Maintain(t.Context()))
			}
			clock, err := w.store.Read(t.Context(), ClockKey)
			assert.NilError(t, err)
			_, err = w.store.Update(t.Context(), second.key, func(old []byte) ([]byte, error) {
				kept, _ := Compact(second.key, old, clock, 0)
				return kept, nil
			})
			assert.NilError(t, err)
		}
		assert.Equal(t, codeOfTake(t, a, request(key)), dhcode.KeyExpired, key)
		assert.Assert(t, paused.pause == nil)
		second.dispatched = false
		assert.Assert(t, b.Dispatch(t.Context(), second) != nil, key)
	}
}

// Guards against a retention clock that runs faster than real time, because
// several VMs advance it concurrently or one VM advances it after a long pause.
func TestRetentionClockIsNotFast(t *testing.T) {
	w := newTestEnv()
	vms := []*Claims{w.vm("a"), w.vm("b"), w.vm("c")}
	start := w.timers.Now()
	for i := range 500 {
		w.timers.Step(time.Duration(i%40) * time.Minute)
		assert.NilError(t, vms[i%3].Maintain(t.Context()))
		assert.NilError(t, vms[(i+1)%3].Maintain(t.Context()))
		now, err := vms[i%3].readClock(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, now <= w.timers.Now().Unix(), "step %d", i)
	}
	assert.Assert(t, w.timers.Now().Sub(start) > 100*time.Hour)
}

// Guards against an older release that drops unknown fields written by a newer
// one.
func TestUnknownFieldsAreKept(t *testing.T) {
	w := newTestEnv()
	a := w.vm("a")
	claim := take(t, a, request("k"))
	field := protowire.AppendTag(nil, 900, protowire.BytesType)
	field = protowire.AppendString(field, "from a newer release")
	add := func(old []byte) ([]byte, error) { return append(old, field...), nil }
	_, err := w.store.Update(t.Context(), claim.key, add)
	assert.NilError(t, err)
	assert.NilError(t, a.Dispatch(t.Context(), claim))
	assert.NilError(t, a.Finish(t.Context(), claim, dhcode.OK, nil))
	value, err := w.store.Read(t.Context(), claim.key)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(value), "from a newer release"))
}

// Guards against two accounts whose keys map to the same register.
func TestAccountsDoNotShareKeys(t *testing.T) {
	assert.Assert(t, registerKey("a/b", "c") != registerKey("a", "b/c"))
}
