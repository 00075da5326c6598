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

// investigate periodically evaluates which prompt parts crash backend servers.
func (c *Control) investigate(ctx context.Context) error {
	for dhtimer.Sleep(ctx, c.Timers, investigationPeriod) == nil {
		if c.quarantine.Evaluate(c.registry, time.Duration(c.rank())*investigationRankDelay) {
			c.notify()
		}
	}
	return nil
}

// Quarantine returns the verdicts about prompt parts that are remembered.
func (c *Control) Quarantine() []dhquarantine.Verdict { return c.quarantine.Verdicts() }

// QuarantinePart keeps requests with a prompt part from backend servers for a time, or
// lifts the quarantine of the part.
func (c *Control) QuarantinePart(p dhquarantine.Part, lift bool, duration time.Duration, operator string) {
	c.quarantine.Decide(p, lift, duration, operator)
	c.notify()
}

func (c *Control) orderQuarantine(o *dhpb.QuarantineOrder) {
	p := dhquarantine.Part{Pool: o.GetPart().GetPool(), ID: o.GetPart().GetId()}
	c.QuarantinePart(p, o.GetLift(), o.GetDuration().AsDuration(), o.GetOperator())
}
