package dhcontrol

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// operationsKey is the register of the operations.
const operationsKey = "operations"

func parseOperations(value []byte) (*dhpb.Operations, error) {
	operations := new(dhpb.Operations)
	if err := proto.Unmarshal(value, operations); err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("register of the operations: %w", err))
	}
	return operations, nil
}

// Replace puts a document in force unless one with the same or a higher
// version is, which is no error. Codes: tables-invalid for a document that is
// not valid, edit-unknown when it may still come into force.
func (c *Control) Replace(ctx context.Context, version uint64, text []byte) error {
	if _, err := c.Decode(text); err != nil {
		c.Metrics.Count("document", "refused")
		c.Log.Warn("document refused", slog.Uint64("version", version), slog.Int("bytes", len(text)), slog.String("error", err.Error()))
		return err
	}
	inForce, err := c.documents.Replace(ctx, &dhpb.Document{Version: version, Text: text})
	if err != nil {
		c.Metrics.Count("document", "not-settled")
		c.Log.Warn("document not settled", slog.Uint64("version", version), slog.String("error", err.Error()))
		return err
	}
	c.applyDocument(inForce)
	c.Metrics.Count("document", "acknowledged")
	c.Log.Info("document acknowledged", slog.Uint64("version", version), slog.Uint64("in-force", inForce.GetVersion()))
	return nil
}

// Read returns the text of the document in force, or nil when there is none.
// The code quorum-unreachable means that this VM cannot be sure which it is.
func (c *Control) Read(ctx context.Context) ([]byte, error) {
	document, err := c.documents.Read(ctx)
	if err != nil {
		return nil, err
	}
	c.applyDocument(document)
	return document.GetText(), nil
}

// TakeOut takes an availability zone out: its backend servers get nothing more.
func (c *Control) TakeOut(ctx context.Context, zone string) error {
	return c.operate(ctx, "zone taken out", zone, func(o *dhpb.Operations) error {
		if !slices.Contains(o.ZonesOut, zone) {
			o.ZonesOut = append(o.ZonesOut, zone)
		}
		return nil
	})
}

// TakeBack ends TakeOut.
func (c *Control) TakeBack(ctx context.Context, zone string) error {
	return c.operate(ctx, "zone taken back", zone, func(o *dhpb.Operations) error {
		o.ZonesOut = slices.DeleteFunc(o.ZonesOut, func(z string) bool { return z == zone })
		return nil
	})
}

// StartRollout begins to move a pool to a version within a duration. It is no
// error when the rollout is known already. The code lease-held-elsewhere means
// that another rollout of the pool is in progress.
func (c *Control) StartRollout(ctx context.Context, pool, target string, duration time.Duration) error {
	if pool == "" || target == "" || duration <= 0 {
		return dhcode.Errorf(dhcode.RequestMalformed, "a rollout needs a pool, a version and a duration above 0")
	}
	started := c.Timers.Now().UnixMilli()
	share, margin := c.rolloutPlan(pool, duration)
	return c.operate(ctx, "rollout", pool+" to "+target, func(o *dhpb.Operations) error {
		r := findRollout(o, pool)
		if r == nil {
			r = &dhpb.RolloutRecord{Pool: pool}
			o.Rollouts = append(o.Rollouts, r)
		}
		if r.GetTarget() == target {
			return nil // the same order, sent again
		}
		if inProgress(r) {
			return dhcode.Errorf(dhcode.LeaseHeldElsewhere, "the rollout of pool %q to %q is in progress", pool, r.GetTarget())
		}
		r.Target, r.State, r.Duration = target, dhpb.RolloutState_ROLLOUT_STATE_TRIAL, durationpb.New(duration)
		r.Number, r.StartedAt, r.Share, r.Margin = o.GetNumber()+1, started, share, durationpb.New(margin)
		r.Reverted = slices.DeleteFunc(r.Reverted, func(v string) bool { return v == target })
		return nil
	})
}

const (
	// trialRate is how many requests a second try the target of a rollout: the
	// evidence against a version of which half of the answers are bad comes in
	// within two seconds.
	trialRate = 6.0
	// minTrialShare bounds the share where there is much traffic.
	minTrialShare = 0.01
	// trialExposure is the part of the accepted exposure that a trial may use,
	// and exposureUsed the part of it, and slackUsed that of the slack, that a
	// whole rollout may use: sessions differ in size, and rates change. The slack
	// counts as slackMost of the accepted exposure at most, since the rate of
	// requests is underestimated soon after a start.
	trialExposure = 0.5
	exposureUsed  = 0.95
	slackUsed     = 0.5
	slackMost     = 0.2
	// trialAnswers is how many answers of the target a trial is to have, also
	// where the accepted exposure has no room for it: without evidence a bad
	// version is found only when all sessions use it (found by the soak, seed
	// 1796379163051793904).
	trialAnswers = 12
	// minMargin and maxMargin bound the time before the end of the duration at
	// which a rollout completes. Operators count from the first time that they
	// sent the order, and ask for its state about once a second.
	minMargin = 800 * time.Millisecond
	maxMargin = 2 * time.Second
)

// rolloutPlan returns the part of the sessions that try the target of a
// rollout, and how long before the end of its duration it completes. Each
// session in the trial that began before is moved by it, also when entry VMs do
// not know of it, so that the share is as small as the evidence permits. What
// all sessions send to the target at the end must fit into the accepted
// exposure too; the margin is as long as that permits.
func (c *Control) rolloutPlan(pool string, duration time.Duration) (share float64, margin time.Duration) {
	rate := c.entries.rate(pool)
	if rate <= 0 {
		return c.Exposure * trialExposure, maxMargin
	}
	slack := min(slackUsed*c.ExposureSlack/(rate*duration.Seconds()), slackMost*c.Exposure)
	accepted := exposureUsed*c.Exposure + slack
	last := time.Duration((accepted - minTrialShare) * float64(duration))
	margin = min(max(last-minShift, minMargin), maxMargin)
	spare := accepted - float64(minShift+margin)/float64(duration)
	needed := trialAnswers / (rate * max(duration-minShift-margin, duration/2).Seconds())
	return min(max(min(trialRate/rate, spare), needed, minTrialShare), c.Exposure*trialExposure), margin
}

// ReadRollout returns the newest rollout of a pool, or nil when there was none.
func (c *Control) ReadRollout(ctx context.Context, pool string) (*dhpb.RolloutRecord, error) {
	value, err := c.proposer.Read(ctx, operationsKey)
	if err != nil {
		return nil, err
	}
	operations, err := parseOperations(value)
	if err != nil {
		return nil, err
	}
	c.applyOperations(operations)
	return findRollout(operations, pool), nil
}

func findRollout(o *dhpb.Operations, pool string) *dhpb.RolloutRecord {
	for _, r := range o.GetRollouts() {
		if r.GetPool() == pool {
			return r
		}
	}
	return nil
}

func inProgress(r *dhpb.RolloutRecord) bool {
	return r.GetState() == dhpb.RolloutState_ROLLOUT_STATE_TRIAL || r.GetState() == dhpb.RolloutState_ROLLOUT_STATE_SHIFT
}

// errUnchanged ends an update that would write what is there.
var errUnchanged = errors.New("nothing to change")

// operate changes the operations. Change may run several times and must work
// on what it is given.
func (c *Control) operate(ctx context.Context, order, subject string, change func(o *dhpb.Operations) error) error {
	stored, err := c.proposer.Update(ctx, operationsKey, func(old []byte) ([]byte, error) {
		before, err := parseOperations(old)
		if err != nil {
			return nil, err
		}
		after := proto.CloneOf(before)
		if err := change(after); err != nil {
			return nil, err
		}
		if proto.Equal(before, after) {
			return old, nil
		}
		after.Number++
		return proto.Marshal(after)
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	if err != nil {
		c.Metrics.Count("order", "not-settled")
		c.Log.Warn("order not settled", slog.String("order", order), slog.String("subject", subject), slog.String("error", err.Error()))
		return err
	}
	operations, err := parseOperations(stored)
	if err != nil {
		return err
	}
	c.applyOperations(operations)
	c.Metrics.Count("order", "settled")
	c.Log.Info("order settled", slog.String("order", order), slog.String("subject", subject), slog.Uint64("number", operations.GetNumber()))
	return nil
}
