// Package dhwatch keeps an entry VM informed by the control VMs.
//
// A Follower watches one control VM at a time with calls that wait for a
// change. It leaves one that does not answer, or that has not heard a majority
// of the voters for a while, for another one. What it is told it passes on; it
// decides nothing else.
//
// # Usage
//
//	lease := &dhwatch.Lease{Clock: dhtimer.Boot{}, Valid: 4 * time.Second}
//	follower := &dhwatch.Follower{
//		VM: "edge-1", Zone: "mrc-a", Seeds: seeds, Source: client, Timers: timers, Lease: lease,
//		Received: func(u dhwatch.Update) { ... },
//	}
//	group.Go(follower.Run)
package dhwatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// The times of a Follower.
const (
	// defaultWait is how long a watch waits for a change, and so the age of the
	// loads that an entry VM sends and gets.
	defaultWait = 300 * time.Millisecond
	// answerTimeout is added to the wait: a control VM on a fifth of a core
	// answers within some ten milliseconds.
	answerTimeout = 500 * time.Millisecond
	// maxConfirmedAge is the age of the last majority from which on another
	// control VM is looked for.
	maxConfirmedAge = time.Second
	// retryPause spaces calls while no control VM answers.
	retryPause = 50 * time.Millisecond
	// avoidFor is how long a control VM that failed is asked after the others.
	avoidFor = 3 * time.Second
	// homePeriod is the least time between two moves to a control VM of the own
	// zone, and homeSpread the random time added to it. A move costs a whole view.
	homePeriod = 3 * time.Second
	homeSpread = 3 * time.Second
	// homeHeard is how lately others must have heard the control VM that is
	// moved to: some periods of their watches.
	homeHeard = time.Second
	// forgetAfter is how long a control VM that nobody has heard is kept.
	forgetAfter = time.Minute
)

// Source asks control VMs by address.
type Source interface {
	Watch(ctx context.Context, address string, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error)
}

// Clock counts time also while the VM is suspended.
type Clock interface {
	Elapsed() time.Duration
}

// Lease says whether this VM's view was the newest not long ago. It is safe
// for use by several goroutines.
type Lease struct {
	Clock Clock
	// For is how long a confirmed view may be used.
	For time.Duration

	confirmed atomic.Int64
}

// Confirm notes that the view was the newest at a time of the clock.
func (l *Lease) Confirm(at time.Duration) {
	for {
		old := l.confirmed.Load()
		if int64(at) <= old || l.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns the time since the view was certainly the newest.
func (l *Lease) Age() time.Duration {
	return l.Clock.Elapsed() - time.Duration(l.confirmed.Load())
}

// Valid reports whether the lease holds now. It never held before the first Confirm.
func (l *Lease) Valid() bool { return l.confirmed.Load() != 0 && l.Age() < l.For }

// Update is one answer of a control VM.
type Update struct {
	*dhpb.ControlWatchResponse
	// From is the control VM's address.
	From string
}

// Follower watches control VMs. Exported fields are set before Run.
type Follower struct {
	// VM, Incarnation and Zone are those of this VM.
	VM          string
	Incarnation uint64
	Zone        string
	// Seeds are addresses of control VMs that are known from the settings.
	Seeds  []string
	Source Source
	Timers dhtimer.Service
	Log    *slog.Logger
	Lease  *Lease
	// Report returns what the control VM is told with each call.
	Report func() *dhpb.EntryReport
	// Numbers returns the document's and the operations' numbers that are held.
	Numbers func() (document, operations uint64)
	// Received takes each answer, on the goroutine of Run.
	Received func(u Update)

	mu       sync.Mutex
	controls map[string]*control
	current  string
	lost     bool
	// nextHome is when this VM may move to a control VM of its zone.
	nextHome time.Time
}

// control is a control VM as this VM knows it.
type control struct {
	zone   string
	heard  time.Time
	failed time.Time
	// stale is set when it failed by an answer that no majority had confirmed
	// lately, not by silence.
	stale   bool
	seed    bool
	weight  uint64
	replies int
}

// Run watches until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.SetSeeds(f.Seeds)
	f.nextHome = f.afterMove(f.Timers.Now())
	var epoch, position uint64
	for ctx.Err() == nil {
		address, changed := f.choose()
		if changed {
			epoch, position = 0, 0
		}
		if address == "" {
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause) // the loop ends with ctx
			continue
		}
		reply, err := f.ask(ctx, address, epoch, position)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.fail(address, false, err.Error())
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause)
			continue
		}
		epoch, position = reply.GetEpoch(), reply.GetPosition()
		f.learn(reply)
		f.Received(Update{ControlWatchResponse: reply, From: address})
		if !reply.GetConfirmed() || reply.GetConfirmedAge().AsDuration() > maxConfirmedAge {
			f.fail(address, true, "")
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause)
			continue
		}
		f.regained(address)
	}
	return nil
}

// ask makes one call. What the answer confirms held at the latest when the
// call began, less the age that the answer states.
func (f *Follower) ask(ctx context.Context, address string, epoch, position uint64) (*dhpb.ControlWatchResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, f.Timers, defaultWait+answerTimeout)
	defer cancel()
	document, operations := f.Numbers()
	began := f.Lease.Clock.Elapsed()
	reply, err := f.Source.Watch(ctx, address, &dhpb.ControlWatchRequest{
		Vm: f.VM, Incarnation: f.Incarnation, Zone: f.Zone, Epoch: epoch, Position: position,
		Document: document, Operations: operations, Wait: durationpb.New(defaultWait), Report: f.Report(),
	})
	if err != nil {
		return nil, err
	}
	if reply.GetConfirmed() {
		f.Lease.Confirm(began - reply.GetConfirmedAge().AsDuration())
	}
	return reply, nil
}

// SetSeeds adds addresses from the settings.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		c.seed = false
	}
	for _, address := range seeds {
		f.add(address).seed = true
	}
}

func (f *Follower) add(address string) *control {
	c, ok := f.controls[address]
	if !ok {
		if f.controls == nil {
			f.controls = make(map[string]*control)
		}
		c = &control{heard: f.Timers.Now(), weight: xxhash.Sum64String(f.VM + "\x00" + address)}
		f.controls[address] = c
	}
	return c
}

// learn takes over what a control VM knows of the others.
func (f *Follower) learn(reply *dhpb.ControlWatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	for _, r := range reply.GetControls() {
		c := f.add(r.GetAddress())
		c.zone = r.GetZone()
		if heard := now.Add(-r.GetAge().AsDuration()); heard.After(c.heard) {
			c.heard = heard
		}
	}
	for address, c := range f.controls {
		if !c.seed && address != f.current && now.Sub(c.heard) > forgetAfter {
			delete(f.controls, address)
		}
	}
}

// choose returns the control VM to ask and whether it is another one than
// before: the same one as long as it answers and there is none of the own zone,
// else one that has not failed lately, of the own zone, in an order that differs
// from VM to VM. While all have failed, one that answers is kept: each change
// costs a whole view, and the views kept overloaded control VMs from confirming
// anything.
func (f *Follower) choose() (address string, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	best := ""
	for a, c := range f.controls {
		if best == "" || f.before(c, f.controls[best], now) {
			best = a
		}
	}
	if c := f.controls[f.current]; c != nil && !c.avoided(now) {
		if !f.movesHome(c, f.controls[best], now) {
			return f.current, false
		}
		f.Log.Info("moving to a control VM of the own zone", slog.String("control", best), slog.String("from", f.current))
	}
	if c := f.controls[f.current]; c != nil && c.stale && f.controls[best].avoided(now) {
		return f.current, false
	}
	changed = best != f.current
	f.current = best
	return best, changed
}

// movesHome reports whether this VM leaves a control VM of another zone that
// answers for one of its own zone. At first it knows the seeds only, and after
// a failure it is with others.
func (f *Follower) movesHome(from, to *control, now time.Time) bool {
	if from.zone == f.Zone || to.zone != f.Zone || to.avoided(now) || now.Sub(to.heard) > homeHeard || now.Before(f.nextHome) {
		return false
	}
	f.nextHome = f.afterMove(now)
	return true
}

func (f *Follower) afterMove(now time.Time) time.Time {
	spread := float64(xxhash.Sum64String(f.VM)>>11) / (1 << 53)
	return now.Add(homePeriod + time.Duration(spread*float64(homeSpread)))
}

func (c *control) avoided(now time.Time) bool {
	return !c.failed.IsZero() && now.Sub(c.failed) < avoidFor
}

func (f *Follower) before(a, b *control, now time.Time) bool {
	rank := func(c *control) int {
		switch {
		case c.avoided(now):
			return 2
		case c.zone != f.Zone:
			return 1
		}
		return 0
	}
	if ra, rb := rank(a), rank(b); ra != rb {
		return ra < rb
	}
	if rank(a) == 2 {
		return a.failed.Before(b.failed)
	}
	return a.weight > b.weight
}

// fail notes that a control VM did not answer, or answered with a stale view.
func (f *Follower) fail(address string, stale bool, err string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.controls[address]; c != nil {
		c.failed, c.stale = f.Timers.Now(), stale
	}
	reason := "no answer"
	if stale {
		reason = "not confirmed by a majority"
	}
	if !f.lost {
		f.lost = true
		f.Log.Warn("control VM lost", slog.String("control", address), slog.String("reason", reason), slog.String("error", err))
	}
}

func (f *Follower) regained(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.controls[address]
	if c == nil {
		return
	}
	c.failed = time.Time{}
	if f.lost || c.replies == 0 {
		f.lost = false
		f.Log.Info("watching control VM", slog.String("control", address), slog.String("zone", c.zone))
	}
	c.replies++
}
