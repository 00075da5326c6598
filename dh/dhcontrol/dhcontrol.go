// Package dhcontrol is a control VM: one of the few VMs with a disk that hold
// what must survive, and the registry of the backend servers.
//
// Durable state is kept in two registers of the quorum: the operators'
// document (dhedit.Documents) and their operations (zones taken out, rollouts).
// The registry, the loads and the counts of answers are soft: control VMs watch
// each other and merge what they learn, and after a restart announcements bring
// it back within two periods.
//
// Entry VMs watch one control VM each. A watch answers with what changed, and
// with the age of the last majority that confirmed the durable state; entry
// VMs' leases on keys count from there.
//
// # Usage
//
//	control := &dhcontrol.Control{
//		Name: "core-1", Zone: "mrc-a", Address: "10.1.0.43:7340", Seeds: seeds, Bootstrap: true,
//		OpenDisk: open, Peers: client, Timers: timers, Clock: dhtimer.Boot{}, Log: log, Decode: decode,
//	}
//	err := control.Run(ctx) // returns when ctx ends
//
// Operators' calls are Replace, Read, TakeOut, TakeBack, StartRollout and
// ReadRollout; backend servers' calls Announce and Leave; other VMs' calls
// Watch and the voter's.
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

// Control is one control VM. Exported fields are set before Run.
type Control struct {
	// Name and Zone are those of the VM, Address is where it serves other VMs.
	Name, Zone, Address string
	// Incarnation grows with each start.
	Incarnation uint64
	// Seeds are addresses of control VMs. At the first start of the system,
	// when Bootstrap is set, they are the first voters.
	Seeds     []string
	Bootstrap bool
	// Tolerated is how many voters may be lost at once.
	Tolerated int
	// BackendLease is how long an announcement is valid.
	BackendLease time.Duration
	// AnnouncePeriod is the time between two announcements of a backend server.
	AnnouncePeriod time.Duration
	// Exposure is the largest part of a pool's requests that an unproven version
	// may get during its rollout, beside ExposureSlack requests.
	Exposure, ExposureSlack float64
	// Decode reads a document. It fails on one that is not valid.
	Decode func(text []byte) (*dhtable.Tables, error)

	// OpenDisk opens the VM's disk. It is called again while it fails.
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
	registry  *dhbackend.Log
	entries   *entries
	views     views
	peers     *peers
	judge     judge

	// confirmed is the time on Clock at which the last majority read began.
	confirmed atomic.Int64
	// started is when this VM started; some time later it has heard all
	// backend servers.
	started time.Time

	mu         sync.Mutex
	document   *dhpb.Document
	operations *dhpb.Operations
	changed    chan struct{}
}

// The defaults of a control VM.
const (
	// leavingKept is longer than an announcement can be held up by a partition.
	leavingKept = 2 * time.Minute
	// maxBackends is twice the two-year size.
	maxBackends = 10_000
	// quorumTimeout bounds an operator's call: operators go to another VM
	// after a second.
	quorumTimeout = 900 * time.Millisecond
)

// Build creates the parts. Run calls it unless it was called before.
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
	c.registry = &dhbackend.Log{
		Timers: c.Timers, Lease: c.BackendLease, KeepLeaving: max(leavingKept, 4*c.BackendLease), MaxBackends: maxBackends,
	}
	c.entries = &entries{timers: c.Timers}
	c.peers = newPeers(c)
}

// Run serves until ctx ends. Faults of the disk stop the voter for a while but
// never the VM.
func (c *Control) Run(ctx context.Context) error {
	c.Build(ctx)
	c.group.Go(c.keepVoter)
	c.group.Go(c.findVoters)
	c.group.Go(c.keepVoters)
	c.group.Go(c.confirm)
	c.group.Go(c.peers.run)
	c.group.Go(c.expire)
	c.group.Go(c.judgeRollouts)
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

// applyDocument takes over a decided document.
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

// applyOperations takes over decided operations.
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

// state returns the durable state as this VM knows it.
func (c *Control) state() (*dhpb.Document, *dhpb.Operations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.operations
}

const (
	// confirmPeriod is the time between two majority reads, of one register after
	// the other. Entry VMs know of a change at the latest after two of them, when
	// the push of it was lost.
	confirmPeriod = 200 * time.Millisecond
	// disagreePause is the time to the next read after one whose voters did not
	// agree, as while a change is being written.
	disagreePause = 40 * time.Millisecond
	// maxDisagreements is how many such reads in a row make this VM settle the
	// value itself.
	maxDisagreements = 4
)

// confirm reads the registers of the durable state in turn from a majority.
// The state is confirmed from the begin of the older of the two last reads.
func (c *Control) confirm(ctx context.Context) error {
	registers := []func(context.Context, readRegister) error{c.readDocument, c.readOperations}
	began := make([]time.Duration, len(registers))
	failures := 0
	for next, reads := 0, 0; ctx.Err() == nil; {
		read, now := c.proposer.Peek, c.Clock.Elapsed()
		if failures >= maxDisagreements {
			read = c.proposer.Read // brings voters that do not agree to agreement
		}
		pause := confirmPeriod
		if err := registers[next](ctx, read); err != nil {
			if failures == maxDisagreements {
				c.Log.Warn("majority lost", slog.String("error", err.Error()))
			}
			failures++
			pause = disagreePause
		} else {
			if failures > maxDisagreements {
				c.Log.Info("majority regained", slog.Int("failures", failures))
			}
			failures = 0
			began[next] = now
			next, reads = (next+1)%len(registers), reads+1
			if reads >= len(registers) {
				c.confirmed.Store(int64(slices.Min(began)))
			} else {
				pause = 0
			}
		}
		_ = dhtimer.Sleep(ctx, c.Timers, pause) // the loop ends with ctx
	}
	return nil
}

// readRegister reads a register from a majority.
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

// confirmedAge returns the time since the last majority read began, and
// whether there was any.
func (c *Control) confirmedAge() (time.Duration, bool) {
	at := c.confirmed.Load()
	return c.Clock.Elapsed() - time.Duration(at), at != 0
}

// inMajority reports whether this VM has heard a majority lately.
func (c *Control) inMajority() bool {
	age, ok := c.confirmedAge()
	return ok && age < maxMajorityAge
}

// maxMajorityAge is the age of a majority read up to which this VM acts for the system.
const maxMajorityAge = time.Second

// expire drops backend servers that are no longer announced. A VM without a
// majority does not hear all of them, so it drops none, nor does one that has
// started or regained the majority less than a lease ago.
func (c *Control) expire(ctx context.Context) error {
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
