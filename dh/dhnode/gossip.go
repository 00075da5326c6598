package dhnode

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// digest is the control state that gossip carries. It is immutable.
type digest struct {
	revision uint64
	// own holds the counters of this VM, counters those of all VMs.
	own, counters []*dhpb.VersionCounter
	holds         []*dhpb.Hold
}

// allCountersInterval is the number of messages of which one carries the counters
// of all VMs, for members that cannot be reached by the VM that owns a counter.
const allCountersInterval = 8

// Gossip attaches revision, counters and holds to gossip messages.
type Gossip struct{ Node *Node }

// Fill implements dhmember.Payload.
func (g Gossip) Fill(_ dhmember.Member, msg *dhpb.GossipMessage) {
	d := g.Node.digest.Load()
	msg.Revision, msg.Counters, msg.Holds = d.revision, d.own, d.holds
	if g.Node.messagesFilled.Add(1)%allCountersInterval == 0 {
		msg.Counters = d.counters
	}
}

// Merge implements dhmember.Payload.
func (g Gossip) Merge(msg *dhpb.GossipMessage) {
	n := g.Node
	if len(msg.GetCounters()) > 0 || len(msg.GetHolds()) > 0 {
		n.post(evidenceReceived{counters: msg.GetCounters(), holds: msg.GetHolds()})
	}
	if msg.GetRevision() > n.Revisions.NewestNumber() {
		n.fetch(msg.GetFrom(), msg.GetRevision())
	}
}

type evidenceReceived struct {
	counters []*dhpb.VersionCounter
	holds    []*dhpb.Hold
}

func (e evidenceReceived) apply(n *Node, _ time.Time) { n.Evidence.Merge(e.counters, e.holds) }

// fetch fetches a newer revision from a member unless a fetch is in progress.
func (n *Node) fetch(name string, revision uint64) {
	member, ok := n.Members.View().Get(name)
	if !ok || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	n.Group.Go(func(ctx context.Context) error {
		defer n.fetching.Store(false)
		if err := n.fetchFrom(ctx, member.Address, revision); err != nil {
			n.Log.Warn("revision not fetched", slog.String("from", name), slog.Uint64("revision", revision), slog.String("error", err.Error()))
		}
		return nil
	})
}

// fetchTimeout bounds the transfer of one revision.
const fetchTimeout = 2 * time.Second

func (n *Node) fetchFrom(ctx context.Context, address string, revision uint64) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, n.Timers, fetchTimeout)
	defer cancel()
	m, err := n.Peers.FetchRevision(ctx, address, revision)
	if err != nil || !m.GetFound() {
		return err
	}
	r, err := dhedit.FromMessage(m)
	if err != nil {
		return err
	}
	n.applyRevision(r)
	return nil
}

// applyRevision stores a higher revision. It takes effect when it is published.
func (n *Node) applyRevision(r *dhedit.Revision) {
	if n.Revisions.Apply(r) {
		n.Log.Info("revision", slog.Uint64("revision", r.Revision), slog.String("edit", r.EditID))
	}
	n.post(newRevision{})
}
