package dhcontrol

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// reopenDelay is the time from a disk fault until the voter is opened again.
	reopenDelay = 500 * time.Millisecond
	// findVotersPeriod is the time between two attempts to find or create the
	// voter set.
	findVotersPeriod = 200 * time.Millisecond
	// voterCheckPeriod is the time between two checks of the voter set.
	voterCheckPeriod = 400 * time.Millisecond
	// replaceVoterAfter is how long a voter must be unresponsive before a spare
	// replaces it. A spare counts as caught up only some seconds after its start,
	// so the replacement must begin well before that.
	replaceVoterAfter = 2 * time.Second
	// responsiveWindow is how recently a control VM must have answered to count
	// as responsive.
	responsiveWindow = 1500 * time.Millisecond
	// changeTimeout bounds one change of the voter set. joinTimeout bounds the
	// copy of all registers to a new voter.
	changeTimeout = 2 * time.Second
	joinTimeout   = 10 * time.Second
	// damagedPrefix is prepended to the names of unreadable files.
	damagedPrefix = "damaged-"
)

func randomID() string { return rand.Text() }

// superviseVoter runs the voter. After a disk fault it opens the voter again from
// the state on the disk. Until that succeeds, this VM answers no voter calls.
func (c *Control) superviseVoter(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.runVoter(ctx)
		c.voter.Store(nil)
		if ctx.Err() != nil {
			return nil
		}
		c.Log.Warn("voter stopped", slog.String("error", err.Error()))
		if dhcode.Of(err) == dhcode.DiskCorrupt {
			c.quarantineDamagedFiles()
		}
		_ = dhtimer.Sleep(ctx, c.Timers, reopenDelay) // the loop ends with ctx
	}
	return nil
}

func (c *Control) runVoter(ctx context.Context) error {
	if c.disk == nil {
		disk, err := c.OpenDisk()
		if err != nil {
			return dhcode.Wrap(dhcode.DiskFailed, err)
		}
		if err := c.openFirstStart(disk); err != nil {
			return err
		}
		c.disk = disk
	}
	v, err := dhquorum.OpenVoter(c.disk, randomID())
	if err != nil {
		return err
	}
	status := v.Status()
	c.Log.Info("voter opened", slog.String("voter", status.ID), slog.Uint64("sequence", status.Sequence), slog.Uint64("epoch", status.Set.Epoch))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.group.Go(func(context.Context) error {
		// The disks of control VMs retain synced data, so other VMs do not keep
		// the highest record number of this voter, and 0 is passed.
		if err := v.Confirm(ctx, 0); err != nil && ctx.Err() == nil {
			c.Log.Warn("voter not confirmed", slog.String("error", err.Error()))
			return nil
		}
		c.proposer.Adopt(v.Status().Set)
		c.voter.Store(v)
		return nil
	})
	return v.Run(ctx)
}

// quarantineDamagedFiles renames damaged files, so that the voter restarts with a
// new identity.
func (c *Control) quarantineDamagedFiles() {
	c.firstStart.Store(nil) // the next voter of this VM may have missed a voter set
	names, err := c.disk.List()
	if err != nil {
		c.Log.Warn("damaged files not listed", slog.String("error", err.Error()))
		return
	}
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			continue
		}
		quarantined := fmt.Sprintf("%s%d-%s", damagedPrefix, c.Incarnation, name)
		if err := c.disk.Rename(name, quarantined); err != nil {
			c.Log.Warn("damaged file not renamed", slog.String("file", name), slog.String("error", err.Error()))
		}
	}
	if err := c.disk.SyncDir(); err != nil {
		c.Log.Warn("directory not synced after renaming damaged files", slog.String("error", err.Error()))
	}
}

// Voter returns the running voter. The code disk-failed means that none is
// running.
func (c *Control) Voter() (*dhquorum.Voter, error) {
	if v := c.voter.Load(); v != nil {
		return v, nil
	}
	return nil, dhcode.Errorf(dhcode.DiskFailed, "control VM %q has no running voter", c.Name)
}

// findVoters finds the current voter set, or creates the first one if Bootstrap is set
// or the first start was interrupted.
func (c *Control) findVoters(ctx context.Context) error {
	for ctx.Err() == nil {
		set, err := c.proposer.Find(ctx, c.peers.addresses())
		if first := c.firstVoters(); err != nil && len(first) > 0 {
			set, err = c.proposer.Bootstrap(ctx, members(first))
		}
		if err == nil {
			c.Log.Info("voter set", slog.Uint64("epoch", set.Epoch), slog.Any("voters", set.Members()))
			return nil
		}
		_ = dhtimer.Sleep(ctx, c.Timers, findVotersPeriod) // the loop ends with ctx
	}
	return nil
}

// maintainVoterSet joins the voter set when it names this VM as a new voter, and
// replaces failed voters. All control VMs do this concurrently; the register of
// the voter set accepts one change at a time.
func (c *Control) maintainVoterSet(ctx context.Context) error {
	replacer := &dhquorum.Replacer{After: replaceVoterAfter}
	for dhtimer.Sleep(ctx, c.Timers, voterCheckPeriod) == nil {
		if v := c.voter.Load(); v != nil {
			c.proposer.Adopt(v.Status().Set)
			c.join(ctx, v)
		}
		set := c.withZones(c.proposer.Set())
		if set.Epoch == 0 || !c.inMajority() {
			continue
		}
		c.changeVoterSet(ctx, set, replacer)
	}
	return nil
}

// changeVoterSet makes at most one change: it replaces a voter whose VM has lost
// its disk or does not answer with a spare, or adds a spare to a set that is too
// small.
func (c *Control) changeVoterSet(ctx context.Context, set dhquorum.VoterSet, replacer *dhquorum.Replacer) {
	alive := c.peers.answeredWithin(responsiveWindow)
	alive[c.Address] = c.peers.self()
	voters := make(map[string]*dhpb.ControlRecord)
	for _, r := range alive {
		if r.GetVoterId() != "" {
			voters[r.GetVoterId()] = r
		}
	}
	spares := spares(set, voters)
	decision, ok := replacer.Tick(c.Timers.Now(), set, func(id string) bool { return voters[id] != nil }, spares)
	if wiped, found := wipedVoter(set, alive); found && !set.Joint() && len(spares) > 0 {
		decision, ok = dhquorum.Decision{Old: wiped.ID, New: chooseReplacement(wiped, spares)}, true
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, changeTimeout)
	defer cancel()
	var err error
	switch {
	case ok && decision.Abort:
		_, err = c.proposer.Abort(ctx)
	case ok:
		_, err = c.proposer.Replace(ctx, decision.Old, decision.New)
	case !set.Joint() && len(set.Voters) < 2*c.ToleratedFailures+1 && len(spares) > 0:
		decision.New = chooseAddition(set, spares)
		_, err = c.proposer.Add(ctx, decision.New)
	default:
		return
	}
	now := c.proposer.Set()
	c.Log.Info("voter set changed", slog.Uint64("epoch", now.Epoch), slog.Bool("abort", decision.Abort),
		slog.String("old", decision.Old), slog.String("new", decision.New.ID), slog.Any("voters", now.Members()), slog.Any("error", err))
}

// withZones fills in the zones of the first voters, which were configured by
// address only.
func (c *Control) withZones(set dhquorum.VoterSet) dhquorum.VoterSet {
	zones := map[string]string{c.Address: c.Zone}
	for _, r := range c.peers.records(nil) {
		zones[r.GetAddress()] = r.GetZone()
	}
	fill := func(members []dhquorum.Member) []dhquorum.Member {
		filled := slices.Clone(members)
		for i, m := range filled {
			if m.Zone == "" {
				filled[i].Zone = zones[m.Address]
			}
		}
		return filled
	}
	return dhquorum.VoterSet{Epoch: set.Epoch, Voters: fill(set.Voters), Next: fill(set.Next)}
}

// spares returns the members with a running voter that are not in the voter set,
// sorted by address.
func spares(set dhquorum.VoterSet, voters map[string]*dhpb.ControlRecord) []dhquorum.Member {
	var list []dhquorum.Member
	for id, r := range voters {
		if !set.Contains(id) {
			list = append(list, dhquorum.Member{ID: id, Address: r.GetAddress(), Zone: r.GetZone()})
		}
	}
	slices.SortFunc(list, func(a, b dhquorum.Member) int { return strings.Compare(a.Address, b.Address) })
	return list
}

// wipedVoter returns a voter whose VM answers with a different voter ID. Its disk
// is lost, so it can never answer again.
func wipedVoter(set dhquorum.VoterSet, alive map[string]*dhpb.ControlRecord) (dhquorum.Member, bool) {
	for _, m := range set.Voters {
		if r := alive[m.Address]; r.GetVoterId() != "" && r.GetVoterId() != m.ID {
			return m, true
		}
	}
	return dhquorum.Member{}, false
}

// chooseReplacement returns the spare on the VM of the old voter, else one in its
// zone, else the first.
func chooseReplacement(old dhquorum.Member, spares []dhquorum.Member) dhquorum.Member {
	for _, s := range spares {
		if s.Address == old.Address {
			return s
		}
	}
	for _, s := range spares {
		if s.Zone == old.Zone {
			return s
		}
	}
	return spares[0]
}

// chooseAddition returns a spare in the zone with the fewest voters.
func chooseAddition(set dhquorum.VoterSet, spares []dhquorum.Member) dhquorum.Member {
	inZone := make(map[string]int)
	for _, m := range set.Voters {
		inZone[m.Zone]++
	}
	return slices.MinFunc(spares, func(a, b dhquorum.Member) int { return inZone[a.Zone] - inZone[b.Zone] })
}

// join completes the addition of this VM's voter if the set names it as the
// joining member.
func (c *Control) join(ctx context.Context, v *dhquorum.Voter) {
	status := v.Status()
	if m, ok := status.Set.Joining(); !ok || m.ID != status.ID {
		return
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, joinTimeout)
	defer cancel()
	set, err := c.proposer.Join(ctx, v)
	if err != nil {
		c.Log.Warn("voter has not joined", slog.String("voter", status.ID), slog.String("error", err.Error()))
		return
	}
	c.Log.Info("voter joined", slog.Uint64("epoch", set.Epoch), slog.String("voter", status.ID))
}
