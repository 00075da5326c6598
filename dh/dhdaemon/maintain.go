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
	// maintainPeriod is below the minute for which a reading of the retention
	// clock of claims may be used.
	maintainPeriod = 30 * time.Second
	// voterCheckPeriod is the interval between checks of the voter set.
	voterCheckPeriod = time.Second
	// changeTimeout bounds one change of the voter set, and joinTimeout the
	// transfer of all registers to a new voter.
	changeTimeout = 5 * time.Second
	joinTimeout   = 5 * time.Minute
)

// maintain periodically advances the retention clock of claims, compacts
// revisions and prunes claims.
func (d *Daemon) maintain(ctx context.Context) error {
	for dhtimer.Sleep(ctx, d.Timers, maintainPeriod) == nil {
		if err := d.claims.Maintain(ctx); err != nil {
			d.Log.Warn("retention clock not advanced", slog.String("error", err.Error()))
		}
		if d.voter == nil {
			continue
		}
		if err := d.node.Compact(ctx); err != nil {
			d.Log.Warn("revisions not compacted", slog.String("error", err.Error()))
		}
		if err := d.voter.Prune(ctx, dhclaim.ClockKey, d.compactClaim); err != nil {
			d.Log.Warn("claims not pruned", slog.String("error", err.Error()))
		}
	}
	return nil
}

func (d *Daemon) compactClaim(key string, value, clock []byte) ([]byte, bool) {
	return dhclaim.Compact(key, value, clock, d.Settings.Timing.ClaimRetention.Std())
}

// maintainVoterSet replaces voters that stay unresponsive, and joins the voter
// set when this VM is the replacement. Only VMs with a disk run it.
func (d *Daemon) maintainVoterSet(ctx context.Context) error {
	replacer := &dhquorum.Replacer{After: d.Settings.Timing.VoterReplaced.Std()}
	for dhtimer.Sleep(ctx, d.Timers, voterCheckPeriod) == nil {
		d.proposer.Adopt(d.voter.Status().Set)
		d.joinVoterSet(ctx)
		set := d.proposer.Set()
		if set.Epoch == 0 {
			continue
		}
		view := d.members.View()
		decision, ok := replacer.Tick(d.Timers.Now(), set, responsive(view), d.spares(view, set))
		if ok {
			d.changeVoterSet(ctx, decision)
		}
	}
	return nil
}

// responsive returns a function that reports whether a voter's VM is alive.
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

func (d *Daemon) changeVoterSet(ctx context.Context, decision dhquorum.Decision) {
	ctx, cancel := dhtimer.WithTimeout(ctx, d.Timers, changeTimeout)
	defer cancel()
	var set dhquorum.VoterSet
	var err error
	if decision.Abort {
		set, err = d.proposer.Abort(ctx)
	} else {
		set, err = d.proposer.Replace(ctx, decision.Old, decision.New)
	}
	// VoterEpochOld is not logged as a failure, because another VM may have made
	// the same change concurrently.
	if err != nil && dhcode.Of(err) != dhcode.VoterEpochOld {
		d.Log.Warn("voter set not changed", slog.String("error", err.Error()))
		return
	}
	d.Log.Info("voter set changed", slog.Uint64("epoch", set.Epoch), slog.Bool("abort", decision.Abort),
		slog.String("old", decision.Old), slog.String("new", decision.New.ID))
}

// joinVoterSet adds this VM's voter to the voter set when the set names it as
// the replacement.
func (d *Daemon) joinVoterSet(ctx context.Context) {
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
