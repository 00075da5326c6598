package dhcontrol

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// replicateWait is how long the acknowledgement of a leave waits for the
	// other control VMs to know of it: a watch of theirs answers at once, and
	// a backend server goes to another VM after a second.
	replicateWait = 400 * time.Millisecond
	// replicatePoll is the time between two looks.
	replicatePoll = 10 * time.Millisecond
)

// Announce takes the announcement of a backend server. When the server begins
// to leave, it returns once most control VMs know of it, or after a bounded
// wait. Codes: request-malformed, table-full.
func (c *Control) Announce(ctx context.Context, r *dhpb.BackendRecord) error {
	change, err := c.registry.Announce(r)
	if err != nil {
		c.Metrics.Count("announcement", "refused")
		c.Log.Warn("announcement refused", slog.String("backend", r.GetId()), slog.String("error", err.Error()))
		return err
	}
	c.Metrics.Count("announcement", r.GetState())
	if change.Content {
		c.logBackend(r, "announcement")
		c.notify()
	}
	if change.Left {
		c.replicate(ctx, change.Position)
	}
	return nil
}

// Leave notes that a backend server leaves for good. An incarnation of 0 means
// the one that is known.
func (c *Control) Leave(ctx context.Context, id string, incarnation uint64) {
	change := c.registry.Remove(id, incarnation)
	c.Log.Info("backend server leaves", slog.String("backend", id), slog.Uint64("incarnation", incarnation), slog.Bool("known", change.Content))
	if change.Content {
		c.notify()
		c.replicate(ctx, change.Position)
	}
}

// learn merges a record of the control VM with an address and reports whether
// the content changed.
func (c *Control) learn(r *dhpb.BackendRecord, from string) bool {
	change, err := c.registry.Learn(r, from)
	if err != nil {
		c.Log.Warn("record refused", slog.String("backend", r.GetId()), slog.String("from", from), slog.String("error", err.Error()))
		return false
	}
	if change.Content {
		c.logBackend(r, from)
	}
	return change.Content
}

func (c *Control) logBackend(r *dhpb.BackendRecord, from string) {
	c.Log.Info("backend server", slog.String("backend", r.GetId()), slog.String("pool", r.GetPool()), slog.String("zone", r.GetZone()),
		slog.String("state", r.GetState()), slog.String("release", r.GetRelease()), slog.Uint64("incarnation", r.GetIncarnation()),
		slog.Uint64("sequence", r.GetSequence()), slog.String("from", from))
}

// replicate waits until most control VMs have the registry up to a position.
func (c *Control) replicate(ctx context.Context, position uint64) {
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, replicateWait)
	defer cancel()
	for !c.peers.replicated(position) {
		if dhtimer.Sleep(ctx, c.Timers, replicatePoll) != nil {
			c.Log.Warn("leave acknowledged before others know of it", slog.Uint64("position", position))
			return
		}
	}
}
