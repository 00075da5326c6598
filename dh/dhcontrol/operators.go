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

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhversion"
)

// operationsKey is the key of the register that holds the operations.
const operationsKey = "operations"

func parseOperations(value []byte) (*dhpb.Operations, error) {
	operations := new(dhpb.Operations)
	if err := proto.Unmarshal(value, operations); err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("register of the operations: %w", err))
	}
	return operations, nil
}

// Replace puts a document in force. It does nothing and returns no error if a
// document with the same or a higher version is in force. Codes: tables-invalid
// for an invalid document, edit-unknown when the document may still come into
// force.
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

// Read returns the text of the document in force, or nil if there is none. The
// code quorum-unreachable means that this VM could not determine the current
// document.
func (c *Control) Read(ctx context.Context) ([]byte, error) {
	document, err := c.documents.Read(ctx)
	if err != nil {
		return nil, err
	}
	c.applyDocument(document)
	return document.GetText(), nil
}

// TakeOut takes an availability zone out of service: its backend servers receive
// no new requests. Code: request-malformed.
func (c *Control) TakeOut(ctx context.Context, zone string) error {
	if err := dhbackend.CheckNames(zone); err != nil {
		return err
	}
	return c.updateOperations(ctx, "zone taken out", zone, func(o *dhpb.Operations) error {
		if !slices.Contains(o.ZonesOut, zone) {
			o.ZonesOut = append(o.ZonesOut, zone)
		}
		return nil
	})
}

// TakeBack puts a zone that TakeOut removed back into service. Code: request-malformed.
func (c *Control) TakeBack(ctx context.Context, zone string) error {
	if err := dhbackend.CheckNames(zone); err != nil {
		return err
	}
	return c.updateOperations(ctx, "zone taken back", zone, func(o *dhpb.Operations) error {
		o.ZonesOut = slices.DeleteFunc(o.ZonesOut, func(z string) bool { return z == zone })
		return nil
	})
}

// StartRollout starts moving a pool to a version within a duration. Repeating a
// known rollout is no error. The code lease-held-elsewhere means that another
// rollout of the pool is in progress.
func (c *Control) StartRollout(ctx context.Context, pool, target string, duration time.Duration) error {
	if pool == "" || target == "" || duration <= 0 {
		return dhcode.Errorf(dhcode.RequestMalformed, "a rollout needs a pool, a version and a duration above 0")
	}
	if err := dhbackend.CheckNames(pool, target); err != nil {
		return err
	}
	started := c.Timers.Now().UnixMilli()
	plan := dhversion.NewPlan(c.exposure(), c.entries.rate(pool), duration)
	return c.updateOperations(ctx, "rollout", pool+" to "+target, func(o *dhpb.Operations) error {
		r := findRollout(o, pool)
		if r == nil {
			r = &dhpb.RolloutRecord{Pool: pool}
			o.Rollouts = append(o.Rollouts, r)
		}
		if r.GetTarget() == target {
			return nil // repeated request
		}
		if inProgress(r) {
			return dhcode.Errorf(dhcode.LeaseHeldElsewhere, "the rollout of pool %q to %q is in progress", pool, r.GetTarget())
		}
		r.Target, r.State, r.Duration = target, dhpb.RolloutState_ROLLOUT_STATE_TRIAL, durationpb.New(duration)
		r.Number, r.StartedAt, r.Share, r.Margin = o.GetNumber()+1, started, plan.Share, durationpb.New(plan.Margin)
		r.Reverted = slices.DeleteFunc(r.Reverted, func(v string) bool { return v == target })
		return nil
	})
}

// ReadRollout returns the latest rollout of a pool, or nil if there is none.
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

// errUnchanged aborts an update that would not change the stored value.
var errUnchanged = errors.New("nothing to change")

// updateOperations applies a change to the operations register. The function
// change may be called several times and must depend only on its argument.
func (c *Control) updateOperations(ctx context.Context, order, subject string, change func(o *dhpb.Operations) error) error {
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
