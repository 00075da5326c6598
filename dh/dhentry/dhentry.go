// Package dhentry assembles a diskless entry VM: it receives all of its state
// from the control VMs and forwards HTTP requests to backend servers.
//
// One goroutine, the control loop, applies the updates of the control VMs and
// publishes immutable snapshots. Requests only read the current snapshot.
//
// # Usage
//
//	entry := &dhentry.Entry{
//		Name: "edge-1", Zone: "mrc-a", Seeds: seeds, Source: client, Transport: transport,
//		Timers: timers, Clock: dhtimer.Boot{}, Log: log, Decode: decode,
//	}
//	group.Go(entry.Run)
//	begun, err := entry.Router().Forward(ctx, message, w)
//	entry.Leave() // not ready from now on
package dhentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhdetour"
	"dandelionhoist.example/dh/dhgrant"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
	"dandelionhoist.example/dh/dhwatch"
)

// Entry is one entry VM. Set the exported fields before calling Run.
type Entry struct {
	Name, Zone string
	// Incarnation increases with each start.
	Incarnation uint64
	// Seeds are addresses of control VMs.
	Seeds []string
	// KeyLease is how long keys may be accepted after a majority has confirmed
	// the tables.
	KeyLease time.Duration
	// ApplyTime is the time within which an acknowledged document must be in force.
	ApplyTime time.Duration
	// SessionTimeout is how long a session lasts after its last request.
	SessionTimeout time.Duration
	// RetryRatio is the accepted ratio of retries to requests in any RetryWindow,
	// in addition to RetrySlack retries shared by all entry VMs.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// AnswerBytes bounds the memory of non-streaming answers in flight.
	AnswerBytes int64
	// ColdOvershoot and ColdSlack relax the bound on requests to cold backend
	// servers.
	ColdOvershoot, ColdSlack float64
	// Decode parses a document.
	Decode func(text []byte) (*dhtable.Tables, error)

	// Connect connects to an address directly. RelayAddress is where this VM carries
	// connections of other VMs to backend servers; empty if it does not. SameRegion reports
	// whether a zone is in this VM's region; nil means that all are.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Through connects to an address through a relay; nil means dhdetour.Through.
	Through      func(ctx context.Context, relay dhdetour.RelayVM, address string) (net.Conn, error)
	RelayAddress string
	SameRegion   func(zone string) bool

	Source dhwatch.Source
	// States is asked while no control VM confirms the tables; nil means never.
	States    dhwatch.StateSource
	Transport dhrouter.Transport
	Timers    dhtimer.Service
	Clock     dhwatch.Clock
	Log       *slog.Logger
	Metrics   *dhmetric.Metrics

	group      *dhgroup.Group
	router     *dhrouter.Router
	placer     *dhplacement.Placer
	cold       *dhcold.Rates
	shares     *dhgrant.Shares
	quarantine *dhquarantine.Filter
	budget     *dhlimit.WindowBudget
	follower   *dhwatch.Follower
	paths      *dhdetour.Paths
	relay      *dhdetour.Relay
	counts     *counts
	trials     trials
	updates    chan dhwatch.Update
	states     chan dhwatch.State
	leaving    atomic.Bool
	// entryCount is the number of entry VMs among which bounds are divided.
	// entryRank is the place of this VM among them.
	entryCount, entryRank atomic.Int64

	// Only the control loop uses the fields below, except for the atomic ones.
	table  dhbackend.Table
	tables *dhtable.Tables
	// lease is the lease of tables.
	lease      dhwatch.Lease
	operations *dhpb.Operations
	// returnedAt holds when each zone that had been taken out was put back into
	// service.
	returnedAt map[string]time.Time
	entryVMs   recentMaximum
	// complete is set once a control VM has sent a complete view of the backend
	// servers.
	complete         bool
	documentVersion  atomic.Uint64
	operationsNumber atomic.Uint64
	// confirmedAt is the reading of Clock at which tables were last confirmed, or 0.
	confirmedAt atomic.Int64
}

// checkShare is the share of ApplyTime after which other control VMs are asked for tables that
// have not been confirmed. The rest is for those that do not answer.
const checkShare = 0.5

const (
	// loadAge is the assumed age of the loads received from control VMs: they
	// pass through two watches, each of which adds up to one period.
	loadAge = 400 * time.Millisecond
	// updateQueueSize is the number of updates buffered for the control loop.
	updateQueueSize = 4
	// backendLease is effectively infinite: control VMs report when a backend
	// server is gone, and while they are unreachable the last known backend
	// servers stay in use.
	backendLease = 1000 * time.Hour
	maxBackends  = 10_000
)

// usedSlackFraction is the fraction of the accepted slack that is used, since the number
// of entry VMs is known with a delay.
const usedSlackFraction = 0.8

// breakerBackoff is short because a partition or a crash of a backend server
// often ends within seconds, and a trial costs only one attempt.
var breakerBackoff = dhlimit.Backoff{Base: 500 * time.Millisecond, Max: 2 * time.Second}

// placementSettings returns the settings of the placement. The costs per token
// are those of a large engine. OtherZone is a few round
// trips, OtherZoneMinGain a tenth of PerWaiting.
// PerPendingPrefillToken is three times the time that a large model takes per token,
// since a late first event costs more than a slower stream; values from 40 to 400
// us gave similar results. OffLane is far above the score of a short prompt and
// below that of a long one, which may leave its lane under load; with 0.5 s, half
// of the requests of the small models left their lanes. Randomness has its full size, as load sums
// are 0.4 to 0.7 s old and an order stays for 30 ms (docs/design/choice-under-stale-loads.md).
func placementSettings() dhplacement.Settings {
	return dhplacement.Settings{
		Sample: 5, PerSequence: 40 * time.Microsecond, PerPrefillToken: 100 * time.Microsecond,
		PerWaiting: 200 * time.Millisecond, LoadUncertainty: 1, OthersDelayWeight: 1, OtherZone: 2 * time.Millisecond,
		OtherZonePerKilobyte: 500 * time.Microsecond, OtherZoneMinGain: 20 * time.Millisecond,
		ReportHalfLife: time.Second, Randomness: 1, ColdFactor: 2, ColdBase: 100 * time.Millisecond,
		PerFailure: time.Second, FailureHalfLife: 2 * time.Second, MaxBlocks: 2048,
		PerPendingPrefillToken: 160 * time.Microsecond, LaneShare: 0.3, OffLane: 2 * time.Second,
	}
}

// Build creates the components. Run calls it unless it has been called before.
func (e *Entry) Build(ctx context.Context) {
	if e.group != nil {
		return
	}
	e.group = dhgroup.New(ctx)
	e.updates = make(chan dhwatch.Update, updateQueueSize)
	e.states = make(chan dhwatch.State, updateQueueSize)
	e.table = dhbackend.Table{Lease: backendLease, MaxBackends: maxBackends}
	e.operations = &dhpb.Operations{}
	e.returnedAt = make(map[string]time.Time)
	e.counts = newCounts(e.Name, e.Incarnation)
	e.lease = dhwatch.Lease{Clock: e.Clock, Duration: e.KeyLease}
	e.cold = &dhcold.Rates{Timers: e.Timers, VM: e.Name}
	e.shares = &dhgrant.Shares{Timers: e.Timers, Clock: e.Clock, VM: e.Name}
	e.quarantine = &dhquarantine.Filter{Timers: e.Timers, VM: e.Name, Log: e.Log, Metrics: e.Metrics}
	e.placer = &dhplacement.Placer{Timers: e.Timers, Zone: e.Zone, Settings: placementSettings(), Seed: rand.Uint64()}
	e.budget = &dhlimit.WindowBudget{Timers: e.Timers, Ratio: e.RetryRatio, Window: e.RetryWindow}
	e.router = &dhrouter.Router{
		Timers: e.Timers, Group: e.group, Log: e.Log, Metrics: e.Metrics, Placer: e.placer, Credits: e.cold, RateLimits: e.shares,
		Quarantine: e.quarantine, Brittle: &dhlimit.Brittle{Timers: e.Timers},
		OwnLoad: func(id string) int { return e.placer.Load(id).Running }, Place: func() (rank, vms int) { return int(e.entryRank.Load()), int(e.entryCount.Load()) },
		Retries: e.budget, Breakers: &dhlimit.Breakers{Timers: e.Timers, Backoff: breakerBackoff},
		Transport: e.Transport, Random: rand.Float64, VM: e.Name, Zone: e.Zone, Report: e.countAttempt, ReportSpeed: func(s dhrouter.Speed) { e.counts.addSpeed(s) },
	}
	e.router.AnswerMemory.Max = e.AnswerBytes
	e.router.SetSessionTimeout(e.SessionTimeout)
	e.buildPaths()
	e.counts.pathsBroken = e.paths.BrokenSince
	e.follower = &dhwatch.Follower{
		VM: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Seeds: e.Seeds, Source: e.Source, Timers: e.Timers, Clock: e.Clock, Log: e.Log,
		Report: e.entryReport, OnUpdate: e.enqueue,
		Versions: func() (uint64, uint64) { return e.documentVersion.Load(), e.operationsNumber.Load() },
		Grants:   e.shares.Held, WantsRelays: e.paths.WantsRelays,
		States: e.States, StateAge: e.tablesAge, OnState: e.enqueueState, CheckAfter: time.Duration(checkShare * float64(e.ApplyTime)),
	}
	e.publish()
}

// Router returns the router. Call it after Build.
func (e *Entry) Router() *dhrouter.Router { return e.router }

// Quarantine returns the filter of requests with causes of crashes. Call it after Build.
func (e *Entry) Quarantine() *dhquarantine.Filter { return e.quarantine }

// SetSeeds replaces the seeds after a change of the settings.
func (e *Entry) SetSeeds(seeds []string) { e.follower.SetSeeds(seeds) }

// Run watches the control VMs until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.Build(ctx)
	e.group.Go(e.follower.Run)
	e.group.Go(e.controlLoop)
	if e.ApplyTime > 0 {
		e.group.Go(e.watchTablesAge)
		if e.States != nil {
			e.group.Go(e.follower.RunChecks)
		}
	}
	return e.group.Wait()
}

// Ready reports whether this VM can serve requests: it has confirmed tables and
// is not leaving.
func (e *Entry) Ready() bool {
	s := e.router.Snapshot()
	return !e.leaving.Load() && s.Tables != nil && s.LeaseValid()
}

// Leaving reports whether Leave was called.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Leave makes Ready return false from now on. Requests are still served until the
// VM stops.
func (e *Entry) Leave() { e.leaving.Store(true) }

// enqueue passes an update to the control loop. It blocks while the queue is
// full, so that no update is lost.
func (e *Entry) enqueue(u dhwatch.Update) {
	e.trials.update(u, e.Timers.Now(), e.Log, e.Metrics)
	select {
	case e.updates <- u:
	case <-e.group.Context().Done():
	}
}

// controlLoop applies the updates of the control VMs.
func (e *Entry) controlLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-e.updates:
			e.apply(u)
		case s := <-e.states:
			e.applyState(s)
			e.publish()
		}
	}
}

// enqueueState is enqueue for the response to a check.
func (e *Entry) enqueueState(s dhwatch.State) {
	e.Metrics.Count("tables", "checked")
	select {
	case e.states <- s:
	case <-e.group.Context().Done():
	}
}

func (e *Entry) apply(u dhwatch.Update) {
	now := e.Timers.Now()
	e.quarantine.Update(u.GetQuarantine())
	e.applyRelays(u)
	e.applyBackends(u, now)
	if u.GetGrants() != nil || u.GetConfirmed() {
		e.shares.Update(u.GetGrants(), u.Sent)
	}
	if n := int(u.GetEntryVms()); n > 0 {
		e.entryRank.Store(int64(u.GetEntryRank()))
		e.entryVMs.observe(now, n)
	}
	e.applyState(u.State())
	e.publish()
	e.updateAdmission(u)
}

// applyState applies the durable state that a control VM knows.
func (e *Entry) applyState(s dhwatch.State) {
	e.applyDepartures(s.Departures)
	if o := s.Operations; o.GetNumber() > e.operations.GetNumber() {
		for _, zone := range e.operations.GetZonesOut() {
			if !slices.Contains(o.GetZonesOut(), zone) {
				e.returnedAt[zone] = e.Timers.Now()
			}
		}
		e.operations = o
		e.counts.setRollouts(o)
		e.operationsNumber.Store(o.GetNumber())
		e.Log.Info("operations in force", slog.Uint64("number", o.GetNumber()), slog.Any("zones-out", o.GetZonesOut()),
			slog.Int("rollouts", len(o.GetRollouts())), slog.String("from", s.From))
	}
	if d := s.Document; d.GetVersion() > e.documentVersion.Load() {
		e.applyDocument(d, s.From)
	}
	e.confirmTables(s)
}

func (e *Entry) applyDepartures(list []*dhpb.Departure) {
	for _, d := range list {
		if e.table.Depart(d) {
			e.Log.Info("backend server has left", slog.String("backend", d.GetId()), slog.Uint64("incarnation", d.GetIncarnation()),
				slog.Uint64("sequence", d.GetSequence()))
		}
	}
}

// vmCount returns the number of entry VMs among which bounds are divided.
func (e *Entry) vmCount() int { return max(e.entryVMs.value(), 1) }

func (e *Entry) applyDocument(d *dhpb.Document, from string) {
	tables, err := e.Decode(d.GetText())
	if err != nil {
		// Control VMs accept only valid documents, so one of them must run another
		// release. The previous document stays in force.
		e.Metrics.Count("document", "not-decoded")
		e.Log.Error("document not decoded", slog.Uint64("version", d.GetVersion()), slog.String("error", err.Error()))
		return
	}
	e.tables = tables
	e.documentVersion.Store(d.GetVersion())
	e.Log.Info("document in force", slog.Uint64("version", d.GetVersion()), slog.Int("routes", len(tables.Routes)),
		slog.Int("accounts", len(tables.Accounts)), slog.String("from", from))
}

// confirmTables renews the lease of the tables in force if the response names none that are
// newer. A document that could not be decoded may have revoked keys that they still hold.
func (e *Entry) confirmTables(s dhwatch.State) {
	if e.tables == nil || s.Document.GetVersion() > e.documentVersion.Load() {
		return
	}
	renewed := e.lease.WithConfirmed(s.ConfirmedAt)
	if renewed.Valid() && !e.lease.Valid() {
		e.Log.Info("tables confirmed", slog.Uint64("version", e.documentVersion.Load()), slog.Duration("age", renewed.Age()),
			slog.String("from", s.From))
	}
	e.lease = renewed
	e.confirmedAt.Store(max(e.confirmedAt.Load(), int64(s.ConfirmedAt)))
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
			err = e.applyBackend(b, first)
		}
		if err != nil {
			e.Log.Warn("backend server record not applied", slog.String("backend", r.GetId()), slog.String("error", err.Error()))
		}
	}
	if first && len(listed) > 0 {
		e.Log.Info("first backend servers received", slog.Int("count", len(listed)), slog.Bool("complete", u.GetComplete()),
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
		loads[l.GetId()] = dhbackend.Load{Running: int(l.GetRunning()), PendingPrefill: int(l.GetReading())}
	}
	e.table.SetLoads(loads, now, loadAge)
}

// applyBackend adds the record of a backend server to the table and logs changes.
// Records of the first view are not logged one by one: the control VM that sent
// them has logged each.
func (e *Entry) applyBackend(b *dhbackend.Backend, first bool) error {
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

// publish builds and publishes the next snapshot.
func (e *Entry) publish() {
	view := e.table.View(e.Timers.Now())
	s := &dhrouter.Snapshot{Tables: e.tables, Lease: e.lease, Backends: view, Partial: !e.complete, Rollouts: e.rollouts(view)}
	if out := e.operations.GetZonesOut(); len(out) > 0 {
		s.ZoneWeight = make(map[string]float64, len(out))
		for _, zone := range out {
			s.ZoneWeight[zone] = 0
		}
	}
	bound := dhcold.Bound{
		Overshoot: e.ColdOvershoot, Slack: e.ColdSlack, VMs: e.vmCount(), PerSecond: make(map[string]float64), ReturnedZones: make(map[string]bool),
	}
	longestColdStart := time.Duration(0)
	if e.tables != nil {
		for name, pool := range e.tables.Pools {
			if pool.ColdPerSecond > 0 {
				bound.PerSecond[name] = pool.ColdPerSecond
				longestColdStart = max(longestColdStart, pool.ColdFor)
			}
		}
	}
	// Cold starts that began before the zone was put back into service have
	// ended after the longest cold start.
	for zone, at := range e.returnedAt {
		bound.ReturnedZones[zone] = e.Timers.Now().Sub(at) < longestColdStart
	}
	e.entryCount.Store(int64(e.vmCount()))
	e.counts.observe(view, e.Timers.Now())
	e.cold.Update(view.All(), bound)
	e.shares.Retain(view)
	e.budget.SetSlack(usedSlackFraction * e.RetrySlack / float64(e.vmCount()))
	e.placer.Update(view)
	e.router.Publish(s)
}

// rollouts converts the rollouts of the operations to the form used by the
// router, by pool.
func (e *Entry) rollouts(view *dhbackend.View) map[string]dhversion.Rollout {
	all := make(map[string]dhversion.Rollout, len(e.operations.GetRollouts()))
	for _, r := range e.operations.GetRollouts() {
		v := dhversion.Rollout{Excluded: r.GetReverted()}
		switch r.GetState() {
		case dhpb.RolloutState_ROLLOUT_STATE_TRIAL:
			share, kept := e.trials.get(r.GetNumber())
			v.Target, v.Share, v.Kept = r.GetTarget(), min(share, targetFraction(view, r)), kept
		case dhpb.RolloutState_ROLLOUT_STATE_SHIFT:
			v.Target, v.Share = r.GetTarget(), 1
			if targetFraction(view, r) == 0 {
				v.Share = 0
			}
		case dhpb.RolloutState_ROLLOUT_STATE_COMPLETED:
			v.CompletedVersion = r.GetTarget()
		}
		all[r.GetPool()] = v
	}
	return all
}

// targetFraction returns the fraction of a pool's backend servers that are ready
// and run the target of its rollout. It is 0 until the first of them is ready, so
// the trial starts only then.
func targetFraction(view *dhbackend.View, r *dhpb.RolloutRecord) float64 {
	all := view.Pool(r.GetPool())
	targets := 0
	for _, b := range all {
		if b.Release == r.GetTarget() && b.State == dhbackend.Ready {
			targets++
		}
	}
	return float64(targets) / float64(max(len(all), 1))
}

// countAttempt counts the end of an attempt.
func (e *Entry) countAttempt(event dhrouter.Event) { e.counts.add(event, e.Timers.Now()) }

// entryReport returns the report sent to control VMs.
func (e *Entry) entryReport() *dhpb.EntryReport {
	r := &dhpb.EntryReport{Counters: e.counts.counters(), Rates: e.rates(), Limits: e.shares.Report()}
	e.quarantine.Report(r)
	r.Relay = e.relayReport()
	r.TrialSessions = e.trials.report(e.router.SessionHashes)
	r.Demands = e.demands()
	for _, b := range e.router.Snapshot().Backends.All() {
		if l := e.placer.Load(b.ID); l.Running > 0 {
			r.Loads = append(r.Loads, &dhpb.BackendLoad{Id: b.ID, Running: int32(l.Running), Reading: int32(l.PendingPrefill)})
		}
	}
	return r
}

// rates returns the requests per second of each pool.
func (e *Entry) rates() []*dhpb.PoolRate {
	var list []*dhpb.PoolRate
	for pool, rate := range e.router.Arrivals() {
		list = append(list, &dhpb.PoolRate{Pool: pool, PerSecond: rate})
	}
	return list
}
