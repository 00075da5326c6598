package dhwatch

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// checkPeriod is the time between two checks, maxCheckPeriod that after as many checks
	// as there are control VMs.
	checkPeriod    = 100 * time.Millisecond
	maxCheckPeriod = 500 * time.Millisecond
	// checkTimeout bounds a check. A late answer is of use: it tells its own age.
	checkTimeout = 2 * time.Second
	// maxChecks bounds the checks that have no answer yet, each of another control VM.
	maxChecks = 8
)

// StateSource asks control VMs for their durable state by address.
type StateSource interface {
	State(ctx context.Context, address string, m *dhpb.ControlStateRequest) (*dhpb.ControlStateResponse, error)
}

// State is the durable state that a control VM knows. Document and Operations are nil if the
// caller had them.
type State struct {
	Document   *dhpb.Document
	Operations *dhpb.Operations
	// Departures are recent departures of backend servers.
	Departures []*dhpb.Departure
	// From is the address of the control VM.
	From string
	// ConfirmedAt is a time at which the state was the newest, as for Update.
	ConfirmedAt time.Duration
}

// State returns the durable state in an update.
func (u Update) State() State {
	return State{
		Document: u.GetDocument(), Operations: u.GetOperations(), Departures: u.GetDepartures(), From: u.From, ConfirmedAt: u.ConfirmedAt(),
	}
}

// RunChecks asks control VMs for their durable state, one after the other and without waiting
// for answers, while StateAge returns more than CheckAfter. A watch alone would find a control
// VM that answers only after the time-outs of all that do not.
func (f *Follower) RunChecks(ctx context.Context) error {
	group := dhgroup.New(ctx)
	checks, pause := 0, f.CheckAfter
	for dhtimer.Sleep(ctx, f.Timers, pause) == nil {
		age := f.StateAge()
		if document, _ := f.Versions(); document == 0 || age <= f.CheckAfter {
			checks, pause = 0, max(f.CheckAfter-age, checkPeriod)
			continue
		}
		pause = checkPeriod
		address, known := f.beginCheck()
		if checks++; checks > known {
			pause = maxCheckPeriod
		}
		if checks == 1 {
			f.Log.Info("asking other control VMs", slog.Duration("age", age), slog.String("watching", f.Current()))
		}
		if address != "" {
			group.Go(func(ctx context.Context) error {
				f.check(ctx, address)
				return nil
			})
		}
	}
	return group.Wait()
}

// beginCheck returns the control VM to ask next, or "" if there is none, and the number of
// control VMs. It prefers those that answer, as far as is known, and then those that have not
// been asked for the longest time.
func (f *Follower) beginCheck() (address string, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, silent := f.Timers.Now(), f.silentBefore()
	var best *control
	pending := 0
	for a, c := range f.controls {
		if c.checking {
			pending++
			continue
		}
		if a != f.current && (best == nil || c.compareForCheck(best, now, silent) < 0) {
			address, best = a, c
		}
	}
	if best == nil || pending >= maxChecks {
		return "", len(f.controls)
	}
	best.checking, best.checkedAt = true, now
	return address, len(f.controls)
}

func (c *control) compareForCheck(o *control, now, silent time.Time) int {
	responsive := func(c *control) int {
		if c.avoided(now) || c.lastHeard.Before(silent) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(responsive(c), responsive(o)), c.checkedAt.Compare(o.checkedAt), cmp.Compare(c.weight, o.weight))
}

// silentBefore returns the time before which a control VM that was last heard from counts as
// silent. It is relative to the others, since nothing is heard of any while this VM gets no
// answers. The caller holds the lock.
func (f *Follower) silentBefore() time.Time {
	var newest time.Time
	for _, c := range f.controls {
		if c.lastHeard.After(newest) {
			newest = c.lastHeard
		}
	}
	return newest.Add(-zoneMoveMaxAge)
}

// check asks one control VM.
func (f *Follower) check(ctx context.Context, address string) {
	callCtx, cancel := dhtimer.WithTimeout(ctx, f.Timers, checkTimeout)
	defer cancel()
	document, operations := f.Versions()
	sent := f.Clock.Elapsed()
	reply, err := f.States.State(callCtx, address, &dhpb.ControlStateRequest{Document: document, Operations: operations})
	f.mu.Lock()
	if c := f.controls[address]; c != nil {
		c.checking = false
	}
	f.mu.Unlock()
	if err != nil || ctx.Err() != nil {
		return // another control VM is asked
	}
	f.OnState(State{
		Document: reply.GetDocument(), Operations: reply.GetOperations(), Departures: reply.GetDepartures(), From: address,
		ConfirmedAt: confirmedAt(reply, sent),
	})
}
