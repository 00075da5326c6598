package dhversion

import "slices"

// Rollout is what traffic knows of the versions of a pool whose backend
// servers run one version each. The zero value permits every version. It is
// immutable.
type Rollout struct {
	// Target is the new version while a rollout is in progress, else empty.
	Target string
	// Share is the part of the sessions, in [0, 1], that run on the target.
	Share float64
	// Only is the version that all requests run on after a rollout has
	// completed; empty means every version but the barred ones.
	Only string
	// Barred are the versions that proved bad.
	Barred []string
}

// OnTarget reports whether a session runs on the target. Raising the share
// moves no session away from it.
func (r Rollout) OnTarget(pool, session string) bool {
	return r.Target != "" && point(pool, r.Target, session) < r.Share
}

// Permits reports whether a request may run on a version. A pool without a
// backend server of the side that the request belongs to must not use the other.
func (r Rollout) Permits(version string, onTarget bool) bool {
	switch {
	case slices.Contains(r.Barred, version):
		return false
	case r.Target != "":
		return (version == r.Target) == onTarget
	case r.Only != "":
		return version == r.Only
	}
	return true
}

// Counts are the answers of a version, summed over all VMs.
type Counts struct {
	Answers, Bad int64
	// Timed counts the answers whose speed was judged, Slow those far slower
	// than usual.
	Timed, Slow int64
}

// Trial tests whether the target of a rollout is worse than the versions
// before it. The zero value is ready; it belongs to the control goroutine.
type Trial struct{ test rolloutTest }

// Update takes the growing totals of both sides and returns the logarithm of
// the evidence that the target is worse: at log(1/alpha) or above, a target
// that is no worse is held with probability alpha at most.
func (t *Trial) Update(before, target Counts) float64 {
	return t.test.update(
		count{before.Answers, before.Bad, before.Timed, before.Slow},
		count{target.Answers, target.Bad, target.Timed, target.Slow},
	)
}
