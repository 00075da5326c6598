package dhquorum_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
)

// Guards against a set that grows without the values of the old voters: a value
// would be lost with as many voters as the larger set should tolerate.
func TestAddVoters(t *testing.T) {
	run(t, 11, 5, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		for i := range 20 {
			_, err := p.Update(ctx, fmt.Sprintf("edit/%d", i), setValue(fmt.Sprint(i)))
			assert.NilError(t, err)
		}
		for i := 3; i < 5; i++ {
			joint, err := p.Add(ctx, c.member(i))
			assert.NilError(t, err)
			for c.voters[i].Status().Set.Epoch != joint.Epoch {
				assertValue(ctx, t, p, "edit/1", "1") // installs the joint set
			}
			final, err := p.Join(ctx, c.voters[i])
			assert.NilError(t, err)
			assert.Equal(t, len(final.Voters), i+1)
		}
		c.crash(0)
		c.crash(1)
		for i := range 20 {
			assertValue(ctx, t, p, fmt.Sprintf("edit/%d", i), fmt.Sprint(i))
		}
		c.crash(2)
		_, err := p.Read(ctx, "edit/1")
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
	})
}

// Guards against a VM that starts later and creates a second voter set instead
// of finding the current one.
func TestFindNeverCreatesVoterSet(t *testing.T) {
	run(t, 12, 3, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		late := c.addProposer(13, 1)
		set, err := late.Find(ctx, []string{"nobody", "v1"})
		assert.NilError(t, err)
		assert.Equal(t, string(set.Encode()), string(p.Set().Encode()))
	})
	run(t, 14, 4, 3, func(ctx context.Context, c *cluster, _ *dhquorum.Proposer) {
		_, err := c.addProposer(15, 1).Find(ctx, []string{"v3"})
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable)
	})
}

// Guards against sending a value again to a requester that already has it, and
// against returning an old value after the known one was replaced.
func TestReadLeavesOutKnownValue(t *testing.T) {
	run(t, 16, 3, 3, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		_, err := p.Update(ctx, "document", setValue("one"))
		assert.NilError(t, err)
		reader := c.addProposer(17, 1)
		_, err = reader.Find(ctx, []string{"v0"})
		assert.NilError(t, err)
		assertValue(ctx, t, reader, "document", "one")
		full, err := c.voters[0].ReadState(ctx, &dhpb.ReadStateRequest{Prefix: "document"})
		assert.NilError(t, err)
		withoutValue, err := c.voters[0].ReadState(ctx, &dhpb.ReadStateRequest{Prefix: "document", Known: full.Registers[0].Accepted})
		assert.NilError(t, err)
		assert.Assert(t, len(full.Registers[0].Value) > 0 && withoutValue.Registers[0].Value == nil)
		assertValue(ctx, t, reader, "document", "one")
		_, err = p.Update(ctx, "document", setValue("two"))
		assert.NilError(t, err)
		assertValue(ctx, t, reader, "document", "two")
	})
}
