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
	// newcomers backend servers of the new version are started.
	newcomers = 3
)

// rollout is the one rollout of a run, in its calm span.
type rollout struct {
	pool string
	bad  bool
	// ordered is when it was sent, acknowledged when it was answered.
	ordered, acknowledged time.Time
	badAnswers            int
	// proved is when the last of the bad answers that prove it was given.
	proved time.Time
}

// rollOut starts servers of a new version beside the old ones and orders to move
// the engines' pool to them. Every second new version is bad.
func (o *operator) rollOut(ctx context.Context) error {
	d := o.deployment
	bad := d.soak.Seed%2 == 0
	var list []*backend
	for i := range newcomers {
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
	body, err := platform.EncodeRollout(poolEngine, versionNew, rolloutTime)
	if err != nil {
		panic(err) // only strings and a number
	}
	d.judge.RolloutOrdered(poolEngine, bad)
	if v, status := o.order(ctx, http.MethodPost, platform.PathStartRollout, body); v == nil || status != http.StatusOK {
		d.judge.Broken("rollout", "the order of a rollout gets no acknowledgement (status %d)", status)
		return nil
	}
	d.judge.RolloutAcknowledged()
	limited, cancel := dhtimer.WithTimeout(ctx, d.soak.Timers, rolloutTime)
	defer cancel()
	for dhtimer.Sleep(limited, d.soak.Timers, repeatPause) == nil {
		v := o.somewhere()
		sentAt := d.soak.Timers.Now()
		status, text := o.call(limited, v, http.MethodGet, platform.PathReadRollout+poolEngine, nil)
		state, ended := d.judge.RolloutRead(v.name, sentAt, status, text)
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

// RolloutOrdered records that a rollout is about to be ordered.
func (j *Judge) RolloutOrdered(pool string, bad bool) {
	defer j.lock()()
	j.rollout = &rollout{pool: pool, bad: bad, ordered: j.Timers.Now()}
}

// RolloutAcknowledged records that the order was acknowledged.
func (j *Judge) RolloutAcknowledged() {
	defer j.lock()()
	j.rollout.acknowledged = j.Timers.Now()
}

// RolloutRead records the state of the rollout that a control VM tells to a call
// sent at a time. It returns the state, and whether the rollout has ended.
func (j *Judge) RolloutRead(vm string, sentAt time.Time, status int, text string) (state dhpb.RolloutState, ended bool) {
	defer j.lock()()
	switch {
	case status == http.StatusNotFound && sentAt.Sub(j.rollout.acknowledged) > applyBound:
		j.violate("rollout", "%s does not know the rollout that was acknowledged", vm)
		return 0, true
	case status != http.StatusOK:
		return 0, false
	}
	state, target, err := platform.DecodeRollout([]byte(text))
	if err != nil || target != versionNew {
		j.violate("rollout", "%s tells %q of the rollout to %s", vm, text, versionNew)
		return 0, true
	}
	if state == dhpb.RolloutState_ROLLOUT_STATE_COMPLETED && j.rollout.bad {
		j.violate("rollout", "%s tells that the rollout of a bad version is completed", vm)
	}
	return state, state != dhpb.RolloutState_ROLLOUT_STATE_TRIAL
}

// countBad counts the bad answers of the new version.
func (j *Judge) countBad(r run) {
	if j.rollout == nil || r.version != versionNew || r.status < http.StatusInternalServerError {
		return
	}
	if j.rollout.badAnswers++; j.rollout.badAnswers == badAnswers {
		j.rollout.proved = j.Timers.Now()
	}
}

// checkRollback checks that a bad version gets nothing once it is proved bad.
func (j *Judge) checkRollback(r *request, s seen) {
	if j.rollout == nil || s.version != versionNew || j.rollout.proved.IsZero() || !j.inTouch(r.entry, r.sentAt) {
		return
	}
	if late := r.sentAt.Sub(j.rollout.proved); late > rollbackBound {
		j.violate("exposure", "request %s reaches the bad version %v after its bad answer number %d", r.id, late, badAnswers)
	}
}

// checkExposure checks the share of the requests that a bad version got.
func (j *Judge) checkExposure() {
	if j.rollout == nil || !j.rollout.bad {
		return
	}
	all, exposed := 0, 0
	for _, a := range j.arrivals[j.rollout.pool] {
		if a.at.Before(j.rollout.ordered) || a.at.Sub(j.rollout.ordered) > rolloutTime {
			continue
		}
		all++
		if a.version == versionNew {
			exposed++
		}
	}
	if most := int(exposureShare*float64(all)) + exposureSlack; exposed > most {
		j.violate("exposure", "the bad version gets %d of %d requests, %d are allowed", exposed, all, most)
	}
}
