// Package dhsoak runs the real programs as separate processes on loopback,
// injects faults from outside them and checks, from what callers and backend
// servers observe, that the guarantees in the platform's documentation hold.
//
// A run has three phases. In the storm phase, overlapping faults derived from the
// seed are injected: processes are killed, paused, stopped and restarted by
// signals, a disk is lost or reaches a size limit, connections between VMs and to
// backend servers are delayed, reset, blocked in one or both directions, or go
// silent, and backend servers crash, fail, truncate answers, write answers too many,
// start cold and leave.
// Then all faults end, and the system has Recovery to serve again. In the calm
// phase the guarantees with a time bound are checked too, during planned
// maintenance.
//
// The wall clock of a process cannot be changed from outside without privileges.
// Pausing a process tests leases instead: after the pause its clock has advanced
// while it did nothing.
//
// # Usage
//
//	soak := &dhsoak.Soak{Program: "bin/dandelionhoistd", Folder: folder, Seed: 7, Storm: 10 * time.Second, ...}
//	report, err := soak.Run(ctx)
//
// A seed determines the sizes and the sequence of faults, but not how the
// processes are scheduled, so a seed that fails may pass when it is run again.
package dhsoak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// Bounds that are written to the settings of the processes and used by the checks.
const (
	// keyBound is the time from the acknowledgement of a configuration until a
	// key that it removes is refused everywhere.
	keyBound = 3 * time.Second
	// settleTime is how long a VM must have been without faults before the time
	// bounds below apply to it.
	settleTime = 3 * time.Second
	// applyBound is the time until an acknowledged configuration is in force.
	applyBound = 2 * time.Second
	// outerBound is added to it beside faults of control VMs.
	outerBound = 5 * time.Second
	// evacuateBound is the time from the acknowledgement of a zone's evacuation until
	// the zone gets no more requests.
	evacuateBound = 3 * time.Second
	// drainBound is the time until a backend server that has announced its leave gets
	// no more requests.
	drainBound = 2 * time.Second
	// graceBound is the time within which a process must exit after SIGTERM.
	graceBound = 5 * time.Second
	// heartbeat is the time between two announcements of a backend server.
	heartbeat = 300 * time.Millisecond
	// retryRatio, retryWindow and retrySlack bound the retries to a pool. They are
	// lower than the platform's defaults, so that a short run reaches the budget.
	retryRatio  = 0.3
	retryWindow = 10 * time.Second
	retrySlack  = 30
	// coldPerSecond, coldOvershoot and coldSlack bound the requests to a cold
	// backend server in any second.
	coldPerSecond = 8
	coldOvershoot = 1.5
	coldSlack     = 5
	coldFor       = 3 * time.Second
	// exposureShare and exposureSlack bound the requests to a bad version between
	// the start of its rollout and the deadline; rollbackBound is the time from its
	// 50th bad answer until it gets no more requests.
	exposureShare      = 0.15
	exposureSlack      = 30
	rollbackBound      = 5 * time.Second
	badAnswerThreshold = 50
	// rolloutDeadline is the time within which a rollout must end.
	rolloutDeadline = 5 * time.Second
	// minServedShare is the share of requests that must be served in the calm
	// phase: the guarantee is a quarter after a recovery.
	minServedShare = 0.25
	// maxLostAnswers and maxLateRequests are how many requests may lose their answer, or
	// reach a backend server after their caller has left, without a violation.
	maxLostAnswers  = 3
	maxLateRequests = 3
	// maxPauseRequests requests of a VM may reach a backend server during a pause
	// that the server asked for; the first pauseGrace of the pause is not counted.
	maxPauseRequests = 2
	pauseGrace       = 500 * time.Millisecond
)

// Size is the number of processes, backend servers and callers of a run. A field
// that is zero gets a random value that depends on the seed.
type Size struct{ Controls, Entries, Backends, Callers int }

// withRandomDefaults replaces zero fields by random sizes. These are small;
// large runs set their sizes explicitly.
func (s Size) withRandomDefaults(random *rand.Rand) Size {
	draw := func(n *int, least, most int) {
		if drawn := least + random.IntN(most-least+1); *n == 0 {
			*n = drawn
		}
	}
	draw(&s.Controls, 3, 5)
	draw(&s.Entries, 2, 5)
	draw(&s.Backends, 6, 12)
	draw(&s.Callers, 8, 16)
	return s
}

// Soak is one run. All fields are set before Run.
type Soak struct {
	// Program is the path of dandelionhoistd. OldProgram is that of an earlier build with
	// which all VMs start; the storm exchanges them. It may be empty.
	Program, OldProgram string
	// Folder is where the settings, disks and logs of the processes are written.
	Folder string
	// Seed determines sizes and faults.
	Seed uint64
	// Storm is the time during which faults are injected, Recovery the time to
	// serve again after them, Calm the time during which all checks apply.
	Storm, Recovery, Calm time.Duration
	Size                  Size
	// Network is the first of the 1,024 loopback addresses that the run uses.
	Network netip.Addr
	Timers  dhtimer.Service
	Log     *slog.Logger
}

// Report is the outcome of a run.
type Report struct {
	Seed                         uint64
	Size                         Size
	Requests, Served, Calm, Runs int
	// CalmServed is how many of the Calm requests were served. Unserved counts the
	// others by status; 0 stands for a connection that ended without an answer.
	CalmServed int
	Unserved   map[int]int
	// Met is the number of runs whose answers followed the copy of another one, Again that
	// of requests sent again with their id after a refusal.
	Met, Again int
	Faults     []string
	Violations []string
}

// String returns the report as lines of text.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: controls %d, entries %d, backends %d, callers %d; faults %d; requests %d, served %d, runs %d; copies met %d, sent again %d; calm %d, served %d; violations %d",
		r.Seed, r.Size.Controls, r.Size.Entries, r.Size.Backends, r.Size.Callers, len(r.Faults), r.Requests, r.Served, r.Runs, r.Met, r.Again, r.Calm, r.CalmServed, len(r.Violations))
	if len(r.Unserved) > 0 {
		text += fmt.Sprintf("; not served %v", r.Unserved)
	}
	for _, v := range r.Violations {
		text += "\n  " + v
	}
	return text
}

// exchangeStream selects the random numbers of the exchanges of a seed, and those from
// keyStream on are used by the callers with revoked keys. The other callers use those from 2
// on.
const (
	exchangeStream = 1 << 32
	keyStream      = 2 << 32
)

// startLimit is the time within which the first request must be served.
const startLimit = 20 * time.Second

// Run executes the run and returns its report. An error means that the run itself
// failed; a broken guarantee is a violation in the report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	size := s.Size.withRandomDefaults(random)
	faults := generateFaults(random, size, s.Storm)
	if s.OldProgram != "" {
		faults = append(faults, generateExchanges(rand.New(rand.NewPCG(s.Seed, exchangeStream)), size, s.Storm)...)
	}
	checker := &Checker{Timers: s.Timers}
	for i := range size.Controls {
		checker.Controls = append(checker.Controls, controlName(i))
	}
	group := dhgroup.New(ctx)
	d := &deployment{soak: s, size: size, checker: checker, group: group, network: newNetwork(s.Timers, group)}
	report := Report{Seed: s.Seed, Size: size}
	for _, f := range faults {
		report.Faults = append(report.Faults, f.String())
	}
	err := s.runPhases(group.Context(), d, faults)
	// Requests that the end of the run breaks off are no findings.
	checker.Disturb(disturbedBy(d.vms())...)
	group.Stop()
	d.end()
	if waitErr := group.Wait(); err == nil && ctx.Err() == nil {
		err = waitErr
	}
	checker.finish(&report)
	return report, err
}

// runPhases starts everything and executes the storm, recovery, revocation and calm phases.
func (s *Soak) runPhases(ctx context.Context, d *deployment, faults []fault) error {
	if err := d.start(); err != nil {
		return err
	}
	operator := newOperator(d, rand.New(rand.NewPCG(s.Seed, 1)))
	d.group.Go(operator.run)
	for i := range d.size.Callers {
		c := &caller{deployment: d, operator: operator, random: rand.New(rand.NewPCG(s.Seed, uint64(i)+2))}
		d.group.Go(c.run)
	}
	limited, cancel := dhtimer.WithTimeout(ctx, s.Timers, startLimit)
	defer cancel()
	for !d.checker.servedAny() {
		if err := dhtimer.Sleep(limited, s.Timers, 50*time.Millisecond); err != nil {
			return fmt.Errorf("nothing was served within %v of the start", startLimit)
		}
	}
	begin := s.Timers.Now()
	storm := dhgroup.New(ctx)
	for _, f := range faults {
		storm.Go(func(ctx context.Context) error {
			if dhtimer.Sleep(ctx, s.Timers, f.start-s.Timers.Now().Sub(begin)) == nil {
				s.Log.Debug("fault", slog.Uint64("seed", s.Seed), slog.String("fault", f.String()))
				d.inject(ctx, operator, f)
			}
			return nil
		})
	}
	if err := storm.Wait(); err != nil {
		return err
	}
	d.restartStopped(ctx)
	if err := dhtimer.Sleep(ctx, s.Timers, s.Recovery); err != nil {
		return err
	}
	if err := d.revokeDuringCut(ctx, operator); err != nil {
		return err
	}
	d.checker.startCalm()
	for i, b := range d.backends {
		if uint64(i)%2 == s.Seed%2 {
			b.setConduct(copying)
		}
	}
	operator.calm.Store(true)
	planned := dhgroup.New(ctx)
	planned.Go(func(ctx context.Context) error { return d.plannedWork(ctx, operator) })
	if s.Seed%3 == 0 {
		defer d.crashingPart(int(s.Seed))()
	}
	if s.Seed%3 == 1 {
		defer d.deadlyRequest(int(s.Seed))()
	}
	if err := dhtimer.Sleep(ctx, s.Timers, s.Calm); err != nil {
		return err
	}
	if err := planned.Wait(); err != nil {
		return err
	}
	return operator.readBack(ctx)
}
