package dhcontrol

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

const (
	// judgePeriod is the time between two looks at the evidence. It is a small
	// part of the time in which a bad version must be withdrawn.
	judgePeriod = 200 * time.Millisecond
	// rankPause delays the decision of each further control VM, so that not all
	// of them write the same one.
	rankPause = 300 * time.Millisecond
	// falseAlarms is the accepted probability that a version that is no worse
	// is withdrawn.
	falseAlarms = 0.001
	// trialPart is the part of a rollout's duration in which only the trial
	// share of the sessions uses the target: sessions must stay on their
	// version in the first half.
	trialPart = 0.6
	// doubtAlarms is the probability with which a version that is no worse is
	// kept in its trial for a while. A version that turns bad late has had few
	// bad answers when its trial ends; moving all sessions to it then exposed
	// 154 requests (found at soojus-tallinn, frozen-and-revoked).
	doubtAlarms = 0.1
	// minShift is the least time in which all sessions use the target before
	// the old backend servers are given up. It comes as late as the duration
	// permits: a version that is bad under load only gives no evidence in its
	// trial, and what it gets afterwards must stay within the accepted exposure
	// (found at soojus-tallinn, servers-adrift: EXPOSURE).
	minShift = 1200 * time.Millisecond
	// minTargets is the part of the old backend servers' number that the target
	// must have before all sessions move to it.
	minTargets = 0.5
)

// judge holds the running tests of the rollouts, by number. It belongs to the
// goroutine of judgeRollouts.
type judge struct {
	trials map[uint64]*trial
}

// trial is what this VM knows of one rollout.
type trial struct {
	test dhversion.Trial
	// seen is when this VM learned of the rollout, shifted when of its shift.
	seen, shifted time.Time
	// decided is when the wanted decision was first due.
	decision dhpb.RolloutState
	due      time.Time
}

// judgeRollouts decides on the rollouts in progress.
func (c *Control) judgeRollouts(ctx context.Context) error {
	c.judge.trials = make(map[uint64]*trial)
	for dhtimer.Sleep(ctx, c.Timers, judgePeriod) == nil {
		_, operations := c.state()
		for _, r := range operations.GetRollouts() {
			if inProgress(r) {
				c.judgeRollout(ctx, r)
			} else {
				delete(c.judge.trials, r.GetNumber())
			}
		}
	}
	return nil
}

func (c *Control) judgeRollout(ctx context.Context, r *dhpb.RolloutRecord) {
	now := c.Timers.Now()
	t := c.judge.trials[r.GetNumber()]
	if t == nil {
		t = &trial{seen: now}
		c.judge.trials[r.GetNumber()] = t
	}
	if r.GetState() == dhpb.RolloutState_ROLLOUT_STATE_SHIFT && t.shifted.IsZero() {
		t.shifted = now
	}
	before, after := c.entries.counts(r.GetPool(), r.GetTarget(), r.GetNumber())
	evidence := t.test.Update(before, after)
	next := c.nextState(r, t, now, evidence)
	if next == r.GetState() {
		t.decision = 0
		return
	}
	if t.decision != next {
		t.decision, t.due = next, now.Add(time.Duration(c.rank())*rankPause)
	}
	if !c.inMajority() || now.Before(t.due) {
		return
	}
	c.Log.Info("rollout decided", slog.String("pool", r.GetPool()), slog.String("target", r.GetTarget()),
		slog.String("from", r.GetState().String()), slog.String("to", next.String()), slog.Float64("evidence", evidence),
		slog.Int64("answers", after.Answers), slog.Int64("bad", after.Bad), slog.Int64("slow", after.Slow),
		slog.Int64("old-answers", before.Answers), slog.Int64("old-bad", before.Bad), slog.Int64("old-slow", before.Slow),
		slog.Duration("elapsed", elapsed(r, t, now)))
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, quorumTimeout)
	defer cancel()
	number := r.GetNumber()
	// A failure is logged by operate and tried again at the next look.
	_ = c.operate(ctx, "rollout "+next.String(), r.GetPool()+" to "+r.GetTarget(), func(o *dhpb.Operations) error {
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

// elapsed returns the time since the order. The wall clock bridges restarts;
// where it went back, the time that this VM has seen counts.
func elapsed(r *dhpb.RolloutRecord, t *trial, now time.Time) time.Duration {
	return max(now.Sub(t.seen), time.Duration(now.UnixMilli()-r.GetStartedAt())*time.Millisecond)
}

// nextState returns the state that the evidence asks for.
func (c *Control) nextState(r *dhpb.RolloutRecord, t *trial, now time.Time, evidence float64) dhpb.RolloutState {
	state := r.GetState()
	if evidence >= math.Log(1/falseAlarms) {
		return dhpb.RolloutState_ROLLOUT_STATE_REVERTED
	}
	left := r.GetDuration().AsDuration() - elapsed(r, t, now)
	margin := r.GetMargin().AsDuration()
	switch {
	case evidence >= math.Log(1/doubtAlarms):
		// A version in doubt stays where it is, and is withdrawn if it is still in
		// doubt when the rollout has to end.
		if left <= margin {
			return dhpb.RolloutState_ROLLOUT_STATE_REVERTED
		}
	case state == dhpb.RolloutState_ROLLOUT_STATE_TRIAL:
		trial := time.Duration(trialPart * float64(r.GetDuration().AsDuration()))
		if left <= min(minShift+margin, r.GetDuration().AsDuration()-trial) && c.targetReady(r) {
			return dhpb.RolloutState_ROLLOUT_STATE_SHIFT
		}
	case now.Sub(t.shifted) >= minShift && (left <= margin || c.oldIdle(r)):
		return dhpb.RolloutState_ROLLOUT_STATE_COMPLETED
	}
	return state
}

// targetReady reports whether the target has enough warm backend servers.
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
	return target > 0 && float64(target) >= minTargets*float64(old)
}

// oldIdle reports whether no request runs at a backend server of another version.
func (c *Control) oldIdle(r *dhpb.RolloutRecord) bool {
	loads := c.entries.loadSums()
	for _, b := range c.registry.Backends() {
		if b.Pool == r.GetPool() && b.Release != r.GetTarget() && loads[b.ID].GetRunning() > 0 {
			return false
		}
	}
	return true
}

// rank returns this VM's place among the control VMs that answer, from 0.
func (c *Control) rank() int {
	rank := 0
	for _, r := range c.peers.answeredWithin(maxMajorityAge) {
		if r.GetVm() < c.Name {
			rank++
		}
	}
	return rank
}
