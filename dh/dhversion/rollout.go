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
	// Kept holds the hashes of the sessions that stay off the target while Share is
	// below 1, since another version has served them.
	Kept map[uint64]bool
}

// OnTarget reports whether a session runs on the target. Raising the share
// never moves a session off the target.
func (r Rollout) OnTarget(pool, session string) bool {
	if r.Target == "" {
		return false
	}
	hash := SessionHash(pool, r.Target, session)
	return Position(hash) < r.Share && !r.keeps(hash)
}

// Keeps reports whether a session stays off the target although no record of this VM
// says so.
func (r Rollout) Keeps(pool, session string) bool {
	return r.Target != "" && r.keeps(SessionHash(pool, r.Target, session))
}

func (r Rollout) keeps(hash uint64) bool { return r.Share < 1 && r.Kept[hash] }

// SessionHash returns the hash of a session in the rollout of a pool to a target.
func SessionHash(pool, target, session string) uint64 { return sessionHash(pool, target, session) }

// Position returns the position of a session in [0, 1) from its hash. It never falls as
// the hash rises.
func Position(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

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

func (c Counts) plus(d Counts) Counts {
	return Counts{
		Answers: c.Answers + d.Answers, Bad: c.Bad + d.Bad, Timed: c.Timed + d.Timed, Slow: c.Slow + d.Slow,
		Paced: c.Paced + d.Paced, SlowPaced: c.SlowPaced + d.SlowPaced,
	}
}

func (c Counts) minus(d Counts) Counts {
	return Counts{
		Answers: c.Answers - d.Answers, Bad: c.Bad - d.Bad, Timed: c.Timed - d.Timed, Slow: c.Slow - d.Slow,
		Paced: c.Paced - d.Paced, SlowPaced: c.SlowPaced - d.SlowPaced,
	}
}

// ClassCounts holds the counts of a version by class of requests.
type ClassCounts map[string]Counts

// Total returns the sum over all classes.
func (c ClassCounts) Total() (total Counts) {
	for _, counts := range c {
		total = total.plus(counts)
	}
	return total
}

func (c ClassCounts) minus(d ClassCounts) ClassCounts {
	rest := make(ClassCounts, len(c))
	for class, counts := range c {
		rest[class] = counts.minus(d[class])
	}
	return rest
}

// RolloutTest tests whether the target of a rollout is worse than the versions
// that it replaces: it fails more often, its first token takes longer or its
// streams are slower. The zero value is ready to use. Only the control goroutine
// uses it.
type RolloutTest struct {
	answers, first, pace sequentialTest
	// newest holds the newest totals of the target, shifted those when all sessions
	// began to use it.
	newest, shifted ClassCounts
	inShift         bool
}

// RolloutEvidence is the evidence against the target of a rollout, as logarithms of
// likelihood ratios.
type RolloutEvidence struct {
	// Worse tells a target that is worse from one that is no worse, at any time: if
	// the target is put on hold when it reaches log(1/alpha), a target that is no
	// worse is held with probability at most alpha.
	Worse float64
	// Excess tells a target whose rate of bad answers exceeds the usual one by the
	// smallest difference that matters from one that does not exceed it. It is
	// negative if the target is more likely sound.
	Excess float64
}

// A version that has just received all sessions takes longer to its first tokens,
// because its caches are empty, and its streams are slower, because its backend
// servers have more requests than in the trial.
const (
	coldTolerance = 3
	loadTolerance = 1.5
)

// BeginShift marks the time from which all sessions use the target. Its answers from
// then on are also judged by themselves, since those of the trial would hide a version
// that is bad under load or turns bad late.
func (t *RolloutTest) BeginShift() {
	if !t.inShift {
		t.inShift, t.shifted = true, t.newest
	}
}

// Update takes the cumulative totals of the previous versions and the target.
func (t *RolloutTest) Update(before, target ClassCounts) RolloutEvidence {
	t.newest = target
	b, a := before.Total(), target.Total()
	t.answers.update(sample{b.Answers, b.Bad, a.Answers, a.Bad}, unpaired{1})
	t.first.update(sample{b.Timed, b.Slow, a.Timed, a.Slow}, unpaired{coldTolerance})
	t.pace.update(sample{b.Paced, b.SlowPaced, a.Paced, a.SlowPaced}, unpaired{loadTolerance})
	e := RolloutEvidence{
		Worse:  logMean(slices.Concat(t.answers.evidence[:], t.first.evidence[:], t.pace.evidence[:])),
		Excess: excessEvidence(before, target),
	}
	if t.inShift {
		e.Excess = max(e.Excess, excessEvidence(before, target.minus(t.shifted))-partPenalty)
	}
	return e
}
