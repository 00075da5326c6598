package dhversion

import "slices"

// Rollout describes which versions requests may use in a pool whose backend
// servers run one version each. The zero value permits every version. A Rollout
// is immutable.
type Rollout struct {
	// Target is the new version while a rollout is in progress, otherwise empty.
	Target string
	// Share is the fraction of sessions, in [0, 1], that run on the target.
	Share float64
	// CompletedVersion is the version that all requests run on after a rollout has
	// completed. If it is empty, every version is permitted except the excluded ones.
	CompletedVersion string
	// Excluded lists the versions that failed a rollout and must not be used.
	Excluded []string
}

// OnTarget reports whether a session runs on the target. Raising the share
// never moves a session off the target.
func (r Rollout) OnTarget(pool, session string) bool {
	return r.Target != "" && hashPosition(pool, r.Target, session) < r.Share
}

// Permits reports whether a request may run on a version. During a rollout, a
// request assigned to the target may run only on the target, and any other
// request only on the other versions, even if no backend server runs them.
func (r Rollout) Permits(version string, onTarget bool) bool {
	switch {
	case slices.Contains(r.Excluded, version):
		return false
	case r.Target != "":
		return (version == r.Target) == onTarget
	case r.CompletedVersion != "":
		return version == r.CompletedVersion
	}
	return true
}

// Counts holds the answer counts of a version, summed over all VMs.
type Counts struct {
	Answers, Bad int64
	// Timed is the number of answers whose time to first token was assessed, Slow
	// the number of those that were far slower than usual. Paced and SlowPaced are
	// the same for the pace of streams.
	Timed, Slow      int64
	Paced, SlowPaced int64
}

// RolloutTest tests whether the target of a rollout is worse than the versions
// that it replaces: it fails more often, its first token takes longer or its
// streams are slower. The zero value is ready to use. Only the control goroutine
// uses it.
type RolloutTest struct{ answers, first, pace sequentialTest }

// A version that has just received all sessions takes longer to its first tokens,
// because its caches are empty, and its streams are slower, because its backend
// servers have more requests than in the trial.
const (
	coldTolerance = 3
	loadTolerance = 1.5
)

// Update takes the cumulative totals of the previous versions and the target,
// and returns the logarithm of the evidence that the target is worse. If the
// target is put on hold when the result reaches log(1/alpha), a target that is no
// worse is held with probability at most alpha.
func (t *RolloutTest) Update(before, target Counts) float64 {
	t.answers.update(sample{before.Answers, before.Bad, target.Answers, target.Bad}, unpaired{1})
	t.first.update(sample{before.Timed, before.Slow, target.Timed, target.Slow}, unpaired{coldTolerance})
	t.pace.update(sample{before.Paced, before.SlowPaced, target.Paced, target.SlowPaced}, unpaired{loadTolerance})
	return logMean(slices.Concat(t.answers.evidence[:], t.first.evidence[:], t.pace.evidence[:]))
}
