// Package dhnode implements the control plane of an entry VM. One goroutine owns
// the control state: on each tick it updates the tables (backend servers,
// members, versions, limits) and publishes a snapshot that request handling
// reads. Events from other goroutines are queued in a bounded channel.
//
// # Usage
//
//	node := &dhnode.Node{Settings: settings, Timers: timers, Group: group, Log: log, ...}
//	group.Go(node.Run)
//	err := node.Announce(record)  // from the announcement service
//	revision, err := node.Edit(ctx, edit)
//	node.Leave(ctx)               // graceful shutdown: returns when nothing is running
package dhnode

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

// maxEvents is the capacity of the control goroutine's event queue.
const maxEvents = 8192

// Registers reads and updates the replicated registers.
type Registers interface {
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	Read(ctx context.Context, key string) ([]byte, error)
}

// Membership is the part of dhmember.Members that the node uses.
type Membership interface {
	View() *dhmember.View
	SetSelf(c dhmember.SelfUpdate)
	Push(ctx context.Context)
	Leave(ctx context.Context)
}

// Peers calls other entry VMs.
type Peers interface {
	FetchRevision(ctx context.Context, address string, revision uint64) (*dhpb.Revision, error)
}

// Node is the control plane of an entry VM. Exported fields are set before Run.
type Node struct {
	Settings  dhsetting.Settings
	Timers    dhtimer.Service
	Group     *dhgroup.Group
	Log       *slog.Logger
	Metrics   *dhmetric.Metrics
	Members   Membership
	Peers     Peers
	Registers Registers
	Revisions *dhedit.Revisions
	Router    *dhrouter.Router
	Limiter   *dhlimit.Limiter
	Answers   *dhanswer.Table
	Evidence  *dhversion.Evidence
	Criteria  dhversion.AnswerCriteria
	// VoterStatus returns the ID and synced record number of this VM's voter, if any.
	VoterStatus func() (id string, sequence uint64)
	// IsVoter reports whether a voter ID is in the voter set known to this VM.
	// Other VMs with a disk are spares.
	IsVoter func(id string) bool
	// Prepare holds functions that the control goroutine calls with each snapshot
	// before publishing it.
	Prepare []func(now time.Time, s *dhrouter.Snapshot)

	backends dhbackend.Table
	zones    zoneRamp
	lease    dhedit.Lease
	editor   dhedit.Editor
	events   chan event
	// leaveAnnounced is set when Ready starts to fail before a shutdown, leaving
	// when requests are refused.
	leaveAnnounced atomic.Bool
	leaving        atomic.Bool
	started        atomic.Bool
	// startedAt is the time at which started was set.
	startedAt atomic.Pointer[time.Time]
	// droppedEvents counts events dropped because the queue was full.
	droppedEvents atomic.Int64
	// digest is the control state that gossip messages carry.
	digest atomic.Pointer[digest]
	rates  atomic.Pointer[rates]
	// messagesFilled counts outgoing gossip messages.
	messagesFilled atomic.Uint64
	// fetching is set while a newer revision is being fetched.
	fetching atomic.Bool
}

// event is a state change applied by the control goroutine.
type event interface{ apply(n *Node, now time.Time) }

// Init initializes the node. It must be called once, before Run and before the
// first request.
func (n *Node) Init() {
	n.events = make(chan event, maxEvents)
	n.backends = dhbackend.Table{Lease: time.Duration(n.Settings.Timing.BackendLease), MaxBackends: n.Settings.Limits.Backends}
	n.lease = dhedit.Lease{Timers: n.Timers, Duration: time.Duration(n.Settings.Timing.TablesLease)}
	n.editor = dhedit.Editor{Registers: n.Registers, Revisions: n.Revisions, Decided: n.decided}
	n.digest.Store(&digest{})
}

// Run applies events and ticks to the control state until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	ticks := make(chan time.Time, 1)
	cancel := n.Timers.Subscribe(time.Duration(n.Settings.Timing.Tick), func(now time.Time) {
		select {
		case ticks <- now:
		default: // the control goroutine is behind; the pending tick covers this one
		}
	})
	defer cancel()
	for {
		select {
		case e := <-n.events:
			e.apply(n, n.Timers.Now())
		case now := <-ticks:
			n.Tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// post queues an event for the control goroutine. It does not block: if the queue
// is full, the event is dropped and counted.
func (n *Node) post(e event) bool {
	select {
	case n.events <- e:
		return true
	default:
		n.droppedEvents.Add(1)
		n.Metrics.Count("events", "dropped")
		return false
	}
}

// ApplyEvents applies all queued events. Tests with a stepped clock call it instead of
// Run.
func (n *Node) ApplyEvents(now time.Time) {
	for {
		select {
		case e := <-n.events:
			e.apply(n, now)
		default:
			return
		}
	}
}

// AnnounceFromPeer queues a record of a backend server that another entry VM forwarded.
func (n *Node) AnnounceFromPeer(b *dhbackend.Backend) { n.post(announced{backend: b}) }

// Announce queues an announcement from a backend server. It fails with table-full
// if the event queue is full.
func (n *Node) Announce(r *dhpb.BackendRecord) error {
	b, err := dhbackend.FromRecord(r, n.Timers.Now())
	if err != nil {
		return err
	}
	if !n.post(announced{backend: b, direct: true}) {
		return dhcode.Errorf(dhcode.TableFull, "%d events wait for the control goroutine", maxEvents)
	}
	return nil
}

// ReportAttempt queues the result of an attempt.
func (n *Node) ReportAttempt(e dhrouter.Event) { n.post(attemptEnded{e}) }

type announced struct {
	backend *dhbackend.Backend
	// direct is set when the backend server announced itself to this VM.
	direct bool
}

func (e announced) apply(n *Node, _ time.Time) {
	old, known := n.backends.Get(e.backend.ID)
	if err := n.backends.Announce(e.backend); err != nil {
		n.Log.Warn("announcement refused", slog.String("backend", e.backend.ID), slog.String("error", err.Error()))
		return
	}
	if known && old.State == e.backend.State {
		return
	}
	n.Log.Info("backend server", slog.String("backend", e.backend.ID), slog.String("pool", e.backend.Pool),
		slog.String("zone", e.backend.Zone), slog.String("state", e.backend.State.String()))
	if e.direct && e.backend.State == dhbackend.Leaving {
		n.publish(n.Timers.Now())
		n.Group.Go(func(ctx context.Context) error { n.Members.Push(ctx); return nil })
	}
}

type attemptEnded struct{ dhrouter.Event }

func (e attemptEnded) apply(n *Node, _ time.Time) {
	bad := n.Criteria.Bad(dhversion.Answer{
		Failed: e.Failed, Tokens: e.Tokens, MaxTokens: e.MaxTokens, FirstToken: e.FirstToken,
	})
	count := int64(0)
	if bad {
		count = 1
	}
	n.Evidence.Count(e.Pool, e.Version, 1, count)
}

// ReportRating queues the rating of an answer.
func (n *Node) ReportRating(v dhtable.Version, rating float64) {
	n.post(rated{version: v, rating: rating})
}

type rated struct {
	version dhtable.Version
	rating  float64
}

func (e rated) apply(n *Node, _ time.Time) {
	newest := n.Revisions.Newest()
	if newest == nil {
		return
	}
	low := int64(0)
	if n.Criteria.Low(e.rating) {
		low = 1
	}
	for pool := range newest.Tables.Pools {
		if _, ok := newest.Tables.Entry(pool, e.version); ok {
			n.Evidence.CountRatings(pool, e.version, 1, low)
		}
	}
}

// Edit proposes an edit of the tables.
func (n *Node) Edit(ctx context.Context, edit dhedit.Edit) (uint64, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, n.Timers, time.Duration(n.Settings.Timing.QuorumTimeout))
	defer cancel()
	revision, err := n.editor.Edit(ctx, edit)
	n.Log.Info("edit", slog.String("edit", edit.ID), slog.String("author", edit.Author),
		slog.Uint64("base", edit.Base), slog.Uint64("revision", revision), slog.String("code", dhcode.Of(err).String()))
	return revision, err
}

// Compact drops the tables of old revisions from the registers.
func (n *Node) Compact(ctx context.Context) error { return n.editor.Compact(ctx) }

// decided publishes a decided revision and pushes it to the members.
func (n *Node) decided(*dhedit.Revision) { n.post(newRevision{push: true}) }

// newRevision publishes the newest revision.
type newRevision struct {
	// push sends it to the members immediately after publishing it. The messages
	// carry the published revision, so they must not be sent earlier.
	push bool
}

func (e newRevision) apply(n *Node, now time.Time) {
	n.publish(now)
	if !e.push {
		return
	}
	n.Group.Go(func(ctx context.Context) error {
		n.Members.Push(ctx)
		return nil
	})
}
