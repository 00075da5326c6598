package dhcontrol

import (
	"context"
	"time"

	"dandelionhoist.example/dh/dhbackend"
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
		if c.quarantine.Evaluate(&announced{control: c}, time.Duration(c.rank())*investigationRankDelay) {
			c.notify()
		}
	}
	return nil
}

// announced implements dhquarantine.Backends with the registry, which it reads when it
// is first asked.
type announced struct {
	control *Control
	byID    map[string]*dhbackend.Backend
}

// AnnouncedSince implements dhquarantine.Backends.
func (a *announced) AnnouncedSince(id string, incarnation uint64, at time.Time) bool {
	if a.byID == nil {
		a.byID = make(map[string]*dhbackend.Backend)
		for _, b := range a.control.registry.Backends() {
			a.byID[b.ID] = b
		}
	}
	b := a.byID[id]
	return b != nil && b.Incarnation == incarnation && b.Seen.After(at)
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
