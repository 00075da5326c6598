// Package dhwatch delivers the state of the control VMs to an entry VM.
//
// A Follower watches one control VM at a time with long-polling calls. It
// switches to another one if the current one does not answer or has not
// completed a majority read for some time. It passes each response to its
// OnUpdate callback and does not interpret the state itself. While the state of the entry VM
// has not been confirmed for some time, RunChecks also asks the other control VMs for what is
// durable: a document must be in force in time at each VM that reaches a control VM.
//
// # Usage
//
//	lease := dhwatch.Lease{Clock: dhtimer.Boot{}, Duration: 4 * time.Second}
//	follower := &dhwatch.Follower{
//		VM: "edge-1", Zone: "mrc-a", Seeds: seeds, Source: client, Timers: timers, Clock: dhtimer.Boot{},
//		OnUpdate: func(u dhwatch.Update) {
//			... // put the document of u in force
//			lease = lease.WithConfirmed(u.ConfirmedAt())
//			... // publish the document and the lease together
//		},
//	}
//	group.Go(follower.Run)
//	group.Go(follower.RunChecks) // with States, StateAge, CheckAfter and OnState
package dhwatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// Timing of a Follower.
const (
	// watchWait is the long-poll duration of a watch, and therefore the maximum
	// age of the loads that an entry VM sends and receives.
	watchWait = 300 * time.Millisecond
	// answerTimeout is added to watchWait to bound a call. A control VM with a
	// fifth of a core answers within some ten milliseconds.
	answerTimeout = 500 * time.Millisecond
	// maxConfirmedAge is the age of the last majority read above which the
	// Follower looks for another control VM.
	maxConfirmedAge = time.Second
	// retryPause is the delay between calls while no control VM answers.
	retryPause = 50 * time.Millisecond
	// avoidDuration is how long a control VM that failed ranks after all others.
	avoidDuration = 3 * time.Second
	// zoneMovePeriod is the minimum time between two switches to a control VM in
	// the same zone, and zoneMoveSpread the maximum delay added to it, which
	// differs from VM to VM. Each switch requires a full view.
	zoneMovePeriod = 3 * time.Second
	zoneMoveSpread = 3 * time.Second
	// zoneMoveMaxAge is how recently other control VMs must have heard from the
	// control VM to switch to: several watch periods.
	zoneMoveMaxAge = time.Second
	// controlRetention is how long a control VM that no VM hears from is kept.
	controlRetention = time.Minute
)

// Source calls control VMs by address.
type Source interface {
	Watch(ctx context.Context, address string, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error)
}

// Clock measures time including the time during which the VM is suspended.
type Clock interface {
	Elapsed() time.Duration
}

// Lease tells whether a document was recently confirmed as the newest. It is immutable and
// vouches only for the document with which it is published: a reader that took the document
// and the lease from two places could judge an old document by the lease of a newer one.
type Lease struct {
	Clock Clock
	// Duration is how long a document may be used after it was confirmed.
	Duration time.Duration

	confirmedAt time.Duration
}

// WithConfirmed returns the lease of a document that was the newest at the given reading of
// Clock, unless it was confirmed later than that.
func (l Lease) WithConfirmed(at time.Duration) Lease {
	l.confirmedAt = max(l.confirmedAt, at)
	return l
}

// Age returns the time since the last confirmation.
func (l Lease) Age() time.Duration { return l.Clock.Elapsed() - l.confirmedAt }

// Valid reports whether the lease is valid now. It is not valid before the first
// confirmation.
func (l Lease) Valid() bool { return l.ConfirmedWithin(l.Duration) }

// ConfirmedWithin reports whether the document was confirmed less than a time ago.
func (l Lease) ConfirmedWithin(age time.Duration) bool {
	return l.confirmedAt > 0 && l.Age() < age
}

// Update is one response of a control VM.
type Update struct {
	*dhpb.ControlWatchResponse
	// From is the address of the control VM.
	From string
	// Sent is when the call was sent, by the clock of the Follower.
	Sent time.Duration
}

// ConfirmedAt returns a time at which the state that the control VM knew was the newest, by the
// clock of the Follower, or 0 if no majority has confirmed it.
func (u Update) ConfirmedAt() time.Duration { return confirmedAt(u, u.Sent) }

// confirmation is what a response tells about the age of the state in it.
type confirmation interface {
	GetConfirmed() bool
	GetConfirmedAge() *durationpb.Duration
}

// confirmedAt returns when the state in the response to a call was the newest, or 0 if that is
// not known. It is when the call was sent, less the age in the response. The response was sent
// later, so this is never after the time of the confirmation.
func confirmedAt(reply confirmation, sent time.Duration) time.Duration {
	if !reply.GetConfirmed() {
		return 0
	}
	return sent - reply.GetConfirmedAge().AsDuration()
}

// Follower watches control VMs. Set the exported fields before calling Run.
type Follower struct {
	// VM, Incarnation and Zone identify this VM.
	VM          string
	Incarnation uint64
	Zone        string
	// Seeds are addresses of control VMs from the settings.
	Seeds  []string
	Source Source
	Timers dhtimer.Service
	Clock  Clock
	Log    *slog.Logger
	// Report returns the report that each call sends to the control VM.
	Report func() *dhpb.EntryReport
	// Versions returns the versions of the document and of the operations that
	// this VM has.
	Versions func() (document, operations uint64)
	// Grants identifies the grant table that this VM holds; it may be nil.
	Grants func() *dhpb.GrantTableId
	// WantsRelays reports whether this VM needs a list of relays; it may be nil.
	WantsRelays func() bool
	// OnUpdate is called with each response, on the goroutine of Run.
	OnUpdate func(u Update)
	// RunChecks asks States while StateAge, the time since the state of this VM was last
	// confirmed, is more than CheckAfter, and calls OnState with each response, on goroutines
	// of its own.
	States     StateSource
	StateAge   func() time.Duration
	CheckAfter time.Duration
	OnState    func(s State)

	mu       sync.Mutex
	controls map[string]*control
	current  string
	lost     bool
	// nextZoneMove is the earliest time of a switch to a control VM in the same
	// zone.
	nextZoneMove time.Time
}

// control is the local state of a control VM.
type control struct {
	zone      string
	lastHeard time.Time
	failedAt  time.Time
	// stale is set when the last failure was a response without a recent majority
	// read, and not a missing response.
	stale   bool
	seed    bool
	weight  uint64
	replies int
	// checking is set while a check has no answer, checkedAt is when the last one began.
	checking  bool
	checkedAt time.Time
}

// Run watches until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.SetSeeds(f.Seeds)
	f.nextZoneMove = f.zoneMoveAfter(f.Timers.Now())
	var epoch, position, quarantine uint64
	for ctx.Err() == nil {
		address, changed := f.chooseControl()
		if changed {
			epoch, position, quarantine = 0, 0, 0
		}
		if address == "" {
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause) // the loop ends with ctx
			continue
		}
		sent := f.Clock.Elapsed()
		reply, err := f.callWatch(ctx, address, epoch, position, quarantine)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.markFailed(address, false, err.Error())
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause)
			continue
		}
		epoch, position, quarantine = reply.GetEpoch(), reply.GetPosition(), reply.GetQuarantine().GetNumber()
		f.updateControls(reply)
		f.OnUpdate(Update{ControlWatchResponse: reply, From: address, Sent: sent})
		if !reply.GetConfirmed() || reply.GetConfirmedAge().AsDuration() > maxConfirmedAge {
			f.markFailed(address, true, "")
			_ = dhtimer.Sleep(ctx, f.Timers, retryPause)
			continue
		}
		f.markResponsive(address)
	}
	return nil
}

// callWatch makes one watch call.
func (f *Follower) callWatch(ctx context.Context, address string, epoch, position, quarantine uint64) (*dhpb.ControlWatchResponse, error) {
	ctx, cancel := dhtimer.WithTimeout(ctx, f.Timers, watchWait+answerTimeout)
	defer cancel()
	document, operations := f.Versions()
	request := &dhpb.ControlWatchRequest{
		Vm: f.VM, Incarnation: f.Incarnation, Zone: f.Zone, Epoch: epoch, Position: position,
		Document: document, Operations: operations, Wait: durationpb.New(watchWait), Report: f.Report(),
		Quarantine: quarantine,
	}
	if f.Grants != nil {
		request.Grants = f.Grants()
	}
	request.WantsRelays = f.WantsRelays != nil && f.WantsRelays()
	return f.Source.Watch(ctx, address, request)
}

// SetSeeds replaces the seed addresses and adds those that are not known yet.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		c.seed = false
	}
	for _, address := range seeds {
		f.getOrAdd(address).seed = true
	}
}

func (f *Follower) getOrAdd(address string) *control {
	c, ok := f.controls[address]
	if !ok {
		if f.controls == nil {
			f.controls = make(map[string]*control)
		}
		c = &control{lastHeard: f.Timers.Now(), weight: xxhash.Sum64String(f.VM + "\x00" + address)}
		f.controls[address] = c
	}
	return c
}

// updateControls applies the list of control VMs in a response.
func (f *Follower) updateControls(reply *dhpb.ControlWatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timers.Now()
	for _, r := range reply.GetControls() {
		c := f.getOrAdd(r.GetAddress())
		c.zone = r.GetZone()
		if heard := now.Add(-r.GetAge().AsDuration()); heard.After(c.lastHeard) {
			c.lastHeard = heard
		}
	}
	for address, c := range f.controls {
		if !c.seed && address != f.current && now.Sub(c.lastHeard) > controlRetention {
			delete(f.controls, address)
		}
	}
}

// chooseControl returns the control VM to call and whether it differs from the
// previous one. It keeps the current one as long as it answers and no switch to
// one in the same zone is due. Otherwise it prefers those that have not failed
// recently, then those that other control VMs hear from, then those in the same
// zone, then an order that differs between entry VMs. While all have failed, it
// keeps one that still answers: each switch requires a full view, and sending these
// views kept overloaded control VMs from confirming their state.
func (f *Follower) chooseControl() (address string, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, silent := f.Timers.Now(), f.silentBefore()
	best := ""
	for a, c := range f.controls {
		if best == "" || f.preferred(c, f.controls[best], now, silent) {
			best = a
		}
	}
	if c := f.controls[f.current]; c != nil && !c.avoided(now) {
		if !f.movesToOwnZone(c, f.controls[best], now) {
			return f.current, false
		}
		f.Log.Info("moving to a control VM in the same zone", slog.String("control", best), slog.String("from", f.current))
	}
	if c := f.controls[f.current]; c != nil && c.stale && f.controls[best].avoided(now) {
		return f.current, false
	}
	changed = best != f.current
	f.current = best
	return best, changed
}

// Current returns the address of the control VM that is being watched, or "".
func (f *Follower) Current() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// movesToOwnZone reports whether to switch from a responsive control VM in
// another zone to one in the same zone. This is needed after a start, when only
// the seeds are known, and after a failure that caused a switch to another zone.
func (f *Follower) movesToOwnZone(from, to *control, now time.Time) bool {
	if from.zone == f.Zone || to.zone != f.Zone || to.avoided(now) || now.Sub(to.lastHeard) > zoneMoveMaxAge || now.Before(f.nextZoneMove) {
		return false
	}
	f.nextZoneMove = f.zoneMoveAfter(now)
	return true
}

func (f *Follower) zoneMoveAfter(now time.Time) time.Time {
	spread := float64(xxhash.Sum64String(f.VM)>>11) / (1 << 53)
	return now.Add(zoneMovePeriod + time.Duration(spread*float64(zoneMoveSpread)))
}

func (c *control) avoided(now time.Time) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < avoidDuration
}

func (f *Follower) preferred(a, b *control, now, silent time.Time) bool {
	rank := func(c *control) int {
		switch {
		case c.avoided(now):
			return 3
		case c.lastHeard.Before(silent):
			return 2
		case c.zone != f.Zone:
			return 1
		}
		return 0
	}
	if ra, rb := rank(a), rank(b); ra != rb {
		return ra < rb
	}
	if rank(a) == 3 {
		return a.failedAt.Before(b.failedAt)
	}
	return a.weight > b.weight
}

// markFailed records that a control VM did not answer, or answered with a stale
// view.
func (f *Follower) markFailed(address string, stale bool, err string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.controls[address]; c != nil {
		c.failedAt, c.stale = f.Timers.Now(), stale
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

func (f *Follower) markResponsive(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.controls[address]
	if c == nil {
		return
	}
	c.failedAt = time.Time{}
	if f.lost || c.replies == 0 {
		f.lost = false
		f.Log.Info("watching control VM", slog.String("control", address), slog.String("zone", c.zone))
	}
	c.replies++
}
