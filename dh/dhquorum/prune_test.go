package dhquorum_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhquorum"
)

// Guards against expired values that a voter never deletes, also after a
// restart, and against the loss of values that have not expired.
func TestPrune(t *testing.T) {
	run(t, 11, 1, 1, func(ctx context.Context, c *cluster, p *dhquorum.Proposer) {
		for key, value := range map[string]string{"clock": "5", "claim/drop": "x", "claim/shrink": "long", "claim/keep": "x"} {
			_, err := p.Update(ctx, key, setValue(value))
			assert.NilError(t, err)
		}
		prune := func() {
			assert.NilError(t, c.voters[0].Prune(ctx, "clock", func(key string, value, clock []byte) ([]byte, bool) {
				assert.Equal(t, string(clock), "5")
				if strings.HasSuffix(key, "shrink") {
					return []byte("s"), true
				}
				return value, !strings.HasSuffix(key, "drop")
			}))
		}
		prune()
		assertValue(ctx, t, p, "claim/keep", "x")
		assertValue(ctx, t, p, "claim/shrink", "s")
		value, err := p.Read(ctx, "claim/drop")
		assert.NilError(t, err)
		assert.Assert(t, value == nil)
		// Opening a journal writes a snapshot; pruning again has no further effect.
		c.crash(0)
		c.start(0, "unused")
		prune()
		assertValue(ctx, t, p, "claim/keep", "x")
		value, err = p.Read(ctx, "claim/drop")
		assert.NilError(t, err)
		assert.Assert(t, value == nil)
	})
}
