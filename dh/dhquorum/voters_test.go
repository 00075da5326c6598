package dhquorum_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
)

func assertValue(ctx context.Context, t *testing.T, p *dhquorum.Proposer, key, want string) {
	t.Helper()
	value, err := p.Read(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, string(value), want)
}

// Guards against losing a value with the next voter when only the replaced
// voter and one other held it, and against a proposer that continues to use the
// old set.
func TestReplaceThenLoseAnother(t *testing.T) {
	run(t, 2, 4, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		stale := c.addProposer(9, 1)
		stale.Adopt(p.Set())
		c.crash(1)
		for i := range 2500 { // several pages
			if i == 100 {
				c.start(1, "unused")
				c.crash(2)
			}
			_, err := p.Update(ctx, fmt.Sprintf("edit/%d", i), setValue(fmt.Sprint(i)))
			assert.NilError(t, err)
		}
		joint, err := p.Replace(ctx, "id2", c.member(3))
		assert.NilError(t, err)
		assert.Equal(t, joint.Epoch, uint64(3))
		for c.voters[3].Status().Set.Epoch != joint.Epoch {
			assertValue(ctx, t, p, "edit/1", "1") // installs the joint set
		}
		joined := c.addProposer(10, 1)
		final, err := joined.Join(ctx, c.voters[3])
		assert.NilError(t, err)
		assert.Assert(t, !final.Joint() && final.Contains("id3") && !final.Contains("id2"))

		c.crash(0)
		for i := range 2500 {
			assertValue(ctx, t, stale, fmt.Sprintf("edit/%d", i), fmt.Sprint(i))
		}
		assert.Equal(t, stale.Set().Epoch, final.Epoch)
		entries, err := stale.List(ctx, "edit/2")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 611)
		assert.Equal(t, entries[1].Key+"="+string(entries[1].Value), "edit/20=20")
	})
}

// Guards against a voter that answers after its disk was rolled back or wiped.
func TestRolledBackAndWipedDisk(t *testing.T) {
	run(t, 3, 3, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		_, err := p.Update(ctx, "edit/1", setValue("one"))
		assert.NilError(t, err)
		image := c.disks[0].Image()
		c.crash(2)
		_, err = p.Update(ctx, "edit/1", setValue("two"))
		assert.NilError(t, err)
		c.crash(0)
		c.disks[0].Restore(image)
		c.start(0, "unused")
		assert.Equal(t, dhcode.Of(c.failures[0]), dhcode.VoterRolledBack)

		// No VM reports the record number to the voter: the proposer detects the rollback.
		c.crash(0)
		c.disks[0].Restore(image)
		savedProposers := c.proposers
		c.proposers = nil
		c.start(0, "unused")
		assert.NilError(t, c.failures[0])
		_, err = p.Read(ctx, "edit/1")
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
		c.proposers = savedProposers
		c.start(2, "unused")
		assertValue(ctx, t, p, "edit/1", "two")

		c.crash(1)
		c.disks[1].Restore(nil)
		c.start(1, "new-id")
		_, err = p.Read(ctx, "edit/1")
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
		assert.Equal(t, c.voters[1].Status().Set.Epoch, uint64(0))
		set, err := c.addProposer(4, 1).Bootstrap(ctx, c.addresses(3))
		assert.NilError(t, err)
		assert.Assert(t, !set.Contains("new-id"))
	})
}

// Guards against an empty voter that stands for the lost one at its address too: without the
// one voter that held a value, a read found none and a copy of the registers left it out.
func TestVoterAtAddressOfLostOneCountsOnce(t *testing.T) {
	run(t, 8, 3, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		c.crash(1)
		_, err := p.Update(ctx, "edit/1", setValue("one"))
		assert.NilError(t, err)
		c.crash(0)
		c.disks[0].Restore(nil)
		c.start(0, "new-id")
		c.start(1, "unused")
		fresh := c.addProposer(9, 1) // it knows no record numbers, as after a loss of power
		_, err = fresh.Find(ctx, []string{"v1", "v2"})
		assert.NilError(t, err)
		joint, err := fresh.Replace(ctx, "id0", c.member(0))
		assert.NilError(t, err)
		for c.voters[0].Status().Set.Epoch+c.voters[1].Status().Set.Epoch != 2*joint.Epoch {
			_, err = fresh.Read(ctx, "edit/2") // installs the joint set
			assert.NilError(t, err)
		}
		c.network.Partition([]string{"v2"})
		value, err := fresh.Read(ctx, "edit/1")
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable, "value %q", value)
		c.network.Partition()
		_, err = fresh.Join(ctx, c.voters[0])
		assert.NilError(t, err)
		c.crash(2)
		assertValue(ctx, t, fresh, "edit/1", "one")
	})
}

// Guards against a voter that makes promises after a disk fault or does not
// report its cause, and against an outage when only one voter has a disk fault.
func TestVoterStopsOnDiskFault(t *testing.T) {
	for name, faults := range map[string]dhdisk.Faults{
		"full disk":  {Capacity: 1},
		"sync error": {FailSync: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, 3, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
				c.disks[0].Set(faults)
				for i := range 5 {
					_, err := p.Update(ctx, "edit/1", setValue(fmt.Sprint(i)))
					assert.NilError(t, err)
				}
				assert.Equal(t, dhcode.Of(c.voters[0].Status().Err), dhcode.DiskFailed)
				c.disks[0].Set(dhdisk.Faults{})
				c.crash(1)
				_, err := p.Update(ctx, "edit/1", setValue("more"))
				assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
			})
		})
	}
	run(t, 6, 3, 3, func(_ context.Context, c *cluster, _ *dhquorum.Proposer) {
		c.crash(0)
		names, err := c.disks[0].List()
		assert.NilError(t, err)
		assert.NilError(t, c.disks[0].FlipBit(names[0], 500))
		c.start(0, "unused")
		assert.Equal(t, dhcode.Of(c.failures[0]), dhcode.DiskCorrupt)
	})
}

// Guards against an expired key that is treated as new: by voters that expire
// it at different times, after a restart, and by a joining voter.
func TestExpiredKeyIsNeverTreatedAsNew(t *testing.T) {
	run(t, 7, 4, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		old, young := dhquorum.BucketKey("claim", 7, "a/k/@x"), dhquorum.BucketKey("claim", 8, "a/k")
		for _, key := range []string{old, young, "claim-other"} {
			_, err := p.Update(ctx, key, setValue("taken"))
			assert.NilError(t, err)
		}
		assert.NilError(t, c.voters[0].Expire(ctx, "claim", 8))
		c.crash(0)
		c.start(0, "unused")
		for range 10 { // one voter has expired it: the others still hold the claim
			assertValue(ctx, t, p, old, "taken")
		}
		_, err := p.Replace(ctx, "id1", c.member(3))
		assert.NilError(t, err)
		for !c.voters[3].Status().Set.Joint() {
			assertValue(ctx, t, p, young, "taken")
		}
		c.crash(1) // v0, which has expired the key, must be read
		_, err = p.Join(ctx, c.voters[3])
		assert.NilError(t, err)
		_, err = p.Update(ctx, old, setValue("again"))
		assert.Equal(t, dhcode.Of(err), dhcode.KeyExpired)
		_, err = p.Read(ctx, old)
		assert.Equal(t, dhcode.Of(err), dhcode.KeyExpired)
		assertValue(ctx, t, p, young, "taken")
		assertValue(ctx, t, p, "claim-other", "taken")
		entries, err := p.List(ctx, "claim/")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1)
	})
}

// Guards against an aborted replacement that leaves the joint set in force.
func TestAbort(t *testing.T) {
	run(t, 8, 4, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		_, err := p.Replace(ctx, "id1", c.member(3))
		assert.NilError(t, err)
		_, err = p.Abort(ctx)
		assert.NilError(t, err)
		c.crash(3)
		c.crash(2)
		_, err = p.Update(ctx, "edit/1", setValue("one"))
		assert.NilError(t, err)
	})
}

// Guards against replacing a voter too early, while it is responsive, twice at
// once, or with a spare in a zone that already has a voter.
func TestReplacer(t *testing.T) {
	member := func(n int, zone string) dhquorum.Member {
		return dhquorum.Member{ID: fmt.Sprintf("id%d", n), Address: fmt.Sprintf("v%d", n), Zone: zone}
	}
	voters := dhquorum.VoterSet{Epoch: 2, Voters: []dhquorum.Member{member(0, "a"), member(1, "b"), member(2, "c")}}
	spares := []dhquorum.Member{member(3, "a"), member(5, "c"), member(4, "c")}
	up := map[string]bool{"id0": true, "id1": true}
	responsive := func(id string) bool { return up[id] }
	r := &dhquorum.Replacer{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tick := func(d time.Duration, s dhquorum.VoterSet) (dhquorum.Decision, bool) {
		now = now.Add(d)
		return r.Tick(now, s, responsive, spares)
	}
	_, ok := tick(0, voters)
	assert.Assert(t, !ok)
	_, ok = tick(10*time.Minute-1, voters)
	assert.Assert(t, !ok)
	decision, ok := tick(1, voters)
	assert.Assert(t, ok)
	assert.DeepEqual(t, decision, dhquorum.Decision{Old: "id2", New: member(4, "c")})
	up["id2"] = true
	tick(0, voters)
	up["id2"] = false
	_, ok = tick(9*time.Minute, voters)
	assert.Assert(t, !ok)

	joint, err := voters.WithReplacement("id2", member(4, "c"))
	assert.NilError(t, err)
	_, ok = tick(time.Minute, joint)
	assert.Assert(t, !ok)
	decision, ok = tick(10*time.Minute, joint)
	assert.Assert(t, ok && decision.Abort)
}

// Guards against a joining voter that copies a value which only a minority has
// accepted, and so makes it look decided: after a read returned it, a higher
// ballot of a voter that was not read would replace it.
func TestJoinDecidesUndecidedValues(t *testing.T) {
	run(t, 9, 4, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		assertValue(ctx, t, p, "edit/1", "")
		low, high := &dhpb.Ballot{Number: 1, Proposer: "x"}, &dhpb.Ballot{Number: 2, Proposer: "y"}
		accept := func(i int, b *dhpb.Ballot, value string) {
			a, err := c.voters[i].Accept(ctx, &dhpb.AcceptRequest{Epoch: 2, Key: "edit/1", Ballot: b, Value: []byte("\x00" + value)})
			assert.NilError(t, err)
			assert.Assert(t, a.Ok)
		}
		for c.voters[0].Status().Set.Epoch+c.voters[1].Status().Set.Epoch+c.voters[2].Status().Set.Epoch < 6 {
			assertValue(ctx, t, p, "edit/2", "")
		}
		accept(0, low, "minority")
		for _, i := range []int{1, 2} {
			a, err := c.voters[i].Prepare(ctx, &dhpb.PrepareRequest{Epoch: 2, Key: "edit/1", Ballot: high})
			assert.NilError(t, err)
			assert.Assert(t, a.Ok)
		}
		c.network.Partition([]string{"v1"})
		_, err := p.Replace(ctx, "id2", c.member(3))
		assert.NilError(t, err)
		for !c.voters[3].Status().Set.Joint() {
			assertValue(ctx, t, p, "edit/2", "")
		}
		_, err = p.Join(ctx, c.voters[3])
		assert.NilError(t, err)
		accept(1, high, "late")
		value, err := p.Read(ctx, "edit/1")
		assert.NilError(t, err)
		c.network.Partition([]string{"v0"})
		assertValue(ctx, t, p, "edit/1", string(value))
	})
}
