package dhnode

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// leasePeriod is the time between two questions to the voters.
	leasePeriod = 500 * time.Millisecond
	// startWait is how long a starting VM waits for peers that may know a newer
	// revision, once it has one.
	startWait = 2 * time.Second
	// announceWait is how long a VM that serves waits for a backend server of
	// each pool before it reports itself as ready; they announce themselves every second.
	announceWait = 2 * time.Second
)

// KeepLease renews the tables lease until ctx ends. Each answer from a
// majority of voters also brings the newest decided revision.
func (n *Node) KeepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		n.renew(ctx)
		if err := dhtimer.Sleep(ctx, n.Timers, leasePeriod); err != nil {
			return nil
		}
	}
	return nil
}

func (n *Node) renew(ctx context.Context) {
	before := n.Revisions.NewestNumber()
	err := n.lease.Refresh(ctx, func(ctx context.Context) error {
		ctx, cancel := dhtimer.WithTimeout(ctx, n.Timers, time.Duration(n.Settings.Timing.QuorumTimeout))
		defer cancel()
		_, err := dhedit.CatchUp(ctx, n.Registers, n.Revisions)
		return err
	})
	if err != nil {
		n.Metrics.Count("tables-lease", "failed")
		return
	}
	n.setStarted()
	if n.Revisions.NewestNumber() > before {
		n.post(newRevision{})
	}
}

// WaitStarted lets the node serve once it has the newest revision that its
// reachable peers know: from a majority of voters, or, where none can be
// reached, from the members that answered within startWait.
func (n *Node) WaitStarted(ctx context.Context) error {
	if err := dhtimer.Sleep(ctx, n.Timers, startWait); err != nil {
		return nil
	}
	for !n.started.Load() && ctx.Err() == nil {
		if n.hasNewestOfPeers() {
			n.Log.Warn("serving without a majority of voters", slog.Uint64("revision", n.Revisions.NewestNumber()))
			n.setStarted()
		}
		if err := dhtimer.Sleep(ctx, n.Timers, leasePeriod); err != nil {
			return nil
		}
	}
	return nil
}

func (n *Node) hasNewestOfPeers() bool {
	newest := n.Revisions.NewestNumber()
	if newest == 0 {
		return false
	}
	for _, m := range n.Members.View().Alive() {
		if m.Revision > newest {
			return false
		}
	}
	return true
}

func (n *Node) setStarted() {
	if n.started.CompareAndSwap(false, true) {
		now := n.Timers.Now()
		n.startedAt.Store(&now)
		n.Log.Info("serving", slog.Uint64("revision", n.Revisions.NewestNumber()))
		n.post(newRevision{})
	}
}

// Ready reports whether the node serves; the balancer's health check asks.
func (n *Node) Ready() bool {
	s := n.Router.Snapshot()
	return s.Tables != nil && !s.Leaving && !n.noticed.Load() && n.hasBackends(s)
}

// hasBackends reports whether a backend server of each pool is known, or has
// had the time to announce itself. A VM without one refuses requests that the
// others could answer.
func (n *Node) hasBackends(s *dhrouter.Snapshot) bool {
	if at := n.startedAt.Load(); at != nil && n.Timers.Now().Sub(*at) >= announceWait {
		return true
	}
	for pool := range s.Tables.Pools {
		if len(s.Backends.Pool(pool)) == 0 {
			return false
		}
	}
	return true
}

// Left reports whether work is refused because of a graceful shutdown.
func (n *Node) Left() bool { return n.leaving.Load() }

// Leave starts a graceful shutdown. Ready fails at once; work is refused only
// after the settings' leave-notice, so that the balancer can send it elsewhere
// first. Leave returns when nothing is running or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.noticed.Store(true)
	if dhtimer.Sleep(ctx, n.Timers, n.Settings.Timing.LeaveNotice.Std()) != nil {
		return
	}
	n.leaving.Store(true)
	n.post(newRevision{})
	n.Log.Info("leaving", slog.Int("running", n.Answers.Running()))
	for ctx.Err() == nil {
		if err := dhtimer.Sleep(ctx, n.Timers, leasePeriod); err != nil {
			return
		}
		if n.Answers.Running() == 0 {
			break
		}
	}
	n.Members.Leave(ctx)
}
