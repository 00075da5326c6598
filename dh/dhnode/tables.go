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
	// leasePeriod is the interval between requests to the voters.
	leasePeriod = 500 * time.Millisecond
	// startWait is how long a starting VM waits for members that may know a newer
	// revision than its own.
	startWait = 2 * time.Second
	// announceWait is how long a started VM waits for a backend server of each
	// pool before it reports ready without one. Backend servers announce
	// themselves every second.
	announceWait = 2 * time.Second
)

// KeepLease renews the tables lease until ctx is done. Each renewal by a majority
// of voters also fetches the newest decided revision.
func (n *Node) KeepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		n.renewLease(ctx)
		if err := dhtimer.Sleep(ctx, n.Timers, leasePeriod); err != nil {
			return nil
		}
	}
	return nil
}

func (n *Node) renewLease(ctx context.Context) {
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

// WaitStarted marks the node as started once it has the newest revision known to
// its reachable peers: from a majority of voters or, if no majority can be
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

// Ready reports whether the node serves requests, for the load balancer's health check.
func (n *Node) Ready() bool {
	s := n.Router.Snapshot()
	return s.Tables != nil && !s.Leaving && !n.leaveAnnounced.Load() && n.hasBackends(s)
}

// hasBackends reports whether a backend server of each pool is known or
// announceWait has passed since the start. Without this check, a VM that does not
// know any backend server yet would refuse requests that other VMs could answer.
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

// Leaving reports whether requests are refused because of a graceful shutdown.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave performs a graceful shutdown. Ready returns false immediately; requests
// are refused only after the leave-notice of the settings, so that the load
// balancer can first route them to other VMs. Leave returns when no answer is
// running or ctx is done.
func (n *Node) Leave(ctx context.Context) {
	n.leaveAnnounced.Store(true)
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
