package dhsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

const (
	versionOld = "v1"
	versionNew = "v2"
	// newBackends is the number of backend servers of the new version.
	newBackends = 3
)

// rollout is the state of the one rollout of a run, which is in its calm phase.
type rollout struct {
	pool string
	bad  bool
	// ordered is when the rollout was requested, acknowledged when the request was
	// acknowledged.
	ordered, acknowledged time.Time
	badAnswers            int
	// provedAt is when the new version gave the last of the bad answers that show that
	// it is bad.
	provedAt time.Time
}

// rollOut starts backend servers of a new version beside the old ones and requests
// a rollout of the engines' pool to them. The new version is bad for even seeds.
func (o *operator) rollOut(ctx context.Context) error {
	d := o.deployment
	bad := d.soak.Seed%2 == 0
	var list []*backend
	for i := range newBackends {
		b := &backend{
			deployment: d, name: fmt.Sprintf("newcomer-%d", i), ip: d.ip(2, d.size.Backends+i), zone: zone(i), pool: poolEngine,
			version: versionNew, random: rand.New(rand.NewPCG(d.soak.Seed, uint64(2000+i))),
		}
		if bad {
			b.conduct = flaky
		}
		if err := d.add(b); err != nil {
			return err
		}
		list = append(list, b)
	}
	body, err := platform.EncodeRollout(poolEngine, versionNew, rolloutDeadline)
	if err != nil {
		panic(err) // only strings and a number are encoded
	}
	d.checker.RolloutOrdered(poolEngine, bad)
	if v, status := o.order(ctx, http.MethodPost, platform.PathStartRollout, body); v == nil || status != http.StatusOK {
		d.checker.RecordViolation("rollout", "the request for a rollout is not acknowledged (status %d)", status)
		return nil
	}
	d.checker.RolloutAcknowledged()
	limited, cancel := dhtimer.WithTimeout(ctx, d.soak.Timers, rolloutDeadline)
	defer cancel()
	for dhtimer.Sleep(limited, d.soak.Timers, repeatPause) == nil {
		v := o.randomControl()
		sentAt := d.soak.Timers.Now()
		status, text := o.call(limited, v, http.MethodGet, platform.PathReadRollout+poolEngine, nil)
		state, ended := d.checker.RolloutRead(v.name, sentAt, status, text)
		if state == dhpb.RolloutState_ROLLOUT_STATE_REVERTED {
			for _, b := range list {
				b.crash()
			}
		}
		if ended {
			break
		}
	}
	return ctx.Err()
}

// RolloutOrdered records that a rollout is about to be requested.
func (j *Checker) RolloutOrdered(pool string, bad bool) {
	defer j.lock()()
	j.rollout = &rollout{pool: pool, bad: bad, ordered: j.Timers.Now()}
}

// RolloutAcknowledged records that the rollout was acknowledged.
func (j *Checker) RolloutAcknowledged() {
	defer j.lock()()
	j.rollout.acknowledged = j.Timers.Now()
}

// RolloutRead records the state of the rollout that a control VM returned to a
// call sent at sentAt. It returns the state and whether the rollout has ended.
func (j *Checker) RolloutRead(vm string, sentAt time.Time, status int, text string) (state dhpb.RolloutState, ended bool) {
	defer j.lock()()
	switch {
	case status == http.StatusNotFound && sentAt.Sub(j.rollout.acknowledged) > applyBound:
		j.addViolation("rollout", "%s does not know the rollout that was acknowledged", vm)
		return 0, true
	case status != http.StatusOK:
		return 0, false
	}
	state, target, err := platform.DecodeRollout([]byte(text))
	if err != nil || target != versionNew {
		j.addViolation("rollout", "%s returns %q for the rollout to %s", vm, text, versionNew)
		return 0, true
	}
	if state == dhpb.RolloutState_ROLLOUT_STATE_COMPLETED && j.rollout.bad {
		j.addViolation("rollout", "%s returns that the rollout of a bad version is completed", vm)
	}
	return state, state != dhpb.RolloutState_ROLLOUT_STATE_TRIAL
}

// countBadAnswer counts the bad answers of the new version.
func (j *Checker) countBadAnswer(r run) {
	if j.rollout == nil || r.version != versionNew || r.status < http.StatusInternalServerError {
		return
	}
	if j.rollout.badAnswers++; j.rollout.badAnswers == badAnswerThreshold {
		j.rollout.provedAt = j.Timers.Now()
	}
}

// checkRollback checks that a bad version gets no requests later than rollbackBound
// after its bad answers have reached the threshold.
func (j *Checker) checkRollback(r *request, s backendRequest) {
	if j.rollout == nil || s.version != versionNew || j.rollout.provedAt.IsZero() || !j.boundsApply(r.entry, r.sentAt) {
		return
	}
	if late := r.sentAt.Sub(j.rollout.provedAt); late > rollbackBound {
		j.addViolation("exposure", "request %s reaches the bad version %v after its bad answer number %d", r.id, late, badAnswerThreshold)
	}
}

// checkExposure checks the share of requests that a bad version got.
func (j *Checker) checkExposure() {
	if j.rollout == nil || !j.rollout.bad {
		return
	}
	all, exposed := 0, 0
	for _, a := range j.arrivals[j.rollout.pool] {
		if a.at.Before(j.rollout.ordered) || a.at.Sub(j.rollout.ordered) > rolloutDeadline {
			continue
		}
		all++
		if a.version == versionNew {
			exposed++
		}
	}
	if most := int(exposureShare*float64(all)) + exposureSlack; exposed > most {
		j.addViolation("exposure", "the bad version gets %d of %d requests, %d are allowed", exposed, all, most)
	}
}
