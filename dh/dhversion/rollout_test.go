package dhversion_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhversion"
)

// of returns counts of one class.
func of(c dhversion.Counts) dhversion.ClassCounts { return dhversion.ClassCounts{"plan": c} }

// Guards against a session that leaves the target when the share is raised, and
// against a fraction of sessions that does not match the share.
func TestGrowingShareKeepsSessions(t *testing.T) {
	small, large := dhversion.Rollout{Target: "v2", Share: 0.1}, dhversion.Rollout{Target: "v2", Share: 0.5}
	on := 0
	for i := range 10_000 {
		session := fmt.Sprint("s", i)
		if small.OnTarget("p", session) {
			on++
			assert.Assert(t, large.OnTarget("p", session))
		}
	}
	assert.Assert(t, on > 850 && on < 1150, "%d of 10000 sessions at a share of 0.1", on)
	all := dhversion.Rollout{Target: "v2", Share: 1}
	assert.Assert(t, all.OnTarget("p", "s1"))
}

// Guards against requests on an excluded version, and against a request that moves
// between the target and the other versions when its own side has no backend server.
func TestPermits(t *testing.T) {
	assert.Assert(t, dhversion.Rollout{}.Permits("v1", false))
	r := dhversion.Rollout{Target: "v2", Share: 0.1, Excluded: []string{"v0"}}
	assert.Assert(t, r.Permits("v1", false) && !r.Permits("v1", true) && r.Permits("v2", true) && !r.Permits("v2", false))
	assert.Assert(t, !r.Permits("v0", false))
	done := dhversion.Rollout{CompletedVersion: "v2"}
	assert.Assert(t, done.Permits("v2", false) && !done.Permits("v1", false))
}

// Guards against a test that detects a bad target too late. Half of the target's
// answers are bad, and one in a hundred of the previous version's.
func TestTrialFindsBadTarget(t *testing.T) {
	var trial dhversion.RolloutTest
	var before, target dhversion.Counts
	for n := int64(1); ; n++ {
		before.Answers, before.Bad = 10*n, n/10
		target.Answers, target.Bad = n, n/2
		if trial.Update(of(before), of(target)).Worse >= math.Log(1000) {
			break
		}
		assert.Assert(t, n < 30, "not found after %d answers", n)
	}
}

// Guards against a bad target that is accepted because all sessions already use
// it and no other version is left to compare it with: soak seed
// 1796379163051793904 had 34 bad answers of 62 and evidence of only 4.8. Also
// guards against a good target that is withdrawn because of one failure.
func TestTrialJudgesTheTargetAlone(t *testing.T) {
	for _, c := range []struct {
		// first and later are the numbers of bad answers of ten answers in the
		// first block and in the later ones.
		first, later int64
		withdrawn    bool
	}{{5, 5, true}, {0, 0, false}, {1, 0, false}} {
		var trial dhversion.RolloutTest
		before, target := dhversion.Counts{Answers: 96}, dhversion.Counts{Answers: 1}
		trial.Update(of(before), of(target))
		var evidence float64
		bad := c.first
		for range 6 {
			before.Answers++
			target.Answers, target.Bad = target.Answers+10, target.Bad+bad
			evidence = trial.Update(of(before), of(target)).Worse
			bad = c.later
		}
		assert.Equal(t, evidence >= math.Log(1000), c.withdrawn, "%d bad answers of 61: evidence %.1f", target.Bad, evidence)
	}
}

// Guards against a slow target that is completed because its trial has few answers
// (scenario hasty, EXPOSURE). A stream is paced after a few events, so that a trial
// with 10 streams suffices.
func TestTrialFindsSlowTarget(t *testing.T) {
	var trial dhversion.RolloutTest
	var before, target dhversion.Counts
	evidence := 0.0
	for n := int64(1); n <= 10; n++ {
		before.Timed, before.Slow, before.Paced, before.SlowPaced = 100*n, 8*n, 40*n, 6*n
		target.Timed, target.Slow, target.Paced, target.SlowPaced = 2*n, n/3, n, n-n/10
		evidence = trial.Update(of(before), of(target)).Worse
	}
	assert.Assert(t, evidence >= math.Log(1000), "%.1f", evidence)
}

// Guards against a slow target that is completed although its answers are slow once
// all sessions use it, and against a good one that is withdrawn because its caches
// are empty then.
func TestSpeedIsJudgedAfterTheShift(t *testing.T) {
	for _, c := range []struct {
		name        string
		answers     int64 // in each of three blocks
		slow, paced int64
		suspect     bool
	}{
		{"usual", 20, 1, 2, false},
		{"cold caches", 20, 4, 3, false},
		{"slow", 20, 12, 13, true},
		{"cold caches, little traffic", 6, 2, 1, false},
		{"slow, little traffic", 6, 5, 4, true},
	} {
		var trial dhversion.RolloutTest
		before := dhversion.Counts{Timed: 1000, Slow: 80, Paced: 300, SlowPaced: 40}
		target := dhversion.Counts{Timed: 20, Paced: 5}
		trial.Update(of(before), of(target))
		evidence := 0.0
		for range 3 {
			before.Timed, before.Paced = before.Timed+1, before.Paced+1
			target.Timed, target.Slow = target.Timed+c.answers, target.Slow+c.slow
			target.Paced, target.SlowPaced = target.Paced+c.answers, target.SlowPaced+c.paced
			evidence = trial.Update(of(before), of(target)).Worse
		}
		assert.Equal(t, evidence >= math.Log(3), c.suspect, "%s: evidence %.1f", c.name, evidence)
	}
}
