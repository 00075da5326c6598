package dhversion

import (
	"math"
	"time"
)

// Exposure bounds the requests that a bad version may receive until the end of its
// rollout: a share of all requests of its pool and a number of requests.
type Exposure struct{ Share, Slack float64 }

const (
	// exposureFraction and slackFraction are the parts of the exposure that a rollout
	// uses, which leaves room for changing request rates.
	exposureFraction = 0.95
	slackFraction    = 0.85
	// maxSlackFraction limits the slack that the trial relies on, as a fraction of
	// the accepted share, and trialExposureFraction its share: the request rate is
	// underestimated shortly after a start. The shift uses what the trial left.
	maxSlackFraction      = 0.5
	trialExposureFraction = 0.5
	// trialRate is the number of requests per second sent to the target of a
	// rollout during its trial. At this rate, a version of which half of the
	// answers are bad is detected within two seconds.
	trialRate = 6.0
	// minTrialShare is the lower bound of the trial share at high traffic.
	minTrialShare = 0.01
	// minTrialAnswers is the number of answers that a trial should get from the
	// target, even if the end of the rollout leaves no room for them in the
	// accepted exposure. Without evidence from the trial, a bad version is
	// detected only when all sessions use it (reproduced by the soak test with
	// seed 1796379163051793904). With enoughTrialAnswers, a version of which half
	// of the answers are slow is detected in the trial.
	minTrialAnswers    = 12
	enoughTrialAnswers = 40
	// minMargin and maxMargin bound how long before the end of its duration a
	// rollout completes. Operators measure the duration from their first request
	// and poll the state about once per second.
	minMargin = 800 * time.Millisecond
	maxMargin = 2 * time.Second
	// usualShift is how long all sessions use the target before the old backend
	// servers are released, and minShift the shortest such time, in which the old
	// backend servers finish short requests.
	usualShift = 1200 * time.Millisecond
	minShift   = 600 * time.Millisecond
	// trialFraction is the fraction of a rollout's duration during which only the
	// trial share of the sessions uses the target. Sessions must stay on their
	// version during the first half.
	trialFraction = 0.6
	// usualTrialDelay is the time that entry VMs need to exchange the sessions that must
	// stay off the target: a watch of 300 ms each from an entry VM, between two control VMs
	// and to another entry VM. An entry VM begins the trial with a later response, up to
	// 300 ms after the delay, which is the margin. maxDelayFraction bounds the delay in short
	// rollouts, whose trial needs the time.
	usualTrialDelay  = time.Second
	maxDelayFraction = 0.2
	// trialSessionFraction is the fraction of the requests that belong to sessions which
	// may use the target: 12,402 of 15,506 requests of a recorded day did not continue a
	// session, and a session that runs on another version stays there.
	trialSessionFraction = 0.8
	// unansweredFactor estimates the requests that the target has received from its
	// answers: some are retries, and some have no answer yet.
	unansweredFactor = 1.15
	// resumedFraction estimates the requests on the old backend servers that the target
	// receives when those stop. The others end during the shift.
	resumedFraction = 0.5
)

// accepted returns the number of requests that a rollout may send to its target.
func (e Exposure) accepted(rate float64, duration time.Duration) float64 {
	return exposureFraction*e.Share*rate*duration.Seconds() + slackFraction*e.Slack
}

// TrialDelay returns how long after the start of a rollout no session uses the target.
func TrialDelay(duration time.Duration) time.Duration {
	return min(usualTrialDelay, time.Duration(maxDelayFraction*float64(duration)))
}

// Plan holds how a rollout uses its exposure. It is immutable.
type Plan struct {
	Exposure Exposure
	Duration time.Duration
	// Share is the fraction of the sessions that use the target during the trial.
	Share float64
	// Margin is how long before the end of its duration the rollout ends, unless it
	// is undecided.
	Margin time.Duration
}

// NewPlan returns the plan of a rollout in a pool with a request rate, or 0 if the
// rate is not known. The trial moves its share of the already running sessions,
// including those that entry VMs have no record of, so the share is as small as the
// required evidence allows. The requests that all sessions send to the target at the
// end must fit into the accepted exposure as well. The trial's evidence comes first:
// the margin is as long as the exposure left by enough answers of the trial allows.
func NewPlan(e Exposure, rate float64, duration time.Duration) Plan {
	p := Plan{Exposure: e, Duration: duration, Share: e.Share * trialExposureFraction, Margin: maxMargin}
	if rate <= 0 {
		return p
	}
	slack := min(slackFraction*e.Slack/(rate*duration.Seconds()), maxSlackFraction*e.Share)
	accepted := exposureFraction*e.Share + slack
	p.Margin = 0
	shareFor := func(answers float64) float64 {
		return answers / (trialSessionFraction * rate * (max(duration-usualShift-p.Margin, duration/2) - TrialDelay(duration)).Seconds())
	}
	left := accepted - max(min(trialRate/rate, shareFor(enoughTrialAnswers)), minTrialShare)
	p.Margin = min(max(time.Duration(left*float64(duration))-usualShift, minMargin), maxMargin)
	available := accepted - float64(usualShift+p.Margin)/float64(duration)
	p.Share = min(max(min(trialRate/rate, available), shareFor(minTrialAnswers), minTrialShare), e.Share*trialExposureFraction)
	return p
}

//go:generate ../../bin/stringer -type=Stage -linecomment

// Stage is the stage of a rollout.
type Stage int

// A Trial sends the plan's share of the sessions to the target. A Shift sends all
// sessions there while the old backend servers still run. Completed releases the old
// backend servers, Reverted withdraws the target.
const (
	Trial     Stage = iota // trial
	Shift                  // shift
	Completed              // completed
	Reverted               // reverted
)

// Moment is the state of a rollout at the time of a decision.
type Moment struct {
	// Left is the time until the end of the rollout's duration; it is negative
	// afterwards.
	Left time.Duration
	// SinceShift is the time since all sessions use the target.
	SinceShift time.Duration
	// Rate is the present request rate of the pool, or 0 if it is not known, and
	// Answers the number of answers of the target so far.
	Rate    float64
	Answers int64
	// TargetReady is set if the target has enough backend servers for all sessions.
	TargetReady bool
	// OldRunning is the number of requests that run on the old backend servers.
	OldRunning int
}

const (
	// revertFalsePositiveRate is the accepted probability of withdrawing a
	// version that is no worse than the others before its rollout ends.
	revertFalsePositiveRate = 0.001
	// holdFalsePositiveRate is the accepted probability of holding a version in
	// its trial although it is no worse than the others. It is high because a bad
	// version that is completed exposes all requests, while a good one that is
	// withdrawn can be ordered again. A version that turns bad late has few bad
	// answers when its trial ends; moving all sessions to it at that point exposed
	// 154 requests.
	holdFalsePositiveRate = 1.0 / 3
	// A version is sound at the end of its rollout if the evidence of an excess of
	// bad answers is at most soundExcess, and bad from badExcess on. In between, the
	// rollout is prolonged by up to prolongedFraction of its duration, or
	// minProlongation if that is longer. It then ends as sound at lateSoundExcess,
	// which is lower since the evidence is looked at several times, and at the end of
	// the prolongation as what is more likely. A bad version that is completed stays, a
	// sound one that is withdrawn can be ordered again. Before the end, only
	// earlySoundExcess completes it.
	soundExcess       = -1.0
	lateSoundExcess   = -1.5
	earlySoundExcess  = -4.0
	badExcess         = 3.0
	prolongedFraction = 0.5
	minProlongation   = 8 * time.Second
)

// Undecided reports whether the evidence shows neither that the target is sound nor
// that it is bad.
func (e RolloutEvidence) Undecided() bool { return e.Excess > soundExcess && !e.suspect() }

func (e RolloutEvidence) suspect() bool {
	return e.Excess >= badExcess || (e.Excess > soundExcess && e.Worse >= math.Log(1/holdFalsePositiveRate))
}

func (e RolloutEvidence) proved() bool {
	return max(e.Worse, e.Excess) >= math.Log(1/revertFalsePositiveRate)
}

// Next returns the stage that follows a stage from the evidence and the time.
func (p Plan) Next(stage Stage, m Moment, e RolloutEvidence) Stage {
	ends := m.Left <= p.Margin
	switch {
	case e.proved(), ends && e.suspect():
		return Reverted
	case e.suspect():
		// A suspect version stays in its stage, and is withdrawn if it is still
		// suspect when the rollout must end.
		return stage
	case stage == Trial:
		if m.TargetReady && m.Left <= p.shiftTime(m) {
			return Shift
		}
		return Trial
	case m.SinceShift < minShift:
		return stage
	case !ends:
		if m.OldRunning == 0 && m.SinceShift >= usualShift && e.Excess <= earlySoundExcess {
			return Completed
		}
		return stage
	}
	return p.end(m, e)
}

// end decides about a version that is not suspect when its rollout must end.
func (p Plan) end(m Moment, e RolloutEvidence) Stage {
	sound := soundExcess
	if m.Left <= 0 {
		sound = lateSoundExcess
	}
	switch {
	case e.Excess <= sound:
		return Completed
	case m.Left > -max(time.Duration(prolongedFraction*float64(p.Duration)), minProlongation):
		return Shift
	case e.Excess <= 0:
		return Completed
	}
	return Reverted
}

// shiftTime returns how long before the end of its duration a rollout moves all
// sessions to the target. The shift starts as late as the duration allows, but uses
// the exposure that the trial has left: a version that is bad only under load gives
// no evidence in its trial, and the requests it receives afterwards must stay within
// the accepted exposure. If that leaves less than minShift and minMargin, the rollout
// ends within its margin, or late.
func (p Plan) shiftTime(m Moment) time.Duration {
	most := p.Duration - time.Duration(trialFraction*float64(p.Duration))
	if m.Rate <= 0 {
		return min(usualShift+p.Margin, most)
	}
	// Long streams have not answered yet, so the requests are also estimated from the
	// share.
	open := max(p.Duration-m.Left-TrialDelay(p.Duration), 0)
	used := max(unansweredFactor*float64(m.Answers), p.Share*m.Rate*open.Seconds())
	left := p.Exposure.accepted(m.Rate, p.Duration) - used - resumedFraction*float64(m.OldRunning)
	return min(max(time.Duration(left/m.Rate*float64(time.Second)), minShift), most)
}
