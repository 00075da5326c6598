package dhversion_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhversion"
)

// Guards against a session that leaves the target when the share grows, and
// against a share that is not kept.
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

// Guards against work for a barred version, and against a request that changes
// its side when its own has no backend server.
func TestPermits(t *testing.T) {
	assert.Assert(t, dhversion.Rollout{}.Permits("v1", false))
	r := dhversion.Rollout{Target: "v2", Share: 0.1, Barred: []string{"v0"}}
	assert.Assert(t, r.Permits("v1", false) && !r.Permits("v1", true) && r.Permits("v2", true) && !r.Permits("v2", false))
	assert.Assert(t, !r.Permits("v0", false))
	done := dhversion.Rollout{Only: "v2"}
	assert.Assert(t, done.Permits("v2", false) && !done.Permits("v1", false))
}

// Guards against a bad target that is found too late: half of its answers are
// bad, and the old version fails once in a hundred.
func TestTrialFindsBadTarget(t *testing.T) {
	var trial dhversion.Trial
	var before, target dhversion.Counts
	for n := int64(1); ; n++ {
		before.Answers, before.Bad = 10*n, n/10
		target.Answers, target.Bad = n, n/2
		if trial.Update(before, target) >= math.Log(1000) {
			break
		}
		assert.Assert(t, n < 30, "not found after %d answers", n)
	}
}
