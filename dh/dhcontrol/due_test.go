package dhcontrol_test

import (
	"context"
	"testing"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// keepRate reports a request rate of pool "p" to a control VM until the test ends.
func (c *cluster) keepRate(name string, rate float64) {
	node := c.network.Start("rates", nil)
	node.Group().Go(func(ctx context.Context) error {
		for dhtimer.Sleep(ctx, c.timers, 300*time.Millisecond) == nil {
			_, _ = peers{node}.Watch(ctx, name, &dhpb.ControlWatchRequest{Vm: "rates", Report: &dhpb.EntryReport{
				Rates: []*dhpb.PoolRate{{Pool: "p", PerSecond: rate}},
			}}) // the next report follows
		}
		return nil
	})
}

// Guards against a sound version that is completed late because a decision waits for the
// next evaluation: when the exposure lets the shift begin just in time, each wait counts
// against the duration.
func TestRolloutStepsAreDecidedWhenDue(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.keepRate("c0", 28)
		c.advance(time.Second)
		sound := func(step int64) answers { return answers{all: 2 * step} }
		phases := rolloutPhasesBeside(c, 15*time.Second, 18*time.Second, sound, sound)
		if len(phases) != 3 || phases[2].state != dhpb.RolloutState_ROLLOUT_STATE_COMPLETED {
			t.Errorf("the rollout is not completed: %v", phases)
			return
		}
		// 0.6 s of shift, the write of the decision, and the steps of the reader.
		if shift := phases[2].at - phases[1].at; shift >= 750*time.Millisecond {
			t.Errorf("the shift lasted %s: %v", shift, phases)
		}
	})
}
