package dhdaemon

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// maintainPeriod is below the minute that the retention clock of claims needs.
	maintainPeriod = 30 * time.Second
	// votersPeriod is the time between two looks at the voter set.
	votersPeriod = time.Second
	// changeTimeout bounds one change of the voter set, and joinTimeout the
	// transfer of all registers to a new voter.
	changeTimeout = 5 * time.Second
	joinTimeout   = 5 * time.Minute
)

// maintain keeps the retention clock of claims going and compacts revisions.
func (d *Daemon) maintain(ctx context.Context) error {
	for dhtimer.Sleep(ctx, d.Timers, maintainPeriod) == nil {
		if err := d.claimed.Maintain(ctx); err != nil {
			d.Log.Warn("retention clock", slog.String("error", err.Error()))
		}
		if d.voter == nil {
			continue
		}
		if err := d.node.Compact(ctx); err != nil {
			d.Log.Warn("revisions not compacted", slog.String("error", err.Error()))
		}
		if err := d.voter.Prune(ctx, dhclaim.ClockKey, d.keepClaim); err != nil {
			d.Log.Warn("claims not pruned", slog.String("error", err.Error()))
		}
	}
	return nil
}

func (d *Daemon) keepClaim(key string, value, clock []byte) ([]byte, bool) {
	return dhclaim.Compact(key, value, clock, d.Settings.Timing.ClaimRetention.Std())
}

// keepVoters replaces voters that are unresponsive for long, and joins the
// voter set when this VM is the replacement. Only VMs with a disk decide.
func (d *Daemon) keepVoters(ctx context.Context) error {
	replacer := &dhquorum.Replacer{After: d.Settings.Timing.VoterReplaced.Std()}
	for dhtimer.Sleep(ctx, d.Timers, votersPeriod) == nil {
		d.proposer.Adopt(d.voter.Status().Set)
		d.join(ctx)
		set := d.proposer.Set()
		if set.Epoch == 0 {
			continue
		}
		view := d.members.View()
		decision, ok := replacer.Tick(d.Timers.Now(), set, responsive(view), d.spares(view, set))
		if ok {
			d.change(ctx, decision)
		}
	}
	return nil
}

// responsive reports whether a voter's VM is alive.
func responsive(view *dhmember.View) func(id string) bool {
	alive := make(map[string]bool)
	for _, m := range view.Alive() {
		if m.State == dhmember.Alive && m.VoterID != "" {
			alive[m.VoterID] = true
		}
	}
	return func(id string) bool { return alive[id] }
}

// spares returns the alive VMs with a disk that are not voters.
func (d *Daemon) spares(view *dhmember.View, set dhquorum.VoterSet) []dhquorum.Member {
	var list []dhquorum.Member
	for _, m := range view.Alive() {
		if m.State == dhmember.Alive && m.HasDisk && m.VoterID != "" && !set.Contains(m.VoterID) {
			list = append(list, dhquorum.Member{ID: m.VoterID, Address: m.Address, Zone: m.Zone})
		}
	}
	return list
}

func (d *Daemon) change(ctx context.Context, decision dhquorum.Decision) {
	ctx, cancel := dhtimer.WithTimeout(ctx, d.Timers, changeTimeout)
	defer cancel()
	var set dhquorum.VoterSet
	var err error
	if decision.Abort {
		set, err = d.proposer.Abort(ctx)
	} else {
		set, err = d.proposer.Replace(ctx, decision.Old, decision.New)
	}
	// Another VM may have decided the same at the same time.
	if err != nil && dhcode.Of(err) != dhcode.VoterEpochOld {
		d.Log.Warn("voter set not changed", slog.String("error", err.Error()))
		return
	}
	d.Log.Info("voter set changed", slog.Uint64("epoch", set.Epoch), slog.Bool("abort", decision.Abort),
		slog.String("old", decision.Old), slog.String("new", decision.New.ID))
}

// join makes this VM's voter count when the voter set names it as the replacement.
func (d *Daemon) join(ctx context.Context) {
	status := d.voter.Status()
	if m, ok := status.Set.Joining(); !ok || m.ID != status.ID {
		return
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, d.Timers, joinTimeout)
	defer cancel()
	set, err := d.proposer.Join(ctx, d.voter.Voter)
	if err != nil {
		d.Log.Warn("voter has not joined", slog.String("error", err.Error()))
		return
	}
	d.Log.Info("voter joined", slog.Uint64("epoch", set.Epoch), slog.String("voter", status.ID))
}
