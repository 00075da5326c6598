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
	// reopenPause is the time after a disk fault until the voter is opened again.
	reopenPause = 500 * time.Millisecond
	// findPeriod is the time between two tries to find or make the voter set.
	findPeriod = 200 * time.Millisecond
	// votersPeriod is the time between two looks at the voter set.
	votersPeriod = 400 * time.Millisecond
	// replaceAfter is how long a voter does not answer before a spare takes
	// its place. A spare counts as caught up some seconds after its start, so
	// the exchange must begin well before.
	replaceAfter = 2 * time.Second
	// answersWithin is how recently a control VM must have answered to count
	// as responsive.
	answersWithin = 1500 * time.Millisecond
	// changeTimeout bounds one change of the voter set, joinTimeout the copy of
	// all registers to a new voter.
	changeTimeout = 2 * time.Second
	joinTimeout   = 10 * time.Second
	// damagedPrefix is put before the names of files that cannot be read.
	damagedPrefix = "damaged-"
)

func randomID() string { return rand.Text() }

// keepVoter runs the voter. A disk fault stops it; it is opened again from
// what the disk holds, and says nothing until that has worked.
func (c *Control) keepVoter(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.runVoter(ctx)
		c.voter.Store(nil)
		if ctx.Err() != nil {
			return nil
		}
		c.Log.Warn("voter stopped", slog.String("error", err.Error()))
		if dhcode.Of(err) == dhcode.DiskCorrupt {
			c.setAside()
		}
		_ = dhtimer.Sleep(ctx, c.Timers, reopenPause) // the loop ends with ctx
	}
	return nil
}

func (c *Control) runVoter(ctx context.Context) error {
	if c.disk == nil {
		disk, err := c.OpenDisk()
		if err != nil {
			return dhcode.Wrap(dhcode.DiskFailed, err)
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
		// The disks of these VMs keep what was synced, so that no other VM
		// has to remember how far they were.
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

// setAside renames damaged files, so that the voter starts again as a new one.
func (c *Control) setAside() {
	names, err := c.disk.List()
	if err != nil {
		c.Log.Warn("damaged files not listed", slog.String("error", err.Error()))
		return
	}
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			continue
		}
		aside := fmt.Sprintf("%s%d-%s", damagedPrefix, c.Incarnation, name)
		if err := c.disk.Rename(name, aside); err != nil {
			c.Log.Warn("damaged file not set aside", slog.String("file", name), slog.String("error", err.Error()))
		}
	}
	if err := c.disk.SyncDir(); err != nil {
		c.Log.Warn("names of damaged files not synced", slog.String("error", err.Error()))
	}
}

// Voter returns the running voter. The code disk-failed means that there is
// none now.
func (c *Control) Voter() (*dhquorum.Voter, error) {
	if v := c.voter.Load(); v != nil {
		return v, nil
	}
	return nil, dhcode.Errorf(dhcode.DiskFailed, "control VM %q has no running voter", c.Name)
}

// findVoters finds the voter set in force, or makes the first one.
func (c *Control) findVoters(ctx context.Context) error {
	var first []dhquorum.Member
	for _, address := range c.Seeds {
		first = append(first, dhquorum.Member{Address: address})
	}
	for ctx.Err() == nil {
		set, err := c.proposer.Find(ctx, c.peers.addresses())
		if err != nil && c.Bootstrap {
			set, err = c.proposer.Bootstrap(ctx, first)
		}
		if err == nil {
			c.Log.Info("voter set", slog.Uint64("epoch", set.Epoch), slog.Any("voters", set.Members()))
			return nil
		}
		_ = dhtimer.Sleep(ctx, c.Timers, findPeriod) // the loop ends with ctx
	}
	return nil
}

// keepVoters joins the set when this VM is to be a voter, and exchanges voters
// that are gone. All control VMs do so; the register of the set lets one
// change through.
func (c *Control) keepVoters(ctx context.Context) error {
	replacer := &dhquorum.Replacer{After: replaceAfter}
	for dhtimer.Sleep(ctx, c.Timers, votersPeriod) == nil {
		if v := c.voter.Load(); v != nil {
			c.proposer.Adopt(v.Status().Set)
			c.join(ctx, v)
		}
		set := c.withZones(c.proposer.Set())
		if set.Epoch == 0 || !c.inMajority() {
			continue
		}
		c.changeVoters(ctx, set, replacer)
	}
	return nil
}

// changeVoters makes at most one change: a voter whose VM has lost its disk or
// does not answer gives its place to a spare, and a small set grows.
func (c *Control) changeVoters(ctx context.Context, set dhquorum.VoterSet, replacer *dhquorum.Replacer) {
	alive := c.peers.answeredWithin(answersWithin)
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
		decision, ok = dhquorum.Decision{Old: wiped.ID, New: spareFor(wiped, spares)}, true
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, changeTimeout)
	defer cancel()
	var err error
	switch {
	case ok && decision.Abort:
		_, err = c.proposer.Abort(ctx)
	case ok:
		_, err = c.proposer.Replace(ctx, decision.Old, decision.New)
	case !set.Joint() && len(set.Voters) < 2*c.Tolerated+1 && len(spares) > 0:
		decision.New = bestAddition(set, spares)
		_, err = c.proposer.Add(ctx, decision.New)
	default:
		return
	}
	now := c.proposer.Set()
	c.Log.Info("voter set changed", slog.Uint64("epoch", now.Epoch), slog.Bool("abort", decision.Abort),
		slog.String("old", decision.Old), slog.String("new", decision.New.ID), slog.Any("voters", now.Members()), slog.Any("error", err))
}

// withZones fills in the zones of the first voters, of which only the
// addresses were known.
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

// spares returns the VMs with a disk that are not voters, sorted by address.
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

// wipedVoter returns a voter whose VM answers with another identity: its disk
// is lost, so that it can never answer again.
func wipedVoter(set dhquorum.VoterSet, alive map[string]*dhpb.ControlRecord) (dhquorum.Member, bool) {
	for _, m := range set.Voters {
		if r := alive[m.Address]; r.GetVoterId() != "" && r.GetVoterId() != m.ID {
			return m, true
		}
	}
	return dhquorum.Member{}, false
}

// spareFor prefers the voter's own VM, then its zone.
func spareFor(old dhquorum.Member, spares []dhquorum.Member) dhquorum.Member {
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

// bestAddition prefers the zone with the fewest voters.
func bestAddition(set dhquorum.VoterSet, spares []dhquorum.Member) dhquorum.Member {
	inZone := make(map[string]int)
	for _, m := range set.Voters {
		inZone[m.Zone]++
	}
	return slices.MinFunc(spares, func(a, b dhquorum.Member) int { return inZone[a.Zone] - inZone[b.Zone] })
}

// join makes this VM's voter count when the set names it as the new one.
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
