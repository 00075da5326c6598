package dhcontrol

import (
	"context"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// investigationPeriod is the time between two evaluations of the crashes.
	investigationPeriod = 100 * time.Millisecond
	// investigationRankDelay delays the verdict of a control VM by its rank, so that
	// usually one VM decides.
	investigationRankDelay = 100 * time.Millisecond
)

// investigate periodically evaluates what crashes backend servers.
func (c *Control) investigate(ctx context.Context) error {
	for dhtimer.Sleep(ctx, c.Timers, investigationPeriod) == nil {
		if c.quarantine.Evaluate(c.registry, time.Duration(c.rank())*investigationRankDelay) {
			c.notify()
		}
	}
	return nil
}

// Quarantine returns the verdicts about causes of crashes that are remembered.
func (c *Control) Quarantine() []dhquarantine.Verdict { return c.quarantine.Verdicts() }

// QuarantineCause keeps requests with a cause from backend servers for a time, or lifts
// the quarantine of the cause.
func (c *Control) QuarantineCause(cause dhquarantine.Cause, lift bool, duration time.Duration, operator string) {
	c.quarantine.Decide(cause, lift, duration, operator)
	c.notify()
}

func (c *Control) orderQuarantine(o *dhpb.QuarantineOrder) {
	c.QuarantineCause(dhquarantine.CauseOf(o.GetCause()), o.GetLift(), o.GetDuration().AsDuration(), o.GetOperator())
}
