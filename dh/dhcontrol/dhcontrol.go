// Package dhcontrol implements a control VM: one of the few VMs with a disk,
// which store the durable state of the system and the registry of the backend
// servers.
//
// Durable state is kept in replicated registers: the operators' document
// (dhedit.Documents), the operations (zones taken out, rollouts) and the departures
// of backend servers. The registry of those in service, the loads and the answer
// counters are soft state: control VMs watch each other and merge what they
// receive, and after a restart announcements restore it within two periods.
//
// Each entry VM watches one control VM. A watch returns the changes and the age
// of the last majority read that confirmed the durable state. The key leases of
// entry VMs start at that read.
//
// # Usage
//
//	control := &dhcontrol.Control{
//		Name: "core-1", Zone: "mrc-a", Address: "10.1.0.43:7340", Seeds: seeds, Bootstrap: true,
//		OpenDisk: open, Peers: client, Timers: timers, Clock: dhtimer.Boot{}, Log: log, Decode: decode,
//	}
//	err := control.Run(ctx) // returns when ctx ends
//
// Operators call Replace, Read, TakeOut, TakeBack, StartRollout and
// ReadRollout. Backend servers call Announce and Leave. Other VMs call Watch
// and the methods of the voter.
package dhcontrol

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwatch"
)

// Peers calls other control VMs by address.
type Peers interface {
	dhquorum.Transport
	dhwatch.Source
}

// Control is one control VM. Set the exported fields before calling Run.
type Control struct {
	// Name and Zone identify this VM. Address is where it serves other VMs.
	Name, Zone, Address string
	// Incarnation increases with each start.
	Incarnation uint64
	// Seeds are addresses of control VMs. With Bootstrap set, they become the
	// first voters when the system starts for the first time.
	Seeds     []string
	Bootstrap bool
	// ToleratedFailures is the number of voters that may fail at the same time.
	ToleratedFailures int
	// BackendLease is how long an announcement is valid.
	BackendLease time.Duration
	// AnnouncePeriod is the time between two announcements of a backend server.
	AnnouncePeriod time.Duration
	// Exposure is the largest fraction of a pool's requests that an unproven
	// version may receive during its rollout, in addition to ExposureSlack
	// requests.
	Exposure, ExposureSlack float64
	// Decode parses a document and returns an error if it is invalid.
	Decode func(text []byte) (*dhtable.Tables, error)

	// OpenDisk opens the VM's disk. It is retried until it succeeds.
	OpenDisk func() (dhdisk.Disk, error)

	Peers   Peers
	Timers  dhtimer.Service
	Clock   dhwatch.Clock
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	group     *dhgroup.Group
	proposer  *dhquorum.Proposer
	documents *dhedit.Documents
	disk      dhdisk.Disk
	voter     atomic.Pointer[dhquorum.Voter]
	// firstStart is what the disk tells about the first start of the system, or nil.
	firstStart atomic.Pointer[firstStart]
	registry   *dhbackend.Registry
	entries    *entries
	views      views
	peers      *peers
	departures *departures
	grantor    *grantor
	quarantine *dhquarantine.Investigation
	evaluator  evaluator

	trialSessions trialSessions

	// confirmed is the reading of Clock since which the durable state is
	// confirmed by majority reads, or 0 before the first ones.
	confirmed atomic.Int64
	// firstConfirmed is the reading of Clock at which confirmed was first set, or 0.
	firstConfirmed atomic.Int64
	// started is the start time of this VM, from which registryComplete tells
	// whether it has received the announcements of all backend servers.
	started time.Time

	mu         sync.Mutex
	document   *dhpb.Document
	operations *dhpb.Operations
	changed    chan struct{}
}

// Limits of a control VM that are not configurable.
const (
	// leavingRetention is how long records of leaving backend servers are kept. Their
	// departures are kept longer.
	leavingRetention = 2 * time.Minute
	// maxBackends bounds the registry. It is twice the number of backend servers
	// planned for two years from now.
	maxBackends = 10_000
	// quorumTimeout bounds an operator call. Operators switch to another VM after
	// one second.
	quorumTimeout = 900 * time.Millisecond
)

// Build creates the components. Run calls it unless it has been called before.
func (c *Control) Build(ctx context.Context) {
	if c.group != nil {
		return
	}
	c.group = dhgroup.New(ctx)
	c.started = c.Timers.Now()
	c.changed = make(chan struct{})
	c.document, c.operations = &dhpb.Document{}, &dhpb.Operations{}
	c.proposer = &dhquorum.Proposer{Name: c.Name + "." + randomID(), Transport: c.Peers, Timers: c.Timers, Timeout: quorumTimeout}
	c.documents = &dhedit.Documents{Registers: c.proposer}
	c.registry = &dhbackend.Registry{
		Timers: c.Timers, Lease: c.BackendLease, KeepLeaving: max(leavingRetention, 4*c.BackendLease), MaxBackends: maxBackends,
		MaxDepartures: maxDepartures,
	}
	c.entries = &entries{timers: c.Timers}
	c.peers = newPeers(c)
	c.departures = newDepartures(c)
	c.grantor = newGrantor(c)
	c.quarantine = &dhquarantine.Investigation{Timers: c.Timers, Name: c.Name, Log: c.Log, Metrics: c.Metrics}
}

// Run serves until ctx ends. A disk fault stops the voter until the disk can be
// opened again, but never the VM.
func (c *Control) Run(ctx context.Context) error {
	c.Build(ctx)
	c.group.Go(c.superviseVoter)
	c.group.Go(c.findVoters)
	c.group.Go(c.maintainVoterSet)
	c.group.Go(c.confirmState)
	c.group.Go(c.peers.run)
	c.group.Go(c.expireBackends)
	c.group.Go(c.departures.run)
	c.group.Go(c.evaluateRollouts)
	c.group.Go(c.grantor.run)
	c.group.Go(c.investigate)
	return c.group.Wait()
}

// notify wakes the watchers.
func (c *Control) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// onChange returns a channel that is closed at the next change.
func (c *Control) onChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// applyDocument adopts a committed document if it is newer than the current one.
func (c *Control) applyDocument(document *dhpb.Document) {
	c.mu.Lock()
	newer := document.GetVersion() > c.document.GetVersion()
	if newer {
		c.document = document
	}
	c.mu.Unlock()
	if newer {
		c.Log.Info("document in force", slog.Uint64("version", document.GetVersion()), slog.Int("bytes", len(document.GetText())))
		c.notify()
	}
}

// applyOperations adopts committed operations if they are newer than the current
// ones.
func (c *Control) applyOperations(operations *dhpb.Operations) {
	c.mu.Lock()
	newer := operations.GetNumber() > c.operations.GetNumber()
	if newer {
		c.operations = operations
	}
	c.mu.Unlock()
	if newer {
		c.Log.Info("operations in force", slog.Uint64("number", operations.GetNumber()),
			slog.Any("zones-out", operations.GetZonesOut()), slog.Any("rollouts", rolloutNames(operations)))
		c.notify()
	}
}

func rolloutNames(o *dhpb.Operations) []string {
	var names []string
	for _, r := range o.GetRollouts() {
		names = append(names, r.GetPool()+"="+r.GetTarget()+":"+r.GetState().String())
	}
	return names
}

// state returns the durable state known to this VM.
func (c *Control) state() (*dhpb.Document, *dhpb.Operations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.operations
}

const (
	// confirmPeriod is the time between two majority reads, which alternate
	// between the registers. If the push of a change is lost, entry VMs learn of
	// it after at most two of these reads.
	confirmPeriod = 200 * time.Millisecond
	// disagreementRetryDelay is the delay after a read whose voters did not
	// agree, for example because a change was being written.
	disagreementRetryDelay = 40 * time.Millisecond
	// maxDisagreements is the number of consecutive failed reads after which this
	// VM resolves the value itself.
	maxDisagreements = 4
)

// confirmState reads the registers of the durable state in turn from a majority.
// The state counts as confirmed since the start of the older of the last two
// reads.
func (c *Control) confirmState(ctx context.Context) error {
	registers := []func(context.Context, readRegister) error{c.readDocument, c.readOperations}
	began := make([]time.Duration, len(registers))
	failures := 0
	for next, reads := 0, 0; ctx.Err() == nil; {
		read, now := c.proposer.Peek, c.Clock.Elapsed()
		if failures >= maxDisagreements {
			read = c.proposer.Read // makes voters that disagree converge
		}
		pause := confirmPeriod
		if err := registers[next](ctx, read); err != nil {
			if failures == maxDisagreements {
				c.Log.Warn("majority lost", slog.String("error", err.Error()))
			}
			failures++
			pause = disagreementRetryDelay
		} else {
			if failures > maxDisagreements {
				c.Log.Info("majority regained", slog.Int("failures", failures))
			}
			failures = 0
			began[next] = now
			next, reads = (next+1)%len(registers), reads+1
			if reads >= len(registers) {
				c.confirmed.Store(int64(slices.Min(began)))
				if c.firstConfirmed.CompareAndSwap(0, int64(c.Clock.Elapsed())) {
					c.notify() // watches of entry VMs wait for it
				}
			} else {
				pause = 0
			}
		}
		_ = dhtimer.Sleep(ctx, c.Timers, pause) // the loop ends with ctx
	}
	return nil
}

// readRegister reads a register from a majority of the voters.
type readRegister func(ctx context.Context, key string) ([]byte, error)

func (c *Control) readDocument(ctx context.Context, read readRegister) error {
	value, err := read(ctx, dhedit.DocumentKey)
	if err != nil {
		return err
	}
	document, err := dhedit.ParseDocument(value)
	if err != nil {
		return err
	}
	c.applyDocument(document)
	return nil
}

func (c *Control) readOperations(ctx context.Context, read readRegister) error {
	value, err := read(ctx, operationsKey)
	if err != nil {
		return err
	}
	operations, err := parseOperations(value)
	if err != nil {
		return err
	}
	c.applyOperations(operations)
	return nil
}

// confirmedAge returns the time since the durable state was last confirmed by
// majority reads, and whether it has been.
func (c *Control) confirmedAge() (time.Duration, bool) {
	at := c.confirmed.Load()
	return c.Clock.Elapsed() - time.Duration(at), at != 0
}

// knowsState reports whether this VM has read all durable state since its start: the
// document, the operations and, unless they take longer than departuresWait, the departures.
func (c *Control) knowsState() bool {
	first := c.firstConfirmed.Load()
	select {
	case <-c.departures.known:
		return first != 0
	default:
		return first != 0 && c.Clock.Elapsed()-time.Duration(first) > departuresWait
	}
}

// inMajority reports whether this VM has recently completed a majority read.
func (c *Control) inMajority() bool {
	age, ok := c.confirmedAge()
	return ok && age < maxMajorityAge
}

// maxMajorityAge is the maximum age of the last confirmation by majority reads at
// which this VM still makes decisions for the whole system.
const maxMajorityAge = time.Second

// expireBackends removes backend servers whose announcements have expired. A VM
// without a majority does not receive all announcements and therefore removes
// none. The same applies for one lease after a start or after the majority is
// regained.
func (c *Control) expireBackends(ctx context.Context) error {
	since := c.Timers.Now()
	for dhtimer.Sleep(ctx, c.Timers, c.AnnouncePeriod/4) == nil {
		now := c.Timers.Now()
		if !c.inMajority() {
			since = now
			continue
		}
		if now.Sub(since) > c.BackendLease && c.registry.Expire() {
			c.Log.Info("backend servers expired", slog.Int("left", len(c.registry.Backends())))
			c.notify()
		}
	}
	return nil
}
