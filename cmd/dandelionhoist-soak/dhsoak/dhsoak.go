// Package dhsoak runs the real programs as separate processes on loopback,
// injects faults from outside them and checks, from what callers and backend
// servers see, that the promises of the platform's pages hold meanwhile.
//
// A run has three spans. In the storm, overlapping faults drawn from the seed
// strike: processes are killed, paused, stopped and restarted by signals, a disk
// is lost or stops growing, connections between VMs and to backend servers are
// delayed, reset, cut one way or both, or go silent, and backend servers crash,
// fail, break off, start cold and leave. Then everything is mended, and the
// system has Recovery to serve again. In the calm span the promises with a time
// bound are checked too, beside planned work.
//
// The time of day of a process cannot be changed from outside without
// privileges; a paused process is how leases meet a clock that has gone on.
//
// # Usage
//
//	soak := &dhsoak.Soak{Program: "bin/dandelionhoistd", Folder: folder, Seed: 7, Storm: 10 * time.Second, ...}
//	report, err := soak.Run(ctx)
//
// A seed fixes the sizes and the series of faults, not the order in which
// processes act, so that a seed that fails may pass when it is run again.
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

// The bounds that the settings of the processes name, and the checks use.
const (
	// keyBound is the time from the acknowledgement of a configuration until a
	// key that it takes away is refused everywhere.
	keyBound = 3 * time.Second
	// contactBound is how long a VM must have been undisturbed for the bounds
	// below to apply to it.
	contactBound = 3 * time.Second
	// applyBound is the time until an acknowledged configuration is in force.
	applyBound = 2 * time.Second
	// evacuateBound is the time until a zone that is taken out gets nothing.
	evacuateBound = 3 * time.Second
	// drainBound is the time until a backend server that leaves gets nothing.
	drainBound = 2 * time.Second
	// graceBound is the time that a process has to end after SIGTERM.
	graceBound = 5 * time.Second
	// heartbeat is the time between two announcements of a backend server.
	heartbeat = 300 * time.Millisecond
	// retryRatio, retryWindow and retrySlack bound the repeats to a pool. They are
	// lower than the platform's, so that the budget is met in a short run.
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
	// the order of its rollout and the deadline; rollbackBound is the time from its
	// 50th bad answer until it gets none.
	exposureShare = 0.15
	exposureSlack = 30
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// rolloutTime is the time in which a rollout is to end.
	rolloutTime = 5 * time.Second
	// servedPart is the part of requests that must be served in the calm span:
	// the rules ask for a quarter after a recovery.
	servedPart = 0.25
	// lostAllowed, lateAllowed are how many requests may lose their answer, or
	// reach a backend server late, before a rule is broken.
	lostAllowed = 3
	lateAllowed = 3
	// pauseAllowed requests of a VM may reach a backend server in a pause that it
	// asked for, counted from pauseGrace on.
	pauseAllowed = 2
	pauseGrace   = 500 * time.Millisecond
)

// Size is how many processes, backend servers and callers a run has. A zero is
// drawn from the seed.
type Size struct{ Controls, Entries, Backends, Callers int }

// with replaces zeros by drawn figures. Large runs name their sizes.
func (s Size) with(random *rand.Rand) Size {
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
	// Program is the path of dandelionhoistd.
	Program string
	// Folder gets settings, disks and logs of the processes.
	Folder string
	// Seed fixes sizes and faults.
	Seed uint64
	// Storm is the time in which faults strike, Recovery the time to serve again
	// after them, Calm the time in which all checks apply.
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
	// CalmServed is how many of the Calm requests were served, Unserved counts the
	// statuses of the others; 0 is a connection that ended.
	CalmServed int
	Unserved   map[int]int
	Faults     []string
	Violations []string
}

// String returns the report as lines of text.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: controls %d, entries %d, backends %d, callers %d; faults %d; requests %d, served %d, runs %d; calm %d, served %d; violations %d",
		r.Seed, r.Size.Controls, r.Size.Entries, r.Size.Backends, r.Size.Callers, len(r.Faults), r.Requests, r.Served, r.Runs, r.Calm, r.CalmServed, len(r.Violations))
	if len(r.Unserved) > 0 {
		text += fmt.Sprintf("; not served %v", r.Unserved)
	}
	for _, v := range r.Violations {
		text += "\n  " + v
	}
	return text
}

// startLimit bounds the wait for the first served request.
const startLimit = 20 * time.Second

// Run plays the run and returns what it found. The error is about the run
// itself; a broken promise is a violation in the report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	size := s.Size.with(random)
	faults := drawFaults(random, size, s.Storm)
	judge := &Judge{Timers: s.Timers}
	group := dhgroup.New(ctx)
	d := &deployment{soak: s, size: size, judge: judge, group: group, network: newNetwork(s.Timers, group)}
	report := Report{Seed: s.Seed, Size: size}
	for _, f := range faults {
		report.Faults = append(report.Faults, f.String())
	}
	err := s.play(group.Context(), d, faults)
	group.Stop()
	d.end()
	if waitErr := group.Wait(); err == nil && ctx.Err() == nil {
		err = waitErr
	}
	judge.finish(&report)
	return report, err
}

// play starts everything and walks through the spans.
func (s *Soak) play(ctx context.Context, d *deployment, faults []fault) error {
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
	for !d.judge.servedAny() {
		if err := dhtimer.Sleep(limited, s.Timers, 50*time.Millisecond); err != nil {
			return fmt.Errorf("nothing was served within %v of the start", startLimit)
		}
	}
	begin := s.Timers.Now()
	storm := dhgroup.New(ctx)
	for _, f := range faults {
		storm.Go(func(ctx context.Context) error {
			if dhtimer.Sleep(ctx, s.Timers, f.at-s.Timers.Now().Sub(begin)) == nil {
				s.Log.Debug("fault", slog.Uint64("seed", s.Seed), slog.String("fault", f.String()))
				d.strike(ctx, operator, f)
			}
			return nil
		})
	}
	if err := storm.Wait(); err != nil {
		return err
	}
	d.mend()
	if err := dhtimer.Sleep(ctx, s.Timers, s.Recovery); err != nil {
		return err
	}
	d.judge.calm()
	operator.calm.Store(true)
	planned := dhgroup.New(ctx)
	planned.Go(func(ctx context.Context) error { return d.plannedWork(ctx, operator) })
	if err := dhtimer.Sleep(ctx, s.Timers, s.Calm); err != nil {
		return err
	}
	if err := planned.Wait(); err != nil {
		return err
	}
	return operator.readBack(ctx)
}
