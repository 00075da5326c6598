package dhcontrol

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// replicateTimeout bounds how long the acknowledgement of a leave waits until
	// other control VMs have received it. Their watches return at once, and a
	// backend server switches to another VM after one second.
	replicateTimeout = 400 * time.Millisecond
	// replicatePollInterval is the time between two checks of the replication.
	replicatePollInterval = 10 * time.Millisecond
)

// Announce processes the announcement of a backend server. If the server leaves, Announce
// returns once this is durable and most control VMs have received it, the latter for at
// most replicateTimeout. Codes: request-malformed, table-full, quorum-unreachable if the
// leave may be forgotten, though it is in force on this VM.
func (c *Control) Announce(ctx context.Context, r *dhpb.BackendRecord) error {
	change, err := c.registry.Announce(r)
	if err != nil {
		c.Metrics.Count("announcement", "refused")
		c.Log.Warn("announcement refused", slog.String("backend", r.GetId()), slog.String("error", err.Error()))
		return err
	}
	if change.Departed {
		c.Metrics.Count("announcement", "departed")
		c.Log.Info("announcement after the leave", slog.String("backend", r.GetId()),
			slog.Uint64("incarnation", r.GetIncarnation()), slog.Uint64("sequence", r.GetSequence()))
		return nil
	}
	c.Metrics.Count("announcement", r.GetState())
	if change.Content {
		c.logBackend(r, "announcement")
	}
	if change.Content || change.Left {
		c.notify()
	}
	if r.GetState() != dhbackend.Leaving.String() {
		return nil
	}
	return c.acknowledgeLeave(ctx, r.GetId(), change)
}

// Leave removes a backend server permanently, whether this VM knows it or not. An
// incarnation of 0 stands for the known one. Codes: request-malformed, quorum-unreachable if
// the leave may be forgotten, or if it names no incarnation and this VM does not know all
// backend servers.
func (c *Control) Leave(ctx context.Context, id string, incarnation uint64) error {
	if err := dhbackend.CheckNames(id); err != nil {
		c.Metrics.Count("leave", "refused")
		c.Log.Warn("leave refused", slog.String("error", err.Error()))
		return err
	}
	change, known := c.registry.Remove(id, incarnation)
	c.Log.Info("backend server leaves", slog.String("backend", id), slog.Uint64("incarnation", incarnation),
		slog.Bool("known", known), slog.Bool("changed", change.Content))
	if !known {
		if !c.registryComplete() {
			return dhcode.Errorf(dhcode.QuorumUnreachable, "control VM %q does not know all backend servers yet", c.Name)
		}
		return nil
	}
	if change.Content {
		c.notify()
	}
	return c.acknowledgeLeave(ctx, id, change)
}

// acknowledgeLeave waits until a leave may be acknowledged.
func (c *Control) acknowledgeLeave(ctx context.Context, id string, change dhbackend.Change) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, quorumTimeout)
	defer cancel()
	if err := c.departures.settle(ctx, id); err != nil {
		return err
	}
	if change.Left {
		c.replicate(ctx, change.Position)
	}
	return nil
}

// mergeRecord merges a record received from the control VM with the address from,
// and reports whether the content of the registry changed.
func (c *Control) mergeRecord(r *dhpb.BackendRecord, from string) bool {
	change, err := c.registry.AddForwarded(r, from)
	if err != nil {
		c.Log.Warn("backend record refused", slog.String("backend", r.GetId()), slog.String("from", from), slog.String("error", err.Error()))
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

// replicate waits until most control VMs have received the registry up to a
// position, or until replicateTimeout.
func (c *Control) replicate(ctx context.Context, position uint64) {
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, replicateTimeout)
	defer cancel()
	for !c.peers.replicated(position) {
		if dhtimer.Sleep(ctx, c.Timers, replicatePollInterval) != nil {
			c.Log.Warn("leave acknowledged before it was replicated", slog.Uint64("position", position))
			return
		}
	}
}
