// Package dhentry assembles an entry VM that has no disk: it learns everything
// from the control VMs and passes HTTP requests on to backend servers.
//
// One goroutine, the control loop, applies what the control VMs tell and
// publishes an immutable snapshot; requests read the snapshot only.
//
// # Usage
//
//	entry := &dhentry.Entry{
//		Name: "edge-1", Zone: "mrc-a", Seeds: seeds, Source: client, Passer: passer,
//		Timers: timers, Clock: dhtimer.Boot{}, Log: log, Decode: decode,
//	}
//	group.Go(entry.Run)
//	begun, err := entry.Router().Forward(ctx, message, w)
//	entry.Leave() // not ready from now on
package dhentry

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
	"dandelionhoist.example/dh/dhwatch"
)

// Entry is one entry VM. Exported fields are set before Run.
type Entry struct {
	Name, Zone string
	// Incarnation grows with each start.
	Incarnation uint64
	// Seeds are addresses of control VMs.
	Seeds []string
	// KeyLease is how long a key may be accepted after a majority has
	// confirmed the tables.
	KeyLease time.Duration
	// SessionFor is how long after a request its session goes on.
	SessionFor time.Duration
	// RetryRatio is the accepted part of extra load by retries in any
	// RetryWindow, beside RetrySlack retries of all entry VMs together.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// AnswerBytes bounds the memory of answers in flight that are not streams.
	AnswerBytes int64
	// ColdOvershoot and ColdSlack widen the bound of cold backend servers.
	ColdOvershoot, ColdSlack float64
	// Decode reads a document.
	Decode func(text []byte) (*dhtable.Tables, error)

	Source  dhwatch.Source
	Passer  dhrouter.Passer
	Timers  dhtimer.Service
	Clock   dhwatch.Clock
	Log     *slog.Logger
	Metrics *dhmetric.Metrics

	group    *dhgroup.Group
	router   *dhrouter.Router
	placer   *dhplacement.Placer
	cold     *dhcold.Rates
	budget   *dhlimit.Budget
	lease    *dhwatch.Lease
	follower *dhwatch.Follower
	counts   *counts
	updates  chan dhwatch.Update
	leaving  atomic.Bool

	// The rest belongs to the control loop, but for the numbers.
	table      dhbackend.Table
	tables     *dhtable.Tables
	operations *dhpb.Operations
	// returned holds when zones that were out were taken back.
	returned map[string]time.Time
	vms      int
	// complete is set once a control VM has told all backend servers that it
	// knows, after having heard all.
	complete bool
	document atomic.Uint64
	number   atomic.Uint64
}

const (
	// loadAge is the age of the loads that control VMs tell: the periods of the
	// two watches that they came by.
	loadAge = 400 * time.Millisecond
	// updateQueue holds the answers that the control loop has not applied yet.
	updateQueue = 4
	// backendLease is longer than any day: control VMs say when a backend
	// server is gone, and without them the last known ones serve.
	backendLease = 1000 * time.Hour
	maxBackends  = 10_000
)

const (
	// earnedPart of the accepted retries is earned with each request. The rest
	// is saved up for a burst of failures, as far as the window permits.
	earnedPart = 0.7
	// savedPart of the rest and of the slack is used, since the number of entry
	// VMs and the rate of requests are known with a delay.
	savedPart = 0.8
)

// breakerBackoff is short: a partition or a crash of a backend server often
// ends within seconds, and a trial costs one attempt.
var breakerBackoff = dhlimit.Backoff{Base: 500 * time.Millisecond, Max: 2 * time.Second}

// settings of the placement. The costs of a token are those of a large engine,
// the penalty of another zone is some round trips. PerReadingToken is three times
// what a large model takes for a token, since a first event that comes late costs
// more than a slower stream; 40 to 400 us measured alike. OffLane is far above
// the score of a short prompt and below that of a long one, which may leave its
// lane under load; 0.5 s let half of the small models' requests leave theirs.
func settings() dhplacement.Settings {
	return dhplacement.Settings{
		Sample: 5, PerSequence: 40 * time.Microsecond, PerPrefillToken: 100 * time.Microsecond,
		PerWaiting: 200 * time.Millisecond, Spread: 1, Others: 1, OtherZone: 2 * time.Millisecond,
		ReportHalfLife: time.Second, ColdFactor: 2, ColdBase: 100 * time.Millisecond,
		PerFailure: time.Second, FailureHalfLife: 2 * time.Second, MaxBlocks: 2048,
		PerReadingToken: 160 * time.Microsecond, LaneShare: 0.3, OffLane: 2 * time.Second,
	}
}

// Build creates the parts. Run calls it unless it was called before.
func (e *Entry) Build(ctx context.Context) {
	if e.group != nil {
		return
	}
	e.group = dhgroup.New(ctx)
	e.updates = make(chan dhwatch.Update, updateQueue)
	e.table = dhbackend.Table{Lease: backendLease, MaxBackends: maxBackends}
	e.operations = &dhpb.Operations{}
	e.returned = make(map[string]time.Time)
	e.counts = newCounts(e.Name, e.Incarnation)
	e.lease = &dhwatch.Lease{Clock: e.Clock, For: e.KeyLease}
	e.cold = &dhcold.Rates{Timers: e.Timers, VM: e.Name}
	e.placer = &dhplacement.Placer{Timers: e.Timers, Zone: e.Zone, Settings: settings(), Seed: rand.Uint64()}
	e.budget = &dhlimit.Budget{Ratio: e.RetryRatio * earnedPart, Max: 1}
	e.router = &dhrouter.Router{
		Timers: e.Timers, Group: e.group, Log: e.Log, Metrics: e.Metrics, Placer: e.placer, Credits: e.cold,
		Retries: e.budget, Breakers: &dhlimit.Breakers{Timers: e.Timers, Backoff: breakerBackoff},
		Passer: e.Passer, Lease: e.lease, Random: rand.Float64, VM: e.Name, Zone: e.Zone, Report: e.report,
	}
	e.router.AnswerMemory.Max = e.AnswerBytes
	e.router.KeepSessions(e.SessionFor)
	e.follower = &dhwatch.Follower{
		VM: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Seeds: e.Seeds, Source: e.Source, Timers: e.Timers, Log: e.Log,
		Lease: e.lease, Report: e.entryReport, Received: e.received,
		Numbers: func() (uint64, uint64) { return e.document.Load(), e.number.Load() },
	}
	e.publish()
}

// Router returns the router, after Build.
func (e *Entry) Router() *dhrouter.Router { return e.router }

// SetSeeds takes new seeds from changed settings.
func (e *Entry) SetSeeds(seeds []string) { e.follower.SetSeeds(seeds) }

// Run follows the control VMs until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.Build(ctx)
	e.group.Go(e.follower.Run)
	e.group.Go(e.control)
	return e.group.Wait()
}

// Ready reports whether this VM can serve: it has tables that are confirmed
// and is not leaving.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.router.Snapshot().Tables != nil && e.lease.Valid()
}

// Leaving reports whether Leave was called.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Leave makes the VM not ready from now on. Requests are served until the end.
func (e *Entry) Leave() { e.leaving.Store(true) }

// received hands an answer to the control loop. It waits while the loop is
// behind, so that nothing is lost.
func (e *Entry) received(u dhwatch.Update) {
	select {
	case e.updates <- u:
	case <-e.group.Context().Done():
	}
}

// control applies what the control VMs tell.
func (e *Entry) control(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-e.updates:
			e.apply(u)
		}
	}
}

func (e *Entry) apply(u dhwatch.Update) {
	now := e.Timers.Now()
	e.applyBackends(u, now)
	if n := int(u.GetEntryVms()); n > 0 {
		e.vms = n
	}
	if o := u.GetOperations(); o.GetNumber() > e.operations.GetNumber() {
		for _, zone := range e.operations.GetZonesOut() {
			if !slices.Contains(o.GetZonesOut(), zone) {
				e.returned[zone] = now
			}
		}
		e.operations = o
		e.counts.setRollouts(o)
		e.number.Store(o.GetNumber())
		e.Log.Info("operations in force", slog.Uint64("number", o.GetNumber()), slog.Any("zones-out", o.GetZonesOut()),
			slog.Int("rollouts", len(o.GetRollouts())), slog.String("from", u.From))
	}
	if d := u.GetDocument(); d.GetVersion() > e.document.Load() {
		e.applyDocument(d, u.From)
	}
	e.publish()
}

func (e *Entry) applyDocument(d *dhpb.Document, from string) {
	tables, err := e.Decode(d.GetText())
	if err != nil {
		// The control VMs accept valid documents only, so one of them is of
		// another release. The last document stays in force.
		e.Log.Error("document not read", slog.Uint64("version", d.GetVersion()), slog.String("error", err.Error()))
		return
	}
	e.tables = tables
	e.document.Store(d.GetVersion())
	e.Log.Info("document in force", slog.Uint64("version", d.GetVersion()), slog.Int("routes", len(tables.Routes)),
		slog.Int("accounts", len(tables.Accounts)), slog.String("from", from))
}

func (e *Entry) applyBackends(u dhwatch.Update, now time.Time) {
	records, err := dhwatch.Records(u.ControlWatchResponse)
	if err != nil {
		e.Log.Warn("backend servers not read", slog.String("control", u.From), slog.String("error", err.Error()))
		return
	}
	first := e.table.Len() == 0
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.GetId()] = true
		b, err := dhbackend.FromRecord(r, now)
		if err == nil {
			err = e.learn(b, first)
		}
		if err != nil {
			e.Log.Warn("backend server not taken", slog.String("backend", r.GetId()), slog.String("error", err.Error()))
		}
	}
	if first && len(listed) > 0 {
		e.Log.Info("backend servers known", slog.Int("count", len(listed)), slog.Bool("complete", u.GetComplete()),
			slog.String("from", u.From), slog.Uint64("epoch", u.GetEpoch()), slog.Uint64("position", u.GetPosition()))
	}
	if u.GetComplete() {
		e.complete = true
		e.table.Retain(func(id string) bool { return listed[id] })
	}
	e.applyLoads(u, now)
}

func (e *Entry) applyLoads(u dhwatch.Update, now time.Time) {
	list, err := dhwatch.Loads(u.ControlWatchResponse)
	if err != nil {
		e.Log.Warn("loads not read", slog.String("control", u.From), slog.String("error", err.Error()))
		return
	}
	loads := make(map[string]dhbackend.Load, len(list))
	for _, l := range list {
		loads[l.GetId()] = dhbackend.Load{Running: int(l.GetRunning()), Reading: int(l.GetReading())}
	}
	e.table.SetLoads(loads, now, loadAge)
}

// learn takes a record. Those of the first view are logged together: the control
// VM that told them has logged each.
func (e *Entry) learn(b *dhbackend.Backend, first bool) error {
	old, known := e.table.Get(b.ID)
	if err := e.table.Announce(b); err != nil {
		return err
	}
	if now, _ := e.table.Get(b.ID); !first && now == b && (!known || old.State != b.State || old.Incarnation != b.Incarnation) {
		e.Log.Info("backend server", slog.String("backend", b.ID), slog.String("pool", b.Pool), slog.String("zone", b.Zone),
			slog.String("state", b.State.String()), slog.String("release", b.Release), slog.Uint64("incarnation", b.Incarnation),
			slog.Uint64("sequence", b.Sequence))
	}
	return nil
}

// publish makes the next snapshot.
func (e *Entry) publish() {
	view := e.table.View(e.Timers.Now())
	s := &dhrouter.Snapshot{Tables: e.tables, Backends: view, Partial: !e.complete, Rollouts: e.rollouts(view)}
	if out := e.operations.GetZonesOut(); len(out) > 0 {
		s.ZoneWeight = make(map[string]float64, len(out))
		for _, zone := range out {
			s.ZoneWeight[zone] = 0
		}
	}
	bound := dhcold.Bound{
		Overshoot: e.ColdOvershoot, Slack: e.ColdSlack, VMs: cmp.Or(e.vms, 1), PerSecond: make(map[string]float64), Returned: make(map[string]bool),
	}
	longest := time.Duration(0)
	if e.tables != nil {
		for name, pool := range e.tables.Pools {
			if pool.ColdPerSecond > 0 {
				bound.PerSecond[name] = pool.ColdPerSecond
				longest = max(longest, pool.ColdFor)
			}
		}
	}
	// A cold start that began before the return is over after its length.
	for zone, at := range e.returned {
		bound.Returned[zone] = e.Timers.Now().Sub(at) < longest
	}
	e.cold.Update(view.All(), bound)
	e.updateBudget()
	e.placer.Update(view)
	e.router.Publish(s)
}

// updateBudget bounds what each pool may save up: this VM's part of the slack,
// and what the requests of a window permit beyond what they earn.
func (e *Entry) updateBudget() {
	slack := e.RetrySlack / float64(max(e.vms, 1))
	for pool, rate := range e.router.Arrivals() {
		rest := e.RetryRatio * (1 - earnedPart) * rate * e.RetryWindow.Seconds()
		e.budget.SetMax(pool, max(savedPart*(slack+rest), 1))
	}
}

// rollouts returns what the operations say of the pools' versions.
func (e *Entry) rollouts(view *dhbackend.View) map[string]dhversion.Rollout {
	all := make(map[string]dhversion.Rollout, len(e.operations.GetRollouts()))
	for _, r := range e.operations.GetRollouts() {
		v := dhversion.Rollout{Barred: r.GetReverted()}
		switch r.GetState() {
		case dhpb.RolloutState_ROLLOUT_STATE_TRIAL:
			v.Target, v.Share = r.GetTarget(), min(r.GetShare(), targetPart(view, r))
		case dhpb.RolloutState_ROLLOUT_STATE_SHIFT:
			v.Target, v.Share = r.GetTarget(), 1
			if targetPart(view, r) == 0 {
				v.Share = 0
			}
		case dhpb.RolloutState_ROLLOUT_STATE_COMPLETED:
			v.Only = r.GetTarget()
		}
		all[r.GetPool()] = v
	}
	return all
}

// targetPart returns the part of a pool's backend servers that run the target
// of its rollout. The trial begins with the first of them.
func targetPart(view *dhbackend.View, r *dhpb.RolloutRecord) float64 {
	all := view.Pool(r.GetPool())
	targets := 0
	for _, b := range all {
		if b.Release == r.GetTarget() && b.State == dhbackend.Ready {
			targets++
		}
	}
	return float64(targets) / float64(max(len(all), 1))
}

// report counts the end of an attempt.
func (e *Entry) report(event dhrouter.Event) { e.counts.add(event) }

// entryReport is what control VMs are told.
func (e *Entry) entryReport() *dhpb.EntryReport {
	r := &dhpb.EntryReport{Counters: e.counts.counters(), Rates: e.rates()}
	for _, b := range e.router.Snapshot().Backends.All() {
		if l := e.placer.Load(b.ID); l.Running > 0 {
			r.Loads = append(r.Loads, &dhpb.BackendLoad{Id: b.ID, Running: int32(l.Running), Reading: int32(l.Reading)})
		}
	}
	return r
}

// rates returns the requests a second by pool.
func (e *Entry) rates() []*dhpb.PoolRate {
	var list []*dhpb.PoolRate
	for pool, rate := range e.router.Arrivals() {
		list = append(list, &dhpb.PoolRate{Pool: pool, PerSecond: rate})
	}
	return list
}
