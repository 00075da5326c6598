package dhquorum_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhquorum"
)

func setValue(value string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(value), nil }
}

// Guards against a value that is lost with a minority of voters or after a
// restart, reads that write to disk, an unbounded wait or a wrong NotRun state
// when a majority is lost, and keys, values and register counts without limits.
func TestUpdateAndRead(t *testing.T) {
	limit := func(c *cluster) { c.configureVoter = func(v *dhquorum.Voter) { v.MaxRegisters = 2 } }
	runWith(t, 1, 3, 3, limit, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		value, err := p.Update(ctx, "edit/1", setValue("one"))
		assert.NilError(t, err)
		assert.Equal(t, string(value), "one")

		c.crash(0)
		value, err = p.Read(ctx, "edit/1")
		assert.NilError(t, err)
		assert.Equal(t, string(value), "one")
		before := c.disks[1].Syncs() + c.disks[2].Syncs()
		for range 3 {
			_, err = p.Read(ctx, "edit/1")
			assert.NilError(t, err)
			_, err = p.Read(ctx, "edit/none")
			assert.NilError(t, err)
		}
		assert.Equal(t, c.disks[1].Syncs()+c.disks[2].Syncs(), before)

		_, err = p.Update(ctx, strings.Repeat("k", dhquorum.MaxKeyBytes+1), setValue("x"))
		assert.Equal(t, dhcode.Of(err), dhcode.RequestMalformed)
		_, err = p.Update(ctx, "edit/2", setValue(strings.Repeat("v", dhquorum.MaxValueBytes)))
		assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
		_, err = p.Update(ctx, "edit/3", setValue("x"))
		assert.Equal(t, dhcode.Of(err), dhcode.TableFull)

		c.crash(1)
		_, err = p.Update(ctx, "edit/1", setValue("two"))
		assert.Equal(t, dhcode.Of(err), dhcode.QuorumUnreachable, "%v", err)
		assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)

		c.crash(2)
		for i := range 3 {
			c.start(i, "unused")
			assert.NilError(t, c.failures[i])
		}
		value, err = p.Read(ctx, "edit/1")
		assert.NilError(t, err)
		assert.Equal(t, string(value), "one")
	})
}
