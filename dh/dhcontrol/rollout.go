package dhcontrol

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

const (
	// evaluationPeriod is the time between two evaluations of the evidence. It is
	// a small part of the time within which a bad version must be withdrawn.
	evaluationPeriod = 200 * time.Millisecond
	// endEvaluationPeriod is the same towards the end of a rollout's duration, from
	// endPeriod before it: a decision that waits there counts against the duration.
	endEvaluationPeriod = 50 * time.Millisecond
	endPeriod           = 3 * time.Second
	// rankDelay delays the decision of a control VM by its rank, so that they do
	// not all write the same decision.
	rankDelay = 300 * time.Millisecond
	// minTargetFraction is the minimum number of ready target backend servers, as
	// a fraction of the old ones, before all sessions move to the target.
	minTargetFraction = 0.5
)

// evaluator holds the trials in progress by rollout number. Only the goroutine of
// evaluateRollouts uses it.
type evaluator struct {
	trials map[uint64]*trial
}

// trial is the local state of one rollout.
type trial struct {
	test dhversion.RolloutTest
	// learnedAt is when this VM learned of the rollout, shiftedAt when it learned
	// of its shift.
	learnedAt, shiftedAt time.Time
	// prolonged is set once the rollout has been undecided at its end.
	prolonged bool
	// decision is the pending state change. due is the earliest time at which
	// this VM writes it.
	decision dhpb.RolloutState
	due      time.Time
}

// evaluateRollouts periodically evaluates the rollouts in progress and writes
// their state changes.
func (c *Control) evaluateRollouts(ctx context.Context) error {
	c.evaluator.trials = make(map[uint64]*trial)
	period := evaluationPeriod
	for dhtimer.Sleep(ctx, c.Timers, period) == nil {
		_, operations := c.state()
		period = evaluationPeriod
		for _, r := range operations.GetRollouts() {
			if inProgress(r) {
				c.evaluateRollout(ctx, r)
				if t := c.evaluator.trials[r.GetNumber()]; r.GetDuration().AsDuration()-elapsed(r, t, c.Timers.Now()) <= endPeriod {
					period = endEvaluationPeriod
				}
			} else {
				delete(c.evaluator.trials, r.GetNumber())
			}
		}
	}
	return nil
}

func (c *Control) evaluateRollout(ctx context.Context, r *dhpb.RolloutRecord) {
	now := c.Timers.Now()
	t := c.evaluator.trials[r.GetNumber()]
	if t == nil {
		t = &trial{learnedAt: now}
		c.evaluator.trials[r.GetNumber()] = t
	}
	if r.GetState() == dhpb.RolloutState_ROLLOUT_STATE_SHIFT && t.shiftedAt.IsZero() {
		t.shiftedAt = now
		t.test.BeginShift()
	}
	oldByClass, newByClass := c.entries.counts(r.GetPool(), r.GetTarget(), r.GetNumber())
	evidence := t.test.Update(oldByClass, newByClass)
	before, after := oldByClass.Total(), newByClass.Total()
	next := c.nextState(r, t, now, evidence, after.Answers)
	if next == r.GetState() {
		t.decision = 0
		return
	}
	if t.decision != next {
		t.decision, t.due = next, now.Add(time.Duration(c.rank())*rankDelay)
	}
	if !c.inMajority() || now.Before(t.due) {
		return
	}
	c.Log.Info("rollout decided", slog.String("pool", r.GetPool()), slog.String("target", r.GetTarget()),
		slog.String("from", r.GetState().String()), slog.String("to", next.String()), slog.Float64("evidence", evidence.Worse), slog.Float64("excess", evidence.Excess),
		slog.Int64("answers", after.Answers), slog.Int64("bad", after.Bad), slog.Int64("slow", after.Slow),
		slog.Int64("timed", after.Timed), slog.Int64("paced", after.Paced), slog.Int64("slow-paced", after.SlowPaced),
		slog.Int64("old-answers", before.Answers), slog.Int64("old-bad", before.Bad), slog.Int64("old-slow", before.Slow),
		slog.Int64("old-timed", before.Timed), slog.Int64("old-paced", before.Paced), slog.Int64("old-slow-paced", before.SlowPaced),
		slog.Any("by-class", byClass(oldByClass, newByClass)), slog.Duration("elapsed", elapsed(r, t, now)))
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, quorumTimeout)
	defer cancel()
	number := r.GetNumber()
	// updateOperations logs a failure. The next evaluation retries.
	_ = c.updateOperations(ctx, "rollout "+next.String(), r.GetPool()+" to "+r.GetTarget(), func(o *dhpb.Operations) error {
		n := findRollout(o, r.GetPool())
		if n.GetNumber() != number || !inProgress(n) || next < n.GetState() {
			return errUnchanged
		}
		n.State = next
		if next == dhpb.RolloutState_ROLLOUT_STATE_REVERTED && !slices.Contains(n.Reverted, n.GetTarget()) {
			n.Reverted = append(n.Reverted, n.GetTarget())
		}
		return nil
	})
}

// byClass lists, for each class, bad and all answers, and slow and all assessed first
// tokens, of the target and of the other versions.
func byClass(before, target dhversion.ClassCounts) (list []string) {
	for _, class := range slices.Sorted(maps.Keys(target)) {
		b, t := before[class], target[class]
		list = append(list, fmt.Sprintf("%s:%d/%d,%d/%d,slow:%d/%d,%d/%d", class, t.Bad, t.Answers, b.Bad, b.Answers, t.Slow, t.Timed, b.Slow, b.Timed))
	}
	return list
}

// elapsed returns the time since the rollout was started. The wall clock includes
// time before a restart of this VM; if it was set back, the time since this VM
// learned of the rollout is used.
func elapsed(r *dhpb.RolloutRecord, t *trial, now time.Time) time.Duration {
	return max(now.Sub(t.learnedAt), time.Duration(now.UnixMilli()-r.GetStartedAt())*time.Millisecond)
}

// nextState returns the state that follows from the evidence and the elapsed
// time.
func (c *Control) nextState(r *dhpb.RolloutRecord, t *trial, now time.Time, evidence dhversion.RolloutEvidence, answers int64) dhpb.RolloutState {
	plan := dhversion.Plan{
		Exposure: c.exposure(), Duration: r.GetDuration().AsDuration(), Share: r.GetShare(), Margin: r.GetMargin().AsDuration(),
	}
	stage, m := dhversion.Trial, dhversion.Moment{
		Left: plan.Duration - elapsed(r, t, now), Rate: c.entries.rate(r.GetPool()), Answers: answers,
		TargetReady: c.targetReady(r), OldRunning: c.oldRunning(r),
	}
	if r.GetState() == dhpb.RolloutState_ROLLOUT_STATE_SHIFT {
		stage, m.SinceShift = dhversion.Shift, now.Sub(t.shiftedAt)
	}
	if stage == dhversion.Shift && m.Left <= plan.Margin && evidence.Undecided() && !t.prolonged {
		t.prolonged = true
		c.Metrics.Count("rollout", "prolonged")
		c.Log.Warn("rollout prolonged, since its answers show neither that the target is sound nor that it is bad",
			slog.String("pool", r.GetPool()), slog.String("target", r.GetTarget()), slog.Float64("excess", evidence.Excess))
	}
	switch plan.Next(stage, m, evidence) {
	case dhversion.Shift:
		return dhpb.RolloutState_ROLLOUT_STATE_SHIFT
	case dhversion.Completed:
		return dhpb.RolloutState_ROLLOUT_STATE_COMPLETED
	case dhversion.Reverted:
		return dhpb.RolloutState_ROLLOUT_STATE_REVERTED
	}
	return r.GetState()
}

// exposure returns the accepted exposure of rollouts.
func (c *Control) exposure() dhversion.Exposure {
	return dhversion.Exposure{Share: c.Exposure, Slack: c.ExposureSlack}
}

// targetReady reports whether enough backend servers of the target are ready.
func (c *Control) targetReady(r *dhpb.RolloutRecord) bool {
	old, target := 0, 0
	for _, b := range c.registry.Backends() {
		switch {
		case b.Pool != r.GetPool():
		case b.Release != r.GetTarget():
			old++
		case b.State == dhbackend.Ready:
			target++
		}
	}
	return target > 0 && float64(target) >= minTargetFraction*float64(old)
}

// oldRunning returns the number of requests that run on backend servers of another
// version.
func (c *Control) oldRunning(r *dhpb.RolloutRecord) int {
	loads := c.entries.loadSums()
	running := 0
	for _, b := range c.registry.Backends() {
		if b.Pool == r.GetPool() && b.Release != r.GetTarget() {
			running += int(loads[b.ID].GetRunning())
		}
	}
	return running
}

// rank returns the position of this VM, from 0, among the responsive control VMs
// ordered by name.
func (c *Control) rank() int {
	rank := 0
	for _, r := range c.peers.answeredWithin(maxMajorityAge) {
		if r.GetVm() < c.Name {
			rank++
		}
	}
	return rank
}
