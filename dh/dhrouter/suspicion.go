package dhrouter

import "dandelionhoist.example/dh/dhbackend"

// suspicion holds a failure of a request during a rollout until another attempt shows
// whether the version or the request is at fault: a request that fails at two
// backend servers is no evidence against a version.
type suspicion struct {
	// unconfirmed is the event of the failure, or nil.
	unconfirmed *Event
	// leftTarget is set once the target of a rollout has failed the request. The next
	// attempt then uses the other versions: it is more likely to succeed there, and its
	// result tells more.
	leftTarget bool
	// answerStatus is the status of the attempt's answer.
	answerStatus int
}

// suspect records that an attempt has failed. It changes an event that must wait for
// the next attempt so that it does not count yet. Requests of sessions are not moved
// between versions, so their failures count at once.
func (f *forward) suspect(b *dhbackend.Backend, e *Event) {
	if !f.answered || e.OutOfTime {
		return
	}
	if f.failedBefore {
		f.unconfirmed = nil
		return
	}
	rollout := f.router.Snapshot().Rollouts[f.poolName]
	if rollout.Target == "" || f.begun || !f.repeatable() || f.message.Session != "" {
		return
	}
	f.leftTarget = f.leftTarget || b.Release == rollout.Target
	unconfirmed := *e
	f.unconfirmed, e.Answered = &unconfirmed, false
}

// reportSuspicion reports a failure that no other attempt has explained.
func (f *forward) reportSuspicion() {
	if f.unconfirmed != nil {
		f.router.Report(*f.unconfirmed)
		f.unconfirmed = nil
	}
}
